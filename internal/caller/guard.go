package caller

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"sesamehill.example/sesamehill/internal/wire"
)

const (
	// SweepInterval is the time between two sweeps.
	SweepInterval = 250 * time.Millisecond
	// maxTick is the longest time that a sweep adds to the clock.
	maxTick = 2 * SweepInterval
	// shedShare is the share of the budget that is freed at once, so that the choice of
	// connections is not made anew for each request.
	shedShare = 16
	// shortDivisor is the divisor of the budget that gives the free part below which
	// connections with requests sent ahead are closed after an answer.
	shortDivisor = 4
	// never is a time that the clock does not have.
	never = -1
)

// Option changes a default of NewGuard.
type Option func(*Guard)

// WithLimits sets the limits.
func WithLimits(l Limits) Option { return func(g *Guard) { g.limits.Store(&l) } }

// Guard bounds what the connections of a server hold. It is safe for concurrent use.
type Guard struct {
	limits atomic.Pointer[Limits]
	// now is the clock and sweptAt the boot time of the last sweep, which only Sweep uses.
	now     atomic.Int64
	sweptAt time.Duration
	inUse   atomic.Int64
	// closed counts closed and refused connections by reason.
	closed *expvar.Map

	mu    sync.Mutex
	conns map[*Conn]struct{}
	order uint64
	// exhaustedAt is the time of the clock at which no further connection could be closed,
	// and bodiesExhaustedAt that for bodies.
	exhaustedAt, bodiesExhaustedAt int64
}

// NewGuard returns a guard without connections.
func NewGuard(opts ...Option) *Guard {
	g := &Guard{conns: map[*Conn]struct{}{}, closed: new(expvar.Map).Init(), sweptAt: wire.BootTime(), exhaustedAt: never, bodiesExhaustedAt: never}
	g.limits.Store(&Limits{})
	for _, o := range opts {
		o(g)
	}
	return g
}

// SetLimits replaces the limits.
func (g *Guard) SetLimits(l Limits) { g.limits.Store(&l) }

// Closed returns the numbers of connections that were closed or refused, by reason.
func (g *Guard) Closed() *expvar.Map { return g.closed }

// InUse returns the bytes that all connections hold.
func (g *Guard) InUse() int64 { return g.inUse.Load() }

func (g *Guard) count(reason string) { g.closed.Add(reason, 1) }

// Listener returns a listener whose connections the guard bounds.
func (g *Guard) Listener(l net.Listener) net.Listener { return &listener{Listener: l, guard: g} }

type listener struct {
	net.Listener
	guard *Guard
}

// Accept returns the next connection for which there is room. It closes others unread.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn, ok := l.guard.add(c); ok {
			return conn, nil
		}
		l.guard.count("no room")
		_ = c.Close() // it was not used
	}
}

// add adds a connection if the budget allows it.
func (g *Guard) add(c net.Conn) (*Conn, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if limit := g.limits.Load().Conns; limit > 0 && len(g.conns) >= limit {
		g.shed(Need{Conns: 1 + limit/shedShare})
		if len(g.conns) >= limit {
			return nil, false
		}
	}
	if !g.reserveLocked(connBytes) {
		return nil, false
	}
	g.order++
	conn := &Conn{Conn: c, guard: g, order: g.order}
	conn.writeAt.Store(notWriting)
	conn.begin(Opened)
	g.conns[conn] = struct{}{}
	return conn, true
}

// reserve charges bytes to the budget. It closes connections that may be closed if the
// budget is used up, and returns false if that is not enough.
func (g *Guard) reserve(n int64) bool {
	limit := g.limits.Load().Bytes
	if total := g.inUse.Add(n); limit <= 0 || total <= limit {
		return true
	}
	g.inUse.Add(-n)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.reserveLocked(n)
}

func (g *Guard) reserveLocked(n int64) bool {
	limit := g.limits.Load().Bytes
	if limit > 0 && g.inUse.Load()+n > limit {
		g.shed(Need{Bytes: n + limit/shedShare})
		if g.inUse.Load()+n > limit {
			return false
		}
	}
	g.inUse.Add(n)
	return true
}

// ShedBodies closes connections that hold bodies without progress, at least n bytes if there
// are as many. It reports whether it closed any.
func (g *Guard) ShedBodies(n int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.shed(Need{Bytes: int64(n), Bodies: true}) > 0
}

// shed closes connections for others and returns their number. What may be closed depends on
// the clock only, so that a choice that found too little is not repeated before the next
// sweep. The caller holds mu.
func (g *Guard) shed(n Need) int {
	now := g.now.Load()
	limits := g.limits.Load()
	exhaustedAt := &g.exhaustedAt
	if n.Bodies {
		exhaustedAt = &g.bodiesExhaustedAt
	}
	if *exhaustedAt == now && limits.StallTime > 0 {
		return 0
	}
	conns, holdings := make([]*Conn, 0, len(g.conns)), make([]Holding, 0, len(g.conns))
	for c := range g.conns {
		conns, holdings = append(conns, c), append(holdings, c.holding(now))
	}
	closed, freed := 0, int64(0)
	for _, i := range limits.ToClose(holdings, n) {
		if conns[i].closeFrom(holdings[i].Phase, "shed") {
			g.remove(conns[i])
			closed++
			freed += holdings[i].Bytes
		}
	}
	if freed < n.Bytes || closed < n.Conns {
		*exhaustedAt = now
	}
	return closed
}

// isShort reports whether little of the budget is free.
func (g *Guard) isShort() bool {
	limits := g.limits.Load()
	if limits.Bytes > 0 && g.inUse.Load() > limits.Bytes/shortDivisor*(shortDivisor-1) {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return limits.Conns > 0 && len(g.conns) > limits.Conns/shortDivisor*(shortDivisor-1)
}

// remove removes a connection. The caller holds mu.
func (g *Guard) remove(c *Conn) {
	if _, ok := g.conns[c]; ok {
		delete(g.conns, c)
		g.inUse.Add(-connBytes)
	}
}

// Sweep advances the clock and closes the connections that exceed a limit of time.
func (g *Guard) Sweep() {
	boot := wire.BootTime()
	g.now.Add(int64(min(boot-g.sweptAt, maxTick)))
	g.sweptAt = boot
	limits := g.limits.Load()
	g.closeMatching(limits.Exceeded)
}

// closeMatching closes the connections for which a function returns a reason.
func (g *Guard) closeMatching(reasonFor func(Holding) string) {
	now := g.now.Load()
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		h := c.holding(now)
		if reason := reasonFor(h); reason != "" && c.closeFrom(h.Phase, reason) {
			g.remove(c)
		}
	}
}

// CloseWaiting closes connections whose last request was answered, and those that have not
// sent a whole head for longer than a time. It returns the number of the others.
func (g *Guard) CloseWaiting(limit time.Duration) int {
	g.closeMatching(func(h Holding) string {
		if h.Phase == Idle || (h.Phase == Opened || h.Phase == Head) && h.InPhase > limit {
			return "drain"
		}
		return ""
	})
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns)
}

// Track follows the state of a connection; it is the ConnState of the server.
func (g *Guard) Track(c net.Conn, s http.ConnState) {
	conn, ok := c.(*Conn)
	if !ok {
		return
	}
	switch s {
	case http.StateNew, http.StateActive: // Conn tracks these phases itself
	case http.StateIdle:
		conn.release()
		conn.bodyTime.Store(0)
		if conn.begin(Idle) && conn.ahead.Load() && g.isShort() {
			conn.closeFrom(Idle, "ahead") // the next requests were not read
		}
	case http.StateHijacked, http.StateClosed:
		if s == http.StateHijacked {
			conn.begin(Hijacked)
		}
		conn.release()
		g.mu.Lock()
		g.remove(conn)
		g.mu.Unlock()
	}
}

type connKey struct{}

// Context adds the connection to the context of its requests; it is the ConnContext of the
// server.
func (*Guard) Context(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// LimitBody sets the time in which the body of the request with a context has to be received.
func LimitBody(ctx context.Context, d time.Duration) {
	if c, ok := ctx.Value(connKey{}).(*Conn); ok {
		c.bodyTime.Store(int64(max(d, 1)))
	}
}

// ResetOnClose sets whether a close of the connection of a request's context resets it,
// whoever closes it and even if the process is killed. An answer that ends with its connection
// looks complete unless the connection is reset.
func ResetOnClose(ctx context.Context, reset bool) {
	if c, ok := ctx.Value(connKey{}).(*Conn); ok {
		seconds := -1 // the default of the system
		if reset {
			seconds = 0
		}
		_ = c.SetLinger(seconds) // fails only if the connection is closed
	}
}

// Handler returns a handler that serves the requests on connections which the guard has not
// closed. A connection may be closed while the head of its next request is read; the caller
// of that request gets no answer, so it must not run.
func (*Guard) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*Conn); ok {
			if r, ok = c.beginRequest(r); !ok {
				panic(http.ErrAbortHandler)
			}
		}
		h.ServeHTTP(w, r)
	})
}

// beginRequest starts the phase after the head of a request, and returns the request for its
// handler. net/http keeps its own one, as it depends on the type of the body whether it waits
// for a body that was not read.
func (c *Conn) beginRequest(r *http.Request) (*http.Request, bool) {
	if r.ContentLength == 0 {
		return r, c.begin(Received)
	}
	handled := r.WithContext(r.Context())
	handled.Body = &bodyReader{ReadCloser: r.Body, conn: c}
	return handled, c.begin(Body)
}
