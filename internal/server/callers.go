package server

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"sesamehill.example/sesamehill/internal/caller"
	"sesamehill.example/sesamehill/internal/pause"
	"sesamehill.example/sesamehill/internal/wire"
)

// drainCheckInterval is the time between two checks whether a drained server still has
// connections.
const drainCheckInterval = 20 * time.Millisecond

// firstRequestTime is how long a drained server waits for the first request on a connection
// that it has accepted.
const firstRequestTime = 2 * time.Second

// callerServer accepts the connections of callers. A guard tracks them, as
// http.Server.Shutdown closes connections whose first request it has just read without an
// answer.
type callerServer struct {
	http  *http.Server
	guard *caller.Guard
	// listening is set while new connections are accepted.
	listening atomic.Bool
	mu        sync.Mutex
	listener  net.Listener
}

func newCallerServer(h http.Handler, g *caller.Guard) *callerServer {
	return &callerServer{guard: g, http: &http.Server{
		Handler: g.Handler(h), MaxHeaderBytes: maxHeaderBytes, ConnState: g.Track, ConnContext: g.Context,
		DisableGeneralOptionsHandler: true,
	}}
}

// Serve accepts connections until ctx is cancelled; open connections stay open.
func (s *callerServer) Serve(ctx context.Context, address string) error {
	l, err := wire.Listen(ctx, address, wire.WithReceiveBuffer(callerReceiveBytes), wire.WithUnsentLimit(callerUnsentBytes))
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
	if err := s.http.Serve(s.guard.Listener(l)); ctx.Err() == nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return err
	}
	<-ctx.Done() // the supervisor would restart a drained server that returns
	return nil
}

// drain stops listening, and waits until every request is answered or ctx ends. A
// connection that has brought no request yet may still bring one.
func (s *callerServer) drain(ctx context.Context) error {
	s.mu.Lock()
	if s.listener != nil {
		_ = s.listener.Close() // no further connections are accepted
	}
	s.mu.Unlock()
	for s.guard.CloseWaiting(firstRequestTime) > 0 {
		if err := pause.For(ctx, drainCheckInterval); err != nil {
			return err
		}
	}
	return nil
}
