package hail

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

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
		if pause.For(ctx, jitter(t.period())) != nil {
			return
		}
		h.mu.Lock()
		hub := h.hubs.next(t.Hubs, wire.Boot())
		h.leader = t.Leader
		h.mu.Unlock()
		if hub != "" {
			h.write(conn, h.message(Question), hub)
			continue
		}
		peers := t.Near
		if round%farRounds(len(t.Far)) == 0 {
			peers = append(peers, t.Far...)
		}
		if len(peers) > 0 {
			h.write(conn, h.news(t), peers...)
		}
	}
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

func jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(rand.Int64N(int64(d/2)))
}

// farRounds is the number of rounds of which hosts of other regions get one.
func farRounds(far int) int { return 1 + far/farPerRound }

// message returns what this host has to say on its own.
func (h *Hailer) message(k Kind) Message {
	m := Message{Host: h.host, Kind: k, Down: h.fleet.Unreachable()}
	if k == News {
		m.Flights = h.fleet.Below()
	} else {
		m.Flights = h.fleet.Flights()
	}
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
	m := h.message(News)
	if h.tables != nil && t.Leader != "" {
		m.Tables = h.tables.Versions()
	}
	return m
}

// answer returns what a follower is told.
func (h *Hailer) answer(to Message) Message {
	m := h.message(Answer)
	m.Flights = h.fleet.Except(to.Host)
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

func (h *Hailer) write(conn net.PacketConn, m Message, peers ...string) {
	b, err := cbor.Marshal(m)
	if err != nil || len(b) > maxDatagram {
		h.log.Warn("message to hosts not sent", zap.Int("bytes", len(b)), zap.Error(err))
		return
	}
	for _, p := range peers {
		to, err := net.ResolveUDPAddr("udp", p)
		if err != nil {
			h.log.Debug("address of a host not usable", zap.String("address", p), zap.Error(err))
			continue
		}
		_, _ = conn.WriteTo(b, to) // the next message makes up for a lost one
	}
}
