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

// WithListLag makes the list show the state of d ago.
func WithListLag(d time.Duration) PlatformOption {
	return func(p *Platform) { p.listLag = d }
}

// WithLimits refuses requests above the given numbers of reads and writes a
// second, with bursts of one second's worth.
func WithLimits(reads, writes int) PlatformOption {
	return func(p *Platform) {
		p.readLimit = rate.NewLimiter(rate.Limit(reads), reads)
		p.writeLimit = rate.NewLimiter(rate.Limit(writes), writes)
	}
}

// Platform is a fake of the platform's table, objects and list. A read, a scan,
// the get of an object and the list count as one read each; a write batch and
// the put of an object count as one write each.
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

type platformState struct {
	rows map[string]table.Row
	// deletedVersions holds the last version of deleted rows, so that a row that is made
	// again continues from there.
	deletedVersions map[string]uint64
	objects         map[string][]byte
}

type timedListing struct {
	publishedAt time.Time
	listing     table.Listing
}

// Snapshot is a state of the platform's table and objects.
type Snapshot struct{ state platformState }

// Rates are the numbers of requests to the platform.
type Rates struct {
	Reads  int
	Writes int
	// PeakReads and PeakWrites are the largest numbers within a second, counted
	// in seconds since the platform was made.
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

// Get returns an object.
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

// List returns the list as of the lag ago.
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

// Rates returns how many requests the platform has seen.
func (p *Platform) Rates() Rates {
	p.stateMu.Lock()
	defer p.stateMu.Unlock()
	return Rates{p.reads.total, p.writes.total, p.reads.peak, p.writes.peak}
}

// Read returns the rows of the keys, in order.
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

// Restore puts table and objects back to a snapshot, as after a disaster: later
// writes are lost and their versions are used again.
func (p *Platform) Restore(s Snapshot) {
	p.stateMu.Lock()
	defer p.stateMu.Unlock()
	p.state = s.state.clone()
}

// Scan returns up to limit rows with the prefix that sort after the key after.
// A limit of 0 or less means none.
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

// SetList replaces the list; readers see it after the lag.
func (p *Platform) SetList(l table.Listing) {
	p.stateMu.Lock()
	defer p.stateMu.Unlock()
	at := time.Now()
	if p.lists[0].publishedAt.IsZero() {
		// The first list is visible at once.
		p.lists, at = nil, at.Add(-p.listLag)
	}
	l.Hosts, l.Targets = slices.Clone(l.Hosts), slices.Clone(l.Targets)
	p.lists = append(p.lists, timedListing{at, l})
}

// Snapshot returns the state of table and objects.
func (p *Platform) Snapshot() Snapshot {
	p.stateMu.Lock()
	defer p.stateMu.Unlock()
	return Snapshot{p.state.clone()}
}

// Write applies all ops or none.
func (p *Platform) Write(ctx context.Context, ops []table.Op) error {
	if err := p.admit(ctx, true); err != nil {
		return err
	}
	p.stateMu.Lock()
	err := p.apply(ops)
	p.stateMu.Unlock()
	if lost := p.afterWrite("write"); lost != nil {
		return lost
	}
	return err
}

// apply checks every op before it changes anything; the caller holds the lock.
func (p *Platform) apply(ops []table.Op) error {
	seen := make(map[string]bool, len(ops))
	for _, o := range ops {
		if seen[o.Key] {
			return &table.DownError{Reason: "a batch names row " + o.Key + " twice"}
		}
		seen[o.Key] = true
		if v := p.state.rows[o.Key].Version; v != o.Version {
			return &table.ConflictError{Key: o.Key, Version: v}
		}
	}
	for _, o := range ops {
		next := max(p.state.rows[o.Key].Version, p.state.deletedVersions[o.Key]) + 1
		if o.Delete {
			delete(p.state.rows, o.Key)
			p.state.deletedVersions[o.Key] = next
			continue
		}
		p.state.rows[o.Key] = table.Row{Key: o.Key, Version: next, Value: bytes.Clone(o.Value)}
	}
	return nil
}

// admit applies faults and limits before a request takes effect.
func (p *Platform) admit(ctx context.Context, writes bool) error {
	if err := p.beforeRequest(ctx); err != nil {
		return &table.DownError{Reason: err.Error()}
	}
	limit, m := p.readLimit, &p.reads
	if writes {
		limit, m = p.writeLimit, &p.writes
	}
	p.stateMu.Lock()
	m.count(time.Since(p.started))
	p.stateMu.Unlock()
	if limit != nil && !limit.Allow() {
		return &table.DownError{Reason: "rate limit"}
	}
	return nil
}

// afterRead applies the faults after a afterRead.
func (p *Platform) afterRead(operation string) error {
	if p.loseReply(operation) {
		return &lostReplyError{&table.DownError{Reason: "the connection broke before the reply"}}
	}
	return nil
}

// afterWrite applies the faults after a write.
func (p *Platform) afterWrite(operation string) error {
	if p.loseReply(operation) {
		return &table.UnknownError{Reason: "the connection broke before the reply"}
	}
	return nil
}

func (p *Platform) copyRow(key string) table.Row {
	r := p.state.rows[key]
	return table.Row{Key: key, Version: r.Version, Value: bytes.Clone(r.Value)}
}

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

// lostReplyError marks a reply that the HTTP server must not send.
type lostReplyError struct{ error }

// Unwrap returns the error that an in-memory caller sees.
func (e *lostReplyError) Unwrap() error { return e.error }

// meter counts events in total and in the busiest second.
type meter struct {
	total         int
	peak          int
	currentSecond time.Duration
	inSecond      int
}

func (m *meter) count(since time.Duration) {
	m.total++
	if s := since.Truncate(time.Second); s != m.currentSecond {
		m.currentSecond, m.inSecond = s, 0
	}
	m.inSecond++
	m.peak = max(m.peak, m.inSecond)
}
