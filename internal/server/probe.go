package server

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/pause"
	"sesamehill.example/sesamehill/internal/safego"
	"sesamehill.example/sesamehill/internal/wire"
)

const (
	// probeInterval is the time between two checks for targets that are due for a
	// probe, while there are unreachable targets.
	probeInterval = 50 * time.Millisecond
	// maxProbes is the largest number of concurrent probes.
	maxProbes = 32
	// healthTimeout bounds the health check of a target that may have become cold.
	healthTimeout = 300 * time.Millisecond
	// startTimeout bounds the query for the start of a target that was leaving.
	startTimeout = 300 * time.Millisecond
)

// probeTargets connects to targets that are marked unreachable, until ctx is
// cancelled. Requests are sent to a target again once it accepts a connection.
func (h *Host) probeTargets(ctx context.Context) error {
	dialer := wire.Dialer()
	var probes errgroup.Group
	probes.SetLimit(maxProbes)
	for h.awaitUnreachable(ctx) {
		for _, t := range h.fleet.DueProbes() {
			probes.Go(func() error {
				if !safego.Do(h.log, "probe", func() { h.recordProbe(ctx, t, wire.CheckReachable(ctx, dialer, t.Address)) }) {
					h.fleet.RecordProbe(t, false) // due for another probe
				}
				return nil
			})
		}
	}
	return probes.Wait()
}

// awaitUnreachable waits for probeInterval, and then until a target is marked
// unreachable. It returns false if ctx is cancelled.
func (h *Host) awaitUnreachable(ctx context.Context) bool {
	if pause.For(ctx, probeInterval) != nil {
		return false
	}
	for !h.fleet.ProbesPending() {
		select {
		case <-h.fleetChanged:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// recordProbe records the result of a probe and retries waiting requests if the target
// is reachable.
func (h *Host) recordProbe(ctx context.Context, t fleet.Target, err error) {
	if ctx.Err() != nil {
		return
	}
	h.proxy.Metrics.Count("probe")
	if err == nil && h.fleet.CanBeCold(t.Service) {
		h.recordColdness(ctx, t)
	}
	h.fleet.RecordProbe(t, err == nil)
	if err == nil && t.Leaving {
		h.recordStart(ctx, t)
	}
	if err == nil {
		h.paths.restored()
		h.proxy.DispatchSoon()
	}
}

// recordStart queries whether a target that was leaving has started again. Nothing is sent to
// it otherwise, so that no request would find that out before its entry shows it.
func (h *Host) recordStart(ctx context.Context, t fleet.Target) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	conn, err := wire.Dialer().DialContext(ctx, "tcp", t.Address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }() // no request follows on it
	start, err := h.platform.TargetClient().StartOf(ctx, conn, &t)
	if err == nil {
		h.fleet.RecordStart(t.ID, start.UnixMs)
	}
}

// recordColdness queries whether a target that can be reached again is cold. It is taken for
// cold if it does not say: it may have started again before its entry shows that.
func (h *Host) recordColdness(ctx context.Context, t fleet.Target) {
	service, ok := h.proxy.Config().Service(t.Service)
	if !ok || service.HealthPath == "" {
		h.fleet.AssumeCold(t.ID)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	h.proxy.Metrics.Count("health check")
	left, err := h.platform.TargetClient().ColdFor(ctx, t.ID, t.Address, service.HealthPath)
	if err != nil {
		h.fleet.AssumeCold(t.ID)
		return
	}
	h.fleet.RecordCold(t.ID, t.StartedAtMs, left)
}
