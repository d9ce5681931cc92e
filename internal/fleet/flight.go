package fleet

import (
	"math"
	"time"
)

// Flight is what calls in flight ask of a target.
type Flight struct {
	Calls int `json:"calls" cbor:"1,keyasint,omitempty"`
	// Tokens is the memory that they need.
	Tokens int `json:"tokens" cbor:"2,keyasint,omitempty"`
	// Unread are prompt tokens still to be read. Fetching are those still to be
	// fetched, in tokens that take as long over the target's own link.
	Unread   int `json:"unread" cbor:"3,keyasint,omitempty"`
	Fetching int `json:"fetching" cbor:"4,keyasint,omitempty"`
}

// Add returns the sum of two flights.
func (f Flight) Add(g Flight) Flight {
	return Flight{f.Calls + g.Calls, f.Tokens + g.Tokens, f.Unread + g.Unread, f.Fetching + g.Fetching}
}

// Sub returns the difference of two flights.
func (f Flight) Sub(g Flight) Flight {
	return Flight{f.Calls - g.Calls, f.Tokens - g.Tokens, f.Unread - g.Unread, f.Fetching - g.Fetching}
}

// told is what another host said.
type told struct {
	at      time.Duration
	flights map[string]Flight
	teller  Teller
}

// Teller is what a host is to the one that it tells.
type Teller int

// Tellers.
const (
	// Peer tells every host itself.
	Peer Teller = iota
	// Follower tells this host alone, which tells the others for it.
	Follower
	// Hub tells for its followers, or for all hosts.
	Hub
)

// Attempt is an attempt in flight.
type Attempt struct {
	fleet *Fleet
	state *state
	left  Flight
	ended bool
}

// Begin notes an attempt.
func (f *Fleet) Begin(id string, need Flight) *Attempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.targets[id]
	if !ok {
		return &Attempt{fleet: f, ended: true}
	}
	need.Calls = 1
	s.flight = s.flight.Add(need)
	return &Attempt{fleet: f, state: s, left: need}
}

// Heard notes that the target has sent something; its prompt has been read.
func (a *Attempt) Heard() {
	a.fleet.mu.Lock()
	defer a.fleet.mu.Unlock()
	if a.ended {
		return
	}
	a.state.heard = a.fleet.now()
	read := Flight{Unread: a.left.Unread, Fetching: a.left.Fetching}
	a.state.flight = a.state.flight.Sub(read)
	a.left = a.left.Sub(read)
}

// Silent reports whether nothing at all came from the target for a time.
func (a *Attempt) Silent(d time.Duration) bool {
	a.fleet.mu.Lock()
	defer a.fleet.mu.Unlock()
	return !a.ended && a.fleet.now()-a.state.heard > d
}

// Idle reports whether no request waited at the target when it last said so.
func (a *Attempt) Idle() bool {
	a.fleet.mu.Lock()
	defer a.fleet.mu.Unlock()
	return !a.ended && a.state.waiting == 0
}

// End notes the end; only its first call counts.
func (a *Attempt) End(o Outcome) {
	a.fleet.mu.Lock()
	defer a.fleet.mu.Unlock()
	if a.ended {
		return
	}
	a.ended = true
	a.state.flight = a.state.flight.Sub(a.left)
	a.fleet.end(a.state, o)
}

func (f *Fleet) end(s *state, o Outcome) {
	now := f.now()
	switch o {
	case Served:
		s.note(0, now)
		if s.downs > 0 || s.suspected {
			f.reachable(s, now)
		}
	case Failed:
		s.note(1, now)
	case Unreachable:
		s.note(1, now)
		f.unreachable(s, now)
	}
}

// otherFlight returns what the other hosts have in flight at a target: what they
// told, or what its load reports suggest if none of them was heard.
func (f *Fleet) otherFlight(s *state, now time.Duration) Flight {
	if len(f.others) > 0 {
		return s.told
	}
	return Flight{Calls: int(math.Round(s.otherCalls(now)))}
}

// Told notes what another host says to be in flight.
func (f *Fleet) Told(host string, flights map[string]Flight, t Teller) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.forget(host)
	f.others[host] = told{at: f.now(), flights: flights, teller: t}
	for id, flight := range flights {
		if s, ok := f.targets[id]; ok {
			s.told = s.told.Add(flight)
		}
	}
}

// forget drops what another host told.
func (f *Fleet) forget(host string) {
	for id, flight := range f.others[host].flights {
		if s, ok := f.targets[id]; ok {
			s.told = s.told.Sub(flight)
		}
	}
	delete(f.others, host)
}

// forgetOld drops what was told too long ago.
func (f *Fleet) forgetOld(now time.Duration) {
	if now-f.swept < toldMemory/8 {
		return
	}
	f.swept = now
	for host, t := range f.others {
		limit := toldMemory
		if t.teller != Peer {
			limit = hubMemory
		}
		if now-t.at > limit {
			f.forget(host)
		}
	}
}

// Flights returns what this host has in flight.
func (f *Fleet) Flights() map[string]Flight {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.own()
}

func (f *Fleet) own() map[string]Flight {
	out := map[string]Flight{}
	for id, s := range f.targets {
		if s.flight != (Flight{}) {
			out[id] = s.flight
		}
	}
	return out
}

// Below returns what this host and its followers have in flight.
func (f *Fleet) Below() map[string]Flight {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.forgetOld(f.now())
	out := f.own()
	for _, o := range f.others {
		if o.teller != Follower {
			continue
		}
		for id, flight := range o.flights {
			out[id] = out[id].Add(flight)
		}
	}
	return out
}

// Except returns what all hosts but one have in flight, as far as they were heard.
func (f *Fleet) Except(host string) map[string]Flight {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.forgetOld(f.now())
	but := f.others[host].flights
	out := make(map[string]Flight, len(f.targets))
	for id, s := range f.targets {
		if sum := s.flight.Add(s.told).Sub(but[id]); sum != (Flight{}) {
			out[id] = sum
		}
	}
	return out
}
