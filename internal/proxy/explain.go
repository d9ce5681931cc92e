package proxy

import (
	"net/http"
	"slices"
	"time"

	"sesamehill.example/sesamehill/internal/crash"
	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/place"
	"sesamehill.example/sesamehill/internal/queue"
	"sesamehill.example/sesamehill/internal/wire"
	"sesamehill.example/sesamehill/internal/zones"
)

// Outcome is what would happen to a request now.
type Outcome string

// Outcomes.
const (
	// Sent means that the request would go to Explanation.Target.
	Sent Outcome = "sent"
	// Waits means that it would wait in the queue of the service.
	Waits Outcome = "waits"
	// Rejected means that it would be answered with Explanation.Refusal.
	Rejected Outcome = "refused"
)

// littleRoomReason says why a target with a free slot may be no candidate.
const littleRoomReason = "too little room, after what is kept for more urgent requests and for calls of other hosts"

// Explanation says where a request would go now, and why. It does not say what happens to
// the request after that.
type Explanation struct {
	Route   string  `json:"route,omitempty"`
	Service string  `json:"service,omitempty"`
	Account string  `json:"account,omitempty"`
	Outcome Outcome `json:"outcome"`
	Target  string  `json:"target,omitempty"`
	// Place is the position among the requests that wait for the service, from 1, and
	// Waiting their number with this one. The outcome is that of its place in the order.
	Place   int `json:"place,omitempty"`
	Waiting int `json:"waiting,omitempty"`
	// LimitMs is the longest wait for a target in milliseconds; Refusal says what follows it.
	LimitMs int64             `json:"limit,omitempty"`
	Refusal *Refusal          `json:"refusal,omitempty"`
	Targets []ExplainedTarget `json:"targets,omitempty"`
}

// Refusal is an answer without a target.
type Refusal struct {
	Status int    `json:"status"`
	Reason string `json:"reason"`
	// RetryMs is the Retry-After time in milliseconds; zero if the answer has none.
	RetryMs int64 `json:"retry,omitempty"`
}

// ExplainedTarget is a target of the service with the data on which the choice is based.
type ExplainedTarget struct {
	ID   string `json:"target"`
	Zone string `json:"zone"`
	// Reason says why the target was not chosen; empty for the chosen one.
	Reason string `json:"reason,omitempty"`
	// CostMs is the expected cost in milliseconds, Rank the position for the affinity key
	// from 0. Only candidates have both.
	CostMs    float64 `json:"cost,omitempty"`
	Rank      int     `json:"rank,omitempty"`
	Candidate bool    `json:"candidate"`
	// WaitMs is the time until the target takes requests of this host again, in milliseconds.
	WaitMs int64 `json:"wait,omitempty"`
	// Leaving is the decision on its zone; nil if all zones are open.
	Leaving *zones.Verdict `json:"leaving,omitempty"`
}

// Explain finds out where a request would go now, with the decisions that requests run
// through. It sends and reserves nothing.
func (p *Proxy) Explain(call *Call) Explanation {
	call.Arrived = wire.BootTime()
	j := &job{Call: call, excluded: map[string]bool{}, log: p.log}
	e := Explanation{Outcome: Rejected}
	rejected := p.findRoute(j, call.Host, call.URL.Path)
	if j.route != nil {
		e.Route = j.route.Name
	}
	if j.account != nil {
		e.Account = j.account.Name
	}
	if rejected != nil {
		e.Refusal = &Refusal{rejected.status, rejected.reason, rejected.retryAfter.Milliseconds()}
		return e
	}
	e.Service = j.service.Name
	if len(call.Body) > j.maxBodyBytes() {
		e.Refusal = &Refusal{Status: http.StatusRequestEntityTooLarge, Reason: bodyTooLargeReason}
		return e
	}
	j.setDeadline(p.draining.Load())
	j.fingerprint, j.parts = hashRequest(j), hashParts(j.Prompt)
	j.costs, j.waitingSince = p.costsOf(j), call.Arrived
	if j.allowed.Excluded() {
		e.Refusal = &Refusal{http.StatusServiceUnavailable, excludedReason, excludedRetryAfter.Milliseconds()}
		return e
	}
	switch d := p.crashes.Admit(j.fingerprint, time.Now(), j.parts...).(type) {
	case crash.Refuse:
		e.Refusal = &Refusal{http.StatusServiceUnavailable, "quarantined: " + d.Reason, d.RetryAfter.Milliseconds()}
		return e
	case crash.Wait:
		e.Outcome = Waits
		e.Refusal = &Refusal{Status: http.StatusServiceUnavailable, Reason: "the trial of a request with the same part of the prompt does not end in time"}
		return e
	}
	p.explainChoice(j, &e)
	return e
}

// explainChoice explains the choice of a target.
func (p *Proxy) explainChoice(j *job, e *Explanation) {
	p.placementMu.Lock()
	defer p.placementMu.Unlock()
	q := p.waitQueue(j.service.Name)
	if len(q.waiters) >= maxWaitingPerService {
		e.Refusal = &Refusal{http.StatusServiceUnavailable, queueFullReason, retryAfterMin.Milliseconds()}
		return
	}
	predicted := q.explainPlace(j, e)
	demand := q.demand
	q.demand = demand.Clone()
	p.recordDemand(j, j.waitingSince)
	pace := q.pace
	defer func() { q.demand, q.pace = demand, pace }()
	eligible, limitedFor := p.eligible(j)
	s := p.selectFrom(j, eligible)
	j.setLimitedFor(eligible, limitedFor)
	best, sent := s.choice.(place.Selected)
	_, full := s.choice.(place.Full)
	retry := max(retryAfterMin, j.limitedFor).Milliseconds()
	switch {
	case sent:
		e.Outcome, e.Target = Sent, s.targets[best.Index].ID
	case full, limitedFor > 0 && limitedFor < p.waitLimit(j):
		e.Outcome, e.LimitMs = Waits, p.waitLimit(j).Milliseconds()
		e.Refusal = &Refusal{http.StatusServiceUnavailable, "no target had capacity within " + p.waitLimit(j).Round(time.Millisecond).String(), retry}
		if v, refused := predicted.(queue.Refuse); refused {
			e.Outcome, e.LimitMs = Rejected, 0
			e.Refusal = &Refusal{http.StatusServiceUnavailable, predictedWaitReason(v), max(v.RetryAfter, limitedFor).Milliseconds()}
		}
	default:
		e.Refusal = &Refusal{http.StatusServiceUnavailable, p.noTargetReason(j), retry}
	}
	e.Targets = p.explainTargets(j, s, eligible, e.Target)
}

// explainTargets explains the choice for each target of the service, of which one is chosen
// if chosen is not empty.
func (p *Proxy) explainTargets(j *job, s selection, eligible []fleet.Status, chosen string) []ExplainedTarget {
	var out []ExplainedTarget
	evaluations := j.evaluate(s.candidates)
	for _, t := range p.fleet.Serving(j.service.Name) {
		i := indexOf(s.targets, t.ID)
		if i < 0 {
			out = append(out, p.explainOther(j, t, indexOf(eligible, t.ID) >= 0))
			continue
		}
		out = append(out, ExplainedTarget{
			ID: t.ID, Zone: t.Zone, Leaving: j.zones.of(t.Zone), Candidate: true, CostMs: evaluations[i].CostMs, Rank: evaluations[i].Rank,
			Reason: candidateReason(s.candidates[i], evaluations[i], t.ID == chosen),
		})
	}
	return out
}

// explainPlace finds the place of a request among those that wait, and judges the wait that
// it predicts there.
func (q *waitQueue) explainPlace(j *job, e *Explanation) queue.Verdict {
	now := wire.BootTime()
	items := make([]queue.Item, 0, len(q.waiters)+1)
	for _, w := range q.waiters {
		items = append(items, w.item)
	}
	item := j.queueItem(now)
	item.Overuse = q.shares.Overuse(j.accountName())
	items = append(items, item)
	e.Waiting = len(items)
	key := j.allowed.Key()
	var before queue.Waiting
	for n, i := range queue.Order(items, now) {
		if i == len(q.waiters) {
			e.Place = n + 1
			break
		}
		if w := q.waiters[i]; !w.onTrial && w.job.allowed.Key() == key {
			before.Add(items[i])
		}
	}
	return queue.Judge(item, q.ratesOf(key).Wait(before, item, now), now, 0)
}

// indexOf returns the index of a target; -1 if it is not among them.
func indexOf(targets []fleet.Status, id string) int {
	return slices.IndexFunc(targets, func(s fleet.Status) bool { return s.ID == id })
}

// of returns the verdict on a zone; nil if there is none.
func (z *zonePlan) of(zone string) *zones.Verdict {
	if z == nil {
		return nil
	}
	v, ok := z.verdicts[zone]
	if !ok {
		return nil
	}
	return &v
}

// explainOther explains why a target was no candidate.
func (p *Proxy) explainOther(j *job, t fleet.Status, eligible bool) ExplainedTarget {
	out := ExplainedTarget{ID: t.ID, Zone: t.Zone, Leaving: j.zones.of(t.Zone)}
	switch o := p.checkTarget(j, t).(type) {
	case passedOver:
		out.Reason = o.reason
	case limited:
		out.Reason, out.WaitMs = "it asked for a pause, or its rate is used up", o.wait.Milliseconds()
	default:
		switch {
		case !eligible:
			out.Reason = "new streams go to the settled software version"
		case out.Leaving != nil && !out.Leaving.Reason.Open():
			out.Reason = "zone: " + string(out.Leaving.Reason)
		default:
			out.Reason = littleRoomReason
		}
	}
	return out
}

// evaluate returns the evaluation of each candidate.
func (j *job) evaluate(cs []place.Candidate) []place.Evaluation {
	if j.Prompt == nil {
		return place.EvaluateTargets(cs, j.costs)
	}
	return place.EvaluateEngines(j.work(), cs, j.costs)
}

// candidateReason says why a candidate was not chosen.
func candidateReason(c place.Candidate, v place.Evaluation, chosen bool) string {
	switch {
	case chosen:
		return ""
	case !v.HasRoom:
		return "full"
	case c.Down:
		return "it accepts no connections"
	case c.Stale:
		return "its weights are older than the newest; another one costs less or ranks before it"
	}
	return "another one costs less or ranks before it"
}
