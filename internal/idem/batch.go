package idem

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"
	"golang.org/x/time/rate"

	"sesamehill.example/sesamehill/internal/pause"
	"sesamehill.example/sesamehill/internal/table"
)

const (
	// maxBatch and maxBatchBytes bound one transaction.
	maxBatch      = 128
	maxBatchBytes = 1 << 20
	// maxFlushes bounds the transactions under way, so that one slow reply
	// doesn't hold up the next batch.
	maxFlushes = 4
	// readBacks is the number of attempts to read rows back after a lost reply,
	// readBackPause the pause between them.
	readBacks     = 3
	readBackPause = 100 * time.Millisecond
)

// entry is one conditional write on its way through the batcher.
type entry struct {
	op table.Op
	// until is the time after which the write is not sent any more.
	until  time.Time
	result chan result
	sent   time.Time
	seen   bool
}

// result is what became of an entry.
type result struct {
	event Event
	// sent is the time immediately before the write was first sent; it is zero
	// if the write was never sent.
	sent time.Time
	// maybe tells that the write may have taken effect or may still do so.
	maybe bool
	seen  bool
}

// batcher writes entries of a few milliseconds in one transaction, at a paced
// rate. Urgent entries go before background entries.
type batcher struct {
	table      table.Table
	now        func() time.Time
	collect    time.Duration
	timeout    time.Duration
	limiter    *rate.Limiter
	urgent     chan *entry
	background chan *entry
	flushes    *semaphore.Weighted
	health     health
	writes     atomic.Int64
	rows       atomic.Int64
	wait       sync.WaitGroup
}

// submit queues a write and waits for its result. A full queue and a platform
// that is known to be down give Down at once.
func (b *batcher) submit(ctx context.Context, op table.Op, until time.Time, urgent bool) result {
	if reason, down := b.health.down(); down {
		return result{event: Down{Reason: reason}}
	}
	e := &entry{op: op, until: until, result: make(chan result, 1)}
	q := b.background
	if urgent {
		q = b.urgent
	}
	select {
	case q <- e:
	default:
		return result{event: Down{Reason: "the queue of claims is full"}}
	}
	select {
	case r := <-e.result:
		return r
	case <-ctx.Done():
		// The write may be sent after this.
		return result{event: Unreadable{Reason: "the host shuts down"}, sent: b.now(), maybe: true}
	}
}

// run forms batches until ctx ends.
func (b *batcher) run(ctx context.Context) {
	defer b.wait.Wait()
	var held []*entry
	for {
		batch := held
		if len(batch) == 0 {
			select {
			case e := <-b.urgent:
				batch = append(batch, e)
			case e := <-b.background:
				batch = append(batch, e)
			case <-ctx.Done():
				return
			}
		}
		if pause.For(ctx, b.collect) != nil || b.flushes.Acquire(ctx, 1) != nil {
			return
		}
		if b.limiter.Wait(ctx) != nil {
			return
		}
		batch, held = b.fill(batch)
		b.wait.Go(func() {
			defer b.flushes.Release(1)
			b.flush(ctx, batch)
		})
	}
}

// fill takes queued entries into a batch that starts with first. It holds
// entries back that don't fit or whose row is already in the batch.
func (b *batcher) fill(first []*entry) (batch, held []*entry) {
	rows, size := map[string]bool{}, 0
	add := func(e *entry) bool {
		fits := len(batch) < maxBatch && (len(batch) == 0 || size+len(e.op.Value) <= maxBatchBytes)
		if !fits || rows[e.op.Key] {
			held = append(held, e)
			return fits
		}
		rows[e.op.Key] = true
		size += len(e.op.Value)
		batch = append(batch, e)
		return true
	}
	for _, e := range first {
		add(e)
	}
	for _, q := range []chan *entry{b.urgent, b.background} {
		for more := true; more; {
			select {
			case e := <-q:
				more = add(e)
			default:
				more = false
			}
		}
	}
	return batch, held
}

// flush writes a batch, taking conflicting rows out until the rest is written.
func (b *batcher) flush(ctx context.Context, batch []*entry) {
	for first := true; ; first = false {
		if !first && b.limiter.Wait(ctx) != nil {
			b.answer(batch, Down{Reason: "the host shuts down"}, false)
			return
		}
		if reason, down := b.health.down(); down {
			b.answer(batch, Down{Reason: reason}, false)
			return
		}
		now := b.now()
		batch = slices.DeleteFunc(batch, func(e *entry) bool {
			if now.After(e.until) {
				b.answer([]*entry{e}, Down{Reason: "the claim waited too long for a write"}, false)
				return true
			}
			if e.sent.IsZero() {
				e.sent = now
			}
			return false
		})
		if len(batch) == 0 {
			return
		}
		err := b.write(ctx, batch)
		var conflict *table.ConflictError
		var down *table.DownError
		switch {
		case err == nil:
			for _, e := range batch {
				b.answer([]*entry{e}, Wrote{Version: e.op.Version + 1}, true)
			}
			return
		case errors.As(err, &conflict):
			batch = b.split(ctx, batch, conflict)
		case errors.As(err, &down):
			b.health.fail(down.Reason)
			b.answer(batch, Down{Reason: "the platform is down"}, false)
			return
		default:
			b.readBack(ctx, batch)
			return
		}
	}
}

func (b *batcher) write(ctx context.Context, batch []*entry) error {
	ops := make([]table.Op, len(batch))
	for i, e := range batch {
		ops[i] = e.op
	}
	b.writes.Add(1)
	b.rows.Add(int64(len(ops)))
	ctx, cancel := context.WithTimeout(ctx, b.timeout)
	defer cancel()
	return b.table.Write(ctx, ops)
}

// split answers the entries whose rows are not at the expected version and
// returns the others. At least the row named by the conflict is taken out.
func (b *batcher) split(ctx context.Context, batch []*entry, c *table.ConflictError) []*entry {
	rows, err := b.read(ctx, batch)
	var rest []*entry
	for i, e := range batch {
		switch {
		case err != nil && (e.op.Key == c.Key || len(batch) == 1):
			e.seen = true
			b.answer([]*entry{e}, Unreadable{Reason: "the key is claimed and its row cannot be read"}, false)
		case err == nil && (rows[i].Version != e.op.Version || e.op.Key == c.Key || len(batch) == 1):
			e.seen = rows[i].Version != 0
			b.answer([]*entry{e}, Found{Row: rows[i]}, false)
		default:
			rest = append(rest, e)
		}
	}
	if len(rest) == len(batch) {
		// The conflict names none of the rows; nothing was written.
		b.answer(batch, Down{Reason: "the platform refused the write: " + c.Error()}, false)
		return nil
	}
	return rest
}

// readBack finds out what became of a write whose reply was lost.
func (b *batcher) readBack(ctx context.Context, batch []*entry) {
	for range readBacks {
		rows, err := b.read(ctx, batch)
		if err == nil {
			b.health.recover()
			for i, e := range batch {
				b.answer([]*entry{e}, Found{Row: rows[i]}, true)
			}
			return
		}
		// Claims that wait are refused from here on, instead of becoming unknown.
		b.health.fail(err.Error())
		if pause.For(ctx, readBackPause) != nil {
			break
		}
	}
	b.answer(batch, Unreadable{Reason: "the reply to the claim's write was lost and the platform is down"}, true)
}

func (b *batcher) read(ctx context.Context, batch []*entry) ([]table.Row, error) {
	keys := make([]string, len(batch))
	for i, e := range batch {
		keys[i] = e.op.Key
	}
	ctx, cancel := context.WithTimeout(ctx, b.timeout)
	defer cancel()
	rows, err := b.table.Read(ctx, keys...)
	if err == nil && len(rows) != len(keys) {
		err = errors.New("platform returned another number of rows than asked for; check its version")
	}
	return rows, err
}

func (b *batcher) answer(entries []*entry, ev Event, maybe bool) {
	for _, e := range entries {
		e.result <- result{event: ev, sent: e.sent, maybe: maybe, seen: e.seen}
	}
}
