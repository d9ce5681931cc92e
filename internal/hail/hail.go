// Package hail tells the hosts of a region what each of them has in flight.
//
// Targets report their load late, and each host sees only its own requests. A
// host sends a small datagram several times a second to the hosts that it knows.
// A datagram that is lost is made good by the next; nothing depends on one.
//
// # Usage
//
//	h := hail.New(address, self, fleet, peers)
//	tree.Add("hail", h.Run)
package hail

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/pause"
	"sesamehill.example/sesamehill/internal/roll"
)

const (
	// minPeriod and maxPeriod bound the time between two datagrams to a host, and
	// perPeer is what each further host adds, so that the traffic stays flat.
	minPeriod = 60 * time.Millisecond
	maxPeriod = 500 * time.Millisecond
	perPeer   = 12 * time.Millisecond
	// farPerRound is the number of hosts of other regions for which a round more is
	// left out, as the links between regions are narrow.
	farPerRound = 5
	// maxDatagram bounds a datagram.
	maxDatagram = 32 << 10
)

// Message is what a host tells the others.
type Message struct {
	Host    string                  `cbor:"1,keyasint"`
	Flights map[string]fleet.Flight `cbor:"2,keyasint,omitempty"`
	// Named are the weights that the host knows to be named, by model.
	Named map[string]Named `cbor:"3,keyasint,omitempty"`
	// Progress is that of the host that gives orders.
	Progress *roll.Progress `cbor:"4,keyasint,omitempty"`
	// Down are the targets that the host cannot reach.
	Down []string `cbor:"5,keyasint,omitempty"`
	// Confirmed says that the host has written its row on the platform lately.
	Confirmed bool `cbor:"6,keyasint,omitempty"`
}

// Named is a weight version and how long ago it was named, in milliseconds.
type Named struct {
	Version int   `cbor:"1,keyasint"`
	Age     int64 `cbor:"2,keyasint"`
}

// Weights is what a host knows about named weights.
type Weights interface {
	// Progress returns the progress of this host's orders; nil if it gives none.
	Progress() *roll.Progress
	// Learn takes over the progress of another host.
	Learn(p roll.Progress)
	// Ages returns the versions whose age the host knows.
	Ages() map[string]Named
	// Heard takes over what another host knows.
	Heard(host, model string, n Named)
}

// Roster knows which hosts have written their rows on the platform lately.
type Roster interface {
	// Confirmed reports whether this host has.
	Confirmed() bool
	// Vouched notes that a host was heard which has.
	Vouched()
}

// Check returns an error if the message cannot be used.
func (m Message) Check() error {
	if m.Host == "" {
		return errors.New("message names no host; its sender must set one")
	}
	return nil
}

// Hailer sends and receives messages.
type Hailer struct {
	address string
	host    string
	fleet   *fleet.Fleet
	peers   func() (near, far []string)
	changed func()
	weights Weights
	roster  Roster
	log     *zap.Logger
}

// Option changes a default of New.
type Option func(*Hailer)

// WithChanged sets a function that is called after each message.
func WithChanged(f func()) Option { return func(h *Hailer) { h.changed = f } }

// WithLog sets the log.
func WithLog(l *zap.Logger) Option { return func(h *Hailer) { h.log = l } }

// WithRoster sets what knows whose rows on the platform are fresh.
func WithRoster(r Roster) Option { return func(h *Hailer) { h.roster = r } }

// WithWeights sets what is told about named weights.
func WithWeights(w Weights) Option { return func(h *Hailer) { h.weights = w } }

// New returns a hailer that listens at an address; peers returns the addresses
// of the other hosts of the region and of the other regions.
func New(address, host string, f *fleet.Fleet, peers func() (near, far []string), opts ...Option) *Hailer {
	h := &Hailer{address: address, host: host, fleet: f, peers: peers, changed: func() {}, log: zap.NewNop()}
	for _, o := range opts {
		o(h)
	}
	return h
}

// Run sends and receives until ctx ends.
func (h *Hailer) Run(ctx context.Context) error {
	var c net.ListenConfig
	conn, err := c.ListenPacket(ctx, "udp", h.address)
	if err != nil {
		return errors.Annotatef(err, "listen for other hosts on %s; free the address", h.address)
	}
	// The receiver sees the end of this context before the connection is closed.
	ctx, end := context.WithCancel(ctx)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // ends the receiver
	defer stop()
	var sending sync.WaitGroup
	sending.Go(func() { h.send(ctx, conn) })
	defer sending.Wait()
	defer end()
	return h.receive(ctx, conn)
}

func (h *Hailer) send(ctx context.Context, conn net.PacketConn) {
	for round := 0; ; round++ {
		peers, far := h.peers()
		period := min(max(time.Duration(len(peers))*perPeer, minPeriod), maxPeriod)
		if round%farRounds(len(far)) == 0 {
			peers = append(peers, far...)
		}
		if pause.For(ctx, period*3/4+time.Duration(rand.Int64N(int64(period/2)))) != nil {
			return
		}
		m := Message{Host: h.host, Flights: h.fleet.Flights(), Down: h.fleet.Unreachable()}
		if h.weights != nil {
			m.Named, m.Progress = h.weights.Ages(), h.weights.Progress()
		}
		m.Confirmed = h.roster != nil && h.roster.Confirmed()
		b, err := cbor.Marshal(m)
		if err != nil || len(b) > maxDatagram {
			h.log.Warn("message to hosts not sent", zap.Int("bytes", len(b)), zap.Error(err))
			continue
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
}

func (h *Hailer) heard(m Message) {
	if h.weights == nil {
		return
	}
	if m.Progress != nil {
		h.weights.Learn(*m.Progress)
	}
	for model, n := range m.Named {
		h.weights.Heard(m.Host, model, n)
	}
}

// farRounds is the number of rounds of which hosts of other regions get one.
func farRounds(far int) int { return 1 + far/farPerRound }

func (h *Hailer) receive(ctx context.Context, conn net.PacketConn) error {
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := conn.ReadFrom(buf)
		if ctx.Err() != nil {
			return nil //nolint:nilerr // the end of ctx is the normal end
		}
		if err != nil {
			return errors.Trace(err)
		}
		var m Message
		if err := cbor.Unmarshal(buf[:n], &m); err != nil || m.Check() != nil {
			h.log.Debug("message of a host not usable", zap.Error(err))
			continue
		}
		h.fleet.Told(m.Host, m.Flights)
		h.fleet.Suspect(m.Host, m.Down)
		h.heard(m)
		if m.Confirmed && h.roster != nil {
			h.roster.Vouched()
		}
		h.changed()
	}
}
