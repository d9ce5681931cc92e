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
	// minRelayPause and maxRelayPause bound the time for which a target gets no requests
	// after it was not reached through another host either.
	minRelayPause = 250 * time.Millisecond
	maxRelayPause = 2 * time.Second
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

// relayState is what a host knows of a target that it can reach through other hosts only.
type relayState struct {
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

// WithRelay sets the function that reports whether another host may connect this one to
// targets. It must not call the fleet.
func WithRelay(available func() bool) Option { return func(f *Fleet) { f.relay = available } }

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
		return s.relay.reachedAt != 0 && now-s.relay.reachedAt < cutOffTTL
	})
}

// recentlyIsolated returns the same, as computed within isolationTTL.
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

// relayed reports whether a target that this host itself cannot reach is used through
// another host.
func (f *Fleet) relayed(s *state, now time.Duration) bool {
	return s.connectFailures > 0 && now >= s.relay.retryAt && (s.relay.reportedAt == 0 || now-s.relay.reportedAt >= reportTTL) &&
		f.recentlyIsolated(s.Service, now) && f.relay()
}

// RelayTarget returns the ID of the target at an address if it is used through another
// host now.
func (f *Fleet) RelayTarget(address string) (id string, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	for _, s := range f.targets {
		if s.Address == address && f.relayed(s, now) {
			return s.ID, true
		}
	}
	return "", false
}

// RecordRelay records whether a target was reached through another host.
func (f *Fleet) RecordRelay(id string, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, known := f.targets[id]
	switch {
	case !known:
	case ok:
		s.relay.failures, s.relay.retryAt, s.relay.reachedAt = 0, 0, f.now()
	default:
		s.relay.failures++
		s.relay.retryAt = f.now() + min(minRelayPause<<min(s.relay.failures-1, 3), maxRelayPause)
		f.onChange(Change{Target: *s.Target, Event: "unreachable through other hosts"})
	}
}
