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
)

// RateLimit is how many requests a second a target takes from all hosts together, as it
// said in an answer to some host.
type RateLimit struct {
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

// RecordRateLimit records how many requests a second a target takes from all hosts
// together, as it says in an answer; Unlimited if it names no limit.
func (f *Fleet) RecordRateLimit(id string, perSecond float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, ok := f.targets[id]; ok {
		f.setRateLimit(s, observedLimit{perSecond: perSecond, named: perSecond != Unlimited, at: f.now()})
	}
}

// RecordRemoteRateLimits records the limits that targets have named to other hosts.
func (f *Fleet) RecordRemoteRateLimits(limits map[string]RateLimit) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, l := range limits {
		s, ok := f.targets[id]
		at := f.now() - time.Duration(min(max(l.AgeMs, 0), rateLimitTTL.Milliseconds()))*time.Millisecond
		if !ok || s.StartedAtMs != l.StartedAtMs || at <= s.limit.at {
			continue
		}
		f.setRateLimit(s, observedLimit{perSecond: l.PerSecond, named: l.PerSecond >= 0, at: at})
	}
}

func (f *Fleet) setRateLimit(s *state, l observedLimit) {
	before := s.limit.current(f.now())
	if !l.named && !s.limit.named {
		return
	}
	s.limit = l
	switch after := l.current(f.now()); after {
	case before:
	case Unlimited:
		f.onChange(Change{Target: *s.Target, Event: "names no limit any more"})
	default:
		f.onChange(Change{Target: *s.Target, Event: fmt.Sprintf("names a limit of %g requests per second", after)})
	}
}

// RateLimits returns the current limits, and those that have ended a
// short time ago, by target.
func (f *Fleet) RateLimits() map[string]RateLimit {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	var out map[string]RateLimit
	for id, s := range f.targets {
		recent := s.limit.at > 0 && now-s.limit.at < rateLimitTTL
		if !recent {
			continue
		}
		if out == nil {
			out = map[string]RateLimit{}
		}
		l := RateLimit{PerSecond: s.limit.perSecond, AgeMs: (now - s.limit.at).Milliseconds(), StartedAtMs: s.StartedAtMs}
		if !s.limit.named {
			l.PerSecond = -1
		}
		out[id] = l
	}
	return out
}
