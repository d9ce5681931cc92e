package front

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"sesamehill.example/sesamehill/internal/wire"
)

const (
	headerTimeout = 10 * time.Second
	maxHeader     = 64 << 10
	// defaultIdle is how long a connection may stay idle before a site says so.
	defaultIdle = 30 * time.Second
	sweepPeriod = 250 * time.Millisecond
)

// server accepts callers' connections. It keeps the idle ones itself, because
// their limit changes with the site.
type server struct {
	http *http.Server
	mu   sync.Mutex
	idle map[net.Conn]time.Duration
}

func newServer(h http.Handler) *server {
	s := &server{idle: map[net.Conn]time.Duration{}}
	s.http = &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeader, ConnState: s.track,
		DisableGeneralOptionsHandler: true,
	}
	return s
}

// Serve accepts until ctx ends; connections stay open.
func (s *server) Serve(ctx context.Context, address string) error {
	l, err := wire.Listen(ctx, address)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = l.Close() }) // ends Serve
	defer stop()
	if err := s.http.Serve(l); ctx.Err() == nil && !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	<-ctx.Done() // a drained server is not started again
	return nil
}

func (s *server) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateIdle, http.StateNew:
		s.idle[c] = wire.Boot()
	default:
		delete(s.idle, c)
	}
}

// sweep closes connections that have been idle for longer than the limit.
func (s *server) sweep(limit time.Duration) {
	now := wire.Boot()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, since := range s.idle {
		if now-since > limit {
			delete(s.idle, c)
			_ = c.Close() // the server notices and forgets it
		}
	}
}

// drain waits until every request has its answer, or ctx ends.
func (s *server) drain(ctx context.Context) error { return s.http.Shutdown(ctx) }
