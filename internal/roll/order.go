package roll

import (
	"context"
	"maps"
	"time"

	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/pause"
)

const (
	// propagationDelay is how long the other hosts take to receive that an engine is
	// about to load.
	propagationDelay = 80 * time.Millisecond
	// reportInterval is the time between two polls of an engine that loads.
	reportInterval = 120 * time.Millisecond
	// idleTimeout bounds the wait for the runs of an engine before it is ordered.
	idleTimeout = 600 * time.Millisecond
	// loadTimeout bounds the wait for an engine that has accepted an order; the
	// engine finishes its runs before it loads.
	loadTimeout = 10 * time.Second
	// reportLag is how far an engine's report may lag behind an order.
	reportLag = 700 * time.Millisecond
	// retryDelay is the time after a failed order before the engine is ordered
	// again.
	retryDelay = 400 * time.Millisecond
	// minUnansweredTimeout is the time after an order without an answer before the engine is
	// ordered again. While orders are late it doubles with each try, up to
	// maxUnansweredTimeout. An engine may carry out an order up to 12 s late; the other
	// orders have no effect once it has.
	minUnansweredTimeout = 1500 * time.Millisecond
	maxUnansweredTimeout = 4 * time.Second
	// unansweredInterval is the time between two polls of an engine with an unanswered
	// order, or more, so that all such engines get at most maxUnansweredPolls a second
	// (20 KB/s of the lease holder, at an estimated 400 B each). Responses to requests show
	// the weights of an engine too.
	unansweredInterval = 400 * time.Millisecond
	maxUnansweredPolls = 50
	// lateOrders is the number of unanswered orders in a row from which orders count as
	// late, for lateOrdersTTL after the last of them.
	lateOrders    = 2
	lateOrdersTTL = 10 * time.Second
)

// Phase is the state of an order at the host that sends it.
type Phase int

const (
	// NoOrder means that the engine may be ordered.
	NoOrder Phase = iota
	// Sending lasts until the engine has answered, or has not answered in time.
	Sending
	// Loading means that the engine has accepted the order.
	Loading
	// Unanswered means that the engine may carry out the order now, later or never. It
	// serves until then.
	Unanswered
)

// order is an order in progress.
type order struct {
	phase Phase
	// drained is set if the engine gets no requests while the order is sent.
	drained bool
}

// outOfService reports whether the engine should get no requests.
func (o *order) outOfService() bool { return o.phase == Loading || o.phase == Sending && o.drained }

// tries counts the orders of a version to an engine.
type tries struct{ version, count int }

// engineModel names a model of an engine.
type engineModel struct{ engine, model string }

func (e Engine) key() engineModel { return engineModel{e.ID, e.Model} }

// loadedEngine holds the weight versions that an engine has loaded.
type loadedEngine struct {
	versions map[string]int
	loadedAt time.Duration
}

// outcome is the end of an order.
type outcome struct {
	// loaded is the version that the engine has loaded; zero if it is still outdated.
	loaded int
	// retryAfter is the time before which the engine gets no further order.
	retryAfter time.Duration
}

var failed = outcome{retryAfter: retryDelay}

// ordersAreLate reports whether the last orders got no answer. The caller holds mu.
func (r *Roller) ordersAreLate() bool {
	return r.unansweredInRow >= lateOrders && r.now()-r.unansweredAt < lateOrdersTTL
}

// recordAnswer records whether an engine has answered an order.
func (r *Roller) recordAnswer(result OrderResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch result {
	case Unknown:
		r.unansweredInRow++
		r.unansweredAt = r.now()
	case NotSent:
	default:
		r.unansweredInRow = 0
	}
}

// bringUpToDate brings one engine to the version that is desired when its order is sent.
func (r *Roller) bringUpToDate(ctx context.Context, e Engine, drained bool) {
	end := failed
	defer func() { r.finish(e, end) }() // also after a panic, or the engine would stay out of service
	if !drained || pause.For(ctx, propagationDelay) == nil && r.waitIdle(ctx, e) {
		end = r.order(ctx, e, r.desired()[e.Model])
	}
}

// finish records the end of an order.
func (r *Roller) finish(e Engine, end outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unpublished = r.unpublished || r.orders[e.ID].outOfService() || end.loaded > 0
	delete(r.orders, e.ID)
	r.notBefore[e.ID] = r.now() + end.retryAfter
	if end.loaded > 0 {
		versions := map[string]int{}
		maps.Copy(versions, r.loaded[e.ID].versions) // published progress shares the old map
		versions[e.Model] = end.loaded
		r.loaded[e.ID] = loadedEngine{versions: versions, loadedAt: r.now()}
	}
}

// setPhase changes the state of the order to an engine.
func (r *Roller) setPhase(e Engine, p Phase) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.orders[e.ID]
	before := o.outOfService()
	o.phase = p
	r.unpublished = r.unpublished || o.outOfService() != before
}

// waitIdle waits until an engine that receives no new requests has finished its
// runs, but not longer than idleTimeout. It returns false if ctx has ended.
func (r *Roller) waitIdle(ctx context.Context, e Engine) bool {
	start := r.now()
	for r.now()-start < idleTimeout {
		if report, err := r.report(ctx, e); err != nil || report.Running == 0 {
			return true
		}
		if pause.For(ctx, reportInterval) != nil {
			return false
		}
	}
	return true
}

// order sends an order and waits until the engine has loaded the weights, or until it may
// be ordered again. The engine may have loaded another version than the desired one by then.
func (r *Roller) order(ctx context.Context, e Engine, version int) outcome {
	before, err := r.report(ctx, e)
	if err != nil {
		r.log.Warn("engine sent no weight report; no order sent", zap.String("target", e.ID), zap.Error(err))
		r.reportFailed(e.ID)
		return failed
	}
	if r.loadedVersion(e, before, version) {
		return outcome{loaded: before.Versions[e.Model]}
	}
	if before.Busy {
		r.setPhase(e, Loading)
		return r.waitLoaded(ctx, e, version)
	}
	switch r.send(ctx, e, version, before.Sequence) {
	case AlreadyLoaded, Accepted:
		r.setPhase(e, Loading)
		return r.waitLoaded(ctx, e, version)
	case Unknown:
		r.setPhase(e, Unanswered)
		return r.awaitUnanswered(ctx, e, version, before.Sequence)
	}
	return failed
}

// send sends an order to an engine that has accepted a number of orders so far.
func (r *Roller) send(ctx context.Context, e Engine, version int, sequence uint64) OrderResult {
	token, err := r.lease.FencingToken()
	if err != nil || !r.lease.AllowsUnfenced() {
		r.log.Warn(
			"weight order not sent: this host may no longer issue orders", zap.String("target", e.ID), zap.Error(err),
		)
		return NotSent
	}
	o := Order{
		Target: e.ID, Address: e.Address, Model: e.Model, Version: version,
		Holder: r.host, FencingToken: token, Sequence: sequence,
	}
	r.countTry(e, version)
	limited, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	result, err := r.engines.Order(limited, o)
	r.recordAnswer(result)
	r.log.Info(
		"weight order sent", zap.String("target", e.ID), zap.String("model", e.Model), zap.Int("version", version),
		zap.Uint64("fence", token), zap.Uint64("sequence", sequence), zap.Int("answer", int(result)), zap.Error(err),
	)
	return result
}

func (r *Roller) countTry(e Engine, version int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tries[e.key()]
	if t.version != version {
		t = tries{version: version}
	}
	t.count++
	r.tries[e.key()] = t
}

// waitLoaded polls an engine that loads weights until it has a version. It ends without
// success once the engine is idle: it has loaded another version, or has restarted.
func (r *Roller) waitLoaded(ctx context.Context, e Engine, version int) outcome {
	start := r.now()
	for r.now()-start < loadTimeout {
		if pause.For(ctx, reportInterval) != nil {
			return failed
		}
		report, err := r.report(ctx, e)
		switch {
		case err != nil && r.now()-start > loadTimeout/4:
			return failed
		case err != nil:
		case r.loadedVersion(e, report, version):
			return outcome{loaded: report.Versions[e.Model]}
		case !report.Busy && r.now()-start > reportLag:
			return failed
		}
	}
	return failed
}

// awaitUnanswered polls an engine that has not answered an order, until it has loaded the
// weights or may be ordered again: it has accepted another order, newer weights are desired,
// or the time for an unanswered order has passed.
func (r *Roller) awaitUnanswered(ctx context.Context, e Engine, version int, sequence uint64) outcome {
	start := r.now()
	for r.now()-start < r.unansweredTimeout(e) && r.desired()[e.Model] <= version {
		if pause.For(ctx, r.unansweredPollInterval()) != nil {
			return failed
		}
		report, err := r.report(ctx, e)
		switch {
		case err != nil:
		case r.loadedVersion(e, report, version):
			return outcome{loaded: report.Versions[e.Model]}
		case report.Busy:
			r.setPhase(e, Loading)
			return r.waitLoaded(ctx, e, version)
		case report.Sequence != sequence:
			return outcome{}
		}
	}
	return outcome{}
}

// unansweredTimeout returns the time after which an engine that has not answered its last
// order is ordered again.
func (r *Roller) unansweredTimeout(e Engine) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.ordersAreLate() {
		return minUnansweredTimeout
	}
	return min(minUnansweredTimeout<<min(r.tries[e.key()].count-1, 8), maxUnansweredTimeout)
}

// unansweredPollInterval returns the time between two polls of an engine with an unanswered
// order.
func (r *Roller) unansweredPollInterval() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(unansweredInterval, time.Duration(len(r.orders))*time.Second/maxUnansweredPolls)
}

// loadedVersion records the version in an engine's report if it is newer than the known one,
// and reports whether it is at least minVersion.
func (r *Roller) loadedVersion(e Engine, report Report, minVersion int) bool {
	loaded := report.Versions[e.Model]
	if loaded > e.Version || loaded >= minVersion {
		r.recordVersion(e.ID, e.Model, loaded)
	}
	return loaded >= minVersion
}

func (r *Roller) report(ctx context.Context, e Engine) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	return r.engines.Report(ctx, e.Address)
}
