package lease

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	juju "github.com/juju/errors"

	"sesamehill.example/sesamehill/internal/table"
)

const rowPrefix = "lease/"

// Option changes a default of New.
type Option func(*Lease)

// WithClock sets the clock. It must return times with a monotonic reading, as
// time.Now does.
func WithClock(now func() time.Time) Option { return func(l *Lease) { l.now = now } }

// WithFloor sets a function that returns the highest fence known from targets.
func WithFloor(f func() uint64) Option { return func(l *Lease) { l.floor = f } }

// WithSole says that a host runs one process at a time, so that a restarted one
// goes on with the lease of the process before without waiting.
func WithSole() Option { return func(l *Lease) { l.sole = true } }

// WithTerms sets the time to live, the time before its end at which a holder
// stops, and how long after an acquisition targets that ignore fences get no
// order. Orders of two holders are at least margin and flight apart.
func WithTerms(ttl, margin, flight time.Duration) Option {
	return func(l *Lease) { l.ttl, l.margin, l.flight = ttl, margin, flight }
}

// WithPace sets the time between two steps. The default is a third of the time to
// live.
func WithPace(d time.Duration) Option { return func(l *Lease) { l.pace = d } }

// WithWatchPace sets the time between two steps while the lease is not held. The
// default is that of WithPace.
func WithWatchPace(d time.Duration) Option { return func(l *Lease) { l.watch = d } }

// WithReadBack makes the lease read its row after each write, for tables whose
// row versions do not count by one. A table.Versioned that states the version of
// what it wrote is read back only if a write failed.
func WithReadBack() Option { return func(l *Lease) { l.readBack = true } }

// WithTimeout sets the deadline of one table operation. The default is 1 s.
func WithTimeout(d time.Duration) Option { return func(l *Lease) { l.timeout = d } }

// WithTTL sets the time to live, from 3 s to 5 min. The default is 10 s.
func WithTTL(d time.Duration) Option {
	return func(l *Lease) { l.ttl = min(max(d, 3*margin), maxTTL) }
}

// Lease is one host's part in one lease.
type Lease struct {
	table   table.Table
	name    string
	host    string
	now     func() time.Time
	floor   func() uint64
	timeout time.Duration
	ttl     time.Duration
	margin  time.Duration
	flight  time.Duration
	pace    time.Duration
	watch   time.Duration
	// sole is set if a host runs one process at a time.
	sole bool
	// readBack is set if the version of a written row is not known in advance.
	readBack bool

	step  sync.Mutex // one Step or Release at a time
	mu    sync.Mutex // held
	held  Held
	view  View
	token string
	// round makes each renewal unique, so that a row which an earlier renewal
	// wrote late isn't taken for a later one.
	round uint64
}

// New returns a lease that the host does not hold yet.
func New(t table.Table, name, host string, opts ...Option) *Lease {
	l := &Lease{
		table: t, name: name, host: host, now: time.Now, timeout: time.Second,
		floor: func() uint64 { return 0 },
		// A host that dies is replaced after 10 s; a host that renews every third
		// of that costs the platform 0.3 writes a second.
		ttl: 10 * time.Second, margin: margin, flight: flight,
	}
	for _, o := range opts {
		o(l)
	}
	return l
}

// Fence returns the fence of the lease if an order may be sent right now, and a
// *LostError otherwise. Call it immediately before each order.
func (l *Lease) Fence() (uint64, error) {
	h := l.current()
	switch now := l.now(); {
	case h.Record.Fence == 0:
		return 0, &LostError{Name: l.name, Reason: "another host holds it, or none"}
	case !h.Valid(now):
		return 0, &LostError{Name: l.name, Reason: "its deadline has passed"}
	}
	return h.Record.Fence, nil
}

// Unfenced reports whether an order to a target that ignores fences may be sent
// right now.
func (l *Lease) Unfenced() bool { return l.current().Unfenced(l.now()) }

// Run acquires and renews the lease until ctx ends, then releases it.
func (l *Lease) Run(ctx context.Context) {
	for {
		_ = l.Step(ctx) // Fence reports what matters; the next step tries again
		pause := l.pace
		if l.watch > 0 && l.current().Record.Fence == 0 {
			pause = l.watch
		}
		if pause <= 0 {
			pause = l.ttl / 3
		}
		pause += time.Duration(rand.Int64N(int64(pause)/4 + 1))
		t := time.NewTimer(pause)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			end, cancel := context.WithTimeout(context.WithoutCancel(ctx), l.timeout)
			_ = l.Release(end)
			cancel()
			return
		}
	}
}

// Step renews a lease that is held and tries to acquire one that is not. An
// error tells why the lease is neither held nor known to be held by another.
func (l *Lease) Step(ctx context.Context) error {
	l.step.Lock()
	defer l.step.Unlock()
	if h := l.current(); h.Valid(l.now()) {
		l.round++
		r := h.Record
		r.Round = l.round
		return l.write(ctx, h, r)
	}
	l.set(Held{})
	row, err := l.read(ctx)
	if err != nil {
		return juju.Annotatef(err, "read lease %q", l.name)
	}
	if l.view, err = l.view.Observe(row, l.now()); err != nil {
		return juju.Annotatef(err, "lease %q", l.name)
	}
	own := ""
	if l.sole {
		own = l.host
	}
	take, ok := Next(l.view, own, l.token, l.floor(), l.now()).(Take)
	if !ok {
		return nil
	}
	l.token = uuid.NewString()
	held := Held{Version: take.Version, Margin: l.margin, Flight: l.flight}
	if own != "" && l.view.Record.Holder == own {
		held.Flight = 0 // no other host has given an order since
	}
	return l.write(ctx, held, Record{
		Holder: l.host, Token: l.token, Fence: take.Fence, TTL: l.ttl.Milliseconds(),
	})
}

// Release gives the lease up. The host gives no orders from here on, even if the
// release does not reach the platform; the lease then expires.
func (l *Lease) Release(ctx context.Context) error {
	l.step.Lock()
	defer l.step.Unlock()
	h := l.current()
	l.set(Held{})
	if h.Record.Fence == 0 {
		return nil
	}
	h.Record.TTL = 0
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	err := l.table.Write(ctx, []table.Op{{Key: rowPrefix + l.name, Version: h.Version, Value: h.Record.Encode()}})
	return juju.Annotatef(err, "release lease %q", l.name)
}

// write writes an acquisition or a renewal and reads the row back unless the
// reply is certain. Whatever fails, a lease that is held stays held until its
// deadline: no other host takes over before.
func (l *Lease) write(ctx context.Context, h Held, r Record) error {
	op := table.Op{Key: rowPrefix + l.name, Version: h.Version, Value: r.Encode()}
	sent := l.now()
	limited, cancel := context.WithTimeout(ctx, l.timeout)
	version, err := l.apply(limited, op)
	cancel()
	var down *table.DownError
	if errors.As(err, &down) {
		return juju.Annotatef(err, "write lease %q", l.name)
	}
	row := table.Row{Key: op.Key, Version: version, Value: op.Value}
	if err != nil || version == 0 {
		if row, err = l.read(ctx); err != nil {
			return juju.Annotatef(err, "read lease %q back", l.name)
		}
	}
	next, ok := h.Confirm(r, row, sent)
	switch {
	case ok && next.Acquired.IsZero():
		next.Acquired = l.now()
		l.set(next)
	case ok:
		l.set(next)
	case h.Record.Fence != 0:
		l.reconcile(h, row)
	}
	return nil
}

// apply writes the row and returns its version; zero if that is not known.
func (l *Lease) apply(ctx context.Context, op table.Op) (uint64, error) {
	if t, ok := l.table.(table.Versioned); ok {
		return t.WriteVersion(ctx, []table.Op{op})
	}
	err := l.table.Write(ctx, []table.Op{op})
	if l.readBack {
		return 0, err
	}
	return op.Version + 1, err
}

// reconcile handles a renewal that the row doesn't show. An earlier renewal may
// have arrived late, which moves the version but not the deadline; a row of
// another acquisition ends the lease.
func (l *Lease) reconcile(h Held, row table.Row) {
	r, err := DecodeRecord(row.Value)
	if err != nil || r.Token != h.Record.Token || r.TTL == 0 {
		l.set(Held{})
		return
	}
	h.Version = row.Version
	l.set(h)
}

func (l *Lease) read(ctx context.Context) (table.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	rows, err := l.table.Read(ctx, rowPrefix+l.name)
	if err != nil {
		return table.Row{}, err
	}
	if len(rows) != 1 {
		return table.Row{}, errors.New("platform returned another number of rows than asked for; check its version")
	}
	return rows[0], nil
}

func (l *Lease) current() Held {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held
}

func (l *Lease) set(h Held) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = h
}
