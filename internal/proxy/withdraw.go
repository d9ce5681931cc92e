package proxy

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/wire"
)

// StaleLimits are times after the announcement of new weights. Zero stands for no limit.
type StaleLimits struct {
	// Send is the time after which engines with older weights get no requests.
	Send time.Duration
	// Withdraw is the time after which requests that such engines may not have begun are
	// sent to others.
	Withdraw time.Duration
}

// errWithdrawn is the cancellation cause of an attempt at an engine with older weights that
// may not have begun it in time.
var errWithdrawn = errors.New("the target has older weights and may not have begun the request")

// withdrawal cancels an attempt that waits at an engine whose weights have been replaced for
// StaleLimits.Withdraw. An engine whose queue is long would begin the request on these later.
type withdrawal struct {
	proxy       *Proxy
	job         *job
	reservation reservation
	sent        time.Duration
	cancel      context.CancelCauseFunc

	mu      sync.Mutex // guards timer and stopped
	timer   *time.Timer
	stopped bool
}

// withdrawLate cancels an attempt with errWithdrawn when its time has come, unless the engine
// has begun the request. The attempt calls the returned function when it ends.
func (p *Proxy) withdrawLate(cancel context.CancelCauseFunc, j *job, c reservation) (stop func()) {
	if j.Prompt == nil || !j.route.Repeatable() || p.staleLimits.Load().Withdraw <= 0 {
		return func() {}
	}
	w := &withdrawal{proxy: p, job: j, reservation: c, sent: wire.BootTime(), cancel: cancel}
	w.checkAfter(w.remaining())
	return w.stop
}

func (w *withdrawal) checkAfter(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.timer = time.AfterFunc(d, w.check)
	}
}

func (w *withdrawal) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// remaining returns the time until the request has to be withdrawn. As long as no newer
// weights have been announced, this is the least time that is left.
func (w *withdrawal) remaining() time.Duration {
	limit, model := w.proxy.staleLimits.Load().Withdraw, w.job.Prompt.Model
	if age, outdated := w.proxy.weights.OutdatedFor(model, w.reservation.Versions[model]); outdated {
		return limit - age
	}
	return limit
}

func (w *withdrawal) check() {
	if w.begun() {
		return
	}
	if remaining := w.remaining(); remaining > 0 {
		w.checkAfter(remaining)
		return
	}
	w.proxy.Metrics.Count("withdrawn")
	w.job.log.Info(
		"attempt withdrawn: its target has older weights and may not have begun it",
		zap.String("target", w.reservation.ID), zap.Int64("waited", (wire.BootTime()-w.sent).Milliseconds()),
	)
	w.cancel(errWithdrawn)
}

// begun reports whether the engine has certainly begun the request: it has sent an event, or
// reported an empty queue since.
func (w *withdrawal) begun() bool {
	return time.Duration(w.job.firstEventAt.Load()) >= w.sent || w.reservation.attempt.QueueEmptySince(w.sent)
}
