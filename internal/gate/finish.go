package gate

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
	// comeBackMin and comeBackSpread bound the time after which a refused caller
	// comes back; the spread keeps callers from coming back together.
	comeBackMin    = 300 * time.Millisecond
	comeBackSpread = 500 * time.Millisecond
)

// finish gives a request its final answer.
func (g *Gate) finish(ctx context.Context, j *job, out ending) {
	switch o := out.(type) {
	case done:
		g.ended(j, "answered", o.status, "")
	case broken:
		if j.begun {
			g.cut(j, o.reason)
			return
		}
		g.fail(j, http.StatusBadGateway, o.reason)
	case over:
		g.timedOut(ctx, j, o.cause)
	}
}

// timedOut ends a request whose time is over or whose caller has left.
func (g *Gate) timedOut(ctx context.Context, j *job, cause error) {
	switch {
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), errTimeout):
		g.ended(j, "left", 0, "the caller went away")
		panic(http.ErrAbortHandler)
	case j.begun:
		g.cut(j, cause.Error())
	case j.attempts > 0:
		g.fail(j, http.StatusGatewayTimeout, cause.Error())
	default:
		g.refuse(j, cause.Error(), g.comeBack(j))
	}
}

// cut ends an answer that has begun so that it does not look complete.
func (g *Gate) cut(j *job, reason string) {
	g.ended(j, "cut", 0, reason)
	panic(http.ErrAbortHandler)
}

// deny answers a request that no version of the site allows.
func (g *Gate) deny(w http.ResponseWriter, j *job, status int, reason string) {
	g.Metrics.Count("denied " + strconv.Itoa(status))
	if j != nil {
		g.ended(j, "denied", status, reason)
	}
	http.Error(w, reason, status)
}

// fail answers a request that may have run.
func (g *Gate) fail(j *job, status int, reason string) {
	g.ended(j, "failed", status, reason)
	http.Error(j.w, "the request may have run: "+reason, status)
}

// refuse answers a request that has certainly not run.
func (g *Gate) refuse(j *job, reason string, after time.Duration) {
	g.ended(j, "refused", http.StatusServiceUnavailable, reason)
	j.w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	http.Error(j.w, "the request did not run: "+reason, http.StatusServiceUnavailable)
}

// comeBack returns when a refused caller should send the request again.
func (g *Gate) comeBack(*job) time.Duration {
	return comeBackMin + time.Duration(draw()*float64(comeBackSpread))
}

func (g *Gate) ended(j *job, what string, status int, reason string) {
	g.Metrics.Count(what)
	took := wire.Boot() - j.Arrived
	g.Metrics.Time(what, took)
	fields := []zap.Field{
		zap.Int("status", status), zap.Int64("took", took.Milliseconds()),
		zap.Int64("waited", j.waited.Milliseconds()), zap.Int64("first", j.first.Milliseconds()),
		zap.Int("attempts", j.attempts), zap.Int("arrivals", j.arrivals),
	}
	if j.route != nil {
		fields = append(fields, zap.String("route", j.route.Name))
	}
	if reason != "" {
		fields = append(fields, zap.String("reason", reason))
	}
	j.log.Info(what, fields...)
}
