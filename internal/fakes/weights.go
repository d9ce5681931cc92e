package fakes

import (
	"context"
	"sync"
	"time"

	"sesamehill.example/sesamehill/internal/pause"
)

// DefaultWeightLoad is the duration of a weight load without contention.
const DefaultWeightLoad = 400 * time.Millisecond

// loadUpdateInterval is the interval at which the progress of loads is updated.
const loadUpdateInterval = 10 * time.Millisecond

// Weights is a weight store that engines share. Loads slow down in proportion
// while more than its limit run at once.
type Weights struct {
	limit    int
	duration time.Duration

	mu     sync.Mutex
	active int
	peak   int
	total  int
}

// NewWeights returns a weight store; a limit of 0 means none.
func NewWeights(limit int, duration time.Duration) *Weights {
	return &Weights{limit: limit, duration: duration}
}

// Peak returns the largest number of loads that ran at once, and the number of
// loads that were started.
func (w *Weights) Peak() (peak, total int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.peak, w.total
}

// load waits until a weight load is complete or ctx has ended.
func (w *Weights) load(ctx context.Context) error {
	w.mu.Lock()
	w.active++
	w.total++
	w.peak = max(w.peak, w.active)
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		w.active--
		w.mu.Unlock()
	}()
	last := time.Now()
	for left := w.duration; left > 0; {
		if err := pause.For(ctx, min(loadUpdateInterval, left)); err != nil {
			return err
		}
		now := time.Now()
		left -= time.Duration(float64(now.Sub(last)) * w.loadSpeed())
		last = now
	}
	return nil
}

func (w *Weights) loadSpeed() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.limit <= 0 || w.active <= w.limit {
		return 1
	}
	return float64(w.limit) / float64(w.active)
}
