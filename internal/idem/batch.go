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
	// maxBatch and maxBatchBytes bound the rows and bytes of one transaction.
	maxBatch      = 128
	maxBatchBytes = 1 << 20
	// maxFlushes bounds the transactions in flight, so that one slow reply
	// doesn't delay the next batch.
	maxFlushes = 4
	// maxReadBacks is the number of attempts to read rows back after a lost reply,
	// and readBackPause is the pause between them.
	maxReadBacks  = 3
	readBackPause = 100 * time.Millisecond
)

// pendingWrite is a conditional write that waits in the batcher or is being sent.
type pendingWrite struct {
	op table.Op
	// sendBy is the time after which the batcher no longer sends the write.
	sendBy    time.Time
	result    chan result
	sent      time.Time
	contended bool
}

// result is the result of a pendingWrite.
type result struct {
	event Event
	// sent is the time immediately before the write was first sent; it is zero
	// if the write was never sent.
	sent time.Time
	// mayBeWritten is true if the write took effect, or may have done so or still do so.
	mayBeWritten bool
	contended    bool
}

// batcher collects writes for a few milliseconds and sends them in one
// transaction, at a limited rate. Urgent writes go before background writes.
type batcher struct {
	table      table.Table
	now        func() time.Time
	delay      time.Duration
	timeout    time.Duration
	limiter    *rate.Limiter
	urgent     chan *pendingWrite
	background chan *pendingWrite
	flushSlots *semaphore.Weighted
	health     health
	writes     atomic.Int64
	rows       atomic.Int64
	flushing   sync.WaitGroup
}

// submit queues a write and waits for its result. It returns Down at once if the
// queue is full or the platform is marked as down.
func (b *batcher) submit(ctx context.Context, op table.Op, sendBy time.Time, urgent bool) result {
	if reason, down := b.health.down(); down {
		return result{event: Down{Reason: reason}}
	}
	e := &pendingWrite{op: op, sendBy: sendBy, result: make(chan result, 1)}
	queue := b.background
	if urgent {
		queue = b.urgent
	}
	select {
	case queue <- e:
	default:
		return result{event: Down{Reason: "the write queue for idempotency records is full"}}
	}
	select {
	case r := <-e.result:
		return r
	case <-ctx.Done():
		// The batcher may still send the write.
		return result{event: Unreadable{Reason: "the host is shutting down"}, sent: b.now(), mayBeWritten: true}
	}
}

// run forms batches until ctx ends.
func (b *batcher) run(ctx context.Context) {
	defer b.flushing.Wait()
	var deferred []*pendingWrite
	for {
		batch := deferred
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
		if pause.For(ctx, b.delay) != nil || b.flushSlots.Acquire(ctx, 1) != nil {
			return
		}
		if b.limiter.Wait(ctx) != nil {
			return
		}
		batch, deferred = b.fill(batch)
		b.flushing.Go(func() {
			defer b.flushSlots.Release(1)
			b.flush(ctx, batch)
		})
	}
}

// fill adds queued writes to a batch that starts with the carried-over writes. It
// defers writes that don't fit or whose row is already in the batch.
func (b *batcher) fill(carried []*pendingWrite) (batch, deferred []*pendingWrite) {
	keys, size := map[string]bool{}, 0
	add := func(e *pendingWrite) bool {
		fits := len(batch) < maxBatch && (len(batch) == 0 || size+len(e.op.Value) <= maxBatchBytes)
		if !fits || keys[e.op.Key] {
			deferred = append(deferred, e)
			return fits
		}
		keys[e.op.Key] = true
		size += len(e.op.Value)
		batch = append(batch, e)
		return true
	}
	for _, e := range carried {
		add(e)
	}
	for _, queue := range []chan *pendingWrite{b.urgent, b.background} {
		for more := true; more; {
			select {
			case e := <-queue:
				more = add(e)
			default:
				more = false
			}
		}
	}
	return batch, deferred
}

// flush sends a batch. After a conflict it removes the conflicting rows and
// retries the others.
func (b *batcher) flush(ctx context.Context, batch []*pendingWrite) {
	for first := true; ; first = false {
		if !first && b.limiter.Wait(ctx) != nil {
			b.reply(batch, Down{Reason: "the host is shutting down"}, false)
			return
		}
		if reason, down := b.health.down(); down {
			b.reply(batch, Down{Reason: reason}, false)
			return
		}
		now := b.now()
		batch = slices.DeleteFunc(batch, func(e *pendingWrite) bool {
			if now.After(e.sendBy) {
				b.reply([]*pendingWrite{e}, Down{Reason: "the idempotency record was not sent before its deadline"}, false)
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
				b.reply([]*pendingWrite{e}, Wrote{Version: e.op.Version + 1}, true)
			}
			return
		case errors.As(err, &conflict):
			batch = b.splitConflict(ctx, batch, conflict)
		case errors.As(err, &down):
			b.health.markDown(down.Reason)
			b.reply(batch, Down{Reason: "the platform is down"}, false)
			return
		default:
			b.readBack(ctx, batch)
			return
		}
	}
}

func (b *batcher) write(ctx context.Context, batch []*pendingWrite) error {
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

// splitConflict replies to the writes whose rows are not at the expected version
// and returns the others. It always removes the row that the conflict names.
func (b *batcher) splitConflict(ctx context.Context, batch []*pendingWrite, c *table.ConflictError) []*pendingWrite {
	rows, err := b.read(ctx, batch)
	var remaining []*pendingWrite
	for i, e := range batch {
		switch {
		case err != nil && (e.op.Key == c.Key || len(batch) == 1):
			e.contended = true
			b.reply([]*pendingWrite{e}, Unreadable{Reason: "the key has an idempotency record that cannot be read"}, false)
		case err == nil && (rows[i].Version != e.op.Version || e.op.Key == c.Key || len(batch) == 1):
			e.contended = rows[i].Version != 0
			b.reply([]*pendingWrite{e}, Found{Row: rows[i]}, false)
		default:
			remaining = append(remaining, e)
		}
	}
	if len(remaining) == len(batch) {
		// The conflict names none of the rows; nothing was written.
		b.reply(batch, Down{Reason: "the platform rejected the write: " + c.Error()}, false)
		return nil
	}
	return remaining
}

// readBack reads the rows of a batch whose reply was lost, to learn whether the
// write took effect.
func (b *batcher) readBack(ctx context.Context, batch []*pendingWrite) {
	for range maxReadBacks {
		rows, err := b.read(ctx, batch)
		if err == nil {
			b.health.markUp()
			for i, e := range batch {
				b.reply([]*pendingWrite{e}, Found{Row: rows[i]}, true)
			}
			return
		}
		// With the platform marked as down, queued writes are rejected unsent; their
		// outcome would otherwise become unknown.
		b.health.markDown(err.Error())
		if pause.For(ctx, readBackPause) != nil {
			break
		}
	}
	b.reply(batch, Unreadable{Reason: "the reply to the write of the idempotency record was lost and the platform is down"}, true)
}

func (b *batcher) read(ctx context.Context, batch []*pendingWrite) ([]table.Row, error) {
	keys := make([]string, len(batch))
	for i, e := range batch {
		keys[i] = e.op.Key
	}
	ctx, cancel := context.WithTimeout(ctx, b.timeout)
	defer cancel()
	rows, err := b.table.Read(ctx, keys...)
	if err == nil && len(rows) != len(keys) {
		err = errors.New("platform returned a different number of rows than requested; check its version")
	}
	return rows, err
}

func (b *batcher) reply(entries []*pendingWrite, event Event, mayBeWritten bool) {
	for _, e := range entries {
		e.result <- result{event: event, sent: e.sent, mayBeWritten: mayBeWritten, contended: e.contended}
	}
}
