package fakes

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"sesamehill.example/sesamehill/internal/table"
)

var (
	_ table.Table   = (*Platform)(nil)
	_ table.Objects = (*Platform)(nil)
	_ table.Lister  = (*Platform)(nil)
)

// PlatformOption configures a fake platform.
type PlatformOption func(*Platform)

// WithListLag makes List return the list as of d ago.
func WithListLag(d time.Duration) PlatformOption {
	return func(p *Platform) { p.listLag = d }
}

// WithLimits refuses requests above the given numbers of reads and writes per
// second. A burst may contain the requests of one second.
func WithLimits(reads, writes int) PlatformOption {
	return func(p *Platform) {
		p.readLimit = rate.NewLimiter(rate.Limit(reads), reads)
		p.writeLimit = rate.NewLimiter(rate.Limit(writes), writes)
	}
}

// Platform is a fake of the platform's table, objects and list of hosts and targets.
// Read, Scan, Get and List count as one read each; Write, for a batch, and Put count
// as one write each.
type Platform struct {
	node
	listLag    time.Duration
	readLimit  *rate.Limiter
	writeLimit *rate.Limiter

	stateMu sync.Mutex
	state   platformState
	lists   []timedListing
	reads   meter
	writes  meter
	started time.Time
}

// platformState holds the table and the objects.
type platformState struct {
	rows map[string]table.Row
	// deletedVersions holds the last version of each deleted row, so that a row that is
	// created again continues from it.
	deletedVersions map[string]uint64
	objects         map[string][]byte
}

// timedListing is a list with the time at which it was set.
type timedListing struct {
	publishedAt time.Time
	listing     table.Listing
}

// Snapshot is a copy of the platform's table and objects.
type Snapshot struct{ state platformState }

// Rates holds the numbers of requests that the platform received.
type Rates struct {
	Reads  int
	Writes int
	// PeakReads and PeakWrites are the largest numbers within one second; seconds
	// are counted from the creation of the platform.
	PeakReads  int
	PeakWrites int
}

// NewPlatform returns an empty platform.
func NewPlatform(name string, opts ...PlatformOption) *Platform {
	p := &Platform{
		state:   platformState{map[string]table.Row{}, map[string]uint64{}, map[string][]byte{}},
		lists:   []timedListing{{}},
		started: time.Now(),
	}
	p.node = newNode(name, p.route)
	for _, o := range opts {
		o(p)
	}
	return p
}

// Get returns a copy of an object.
func (p *Platform) Get(ctx context.Context, name string) ([]byte, error) {
	if err := p.admit(ctx, false); err != nil {
		return nil, err
	}
	p.stateMu.Lock()
	data, ok := p.state.objects[name]
	p.stateMu.Unlock()
	if !ok {
		return nil, &table.MissingError{Name: name}
	}
	return bytes.Clone(data), p.afterRead("get")
}

// List returns the list, delayed by WithListLag.
func (p *Platform) List(ctx context.Context) (table.Listing, error) {
	if err := p.admit(ctx, false); err != nil {
		return table.Listing{}, err
	}
	p.stateMu.Lock()
	visible := p.lists[0].listing
	for _, l := range p.lists {
		if time.Since(l.publishedAt) >= p.listLag {
			visible = l.listing
		}
	}
	p.stateMu.Unlock()
	return visible, p.afterRead("list")
}

// Put stores an object.
func (p *Platform) Put(ctx context.Context, name string, data []byte) error {
	if err := p.admit(ctx, true); err != nil {
		return err
	}
	p.stateMu.Lock()
	p.state.objects[name] = bytes.Clone(data)
	p.stateMu.Unlock()
	return p.afterWrite("put")
}

// Rates returns the numbers of requests so far.
func (p *Platform) Rates() Rates {
	p.stateMu.Lock()
	defer p.stateMu.Unlock()
	return Rates{p.reads.total, p.writes.total, p.reads.peak, p.writes.peak}
}

// Read returns the rows of the keys, in the order of the keys.
func (p *Platform) Read(ctx context.Context, keys ...string) ([]table.Row, error) {
	if err := p.admit(ctx, false); err != nil {
		return nil, err
	}
	p.stateMu.Lock()
	rows := make([]table.Row, len(keys))
	for i, k := range keys {
		rows[i] = p.copyRow(k)
	}
	p.stateMu.Unlock()
	return rows, p.afterRead("read")
}

// Restore resets table and objects to a snapshot, as a restore from a backup does:
// later writes are lost and their versions are reused.
func (p *Platform) Restore(s Snapshot) {
	p.stateMu.Lock()
	defer p.stateMu.Unlock()
	p.state = s.state.clone()
}

// Scan returns up to limit rows whose keys have the prefix and sort after the key
// after. A limit of 0 or less means unlimited.
func (p *Platform) Scan(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	if err := p.admit(ctx, false); err != nil {
		return nil, err
	}
	p.stateMu.Lock()
	var keys []string
	for k := range p.state.rows {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	if limit > 0 && len(keys) > limit {
		keys = keys[:limit]
	}
	rows := make([]table.Row, len(keys))
	for i, k := range keys {
		rows[i] = p.copyRow(k)
	}
	p.stateMu.Unlock()
	return rows, p.afterRead("scan")
}

// SetList replaces the list. List returns it after the lag.
func (p *Platform) SetList(l table.Listing) {
	p.stateMu.Lock()
	defer p.stateMu.Unlock()
	publishedAt := time.Now()
	if p.lists[0].publishedAt.IsZero() {
		// The first list is visible immediately.
		p.lists, publishedAt = nil, publishedAt.Add(-p.listLag)
	}
	l.Hosts, l.Targets = slices.Clone(l.Hosts), slices.Clone(l.Targets)
	p.lists = append(p.lists, timedListing{publishedAt, l})
}

// Snapshot returns a copy of table and objects.
func (p *Platform) Snapshot() Snapshot {
	p.stateMu.Lock()
	defer p.stateMu.Unlock()
	return Snapshot{p.state.clone()}
}

// Write applies all operations of a batch or none.
func (p *Platform) Write(ctx context.Context, ops []table.Op) error {
	if err := p.admit(ctx, true); err != nil {
		return err
	}
	p.stateMu.Lock()
	err := p.apply(ops)
	p.stateMu.Unlock()
	if replyErr := p.afterWrite("write"); replyErr != nil {
		return replyErr
	}
	return err
}

// apply checks all operations before it applies the first; the caller holds the
// lock.
func (p *Platform) apply(ops []table.Op) error {
	seen := make(map[string]bool, len(ops))
	for _, o := range ops {
		if seen[o.Key] {
			return &table.DownError{Reason: "the batch contains row " + o.Key + " twice"}
		}
		seen[o.Key] = true
		if v := p.state.rows[o.Key].Version; v != o.Version {
			return &table.ConflictError{Key: o.Key, Version: v}
		}
	}
	for _, o := range ops {
		version := max(p.state.rows[o.Key].Version, p.state.deletedVersions[o.Key]) + 1
		if o.Delete {
			delete(p.state.rows, o.Key)
			p.state.deletedVersions[o.Key] = version
			continue
		}
		p.state.rows[o.Key] = table.Row{Key: o.Key, Version: version, Value: bytes.Clone(o.Value)}
	}
	return nil
}

// admit applies faults and rate limits before a request takes effect.
func (p *Platform) admit(ctx context.Context, write bool) error {
	if err := p.beforeRequest(ctx); err != nil {
		return &table.DownError{Reason: err.Error()}
	}
	limiter, m := p.readLimit, &p.reads
	if write {
		limiter, m = p.writeLimit, &p.writes
	}
	p.stateMu.Lock()
	m.count(time.Since(p.started))
	p.stateMu.Unlock()
	if limiter != nil && !limiter.Allow() {
		return &table.DownError{Reason: "request rate limit exceeded"}
	}
	return nil
}

// afterRead applies the faults that act after a read took effect.
func (p *Platform) afterRead(operation string) error {
	if p.loseReply(operation) {
		return &lostReplyError{&table.DownError{Reason: "the connection broke before the reply"}}
	}
	return nil
}

// afterWrite applies the faults that act after a write took effect.
func (p *Platform) afterWrite(operation string) error {
	if p.loseReply(operation) {
		return &table.UnknownOutcomeError{Reason: "the connection broke before the reply"}
	}
	return nil
}

// copyRow returns a copy of a row, with version 0 for a missing one; the caller
// holds the lock.
func (p *Platform) copyRow(key string) table.Row {
	r := p.state.rows[key]
	return table.Row{Key: key, Version: r.Version, Value: bytes.Clone(r.Value)}
}

// clone copies the maps; values are shared, since nothing modifies them.
func (s platformState) clone() platformState {
	c := platformState{map[string]table.Row{}, map[string]uint64{}, map[string][]byte{}}
	for k, v := range s.rows {
		c.rows[k] = v
	}
	for k, v := range s.deletedVersions {
		c.deletedVersions[k] = v
	}
	for k, v := range s.objects {
		c.objects[k] = v
	}
	return c
}

// lostReplyError marks a result for which the HTTP server must not send a reply.
type lostReplyError struct{ error }

// Unwrap returns the error that an in-memory caller matches.
func (e *lostReplyError) Unwrap() error { return e.error }

// meter counts requests in total and in the second with the most requests.
type meter struct {
	total         int
	peak          int
	currentSecond time.Duration
	inSecond      int
}

// count adds a request at a time since the start.
func (m *meter) count(elapsed time.Duration) {
	m.total++
	if s := elapsed.Truncate(time.Second); s != m.currentSecond {
		m.currentSecond, m.inSecond = s, 0
	}
	m.inSecond++
	m.peak = max(m.peak, m.inSecond)
}
