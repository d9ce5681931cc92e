package wire

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	dialTimeout = 400 * time.Millisecond
	// silence is how long sent data may stay unacknowledged.
	silence = 2 * time.Second
	// idleTimeout is shorter than any idle timeout that a server announces in
	// whole seconds, so that no request meets a connection that is being closed.
	idleTimeout = 900 * time.Millisecond
	maxIdle     = 16
)

// Mode says whether connections are used again.
type Mode int

// Modes of a transport.
const (
	// Kept connections serve one request after the other.
	Kept Mode = iota
	// Fresh connections serve a single request, so that a request that failed
	// before its connection was made has certainly not been sent.
	Fresh
)

// UnsentError says that no byte of a request has left.
type UnsentError struct{ Cause error }

// Error names the cause and the remedy.
func (e *UnsentError) Error() string {
	return fmt.Sprintf("request was not sent: %v; send it to another target", e.Cause)
}

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Cause }

// transport marks failures before the request got a connection.
type transport struct{ base *http.Transport }

// NewTransport returns a round tripper that never repeats a request by itself.
func NewTransport(m Mode) http.RoundTripper {
	d := Dialer()
	return &transport{base: &http.Transport{
		DialContext:            d.DialContext,
		DisableCompression:     true,
		DisableKeepAlives:      m == Fresh,
		IdleConnTimeout:        idleTimeout,
		MaxIdleConnsPerHost:    maxIdle,
		MaxResponseHeaderBytes: 64 << 10,
		ReadBufferSize:         4 << 10,
		WriteBufferSize:        4 << 10,
	}}
}

// Dialer returns a dialer whose connections notice silence.
func Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: time.Second, Interval: time.Second, Count: 2,
		},
		Control: func(_, _ string, c syscall.RawConn) error { return bound(c) },
	}
}

// Reach returns nil if an address takes a connection, on which nothing is sent.
func Reach(ctx context.Context, d *net.Dialer, address string) error {
	conn, err := d.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close() // an unused connection
	}
	return err
}

// bound sets the time after which unacknowledged data ends a connection.
func bound(c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// RoundTrip sends one request. The body is hidden from the transport's own
// repetition, which the caller cannot see.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
	r.GetBody = nil
	if r.Body == nil {
		r.Body = empty{}
	}
	resp, err := t.base.RoundTrip(r)
	if err != nil && !connected.Load() {
		return nil, &UnsentError{Cause: err}
	}
	return resp, err
}

// CloseIdleConnections closes the kept connections that are not in use.
func (t *transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// Boot returns the time since the machine started, including the time for which
// it was suspended.
func Boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // the clock exists on every supported kernel
	}
	return time.Duration(ts.Nano())
}

// Now returns the boot clock as a time, for code that compares times. It has no
// monotonic reading of its own, since that would leave out a suspension.
func Now() time.Time { return time.Unix(0, int64(Boot())) }

// Listen opens a listener whose connections notice silence.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	c := net.ListenConfig{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
		Control:         func(_, _ string, c syscall.RawConn) error { return bound(c) },
	}
	return c.Listen(ctx, "tcp", address)
}
