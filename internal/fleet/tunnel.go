package fleet

import (
	"slices"
	"time"
)

const (
	// isolationShare is the share of the targets of a service above which a host that
	// cannot connect to them is more likely cut off itself, and tries other hosts.
	isolationShare = 0.5
	// reportTTL is how long the report of another host counts that a target is
	// unreachable.
	reportTTL = 1500 * time.Millisecond
	// cutOffTTL is how long a connection through another host shows that targets run from
	// which this host is cut off.
	cutOffTTL = 3 * time.Second
	// isolationTTL is how long a computed isolation is used.
	isolationTTL = 20 * time.Millisecond
)

// isolation says whether this host is cut off from most targets of a service.
type isolation struct {
	value      bool
	computedAt time.Duration
}

// tunnelState is the state of a target that this host reaches through other hosts only.
type tunnelState struct {
	// failures counts the failed connections through other hosts in a row. No further one
	// is tried until retryAt.
	failures int
	retryAt  time.Duration
	// reachedAt is the time of the last connection through another host.
	reachedAt time.Duration
	// reportedAt is the time of the last report of another host that it cannot reach the
	// target.
	reportedAt time.Duration
}

// WithTunnels sets the function that reports whether another host may connect this one to
// targets. It must not call the fleet.
func WithTunnels(available func() bool) Option { return func(f *Fleet) { f.canTunnel = available } }

// Isolated reports whether this host itself cannot connect to most targets of a service.
func (f *Fleet) Isolated(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return isolated(f.services[service])
}

// CutOff reports whether this host cannot connect to most targets of a service, while
// another host can.
func (f *Fleet) CutOff(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	targets, now := f.services[service], f.now()
	return isolated(targets) && slices.ContainsFunc(targets, func(s *state) bool {
		return s.tunnel.reachedAt != 0 && now-s.tunnel.reachedAt < cutOffTTL
	})
}

// recentlyIsolated reports whether this host cannot connect to most targets of a service,
// as computed within isolationTTL.
func (f *Fleet) recentlyIsolated(service string, now time.Duration) bool {
	i, ok := f.isolation[service]
	if !ok || now-i.computedAt >= isolationTTL {
		i = isolation{value: isolated(f.services[service]), computedAt: now}
		f.isolation[service] = i
	}
	return i.value
}

// isolated reports whether the last connections to most targets failed.
func isolated(targets []*state) bool {
	failed, listed := 0, 0
	for _, s := range targets {
		if s.Leaving {
			continue
		}
		listed++
		if s.connectFailures > 0 {
			failed++
		}
	}
	return failed > 0 && float64(failed) > isolationShare*float64(listed)
}

// tunneled reports whether a target that this host itself cannot reach is used through
// another host.
func (f *Fleet) tunneled(s *state, now time.Duration) bool {
	return s.connectFailures > 0 && now >= s.tunnel.retryAt && (s.tunnel.reportedAt == 0 || now-s.tunnel.reportedAt >= reportTTL) &&
		f.recentlyIsolated(s.Service, now) && f.canTunnel()
}

// TunnelTarget returns the ID of the target at an address if it is used through another
// host now.
func (f *Fleet) TunnelTarget(address string) (id string, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	for _, s := range f.targets {
		if s.Address == address && f.tunneled(s, now) {
			return s.ID, true
		}
	}
	return "", false
}

// ZoneAt returns the zone of the target at an address; empty if there is none.
func (f *Fleet) ZoneAt(address string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.targets {
		if s.Address == address {
			return s.Zone
		}
	}
	return ""
}

// RecordTunnel records whether a target was reached through another host.
func (f *Fleet) RecordTunnel(id string, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, known := f.targets[id]
	switch {
	case !known:
	case ok:
		s.tunnel.failures, s.tunnel.retryAt, s.tunnel.reachedAt = 0, 0, f.now()
	default:
		s.tunnel.failures++
		s.tunnel.retryAt = f.now() + downTime(s.tunnel.failures)
		f.onChange(Change{Target: *s.Target, Event: "unreachable through other hosts"})
	}
}
