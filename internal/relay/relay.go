// Package relay distributes the changes of the platform's tables between hosts, so
// that only a few hosts have to poll the platform.
//
// Where there are many hosts, one host of each region, its leader, follows the
// tables on the platform. Several times a second the leader announces to a few
// hubs, and each hub to its followers, the version of each table and how long ago
// it was known to be current. A host that sees a higher version than its own
// fetches the changes from its hub, and can serve them to others. When the
// announcements are too old, because the hub or the leader does not respond or
// cannot read the table, the host follows the table on the platform itself. The
// position in a table never decreases, whichever source it comes from.
//
// The platform may return from an older copy of its tables and give versions out again;
// a new era begins then. A host learns of it from the platform or from its hub,
// whichever is first, and lists each table anew: it does not wait for the ends of polls
// that began in the older era, which say nothing about changes with lower versions.
// Responses of the platform in an older era are ignored, and so are announcements of a
// hub for a table that the host has in a newer era. A message without an era, as from a
// host of an earlier build, is of era zero.
//
// All hosts of a region may lose their hubs at once, and the platform may stand
// behind a link that they share. What the hosts then read together is bounded:
//
//   - A host whose read was cut off while it received data asks for the present rows
//     next, not for the same history again. Where rows are few and often rewritten
//     (see WithPresentRows), it does so after each longer gap.
//   - A read is not cut off while it receives data.
//   - A table that the platform lists anew, because its history is gone, is read from a
//     hub if the hub has all rows.
//   - Reads of slow tables are spread in time, so that the hosts of a region together
//     read at most fallbackBytesPerSecond.
//
// A Relay sits between a feed.Watch and the platform, so that the watch does not
// depend on where the changes come from.
//
// # Usage
//
//	r := relay.New(platform, query, relay.WithLeader(isLeader), relay.WithHub(isHub))
//	watch := feed.NewWatch(r, "servers", handler)
//	r.RecordVersions(hub, versions) // with each message of a hub
//
// # Units
//
// Ages are milliseconds on the boot clock; versions are the platform's.
package relay

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/feed"
	"sesamehill.example/sesamehill/internal/table"
	"sesamehill.example/sesamehill/internal/wire"
)

const (
	// pollWait is how long a leader's or hub's call to the platform waits for a
	// change. Together with the pause between two calls it stays below CurrentTTL.
	pollWait = 800 * time.Millisecond
	// CurrentTTL is how long a version counts as current after it was last known to
	// be. After it a host polls the platform itself.
	CurrentTTL = 1900 * time.Millisecond
	// slowPollWait and slowCurrentTTL are the same for tables whose changes may arrive
	// later.
	slowPollWait   = 4 * time.Second
	slowCurrentTTL = 8 * time.Second
	// MaxSlowInterval is the longest time between two calls for a slow table: with the
	// call it stays below slowCurrentTTL, so that followers of a leader find the table
	// current.
	MaxSlowInterval = slowCurrentTTL - slowPollWait - pollSlack
	// hubRetryDelay is how long a hub is not queried after a failed query.
	hubRetryDelay = time.Second
	// pollSlack is added to the wait of a call to the platform before it counts as
	// failed. Without a short timeout a lost response would withhold the changes from
	// this host, and from all hosts that depend on it, for a whole long poll.
	pollSlack = 700 * time.Millisecond
	// listTimeout is the longest time without data of a list of a table.
	listTimeout = 1500 * time.Millisecond
	// queryTimeout is the longest time without data of a hub's reply.
	queryTimeout = 600 * time.Millisecond
)

// TableVersion is the version of a table and how long ago it was known to be
// current, in milliseconds.
type TableVersion struct {
	Version uint64 `cbor:"1,keyasint"`
	AgeMs   int64  `cbor:"2,keyasint"`
	Era     uint64 `cbor:"3,keyasint,omitempty"`
}

func newTableVersion(p feed.Position, age time.Duration) TableVersion {
	return TableVersion{Version: p.Version, AgeMs: age.Milliseconds(), Era: p.Era}
}

func (v TableVersion) position() feed.Position { return feed.Position{Era: v.Era, Version: v.Version} }

// Query asks a hub for the changes of a table after a version.
type Query struct {
	Table string `cbor:"1,keyasint"`
	After uint64 `cbor:"2,keyasint"`
	// All asks for all rows in place of the changes.
	All bool `cbor:"3,keyasint,omitempty"`
	// Era is the era of After.
	Era uint64 `cbor:"4,keyasint,omitempty"`
}

func newQuery(table string, after feed.Position) Query {
	return Query{Table: table, After: after.Version, Era: after.Era}
}

func (q Query) after() feed.Position { return feed.Position{Era: q.Era, Version: q.After} }

// Reply holds the changes of a table up to a version, or all rows. Incomplete says
// that the hub does not have all changes since the version of the query, or not all
// rows.
type Reply struct {
	Rows       []feed.Row `cbor:"1,keyasint,omitempty"`
	Version    uint64     `cbor:"2,keyasint,omitempty"`
	Incomplete bool       `cbor:"3,keyasint,omitempty"`
	// Era is the era of Version.
	Era uint64 `cbor:"4,keyasint,omitempty"`
}

func (a Reply) position() feed.Position { return feed.Position{Era: a.Era, Version: a.Version} }

// QueryFunc sends a query to the hub at an address.
type QueryFunc func(ctx context.Context, hub string, q Query) (Reply, error)

// Option changes a default of New.
type Option func(*Relay)

// WithClock sets the clock, which must be the boot clock.
func WithClock(now func() time.Duration) Option { return func(r *Relay) { r.now = now } }

// WithLog sets the log.
func WithLog(l *zap.Logger) Option { return func(r *Relay) { r.logger = l } }

// WithLeader sets a function that reports whether this host is the leader, which
// follows the tables on the platform for the other hosts.
func WithLeader(f func() bool) Option { return func(r *Relay) { r.isLeader = f } }

// WithHub sets a function that reports whether this host is a hub. If a hub has to
// poll the platform, it does so as often as a leader.
func WithHub(f func() bool) Option { return func(r *Relay) { r.isHub = f } }

// WithSlowTables sets the tables whose changes may arrive later than those of others.
func WithSlowTables(tables ...string) Option {
	return func(r *Relay) {
		for _, t := range tables {
			r.slow[t] = true
		}
	}
}

// WithPresentRows sets the tables that have few rows, each of which is often rewritten.
// After a longer gap their present rows are shorter than their history.
func WithPresentRows(tables ...string) Option {
	return func(r *Relay) {
		for _, t := range tables {
			r.presentRows[t] = true
		}
	}
}

// WithRegionHosts sets a function that returns the number of hosts of this region.
func WithRegionHosts(f func() int) Option { return func(r *Relay) { r.regionHosts = f } }

// WithPlatformClock sets the clock on which the platform states the times of its answers.
func WithPlatformClock(c *table.Clock) Option { return func(r *Relay) { r.platformClock = c } }

// announcement is the position in a table that a hub announced.
type announcement struct {
	position feed.Position
	// currentAt is the boot time at which the position was known to be current.
	currentAt time.Duration
}

// Relay is a feed.Source that reads tables from a hub or the platform. It is safe
// for concurrent use.
type Relay struct {
	platform feed.Source
	queryHub QueryFunc
	now      func() time.Duration
	isLeader func() bool
	isHub    func() bool
	slow     map[string]bool
	// presentRows are the tables of WithPresentRows.
	presentRows   map[string]bool
	regionHosts   func() int
	platformClock *table.Clock
	logger        *zap.Logger

	mu   sync.Mutex
	logs map[string]*changeLog
	// era is the newest era of the platform that this host has seen. eraContext ends,
	// and is replaced, when a newer one is seen.
	era        uint64
	eraContext context.Context //nolint:containedctx // it is the lifetime of the era, not that of a call
	endEra     context.CancelFunc
	// confirming is held by the caller of Confirm that makes its call.
	confirming chan struct{}
	// failedAt holds the boot time at which the last failed call for a table started.
	failedAt map[string]time.Duration
	// announced holds the last announcement of the hub at hubAddress, by table.
	announced  map[string]announcement
	hubAddress string
	// hubRetryAt is the boot time until which the hub is not queried.
	hubRetryAt time.Duration
	// updated is closed, and replaced, with each announcement of a hub.
	updated chan struct{}
	// fallbackAt holds, for slow tables that no hub announces, the boot time from which
	// this host reads them from the platform.
	fallbackAt map[string]time.Duration
	// stats counts the reads by source and table.
	stats map[Source]map[string]*ReadStats
}

var _ feed.Source = (*Relay)(nil)

// New returns a relay in front of the platform's tables.
func New(platform feed.Source, query QueryFunc, opts ...Option) *Relay {
	r := &Relay{
		platform: platform, queryHub: query, now: wire.BootTime, isLeader: func() bool { return false }, isHub: func() bool { return false },
		slow: map[string]bool{}, presentRows: map[string]bool{}, regionHosts: func() int { return 1 },
		fallbackAt: map[string]time.Duration{}, logs: map[string]*changeLog{}, failedAt: map[string]time.Duration{}, announced: map[string]announcement{}, updated: make(chan struct{}),
		stats: map[Source]map[string]*ReadStats{}, confirming: make(chan struct{}, 1), logger: zap.NewNop(), platformClock: table.NewClock(),
	}
	r.eraContext, r.endEra = context.WithCancel(context.Background())
	for _, o := range opts {
		o(r)
	}
	return r
}

// RecordVersions records the versions of the tables that a hub announces.
func (r *Relay) RecordVersions(hub string, versions map[string]TableVersion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if hub != r.hubAddress {
		r.hubAddress, r.hubRetryAt = hub, 0
	}
	clear(r.announced)
	for table, v := range versions {
		currentAt := now - time.Duration(v.AgeMs)*time.Millisecond
		r.announced[table] = announcement{position: v.position(), currentAt: currentAt}
		r.recordEra(FromHub, table, v.position())
		if l := r.log(table); l.position == v.position() {
			l.currentAt, l.failing = max(l.currentAt, currentAt), false
		}
	}
	close(r.updated)
	r.updated = make(chan struct{})
}

// Versions returns the table versions that this host knows to be current.
func (r *Relay) Versions() map[string]TableVersion {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	out := make(map[string]TableVersion, len(r.logs))
	for table, l := range r.logs {
		if !l.failing && l.currentAt != 0 && now-l.currentAt <= r.currentTTL(table) {
			out[table] = newTableVersion(l.position, now-l.currentAt+time.Millisecond)
		}
	}
	return out
}

// HandleQuery returns the reply to the query of another host.
func (r *Relay) HandleQuery(q Query) Reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	l, ok := r.logs[q.Table]
	if !ok {
		return Reply{Incomplete: true}
	}
	rows, ok := l.after(q.after())
	if q.All {
		rows, ok = l.all()
	}
	if !ok {
		return Reply{Incomplete: true}
	}
	return Reply{Rows: rows, Version: l.position.Version, Era: l.position.Era}
}

// CurrentAt returns the boot time at which a table was last known to have no newer
// changes than those up to the given position; zero if it never was.
func (r *Relay) CurrentAt(table string, position feed.Position) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	var at time.Duration
	if l, ok := r.logs[table]; ok && !position.Before(l.position) {
		at = l.currentAt
	}
	if a, ok := r.announced[table]; ok && !position.Before(a.position) {
		at = max(at, a.currentAt)
	}
	return at
}

// History returns which changes of a table this host may not have received.
func (r *Relay) History(table string) History {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l, ok := r.logs[table]; ok {
		return l.history
	}
	return History{}
}

// FailedAt returns the boot time at which the last failed call to the platform for a table
// started; zero if none has failed.
func (r *Relay) FailedAt(table string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failedAt[table]
}

// CallCounts returns the numbers of calls to the platform and of queries to hubs.
func (r *Relay) CallCounts() (platform, hubs uint64) {
	for source, tables := range r.ReadStats() {
		for _, stats := range tables {
			if source == FromPlatform {
				platform += stats.Reads
			} else {
				hubs += stats.Reads
			}
		}
	}
	return platform, hubs
}

func (r *Relay) currentTTL(table string) time.Duration {
	if r.slow[table] {
		return slowCurrentTTL
	}
	return CurrentTTL
}

func (r *Relay) pollWait(table string) time.Duration {
	if r.slow[table] {
		return slowPollWait
	}
	return pollWait
}

// log returns the change log of a table. The caller holds mu.
func (r *Relay) log(table string) *changeLog {
	l, ok := r.logs[table]
	if !ok {
		l = &changeLog{}
		r.logs[table] = l
	}
	return l
}
