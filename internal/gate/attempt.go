package gate

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/guard"
	"sesamehill.example/sesamehill/internal/pause"
	"sesamehill.example/sesamehill/internal/poison"
	"sesamehill.example/sesamehill/internal/site"
	"sesamehill.example/sesamehill/internal/wire"
)

// ending is how an attempt left its request.
type ending interface{ ending() }

// again asks for another attempt.
type again struct{ reason string }

// done says that the caller has the target's whole answer.
type done struct{ status int }

// broken says that the request may have run and has no whole answer.
type broken struct{ reason string }

// over says that the time of the request ended or that the caller left.
type over struct{ cause error }

func (again) ending()  {}
func (done) ending()   {}
func (broken) ending() {}
func (over) ending()   {}

const (
	// stallPeriod is the time between two looks at a stream that has been silent for
	// silentLimit.
	stallPeriod = 200 * time.Millisecond
	// silentLimit is how long a target may send nothing to anybody here before a
	// stream that can go on elsewhere leaves it.
	silentLimit = 800 * time.Millisecond
	// stallGaps bounds the pause of a stream that has begun, in multiples of the
	// longest pause that is still on time.
	stallGaps = 4
	// stallGoals bounds the wait for the next event of a target at which nothing
	// waits, in multiples of the route's goal.
	stallGoals = 3
)

// attempt sends a request to one target and relays the answer.
func (g *Gate) attempt(ctx context.Context, j *job, c choice) ending {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer c.attempt.End(fleet.Failed) // counts only after a panic
	id := j.ID + "/" + c.ID
	if !g.poison.Begin(j.print, id, c.ID, time.Now()) {
		if _, refused := g.poison.Admit(j.print, time.Now()).(poison.Refuse); refused {
			c.attempt.End(fleet.Left)
			return broken{reason: "earlier runs of this request crashed their targets"}
		}
		// After a crash of many targets there are more suspects than targets for
		// trials of their own; this attempt proves nothing then.
	}
	sent := wire.Boot()
	out, outcome := g.exchange(ctx, cancel, j, c)
	died := outcome == fleet.Failed && !g.reachable(context.WithoutCancel(ctx), c.Address)
	if died {
		c.attempt.End(fleet.Unreachable)
	}
	c.attempt.End(outcome)
	defer g.Kick()
	if verdict := g.poison.End(id, result(outcome, died), time.Now()); verdict != poison.Fine {
		j.log.Info("target crashed", zap.String("target", c.ID), zap.Bool("quarantined", verdict == poison.Quarantined))
	}
	g.Metrics.Time("attempt", wire.Boot()-sent)
	if a, ok := out.(again); ok {
		j.tried[c.ID] = true
		g.Metrics.Count("again")
		j.log.Info(
			"attempt ended", zap.String("target", c.ID), zap.String("reason", a.reason),
			zap.Int64("took", (wire.Boot()-sent).Milliseconds()), zap.Bool("mayhaverun", outcome == fleet.Failed),
		)
	}
	return out
}

// result tells the tracker of crashing requests how an attempt ended.
func result(o fleet.Outcome, died bool) poison.Result {
	switch {
	case died:
		return poison.Died
	case o == fleet.Served:
		return poison.Survived
	}
	return poison.Unused
}

// exchange makes the call and decides what its failure means.
func (g *Gate) exchange(ctx context.Context, cancel context.CancelCauseFunc, j *job, c choice) (ending, fleet.Outcome) {
	s := g.send(j, c)
	req, err := g.codec.Request(ctx, s)
	if err != nil {
		return broken{reason: err.Error()}, fleet.Left
	}
	stop := g.watch(ctx, cancel, j, c)
	defer stop()
	resp, err := g.transport(j).RoundTrip(req)
	if err != nil {
		return g.unanswered(ctx, j, err)
	}
	defer func() { _ = resp.Body.Close() }() // read to its end, or given up
	j.arrivals++
	c.attempt.Heard()
	reply := g.codec.ReadReply(s, resp)
	g.learn(c, s, reply)
	return g.answer(ctx, j, c, reply, resp)
}

// errSlow ends an attempt at a target that has fallen silent.
var errSlow = errors.New("the target has fallen silent")

// watch ends an attempt at a silent target if the request may go on at another
// one. A stream whose target answers others, or takes connections, waits its turn.
func (g *Gate) watch(ctx context.Context, cancel context.CancelCauseFunc, j *job, c choice) func() {
	if j.route.Kind != site.Streaming || !j.route.Resumable || j.attempts+1 >= j.route.Attempts {
		return func() {}
	}
	begin := wire.Boot()
	asked := begin
	limit := max(stallGoals*j.route.Goal, 2*silentLimit)
	ctx, stop := context.WithCancel(ctx)
	go guard.Do(j.log, "stall watch", func() {
		quiet := time.Duration(0)
		for pause.For(ctx, max(silentLimit-quiet, stallPeriod)) == nil {
			last := time.Duration(j.heard.Load())
			quiet = wire.Boot() - max(begin, last)
			dead := false
			if quiet > silentLimit && wire.Boot()-asked > silentLimit && c.attempt.Silent(silentLimit) {
				// The request may wait its turn there, or pause while prompts are read.
				asked = wire.Boot()
				dead = !g.reachable(ctx, c.Address)
			}
			stuck := last >= begin && quiet > max(stallGaps*j.route.Gap, silentLimit) && c.attempt.Silent(silentLimit)
			if dead || stuck || quiet > limit && c.attempt.Idle() {
				cancel(errSlow)
				return
			}
		}
	})
	return stop
}

// reachable reports whether a target takes a connection. A host that has only a
// few calls at a target hears little of it, which says nothing about the target.
func (g *Gate) reachable(ctx context.Context, address string) bool {
	return wire.Reach(ctx, g.dialer, address) == nil || ctx.Err() != nil
}

// unanswered decides about an attempt that brought no answer.
func (g *Gate) unanswered(ctx context.Context, j *job, err error) (ending, fleet.Outcome) {
	var unsent *wire.UnsentError
	sent := !errors.As(err, &unsent)
	slow := errors.Is(context.Cause(ctx), errSlow)
	switch {
	case ctx.Err() != nil && !slow:
		if sent {
			j.attempts++
		}
		return over{cause: context.Cause(ctx)}, fleet.Left
	case !sent && !slow:
		return again{reason: err.Error()}, fleet.Unreachable
	}
	j.arrivals++
	j.attempts++
	return g.repeat(j, err.Error()), fleet.Failed
}

// repeat returns again if a request that may have run can be sent once more.
func (g *Gate) repeat(j *job, reason string) ending {
	if j.route.Repeatable() && j.attempts < j.route.Attempts {
		return again{reason: reason}
	}
	return broken{reason: reason}
}

// answer decides about the head of an answer and relays it.
func (g *Gate) answer(ctx context.Context, j *job, c choice, r Reply, resp *http.Response) (ending, fleet.Outcome) {
	switch {
	case r.Replaced:
		return again{reason: "another target has the address"}, fleet.Unreachable
	case r.NotRun:
		reason := "the target did not run it"
		if r.Elsewhere {
			reason = "other weights are there"
		}
		return again{reason: reason}, fleet.Refused
	case !r.Own:
		j.attempts++
		return g.repeat(j, "the answer belongs to another request"), fleet.Failed
	case r.Status < http.StatusMultipleChoices && (!r.Sealed || r.Encoded):
		j.attempts++
		return g.repeat(j, "the answer is not signed"), fleet.Failed
	}
	j.attempts++
	if j.begun && r.Status >= http.StatusMultipleChoices {
		// Its body would become a part of the stream.
		return g.repeat(j, "the target failed while the stream went on"), fleet.Failed
	}
	if r.Status >= http.StatusInternalServerError && g.otherMayServe(j) {
		return again{reason: "the target failed"}, fleet.Served
	}
	if j.route.Kind == site.Streaming && r.Status < http.StatusMultipleChoices {
		return g.relay(ctx, j, c, r, resp)
	}
	return g.buffer(ctx, j, r, resp)
}

// otherMayServe reports whether a failed idempotent request has a chance at
// another target.
func (g *Gate) otherMayServe(j *job) bool {
	if j.route.Kind != site.Idempotent || j.attempts >= j.route.Attempts {
		return false
	}
	untried := len(g.fleet.Serving(j.service.Name)) - len(j.tried) - 1
	return untried > 0 && g.window(j.service.Name).Left(wire.Boot(), g.hosts()) > 0
}

// send describes an attempt that starts now.
func (g *Gate) send(j *job, c choice) Send {
	s := Send{Call: j.Call, Target: *c.Target, Left: j.end - wire.Boot(), LastEvent: j.last, State: c.state}
	if j.account != nil {
		s.Account = j.account.Name
	}
	s.Priority = min(max(j.priority(), 0), 9)
	return s
}

func (g *Gate) learn(c choice, s Send, r Reply) {
	if r.Load != nil {
		g.fleet.Report(c.ID, *r.Load)
	}
	if r.Version > 0 && s.Call.Prompt != nil {
		g.fleet.Learn(c.ID, s.Call.Prompt.Model, r.Version)
	}
}

// transport returns fresh connections for requests that must not be repeated, so
// that a connection which the target closes meanwhile never swallows one.
func (g *Gate) transport(j *job) http.RoundTripper {
	if j.route.Repeatable() {
		return g.kept
	}
	return g.fresh
}
