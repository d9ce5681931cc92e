package queue

import (
	"math"
	"math/bits"
	"time"
)

const (
	// rateHalfLife is the time after which a grant counts half in the rate.
	rateHalfLife = 2 * time.Second
	// lanes is the number of size classes, each four times as large as the one before.
	lanes = 16
)

// Rates measures how fast waiting requests of each size get room. The zero value has
// measured nothing.
type Rates struct{ lanes [lanes]lane }

// lane holds the work that was granted to waiting requests of one size class and the time
// for which any of them waited, both with less weight for what is longer ago.
type lane struct {
	granted float64
	waited  time.Duration
	at      time.Duration
	waiting bool
}

// Waiting is the work of waiting requests by size class. The zero value holds none.
type Waiting struct{ work [lanes]float64 }

// Add adds a request.
func (w *Waiting) Add(i Item) { w.work[laneOf(i)] += float64(max(i.Size, 1)) }

// Observe records which requests wait from now on.
func (r *Rates) Observe(waiting Waiting, now time.Duration) {
	for n := range r.lanes {
		r.lanes[n].advance(now)
		r.lanes[n].waiting = waiting.work[n] > 0
	}
}

// Granted records that a request that has waited got room.
func (r *Rates) Granted(i Item, now time.Duration) {
	l := &r.lanes[laneOf(i)]
	l.advance(now)
	l.granted += float64(i.Size)
}

// Wait predicts how long a request waits with the given ones before it in the order. The
// prediction is the shortest one that agrees with what was measured: it assumes that one of
// them gets its room at this moment, so that it is zero for the first request and for a new
// queue, and grows while nobody gets room.
func (r *Rates) Wait(before Waiting, i Item, now time.Duration) time.Duration {
	n := laneOf(i)
	l := r.lanes[n]
	l.advance(now)
	return time.Duration(before.work[n] / (l.granted + float64(max(i.Size, 1))) * float64(l.waited))
}

func (l *lane) advance(now time.Duration) {
	elapsed := max(now-l.at, 0)
	decay := math.Exp2(-float64(elapsed) / float64(rateHalfLife))
	l.granted *= decay
	l.waited = time.Duration(float64(l.waited) * decay)
	if l.waiting {
		// The time that has passed loses its weight as well.
		l.waited += time.Duration((1 - decay) * float64(rateHalfLife) / math.Ln2)
	}
	l.at = now
}

// laneOf returns the size class of a request.
func laneOf(i Item) int { return min(bits.Len(uint(max(i.Size, 1)))/2, lanes-1) }
