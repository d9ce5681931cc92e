package wire

import (
	"context"
	"fmt"
	"io"
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
	// keepAliveInterval is the time without data after which a connection is probed, and
	// that between two probes; keepAliveProbes is the number of unanswered probes that end
	// it.
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	// unackedTimeout is how long sent data may stay unacknowledged. As TCP_USER_TIMEOUT it
	// also ends a connection whose probes stay unanswered, whatever their number, so that it
	// must not be shorter than the time of all probes.
	unackedTimeout = (1 + keepAliveProbes) * keepAliveInterval
	// idleTimeout is shorter than any idle timeout that a server announces in whole
	// seconds, so that no request is sent on a connection that the server is closing.
	idleTimeout    = 900 * time.Millisecond
	maxIdlePerHost = 16
)

// keepAlive is the configuration of the probes of a connection.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes}

// Mode says whether connections are reused.
type Mode int

// Modes of a transport.
const (
	// KeepAlive reuses connections for further requests.
	KeepAlive Mode = iota
	// SingleUse opens a connection for each request, so that a request that failed
	// before its connection was established has certainly not been sent.
	SingleUse
)

// UnsentError says that no byte of a request was sent.
type UnsentError struct{ Cause error }

// Error names the cause and the remedy.
func (e *UnsentError) Error() string {
	return fmt.Sprintf("request was not sent: %v; send it to another target", e.Cause)
}

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Cause }

// transport returns an *UnsentError for requests that got no connection.
type transport struct{ base *http.Transport }

// Option changes a default of NewTransport.
type Option func(*http.Transport)

// WithGrowingDialTimeout lets the time for a new connection grow after dials that have
// timed out. It is for a server that has no replacement, such as the platform; a
// request to one of several targets had better fail soon.
func WithGrowingDialTimeout() Option {
	return func(t *http.Transport) {
		d := Dialer()
		d.Timeout = 0 // growingDialer bounds the dial
		t.DialContext = newGrowingDialer(d.DialContext).DialContext
	}
}

// WithDialContext sets the function that opens connections.
func WithDialContext(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(t *http.Transport) { t.DialContext = dial }
}

// NewTransport returns a round tripper that never retries a request by itself.
func NewTransport(m Mode, opts ...Option) http.RoundTripper {
	d := Dialer()
	base := &http.Transport{
		DialContext:            d.DialContext,
		DisableCompression:     true,
		DisableKeepAlives:      m == SingleUse,
		IdleConnTimeout:        idleTimeout,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		MaxResponseHeaderBytes: 64 << 10,
		ReadBufferSize:         4 << 10,
		WriteBufferSize:        4 << 10,
	}
	for _, o := range opts {
		o(base)
	}
	base.DialContext = dialClosable(base.DialContext)
	return &transport{base: base}
}

// Dialer returns a dialer whose connections detect dead peers.
func Dialer() *TCPDialer {
	return &TCPDialer{net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: keepAlive,
		Control:         func(_, _ string, c syscall.RawConn) error { return setUnackedTimeout(c) },
	}}
}

// CheckReachable returns nil if an address accepts a connection. It sends no data.
func CheckReachable(ctx context.Context, d *TCPDialer, address string) error {
	conn, err := d.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close() // an unused connection
	}
	return err
}

// setUnackedTimeout sets the time after which unacknowledged data ends a connection.
func setUnackedTimeout(c syscall.RawConn) error {
	var sockoptErr error
	err := c.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockoptErr
}

// RoundTrip sends one request. It returns a *StatusError for a response whose status does not
// exist. It removes GetBody and sets a body, so that net/http cannot retry the request without the
// caller noticing.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	body := r.Body
	for {
		resp, used, err := t.send(r, body)
		switch {
		case err == nil:
			resp.Body = &connBody{ReadCloser: resp.Body, conn: used.conn}
			if err := checkStatus(resp); err != nil {
				return nil, err
			}
			return resp, nil
		case used == nil:
			return nil, &UnsentError{Cause: err}
		case !used.discarded:
			return nil, err
		}
		// net/http has not noticed yet that the connection was closed by CloseConn, on
		// which nothing was sent.
		if body, err = rewind(r, err); err != nil {
			return nil, err
		}
	}
}

// usedConn is the connection that a request got. discarded is set if it had been closed
// by CloseConn before that.
type usedConn struct {
	conn      net.Conn
	discarded bool
}

// send sends a request once. It returns no connection if the request got none.
func (t *transport) send(r *http.Request, body io.ReadCloser) (*http.Response, *usedConn, error) {
	var used atomic.Pointer[usedConn]
	check := connCheckOf(r.Context())
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		c, ok := i.Conn.(*closableConn)
		if ok && !check(c.Conn) {
			c.discard()
		}
		used.Store(&usedConn{conn: i.Conn, discarded: ok && c.discarded.Load()})
	}}
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
	r.GetBody, r.Body = nil, body
	if r.Body == nil {
		r.Body = emptyBody{}
	}
	resp, err := t.base.RoundTrip(r)
	return resp, used.Load(), err
}

// CloseIdleConnections closes the reusable connections that are idle.
func (t *transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// BootTime returns the time since the machine started, including the time for which
// it was suspended.
func BootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // the clock exists on every supported kernel
	}
	return time.Duration(ts.Nano())
}

// BootNow returns the boot clock as a time.Time, for code that compares times. It
// has no monotonic clock reading, which would not include suspensions.
func BootNow() time.Time { return time.Unix(0, int64(BootTime())) }

// ListenOption changes a default of Listen.
type ListenOption func(c syscall.RawConn)

// WithReceiveBuffer sets how many bytes of each connection the kernel holds that were
// received and not yet read.
func WithReceiveBuffer(size int) ListenOption {
	return func(c syscall.RawConn) {
		// A kernel that refuses the option keeps its own size.
		_ = c.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, size) })
	}
}

// WithUnsentLimit sets how many bytes of each connection the kernel takes that it has not
// sent. Without it a write to a slow reader may wait for a third of a send buffer of
// megabytes.
func WithUnsentLimit(size int) ListenOption {
	return func(c syscall.RawConn) {
		// A kernel that refuses the option keeps its own limit.
		_ = c.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, size) })
	}
}

// Listen opens a listener whose connections detect dead peers.
func Listen(ctx context.Context, address string, opts ...ListenOption) (net.Listener, error) {
	c := net.ListenConfig{
		KeepAliveConfig: keepAlive,
		Control: func(_, _ string, c syscall.RawConn) error {
			for _, o := range opts {
				o(c)
			}
			return setUnackedTimeout(c)
		},
	}
	return c.Listen(ctx, "tcp", address)
}
