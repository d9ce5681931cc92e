package server

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/homes"
	"sesamehill.example/sesamehill/internal/proxy"
	"sesamehill.example/sesamehill/internal/tunnel"
	"sesamehill.example/sesamehill/internal/wire"
)

const (
	// maxTunnelTries is the number of hosts at which a tunnel to a target is tried.
	maxTunnelTries = 3
	// tunnelTimeout bounds one try. It covers a new connection between regions and one
	// from there to the target, which is dialed for tunnelDialTimeout at most.
	tunnelTimeout     = 350 * time.Millisecond
	tunnelDialTimeout = 250 * time.Millisecond
	// availableTTL is how long it is known whether a host may be asked for tunnels.
	availableTTL = 20 * time.Millisecond
	// maxCutOffTries is the number of targets to which a tunnel is tried to find out
	// whether this host is cut off.
	maxCutOffTries = 2
	// maxRelaySets bounds the sets of allowed regions for which hosts are remembered.
	maxRelaySets = 64
	// hostPause is the time for which a host is not asked for tunnels after it opened none.
	hostPause = time.Second
)

// errNoTunnel says that no other host connects this one to a target.
var errNoTunnel = errors.New("no other host connects this one to the target; send the request to another target")

// pathFinder connects to targets, through another host while this one has no path of its
// own.
type pathFinder struct {
	host   *Host
	direct *wire.TCPDialer
	// availableAt is the boot time at which it was found out whether a host may be asked for
	// tunnels, which is hasHost.
	availableAt atomic.Int64
	hasHost     atomic.Bool
	// tunneled is set while kept connections may lead through other hosts.
	tunneled atomic.Bool

	mu sync.Mutex
	// pausedUntil is the boot time until which a host is not asked for tunnels, by name.
	pausedUntil map[string]time.Duration
	// relays holds whether allowed regions have a host that may be queried for tunnels, by the
	// key of the regions.
	relays map[string]relayHosts
}

// relayHosts says whether allowed regions have a host that may be queried for tunnels, as found
// at a boot time.
type relayHosts struct {
	hasHost bool
	foundAt time.Duration
}

func newPathFinder(h *Host) *pathFinder {
	return &pathFinder{host: h, direct: wire.Dialer(), pausedUntil: map[string]time.Duration{}, relays: map[string]relayHosts{}}
}

// DialContext connects to the target at an address.
func (p *pathFinder) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	target, tunneled := p.host.fleet.TunnelTarget(address)
	if !tunneled {
		return p.dialDirect(ctx, network, address)
	}
	return p.dialThrough(ctx, target)
}

// dialDirect connects without another host, and records the time as a round trip.
func (p *pathFinder) dialDirect(ctx context.Context, network, address string) (net.Conn, error) {
	started := wire.BootTime()
	conn, err := p.direct.DialContext(ctx, network, address)
	if err == nil && p.host.currentSettings().Away != nil {
		p.host.recordTrip(p.host.fleet.ZoneAt(address), started)
	}
	return conn, err
}

// Reach finds out whether a target accepts connections.
func (p *pathFinder) Reach(ctx context.Context, service, target, address string) proxy.Reach {
	direct := proxy.ReachOf(wire.CheckReachable(ctx, p.direct, address))
	if direct == proxy.Reachable || !p.host.fleet.Isolated(service) {
		return direct
	}
	conn, err := p.dialThrough(ctx, target)
	var refused *tunnel.RefusedError
	switch {
	case err == nil:
		_ = conn.Close() // an unused connection
		return proxy.Reachable
	case errors.As(err, &refused) && refused.TargetUnreachable():
		return proxy.Unreachable
	}
	return proxy.ReachUnknown
}

// cutOff finds out whether this host is cut off from targets of a service that other hosts
// reach. A host without requests to these has to try.
func (p *pathFinder) cutOff(ctx context.Context, service string) bool {
	if !p.host.fleet.Isolated(service) {
		return false
	}
	targets := p.host.fleet.Serving(service)
	for _, i := range rand.Perm(len(targets))[:min(maxCutOffTries, len(targets))] {
		if p.host.fleet.CutOff(service) {
			return true
		}
		if conn, err := p.dialThrough(ctx, targets[i].ID); err == nil {
			_ = conn.Close() // an unused connection
		}
	}
	return p.host.fleet.CutOff(service)
}

// dialThrough connects to a target through another host.
func (p *pathFinder) dialThrough(ctx context.Context, target string) (net.Conn, error) {
	err := errNoTunnel
	unreachable := 0
	for _, h := range p.candidates(target, homes.FromContext(ctx)) {
		var conn net.Conn
		if conn, err = p.tryHost(ctx, h.Peer, target); err == nil {
			p.tunneled.Store(true)
			p.host.fleet.RecordTunnel(target, true)
			p.host.proxy.Metrics.Count("tunnel")
			return relayedConn{Conn: conn, region: p.host.currentSettings().regionOf(h.Zone)}, nil
		}
		if ctx.Err() != nil {
			return nil, err // the request has ended, which says nothing about the host
		}
		p.host.proxy.Metrics.Count("tunnel refused")
		var refused *tunnel.RefusedError
		if errors.As(err, &refused) && refused.TargetUnreachable() {
			if unreachable++; unreachable > 1 {
				break
			}
			continue
		}
		p.pause(h.Host, err)
	}
	if unreachable > 0 {
		p.host.fleet.RecordTunnel(target, false)
	}
	return nil, err
}

// tryHost opens a tunnel at a host.
func (p *pathFinder) tryHost(ctx context.Context, peer, target string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, tunnelTimeout)
	defer cancel()
	return tunnel.Dial(ctx, p.direct.DialContext, peer, target)
}

// pause stops asking a host for tunnels for a while.
func (p *pathFinder) pause(host string, cause error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := wire.BootTime()
	if p.pausedUntil[host] < now {
		p.host.log.Info("another host opened no tunnel", zap.String("peer", host), zap.Error(cause))
	}
	p.pausedUntil[host] = now + hostPause
}

// restored drops the kept connections through other hosts, as this host has a path of its
// own again.
func (p *pathFinder) restored() {
	if p.tunneled.CompareAndSwap(true, false) {
		p.host.proxy.CloseIdleConnections()
	}
}

// available reports whether a host may be asked for tunnels.
func (p *pathFinder) available() bool {
	now := wire.BootTime()
	if now-time.Duration(p.availableAt.Load()) >= availableTTL {
		p.hasHost.Store(len(p.unpaused()) > 0)
		p.availableAt.Store(int64(now))
	}
	return p.hasHost.Load()
}

// candidates returns the hosts in the allowed regions to query for a tunnel to a target: near
// ones first, as links between regions are narrow, and among these in an order that spreads
// targets over them.
func (p *pathFinder) candidates(target string, allowed homes.Regions) []observedRow {
	hosts := p.unpausedIn(allowed)
	settings := p.host.currentSettings()
	sortByRendezvous(hosts, target)
	slices.SortStableFunc(hosts, func(a, b observedRow) int {
		return cmp.Compare(settings.distance(a.Zone), settings.distance(b.Zone))
	})
	return hosts[:min(maxTunnelTries, len(hosts))]
}

// unpaused returns the hosts that may be queried for tunnels.
func (p *pathFinder) unpaused() []observedRow {
	hosts := p.host.members.others()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := wire.BootTime()
	return slices.DeleteFunc(hosts, func(h observedRow) bool { return now < p.pausedUntil[h.Host] })
}

// unpausedIn returns those of the unpaused hosts that are in the allowed regions.
func (p *pathFinder) unpausedIn(allowed homes.Regions) []observedRow {
	settings := p.host.currentSettings()
	return slices.DeleteFunc(p.unpaused(), func(h observedRow) bool { return !allowed.Allows(settings.regionOf(h.Zone)) })
}

// CanRelay reports whether a host in the allowed regions may be queried for tunnels.
func (p *pathFinder) CanRelay(allowed homes.Regions) bool {
	if !allowed.Restricted {
		return p.available()
	}
	now, key := wire.BootTime(), allowed.Key()
	p.mu.Lock()
	cached, ok := p.relays[key]
	p.mu.Unlock()
	if ok && now-cached.foundAt < availableTTL {
		return cached.hasHost
	}
	hasHost := len(p.unpausedIn(allowed)) > 0
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.relays) >= maxRelaySets {
		clear(p.relays)
	}
	p.relays[key] = relayHosts{hasHost: hasHost, foundAt: now}
	return hasHost
}

// relayedConn is a connection through another host.
type relayedConn struct {
	net.Conn
	region string
}

// RelayRegion returns the region of the other host.
func (c relayedConn) RelayRegion() string { return c.region }

var _ proxy.RelayedConn = relayedConn{}

// connect connects to a target for another host. It goes through no third host.
func (p *pathFinder) connect(ctx context.Context, host, target string) (net.Conn, error) {
	if p.host.draining.Load() {
		return nil, &tunnel.ConnectError{Status: http.StatusServiceUnavailable, Problem: "the host stops"}
	}
	if !p.host.members.isHost(host) {
		return nil, &tunnel.ConnectError{Status: http.StatusForbidden, Problem: "no host has this address"}
	}
	t, ok := p.host.fleet.Get(target)
	switch {
	case !ok || t.Leaving:
		return nil, &tunnel.ConnectError{Status: http.StatusBadGateway, Problem: "the target is not listed or leaves"}
	case p.host.evacuated(t.Zone):
		return nil, &tunnel.ConnectError{Status: http.StatusBadGateway, Problem: "the zone of the target is evacuated"}
	case t.Tunneled || p.host.fleet.Isolated(t.Service):
		return nil, &tunnel.ConnectError{Status: http.StatusServiceUnavailable, Problem: "the host itself has no path to the targets"}
	case t.Down:
		return nil, &tunnel.ConnectError{Status: http.StatusBadGateway, Problem: "the target cannot be reached"}
	}
	ctx, cancel := context.WithTimeout(ctx, tunnelDialTimeout)
	defer cancel()
	conn, err := p.direct.DialContext(ctx, "tcp", t.Address)
	if err != nil {
		return nil, &tunnel.ConnectError{Status: http.StatusBadGateway, Problem: err.Error()}
	}
	return conn, nil
}

// others returns the other hosts that may be alive.
func (m *members) others() []observedRow {
	m.mu.Lock()
	defer m.mu.Unlock()
	var others []observedRow
	for _, hosts := range m.currentView().rankedByRegion {
		for _, h := range hosts {
			if h.Host != m.host.currentSettings().Name && h.Peer != "" {
				others = append(others, h)
			}
		}
	}
	return others
}

// isHost reports whether a host that may be alive has an IP address.
func (m *members) isHost(address string) bool {
	return slices.ContainsFunc(m.others(), func(h observedRow) bool {
		peer, err := netip.ParseAddrPort(h.Peer)
		return err == nil && peer.Addr().String() == address
	})
}
