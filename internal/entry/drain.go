package entry

import (
	"context"
	"time"

	jerrors "github.com/juju/errors"
)

const (
	// idleCloseInterval is the interval at which a draining server closes idle
	// connections.
	idleCloseInterval = 20 * time.Millisecond
	// abortReserve is the last part of the drain timeout, reserved for sending
	// error events on streams that are still open. It is at most a quarter of the
	// timeout.
	abortReserve = time.Second
)

// Drain shuts the server down. During the drain delay it still accepts
// connections and requests, and marks each connection to be closed after its
// response. Then it stops listening and waits for the responses in progress.
// Responses that are not complete when the drain timeout expires or ctx is
// canceled end with an error, and Drain returns an error. ctx must therefore not
// be the context that the stop signal has canceled.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining.Store(true)
	started := s.started
	s.mu.Unlock()
	if !started {
		return nil
	}
	delay := time.NewTimer(s.drainDelay)
	defer delay.Stop()
	select {
	case <-delay.C:
	case <-ctx.Done():
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		s.shutdown()
	}()
	timeout := time.NewTimer(s.drainTimeout - min(abortReserve, s.drainTimeout/4))
	defer timeout.Stop()
	tick := time.NewTicker(idleCloseInterval)
	defer tick.Stop()
	canceled, expired := ctx.Done(), timeout.C
	aborted := 0
	abort := func() {
		_, busy := s.conns.count()
		aborted = max(aborted, busy)
		s.cancel()
	}
	for {
		select {
		case <-stopped:
			s.cancel()
			if aborted > 0 {
				return jerrors.Errorf("%d responses in progress were aborted; raise the drain limit of %s", aborted, s.drainTimeout)
			}
			return nil
		case <-tick.C:
			s.conns.closeIdle()
		case <-expired:
			abort()
		case <-canceled:
			canceled = nil
			abort()
		}
	}
}

// shutdown stops listening and returns when the responses in progress are
// complete or the drain timeout has expired. hertz ignores a shutdown while it is
// starting, so shutdown waits until the server is running.
func (s *Server) shutdown() {
	tick := time.NewTicker(idleCloseInterval)
	defer tick.Stop()
	for {
		h := s.hertz.Load()
		if h != nil && h.IsRunning() {
			// hertz has its own shutdown timeout. A canceled ctx would prevent the
			// error events from being sent.
			_ = h.Shutdown(context.Background())
			_ = h.Close()
			return
		}
		select {
		case <-s.served:
			return
		case <-s.baseContext.Done():
			return
		case <-tick.C:
		}
	}
}

// State is the state of a server, as the state dump shows it.
type State struct {
	// Open and Busy count connections. A busy connection is processing a request.
	Open     int  `json:"open"`
	Busy     int  `json:"busy"`
	Draining bool `json:"draining"`
}

// State returns the state of the server.
func (s *Server) State() State {
	open, busy := s.conns.count()
	return State{Open: open, Busy: busy, Draining: s.draining.Load()}
}
