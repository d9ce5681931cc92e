package links

import (
	"container/heap"
	"maps"
	"slices"
	"time"

	"sesamehill.example/sesamehill/pkg/chain"
)

// Purposes of transfers.
const (
	Control  Purpose = "control"
	Handover Purpose = "handover"
	Import   Purpose = "import"
	Export   Purpose = "export"
	Prefetch Purpose = "prefetch"
)

// burstDuration is how long an unused share accumulates in the token bucket.
const burstDuration = time.Second

// Charge is the account and purpose that bytes are accounted to.
type Charge struct {
	Account string
	Purpose Purpose
}

// Config is a link as the configuration document defines it.
type Config struct {
	// Rate is the capacity in bytes a second in this direction.
	Rate  float64
	Delay time.Duration
}

// Joined means that another transfer already carries the block.
type Joined struct {
	// Leader is the transfer that carries the block.
	Leader uint64
}

// Link is one direction of a link between regions as one host uses it.
type Link struct {
	config      Config
	budget      budget
	meter       meter
	tokens      float64
	refilled    time.Time
	waiting     queue
	queuedBytes int64
	transfers   map[uint64]*sharedTransfer
	byBlock     map[chain.Key]*sharedTransfer
	// leaders maps each waiter to the transfer that serves it.
	leaders      map[uint64]*sharedTransfer
	chargedBytes map[Charge]int64
	lastOrder    uint64
}

// Outcome is the result of Submit: Queued or Joined.
type Outcome interface{ outcome() }

// Purpose is the reason for a transfer.
type Purpose string

// Queued means that the transfer waits; Next starts it.
type Queued struct{}

// Transfer is a request to send bytes over the link.
type Transfer struct {
	ID uint64
	// Block lets transfers of the same block share one; the zero key does not.
	Block chain.Key
	Bytes int64
	// Value is what the transfer saves, in any unit that all transfers share.
	Value float64
	Charge
}

// sharedTransfer is a queued or running transfer with the IDs of the transfers
// that wait for it.
type sharedTransfer struct {
	Transfer
	waiters    []uint64
	order      uint64
	index      int
	running    bool
	movedBytes int64
	progressAt time.Time
}

// queue is a heap of waiting transfers in order of their start.
type queue []*sharedTransfer

func (Joined) outcome() {}
func (Queued) outcome() {}

// New returns a link whose full rate one host may use until SetHosts is called.
func New(c Config, now time.Time) *Link {
	return &Link{
		config: c, budget: budget{rate: c.Rate, hostCount: 1, demandUpdated: now},
		meter: meter{configuredRate: c.Rate, measuredRate: c.Rate, updated: now}, tokens: c.Rate * burstDuration.Seconds(), refilled: now,
		transfers: map[uint64]*sharedTransfer{}, byBlock: map[chain.Key]*sharedTransfer{},
		leaders: map[uint64]*sharedTransfer{}, chargedBytes: map[Charge]int64{},
	}
}

// Bytes returns the bytes by account and purpose.
func (l *Link) Bytes() map[Charge]int64 { return maps.Clone(l.chargedBytes) }

// Cancel removes a waiter from its transfer. It reports whether the transfer
// runs and has no waiters left; the caller may then stop it and call Done.
func (l *Link) Cancel(id uint64) bool {
	f := l.leaders[id]
	if f == nil {
		return false
	}
	delete(l.leaders, id)
	f.waiters = slices.DeleteFunc(f.waiters, func(w uint64) bool { return w == id })
	if len(f.waiters) > 0 || f.running {
		return len(f.waiters) == 0
	}
	heap.Remove(&l.waiting, f.index)
	l.queuedBytes -= f.Bytes
	l.remove(f)
	return false
}

// Done ends a started transfer that has moved the given bytes in total, and
// returns the IDs of all transfers that waited for it.
func (l *Link) Done(id uint64, moved int64, now time.Time) []uint64 {
	f := l.transfers[id]
	if f == nil || !f.running {
		return nil
	}
	l.Progress(id, moved, now)
	l.refill(now)
	l.tokens = min(l.tokens+float64(f.Bytes-moved), l.bucketSize(now))
	l.chargedBytes[f.Charge] += moved - f.Bytes
	l.remove(f)
	for _, w := range f.waiters {
		delete(l.leaders, w)
	}
	return f.waiters
}

// Next returns the transfers that start now.
func (l *Link) Next(now time.Time) []Transfer {
	l.refill(now)
	var started []Transfer
	for len(l.waiting) > 0 {
		f := l.waiting[0]
		switch f.Purpose {
		case Control:
		case Prefetch:
			if size := l.bucketSize(now); l.tokens < size || size == 0 || l.busy() {
				return started
			}
		default:
			if l.tokens <= 0 {
				return started
			}
		}
		heap.Pop(&l.waiting)
		l.queuedBytes -= f.Bytes
		l.tokens -= float64(f.Bytes)
		l.chargedBytes[f.Charge] += f.Bytes
		f.running, f.progressAt = true, now.Add(l.config.Delay)
		started = append(started, f.Transfer)
	}
	return started
}

// Progress records how many bytes a running transfer has moved in total.
func (l *Link) Progress(id uint64, moved int64, now time.Time) {
	f := l.transfers[id]
	if f == nil || !f.running || f.Bytes < minMeteredBytes || !now.After(f.progressAt) {
		return
	}
	// Concurrent transfers share the link.
	concurrent := int64(0)
	for _, x := range l.transfers {
		if x.running && x.Bytes >= minMeteredBytes {
			concurrent++
		}
	}
	l.meter.observe(max(0, moved-f.movedBytes)*concurrent, now.Sub(f.progressAt), now)
	f.movedBytes, f.progressAt = moved, now
}

// Queued returns the bytes that have not crossed the link yet, of queued and of
// running transfers.
func (l *Link) Queued() int64 {
	n := l.queuedBytes
	for _, f := range l.transfers {
		if f.running {
			n += max(0, f.Bytes-f.movedBytes)
		}
	}
	return n
}

// Rate returns the bytes a second that this host can expect: its share, or the
// measured rate if that is lower.
func (l *Link) Rate(now time.Time) float64 {
	return min(l.budget.share(now), l.meter.current(now))
}

// Submit queues a transfer. If another one already carries the same block, the
// new transfer joins it.
func (l *Link) Submit(t Transfer, now time.Time) Outcome {
	if f := l.byBlock[t.Block]; f != nil && !t.Block.IsZero() {
		f.waiters = append(f.waiters, t.ID)
		l.leaders[t.ID] = f
		if !f.running {
			f.Value += t.Value
			if priority(t.Purpose) < priority(f.Purpose) {
				f.Purpose = t.Purpose
			}
			heap.Fix(&l.waiting, f.index)
		}
		return Joined{Leader: f.ID}
	}
	l.lastOrder++
	f := &sharedTransfer{Transfer: t, waiters: []uint64{t.ID}, order: l.lastOrder}
	l.transfers[t.ID], l.leaders[t.ID] = f, f
	if !t.Block.IsZero() {
		l.byBlock[t.Block] = f
	}
	heap.Push(&l.waiting, f)
	l.queuedBytes += t.Bytes
	if t.Purpose != Prefetch {
		l.budget.recordDemand(t.Bytes, now)
	}
	return Queued{}
}

// priority orders purposes: control first, prefetches last.
func priority(p Purpose) int {
	switch p {
	case Control:
		return 0
	case Prefetch:
		return 2
	default:
		return 1
	}
}

// refill adds tokens to the bucket for the time since the last call.
func (l *Link) refill(now time.Time) {
	if !now.After(l.refilled) {
		return
	}
	rate := l.budget.minShare(l.refilled, now)
	l.tokens = min(l.tokens+rate*now.Sub(l.refilled).Seconds(), l.bucketSize(now))
	l.refilled = now
}

// busy reports whether a transfer runs.
func (l *Link) busy() bool {
	for _, f := range l.transfers {
		if f.running {
			return true
		}
	}
	return false
}

func (l *Link) remove(f *sharedTransfer) {
	delete(l.transfers, f.ID)
	if l.byBlock[f.Block] == f {
		delete(l.byBlock, f.Block)
	}
}

// bucketSize returns the largest number of tokens that the bucket holds.
func (l *Link) bucketSize(now time.Time) float64 {
	return l.budget.share(now) * burstDuration.Seconds()
}

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	a, b := q[i], q[j]
	if x, y := priority(a.Purpose), priority(b.Purpose); x != y {
		return x < y
	}
	// Compares value per byte without a division by zero.
	if x, y := a.Value*float64(b.Bytes), b.Value*float64(a.Bytes); x != y {
		return x > y
	}
	return a.order < b.order
}

func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

func (q *queue) Pop() any {
	n := len(*q) - 1
	x := (*q)[n]
	(*q)[n], *q = nil, (*q)[:n]
	return x
}

func (q *queue) Push(x any) {
	x.(*sharedTransfer).index = len(*q)
	*q = append(*q, x.(*sharedTransfer))
}
