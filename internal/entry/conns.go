package entry

import (
	"context"
	"sync"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/network"
)

type connKey struct{}

// connTable tracks which connections are processing a request, from the first
// byte of the request until the response is flushed. hertz counts a connection
// that waits for its next request as active, so the shutdown of hertz alone would
// wait for the idle timeout.
//
// It implements hertz's Tracer, the only hook that runs after the flush.
type connTable struct {
	mu    sync.Mutex
	conns map[*conn]struct{}
}

type conn struct {
	network.Conn
	busy bool
}

func newConnTable() *connTable {
	return &connTable{conns: make(map[*conn]struct{})}
}

// onConnect adds a new connection to the table until the connection is closed.
func (t *connTable) onConnect(ctx context.Context, accepted network.Conn) context.Context {
	c := &conn{Conn: accepted}
	t.mu.Lock()
	t.conns[c] = struct{}{}
	t.mu.Unlock()
	context.AfterFunc(ctx, func() {
		t.mu.Lock()
		delete(t.conns, c)
		t.mu.Unlock()
	})
	return context.WithValue(ctx, connKey{}, c)
}

// Start marks the connection as busy.
func (t *connTable) Start(ctx context.Context, _ *app.RequestContext) context.Context {
	t.setBusy(ctx, true)
	return ctx
}

// Finish marks the connection as idle.
func (t *connTable) Finish(ctx context.Context, _ *app.RequestContext) {
	t.setBusy(ctx, false)
}

func (t *connTable) setBusy(ctx context.Context, busy bool) {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return
	}
	t.mu.Lock()
	c.busy = busy
	t.mu.Unlock()
}

// closeIdle closes the connections that are not processing a request.
func (t *connTable) closeIdle() {
	t.mu.Lock()
	var idle []*conn
	for c := range t.conns {
		if !c.busy {
			idle = append(idle, c)
		}
	}
	t.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// count returns the number of open connections and the number of those that are
// processing a request.
func (t *connTable) count() (open, busy int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		if c.busy {
			busy++
		}
	}
	return len(t.conns), busy
}
