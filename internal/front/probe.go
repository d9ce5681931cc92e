package front

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/guard"
	"sesamehill.example/sesamehill/internal/pause"
	"sesamehill.example/sesamehill/internal/wire"
)

const (
	// probePeriod is the time between two looks at which targets are due a probe,
	// while there are targets in doubt.
	probePeriod = 50 * time.Millisecond
	// maxProbes bounds the probes under way.
	maxProbes = 32
)

// probe connects to targets that are believed to be unreachable, until ctx ends.
// Requests go there again once one of them takes a connection.
func (h *Host) probe(ctx context.Context) error {
	dialer := wire.Dialer()
	var probes errgroup.Group
	probes.SetLimit(maxProbes)
	for h.awaitDoubt(ctx) {
		for _, t := range h.fleet.Due() {
			probes.Go(func() error {
				if !guard.Do(h.log, "probe", func() { h.probed(ctx, t, wire.Reach(ctx, dialer, t.Address)) }) {
					h.fleet.Probed(t, false) // it is due again
				}
				return nil
			})
		}
	}
	return probes.Wait()
}

// awaitDoubt waits for the next look, or for the next target in doubt if there is
// none now. It returns false when ctx has ended.
func (h *Host) awaitDoubt(ctx context.Context) bool {
	if pause.For(ctx, probePeriod) != nil {
		return false
	}
	for !h.fleet.Doubtful() {
		select {
		case <-h.doubt:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

func (h *Host) probed(ctx context.Context, t fleet.Target, err error) {
	if ctx.Err() != nil {
		return
	}
	h.gate.Metrics.Count("probe")
	h.fleet.Probed(t, err == nil)
	if err == nil {
		h.gate.Kick()
	}
}
