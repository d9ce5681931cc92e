package fleet

import (
	"math"
	"time"
)

// InFlight is the load that calls in flight put on a target.
type InFlight struct {
	Calls int `json:"calls" cbor:"1,keyasint,omitempty"`
	// Tokens is the KV cache memory that the calls need, in tokens.
	Tokens int `json:"tokens" cbor:"2,keyasint,omitempty"`
	// PrefillTokens are prompt tokens still to be prefilled. FetchTokens measures
	// the KV cache still to be fetched, in tokens that take as long over the
	// target's own link.
	PrefillTokens int `json:"unread" cbor:"3,keyasint,omitempty"`
	FetchTokens   int `json:"fetching" cbor:"4,keyasint,omitempty"`
}

// Add returns the sum of two loads.
func (f InFlight) Add(g InFlight) InFlight {
	return InFlight{f.Calls + g.Calls, f.Tokens + g.Tokens, f.PrefillTokens + g.PrefillTokens, f.FetchTokens + g.FetchTokens}
}

// Sub returns the difference of two loads.
func (f InFlight) Sub(g InFlight) InFlight {
	return InFlight{f.Calls - g.Calls, f.Tokens - g.Tokens, f.PrefillTokens - g.PrefillTokens, f.FetchTokens - g.FetchTokens}
}

// remoteLoad is the in-flight load by target that another host last reported.
type remoteLoad struct {
	receivedAt time.Duration
	byTarget   map[string]InFlight
	role       SenderRole
}

// loadReportLag is how far a load report may lag behind the state of its target.
const loadReportLag = 500 * time.Millisecond

// SenderRole is the role of a host that reports its in-flight load to this one.
type SenderRole int

// Sender roles.
const (
	// Peer reports its own load to every host itself.
	Peer SenderRole = iota
	// Follower reports to this host only, which passes the load on to the others.
	Follower
	// Hub reports the sum of its followers, or of all hosts.
	Hub
)

// Attempt is an attempt in flight.
type Attempt struct {
	fleet *Fleet
	state *state
	// load is the part of the target's in-flight load that this attempt still
	// accounts for.
	load InFlight
	// startedAt is the boot time at which the attempt began.
	startedAt time.Duration
	ended     bool
}

// Begin counts a new attempt at a target. The attempt has no effect if the target
// is unknown.
func (f *Fleet) Begin(id string, load InFlight) *Attempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.targets[id]
	if !ok {
		return &Attempt{fleet: f, ended: true}
	}
	load.Calls = 1
	s.inFlight = s.inFlight.Add(load)
	return &Attempt{fleet: f, state: s, load: load, startedAt: f.now()}
}

// RecordData records that the target has sent data. Its prompt is prefilled by
// then, so that prefill and fetch no longer count as in flight.
func (a *Attempt) RecordData() {
	a.fleet.mu.Lock()
	defer a.fleet.mu.Unlock()
	if a.ended {
		return
	}
	a.state.lastDataAt = a.fleet.now()
	prefilled := InFlight{PrefillTokens: a.load.PrefillTokens, FetchTokens: a.load.FetchTokens}
	a.state.inFlight = a.state.inFlight.Sub(prefilled)
	a.load = a.load.Sub(prefilled)
}

// NoDataFor reports whether the target has sent no data to any attempt of this
// host for longer than d.
func (a *Attempt) NoDataFor(d time.Duration) bool {
	a.fleet.mu.Lock()
	defer a.fleet.mu.Unlock()
	return !a.ended && a.fleet.now()-a.state.lastDataAt > d
}

// QueueEmpty reports whether no request was waiting in the target's last load
// report.
func (a *Attempt) QueueEmpty() bool {
	a.fleet.mu.Lock()
	defer a.fleet.mu.Unlock()
	return !a.ended && a.state.waiting == 0
}

// QueueEmptySince reports whether a load report that was made after a boot time shows that
// no request waits at the target.
func (a *Attempt) QueueEmptySince(since time.Duration) bool {
	a.fleet.mu.Lock()
	defer a.fleet.mu.Unlock()
	return !a.ended && a.state.waiting == 0 && a.state.loadReportedAt > since+loadReportLag
}

// End records the outcome of the attempt; only the first call has an effect.
func (a *Attempt) End(o Outcome) {
	a.fleet.mu.Lock()
	defer a.fleet.mu.Unlock()
	if a.ended {
		return
	}
	a.ended = true
	a.state.inFlight = a.state.inFlight.Sub(a.load)
	a.fleet.recordOutcome(a.state, o, a.startedAt)
}

func (f *Fleet) recordOutcome(s *state, o Outcome, startedAt time.Duration) {
	now := f.now()
	switch o {
	case Served:
		s.updateFailureRate(0, now)
		// A host that is cut off is served on connections that have lived on or lead through
		// other hosts. Only probes show that new connections succeed again. They also check
		// whether a target that may have restarted since is cold.
		if s.doubted() && !isolated(f.services[s.Service]) && (startedAt < s.doubtedAt || !f.CanBeCold(s.Service)) {
			f.markReachable(s, now)
		}
	case Failed:
		s.updateFailureRate(1, now)
	case Unreachable:
		s.updateFailureRate(1, now)
		f.markUnreachable(s, now)
	}
}

// othersInFlight returns what the other hosts have in flight at a target: the sum
// of their reports, or an estimate from the target's load reports if no host has
// sent one.
func (f *Fleet) othersInFlight(s *state, now time.Duration) InFlight {
	if len(f.remoteLoads) > 0 {
		return s.remote
	}
	return InFlight{Calls: int(math.Round(s.estimatedOtherCalls(now)))}
}

// SetRemoteInFlight replaces the in-flight load by target that another host
// reports.
func (f *Fleet) SetRemoteInFlight(host string, byTarget map[string]InFlight, role SenderRole) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.removeRemoteLoad(host)
	f.remoteLoads[host] = remoteLoad{receivedAt: f.now(), byTarget: byTarget, role: role}
	for id, load := range byTarget {
		if s, ok := f.targets[id]; ok {
			s.remote = s.remote.Add(load)
		}
	}
}

// removeRemoteLoad drops the load that another host reported.
func (f *Fleet) removeRemoteLoad(host string) {
	for id, load := range f.remoteLoads[host].byTarget {
		if s, ok := f.targets[id]; ok {
			s.remote = s.remote.Sub(load)
		}
	}
	delete(f.remoteLoads, host)
}

// expireRemoteLoads drops reports of other hosts that are too old.
func (f *Fleet) expireRemoteLoads(now time.Duration) {
	if now-f.remoteLoadsCheckedAt < remoteLoadTTL/8 {
		return
	}
	f.remoteLoadsCheckedAt = now
	for host, r := range f.remoteLoads {
		ttl := remoteLoadTTL
		if r.role != Peer {
			ttl = hubLoadTTL
		}
		if now-r.receivedAt > ttl {
			f.removeRemoteLoad(host)
		}
	}
}

// OwnInFlight returns the in-flight load of this host by target.
func (f *Fleet) OwnInFlight() map[string]InFlight {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ownInFlight()
}

func (f *Fleet) ownInFlight() map[string]InFlight {
	out := map[string]InFlight{}
	for id, s := range f.targets {
		if s.inFlight != (InFlight{}) {
			out[id] = s.inFlight
		}
	}
	return out
}

// InFlightWithFollowers returns the in-flight load of this host and its followers
// by target.
func (f *Fleet) InFlightWithFollowers() map[string]InFlight {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expireRemoteLoads(f.now())
	out := f.ownInFlight()
	for _, r := range f.remoteLoads {
		if r.role != Follower {
			continue
		}
		for id, load := range r.byTarget {
			out[id] = out[id].Add(load)
		}
	}
	return out
}

// InFlightExcept returns the known in-flight load of all hosts but one, by target.
func (f *Fleet) InFlightExcept(host string) map[string]InFlight {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expireRemoteLoads(f.now())
	excluded := f.remoteLoads[host].byTarget
	out := make(map[string]InFlight, len(f.targets))
	for id, s := range f.targets {
		if sum := s.inFlight.Add(s.remote).Sub(excluded[id]); sum != (InFlight{}) {
			out[id] = sum
		}
	}
	return out
}

// ViewAge returns the mean age of the other hosts' load reports; zero without any.
func (f *Fleet) ViewAge() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.remoteLoads) == 0 {
		return 0
	}
	now, sum := f.now(), time.Duration(0)
	for _, r := range f.remoteLoads {
		sum += now - r.receivedAt
	}
	return sum / time.Duration(len(f.remoteLoads))
}
