package queue

import (
	"math"
	"math/bits"
	"time"
)

const (
	// rateHalfLife is the time after which a grant counts half in the rate.
	rateHalfLife = 2 * time.Second
	// sizeClasses is the number of size classes, each four times as large as the one before.
	sizeClasses = 16
)

// Rates measures how fast waiting requests of each size get room. The zero value has
// measured nothing.
type Rates struct{ classes [sizeClasses]classRate }

// classRate holds the work that was granted to waiting requests of one size class and the time
// for which any of them waited, both with less weight for what is longer ago.
type classRate struct {
	granted float64
	waited  time.Duration
	at      time.Duration
	waiting bool
}

// Waiting is the work of waiting requests by size class. The zero value holds none.
type Waiting struct{ work [sizeClasses]float64 }

// Add adds a request.
func (w *Waiting) Add(i Item) { w.work[sizeClassOf(i)] += float64(max(i.Size, 1)) }

// Observe records which requests wait from now on.
func (r *Rates) Observe(waiting Waiting, now time.Duration) {
	for n := range r.classes {
		r.classes[n].advance(now)
		r.classes[n].waiting = waiting.work[n] > 0
	}
}

// Granted records that a request that has waited got room.
func (r *Rates) Granted(i Item, now time.Duration) {
	c := &r.classes[sizeClassOf(i)]
	c.advance(now)
	c.granted += float64(i.Size)
}

// Wait predicts how long a request waits with the given ones before it in the order. The
// prediction is a lower bound: it assumes that a request of this size gets room at this moment,
// so that it is zero for the first request and for a new queue, and grows while no request
// gets room.
func (r *Rates) Wait(before Waiting, i Item, now time.Duration) time.Duration {
	n := sizeClassOf(i)
	c := r.classes[n]
	c.advance(now)
	return time.Duration(before.work[n] / (c.granted + float64(max(i.Size, 1))) * float64(c.waited))
}

func (c *classRate) advance(now time.Duration) {
	elapsed := max(now-c.at, 0)
	decay := math.Exp2(-float64(elapsed) / float64(rateHalfLife))
	c.granted *= decay
	c.waited = time.Duration(float64(c.waited) * decay)
	if c.waiting {
		// The time that has passed loses its weight as well.
		c.waited += time.Duration((1 - decay) * float64(rateHalfLife) / math.Ln2)
	}
	c.at = now
}

// sizeClassOf returns the size class of a request.
func sizeClassOf(i Item) int { return min(bits.Len(uint(max(i.Size, 1)))/2, sizeClasses-1) }
