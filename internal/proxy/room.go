package proxy

import (
	"time"

	"sesamehill.example/sesamehill/internal/place"
	"sesamehill.example/sesamehill/internal/room"
	"sesamehill.example/sesamehill/internal/wire"
)

// keep returns the targets for which ok is set.
func (s selection) keep(ok []bool) selection {
	var out selection
	for i, k := range ok {
		if k {
			out.targets, out.candidates = append(out.targets, s.targets[i]), append(out.candidates, s.candidates[i])
		}
	}
	return out
}

// engines returns what the targets hold and can hold.
func (s selection) engines(k place.Costs) []room.Engine {
	out := make([]room.Engine, len(s.candidates))
	for i, c := range s.candidates {
		out[i] = room.Engine{
			Held:  room.Load{Calls: float64(c.Calls), Tokens: float64(c.Tokens)},
			Limit: room.Load{Calls: float64(c.Slots), Tokens: k.MemoryShare * float64(c.Room)},
		}
	}
	return out
}

// selectWithRoom chooses an engine whose room is not reserved for more urgent requests, and
// rather one that is not about to be full. While room is short it chooses none once the host
// has used its share.
func (p *Proxy) selectWithRoom(j *job, s selection) selection {
	now, q := wire.BootTime(), p.waitQueue(j.service.Name)
	demand := &q.demand
	reserve := demand.Reserve(j.kind(now), p.hosts(), j.engines, now).Scale(j.remainingWaitShare(now))
	engines := s.engines(j.costs)
	admitted := s.keep(room.Admit(engines, j.load(), reserve))
	if len(admitted.targets) == 0 {
		p.Metrics.Count("kept out by reserve")
		return selection{choice: place.Full{}}
	}
	if wait := q.paceWait(j, s, engines, p.hosts(), now); wait > 0 {
		p.Metrics.Count("kept out by pace")
		p.dispatchAfter(wait)
		s.choice = place.Full{}
		return s
	}
	preferred := admitted.keep(room.Admit(admitted.engines(j.costs), j.load(), demand.Unseen(p.hosts(), j.engines, now)))
	preferred.choice = p.pickCandidate(j, preferred.candidates)
	if _, ok := preferred.choice.(place.Selected); ok {
		return preferred
	}
	admitted.choice = p.pickCandidate(j, admitted.candidates)
	return admitted
}

// paceWait returns how long the host has to wait until it may send a request to one of some
// engines, because room is short and other hosts see the same room.
func (q *waitQueue) paceWait(j *job, s selection, engines []room.Engine, hosts int, now time.Duration) time.Duration {
	j.free = room.Load{}
	free := room.Free(engines)
	if !room.Short(free, q.demand.Unseen(hosts, 1, now)) {
		return 0
	}
	own, total := 0, 0
	for _, t := range s.targets {
		own += t.InFlight.Calls
		total += t.InFlight.Calls + t.OthersInFlight.Calls
	}
	j.free = free
	return q.pace.Wait(j.load(), free, room.Share(own, total, hosts), now)
}

// sharesRoom reports whether the rules of package room apply to a request. Where a few hosts
// share the engines, they receive the loads of each other early enough, and the cost decides.
func (j *job) sharesRoom() bool {
	return j.Prompt != nil && j.service.Engine != nil && j.costs.Choices > 0 && !j.binding.bound
}

// remainingWaitShare is the remaining share of the time for which a request may wait. The
// reserve shrinks with it, so that no request is kept out forever.
func (j *job) remainingWaitShare(now time.Duration) float64 {
	limit := j.latestStart(j.waitingSince) - j.waitingSince
	if j.waitingSince == 0 || limit <= 0 {
		return 0
	}
	return max(1-float64(now-j.waitingSince)/float64(limit), 0)
}

// load is the load of a request on an engine.
func (j *job) load() room.Load {
	return room.Load{Calls: 1, Tokens: float64(j.Prompt.InputTokens + j.Prompt.MaxOutputTokens)}
}

// kind is what the caller needs. A request past its latency target yields to those that can
// still meet theirs, at all hosts: its target becomes its deadline.
func (j *job) kind(now time.Duration) room.Kind {
	target := j.route.LatencyTarget
	if now > j.Arrived+target {
		target = max(target, j.deadline-j.Arrived)
	}
	return room.Kind{Priority: j.priority(), Target: target}
}

// recordDemand records a request that arrives.
func (p *Proxy) recordDemand(j *job, now time.Duration) {
	if j.Prompt != nil && j.deliveries == 0 {
		p.waitQueue(j.service.Name).demand.Arrived(j.kind(j.Arrived), j.load(), now)
	}
}
