package fleet

import (
	"fmt"
	"math"
	"time"
)

// Unlimited is the rate limit of a target that names none.
const Unlimited = math.MaxFloat64

const (
	// rateLimitTTL is how long a limit counts after the last answer that named it, at
	// any host. Under low limits many hosts get an answer seldom, so that it counts for
	// at least rateLimitRequests requests of the target.
	rateLimitTTL      = 10 * time.Second
	rateLimitRequests = 20
	// acceptRaiseInterval is the time after which one more call than a target has
	// shown to take is tried. After maxAcceptRaise of them its refusals do not count any more.
	acceptRaiseInterval = 2 * time.Second
	maxAcceptRaise      = 20
)

// Limit is a number that a target has named in an answer to some host: how many requests
// a second it takes from all hosts together, or how many it can refuse in a second.
type Limit struct {
	// PerSecond is negative if the target named no limit.
	PerSecond float64 `cbor:"1,keyasint"`
	AgeMs     int64   `cbor:"2,keyasint"`
	// StartedAtMs is the start of the target; a limit ends with it.
	StartedAtMs int64 `cbor:"3,keyasint"`
}

// observedLimit is the newest known limit of a target. The zero value says that none was
// named.
type observedLimit struct {
	perSecond float64
	named     bool
	at        time.Duration
}

// limitKind is one of the limits that a target may name.
type limitKind struct {
	// of returns the limit of a target.
	of func(s *state) *observedLimit
	// ended and named are the log's texts for the changes of the limit.
	ended, named string
}

var (
	rateLimit = limitKind{
		of:    func(s *state) *observedLimit { return &s.limit },
		ended: "names no limit any more", named: "names a limit of %g requests per second",
	}
	refusalLimit = limitKind{
		of:    func(s *state) *observedLimit { return &s.refusals },
		ended: "names no refusal limit any more", named: "names a limit of %g refusals per second",
	}
)

// current returns the limit that counts now.
func (l observedLimit) current(now time.Duration) float64 {
	ttl := rateLimitTTL
	if l.perSecond > 0 {
		ttl = max(ttl, time.Duration(rateLimitRequests/l.perSecond*float64(time.Second)))
	}
	if !l.named || now-l.at >= ttl {
		return Unlimited
	}
	return l.perSecond
}

// RecordRateLimit records how many requests a second a start of a target takes from all hosts
// together, as it says in an answer; Unlimited if it names no limit.
func (f *Fleet) RecordRateLimit(id string, startedAtMs int64, perSecond float64) {
	f.recordLimit(rateLimit, id, startedAtMs, perSecond)
}

// RecordRefusalLimit records how many requests a start of a target can refuse in a second
// without crashing, as it says in an answer; Unlimited if it names no such limit.
func (f *Fleet) RecordRefusalLimit(id string, startedAtMs int64, perSecond float64) {
	f.recordLimit(refusalLimit, id, startedAtMs, perSecond)
}

func (f *Fleet) recordLimit(k limitKind, id string, startedAtMs int64, perSecond float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, ok := f.startOf(id, startedAtMs); ok {
		f.setLimit(k, s, observedLimit{perSecond: perSecond, named: perSecond != Unlimited, at: f.now()})
	}
}

// RecordRemoteRateLimits records the rate limits that targets have named to other hosts.
func (f *Fleet) RecordRemoteRateLimits(limits map[string]Limit) { f.recordRemote(rateLimit, limits) }

// RecordRemoteRefusalLimits records the refusal limits that targets have named to other
// hosts.
func (f *Fleet) RecordRemoteRefusalLimits(limits map[string]Limit) {
	f.recordRemote(refusalLimit, limits)
}

func (f *Fleet) recordRemote(k limitKind, limits map[string]Limit) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, l := range limits {
		s, ok := f.startOf(id, l.StartedAtMs)
		at := f.now() - time.Duration(min(max(l.AgeMs, 0), rateLimitTTL.Milliseconds()))*time.Millisecond
		if !ok || at <= k.of(s).at {
			continue
		}
		f.setLimit(k, s, observedLimit{perSecond: l.PerSecond, named: l.PerSecond >= 0, at: at})
	}
}

func (f *Fleet) setLimit(k limitKind, s *state, l observedLimit) {
	known := k.of(s)
	before := known.current(f.now())
	if !l.named && !known.named {
		return
	}
	*known = l
	switch after := l.current(f.now()); after {
	case before:
	case Unlimited:
		f.onChange(Change{Target: *s.Target, Event: k.ended})
	default:
		f.onChange(Change{Target: *s.Target, Event: fmt.Sprintf(k.named, after)})
	}
}

// RateLimits returns the current rate limits, and those that have ended a short time ago,
// by target.
func (f *Fleet) RateLimits() map[string]Limit { return f.limits(rateLimit) }

// RefusalLimits returns the same for the limits of refusals.
func (f *Fleet) RefusalLimits() map[string]Limit { return f.limits(refusalLimit) }

func (f *Fleet) limits(k limitKind) map[string]Limit {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	var out map[string]Limit
	for id, s := range f.targets {
		known := k.of(s)
		if known.at == 0 || now-known.at >= rateLimitTTL {
			continue
		}
		if out == nil {
			out = map[string]Limit{}
		}
		l := Limit{PerSecond: known.perSecond, AgeMs: (now - known.at).Milliseconds(), StartedAtMs: s.StartedAtMs}
		if !known.named {
			l.PerSecond = -1
		}
		out[id] = l
	}
	return out
}

// RecordRefusal records that a start of a target with a refusal limit has refused a request: it
// takes fewer calls than were in flight, and gets none of this host for a pause.
func (f *Fleet) RecordRefusal(id string, startedAtMs int64, pause time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.startOf(id, startedAtMs)
	if !ok {
		return
	}
	now := f.now()
	calls := s.inFlight.Calls + f.othersInFlight(s, now).Calls
	if known := s.acceptedCalls(now); known > 0 {
		calls = min(calls, known)
	}
	s.accepted, s.refusedAt = max(calls-1, 1), now
	s.pauseUntil(now + pause)
}

// acceptedCalls returns how many calls a target with a refusal limit takes at once, as its refusals show;
// zero if it has refused none lately. One more is tried after each acceptRaiseInterval.
func (s *state) acceptedCalls(now time.Duration) int {
	raised := int((now - s.refusedAt) / acceptRaiseInterval)
	if s.accepted == 0 || raised >= maxAcceptRaise || s.refusals.current(now) == Unlimited {
		return 0
	}
	return s.accepted + raised
}
