package proxy

import (
	"context"
	"errors"
	"net"
	"net/http"

	"sesamehill.example/sesamehill/internal/homes"
	"sesamehill.example/sesamehill/internal/wire"
)

// Reach says whether a target accepts connections.
type Reach int

// Values of Reach.
const (
	Reachable Reach = iota
	// Unreachable means that the target refuses connections.
	Unreachable
	// Unresponsive means that the target does not answer. It may be sound and go on soon.
	Unresponsive
	// ReachUnknown means that this host is cut off from the targets, and that no other host
	// has tried.
	ReachUnknown
)

// Paths connects to targets.
type Paths interface {
	// DialContext connects to the target at an address.
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
	// Reach finds out whether a target of a service accepts connections.
	Reach(ctx context.Context, service, target, address string) Reach
	// CanRelay reports whether a host in one of the allowed regions may be queried to
	// connect this one to targets.
	CanRelay(allowed homes.Regions) bool
}

// CloseIdleConnections closes the connections to targets that no request uses.
func (p *Proxy) CloseIdleConnections() {
	for _, transport := range []http.RoundTripper{p.pooledTransport, p.streamTransport} {
		if t, ok := transport.(interface{ CloseIdleConnections() }); ok {
			t.CloseIdleConnections()
		}
	}
}

// directPaths connects to targets directly.
type directPaths struct{ *wire.TCPDialer }

// Reach finds out whether a target accepts connections.
func (d directPaths) Reach(ctx context.Context, _, _, address string) Reach {
	return ReachOf(wire.CheckReachable(ctx, d.TCPDialer, address))
}

// CanRelay reports that no other host connects this one to targets.
func (directPaths) CanRelay(homes.Regions) bool { return false }

// ReachOf returns what the result of a connection to a target says.
func ReachOf(err error) Reach {
	var timeout net.Error
	switch {
	case err == nil:
		return Reachable
	case errors.As(err, &timeout) && timeout.Timeout():
		return Unresponsive
	}
	return Unreachable
}
