package fakes

import (
	"context"
	"sync"
	"time"

	"sesamehill.example/sesamehill/internal/pause"
)

// DefaultWeightLoad is the default duration of a weight load without contention.
const DefaultWeightLoad = 400 * time.Millisecond

// loadUpdateInterval is the interval at which the progress of loads is updated.
const loadUpdateInterval = 10 * time.Millisecond

// Weights is a weight store that engines share. Above its limit of concurrent loads,
// all loads slow down in proportion to their number.
type Weights struct {
	limit    int
	duration time.Duration

	mu     sync.Mutex
	active int
	peak   int
	total  int
}

// NewWeights returns a weight store; a limit of 0 means unlimited.
func NewWeights(limit int, duration time.Duration) *Weights {
	return &Weights{limit: limit, duration: duration}
}

// Peak returns the largest number of concurrent loads and the number of started
// loads.
func (w *Weights) Peak() (peak, total int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.peak, w.total
}

// load waits until a weight load is complete or ctx is done.
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
	updated := time.Now()
	for remaining := w.duration; remaining > 0; {
		if err := pause.For(ctx, min(loadUpdateInterval, remaining)); err != nil {
			return err
		}
		now := time.Now()
		remaining -= time.Duration(float64(now.Sub(updated)) * w.loadSpeed())
		updated = now
	}
	return nil
}

// loadSpeed returns the speed of each load as a fraction of that without contention.
func (w *Weights) loadSpeed() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.limit <= 0 || w.active <= w.limit {
		return 1
	}
	return float64(w.limit) / float64(w.active)
}
