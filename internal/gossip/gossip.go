// Package gossip exchanges the in-flight load of targets between hosts over UDP.
//
// The load reports of targets are delayed, and each host sees only its own
// requests. Each host therefore sends a small datagram several times a second. A
// lost datagram is replaced by the next one; nothing depends on a single datagram.
//
// A small number of hosts send updates to each other directly. Where there are
// many, most of them are followers of a hub: a follower queries one hub, which
// replies with the sum of what all other hosts have in flight; hubs send each
// other the sums of their followers. The traffic of a host then does not grow with
// the number of hosts. A follower switches to the next hub after three queries
// without a reply. Desired weight versions, loading engines, the versions of the
// platform's tables and of the operator configuration, rate limits that targets name and
// records of requests that crash targets spread in the same messages.
//
// # Usage
//
//	e := gossip.New(address, self, fleet, topology)
//	tree.Add("hail", e.Run)
//
// # Units
//
// Ages are milliseconds on the boot clock of their sender, at the time of sending. Times
// are milliseconds on the platform's clock.
package gossip

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/crash"
	"sesamehill.example/sesamehill/internal/evac"
	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/origin"
	"sesamehill.example/sesamehill/internal/relay"
	"sesamehill.example/sesamehill/internal/roll"
	"sesamehill.example/sesamehill/internal/safego"
	"sesamehill.example/sesamehill/internal/table"
)

const maxDatagramBytes = 32 << 10

// Message is the content of a datagram.
type Message struct {
	Host     string                    `cbor:"1,keyasint"`
	InFlight map[string]fleet.InFlight `cbor:"2,keyasint,omitempty"`
	// Desired are the desired weight versions, which the operator wants engines to
	// load, as far as the host knows them, by model.
	Desired map[string]DesiredVersion `cbor:"3,keyasint,omitempty"`
	// Progress is the progress of the host that orders engines to load weights.
	Progress *roll.Progress `cbor:"4,keyasint,omitempty"`
	// Unreachable are the targets that the host cannot reach.
	Unreachable []string `cbor:"5,keyasint,omitempty"`
	// Registered says that the host has recently written its row on the platform.
	Registered bool `cbor:"6,keyasint,omitempty"`
	// Kind says whose in-flight load the message holds and whether the sender expects
	// a reply.
	Kind Kind `cbor:"7,keyasint,omitempty"`
	// IssuesOrders says that the sender orders engines to load weights, and therefore
	// needs the desired versions that each host knows.
	IssuesOrders bool `cbor:"8,keyasint,omitempty"`
	// DesiredByHost are the desired weight versions that hosts know, by host and model.
	DesiredByHost map[string]map[string]DesiredVersion `cbor:"9,keyasint,omitempty"`
	// Tables are the versions of the platform's tables that the sender knows to be
	// current.
	Tables map[string]relay.TableVersion `cbor:"10,keyasint,omitempty"`
	// OmitsLoad is set in messages without in-flight load, and in queries for a reply
	// without it. The load of the last full message still counts.
	OmitsLoad bool `cbor:"11,keyasint,omitempty"`
	// Crashes are records of requests that have crashed targets.
	Crashes []crash.Record `cbor:"12,keyasint,omitempty"`
	// RateLimits are the limits that targets have named, by target.
	RateLimits map[string]fleet.Limit `cbor:"13,keyasint,omitempty"`
	// RefusalLimits are the numbers of refusals in a second that targets name as their limit, by
	// target.
	RefusalLimits map[string]fleet.Limit `cbor:"23,keyasint,omitempty"`
	// SentMs is the time on the platform's clock at which the message was sent; zero if
	// the sender does not know it. A message may wait in the socket of a host that is
	// paused, and the ages in it count from this time.
	SentMs int64 `cbor:"14,keyasint,omitempty"`
	// Replaced are weight versions that were desired recently, before those in Desired, by
	// model.
	Replaced map[string][]DesiredVersion `cbor:"15,keyasint,omitempty"`
	// Software are the software versions of the services that have more than one.
	Software origin.Sightings `cbor:"21,keyasint,omitempty"`
	// Begun are streams that began at the sender of a Streams message.
	Begun []origin.Begun `cbor:"22,keyasint,omitempty"`
	// Evacuated is the view of the sender; nil as long as no
	// zone was evacuated.
	Evacuated *evac.View `cbor:"24,keyasint,omitempty"`
	// Config is the version of the operator configuration in force at the sender; zero if
	// it has none.
	Config uint64 `cbor:"20,keyasint,omitempty"`
}

// Kind is the kind of a message.
type Kind int

// Kinds of messages.
const (
	// Update holds what a host and its followers have in flight.
	Update Kind = iota
	// Query holds what a follower has in flight and asks the hub for a reply.
	Query
	// Reply holds what all other hosts have in flight.
	Reply
	// Streams holds streams that began at the sender. Older builds ignore it.
	Streams
)

// DesiredVersion is a weight version that became the desired one.
type DesiredVersion struct {
	Version int `cbor:"1,keyasint"`
	// AgeMs is how long ago it became the desired one, in milliseconds.
	AgeMs int64 `cbor:"2,keyasint"`
	// AtMs is when it became the desired one, on the platform's clock.
	AtMs int64 `cbor:"3,keyasint,omitempty"`
	// Previous is the version that it replaced; zero if unknown.
	Previous int `cbor:"4,keyasint,omitempty"`
	// KnownMs is for how long the host has known of it, in milliseconds.
	KnownMs int64 `cbor:"5,keyasint,omitempty"`
}

// Topology holds the addresses with which a host exchanges messages.
type Topology struct {
	// SameRegion and OtherRegions are the hosts to which this host sends updates.
	// Followers have neither.
	SameRegion, OtherRegions []string
	// Hubs are the hubs that a follower may query, in order of preference.
	Hubs []string
	// Leader is the hub that follows the platform's tables and announces their
	// versions to the other hubs; empty on hosts that are not hubs.
	Leader string
}

// Weights is a host's view of desired weight versions and of the rollout.
type Weights interface {
	// Progress returns the progress of this host's orders; nil if there are none.
	Progress() *roll.Progress
	// RecordProgress records the progress of another host's orders.
	RecordProgress(p roll.Progress)
	// IssuesOrders reports whether this host orders engines to load weights.
	IssuesOrders() bool
	// DesiredVersions returns the desired versions whose date this host knows, by
	// model.
	DesiredVersions() map[string]DesiredVersion
	// ReplacedVersions returns the versions that were desired recently before those, by
	// model.
	ReplacedVersions() map[string][]DesiredVersion
	// RecordDesired records a desired version that another host reports, and that the
	// other host knows it.
	RecordDesired(host, model string, v DesiredVersion)
	// RecordReplaced records a version that another host reports as desired before.
	RecordReplaced(host, model string, v DesiredVersion)
	// DesiredByHost returns the recent desired versions that the given hosts know, by
	// host and model; those of all hosts if the list is nil.
	DesiredByHost(hosts []string) map[string]map[string]DesiredVersion
	// RecordRelayedDesired records, from the message of a hub, that another host
	// knows a desired version.
	RecordRelayedDesired(host, model string, v DesiredVersion)
}

// Roster records which hosts have recently written their rows on the platform.
type Roster interface {
	// Registered reports whether this host has recently written its row.
	Registered() bool
	// RecordRegisteredPeer records a message from a host that had recently written its row
	// when it sent the message, with the time since then.
	RecordRegisteredPeer(delay time.Duration)
}

// Tables holds the versions of the platform's tables.
type Tables interface {
	// Versions returns the versions that this host knows to be current, by table.
	Versions() map[string]relay.TableVersion
	// RecordVersions records the versions that a hub announces.
	RecordVersions(hub string, versions map[string]relay.TableVersion)
}

// Configs holds the versions of the operator configuration in force at hosts.
type Configs interface {
	// ConfigVersion returns the version in force at this host; zero before the first.
	ConfigVersion() uint64
	// RecordConfigVersion records the version in force at the host with a peer address.
	RecordConfigVersion(peer string, version uint64)
}

// Evacuations holds the zones that the operator has evacuated.
type Evacuations interface {
	// EvacuationView returns the view of this host; nil as long as no zone was evacuated.
	EvacuationView() *evac.View
	// RecordEvacuationView records the view of another host.
	RecordEvacuationView(host string, v evac.View)
}

// Origins holds the software versions that hosts have seen and the streams that began at
// them.
type Origins interface {
	// Sightings returns the software versions of the services that have more than one.
	Sightings() origin.Sightings
	// RecordSightings records those in a message of another host, which was sent some time ago;
	// false if that is not known. The ages count from now.
	RecordSightings(host string, delay time.Duration, dated bool, seen origin.Sightings)
	// Outgoing waits for streams that have begun here, and returns them by the address
	// of the host to which they are sent; nil after the end of ctx.
	Outgoing(ctx context.Context) map[string][]origin.Begun
	// RecordBegun records streams that began at another host.
	RecordBegun(begun []origin.Begun)
}

// Exchange sends messages to other hosts and receives theirs.
type Exchange struct {
	address   string
	host      string
	fleet     *fleet.Fleet
	topology  func() Topology
	onMessage func()
	weights   Weights
	roster    Roster
	tables    Tables
	crashes   Crashes
	clock     *table.Clock
	configs   Configs
	origins   Origins
	evacuated Evacuations
	log       *zap.Logger

	mu sync.Mutex
	// hubs selects the hub to query. leader is the hub that announces table versions
	// to this one; empty unless this host is a hub.
	hubs   hubSelector
	leader string
	// followers holds the boot time of the last query of each follower.
	followers map[string]time.Duration
	// loads paces the messages with in-flight load that this host sends or requests, replies
	// those that it sends to followers.
	loads, replies pace
	// linkMbps is the rate of this host's link; zero if unknown.
	linkMbps float64
	// queriedAt is the boot time of the last query, busy says that the last reply to one
	// with in-flight load held some.
	queriedAt time.Duration
	busy      bool
	// progress is the last received progress of the host that orders engines.
	progress   receivedProgress
	crashBatch crashBatch
}

// Option changes a default of New.
type Option func(*Exchange)

// WithOnMessage sets a function that is called after each received message.
func WithOnMessage(f func()) Option { return func(e *Exchange) { e.onMessage = f } }

// WithLog sets the log.
func WithLog(l *zap.Logger) Option { return func(e *Exchange) { e.log = l } }

// WithRoster sets the record of hosts that have recently written their rows.
func WithRoster(r Roster) Option { return func(e *Exchange) { e.roster = r } }

// WithTables sets the view of the versions of the platform's tables.
func WithTables(t Tables) Option { return func(e *Exchange) { e.tables = t } }

// WithCrashes sets the records of requests that have crashed targets.
func WithCrashes(c Crashes) Option { return func(e *Exchange) { e.crashes = c } }

// WithPlatformClock sets the clock on which messages state the time of their sending.
func WithPlatformClock(c *table.Clock) Option { return func(e *Exchange) { e.clock = c } }

// WithConfigs sets the record of the versions of the operator configuration at hosts.
func WithConfigs(c Configs) Option { return func(e *Exchange) { e.configs = c } }

// WithEvacuations sets the record of evacuated zones.
func WithEvacuations(v Evacuations) Option { return func(e *Exchange) { e.evacuated = v } }

// WithOrigins sets the record of the software versions that began streams.
func WithOrigins(o Origins) Option { return func(e *Exchange) { e.origins = o } }

// WithWeights sets the view of desired weight versions and of the rollout.
func WithWeights(w Weights) Option { return func(e *Exchange) { e.weights = w } }

// New returns an exchange that listens at an address. It calls topology before each
// round of messages.
func New(address, host string, f *fleet.Fleet, topology func() Topology, opts ...Option) *Exchange {
	e := &Exchange{
		address: address, host: host, fleet: f, topology: topology, onMessage: func() {}, log: zap.NewNop(),
		followers: map[string]time.Duration{}, clock: table.NewClock(),
	}
	for _, o := range opts {
		o(e)
	}
	return e
}

// Run sends and receives messages until ctx ends.
func (e *Exchange) Run(ctx context.Context) error {
	conn, err := listen(ctx, e.address)
	if err != nil {
		return errors.Annotatef(err, "listen for messages of other hosts on %s; free the address", e.address)
	}
	// The receive loop sees the end of this context before the connection is closed.
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // unblocks the receive loop
	defer stop()
	var senders sync.WaitGroup
	senders.Go(func() { safego.KeepRunning(ctx, e.log, "hail", func() { e.send(ctx, conn) }) })
	if e.origins != nil {
		senders.Go(func() { safego.KeepRunning(ctx, e.log, "streams", func() { e.sendStreams(ctx, conn) }) })
	}
	defer senders.Wait()
	defer cancel()
	return e.receive(ctx, conn)
}
