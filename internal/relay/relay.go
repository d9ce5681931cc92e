// Package relay lets most hosts learn what the platform's tables say from a few.
//
// Where hosts are many, one host of each region, its leader, follows the tables on
// the platform. It tells a few hubs, and each other host asks one hub, several
// times a second: the version of each table and how long ago that was known to be
// the current one. A host that sees a higher version than its own asks its hub for
// the changes, and can tell them on. It follows a table on the platform itself
// from the moment on at which what it hears is too old, because those before it
// are silent or cannot read the table. A version never goes back, whoever told it.
//
// A Relay stands between a feed.Watch and the platform, so that what follows a
// table need not know where its changes come from.
//
// # Usage
//
//	r := relay.New(platform, ask, relay.WithLeader(leads), relay.WithHub(isHub))
//	watch := feed.NewWatch(r, "servers", handler)
//	r.Announced(hub, versions) // with each answer of a hub
//
// # Units
//
// Ages are milliseconds on the boot clock; versions are the platform's.
package relay

import (
	"context"
	"sync"
	"time"

	"sesamehill.example/sesamehill/internal/feed"
	"sesamehill.example/sesamehill/internal/wire"
)

const (
	// leaderWait is how long a leader's call to the platform waits for a change. With
	// the pause between two calls it stays below believed.
	leaderWait = 800 * time.Millisecond
	// believed is how long a table is taken for current after it was known to be.
	// Hosts are on their own again after it.
	believed = 1900 * time.Millisecond
	// slowWait and slowBelieved are the same for tables whose changes may come later.
	slowWait     = 4 * time.Second
	slowBelieved = 8 * time.Second
	// avoidFor is how long a hub is not asked for rows after a failed call.
	avoidFor = time.Second
	// slack is added to the wait of a call before it counts as failed: an answer that
	// was lost would otherwise keep the changes from this host, and all that learn
	// from it, for the whole of a long poll.
	slack      = 700 * time.Millisecond
	askTimeout = 600 * time.Millisecond
)

// Seen is the version of a table and how long ago it was known to be current.
type Seen struct {
	Version uint64 `cbor:"1,keyasint"`
	Age     int64  `cbor:"2,keyasint"`
}

// Question asks a hub for the changes of a table.
type Question struct {
	Table string `cbor:"1,keyasint"`
	After uint64 `cbor:"2,keyasint"`
}

// Answer holds the changes of a table up to a version. Gone says that the hub does
// not know all of them.
type Answer struct {
	Rows    []feed.Row `cbor:"1,keyasint,omitempty"`
	Version uint64     `cbor:"2,keyasint,omitempty"`
	Gone    bool       `cbor:"3,keyasint,omitempty"`
}

// Ask asks the hub at an address.
type Ask func(ctx context.Context, hub string, q Question) (Answer, error)

// Option changes a default of New.
type Option func(*Relay)

// WithClock sets the boot clock.
func WithClock(now func() time.Duration) Option { return func(r *Relay) { r.now = now } }

// WithLeader sets a function that says whether this host follows the tables on the
// platform for the others.
func WithLeader(f func() bool) Option { return func(r *Relay) { r.leader = f } }

// WithHub sets a function that says whether others ask this host, which then looks
// at the platform as often as a leader while it has to.
func WithHub(f func() bool) Option { return func(r *Relay) { r.hub = f } }

// WithSlow names tables whose changes may come later than those of others.
func WithSlow(tables ...string) Option {
	return func(r *Relay) {
		for _, t := range tables {
			r.slow[t] = true
		}
	}
}

// announced is what a hub said about a table.
type announced struct {
	version uint64
	// current is the boot time at which the table was at version.
	current time.Duration
}

// Relay is the source of the tables' changes. It is safe for concurrent use.
type Relay struct {
	platform feed.Source
	ask      Ask
	now      func() time.Duration
	leader   func() bool
	hub      func() bool
	slow     map[string]bool

	mu   sync.Mutex
	logs map[string]*log
	// told holds what the hub at an address said last.
	told    map[string]announced
	address string
	avoided time.Duration
	// news is closed with each answer of a hub.
	news chan struct{}
	// calls counts the calls to the platform, asked those to hubs.
	calls, asked uint64
}

var _ feed.Source = (*Relay)(nil)

// New returns a relay in front of the platform's tables.
func New(platform feed.Source, ask Ask, opts ...Option) *Relay {
	r := &Relay{
		platform: platform, ask: ask, now: wire.Boot, leader: func() bool { return false }, hub: func() bool { return false },
		slow: map[string]bool{}, logs: map[string]*log{}, told: map[string]announced{}, news: make(chan struct{}),
	}
	for _, o := range opts {
		o(r)
	}
	return r
}

// Announced takes over what a hub says about the tables.
func (r *Relay) Announced(hub string, versions map[string]Seen) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if hub != r.address {
		r.address, r.avoided = hub, 0
	}
	clear(r.told)
	for table, s := range versions {
		current := now - time.Duration(s.Age)*time.Millisecond
		r.told[table] = announced{version: s.Version, current: current}
		if l := r.log(table); l.version == s.Version {
			l.current = max(l.current, current)
		}
	}
	close(r.news)
	r.news = make(chan struct{})
}

// Versions returns what this host can tell others about the tables.
func (r *Relay) Versions() map[string]Seen {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	out := make(map[string]Seen, len(r.logs))
	for table, l := range r.logs {
		if l.current != 0 && now-l.current <= r.believed(table) {
			out[table] = Seen{Version: l.version, Age: (now - l.current).Milliseconds() + 1}
		}
	}
	return out
}

// Tell answers another host's question.
func (r *Relay) Tell(q Question) Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	l, ok := r.logs[q.Table]
	if !ok {
		return Answer{Gone: true}
	}
	rows, ok := l.after(q.After)
	if !ok {
		return Answer{Gone: true}
	}
	return Answer{Rows: rows, Version: l.version}
}

// Current returns the boot time at which a table was last known to be as this host
// knows it; zero if it never was.
func (r *Relay) Current(table string, version uint64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	var at time.Duration
	if l, ok := r.logs[table]; ok && l.version <= version {
		at = l.current
	}
	if t, ok := r.told[table]; ok && t.version <= version {
		at = max(at, t.current)
	}
	return at
}

// Counts returns the calls to the platform and to hubs.
func (r *Relay) Counts() (platform, hubs uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls, r.asked
}

// List returns all rows of a table, always from the platform.
func (r *Relay) List(ctx context.Context, table string) ([]feed.Row, uint64, error) {
	began := r.begin()
	rows, version, err := r.platform.List(ctx, table)
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.log(table)
	if err != nil {
		l.current = 0
		return nil, 0, err
	}
	l.begin(version, began)
	return rows, version, nil
}

// Changes returns the changes of a table after a version, waiting for the first:
// from a hub while that is current, else from the platform.
func (r *Relay) Changes(
	ctx context.Context, table string, after uint64, wait time.Duration,
) ([]feed.Row, uint64, error) {
	end := r.now() + wait
	for {
		s := r.look(table, after, end)
		switch {
		case !s.fresh:
			return r.direct(ctx, table, after, end-r.now())
		case s.newer:
			if rows, version, ok := r.fetch(ctx, s, Question{Table: table, After: after}); ok {
				return rows, version, nil
			}
			r.avoid()
		case s.rest <= 0:
			return nil, after, nil
		default:
			if err := pauseFor(ctx, s.rest, s.news); err != nil {
				return nil, 0, err
			}
		}
	}
}

// look is what the hub's last answer means for a table.
type look struct {
	hub string
	announced
	fresh, newer bool
	// rest is how long nothing but news can change that.
	rest time.Duration
	news <-chan struct{}
}

func (r *Relay) look(table string, after uint64, end time.Duration) look {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	t, ok := r.told[table]
	s := look{hub: r.address, announced: t, news: r.news}
	s.fresh = ok && !r.leader() && now >= r.avoided && now-t.current <= r.believed(table) && t.version >= after
	s.newer = t.version > after
	s.rest = min(end, t.current+r.believed(table)+time.Millisecond) - now
	if end <= now {
		s.rest = 0
	}
	return s
}

// direct reads the changes from the platform and notes them for others.
func (r *Relay) direct(
	ctx context.Context, table string, after uint64, wait time.Duration,
) ([]feed.Row, uint64, error) {
	if r.many() {
		wait = min(wait, r.leaderWait(table))
	}
	wait = max(wait, 0)
	ctx, cancel := context.WithTimeout(ctx, wait+slack)
	defer cancel()
	r.begin()
	rows, version, err := r.platform.Changes(ctx, table, after, wait)
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.log(table)
	if err != nil {
		l.current = 0
		return nil, 0, err
	}
	l.add(after, rows, max(version, after), r.now())
	return rows, version, nil
}

// fetch asks the hub for the changes that it has announced and notes them for
// others; false if it does not have them all.
func (r *Relay) fetch(ctx context.Context, s look, q Question) ([]feed.Row, uint64, bool) {
	r.mu.Lock()
	r.asked++
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	a, err := r.ask(ctx, s.hub, q)
	if err != nil || a.Gone || a.Version < q.After {
		return nil, 0, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.log(q.Table).add(q.After, a.Rows, a.Version, s.announced.current)
	return a.Rows, a.Version, true
}

// many reports whether there are hubs: this host is one or has heard one. A host on
// its own again then looks at the platform as often as they do.
func (r *Relay) many() bool {
	if r.hub() {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.address != ""
}

func (r *Relay) believed(table string) time.Duration {
	if r.slow[table] {
		return slowBelieved
	}
	return believed
}

func (r *Relay) leaderWait(table string) time.Duration {
	if r.slow[table] {
		return slowWait
	}
	return leaderWait
}

// avoid keeps the hub from being asked for a time.
func (r *Relay) avoid() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.avoided = r.now() + avoidFor
}

// begin counts a call to the platform and returns when it begins.
func (r *Relay) begin() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls++
	return r.now()
}

func (r *Relay) log(table string) *log {
	l, ok := r.logs[table]
	if !ok {
		l = &log{}
		r.logs[table] = l
	}
	return l
}

// pauseFor waits until a time has passed or news have come.
func pauseFor(ctx context.Context, d time.Duration, news <-chan struct{}) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-news:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}
