package idem

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"sesamehill.example/sesamehill/internal/pause"
)

const (
	minProbeInterval = 250 * time.Millisecond
	maxProbeInterval = 5 * time.Second
)

// health tracks whether the platform is down. While it is down, the batcher
// rejects writes without sending them, and only reads probe the platform: a
// write whose reply is lost makes the outcome unknown, a read never does.
type health struct {
	mu        sync.Mutex
	reason    string
	recovered chan struct{} // closed on recovery; nil while the platform is up
	nextProbe time.Duration
	failures  chan struct{}
}

func (h *health) down() (string, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reason, h.recovered != nil
}

func (h *health) markDown(reason string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.recovered != nil {
		return
	}
	h.reason, h.recovered, h.nextProbe = "the platform is down: "+reason, make(chan struct{}), minProbeInterval
	select {
	case h.failures <- struct{}{}:
	default:
	}
}

func (h *health) markUp() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.recovered != nil {
		close(h.recovered)
		h.recovered = nil
	}
}

// retryAfter returns how long a rejected caller should wait before it retries.
func (h *health) retryAfter() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(time.Second, h.nextProbe)
}

// waitUp blocks until the platform is up or ctx is done.
func (h *health) waitUp(ctx context.Context) error {
	h.mu.Lock()
	recovered := h.recovered
	h.mu.Unlock()
	if recovered == nil {
		return ctx.Err()
	}
	select {
	case <-recovered:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// runProbes waits for a failure, then probes the platform with exponential
// backoff until a probe succeeds.
func (h *health) runProbes(ctx context.Context, probe func(context.Context) error) {
	for {
		select {
		case <-h.failures:
		case <-ctx.Done():
			return
		}
		intervals := backoff.NewExponentialBackOff()
		intervals.InitialInterval, intervals.MaxInterval = minProbeInterval, maxProbeInterval
		for {
			interval := intervals.NextBackOff()
			h.mu.Lock()
			h.nextProbe = interval
			h.mu.Unlock()
			if pause.For(ctx, interval) != nil {
				return
			}
			if probe(ctx) == nil {
				h.markUp()
				break
			}
		}
	}
}
