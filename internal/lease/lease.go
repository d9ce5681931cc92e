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
	"sesamehill.example/sesamehill/internal/wire"
)

const rowPrefix = "lease/"

// Option changes a default of New.
type Option func(*Lease)

// WithClock sets the clock, by which a holder stops before its deadline. It must be steady
// and include the time for which the machine is suspended, which the monotonic reading of
// time.Now does not. The default is the boot clock.
func WithClock(now func() time.Time) Option { return func(l *Lease) { l.now = now } }

// WithHighestToken sets a function that returns the highest fencing token that
// targets have stated, in a report or when they rejected an order.
func WithHighestToken(f func() uint64) Option { return func(l *Lease) { l.highestToken = f } }

// WithSingleProcess declares that a host runs one process at a time. A restarted
// process then takes over the lease of the previous one without waiting.
func WithSingleProcess() Option { return func(l *Lease) { l.singleProcess = true } }

// WithResume declares that the hosts give orders only while AllowsUnfenced reports true,
// also to targets that check fencing tokens. After a restore of the platform the last
// holder then goes on at once, if its lease ended shortly before.
func WithResume() Option { return func(l *Lease) { l.resumes = true } }

// WithTiming sets the time to live, the time before its end at which a holder
// stops, and how long after an acquisition targets that ignore fencing tokens get
// no order. Orders of two holders are at least the sum of stopMargin and
// unfencedDelay apart, whether the lease of the first one expired or was released.
func WithTiming(ttl, stopMargin, unfencedDelay time.Duration) Option {
	return func(l *Lease) {
		l.ttl, l.stopMargin, l.unfencedDelay, l.releasedDelay = ttl, stopMargin, unfencedDelay, stopMargin+unfencedDelay
	}
}

// WithInterval sets the time between two steps. The default is a third of the time
// to live.
func WithInterval(d time.Duration) Option { return func(l *Lease) { l.interval = d } }

// WithWatchInterval sets the time between two steps while the lease is not held. The
// default is that of WithInterval.
func WithWatchInterval(d time.Duration) Option { return func(l *Lease) { l.watchInterval = d } }

// WithReadBack makes the lease read its row after each write, for tables whose
// row versions do not grow by one. A table.Versioned returns the version of the rows
// that it wrote and is read back only if a write failed.
func WithReadBack() Option { return func(l *Lease) { l.readBack = true } }

// WithTimeout sets the deadline of one table operation. The default is 1 s.
func WithTimeout(d time.Duration) Option { return func(l *Lease) { l.timeout = d } }

// WithTTL sets the time to live, from 3 s to 5 min. The default is 10 s.
func WithTTL(d time.Duration) Option {
	return func(l *Lease) { l.ttl = min(max(d, 3*stopMargin), maxTTL) }
}

// Lease acquires and renews one lease for one host.
type Lease struct {
	table table.Table
	name  string
	host  string
	now   func() time.Time
	// highestToken returns the highest fencing token that targets have stated, in a
	// report or when they rejected an order.
	highestToken func() uint64
	timeout      time.Duration
	ttl          time.Duration
	stopMargin   time.Duration
	// unfencedDelay is the time after an acquisition before which targets that ignore
	// fencing tokens get no order, releasedDelay the same after the acquisition of a lease
	// that was released: its holder could give orders until the release.
	unfencedDelay time.Duration
	releasedDelay time.Duration
	interval      time.Duration
	watchInterval time.Duration
	// singleProcess is set if a host runs one process at a time.
	singleProcess bool
	// resumes is set if the last holder may go on after a restore.
	resumes bool
	// readBack is set if the version of a written row cannot be computed.
	readBack bool

	stepping sync.Mutex // one Step or Release at a time
	mu       sync.Mutex // guards holding
	holding  Holding
	view     View
	// ownID is the ID of the last acquisition of this process, and last its last lease
	// that ended at its deadline.
	ownID string
	last  Holding
	// renewal makes each renewal unique, so that a row which an earlier renewal
	// wrote with delay is not taken for a later one.
	renewal uint64
}

// New returns a lease that the host does not hold yet.
func New(t table.Table, name, host string, opts ...Option) *Lease {
	l := &Lease{
		table: t, name: name, host: host, now: wire.BootNow, timeout: time.Second,
		highestToken: func() uint64 { return 0 },
		// A holder that fails is replaced after 10 s. Renewing every third of that
		// costs the platform 0.3 writes a second.
		ttl: 10 * time.Second, stopMargin: stopMargin, unfencedDelay: maxOrderTime, releasedDelay: maxOrderTime,
	}
	for _, o := range opts {
		o(l)
	}
	return l
}

// FencingToken returns the fencing token of the lease if an order may be sent right now, and a
// *LostError otherwise. Call it immediately before each order.
func (l *Lease) FencingToken() (uint64, error) {
	h := l.currentHolding()
	switch now := l.now(); {
	case h.Record.FencingToken == 0:
		return 0, &LostError{Name: l.name, Reason: "this host has not acquired it"}
	case !h.Valid(now):
		return 0, &LostError{Name: l.name, Reason: "its deadline has passed"}
	}
	return h.Record.FencingToken, nil
}

// AllowsUnfenced reports whether an order to a target that ignores fencing tokens may be
// sent right now.
func (l *Lease) AllowsUnfenced() bool { return l.currentHolding().Unfenced(l.now()) }

// Run acquires and renews the lease until ctx ends, then releases it.
func (l *Lease) Run(ctx context.Context) {
	for {
		_ = l.Step(ctx) // FencingToken reports whether the lease is held; the next step retries
		delay := l.interval
		if l.watchInterval > 0 && l.currentHolding().Record.FencingToken == 0 {
			delay = l.watchInterval
		}
		if delay <= 0 {
			delay = l.ttl / 3
		}
		delay += time.Duration(rand.Int64N(int64(delay)/4 + 1))
		t := time.NewTimer(min(delay, l.untilBegin(delay)))
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			releaseCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), l.timeout)
			_ = l.Release(releaseCtx)
			cancel()
			return
		}
	}
}

// untilBegin returns the time until the write that lets this host begin to give orders is due, or a
// delay if none is.
func (l *Lease) untilBegin(delay time.Duration) time.Duration {
	h, now := l.currentHolding(), l.now()
	if h.Record.FencingToken == 0 || h.Begun || h.delayPassed(now) {
		return delay
	}
	return h.AcquiredAt.Add(h.UnfencedDelay).Sub(now)
}

// Step renews the lease if this host holds it, and otherwise tries to acquire it. It
// returns an error if it cannot tell whether another host holds the lease.
func (l *Lease) Step(ctx context.Context) error {
	l.stepping.Lock()
	defer l.stepping.Unlock()
	h := l.currentHolding()
	if h.Valid(l.now()) {
		h, err := l.rebaseRestored(ctx, h)
		if err != nil || h.Record.FencingToken == 0 {
			return err
		}
		l.renewal++
		r := h.Record
		r.Renewal, r.Era, r.DelayMillis = l.renewal, l.era(), min(r.DelayMillis, h.remainingDelay(l.now()))
		return l.write(ctx, h, r)
	}
	if h.Record.FencingToken != 0 {
		l.last = h
	}
	if !l.last.Begun {
		l.last = Holding{} // the holder before may have gone on meanwhile
	}
	l.setHolding(Holding{})
	row, err := l.read(ctx)
	if err != nil {
		return juju.Annotatef(err, "read lease %q", l.name)
	}
	if l.view, err = l.view.Observe(row, l.era(), l.now()); err != nil {
		return juju.Annotatef(err, "lease %q", l.name)
	}
	c := l.contender()
	acquire, ok := Decide(l.view, c, l.now()).(Acquire)
	if !ok {
		return nil
	}
	l.ownID = uuid.NewString()
	next := l.nextHolding(acquire, c)
	record := Record{
		Holder: l.host, AcquisitionID: l.ownID, FencingToken: acquire.FencingToken, TTLMillis: l.ttl.Milliseconds(),
		Era: l.view.Era, DelayMillis: next.remainingDelay(l.now()),
	}
	if l.view.Version == 0 && l.view.RestoredAt.IsZero() {
		record.DelayMillis = 0 // there was no earlier holder
	}
	return l.write(ctx, next, record)
}

// rebaseRestored returns the state of the lease before a renewal. A holder that has not begun to
// give orders reads the row again after a restore: a version that it knows from before may have
// been given out again, to the last holder that goes on. It returns no holding if the lease is lost.
func (l *Lease) rebaseRestored(ctx context.Context, h Holding) (Holding, error) {
	if h.Begun || l.era() == h.Record.Era {
		return h, nil
	}
	row, err := l.read(ctx)
	if err != nil {
		return h, juju.Annotatef(err, "read lease %q after a restore", l.name)
	}
	next, ok := h.Rebase(row, l.era())
	if !ok {
		next, l.last = Holding{}, Holding{}
	}
	l.setHolding(next)
	return next, nil
}

// nextHolding returns the state of the lease that an acquisition leads to. A host that
// runs one process at a time keeps the remaining delay of its row, as no other host
// has given an order since.
func (l *Lease) nextHolding(a Acquire, c Contender) Holding {
	next := Holding{Version: a.Version, StopMargin: l.stopMargin, UnfencedDelay: l.unfencedDelay, Begun: !l.resumes}
	r := l.view.Record
	if l.view.Version != 0 && r.TTLMillis == 0 {
		next.UnfencedDelay = l.releasedDelay
	}
	if c.Host != "" && r.Holder == c.Host && r.Era == l.view.Era {
		next.UnfencedDelay = min(next.UnfencedDelay, time.Duration(r.DelayMillis)*time.Millisecond)
	}
	if c.mayResume(l.view, l.now()) {
		next.AcquiredAt, next.UnfencedDelay, next.Begun = c.Last.AcquiredAt, c.Last.UnfencedDelay, c.Last.Begun
	}
	return next
}

// contender returns this host as a contender.
func (l *Lease) contender() Contender {
	c := Contender{OwnID: l.ownID, HighestToken: l.highestToken(), TTL: l.ttl, UnfencedDelay: l.unfencedDelay, ConfirmTime: l.timeout}
	if l.singleProcess {
		c.Host = l.host
	}
	if l.resumes {
		c.Last = l.last
	}
	return c
}

// era returns the era of the platform; zero if it states none.
func (l *Lease) era() uint64 {
	if t, ok := l.table.(table.Restorable); ok {
		return t.Era()
	}
	return 0
}

// Release releases the lease. FencingToken fails from then on, even if the release does not
// reach the platform; the lease then expires.
func (l *Lease) Release(ctx context.Context) error {
	l.stepping.Lock()
	defer l.stepping.Unlock()
	h := l.currentHolding()
	l.last = Holding{}
	l.setHolding(Holding{})
	if h.Record.FencingToken == 0 {
		return nil
	}
	h.Record.TTLMillis = 0
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	err := l.table.Write(ctx, []table.Op{{Key: rowPrefix + l.name, Version: h.Version, Value: h.Record.Encode()}})
	return juju.Annotatef(err, "release lease %q", l.name)
}

// write writes an acquisition or a renewal. It reads the row back unless the reply
// states the outcome. A lease that is held stays held until its deadline if the
// write fails, as no other host takes over before.
func (l *Lease) write(ctx context.Context, h Holding, r Record) error {
	op := table.Op{Key: rowPrefix + l.name, Version: h.Version, Value: r.Encode()}
	sent := l.now()
	writeCtx, cancel := context.WithTimeout(ctx, l.timeout)
	version, err := l.writeRow(writeCtx, op)
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
	isHeld := h.Record.FencingToken != 0
	switch {
	case ok && l.era() != r.Era && (!isHeld || !next.Begun):
		// The platform was restored around the write: the row may be lost, or the version that it
		// replaced may have had another record. No order was given by this acquisition.
		if isHeld {
			l.last = Holding{}
			l.setHolding(Holding{})
		}
		return nil
	case ok && isHeld:
		l.setHolding(next.Begin(sent, l.now(), l.timeout))
	case ok:
		if next.AcquiredAt.IsZero() {
			next.AcquiredAt = l.now()
		}
		l.setHolding(next.Begin(sent, l.now(), l.timeout))
	case isHeld:
		next, ok = h.Rebase(row, l.era())
		if !ok {
			next, l.last = Holding{}, Holding{}
		}
		l.setHolding(next)
	}
	if ok {
		l.view, err = l.view.Observe(row, l.era(), l.now())
	}
	return juju.Trace(err)
}

// writeRow writes the row and returns its version, or zero if the version is not
// known.
func (l *Lease) writeRow(ctx context.Context, op table.Op) (uint64, error) {
	if t, ok := l.table.(table.Versioned); ok {
		return t.WriteVersion(ctx, []table.Op{op})
	}
	err := l.table.Write(ctx, []table.Op{op})
	if l.readBack {
		return 0, err
	}
	return op.Version + 1, err
}

func (l *Lease) read(ctx context.Context) (table.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	rows, err := l.table.Read(ctx, rowPrefix+l.name)
	if err != nil {
		return table.Row{}, err
	}
	if len(rows) != 1 {
		return table.Row{}, errors.New("platform returned a number of rows other than requested; check its version")
	}
	return rows[0], nil
}

func (l *Lease) currentHolding() Holding {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holding
}

func (l *Lease) setHolding(h Holding) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holding = h
}
