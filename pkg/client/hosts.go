package client

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"sesamehill.example/sesamehill/internal/calls"
)

const (
	// defaultMaxAttempts is the number of attempts of a request: one at each of three
	// hosts, and one more after the last delay.
	defaultMaxAttempts = 4
	// initialRetryDelay and maxRetryDelay bound the delay before a retry.
	initialRetryDelay = 50 * time.Millisecond
	maxRetryDelay     = 2 * time.Second
	jsonContentType   = "application/json"
)

// Option configures a Caller or an Operator.
type Option func(*hostSet)

// WithMaxAttempts sets the largest number of attempts of a request or stream.
func WithMaxAttempts(n int) Option {
	return func(h *hostSet) { h.maxAttempts = max(1, n) }
}

// hostSet holds the connections to a set of hosts, each of which can serve any
// request.
type hostSet struct {
	pools       []*calls.Pool
	nextIndex   atomic.Uint64
	key         string
	maxAttempts int
}

func newHostSet(addresses []string, key string, opts []Option) *hostSet {
	h := &hostSet{key: key, maxAttempts: defaultMaxAttempts}
	for _, a := range addresses {
		h.pools = append(h.pools, calls.NewPool(a))
	}
	// Start at a random host, so that clients that start at the same time do not all
	// use the first one.
	h.nextIndex.Store(rand.Uint64N(1 << 32))
	for _, o := range opts {
		o(h)
	}
	return h
}

// Close closes idle connections.
func (h *hostSet) Close() {
	for _, p := range h.pools {
		p.Close()
	}
}

var errNoHostAddress = errors.New("no host address is given")

// nextPool returns the connection pool of the next host, in round-robin order.
func (h *hostSet) nextPool() (*calls.Pool, error) {
	if len(h.pools) == 0 {
		return nil, &UnreachableError{Err: errNoHostAddress}
	}
	return h.pools[h.nextIndex.Add(1)%uint64(len(h.pools))], nil
}

// header returns the headers of a request: the authorization and extra ones.
func (h *hostSet) header(extra map[string]string) map[string]string {
	headers := map[string]string{"Authorization": "Bearer " + h.key}
	for k, v := range extra {
		headers[k] = v
	}
	return headers
}

// retrier counts the attempts of one request and waits between them.
type retrier struct {
	remaining int
	delays    *backoff.ExponentialBackOff
}

func (h *hostSet) newRetrier() *retrier {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = initialRetryDelay, maxRetryDelay
	return &retrier{remaining: h.maxAttempts - 1, delays: b}
}

// wait waits before the next attempt, for at least minDelay. It returns false if no
// attempt remains, or if the context would end before the attempt.
func (r *retrier) wait(ctx context.Context, minDelay time.Duration) bool {
	if r.remaining < 1 {
		return false
	}
	r.remaining--
	delay := max(minDelay, r.delays.NextBackOff())
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= delay {
		return false
	}
	t := time.NewTimer(delay)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// maybeSent reports whether a host may have received the request that failed with
// err.
func maybeSent(err error) bool {
	var e *calls.Error
	return !errors.As(err, &e) || e.MaybeSent
}
