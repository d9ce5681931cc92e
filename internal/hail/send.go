package hail

import (
	"cmp"
	"context"
	"maps"
	"net"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/pause"
	"sesamehill.example/sesamehill/internal/roll"
	"sesamehill.example/sesamehill/internal/wire"
)

const (
	// minPeriod and maxPeriod bound the time between two datagrams to a host, and
	// perPeer is what each further host adds, so that the traffic stays flat.
	minPeriod = 60 * time.Millisecond
	maxPeriod = 500 * time.Millisecond
	perPeer   = 12 * time.Millisecond
	// askPeriod is the time between two questions of a follower, hubPeriod the least
	// time between two messages of a hub to the others.
	askPeriod = 200 * time.Millisecond
	hubPeriod = 120 * time.Millisecond
	// farPerRound is the number of hosts of other regions for which a round more is
	// left out, as the links between regions are narrow.
	farPerRound = 5
	// maxFlights bounds the flights of a message, so that it fits a datagram. The
	// busiest targets matter most.
	maxFlights = 800
	// askBytes and hubBytes are what flights may take of a follower's link, and of a
	// hub's link to the other hubs, in bytes a second. Messages between are brief.
	askBytes = 24 << 10
	hubBytes = 400 << 10
	// progressMemory is how long the progress of another host is told on.
	progressMemory = 1500 * time.Millisecond
	// followerMemory is how long a follower counts as one.
	followerMemory = 2 * time.Second
)

// heardProgress is the progress of the host that gives orders.
type heardProgress struct {
	*roll.Progress
	at time.Duration
	// below says that it came from a follower, not from another hub.
	below bool
}

func (h *Hailer) send(ctx context.Context, conn net.PacketConn) {
	for round := 0; ; round++ {
		t := h.topology()
		if pause.For(ctx, pause.Jitter(t.period())) != nil {
			return
		}
		h.mu.Lock()
		hub := h.hubs.next(t.Hubs, wire.Boot())
		h.leader = t.Leader
		h.mu.Unlock()
		if hub != "" {
			m := h.message(Question)
			m.Brief = h.brief()
			h.write(conn, m, hub)
			continue
		}
		peers := t.Near
		if round%farRounds(len(t.Far)) == 0 {
			peers = append(peers, t.Far...)
		}
		if len(peers) == 0 {
			continue
		}
		m := h.news(t)
		n := h.write(conn, m, peers...)
		if t.Leader != "" && !m.Brief {
			h.mu.Lock()
			h.spend(n*len(peers), hubBytes)
			h.mu.Unlock()
		}
	}
}

// brief reports whether flights are to be left out for now.
func (h *Hailer) brief() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return wire.Boot() < h.full
}

// spend notes that flights took some bytes, of which so many are allowed a second.
// The caller holds mu.
func (h *Hailer) spend(bytes, allowed int) {
	h.full = wire.Boot() + time.Duration(bytes)*time.Second/time.Duration(allowed)
}

// busiest returns at most maxFlights of some flights.
func busiest(flights map[string]fleet.Flight) map[string]fleet.Flight {
	if len(flights) <= maxFlights {
		return flights
	}
	ids := slices.Collect(maps.Keys(flights))
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(flights[b].Calls, flights[a].Calls), cmp.Compare(a, b))
	})
	out := make(map[string]fleet.Flight, maxFlights)
	for _, id := range ids[:maxFlights] {
		out[id] = flights[id]
	}
	return out
}

// period is the time between two rounds.
func (t Topology) period() time.Duration {
	if len(t.Hubs) > 0 {
		return askPeriod
	}
	least := minPeriod
	if t.Leader != "" {
		least = hubPeriod
	}
	return min(max(time.Duration(len(t.Near))*perPeer, least), maxPeriod)
}

// farRounds is the number of rounds of which hosts of other regions get one.
func farRounds(far int) int { return 1 + far/farPerRound }

// message returns what this host has to say on its own.
func (h *Hailer) message(k Kind) Message {
	m := h.bare(k)
	if k == News {
		m.Flights = busiest(h.fleet.Below())
	} else {
		m.Flights = busiest(h.fleet.Flights())
	}
	return m
}

// bare returns a message without flights.
func (h *Hailer) bare(k Kind) Message {
	m := Message{Host: h.host, Kind: k, Down: h.fleet.Unreachable()}
	m.Confirmed = h.roster != nil && h.roster.Confirmed()
	if h.weights == nil {
		return m
	}
	m.Named, m.Leads = h.weights.Ages(), h.weights.Leads()
	m.Progress = h.weights.Progress()
	if k == News {
		m.Known = h.weights.Known(h.following())
		if m.Progress == nil {
			m.Progress = h.told(true)
		}
	}
	return m
}

// news returns what this host tells others unasked. A hub tells the other hubs
// what the platform's tables say.
func (h *Hailer) news(t Topology) Message {
	var m Message
	if t.Leader != "" && h.brief() {
		m = h.bare(News)
		m.Brief = true
	} else {
		m = h.message(News)
	}
	if h.tables != nil && t.Leader != "" {
		m.Tables = h.tables.Versions()
	}
	return m
}

// answer returns what a follower is told.
func (h *Hailer) answer(to Message) Message {
	m := h.bare(Answer)
	if m.Brief = to.Brief; !m.Brief {
		m.Flights = busiest(h.fleet.Except(to.Host))
	}
	if h.tables != nil {
		m.Tables = h.tables.Versions()
	}
	if h.weights == nil {
		return m
	}
	if m.Progress == nil && !to.Leads {
		m.Progress = h.told(false)
	}
	if to.Leads {
		m.Known = h.weights.Known(nil)
	}
	return m
}

// told returns the progress that was heard lately; only from a follower if below
// is set, as hubs tell each other directly.
func (h *Hailer) told(below bool) *roll.Progress {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.progress
	if p.Progress == nil || wire.Boot()-p.at > progressMemory || below && !p.below {
		return nil
	}
	return p.Progress
}

// following returns the hosts that follow this one.
func (h *Hailer) following() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	names := make([]string, 0, len(h.followers))
	for name, at := range h.followers {
		if wire.Boot()-at > followerMemory {
			delete(h.followers, name)
			continue
		}
		names = append(names, name)
	}
	return names
}

// write sends a message and returns its size.
func (h *Hailer) write(conn net.PacketConn, m Message, peers ...string) int {
	b, err := cbor.Marshal(m)
	if err != nil || len(b) > maxDatagram {
		h.log.Warn("message to hosts not sent", zap.Int("bytes", len(b)), zap.Error(err))
		return 0
	}
	for _, p := range peers {
		to, err := net.ResolveUDPAddr("udp", p)
		if err != nil {
			h.log.Debug("address of a host not usable", zap.String("address", p), zap.Error(err))
			continue
		}
		_, _ = conn.WriteTo(b, to) // the next message makes up for a lost one
	}
	return len(b)
}
