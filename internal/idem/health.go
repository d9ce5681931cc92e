package idem

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"sesamehill.example/sesamehill/internal/pause"
)

const (
	probeFirst = 250 * time.Millisecond
	probeLast  = 5 * time.Second
)

// health remembers whether the platform is down. While it is, claims are refused
// without a write, and only reads probe the platform: a write whose reply is
// lost would make the outcome unknown, a read never does.
type health struct {
	mu     sync.Mutex
	reason string
	up     chan struct{} // nil while the platform is up
	next   time.Duration
	failed chan struct{}
}

func (h *health) down() (string, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reason, h.up != nil
}

func (h *health) fail(reason string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.up != nil {
		return
	}
	h.reason, h.up, h.next = "the platform is down: "+reason, make(chan struct{}), probeFirst
	select {
	case h.failed <- struct{}{}:
	default:
	}
}

func (h *health) recover() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.up != nil {
		close(h.up)
		h.up = nil
	}
}

// retry returns the time after which a refused caller may try again.
func (h *health) retry() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(time.Second, h.next)
}

// waitUp returns when the platform is up or ctx ends.
func (h *health) waitUp(ctx context.Context) error {
	h.mu.Lock()
	up := h.up
	h.mu.Unlock()
	if up == nil {
		return ctx.Err()
	}
	select {
	case <-up:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// run probes the platform with back-off after each failure.
func (h *health) run(ctx context.Context, probe func(context.Context) error) {
	for {
		select {
		case <-h.failed:
		case <-ctx.Done():
			return
		}
		wait := backoff.NewExponentialBackOff()
		wait.InitialInterval, wait.MaxInterval = probeFirst, probeLast
		for {
			d := wait.NextBackOff()
			h.mu.Lock()
			h.next = d
			h.mu.Unlock()
			if pause.For(ctx, d) != nil {
				return
			}
			if probe(ctx) == nil {
				h.recover()
				break
			}
		}
	}
}
