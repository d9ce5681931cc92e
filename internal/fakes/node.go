package fakes

import (
	"bytes"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"

	"sesamehill.example/sesamehill/internal/calls"
	"sesamehill.example/sesamehill/internal/pause"
)

const (
	// maxBodyBytes is enough for a prompt of 1 million tokens in JSON.
	maxBodyBytes = 16 << 20
	// startTimeout limits the wait for a server to accept connections.
	startTimeout = 5 * time.Second
	// maxRefusalBytes bounds the part of a reply that is kept to be written once more.
	maxRefusalBytes = 4 << 10
)

var errNotStarted = errors.New("HTTP server did not start in time; choose a free address")

// node is the part that all fakes share: an HTTP server and injected faults.
type node struct {
	Faults
	name           string
	registerRoutes func(*server.Hertz)

	serverMu sync.Mutex
	hertz    *server.Hertz
	listener net.Listener
	address  string
	conns    map[net.Conn]struct{}
}

func newNode(name string, routes func(*server.Hertz)) node {
	return node{name: name, registerRoutes: routes, conns: make(map[net.Conn]struct{})}
}

// Address returns host and port of the server, or the name if Serve was not called.
func (n *node) Address() string {
	n.serverMu.Lock()
	defer n.serverMu.Unlock()
	if n.address == "" {
		return n.name
	}
	return n.address
}

// Close stops the server, breaks its connections and ends a pause. The state of the
// fake remains.
func (n *node) Close() {
	n.stop()
	n.Continue()
}

// Connections returns the number of open connections to the server.
func (n *node) Connections() int {
	n.serverMu.Lock()
	defer n.serverMu.Unlock()
	return len(n.conns)
}

// Down makes the fake unreachable without loss of state: it refuses new connections
// and breaks the open ones.
func (n *node) Down() {
	n.setDown(true)
	n.stop()
}

// Name returns the name that the fake was created with.
func (n *node) Name() string { return n.name }

// Serve starts an HTTP server in the background; port 0 picks a free port.
func (n *node) Serve(address string) error {
	calls.SilenceHertz()
	n.serverMu.Lock()
	defer n.serverMu.Unlock()
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	n.listener = &listener{Listener: ln, node: n}
	// hertz's detection of disconnected clients stays off: on the standard transport
	// it races with the release of a connection whose reply could not be written.
	h := server.New(
		server.WithListener(n.listener),
		server.WithTransport(standard.NewTransporter),
		server.WithMaxRequestBodySize(maxBodyBytes),
		server.WithDisablePrintRoute(true),
		server.WithUseRawPath(true),
		server.WithExitWaitTime(0),
	)
	n.registerRoutes(h)
	go func() { _ = h.Run() }()
	for start := time.Now(); !h.IsRunning(); time.Sleep(time.Millisecond) {
		if time.Since(start) > startTimeout {
			_ = ln.Close()
			return errNotStarted
		}
	}
	n.hertz, n.address = h, ln.Addr().String()
	return nil
}

// Up ends Down. A fake whose server was started listens on the same address again.
func (n *node) Up() error {
	n.setDown(false)
	n.serverMu.Lock()
	address, running := n.address, n.hertz != nil
	n.serverMu.Unlock()
	if address == "" || running {
		return nil
	}
	return n.Serve(address)
}

// stop closes the server, its listener and all open connections.
func (n *node) stop() {
	n.serverMu.Lock()
	h, ln, conns := n.hertz, n.listener, n.conns
	n.hertz, n.listener, n.conns = nil, nil, make(map[net.Conn]struct{})
	n.serverMu.Unlock()
	if h == nil {
		return
	}
	_ = ln.Close()
	for c := range conns {
		_ = c.Close()
	}
	// Close waits at most 10 ms for the connections to end.
	_ = h.Close()
}

// listener records the open connections, so that a fault can break them.
type listener struct {
	net.Listener
	node *node
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := &conn{Conn: c, node: l.node}
	l.node.serverMu.Lock()
	defer l.node.serverMu.Unlock()
	if l.node.listener != l {
		_ = c.Close()
		return nil, net.ErrClosed
	}
	l.node.conns[tracked] = struct{}{}
	return tracked, nil
}

// conn is a connection that listener records.
type conn struct {
	net.Conn
	node *node

	mu sync.Mutex
	// reply holds the bytes that were written since the last read.
	reply []byte
	// replied is set once bytes were written since the last read.
	replied bool
}

// Read reads from the connection.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.mu.Lock()
		c.replied = false
		c.mu.Unlock()
	}
	return n, err
}

// Write writes a part of a reply. If the fault is set and the reply before it on this
// connection was a refusal, it first writes that refusal once more.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.replied {
		if earlier := c.reply; c.node.repeatsRefusals() && isRefusal(earlier) {
			if _, err := c.Conn.Write(earlier); err != nil {
				return 0, err
			}
		}
		c.reply, c.replied = nil, true
	}
	if len(c.reply) < maxRefusalBytes {
		c.reply = append(c.reply, b...)
	}
	return c.Conn.Write(b)
}

// isRefusal reports whether a reply has a status of 400 or above.
func isRefusal(reply []byte) bool {
	return bytes.HasPrefix(reply, []byte("HTTP/1.1 4")) || bytes.HasPrefix(reply, []byte("HTTP/1.1 5"))
}

// Close closes the connection and removes it from the record of open connections.
func (c *conn) Close() error {
	c.node.serverMu.Lock()
	delete(c.node.conns, c)
	c.node.serverMu.Unlock()
	return c.Conn.Close()
}

var errDown = errors.New("connection refused")

// Faults injects the faults that all fakes support.
type Faults struct {
	mu   sync.Mutex
	down bool
	// connectionsBroken is closed when connections break.
	connectionsBroken chan struct{}
	// paused is closed when a pause ends; it is nil while the fake isn't paused.
	paused chan struct{}
	delay  time.Duration
	// repliesToLose counts the replies to drop by operation.
	repliesToLose map[string]int
	// repeatRefusals makes a fake write each refusal once more.
	repeatRefusals bool
}

// Continue ends Pause.
func (f *Faults) Continue() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.paused != nil {
		close(f.paused)
		f.paused = nil
	}
}

// LoseReplies drops the replies to the next n requests of an operation after they
// took effect; a negative n drops all until a call with 0. An operation has the
// name of the interface method in lower case; begin, write, seal and fetch are the
// transfers of engines from and to a store.
func (f *Faults) LoseReplies(operation string, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.repliesToLose == nil {
		f.repliesToLose = make(map[string]int)
	}
	f.repliesToLose[operation] = n
}

// Pause suspends the fake: it accepts requests and holds them until Continue.
func (f *Faults) Pause() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.paused == nil {
		f.paused = make(chan struct{})
	}
}

// RepeatRefusals makes the fake write each refusal once more on its connection, before
// the next reply.
func (f *Faults) RepeatRefusals(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.repeatRefusals = on
}

func (f *Faults) repeatsRefusals() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.repeatRefusals
}

// Slow delays each request by d.
func (f *Faults) Slow(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
}

// beforeRequest applies the faults that act before a request takes effect.
func (f *Faults) beforeRequest(ctx context.Context) error {
	if _, err := f.waitWhilePaused(ctx); err != nil {
		return err
	}
	f.mu.Lock()
	delay, down := f.delay, f.down
	f.mu.Unlock()
	if down {
		return errDown
	}
	if delay <= 0 {
		return ctx.Err()
	}
	return pause.For(ctx, delay)
}

// loseReply reports whether to drop the reply to a request that took effect.
func (f *Faults) loseReply(operation string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return true
	}
	n := f.repliesToLose[operation]
	if n > 0 {
		f.repliesToLose[operation] = n - 1
	}
	return n != 0
}

// breakSignal returns a channel that is closed when connections break.
func (f *Faults) breakSignal() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.connectionsBroken == nil {
		f.connectionsBroken = make(chan struct{})
	}
	return f.connectionsBroken
}

func (f *Faults) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
	if down && f.connectionsBroken != nil {
		close(f.connectionsBroken)
		f.connectionsBroken = nil
	}
}

// waitWhilePaused waits for the end of a pause and reports whether the fake was
// paused.
func (f *Faults) waitWhilePaused(ctx context.Context) (bool, error) {
	f.mu.Lock()
	paused := f.paused
	f.mu.Unlock()
	if paused == nil {
		return false, nil
	}
	select {
	case <-paused:
		return true, nil
	case <-ctx.Done():
		return true, ctx.Err()
	}
}
