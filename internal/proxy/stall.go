package proxy

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/opconf"
	"sesamehill.example/sesamehill/internal/pause"
	"sesamehill.example/sesamehill/internal/safego"
	"sesamehill.example/sesamehill/internal/wire"
)

const (
	// responseTimeout bounds the query whether another target responds, and maxQueriedTargets
	// is the number of targets that are queried at once.
	responseTimeout   = 250 * time.Millisecond
	maxQueriedTargets = 2
)

// stallWatch watches an attempt for a target that sends no data.
type stallWatch struct {
	proxy   *Proxy
	job     *job
	chosen  reservation
	started time.Duration
	// limit is the longest wait for the next event of a target that reports no waiting
	// requests.
	limit time.Duration
	// probedAt is the boot time of the last check whether the target accepts connections, and
	// queriedAt that of the last query whether another one responds.
	probedAt, queriedAt time.Duration
	checks              reachChecks
	alternatives        func(begun bool) []fleet.Status
}

// watchStall cancels an attempt at a target that sends no data if the request can
// be resumed at another one that does. It leaves a stream alone while the target sends data
// on other requests or accepts connections, since the stream may be queued there. A sound target
// may be silent for a while and go on: where the others are silent too, or no repeat is left, the
// stream would be cut.
func (p *Proxy) watchStall(ctx context.Context, cancel context.CancelCauseFunc, j *job, c reservation) func() {
	if j.route.Kind != opconf.Streaming || !j.route.Resumable || j.attempts+1 >= j.route.Attempts {
		return func() {}
	}
	now := wire.BootTime()
	w := &stallWatch{
		proxy: p, job: j, chosen: c, started: now, probedAt: now,
		limit:        max(stallLatencyFactor*j.route.LatencyTarget, 2*noDataLimit),
		alternatives: p.alternativesTo(j, c),
	}
	ctx, stop := context.WithCancel(ctx)
	go safego.Do(j.log, "stall watch", func() {
		idle := time.Duration(0)
		for pause.For(ctx, max(noDataLimit-idle, stallCheckInterval)) == nil {
			lastEvent := time.Duration(j.lastEventAt.Load())
			idle = wire.BootTime() - max(w.started, lastEvent)
			if w.isStalled(ctx, idle, lastEvent >= w.started) && w.canGoOn(ctx, lastEvent >= w.started) {
				cancel(errTargetStalled)
				return
			}
		}
	})
	return stop
}

// isStalled reports whether the target has sent no event for too long, from the time since the
// last one and whether there was one.
func (w *stallWatch) isStalled(ctx context.Context, idle time.Duration, begun bool) bool {
	noData := w.chosen.attempt.NoDataFor(noDataLimit)
	if idle > noDataLimit && wire.BootTime()-w.probedAt > noDataLimit && noData {
		// The request may be queued there, or the engine may prefill other prompts.
		w.probedAt = wire.BootTime()
		if w.checks.failed(w.proxy.paths.Reach(ctx, w.chosen.Service, w.chosen.ID, w.chosen.Address)) && ctx.Err() == nil {
			return true
		}
	}
	stalled := begun && idle > max(stallGapFactor*w.job.route.MaxGap, noDataLimit) && noData
	return stalled || idle > w.limit && w.chosen.attempt.QueueEmpty()
}

// canGoOn reports whether the request may be sent again, and another target that can go on with it
// responds.
func (w *stallWatch) canGoOn(ctx context.Context, begun bool) bool {
	now := wire.BootTime()
	if w.proxy.window(w.job.service.Name).Remaining(now, w.proxy.hosts()) == 0 {
		return false
	}
	others := w.alternatives(begun)
	if slices.ContainsFunc(others, func(s fleet.Status) bool { return responsive(s, now) }) {
		return true
	}
	if now-w.queriedAt < noDataLimit {
		return false
	}
	w.queriedAt = now
	responds := w.anyResponds(ctx, others)
	if !responds && ctx.Err() == nil {
		w.proxy.Metrics.Count("all silent")
		w.job.log.Info("stream stays at a target that sends no data: no other one responds", zap.String("target", w.chosen.ID), zap.Int("others", len(others)))
	}
	return responds
}

// responsive reports whether a target has sent data to this host lately.
func responsive(s fleet.Status, now time.Duration) bool {
	return s.LastDataAt > 0 && now-s.LastDataAt < noDataLimit
}

// anyResponds queries those targets from which the last data came.
func (w *stallWatch) anyResponds(ctx context.Context, others []fleet.Status) bool {
	others = slices.Clone(others)
	slices.SortFunc(others, func(a, b fleet.Status) int { return cmp.Compare(b.LastDataAt, a.LastDataAt) })
	others = others[:min(len(others), maxQueriedTargets)]
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	results := make(chan bool, len(others))
	for _, s := range others {
		go safego.Do(w.job.log, "response query", func() {
			responds := false
			defer func() { results <- responds }()
			responds = w.responds(ctx, s)
		})
	}
	for range others {
		if <-results {
			return true
		}
	}
	return false
}

// responds finds out whether a target responds: engines to a query, others to a connection.
func (w *stallWatch) responds(ctx context.Context, s fleet.Status) bool {
	if !w.job.statesStart() {
		return w.proxy.paths.Reach(ctx, s.Service, s.ID, s.Address) == Reachable
	}
	conn, err := w.proxy.paths.DialContext(ctx, "tcp", s.Address)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }() // no request follows on it
	if _, err = w.proxy.starts.StartOf(ctx, conn, s.Target); err != nil {
		return false
	}
	w.proxy.fleet.RecordResponse(s.ID)
	return true
}

// alternativesTo returns a function that returns the targets that may go on with a
// stream, by whether this one has begun it. A stream whose software version serves
// nowhere else had better wait for a target that does not answer.
func (p *Proxy) alternativesTo(j *job, c reservation) func(begun bool) []fleet.Status {
	service, before, excluded := j.service.Name, j.binding, maps.Clone(j.excluded)
	return func(begun bool) []fleet.Status {
		b := before
		if begun {
			b = binding{software: c.Software, bound: true}
		}
		return slices.DeleteFunc(p.fleet.Serving(service), func(s fleet.Status) bool {
			return s.ID == c.ID || excluded[s.ID] || p.boundElsewhere(b, s.Target) || !p.mayServe(j, s) || p.checkEvidence(j, s.ID, b.bound) != nil
		})
	}
}

// preferResponsive returns the targets that have sent data lately, for a request that has left one
// that did not; all of them if there is none.
func preferResponsive(j *job, targets []fleet.Status) []fleet.Status {
	if !j.leftStalled {
		return targets
	}
	now := wire.BootTime()
	found := slices.DeleteFunc(slices.Clone(targets), func(s fleet.Status) bool { return !responsive(s, now) })
	if len(found) == 0 {
		return targets
	}
	return found
}
