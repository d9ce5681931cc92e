package wire

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
)

// closableConn is a connection that CloseConn may close.
type closableConn struct {
	net.Conn
	// discarded is set after CloseConn has closed the connection, from when on nothing
	// can be sent on it.
	discarded atomic.Bool
}

// dialClosable returns a function that dials connections which CloseConn may close.
func dialClosable(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &closableConn{Conn: c}, nil
	}
}

// connBody is the body of a response and the connection on which it was received.
type connBody struct {
	io.ReadCloser
	conn net.Conn
}

// CloseConn closes the connection on which a response of NewTransport was received, so
// that what follows the response is not taken for the response to a later request.
func CloseConn(r *http.Response) {
	b, ok := r.Body.(*connBody)
	if !ok {
		return
	}
	if c, ok := b.conn.(*closableConn); ok {
		c.discard()
		return
	}
	_ = b.conn.Close() // the connection is discarded
}

// discard closes the connection, so that nothing can be sent on it.
func (c *closableConn) discard() {
	_ = c.Close() // the connection is discarded
	c.discarded.Store(true)
}

// connCheckKey is the key of a check of connections in a context.
type connCheckKey struct{}

// WithConnCheck returns a context for requests that may only be sent on connections which pass a
// check, besides those of the context. Kept connections that do not pass are closed before
// anything is sent on them. The check gets connections as the function of WithDialContext
// returned them.
func WithConnCheck(ctx context.Context, check func(c net.Conn) bool) context.Context {
	earlier := connCheckOf(ctx)
	return context.WithValue(ctx, connCheckKey{}, func(c net.Conn) bool { return earlier(c) && check(c) })
}

// connCheckOf returns the check of connections for a request.
func connCheckOf(ctx context.Context) func(c net.Conn) bool {
	if check, ok := ctx.Value(connCheckKey{}).(func(c net.Conn) bool); ok {
		return check
	}
	return func(net.Conn) bool { return true }
}

// rewind returns the body of a request that failed with cause before any byte was sent.
// It returns an *UnsentError if the body cannot be read again.
func rewind(r *http.Request, cause error) (io.ReadCloser, error) {
	switch {
	case r.Body == nil, r.Body == http.NoBody:
		return r.Body, nil
	case r.GetBody == nil:
		return nil, &UnsentError{Cause: cause}
	}
	body, err := r.GetBody()
	if err != nil {
		return nil, &UnsentError{Cause: err}
	}
	return body, nil
}
