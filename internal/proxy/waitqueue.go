package proxy

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/crash"
	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/homes"
	"sesamehill.example/sesamehill/internal/place"
	"sesamehill.example/sesamehill/internal/queue"
	"sesamehill.example/sesamehill/internal/room"
	"sesamehill.example/sesamehill/internal/safego"
	"sesamehill.example/sesamehill/internal/wire"
)

const (
	// waitLatencyFactor limits the wait for capacity to a multiple of the latency target.
	waitLatencyFactor = 2
	// maxWaitingPerService limits the requests that wait for one service.
	maxWaitingPerService = 512
	// dispatchDelay is the time for which changes of targets are collected before
	// one dispatch.
	dispatchDelay = 12 * time.Millisecond
)

// waitOutcome is the outcome of a wait for capacity: granted, noTarget, waitExpired,
// queueFull, overloaded or refused.
type waitOutcome interface{ waitOutcome() }

// granted carries the reserved target.
type granted struct{ reservation }

// noTarget says that no target can take the request.
type noTarget struct{}

// waitExpired says that the request waited too long.
type waitExpired struct{ queueTime time.Duration }

// queueFull says that too many other requests wait for the service.
type queueFull struct{}

const queueFullReason = "too many requests wait for the service"

// overloaded says that the request would get a target too late to be of use.
type overloaded struct{ queue.Refuse }

// refused says that the request must not run, as it or a part of its prompt crashes
// targets.
type refused struct{ crash.Refuse }

// onTrial says that the request waits for the trial of another one with the same part
// of the prompt. Those behind it in the queue need not wait.
type onTrial struct{}

func (granted) waitOutcome()     {}
func (noTarget) waitOutcome()    {}
func (waitExpired) waitOutcome() {}
func (queueFull) waitOutcome()   {}
func (overloaded) waitOutcome()  {}
func (refused) waitOutcome()     {}
func (onTrial) waitOutcome()     {}

// waiter is a request that waits for capacity.
type waiter struct {
	job    *job
	item   queue.Item
	result chan waitOutcome
	// missed is set once the request has found no room, onTrial if it waits for the trial
	// of another request instead.
	missed, onTrial bool
}

// waitQueue holds the requests that wait for capacity at the targets of a service.
type waitQueue struct {
	waiters []*waiter
	// rates holds the rates at which room was granted, by the key of the allowed regions.
	rates  map[string]*queue.Rates
	shares queue.Shares
	demand room.Demand
	pace   room.Pace
}

// waitQueue returns the queue of a service. The caller holds placementMu.
func (p *Proxy) waitQueue(service string) *waitQueue {
	q, ok := p.waitQueues[service]
	if !ok {
		q = &waitQueue{rates: map[string]*queue.Rates{}}
		p.waitQueues[service] = q
	}
	return q
}

// acquire reserves a target with capacity and waits for one if necessary.
func (p *Proxy) acquire(ctx context.Context, j *job) waitOutcome {
	j.costs = p.costsOf(j)
	w := &waiter{job: j, result: make(chan waitOutcome, 1), item: j.queueItem(wire.BootTime())}
	if !p.enqueue(w) {
		return queueFull{}
	}
	started := wire.BootTime()
	t := time.NewTimer(p.waitLimit(j))
	defer t.Stop()
	select {
	case v := <-w.result:
		p.Metrics.Observe("wait", wire.BootTime()-started)
		return v
	default:
	}
	j.log.Info("waiting for a target with capacity", zap.String("service", j.service.Name), zap.Int64("limit", p.waitLimit(j).Milliseconds()))
	defer func() { j.queueTime += wire.BootTime() - started }()
	select {
	case v := <-w.result:
		p.Metrics.Observe("wait", wire.BootTime()-started)
		return v
	case <-t.C:
	case <-ctx.Done():
	}
	return p.dequeue(w, wire.BootTime()-started)
}

// queueItem describes a request that is queued now.
func (j *job) queueItem(now time.Duration) queue.Item {
	i := queue.Item{
		Arrived: j.Arrived, LatencyTarget: j.route.LatencyTarget, Deadline: j.deadline, Latest: j.latestStart(now),
		Priority: j.priority(), First: j.binding.bound, Began: j.headerSent || j.attempts > 0, Size: 1,
	}
	if j.Prompt != nil {
		i.Size = max(j.Prompt.InputTokens+j.Prompt.MaxOutputTokens, 1)
	}
	return i
}

// accountName is the name of the client account; empty if there is none.
func (j *job) accountName() string {
	if j.account == nil {
		return ""
	}
	return j.account.Name
}

// enqueue adds a request and dispatches the queue of its service. It returns false
// if too many requests wait already.
func (p *Proxy) enqueue(w *waiter) bool {
	p.placementMu.Lock()
	defer p.placementMu.Unlock()
	q := p.waitQueue(w.job.service.Name)
	if len(q.waiters) >= maxWaitingPerService {
		return false
	}
	w.job.waitingSince = wire.BootTime()
	p.recordDemand(w.job, w.job.waitingSince)
	q.waiters = append(q.waiters, w)
	p.dispatch(q)
	return true
}

// dequeue removes a request from the queue. If a target was granted in the
// meantime, it returns this one.
func (p *Proxy) dequeue(w *waiter, queueTime time.Duration) waitOutcome {
	p.placementMu.Lock()
	defer p.placementMu.Unlock()
	select {
	case v := <-w.result:
		return v
	default:
	}
	q := p.waitQueue(w.job.service.Name)
	q.waiters = slices.DeleteFunc(q.waiters, func(other *waiter) bool { return other == w })
	q.observe(wire.BootTime()) // without a waiter there is no dispatch that does
	return waitExpired{queueTime: queueTime}
}

// DispatchSoon schedules a dispatch of the waiting requests after a change of the
// targets. Changes within dispatchDelay share one dispatch, as each one evaluates
// every target.
func (p *Proxy) DispatchSoon() {
	if p.dispatchPending.CompareAndSwap(false, true) {
		time.AfterFunc(dispatchDelay, func() { safego.Do(p.log, "dispatch", p.dispatchAll) })
	}
}

func (p *Proxy) dispatchAll() {
	p.dispatchPending.Store(false)
	p.placementMu.Lock()
	defer p.placementMu.Unlock()
	for _, q := range p.waitQueues {
		if len(q.waiters) > 0 {
			p.dispatch(q)
		}
	}
}

// dispatch tries to place the waiting requests of a service in queue order, and refuses
// those that would get room too late. The caller holds placementMu.
func (p *Proxy) dispatch(q *waitQueue) {
	now := wire.BootTime()
	waiters := q.inOrder(now)
	all := passes{}
	q.waiters = q.waiters[:0]
	for _, w := range waiters {
		pass := all.of(w.job.allowed)
		if !pass.Try(w.item) {
			w.missed = true
			q.waiters = append(q.waiters, w)
			continue
		}
		w.job.kept = all.keptRegions(w.item, w.job.allowed)
		v := p.safeChoose(w.job)
		_, w.onTrial = v.(onTrial)
		switch v := v.(type) {
		case nil:
			w.missed = true
			pass.Missed(&w.item)
			q.waiters = append(q.waiters, w)
			continue
		case onTrial:
			q.waiters = append(q.waiters, w)
			continue
		case granted:
			if w.job.free != (room.Load{}) {
				q.pace.Sent(w.job.load(), w.job.free)
			}
			all.granted(w.item, w.job.allowed, p.region(v.Zone))
			q.recordGrant(w, now)
		}
		w.result <- v
	}
	p.refusePredictedLate(q, now)
}

// inOrder returns the waiting requests in the order in which they should be placed.
func (q *waitQueue) inOrder(now time.Duration) []*waiter {
	items := make([]queue.Item, len(q.waiters))
	for i, w := range q.waiters {
		w.item.Overuse = q.shares.Overuse(w.job.accountName())
		items[i] = w.item
	}
	sorted := make([]*waiter, 0, len(q.waiters))
	for _, i := range queue.Order(items, now) {
		sorted = append(sorted, q.waiters[i])
	}
	return sorted
}

// latestStart is the latest time at which a request that is queued at a time is of use to its
// caller, who may leave a stream that has not begun after some latency targets.
func (j *job) latestStart(queued time.Duration) time.Duration {
	latest := queue.Latest(queued, j.deadline)
	if j.route.LatencyTarget > 0 && !j.binding.bound {
		latest = min(latest, queued+waitLatencyFactor*j.route.LatencyTarget)
	}
	return latest
}

// waitLimit returns how long a request may wait for capacity.
func (p *Proxy) waitLimit(j *job) time.Duration {
	now := wire.BootTime()
	if j.headerSent {
		return max(j.deadline-now, 0) // a stream that resumes after its deadline scores higher than a truncated one
	}
	return j.latestStart(now) - now
}

// safeChoose calls choose and recovers from a panic. The request then gets no
// target, so that it does not block those behind it in the queue.
func (p *Proxy) safeChoose(j *job) (v waitOutcome) {
	if !safego.Do(j.log, "placement", func() { v = p.choose(j) }) {
		return noTarget{}
	}
	return v
}

// eligible returns the targets that may take a request now. The time is the shortest wait
// for a target that may take no more than the rate limit that it names, or that has asked for
// a pause; zero if there is none.
func (p *Proxy) eligible(j *job) (targets []fleet.Status, limitedFor time.Duration) {
	serving := p.fleet.Serving(j.service.Name)
	targets = serving[:0]
	for _, s := range serving {
		switch o := p.checkTarget(j, s).(type) {
		case passedOver:
			continue
		case limited:
			if limitedFor == 0 || o.wait < limitedFor {
				limitedFor = o.wait
			}
			continue
		}
		targets = append(targets, s)
	}
	return preferResponsive(j, p.preferCertain(j, p.preferSettled(j, targets))), limitedFor
}

// targetCheck is why a target cannot take a request now: passedOver or limited; nil if it can.
type targetCheck interface{ targetCheck() }

// passedOver says why a target may not take the request.
type passedOver struct{ reason string }

// limited says that a target may take the request after a wait.
type limited struct{ wait time.Duration }

func (passedOver) targetCheck() {}
func (limited) targetCheck()    {}

// checkTarget finds out whether a target may take a request now.
func (p *Proxy) checkTarget(j *job, s fleet.Status) targetCheck {
	switch {
	case j.excluded[s.ID]:
		return passedOver{"it has failed or refused this request"}
	case p.boundElsewhere(j.binding, s.Target):
		return passedOver{"its software version did not begin the stream"}
	case !p.mayServe(j, s):
		return passedOver{p.restriction(s)}
	case p.weights.Loading(s.ID):
		return passedOver{"it loads other weights"}
	case p.outdated(j, s):
		return passedOver{"its weights are too old"}
	}
	if check := p.checkEvidence(j, s.ID, j.binding.bound); check != nil {
		return check
	}
	switch wait := p.sendWait(s); {
	case wait >= noTurn:
		return passedOver{"only other hosts send to it now"}
	case wait > 0:
		return limited{wait}
	}
	if region := p.region(s.Zone); slices.ContainsFunc(j.kept, func(r homes.Regions) bool { return r.Allows(region) }) {
		return limited{limitPollInterval}
	}
	return nil
}

// choose reserves a target with capacity. It returns noTarget if no target can take
// the request, and nil if the request must wait.
func (p *Proxy) choose(j *job) waitOutcome {
	switch d := p.crashes.Admit(j.fingerprint, time.Now(), j.parts...).(type) {
	case crash.Refuse:
		return refused{d}
	case crash.Wait:
		return onTrial{}
	}
	eligible, limitedFor := p.eligible(j)
	v := p.chooseFrom(j, eligible)
	j.setLimitedFor(eligible, limitedFor)
	if _, ok := v.(granted); !ok && limitedFor > 0 && limitedFor < p.waitLimit(j) {
		p.dispatchAfter(limitedFor)
		return nil
	}
	return v
}

// setLimitedFor records the wait for targets with a limit, if no other target is eligible: a
// refused caller need not wait for as long if another one has no room at the moment.
func (j *job) setLimitedFor(eligible []fleet.Status, limitedFor time.Duration) {
	j.limitedFor = 0
	if len(eligible) == 0 {
		j.limitedFor = limitedFor
	}
}

// chooseFrom reserves one of the eligible targets.
func (p *Proxy) chooseFrom(j *job, eligible []fleet.Status) waitOutcome {
	s := p.selectFrom(j, eligible)
	switch best := s.choice.(type) {
	case place.Selected:
		chosen, ok := p.reserve(j, s.targets[best.Index], s.candidates[best.Index], len(s.candidates))
		if !ok {
			p.DispatchSoon() // the next dispatch finds out why
			return nil
		}
		return granted{chosen}
	case place.Full:
		if j.zones != nil || j.sharesRoom() {
			p.dispatchAfter(zoneViewInterval) // what is open to the request changes with time alone
		}
		return nil
	}
	return noTarget{}
}

// selection is a choice among targets, with what it was based on.
type selection struct {
	choice     place.Choice
	targets    []fleet.Status
	candidates []place.Candidate
}

// selectFrom chooses among the eligible targets: in the zones that are open to the request,
// and if they have no room in those that take what overflows. It reserves nothing.
func (p *Proxy) selectFrom(j *job, eligible []fleet.Status) selection {
	j.zones, j.engines = p.planZones(j), len(eligible)
	if j.zones == nil {
		return p.selectAmong(j, eligible)
	}
	s := p.selectAmong(j, j.zones.open(p.leaving.own, eligible, j.zones.usual))
	if _, full := s.choice.(place.Full); full {
		s = p.selectAmong(j, j.zones.open(p.leaving.own, eligible, j.zones.overflow))
	}
	return s
}

// selectAmong chooses one of some targets.
func (p *Proxy) selectAmong(j *job, targets []fleet.Status) selection {
	lookups := map[string]CachedParts{}
	s := selection{targets: targets, candidates: make([]place.Candidate, len(targets))}
	for i, t := range targets {
		s.candidates[i] = p.candidate(j, t, lookups)
	}
	if j.sharesRoom() && len(targets) > 0 {
		return p.selectWithRoom(j, s)
	}
	s.choice = p.pickCandidate(j, s.candidates)
	return s
}
