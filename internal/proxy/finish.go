package proxy

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/wire"
)

const (
	// retryAfterMin and retryAfterSpread define the random Retry-After time of a
	// refused request. The spread keeps callers from retrying all at once.
	retryAfterMin    = 300 * time.Millisecond
	retryAfterSpread = 500 * time.Millisecond
)

// finish sends the final answer that follows from the result of the last attempt.
func (p *Proxy) finish(ctx context.Context, j *job, result attemptResult) {
	switch o := result.(type) {
	case completed:
		p.recordOutcome(j, "answered", o.status, "")
	case incomplete:
		if j.headerSent {
			p.truncate(j, o.reason)
			return
		}
		p.fail(j, http.StatusBadGateway, o.reason)
	case quarantined:
		p.endQuarantined(j, o.Refuse)
	case aborted:
		p.abort(ctx, j, o.cause)
	}
}

// abort ends a request whose deadline passed or whose client disconnected.
func (p *Proxy) abort(ctx context.Context, j *job, cause error) {
	switch {
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), errDeadlineExceeded) && !errors.Is(context.Cause(ctx), errDraining):
		p.recordOutcome(j, "left", 0, "client disconnected")
		panic(http.ErrAbortHandler)
	case j.headerSent:
		p.truncate(j, cause.Error())
	case j.attempts > 0:
		p.fail(j, http.StatusGatewayTimeout, cause.Error())
	default:
		p.refuse(j, cause.Error(), p.retryAfter(j))
	}
}

// truncate aborts the connection of a response whose header was sent, so that the
// response does not look complete.
func (p *Proxy) truncate(j *job, reason string) {
	p.recordOutcome(j, "cut", 0, reason)
	panic(http.ErrAbortHandler)
}

// deny answers a request that the configuration does not allow or that is
// malformed.
func (p *Proxy) deny(w http.ResponseWriter, j *job, status int, reason string) {
	p.Metrics.Count("denied " + strconv.Itoa(status))
	if j != nil {
		p.recordOutcome(j, "denied", status, reason)
	}
	http.Error(w, reason, status)
}

// fail answers a request that may have run.
func (p *Proxy) fail(j *job, status int, reason string) {
	p.recordOutcome(j, "failed", status, reason)
	http.Error(j.w, "the request may have run: "+reason, status)
}

// refuse answers a request that has certainly not run. The caller may retry it
// after the given time.
func (p *Proxy) refuse(j *job, reason string, delay time.Duration) {
	p.recordOutcome(j, "refused", http.StatusServiceUnavailable, reason)
	j.w.Header().Set("Retry-After", strconv.FormatFloat(delay.Seconds(), 'f', 3, 64))
	http.Error(j.w, "the request did not run: "+reason, http.StatusServiceUnavailable)
}

// retryAfter returns the time after which a refused caller should retry: not before a target
// that asked for a pause takes requests again.
func (p *Proxy) retryAfter(j *job) time.Duration {
	return max(retryAfterMin, j.limitedFor) + time.Duration(randomFraction()*float64(retryAfterSpread))
}

// recordOutcome counts and logs the final outcome of a request.
func (p *Proxy) recordOutcome(j *job, outcome string, status int, reason string) {
	p.Metrics.Count(outcome)
	took := wire.BootTime() - j.Arrived
	p.Metrics.Observe(outcome, took)
	fields := []zap.Field{
		zap.Int("status", status), zap.Int64("took", took.Milliseconds()),
		zap.Int64("waited", j.queueTime.Milliseconds()), zap.Int64("first", j.firstEventAfter.Milliseconds()),
		zap.Int("attempts", j.attempts), zap.Int("arrivals", j.deliveries),
	}
	if j.route != nil {
		fields = append(fields, zap.String("route", j.route.Name))
	}
	if reason != "" {
		fields = append(fields, zap.String("reason", reason))
	}
	j.log.Info("request "+outcome, fields...)
}
