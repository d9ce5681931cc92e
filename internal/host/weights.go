package host

import (
	"context"
	"time"

	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/lease"
	"sesamehill.example/sesamehill/internal/table"
	"sesamehill.example/sesamehill/internal/weight"
	"sesamehill.example/sesamehill/pkg/config"
)

const (
	rolloutLease  = "rollout"
	rolloutPeriod = time.Second
)

// newRollout creates the rollout of model versions and the lease that allows its
// holder to order engines.
func (h *Host) newRollout() {
	h.lease = lease.New(h.platform, rolloutLease, h.settings.Name, lease.WithHighestToken(func() uint64 {
		if h.rollout == nil {
			return 0
		}
		return h.rollout.Fence()
	}))
	h.rollout = weight.New(h.lease, h.observedEngines)
}

// observedEngines returns the engines of the region. The lease holder gets the
// engines of all regions, because it orders them.
func (h *Host) observedEngines() []weight.Observed {
	now := time.Now()
	_, err := h.lease.FencingToken()
	holds := err == nil
	var out []weight.Observed
	for _, m := range h.fleet.list(table.Engine, func(m *targetView) bool {
		return holds || m.listed.Region == h.settings.Region
	}) {
		out = append(out, weight.Observed{Engine: m.engine, ReportedAt: m.reportReceived, Target: weight.Target{
			Name: m.listed.Name, Models: m.report.Models, Role: m.report.Role, Loading: m.report.Loading,
			Fresh:   !m.reportReceived.IsZero() && now.Sub(m.reportReceived) < reportStaleAfter,
			Leaving: m.listed.State == table.Leaving || h.fleet.isDrained(m.listed.Name),
			InUse:   h.fleet.inUse(m.listed.Name),
		}})
	}
	return out
}

// stepRollout makes one step of the rollout. The lease holder first polls the
// engines whose load reports do not reach it by gossip.
func (h *Host) stepRollout(ctx context.Context) {
	if _, err := h.lease.FencingToken(); err == nil {
		h.refreshReports(ctx)
	}
	f := h.document.Load()
	if f.revision == 0 {
		return
	}
	if err := h.rollout.Step(ctx, f.document.Models, f.activatedAt); err != nil {
		counters.Add("rollout_errors", 1)
		h.log.Warn("a target rejected the lease's fencing token", zap.Error(err))
	}
}

func (h *Host) holdLease(ctx context.Context) error {
	h.lease.Run(ctx)
	return ctx.Err()
}

// version returns the weight version for new requests of a model: the version of
// the configuration document once enough engines of the region serve it.
func (h *Host) version(m *config.Model) string {
	if v := h.rollout.Resolved()[m.Name]; v != "" {
		return v
	}
	return m.Version
}
