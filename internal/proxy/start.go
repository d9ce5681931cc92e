package proxy

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/opconf"
	"sesamehill.example/sesamehill/internal/wire"
)

const (
	// startTimeout bounds the query for the start of a target on a new connection. A sound
	// target may stop for a second or so and go on.
	startTimeout = maxUnansweredChecks * noDataLimit
	// restartTimeout bounds the same after a failed attempt, as the request waits for it.
	restartTimeout = 250 * time.Millisecond
	// maxStartQueries is the number of connections on which a target that closes each of them
	// after its response is queried for its start.
	maxStartQueries = 2
)

// Starts finds out to which start of a target a connection leads. A target may start again
// under its ID with other software, which its entry shows later.
type Starts interface {
	// StartOf queries the start of the target at the other end of a connection to the address
	// of t. A request may follow on the connection unless the start is Closing or an error is
	// returned.
	StartOf(ctx context.Context, conn net.Conn, t *fleet.Target) (Start, error)
}

// Start is a start of a target.
type Start struct {
	// UnixMs is the time of the start in Unix milliseconds; zero if the target does not state
	// it.
	UnixMs int64
	// Closing is set if the target closes the connection.
	Closing bool
}

// RestartedError says that a connection leads to another start of a target than that of its
// entry.
type RestartedError struct{ ListedMs, FoundMs int64 }

// Error names the starts and the remedy.
func (e *RestartedError) Error() string {
	return fmt.Sprintf("the target started at %d, its entry is of the start at %d; wait for its new entry", e.FoundMs, e.ListedMs)
}

// startedConn is a connection to a known start of a target.
type startedConn struct {
	net.Conn
	// startedAtMs is zero if the target does not state its start.
	startedAtMs int64
}

// leadsTo reports whether the connection may lead to a start of a target. Those that do not
// state it are taken for the listed ones.
func (c *startedConn) leadsTo(listedMs int64) bool {
	return c.startedAtMs == 0 || listedMs == 0 || c.startedAtMs == listedMs
}

// listedTargetKey is the key of a listedTarget in a context, which reaches dialStart through
// net/http.
type listedTargetKey struct{}

// listedTarget is a target whose start matters, and whether it states that.
type listedTarget struct {
	*fleet.Target
	statesStart bool
}

// withListedStart returns the context of an attempt whose connection has to lead to the listed
// start of its target.
func withListedStart(ctx context.Context, j *job, c reservation) context.Context {
	ctx = context.WithValue(ctx, listedTargetKey{}, listedTarget{Target: c.Target, statesStart: j.statesStart()})
	return wire.WithConnCheck(ctx, func(conn net.Conn) bool {
		s, ok := conn.(*startedConn)
		return !ok || s.leadsTo(c.StartedAtMs)
	})
}

// statesStart reports whether the target of a request states its start: only engines do. Other
// targets take the query for a request, which waits for a slot or is refused.
func (j *job) statesStart() bool { return j.service.Engine != nil }

// checksStart reports whether it matters at which start of its target a request runs: a stream
// may go on only at the software version that began it.
func (j *job) checksStart() bool { return j.route.Kind == opconf.Streaming && j.route.Resumable }

// dialStart connects to a target and checks that it is the listed start. The check is made on
// the connection that will carry requests, so that no other start can answer them.
func (p *Proxy) dialStart(ctx context.Context, network, address string) (net.Conn, error) {
	t, ok := ctx.Value(listedTargetKey{}).(listedTarget)
	if !ok {
		return p.paths.DialContext(ctx, network, address)
	}
	if !t.statesStart {
		return p.dialLinked(ctx, network, t.Target)
	}
	for range maxStartQueries {
		conn, err := p.paths.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c, closing, err := p.identify(ctx, conn, t.Target)
		if err == nil && !closing {
			return c, nil
		}
		_ = conn.Close() // no request was sent on it
		if err != nil {
			return nil, err
		}
	}
	conn, err := p.paths.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &startedConn{Conn: conn}, nil
}

// identify queries the start of the target at the other end of a connection. It returns a
// *RestartedError if that is not the listed one.
func (p *Proxy) identify(ctx context.Context, conn net.Conn, t *fleet.Target) (c *startedConn, closing bool, err error) {
	p.Metrics.Count("start query")
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	start, err := p.starts.StartOf(ctx, conn, t)
	if err != nil {
		return nil, false, err
	}
	c = &startedConn{Conn: conn, startedAtMs: start.UnixMs}
	if !c.leadsTo(t.StartedAtMs) {
		return nil, false, &RestartedError{ListedMs: t.StartedAtMs, FoundMs: start.UnixMs}
	}
	return c, start.Closing, nil
}

// handleRestart records a start that is newer than the listed one. The request may go to it like
// to any other target of which only the start is known, but not to a second such start of a target:
// one that states another start each time would be queried without end. An older start is about to
// end, unless its entry came later.
func (p *Proxy) handleRestart(j *job, c reservation, e *RestartedError) attemptResult {
	p.Metrics.Count("restart found")
	p.fleet.RecordStart(c.ID, e.FoundMs)
	again := e.FoundMs > e.ListedMs && !j.renewed[c.ID]
	j.renewed[c.ID] = true
	return retryable{reason: e.Error(), sameTarget: again}
}

// checkStart finds out on a connection of its own whether a target still is the listed start, and
// records a newer one. It returns a *RestartedError if it is another start.
func (p *Proxy) checkStart(ctx context.Context, j *job, c reservation) error {
	conn, err := p.paths.DialContext(ctx, "tcp", c.Address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }() // no request was sent on it
	_, _, err = p.identify(ctx, conn, c.Target)
	var restarted *RestartedError
	if errors.As(err, &restarted) {
		p.handleRestart(j, c, restarted)
	}
	return err
}

// restarted finds out whether a target has started again since an attempt was sent to the start
// of its entry. An attempt that was sent when the entry was out of date already may have run at
// the later start.
func (p *Proxy) restarted(ctx context.Context, j *job, c reservation) bool {
	if !j.statesStart() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, restartTimeout)
	defer cancel()
	var restarted *RestartedError
	return errors.As(p.checkStart(ctx, j, c), &restarted) && restarted.FoundMs > restarted.ListedMs
}

// unstatedStarts is a Starts for targets that do not state their start.
type unstatedStarts struct{}

func (unstatedStarts) StartOf(context.Context, net.Conn, *fleet.Target) (Start, error) {
	return Start{}, nil
}
