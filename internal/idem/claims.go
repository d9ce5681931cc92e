package idem

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/semaphore"
	"golang.org/x/time/rate"

	"sesamehill.example/sesamehill/internal/table"
	"sesamehill.example/sesamehill/internal/target"
)

// ErrClosed reports that the host is shutting down; the request did not run.
var ErrClosed = errors.New("the host is shutting down; send the request to another host")

// Claims runs non-idempotent requests at most once.
type Claims struct {
	options    options
	batch      *batcher
	cache      *cache
	recent     *recentRecords
	mu         sync.Mutex
	inFlight   map[string]*inFlightCall
	closed     bool
	background backgroundWrites
	work       sync.WaitGroup // calls in flight and background writes
	loops      sync.WaitGroup
	ctx        context.Context
	cancel     context.CancelFunc
	stats      counters
}

// inFlightCall is the call that currently executes a key on this host. Later calls
// with the key wait for its outcome.
type inFlightCall struct {
	fingerprint string
	done        chan struct{}
	outcome     Outcome
}

type counters struct {
	calls, dispatches, replays, refused, unknown, conflicts atomic.Int64
	recorded, dropped, swept                                atomic.Int64
}

// Stats holds counters since the host started. Flights (calls in flight) and
// Background (background writes) are current values.
type Stats struct {
	Calls      int64 `json:"calls"`
	Dispatches int64 `json:"dispatches"`
	Replays    int64 `json:"replays"`
	Refused    int64 `json:"refused"`
	Unknown    int64 `json:"unknown"`
	Conflicts  int64 `json:"conflicts"`
	Recorded   int64 `json:"recorded"`
	// Dropped counts answers that were not recorded.
	Dropped int64 `json:"dropped"`
	Swept   int64 `json:"swept"`
	// Writes counts transactions, Rows the rows in them.
	Writes     int64 `json:"writes"`
	Rows       int64 `json:"rows"`
	Flights    int   `json:"flights"`
	Background int   `json:"background"`
	Down       bool  `json:"down"`
}

// New starts the batcher, the health probes and the sweep. Close stops them.
func New(t table.Table, opts ...Option) *Claims {
	o := defaults()
	for _, f := range opts {
		f(&o)
	}
	c := &Claims{
		options:    o,
		cache:      newCache(o.maxCacheKeys, o.maxCacheBytes),
		recent:     newRecentRecords(),
		inFlight:   map[string]*inFlightCall{},
		background: backgroundWrites{maxActive: o.maxBackground, maxBytes: o.maxBackgroundBytes},
		batch: &batcher{
			table: t, now: o.now, delay: o.batchDelay, timeout: o.tableTimeout,
			limiter:    rate.NewLimiter(rate.Limit(o.writesPerSecond), 1),
			urgent:     make(chan *pendingWrite, o.maxQueued),
			background: make(chan *pendingWrite, o.maxBackground),
			flushSlots: semaphore.NewWeighted(maxFlushes),
			health:     health{failures: make(chan struct{}, 1)},
		},
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.loops.Go(func() { c.batch.run(c.ctx) })
	c.loops.Go(func() { c.batch.health.runProbes(c.ctx, c.probe) })
	c.loops.Go(func() { c.sweep(c.ctx) })
	c.loops.Go(func() { c.watchRestores(c.ctx) })
	return c
}

// SetWriteRate changes this host's share of the platform's writes a second, for
// example when the number of live hosts changes.
func (c *Claims) SetWriteRate(perSecond float64) {
	c.batch.limiter.SetLimit(rate.Limit(perSecond))
}

// Stats returns the counters.
func (c *Claims) Stats() Stats {
	_, down := c.batch.health.down()
	c.mu.Lock()
	inFlight := len(c.inFlight)
	c.mu.Unlock()
	s := &c.stats
	return Stats{
		Calls: s.calls.Load(), Dispatches: s.dispatches.Load(), Replays: s.replays.Load(),
		Refused: s.refused.Load(), Unknown: s.unknown.Load(), Conflicts: s.conflicts.Load(),
		Recorded: s.recorded.Load(), Dropped: s.dropped.Load(), Swept: s.swept.Load(),
		Writes: c.batch.writes.Load(), Rows: c.batch.rows.Load(),
		Flights: inFlight, Background: c.background.count(), Down: down,
	}
}

// Close rejects new calls and waits for the calls in flight and the background
// writes, but no longer than ctx allows. Then it stops all goroutines.
func (c *Claims) Close(ctx context.Context) error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	done := make(chan struct{})
	go func() {
		c.work.Wait()
		close(done)
	}()
	var err error
	select {
	case <-done:
	case <-ctx.Done():
		err = ctx.Err()
	}
	c.cancel()
	c.loops.Wait()
	return err
}

// Do writes an idempotency record for the key and calls dispatch at most once. Over
// all hosts and calls with the key, at most one dispatch reaches a target that runs
// it.
//
// The dispatch isn't cancelled when the client disconnects, so that a retry
// gets its answer. It must return a *target.NotRunError only if the target
// certainly ran nothing. If another call with the key is in flight on this host, Do
// waits for that call's outcome.
func (c *Claims) Do(
	ctx context.Context, r Request, dispatch func(context.Context) (target.Answer, error),
) (Outcome, error) {
	if err := r.Check(); err != nil {
		return nil, err
	}
	key := rowKey(r)
	f, first, out, err := c.join(key, r.Fingerprint)
	if f == nil {
		return c.count(out), err
	}
	if first {
		go c.execute(ctx, key, f, dispatch)
	}
	select {
	case <-f.done:
		out = f.outcome
	case <-ctx.Done():
		return c.count(Unknown{Reason: "the request is still in progress"}), nil
	}
	if a, ok := out.(Answered); ok && !first {
		a.Replayed = true
		out = a
	}
	return c.count(out), nil
}

// join returns the in-flight call of the key. If first is true, it has just created
// that call and the caller must execute it. If the outcome is already known, join
// returns the outcome and no call.
func (c *Claims) join(key, fingerprint string) (f *inFlightCall, first bool, out Outcome, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.calls.Add(1)
	const mismatch = "the idempotency key was already used for a request with different content"
	if f = c.inFlight[key]; f != nil {
		if f.fingerprint != fingerprint {
			return nil, false, Conflict{Reason: mismatch}, nil
		}
		return f, false, nil, nil
	}
	if entry, ok := c.cache.get(key); ok {
		switch {
		case entry.fingerprint != fingerprint:
			return nil, false, Conflict{Reason: mismatch}, nil
		case entry.answer == nil:
			return nil, false, Unknown{Reason: "the request was dispatched and returned no answer"}, nil
		}
		return nil, false, Answered{Answer: *entry.answer, Replayed: true}, nil
	}
	switch {
	case c.closed:
		return nil, false, nil, ErrClosed
	case len(c.inFlight) >= c.options.maxCalls:
		return nil, false, NotRun{Reason: "too many calls are in flight", Retry: c.batch.health.retryAfter()}, nil
	}
	f = &inFlightCall{fingerprint: fingerprint, done: make(chan struct{})}
	c.inFlight[key] = f
	c.work.Add(1)
	return f, true, nil, nil
}

// execute writes the idempotency record of a call, dispatches the call if Decide
// allows it, and sets its outcome.
func (c *Claims) execute(
	ctx context.Context, key string, f *inFlightCall, dispatch func(context.Context) (target.Answer, error),
) {
	defer c.work.Done()
	defer func() {
		// A panic in one dispatch must not end the other calls of the host.
		if p := recover(); p != nil {
			c.cache.add(key, cacheEntry{fingerprint: f.fingerprint})
			f.outcome = Unknown{Reason: fmt.Sprintf("the dispatch panicked: %v", p)}
		}
		c.mu.Lock()
		delete(c.inFlight, key)
		c.mu.Unlock()
		close(f.done)
	}()
	a := Attempt{Fence: uuid.NewString(), Fingerprint: f.fingerprint, Window: c.options.dispatchWindow}
	var d Decision = Write{}
	for {
		w, ok := d.(Write)
		if !ok {
			break
		}
		r := c.batch.submit(c.ctx, c.recordWrite(key, a, Dispatched, w.Version),
			c.options.now().Add(c.options.dispatchWindow), true)
		a.Writes++
		a.MayBeWritten = a.MayBeWritten || r.mayBeWritten
		a.Contended = a.Contended || r.contended
		if a.FirstSent.IsZero() {
			a.FirstSent = r.sent
		}
		d = Decide(a, r.event, c.options.now())
	}
	f.outcome = c.resolve(ctx, key, a, d, dispatch)
}

// resolve turns the last decision into an outcome. It dispatches the request if the
// decision is Dispatch.
func (c *Claims) resolve(
	ctx context.Context, key string, a Attempt, d Decision,
	dispatch func(context.Context) (target.Answer, error),
) Outcome {
	switch d := d.(type) {
	case Dispatch:
		return c.dispatch(ctx, key, a, d.Version, dispatch)
	case Withdraw:
		return c.withdraw(key, a, d.Version, d.Reason)
	case Refuse:
		return NotRun{Reason: d.Reason, Retry: c.batch.health.retryAfter()}
	case Replay:
		c.cache.add(key, cacheEntry{fingerprint: a.Fingerprint, answer: &d.Answer})
		return Answered{Answer: d.Answer, Replayed: true}
	case Mismatch:
		return Conflict{Reason: "the idempotency key was already used for a request with different content"}
	case Uncertain:
		if a.MayBeWritten {
			// The record may exist although nothing ran; release it so that a retry can run.
			c.retryInBackground(0, func(ctx context.Context) bool {
				done, _ := c.release(ctx, key, a, 0, false)
				return done
			})
		}
		return Unknown(d)
	}
	panic("idem: decision type is not defined")
}

// dispatch sends the request, unless the dispatch window has passed or the client
// has disconnected, and records the answer in the background.
func (c *Claims) dispatch(
	ctx context.Context, key string, a Attempt, version uint64,
	dispatch func(context.Context) (target.Answer, error),
) Outcome {
	if ctx.Err() != nil {
		return c.withdraw(key, a, version, "the client disconnected before the dispatch")
	}
	timeout := c.options.dispatchTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = time.Until(deadline)
	}
	dispatchCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	c.recent.add(key, a.record(Dispatched, a.FirstSent))
	if a.WindowPassed(c.options.now()) {
		return c.withdraw(key, a, version, "the dispatch window passed while the host was paused")
	}
	c.stats.dispatches.Add(1)
	answer, err := dispatch(dispatchCtx)
	var notRun *target.NotRunError
	switch {
	case err == nil:
		c.cache.add(key, cacheEntry{fingerprint: a.Fingerprint, answer: &answer})
		c.recordAnswer(key, a, version, answer)
		return Answered{Answer: answer}
	case errors.As(err, &notRun):
		return c.withdraw(key, a, version, notRun.Reason)
	}
	c.cache.add(key, cacheEntry{fingerprint: a.Fingerprint})
	return Unknown{Reason: err.Error()}
}

// recordWrite returns the table write that sets the idempotency record to a state.
func (c *Claims) recordWrite(key string, a Attempt, s State, version uint64) table.Op {
	return table.Op{Key: key, Version: version, Value: a.record(s, c.options.now()).Encode()}
}

func (c *Claims) probe(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.tableTimeout)
	defer cancel()
	_, err := c.batch.table.Read(ctx, rowPrefix+"probe")
	return err
}

func (c *Claims) count(o Outcome) Outcome {
	switch o := o.(type) {
	case Answered:
		if o.Replayed {
			c.stats.replays.Add(1)
		}
	case NotRun:
		c.stats.refused.Add(1)
	case Unknown:
		c.stats.unknown.Add(1)
	case Conflict:
		c.stats.conflicts.Add(1)
	}
	return o
}
