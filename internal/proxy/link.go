package proxy

import (
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"time"

	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/wire"
)

const (
	// evidencePollInterval is the time after which a stream that waits for evidence of the start
	// of a target is placed again.
	evidencePollInterval = 100 * time.Millisecond
	// maxListAge is the age of the list of targets from which it may lack the entries of present
	// starts, and new streams do not wait for what it shows.
	maxListAge = fleet.LateEntryTime
	// linkUse is how long after a stream idle connections to the targets of its service are kept
	// open.
	linkUse = time.Minute
)

// linkedConn is a connection to a target that does not state its start.
type linkedConn struct {
	net.Conn
	end func(closed bool)
}

// Read reads from the connection and records its end.
func (c *linkedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.end(errors.Is(err, net.ErrClosed))
	}
	return n, err
}

// Close closes the connection.
func (c *linkedConn) Close() error {
	c.end(true)
	return c.Conn.Close()
}

// dialLinked connects to a target that does not state its start, and records the connection as
// evidence of it.
func (p *Proxy) dialLinked(ctx context.Context, network string, t *fleet.Target) (net.Conn, error) {
	dialedAt := wire.BootTime()
	conn, err := p.paths.DialContext(ctx, network, t.Address)
	if err != nil {
		return nil, err
	}
	return &linkedConn{Conn: conn, end: p.fleet.OpenLink(t.ID, dialedAt)}, nil
}

// checkEvidence finds out whether a stream may run at a target that does not state its start: one
// that goes on needs evidence that the target is the start of its entry, and a new one goes to no
// target that may have started again, unless the list of targets cannot be read.
func (p *Proxy) checkEvidence(j *job, target string, goesOn bool) targetCheck {
	if !j.checksStart() || j.statesStart() {
		return nil
	}
	p.linkUses.Store(j.service.Name, wire.BootTime())
	evidence := p.fleet.StartEvidence(target)
	if evidence == fleet.StartConfirmed || !goesOn && (evidence == fleet.StartAssumed || p.fleet.ListAge() > maxListAge) {
		return nil
	}
	return limited{evidencePollInterval}
}

// evidenceLost reports whether a target may have started again, so that its answer may be of another
// software version than its entry says: connections have broken since the attempt was placed, or
// the list is old and no connection was open.
func (p *Proxy) evidenceLost(j *job, c reservation) bool {
	if !j.checksStart() || j.statesStart() {
		return false
	}
	lost := p.inDoubt(c.ID) || j.binding.bound && p.fleet.StartEvidence(c.ID) != fleet.StartConfirmed
	if lost {
		p.Metrics.Count("start doubted")
		j.log.Info(
			"target may have started again", zap.String("target", c.ID), zap.String("software", c.Software), zap.Int64("born", c.StartedAtMs),
			zap.Bool("goeson", j.binding.bound), zap.Int64("listage", p.fleet.ListAge().Milliseconds()),
		)
	}
	return lost
}

// inDoubt reports whether a target that does not state its start may have started again since its
// entry was read.
func (p *Proxy) inDoubt(target string) bool {
	switch p.fleet.StartEvidence(target) {
	case fleet.StartDoubted:
		return true
	case fleet.StartAssumed:
		return p.fleet.ListAge() > maxListAge
	}
	return false
}

// preferCertain returns the targets at which a new stream begins at the software version of their
// entries; all targets if there is none.
func (p *Proxy) preferCertain(j *job, targets []fleet.Status) []fleet.Status {
	if !j.checksStart() || j.statesStart() || j.binding.bound {
		return targets
	}
	certain := slices.DeleteFunc(slices.Clone(targets), func(s fleet.Status) bool { return p.inDoubt(s.ID) })
	if len(certain) == 0 {
		return targets
	}
	return certain
}

// LinkedServices returns the services whose targets do not state their start, and that had
// streams lately.
func (p *Proxy) LinkedServices() []string {
	var services []string
	p.linkUses.Range(func(name, at any) bool {
		if wire.BootTime()-at.(time.Duration) < linkUse {
			services = append(services, name.(string))
		} else {
			p.linkUses.Delete(name)
		}
		return true
	})
	return services
}
