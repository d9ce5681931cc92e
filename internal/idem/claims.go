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

// ErrClosed says that the host shuts down; nothing ran.
var ErrClosed = errors.New("claims are closed; send the request to another host")

// Claims runs non-idempotent requests at most once.
type Claims struct {
	options options
	batch   *batcher
	cache   *cache
	mu      sync.Mutex
	flights map[string]*flight
	closed  bool
	tasks   tasks
	work    sync.WaitGroup // flights and background writes
	loops   sync.WaitGroup
	ctx     context.Context
	cancel  context.CancelFunc
	stats   counters
}

// flight is the call that holds a key on this host.
type flight struct {
	fingerprint string
	done        chan struct{}
	outcome     Outcome
}

type counters struct {
	calls, dispatches, replays, refused, unknown, conflicts atomic.Int64
	recorded, dropped, swept                                atomic.Int64
}

// Stats counts since the start of the host, except for Flights and Background,
// which are current.
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

// New starts the batcher and the sweep. Close ends them.
func New(t table.Table, opts ...Option) *Claims {
	o := defaults()
	for _, f := range opts {
		f(&o)
	}
	c := &Claims{
		options: o,
		cache:   newCache(o.cacheKeys, o.cacheBytes),
		flights: map[string]*flight{},
		tasks:   tasks{number: o.tasks, bytes: o.taskBytes},
		batch: &batcher{
			table: t, now: o.now, collect: o.collect, timeout: o.timeout,
			limiter:    rate.NewLimiter(rate.Limit(o.rate), 1),
			urgent:     make(chan *entry, o.queue),
			background: make(chan *entry, o.tasks),
			flushes:    semaphore.NewWeighted(maxFlushes),
			health:     health{failed: make(chan struct{}, 1)},
		},
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.loops.Go(func() { c.batch.run(c.ctx) })
	c.loops.Go(func() { c.batch.health.run(c.ctx, c.probe) })
	c.loops.Go(func() { c.sweep(c.ctx) })
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
	flights := len(c.flights)
	c.mu.Unlock()
	s := &c.stats
	return Stats{
		Calls: s.calls.Load(), Dispatches: s.dispatches.Load(), Replays: s.replays.Load(),
		Refused: s.refused.Load(), Unknown: s.unknown.Load(), Conflicts: s.conflicts.Load(),
		Recorded: s.recorded.Load(), Dropped: s.dropped.Load(), Swept: s.swept.Load(),
		Writes: c.batch.writes.Load(), Rows: c.batch.rows.Load(),
		Flights: flights, Background: c.tasks.count(), Down: down,
	}
}

// Close refuses new calls, waits until ctx ends for the calls under way and the
// answers to record, and stops.
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

// Do claims the key and calls dispatch at most once; over all hosts and calls
// with the key, at most one dispatch ever reaches a target that runs it.
//
// The dispatch isn't cancelled when the caller goes away, so that a re-send
// finds its answer. It must return a *target.NotRunError only if the target
// certainly ran nothing. A call that finds another call with the key under way
// on this host waits for that call's outcome.
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
		go c.fly(ctx, key, f, dispatch)
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

// join returns the flight of the key; first tells that the call must fly it. It
// returns an outcome and no flight if the call ends here.
func (c *Claims) join(key, fingerprint string) (f *flight, first bool, out Outcome, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.calls.Add(1)
	const mismatch = "the idempotency key belongs to a request with another content"
	if f = c.flights[key]; f != nil {
		if f.fingerprint != fingerprint {
			return nil, false, Conflict{Reason: mismatch}, nil
		}
		return f, false, nil, nil
	}
	if k, ok := c.cache.get(key); ok {
		switch {
		case k.fingerprint != fingerprint:
			return nil, false, Conflict{Reason: mismatch}, nil
		case k.answer == nil:
			return nil, false, Unknown{Reason: "the request was dispatched and gave no answer"}, nil
		}
		return nil, false, Answered{Answer: *k.answer, Replayed: true}, nil
	}
	switch {
	case c.closed:
		return nil, false, nil, ErrClosed
	case len(c.flights) >= c.options.concurrency:
		return nil, false, NotRun{Reason: "too many calls are under way", Retry: c.batch.health.retry()}, nil
	}
	f = &flight{fingerprint: fingerprint, done: make(chan struct{})}
	c.flights[key] = f
	c.work.Add(1)
	return f, true, nil, nil
}

// fly carries a flight to its outcome.
func (c *Claims) fly(
	ctx context.Context, key string, f *flight, dispatch func(context.Context) (target.Answer, error),
) {
	defer c.work.Done()
	defer func() {
		// A fault in one dispatch must not end the other calls of the host.
		if p := recover(); p != nil {
			c.cache.add(key, known{fingerprint: f.fingerprint})
			f.outcome = Unknown{Reason: fmt.Sprintf("the dispatch panicked: %v", p)}
		}
		c.mu.Lock()
		delete(c.flights, key)
		c.mu.Unlock()
		close(f.done)
	}()
	a := Attempt{Fence: uuid.NewString(), Fingerprint: f.fingerprint, Window: c.options.window}
	var d Decision = Write{}
	for {
		w, ok := d.(Write)
		if !ok {
			break
		}
		r := c.batch.submit(c.ctx, c.row(key, a, Dispatched, w.Version),
			c.options.now().Add(c.options.window), true)
		a.Writes++
		a.Maybe = a.Maybe || r.maybe
		a.Seen = a.Seen || r.seen
		if a.Sent.IsZero() {
			a.Sent = r.sent
		}
		d = Decide(a, r.event, c.options.now())
	}
	f.outcome = c.settle(ctx, key, a, d, dispatch)
}

// settle turns the last decision into an outcome, dispatching if it allows.
func (c *Claims) settle(
	ctx context.Context, key string, a Attempt, d Decision,
	dispatch func(context.Context) (target.Answer, error),
) Outcome {
	switch d := d.(type) {
	case Dispatch:
		return c.dispatch(ctx, key, a, d.Version, dispatch)
	case Withdraw:
		return c.withdraw(key, a, d.Version, d.Reason)
	case Refuse:
		return NotRun{Reason: d.Reason, Retry: c.batch.health.retry()}
	case Replay:
		c.cache.add(key, known{fingerprint: a.Fingerprint, answer: &d.Answer})
		return Answered{Answer: d.Answer, Replayed: true}
	case Mismatch:
		return Conflict{Reason: "the idempotency key belongs to a request with another content"}
	case Uncertain:
		if a.Maybe {
			// The claim may stand although nothing ran; release it for a re-send.
			c.later(0, func(ctx context.Context) bool {
				done, _ := c.release(ctx, key, a, 0, false)
				return done
			})
		}
		return Unknown(d)
	}
	panic("idem: decision is not defined")
}

// dispatch sends the request, unless the window has passed or the caller has
// gone away, and has the answer recorded.
func (c *Claims) dispatch(
	ctx context.Context, key string, a Attempt, version uint64,
	dispatch func(context.Context) (target.Answer, error),
) Outcome {
	if ctx.Err() != nil {
		return c.withdraw(key, a, version, "the caller went away before the dispatch")
	}
	limit := c.options.dispatch
	if at, ok := ctx.Deadline(); ok {
		limit = time.Until(at)
	}
	run, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	defer cancel()
	if a.Late(c.options.now()) {
		return c.withdraw(key, a, version, "the dispatch window passed while the host was paused")
	}
	c.stats.dispatches.Add(1)
	answer, err := dispatch(run)
	var not *target.NotRunError
	switch {
	case err == nil:
		c.cache.add(key, known{fingerprint: a.Fingerprint, answer: &answer})
		c.record(key, a, version, answer)
		return Answered{Answer: answer}
	case errors.As(err, &not):
		return c.withdraw(key, a, version, not.Reason)
	}
	c.cache.add(key, known{fingerprint: a.Fingerprint})
	return Unknown{Reason: err.Error()}
}

// row returns the write of the claim's row in a state.
func (c *Claims) row(key string, a Attempt, s State, version uint64) table.Op {
	r := Record{State: s, Fence: a.Fence, Fingerprint: a.Fingerprint, At: c.options.now().UnixMilli()}
	return table.Op{Key: key, Version: version, Value: r.Encode()}
}

func (c *Claims) probe(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.timeout)
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
