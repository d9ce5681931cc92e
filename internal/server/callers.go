package server

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"sesamehill.example/sesamehill/internal/pause"
	"sesamehill.example/sesamehill/internal/wire"
)

const (
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 64 << 10
	// defaultIdleTimeout is how long a connection may stay idle until an operator
	// configuration sets the limit.
	defaultIdleTimeout = 30 * time.Second
	idleSweepInterval  = 250 * time.Millisecond
	// drainCheckInterval is the time between two checks whether a drained server still has
	// connections.
	drainCheckInterval = 20 * time.Millisecond
	// firstRequestTime is how long a drained server waits for the first request on a
	// connection that it has accepted.
	firstRequestTime = 2 * time.Second
)

// callerConn is the state of a connection of a caller.
type callerConn struct {
	state http.ConnState
	// since is the boot time at which the connection got into its state.
	since time.Duration
}

// callerServer accepts the connections of callers. It tracks connections itself, as the
// idle timeout changes with the operator configuration, and as http.Server.Shutdown closes
// connections whose first request it has just read without an answer.
type callerServer struct {
	http *http.Server
	// listening is set while new connections are accepted.
	listening atomic.Bool
	mu        sync.Mutex
	listener  net.Listener
	conns     map[net.Conn]callerConn
}

func newCallerServer(h http.Handler) *callerServer {
	s := &callerServer{conns: map[net.Conn]callerConn{}}
	s.http = &http.Server{
		Handler: s.serveOpen(h), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: s.trackConn,
		ConnContext:                  func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		DisableGeneralOptionsHandler: true,
	}
	return s
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// serveOpen serves the requests on connections that are open. http.Server calls a connection
// idle until it has read the head of a request, so that closeWaiting may have closed it
// meanwhile. The caller of such a request gets no answer, so it must not run.
func (s *callerServer) serveOpen(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(net.Conn); ok && !s.isOpen(c) {
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(w, r)
	})
}

// isOpen reports whether a connection has not been closed by closeWaiting.
func (s *callerServer) isOpen(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.conns[c]
	return ok
}

// Serve accepts connections until ctx is cancelled; open connections stay open.
func (s *callerServer) Serve(ctx context.Context, address string) error {
	l, err := wire.Listen(ctx, address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { _ = l.Close() }) // makes Serve return
	defer stop()
	s.listening.Store(true)
	defer s.listening.Store(false)
	if err := s.http.Serve(l); ctx.Err() == nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return err
	}
	<-ctx.Done() // the supervisor would restart a drained server that returns
	return nil
}

// trackConn records the state of a connection, unless closeWaiting has closed it.
func (s *callerServer) trackConn(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, known := s.conns[c]
	switch {
	case state == http.StateClosed || state == http.StateHijacked:
		delete(s.conns, c)
	case known || state == http.StateNew:
		s.conns[c] = callerConn{state: state, since: wire.BootTime()}
	}
}

// waiting reports whether no request is being read or served on a connection.
func (c callerConn) waiting() bool { return c.state != http.StateActive }

// closeIdle closes connections that have been idle for longer than limit.
func (s *callerServer) closeIdle(limit time.Duration) {
	s.closeWaiting(func(c callerConn, now time.Duration) bool { return now-c.since > limit })
}

// closeWaiting closes the connections without a request that match, and returns the number
// of the others.
func (s *callerServer) closeWaiting(matches func(c callerConn, now time.Duration) bool) int {
	now := wire.BootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, conn := range s.conns {
		if conn.waiting() && matches(conn, now) {
			delete(s.conns, c)
			_ = c.Close() // http.Server notices and drops the connection
		}
	}
	return len(s.conns)
}

// drain stops listening, and waits until every request is answered or ctx ends. A
// connection that has brought no request yet may still bring one.
func (s *callerServer) drain(ctx context.Context) error {
	s.mu.Lock()
	if s.listener != nil {
		_ = s.listener.Close() // no further connections are accepted
	}
	s.mu.Unlock()
	for s.closeWaiting(func(c callerConn, now time.Duration) bool {
		return c.state == http.StateIdle || now-c.since > firstRequestTime
	}) > 0 {
		if err := pause.For(ctx, drainCheckInterval); err != nil {
			return err
		}
	}
	return nil
}
