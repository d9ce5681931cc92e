package wire

import (
	"context"
	"net"
	"sync"
	"time"
)

// maxDialTimeout bounds the dial timeout of a dialer with WithGrowingDialTimeout. A
// platform that is back after an outage is found only by the next dial.
const maxDialTimeout = 2 * dialTimeout

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// growingDialer doubles its timeout after each dial that has timed out, and resets it
// after one that succeeded. On a link with a long queue every dial with the first
// timeout would fail.
type growingDialer struct {
	dial dialFunc

	mu      sync.Mutex
	timeout time.Duration
}

func newGrowingDialer(dial dialFunc) *growingDialer {
	return &growingDialer{dial: dial, timeout: dialTimeout}
}

// DialContext opens a connection within the present timeout.
func (d *growingDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	d.mu.Lock()
	timeout := d.timeout
	d.mu.Unlock()
	dialCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := d.dial(dialCtx, network, address)
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case err == nil:
		d.timeout = dialTimeout
	case dialCtx.Err() != nil && d.timeout == timeout:
		d.timeout = min(2*timeout, maxDialTimeout)
	}
	return conn, err
}
