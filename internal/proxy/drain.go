package proxy

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/opconf"
	"sesamehill.example/sesamehill/internal/wire"
)

const (
	// lateLatencyFactor is the least time that a request without a stream needs until the
	// end of a drain, in multiples of the latency target of its route.
	lateLatencyFactor = 4
	// lateRetryAfter is the Retry-After time of a request that comes too late: other hosts
	// take it at once.
	lateRetryAfter = 50 * time.Millisecond
)

// errDraining is the cancellation cause of a request that has not ended when the host
// does.
var errDraining = errors.New("the host stops")

// drain is the plan of a stop. The zero value says that there is none.
type drain struct {
	// lateFrom is the boot time from which requests are late, as the host does not listen
	// any more, and end the one at which each request has got its final answer.
	lateFrom, end time.Duration
}

// Drain makes the proxy end all requests until a boot time, and refuse those that come
// from another one on and cannot be finished by then.
func (p *Proxy) Drain(lateFrom, end time.Duration) {
	p.draining.Store(&drain{lateFrom: lateFrom, end: end})
	time.AfterFunc(end-wire.BootTime(), func() { p.endDrain(errDraining) })
}

// untilDrained returns a context that also ends when a drain does.
func (p *Proxy) untilDrained(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(p.drained, func() { cancel(errDraining) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// refuseLate refuses a request that cannot be finished before the host stops. Streams that
// come late are refused, as their length is unknown.
func (p *Proxy) refuseLate(j *job) bool {
	d := p.draining.Load()
	now := wire.BootTime()
	if d == nil || now < d.lateFrom {
		return false
	}
	if j.route.Kind != opconf.Streaming && d.end-now >= lateLatencyFactor*j.route.LatencyTarget {
		return false
	}
	j.log.Info("request came too late", zap.Int64("left", (d.end-now).Milliseconds()))
	p.refuse(j, "the host stops before the request could be finished", lateRetryAfter)
	return true
}
