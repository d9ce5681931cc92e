package proxy

import (
	"context"
	"time"

	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/crash"
	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/place"
	"sesamehill.example/sesamehill/internal/queue"
	"sesamehill.example/sesamehill/internal/safego"
	"sesamehill.example/sesamehill/internal/wire"
)

const (
	// waitLatencyFactor limits the wait for capacity to a multiple of the latency
	// target of the route, waitDeadlineShare to a share of the time until the
	// deadline. A caller that is refused then still has time to retry.
	waitLatencyFactor = 2.0
	waitDeadlineShare = 0.4
	// maxWaitingPerService limits the requests that wait for one service.
	maxWaitingPerService = 512
	// dispatchDelay is the time for which changes of targets are collected before
	// one dispatch.
	dispatchDelay = 12 * time.Millisecond
	// maxMisses is the number of waiting requests without a target after which a
	// dispatch stops trying the others.
	maxMisses = 4
)

// waitOutcome is the outcome of a wait for capacity: granted, noTarget, waitExpired or
// refused.
type waitOutcome interface{ waitOutcome() }

// granted carries the reserved target.
type granted struct{ reservation }

// noTarget says that no target can take the request.
type noTarget struct{}

// waitExpired says that the request waited too long or that too many others wait.
type waitExpired struct{ queueTime time.Duration }

// refused says that the request must not run, as it or a part of its prompt crashes
// targets.
type refused struct{ crash.Refuse }

// onTrial says that the request waits for the trial of another one with the same part
// of the prompt. Those behind it in the queue need not wait.
type onTrial struct{}

func (granted) waitOutcome()     {}
func (noTarget) waitOutcome()    {}
func (waitExpired) waitOutcome() {}
func (refused) waitOutcome()     {}
func (onTrial) waitOutcome()     {}

// waiter is a request that waits for capacity.
type waiter struct {
	job    *job
	item   queue.Item
	result chan waitOutcome
}

// acquire reserves a target with capacity and waits for one if necessary.
func (p *Proxy) acquire(ctx context.Context, j *job) waitOutcome {
	j.costs = p.costsOf(j)
	w := &waiter{job: j, result: make(chan waitOutcome, 1), item: j.queueItem()}
	if !p.enqueue(w) {
		return waitExpired{}
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

// queueItem returns what the order of the queue knows of a request.
func (j *job) queueItem() queue.Item {
	return queue.Item{Arrived: j.Arrived, LatencyTarget: j.route.LatencyTarget, Priority: j.priority(), First: j.binding.bound}
}

// enqueue adds a request and dispatches the queue of its service. It returns false
// if too many requests wait already.
func (p *Proxy) enqueue(w *waiter) bool {
	p.placementMu.Lock()
	defer p.placementMu.Unlock()
	name := w.job.service.Name
	if len(p.waitQueues[name]) >= maxWaitingPerService {
		return false
	}
	w.job.waitingSince = wire.BootTime()
	p.waitQueues[name] = append(p.waitQueues[name], w)
	p.dispatch(name)
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
	name := w.job.service.Name
	remaining := p.waitQueues[name][:0]
	for _, other := range p.waitQueues[name] {
		if other != w {
			remaining = append(remaining, other)
		}
	}
	p.waitQueues[name] = remaining
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
	for name, list := range p.waitQueues {
		if len(list) > 0 {
			p.dispatch(name)
		}
	}
}

// dispatch tries to place the waiting requests of a service in queue order. The
// caller holds placementMu.
func (p *Proxy) dispatch(name string) {
	list := p.waitQueues[name]
	items := make([]queue.Item, len(list))
	for i, w := range list {
		items[i] = w.item
	}
	decided := make([]bool, len(list))
	misses := 0
	for _, i := range queue.Order(items, wire.BootTime()) {
		if misses >= maxMisses {
			break
		}
		v := p.safeChoose(list[i].job)
		switch v.(type) {
		case nil:
			misses++
			continue
		case onTrial:
			continue
		}
		list[i].result <- v
		decided[i] = true
	}
	remaining := list[:0]
	for i, w := range list {
		if !decided[i] {
			remaining = append(remaining, w)
		}
	}
	p.waitQueues[name] = remaining
}

// waitLimit returns how long a request may wait for capacity.
func (p *Proxy) waitLimit(j *job) time.Duration {
	remaining := max(j.deadline-wire.BootTime(), 0)
	if j.headerSent {
		return remaining // a stream that resumes after its deadline scores higher than a truncated one
	}
	limit := time.Duration(waitDeadlineShare * float64(remaining))
	if j.route.LatencyTarget > 0 && !j.binding.bound {
		limit = min(limit, time.Duration(waitLatencyFactor*float64(j.route.LatencyTarget)))
	}
	return limit
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
	return p.preferSettled(j, targets), limitedFor
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
	case !j.binding.allows(s.Target):
		return passedOver{"its software version did not begin the stream"}
	case !p.mayServe(j, s):
		return passedOver{p.restriction(s)}
	case p.weights.Loading(s.ID):
		return passedOver{"it loads other weights"}
	case p.outdated(j, s):
		return passedOver{"its weights are too old"}
	}
	if wait := p.sendWait(s); wait > 0 {
		return limited{wait}
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
	j.limitedFor = limitedFor
	if _, ok := v.(granted); !ok && limitedFor > 0 && limitedFor < p.waitLimit(j) {
		p.dispatchAfter(limitedFor)
		return nil
	}
	return v
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
		if j.zones != nil {
			p.dispatchAfter(zoneViewInterval)
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
	j.zones = p.planZones(j)
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
	s.choice = p.pickCandidate(j, s.candidates)
	return s
}
