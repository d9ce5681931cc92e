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
// version of a table never decreases, whichever source it comes from.
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
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/feed"
	"sesamehill.example/sesamehill/internal/pause"
	"sesamehill.example/sesamehill/internal/wire"
)

const (
	// pollWait is how long a leader's or hub's call to the platform waits for a
	// change. Together with the pause between two calls it stays below currentTTL.
	pollWait = 800 * time.Millisecond
	// currentTTL is how long a version counts as current after it was last known to
	// be. After it a host polls the platform itself.
	currentTTL = 1900 * time.Millisecond
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
	// listTimeout is the time until the first data of a list of a table.
	listTimeout = 1500 * time.Millisecond
	// queryTimeout is the longest time without data of a hub's reply.
	queryTimeout = 600 * time.Millisecond
	// maxHistoryGap is the time since a table was current after which a table of
	// WithPresentRows is listed. For slow tables, which are read less often, it is
	// slowCurrentTTL.
	maxHistoryGap = 4 * time.Second
	// fallbackBytesPerSecond is what the hosts of a region together read of a slow
	// table from the platform when they have lost their hubs: a seventh of a link of
	// 60 Mbit/s.
	fallbackBytesPerSecond = 1 << 20
)

// TableVersion is the version of a table and how long ago it was known to be
// current, in milliseconds.
type TableVersion struct {
	Version uint64 `cbor:"1,keyasint"`
	AgeMs   int64  `cbor:"2,keyasint"`
}

// Query asks a hub for the changes of a table after a version.
type Query struct {
	Table string `cbor:"1,keyasint"`
	After uint64 `cbor:"2,keyasint"`
	// All asks for all rows in place of the changes.
	All bool `cbor:"3,keyasint,omitempty"`
}

// Reply holds the changes of a table up to a version, or all rows. Incomplete says
// that the hub does not have all changes since the version of the query, or not all
// rows.
type Reply struct {
	Rows       []feed.Row `cbor:"1,keyasint,omitempty"`
	Version    uint64     `cbor:"2,keyasint,omitempty"`
	Incomplete bool       `cbor:"3,keyasint,omitempty"`
}

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

// announcement is the version of a table that a hub announced.
type announcement struct {
	version uint64
	// currentAt is the boot time at which the version was known to be current.
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
	presentRows map[string]bool
	regionHosts func() int
	logger      *zap.Logger

	mu   sync.Mutex
	logs map[string]*changeLog
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
		fallbackAt: map[string]time.Duration{}, logs: map[string]*changeLog{}, announced: map[string]announcement{}, updated: make(chan struct{}),
		stats: map[Source]map[string]*ReadStats{}, logger: zap.NewNop(),
	}
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
		r.announced[table] = announcement{version: v.Version, currentAt: currentAt}
		if l := r.log(table); l.version == v.Version {
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
			out[table] = TableVersion{Version: l.version, AgeMs: (now - l.currentAt).Milliseconds() + 1}
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
	rows, ok := l.after(q.After)
	if q.All {
		rows, ok = l.all()
	}
	if !ok {
		return Reply{Incomplete: true}
	}
	return Reply{Rows: rows, Version: l.version}
}

// CurrentAt returns the boot time at which a table was last known to have no newer
// version than the given one; zero if it never was.
func (r *Relay) CurrentAt(table string, version uint64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	var at time.Duration
	if l, ok := r.logs[table]; ok && l.version <= version {
		at = l.currentAt
	}
	if a, ok := r.announced[table]; ok && a.version <= version {
		at = max(at, a.currentAt)
	}
	return at
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

// List returns all rows of a table. It reads them from the hub if the hub has them and
// its announcement is recent, and from the platform otherwise.
func (r *Relay) List(ctx context.Context, table string) ([]feed.Row, uint64, error) {
	if s := r.hubState(table, r.version(table), r.now()); s.usable {
		if a, ok := r.queryOnce(ctx, s, Query{Table: table, All: true}); ok {
			r.recordAll(table, a.Rows, a.Version, s.announcement.currentAt)
			return a.Rows, a.Version, nil
		}
	}
	ctx, cancel := wire.WithStallTimeout(ctx, listTimeout, pollSlack)
	defer cancel()
	d := r.beginRead(FromPlatform, table, 0)
	rows, version, err := r.platform.List(ctx, table)
	r.endRead(d, rows, err)
	if err != nil {
		r.recordFailure(table, false)
		return nil, 0, err
	}
	r.recordAll(table, rows, version, d.startedAt)
	r.delayNextFallback(table, rows)
	return rows, version, nil
}

// version returns the version of a table up to which this host has the changes.
func (r *Relay) version(table string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.log(table).version
}

// recordAll records all rows of a table for queries of other hosts.
func (r *Relay) recordAll(table string, rows []feed.Row, version uint64, currentAt time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l := r.log(table); version >= l.version {
		l.setAll(rows, version, currentAt)
	}
}

// recordFailure records that a table could not be read. cutOff says that data had been
// received.
func (r *Relay) recordFailure(table string, cutOff bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.log(table)
	l.failing = true
	l.cutOff = l.cutOff || cutOff
}

// Changes returns the changes of a table after a version and waits if there are
// none yet. It reads them from the hub while the hub's announcements are recent, and
// from the platform otherwise. It returns a *feed.HistoryExpiredError if the present
// rows are to be read in place of the changes.
func (r *Relay) Changes(
	ctx context.Context, table string, after uint64, wait time.Duration,
) ([]feed.Row, uint64, error) {
	deadline := r.now() + wait
	for {
		s := r.hubState(table, after, deadline)
		switch {
		case !s.usable:
			delayed, err := r.delayFallback(ctx, table, deadline)
			if err != nil {
				return nil, 0, err
			}
			if !delayed {
				return r.pollPlatform(ctx, table, after, deadline-r.now())
			}
		case s.newer:
			if rows, version, ok := r.fetchFromHub(ctx, s, Query{Table: table, After: after}); ok {
				return rows, version, nil
			}
			r.delayHubQueries()
		case s.maxWait <= 0:
			return nil, after, nil
		default:
			if err := waitForUpdate(ctx, s.maxWait, s.updated); err != nil {
				return nil, 0, err
			}
		}
	}
}

// hubState is what a hub's last announcement means for a call that waits for changes
// of a table.
type hubState struct {
	hub string
	announcement
	// usable says that the announcement is recent and not behind the caller. newer
	// says that the hub has changes for the caller.
	usable, newer bool
	// maxWait is how long the state stays the same unless updated is closed.
	maxWait time.Duration
	updated <-chan struct{}
}

// hubState evaluates the hub's last announcement for a call that waits for changes
// after a version until a deadline.
func (r *Relay) hubState(table string, after uint64, deadline time.Duration) hubState {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	a, ok := r.announced[table]
	s := hubState{hub: r.hubAddress, announcement: a, updated: r.updated}
	s.usable = ok && !r.isLeader() && now >= r.hubRetryAt && now-a.currentAt <= r.currentTTL(table) && a.version >= after
	s.newer = a.version > after
	if s.usable {
		delete(r.fallbackAt, table)
	}
	s.maxWait = min(deadline, a.currentAt+r.currentTTL(table)+time.Millisecond) - now
	if deadline <= now {
		s.maxWait = 0
	}
	return s
}

// pollPlatform reads the changes from the platform and records them for queries of
// other hosts.
func (r *Relay) pollPlatform(
	ctx context.Context, table string, after uint64, wait time.Duration,
) ([]feed.Row, uint64, error) {
	if r.hubsInUse() {
		wait = min(wait, r.pollWait(table))
	}
	wait = max(wait, 0)
	if r.needsPresentRows(table) {
		return nil, 0, &feed.HistoryExpiredError{Table: table, After: after}
	}
	ctx, cancel := wire.WithStallTimeout(ctx, wait+pollSlack, pollSlack)
	defer cancel()
	d := r.beginRead(FromPlatform, table, after)
	rows, version, err := r.platform.Changes(ctx, table, after, wait)
	r.endRead(d, rows, err)
	var expired *feed.HistoryExpiredError
	switch {
	case errors.As(err, &expired):
		// The platform has answered, so the hub that this host may be can go on
		// announcing the table until it has listed it.
		return nil, 0, err
	case err != nil:
		r.recordFailure(table, wire.Progressed(ctx))
		return nil, 0, err
	}
	r.recordChanges(table, after, rows, max(version, after))
	r.delayNextFallback(table, rows)
	return rows, version, nil
}

// recordChanges records changes that were read from the platform.
func (r *Relay) recordChanges(table string, after uint64, rows []feed.Row, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.log(table)
	l.add(after, rows, version, r.now())
	l.failing, l.cutOff = false, false
}

// needsPresentRows reports whether the present rows of a table are to be read in place
// of its history.
func (r *Relay) needsPresentRows(table string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.log(table)
	return l.cutOff || r.presentRows[table] && r.now()-l.currentAt > max(maxHistoryGap, r.currentTTL(table))
}

// delayFallback waits if this host should not read a table from the platform yet. It
// returns false if there is nothing to wait for.
func (r *Relay) delayFallback(ctx context.Context, table string, deadline time.Duration) (bool, error) {
	if !r.slow[table] || r.isLeader() || !r.hubsInUse() {
		return false, nil
	}
	hosts := r.regionHosts()
	r.mu.Lock()
	now, updated := r.now(), r.updated
	at, ok := r.fallbackAt[table]
	if !ok {
		at = now + rand.N(fallbackPeriod(slices.Collect(maps.Values(r.log(table).rows)), hosts)+1)
		r.fallbackAt[table] = at
	}
	r.mu.Unlock()
	switch {
	case now >= at:
		return false, nil
	case now >= deadline:
		return false, &DelayedError{Table: table, Delay: at - now}
	}
	return true, waitForUpdate(ctx, min(at, deadline)-now, updated)
}

// fallbackPeriod returns the time in which each of the hosts of a region may read rows
// once.
func fallbackPeriod(rows []feed.Row, hosts int) time.Duration {
	return time.Duration(size(rows)) * time.Duration(hosts) * time.Second / fallbackBytesPerSecond
}

// delayNextFallback delays the next read of a table from the platform after one that
// has returned rows.
func (r *Relay) delayNextFallback(table string, rows []feed.Row) {
	if !r.slow[table] {
		return
	}
	hosts := r.regionHosts()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fallbackAt[table] = r.now() + pause.Jitter(fallbackPeriod(rows, hosts))
}

// DelayedError says that a table is not read from the platform yet, because the other
// hosts of the region read it too.
type DelayedError struct {
	Table string
	Delay time.Duration
}

// Error names the table and the remedy.
func (e *DelayedError) Error() string {
	return fmt.Sprintf("no hub knows table %q, and this host reads it from the platform only in %s; retry the call", e.Table, e.Delay)
}

// fetchFromHub queries the hub for the changes that it has announced and records
// them for queries of other hosts; false if the hub does not have all of them.
func (r *Relay) fetchFromHub(ctx context.Context, s hubState, q Query) ([]feed.Row, uint64, bool) {
	a, ok := r.queryOnce(ctx, s, q)
	if !ok || a.Version < q.After {
		return nil, 0, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.log(q.Table)
	l.add(q.After, a.Rows, a.Version, s.announcement.currentAt)
	l.failing = false
	return a.Rows, a.Version, true
}

// queryOnce sends a query to the hub; false if the hub does not have what it asks for.
func (r *Relay) queryOnce(ctx context.Context, s hubState, q Query) (Reply, bool) {
	ctx, cancel := wire.WithStallTimeout(ctx, queryTimeout, queryTimeout)
	defer cancel()
	d := r.beginRead(FromHub, q.Table, q.After)
	a, err := r.queryHub(ctx, s.hub, q)
	r.endRead(d, a.Rows, err)
	return a, err == nil && !a.Incomplete && a.Version != 0
}

// hubsInUse reports whether there are hubs: this host is one, or has received an
// announcement of one. A host that has lost its hub then polls the platform as often
// as the hubs do.
func (r *Relay) hubsInUse() bool {
	if r.isHub() {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hubAddress != ""
}

func (r *Relay) currentTTL(table string) time.Duration {
	if r.slow[table] {
		return slowCurrentTTL
	}
	return currentTTL
}

func (r *Relay) pollWait(table string) time.Duration {
	if r.slow[table] {
		return slowPollWait
	}
	return pollWait
}

// delayHubQueries delays the next query to the hub after a failed one.
func (r *Relay) delayHubQueries() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hubRetryAt = r.now() + hubRetryDelay
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

// waitForUpdate waits until updated is closed, but not longer than d.
func waitForUpdate(ctx context.Context, d time.Duration, updated <-chan struct{}) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-updated:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}
