package host

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/juju/errors"

	"sesamehill.example/sesamehill/internal/admit"
	"sesamehill.example/sesamehill/internal/crash"
	"sesamehill.example/sesamehill/internal/entry"
	"sesamehill.example/sesamehill/internal/index"
	"sesamehill.example/sesamehill/internal/pause"
	"sesamehill.example/sesamehill/internal/retry"
	"sesamehill.example/sesamehill/internal/route"
	"sesamehill.example/sesamehill/internal/table"
	"sesamehill.example/sesamehill/internal/target"
	"sesamehill.example/sesamehill/pkg/config"
)

const (
	// streamResumeTimeout is the time within which a broken stream must continue at
	// another engine.
	streamResumeTimeout = time.Minute
	// engineWaitTimeout is how long a broken stream waits for an engine if this host has
	// none; the load report of a new engine reaches every host within this time.
	engineWaitTimeout = reportStaleAfter
	// isolationPoll is the interval at which a suspect request looks for an engine
	// without another suspect; it adds little to the time of a retry.
	isolationPoll = 50 * time.Millisecond
)

// errSuspect reports that a suspect request must not run at the chosen engine,
// because another suspect or an identical request started there first.
var errSuspect = errors.New("another suspect request started first; place the request again")

// admitAndStart waits for admission and starts the request. The tokens in emitted
// were delivered before another host forwarded the request.
func (h *Host) admitAndStart(ctx context.Context, q *request, emitted []uint32) (*run, error) {
	t, err := h.admission.waitForStart(ctx, admit.Request{
		Account: q.account.Name, Tokens: len(q.tokens), Priority: q.priority, Deadline: q.startBy,
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	h.retries.AddRequest(q.account.Name)
	r, err := h.start(ctx, q, emitted, nil)
	if err != nil {
		t.finish()
		return nil, err
	}
	r.admitted = t
	return r, nil
}

// start places a request until a target accepts it or the retry policy stops the
// retries. The tokens in emitted were delivered by an earlier attempt, which failed
// with cause.
func (h *Host) start(ctx context.Context, q *request, emitted []uint32, cause error) (*run, error) {
	for err := cause; ; {
		if err != nil {
			if err := h.waitForRetry(ctx, q, err, len(emitted)); err != nil {
				return nil, err
			}
		}
		d, refusal := h.decide(ctx, q, len(emitted))
		if refusal != nil {
			return nil, refusal
		}
		var r *run
		if r, err = h.execute(ctx, q, d, emitted); err == nil {
			return r, nil
		}
		if errors.Is(err, errSuspect) {
			err = nil // nothing was sent; the next decision takes the other suspect into account
			continue
		}
		if ctx.Err() != nil {
			return nil, errors.Trace(err)
		}
		name, remote := destination(d)
		h.recordFailedAttempt(q, name, remote, err)
	}
}

// decide checks the quarantine and places a request. A suspect request waits for an
// engine that runs no other suspect: the death of an engine makes each request in
// flight there a suspect, and there may be more suspects than engines. A suspect
// that was itself in flight also waits for the retry of an identical request, and a
// broken stream waits for an engine that this host does not list yet. The error is a
// refusal; it states that nothing ran only if no earlier attempt may have run.
func (h *Host) decide(ctx context.Context, q *request, emitted int) (route.Decision, error) {
	startDeadline := q.startBy
	if emitted > 0 {
		startDeadline = time.Now().Add(streamResumeTimeout)
	}
	ran := q.attempts.BrokenAttempts > 0 || emitted > 0
	engineDeadline := time.Now().Add(engineWaitTimeout)
	for {
		wait, err := h.checkQuarantine(q, ran)
		if err == nil {
			var d route.Decision
			if d, err = h.place(ctx, q); err == nil {
				return d, nil
			}
			wait = q.noIsolatedEngine || (emitted > 0 && time.Now().Before(engineDeadline))
		}
		if wait && time.Now().Before(startDeadline) && pause.For(ctx, isolationPoll) == nil {
			continue
		}
		var r *entry.RefusalError
		if errors.As(err, &r) && ran {
			r.Run = entry.RanUnknown
		}
		return nil, err
	}
}

// execute carries out a placement decision.
func (h *Host) execute(ctx context.Context, q *request, d route.Decision, emitted []uint32) (*run, error) {
	switch d := d.(type) {
	case route.Forward:
		return h.forward(ctx, q, d.Host, emitted)
	case route.Import:
		h.importBlocks(ctx, q, d)
		return h.dispatch(ctx, q, d.Target, emitted)
	case route.Resident:
		return h.dispatch(ctx, q, d.Target, emitted)
	case route.Recompute:
		return h.dispatch(ctx, q, d.Target, emitted)
	default:
		return nil, errors.Errorf("unexpected placement %T", d)
	}
}

// destination returns the target or host of a decision, and whether it is a host
// of another region.
func destination(d route.Decision) (name string, remote bool) {
	switch d := d.(type) {
	case route.Forward:
		return d.Host, true
	case route.Import:
		return d.Target, false
	case route.Resident:
		return d.Target, false
	case route.Recompute:
		return d.Target, false
	default:
		return "", false
	}
}

// checkQuarantine refuses a quarantined request, and isolates a request that was in
// flight when a target died. wait reports whether the request should wait, as the
// refusal depends on another attempt that is still running; ran whether it may have run
// already.
func (h *Host) checkQuarantine(q *request, ran bool) (wait bool, err error) {
	switch d := h.crashes.Admit(q.fingerprint, time.Now(), q.parts...).(type) {
	case crash.Isolate:
		q.isolated = true
	case crash.Wait:
		return true, &entry.RefusalError{
			Status: http.StatusServiceUnavailable, Kind: entry.KindBroken, Run: entry.RanNo, Retry: time.Second,
			Message: "targets crashed while running a part of this prompt, and the trial of another request is running; send it again after the given time",
		}
	case crash.Refuse:
		counters.Add("quarantined", 1)
		return d.TrialRunning && ran, &entry.RefusalError{
			Status: http.StatusServiceUnavailable, Kind: entry.KindBroken, Run: entry.RanNo, Retry: d.RetryAfter,
			Message: d.Reason + "; change the prompt, or send it again after the given time",
		}
	case crash.Run:
		q.isolated = false
	}
	return false, nil
}

// waitForRetry waits until the next attempt is due, or returns the refusal that ends
// the request.
func (h *Host) waitForRetry(ctx context.Context, q *request, cause error, emitted int) error {
	q.attempts = q.attempts.WithOutcome(retry.Classify(cause), emitted)
	q.attempts.Idempotent = true
	q.attempts.Deadline = q.startBy
	if emitted > 0 {
		q.attempts.Deadline = time.Now().Add(streamResumeTimeout)
	}
	var after time.Duration
	switch d := h.retries.Next(q.account.Name, q.attempts, time.Now(), q.random).(type) {
	case retry.Retry:
		after = d.Delay
	case retry.Resume:
		after = d.Delay
	case retry.GiveUp:
		return giveUpRefusal(d)
	}
	return pause.For(ctx, after)
}

func giveUpRefusal(d retry.GiveUp) *entry.RefusalError {
	return &entry.RefusalError{
		Status: http.StatusServiceUnavailable, Kind: entry.KindBroken, Run: entry.Ran(d.Run), Retry: d.RetryAfter,
		Message: "the request failed and is not retried: " + d.Reason + "; send it again after the given time",
	}
}

// recordFailedAttempt excludes a target that refused or broke an attempt from further
// attempts of the request.
func (h *Host) recordFailedAttempt(q *request, name string, remote bool, err error) {
	var notRun *target.NotRunError
	if errors.As(err, &notRun) {
		counters.Add("attempts_refused", 1)
		h.fleet.markFailed(name, time.Now())
		q.excluded = append(q.excluded, name)
		return
	}
	h.recordBrokenAttempt(q, name, remote)
}

// recordBrokenAttempt records that an attempt broke while the request was in flight.
func (h *Host) recordBrokenAttempt(q *request, name string, remote bool) {
	counters.Add("attempts_broken", 1)
	if !remote {
		h.fleet.removeRun(name, q.versionUse())
	}
	h.fleet.markFailed(name, time.Now())
	q.excluded = append(q.excluded, name)
}

// place decides where a request runs. The error is a refusal.
func (h *Host) place(ctx context.Context, q *request) (route.Decision, error) {
	holders := h.lookup(ctx, q.keys)
	now := time.Now()
	doc := q.active.document
	d := route.Place(route.Request{
		Model: q.namespace.Model, Version: q.namespace.Version, Adapter: q.namespace.Adapter,
		Tokens: len(q.tokens), BlockTokens: doc.Deployment.BlockTokens, BlockBytes: doc.Deployment.BlockBytes,
		Text: int64(len(q.tokens)) * bytesPerToken, ReplyBytes: int64(q.max) * replyBytes,
		MaxWait: doc.Limits.MaxWait.AsDuration(), Deadline: q.deadline, Excluded: q.excluded, NoForward: q.localOnly,
	}, h.candidates(q, holders, now), h.forwardPeers(q), doc.Weights, now, q.random)
	if r, ok := d.(route.Refuse); ok {
		counters.Add("placed_refused", 1)
		return nil, overloaded(r.RetryAfter)
	}
	countDecision(d)
	return d, nil
}

func countDecision(d route.Decision) {
	switch d.(type) {
	case route.Resident:
		counters.Add("placed_resident", 1)
	case route.Import:
		counters.Add("placed_import", 1)
	case route.Forward:
		counters.Add("placed_handover", 1)
	case route.Recompute:
		counters.Add("placed_recompute", 1)
	}
}

// enginesFor returns the engines of the region that the account may use. Engines
// that failed recently are left out, unless no other engine serves the version: a
// failure is only a hint, and a recovered engine must get work.
func (h *Host) enginesFor(q *request, now time.Time) []targetView {
	all := h.fleet.list(table.Engine, func(m *targetView) bool {
		return m.listed.Region == h.settings.Region && h.fleet.isStaying(m) && stateAllowedAt(q, m.listed) && q.mayContinueAt(m.listed)
	})
	open := slices.DeleteFunc(slices.Clone(all), func(m targetView) bool { return now.Before(m.avoidUntil) })
	if slices.ContainsFunc(open, q.servedBy) {
		return open
	}
	return all
}

// mayContinueAt reports whether a target may go on after the tokens emitted so far.
func (q *request) mayContinueAt(t table.ListedTarget) bool {
	return q.software == "" || q.software == t.Software
}

// servedBy reports whether an engine has loaded the request's weight version.
func (q *request) servedBy(m targetView) bool {
	return slices.ContainsFunc(m.report.Models, func(l target.Loaded) bool {
		return l.Model == q.namespace.Model && l.Version == q.namespace.Version
	})
}

// candidates returns the engines of the region that may run the request.
func (h *Host) candidates(q *request, holders []index.Holder, now time.Time) []route.Candidate {
	ms := h.enginesFor(q, now)
	q.noIsolatedEngine = false
	if q.isolated {
		all := len(ms)
		ms = h.withoutSuspects(q, ms, now)
		q.noIsolatedEngine = len(ms) == 0 && all > 0
	}
	resident := map[string]int{}
	for _, g := range holders {
		if g.Kind == index.Engine {
			resident[g.Target] = max(resident[g.Target], g.End)
		}
	}
	sources := h.sources(q, holders, now)
	cs := make([]route.Candidate, len(ms))
	for i := range ms {
		m := &ms[i]
		cs[i] = route.Candidate{
			Target: m.listed.Name, Loaded: m.report.Models, Reported: m.reportReceived,
			Running: m.report.Running, Waiting: m.report.Waiting, Tokens: m.report.Tokens,
			Sent: len(m.dispatches), SentTokens: totalTokens(m.dispatches), Prefill: m.report.PrefillRate, Decode: m.report.DecodeRate,
			Resident: resident[m.listed.Name], Sources: sources,
		}
	}
	return cs
}

// withoutSuspects removes the engines that run another suspect request.
func (h *Host) withoutSuspects(q *request, ms []targetView, now time.Time) []targetView {
	names := make([]string, len(ms))
	for i := range ms {
		names[i] = ms[i].listed.Name
	}
	clear := h.crashes.WithoutSuspects(q.fingerprint, names, now)
	return slices.DeleteFunc(ms, func(m targetView) bool { return !slices.Contains(clear, m.listed.Name) })
}

// sources returns the stores that hold blocks of the request and that the account
// may use.
func (h *Host) sources(q *request, holders []index.Holder, now time.Time) []route.Source {
	var out []route.Source
	for _, g := range holders {
		m, ok := h.fleet.get(g.Target)
		if g.Kind != index.Store || !ok || !h.fleet.isOpen(g.Target, now) || !stateAllowedAt(q, m.listed) {
			continue
		}
		s := route.Source{Store: g.Target, First: g.First, End: g.End, Reach: route.OtherZone}
		if m.listed.Zone == h.settings.Zone {
			s.Reach = route.InZone
		}
		s.Link = route.Link{Rate: h.storeRates.get(g.Target)}
		out = append(out, s)
	}
	return out
}

// stateAllowedAt reports whether the account's KV cache may be stored at a target.
func stateAllowedAt(q *request, t table.ListedTarget) bool {
	a := q.account
	return regionAllowed(a, t.Region) &&
		(len(a.Zones) == 0 || slices.Contains(a.Zones, t.Zone)) &&
		(t.Kind != table.Store || len(a.Stores) == 0 || slices.Contains(a.Stores, t.Name))
}

func regionAllowed(a *config.Account, region string) bool {
	return len(a.Regions) == 0 || slices.Contains(a.Regions, region)
}

func (h *Host) dispatch(ctx context.Context, q *request, name string, emitted []uint32) (*run, error) {
	e := h.fleet.engine(name)
	if e == nil {
		return nil, &target.NotRunError{Target: name, Reason: "it is no longer listed"}
	}
	attempt := newAttempt()
	if !h.crashes.Begin(q.fingerprint, attempt, name, time.Now(), q.parts...) {
		return nil, errSuspect
	}
	h.crashes.CancelOnQuarantine(attempt, func() { h.cancelQuarantinedRun(ctx, name, attempt) })
	h.fleet.addRun(name, q.versionUse(), len(q.tokens), time.Now())
	s, err := e.Generate(ctx, target.GenerateRequest{
		Attempt: attempt, Account: q.account.Name, Model: q.namespace.Model, Version: q.namespace.Version,
		Adapter: q.namespace.Adapter, Tokens: q.tokens, Keys: q.keys, Priority: q.priority,
		MaxTokens: q.max, Emitted: emitted, Software: q.software,
	})
	if err != nil {
		s, err = h.recoverStart(ctx, q, e, name, attempt, len(emitted), err)
	}
	if err != nil {
		return nil, err
	}
	return &run{
		host: h, ctx: ctx, account: q.account.Name, request: q, stream: s, target: name, attempt: attempt,
		id: runID(attempt, name), streamState: retry.Stream{Attempt: attempt, Version: q.namespace.Version, Software: q.software, Next: len(emitted)},
	}, nil
}

// recoverStart resumes a run whose start returned no reply, because the engine may
// run it nevertheless. Otherwise it returns cause.
func (h *Host) recoverStart(
	ctx context.Context, q *request, e target.Engine, name, attempt string, next int, cause error,
) (target.Stream, error) {
	var notRun *target.NotRunError
	if errors.As(cause, &notRun) || ctx.Err() != nil {
		h.fleet.removeRun(name, q.versionUse())
		h.crashes.End(attempt, crash.Inconclusive, time.Now())
		return nil, cause
	}
	s, err := resume(ctx, e, q.account.Name, attempt, next)
	if err == nil {
		return s, nil
	}
	// An engine that refuses connections died while the request was in flight. An
	// engine without the run may never have received the request.
	result := crash.Inconclusive
	if errors.As(err, &notRun) {
		result = crash.Crashed
	}
	h.crashes.End(attempt, result, time.Now())
	return nil, cause
}

// cancelQuarantinedRun cancels a run at its engine before it crashes the engine.
func (h *Host) cancelQuarantinedRun(ctx context.Context, name, attempt string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	if e := h.fleet.engine(name); e != nil {
		counters.Add("quarantine_cancels", 1)
		_ = e.Cancel(ctx, attempt) // a run that is not cancelled shows in its own result
	}
}

func overloaded(after time.Duration) *entry.RefusalError {
	return &entry.RefusalError{
		Status: http.StatusServiceUnavailable, Kind: entry.KindOverloaded, Run: entry.RanNo, Retry: after,
		Message: "no target can serve the request in time; retry after the given time",
	}
}
