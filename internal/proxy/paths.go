package proxy

import (
	"context"
	"net"

	"sesamehill.example/sesamehill/internal/wire"
)

// Reach says whether a target accepts connections.
type Reach int

// Values of Reach.
const (
	Reachable Reach = iota
	Unreachable
	// ReachUnknown means that this host is cut off from the targets, and that no other one
	// tells.
	ReachUnknown
)

// Paths connects to targets.
type Paths interface {
	// DialContext connects to the target at an address.
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
	// Reach finds out whether a target of a service accepts connections.
	Reach(ctx context.Context, service, target, address string) Reach
}

// directPaths connects to targets directly.
type directPaths struct{ *net.Dialer }

// Reach finds out whether a target accepts connections.
func (d directPaths) Reach(ctx context.Context, _, _, address string) Reach {
	if wire.CheckReachable(ctx, d.Dialer, address) != nil && ctx.Err() == nil {
		return Unreachable
	}
	return Reachable
}
