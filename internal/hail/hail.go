// Package hail tells the hosts of a region what each of them has in flight.
//
// Targets report their load late, and each host sees only its own requests. A
// host sends a small datagram several times a second. A datagram that is lost is
// made good by the next; nothing depends on one.
//
// Few hosts tell each other directly. Where there are many, most of them follow a
// hub: a follower tells one hub, which answers with the sum of what all others
// have in flight; hubs tell each other the sums of their followers. The traffic of
// a host then does not grow with the number of hosts. A hub that stays silent for
// three questions is left for the next one. Whatever one host says about named
// weights and loading engines reaches all others by the same way.
//
// # Usage
//
//	h := hail.New(address, self, fleet, topology)
//	tree.Add("hail", h.Run)
//
// # Units
//
// Ages are milliseconds on the boot clock of their sender.
package hail

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/guard"
	"sesamehill.example/sesamehill/internal/relay"
	"sesamehill.example/sesamehill/internal/roll"
)

// maxDatagram bounds a datagram.
const maxDatagram = 32 << 10

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
	// Kind says what the flights are and whether an answer is wanted.
	Kind Kind `cbor:"7,keyasint,omitempty"`
	// Leads says that the sender gives orders and needs to know what others know.
	Leads bool `cbor:"8,keyasint,omitempty"`
	// Known are the weights that hosts know to be named, by host and model.
	Known map[string]map[string]Named `cbor:"9,keyasint,omitempty"`
	// Tables are the versions of the platform's tables that the sender knows.
	Tables map[string]relay.Seen `cbor:"10,keyasint,omitempty"`
	// Brief messages leave the flights out, or ask for an answer without them: those
	// of the last one still count.
	Brief bool `cbor:"11,keyasint,omitempty"`
}

// Kind is the kind of a message.
type Kind int

// Kinds of messages.
const (
	// News tells what a host and its followers have in flight.
	News Kind = iota
	// Question is the news of a follower, which wants an answer.
	Question
	// Answer tells what all others have in flight.
	Answer
)

// Named is a weight version and how long ago it was named, in milliseconds.
type Named struct {
	Version int   `cbor:"1,keyasint"`
	Age     int64 `cbor:"2,keyasint"`
}

// Topology says whom a host tells.
type Topology struct {
	// Near are the hosts of the region, Far those of other regions, to which the
	// host sends its news. Of many hosts only hubs have any.
	Near, Far []string
	// Hubs are those that a follower asks, the first one before the others.
	Hubs []string
	// Leader is the hub that tells the other hubs what the platform's tables say.
	Leader string
}

// Weights is what a host knows about named weights.
type Weights interface {
	// Progress returns the progress of this host's orders; nil if it gives none.
	Progress() *roll.Progress
	// Learn takes over the progress of another host.
	Learn(p roll.Progress)
	// Leads reports whether this host gives orders.
	Leads() bool
	// Ages returns the versions whose age the host knows.
	Ages() map[string]Named
	// Heard takes over what another host knows.
	Heard(host, model string, n Named)
	// Known returns what the given hosts know of weights that were named lately; all
	// hosts if the list is nil.
	Known(hosts []string) map[string]map[string]Named
	// Acknowledged notes what another host knows, by the word of a hub.
	Acknowledged(host, model string, n Named)
}

// Roster knows which hosts have written their rows on the platform lately.
type Roster interface {
	// Confirmed reports whether this host has.
	Confirmed() bool
	// Vouched notes that a host was heard which has.
	Vouched()
}

// Tables knows the versions of the platform's tables.
type Tables interface {
	// Versions returns those that this host knows to be current.
	Versions() map[string]relay.Seen
	// Announced takes over those of a hub.
	Announced(hub string, versions map[string]relay.Seen)
}

// Check returns an error if the message cannot be used.
func (m Message) Check() error {
	switch {
	case m.Host == "":
		return errors.New("message names no host; its sender must set one")
	case m.Kind < News || m.Kind > Answer:
		return errors.Errorf("message of host %q is of unknown kind %d; run the same version on all hosts", m.Host, m.Kind)
	}
	return nil
}

// Hailer sends and receives messages.
type Hailer struct {
	address  string
	host     string
	fleet    *fleet.Fleet
	topology func() Topology
	changed  func()
	weights  Weights
	roster   Roster
	tables   Tables
	log      *zap.Logger

	mu sync.Mutex
	// hubs chooses the hub to ask; leader is the one that tells this hub.
	hubs   choice
	leader string
	// followers holds when each follower was heard last.
	followers map[string]time.Duration
	// full is the boot time from which flights are sent, or asked for, again.
	full time.Duration
	// progress is that of the host that gives orders, as it was heard last.
	progress heardProgress
}

// Option changes a default of New.
type Option func(*Hailer)

// WithChanged sets a function that is called after each message.
func WithChanged(f func()) Option { return func(h *Hailer) { h.changed = f } }

// WithLog sets the log.
func WithLog(l *zap.Logger) Option { return func(h *Hailer) { h.log = l } }

// WithRoster sets what knows whose rows on the platform are fresh.
func WithRoster(r Roster) Option { return func(h *Hailer) { h.roster = r } }

// WithTables sets what knows the versions of the platform's tables.
func WithTables(t Tables) Option { return func(h *Hailer) { h.tables = t } }

// WithWeights sets what is told about named weights.
func WithWeights(w Weights) Option { return func(h *Hailer) { h.weights = w } }

// New returns a hailer that listens at an address.
func New(address, host string, f *fleet.Fleet, t func() Topology, opts ...Option) *Hailer {
	h := &Hailer{
		address: address, host: host, fleet: f, topology: t, changed: func() {}, log: zap.NewNop(),
		followers: map[string]time.Duration{},
	}
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
	sending.Go(func() { guard.Keep(ctx, h.log, "hail", func() { h.send(ctx, conn) }) })
	defer sending.Wait()
	defer end()
	return h.receive(ctx, conn)
}
