package gate

import (
	"context"
	"time"

	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/guard"
	"sesamehill.example/sesamehill/internal/place"
	"sesamehill.example/sesamehill/internal/queue"
	"sesamehill.example/sesamehill/internal/wire"
)

const (
	// waitGoals bounds the wait for room in multiples of the route's goal, and
	// waitShare as a share of the time that the request has; a caller that is
	// refused then can still come back.
	waitGoals = 2.0
	waitShare = 0.4
	// maxWaiting bounds the requests that wait for one service.
	maxWaiting = 512
	// kickDelay is the time in which changes of belief gather.
	kickDelay = 12 * time.Millisecond
	// maxMisses is the number of waiting requests without room after which the
	// rest is not tried.
	maxMisses = 4
)

// verdict is the end of a wait: granted, unplaced or expired.
type verdict interface{ verdict() }

// granted carries the target.
type granted struct{ choice }

// unplaced says that no target is left for the request.
type unplaced struct{}

// expired says that the wait was too long.
type expired struct{ waited time.Duration }

func (granted) verdict()  {}
func (unplaced) verdict() {}
func (expired) verdict()  {}

// waiter is a request that waits for room.
type waiter struct {
	job    *job
	item   queue.Item
	result chan verdict
}

// acquire returns a target with room, and waits for one if need be.
func (g *Gate) acquire(ctx context.Context, j *job) verdict {
	j.costs = g.costs.For(g.hosts())
	w := &waiter{job: j, result: make(chan verdict, 1), item: queue.Item{
		Arrived: j.Arrived, Goal: j.route.Goal, Priority: j.priority(),
	}}
	if !g.enqueue(w) {
		return expired{}
	}
	begin := wire.Boot()
	t := time.NewTimer(g.waitLimit(j))
	defer t.Stop()
	select {
	case v := <-w.result:
		g.Metrics.Time("wait", wire.Boot()-begin)
		return v
	default:
	}
	j.log.Info("waiting", zap.String("service", j.service.Name), zap.Int64("limit", g.waitLimit(j).Milliseconds()))
	defer func() { j.waited += wire.Boot() - begin }()
	select {
	case v := <-w.result:
		g.Metrics.Time("wait", wire.Boot()-begin)
		return v
	case <-t.C:
	case <-ctx.Done():
	}
	return g.leave(w, wire.Boot()-begin)
}

// enqueue adds a request and places those that find room. It returns false if
// too many wait already.
func (g *Gate) enqueue(w *waiter) bool {
	g.placing.Lock()
	defer g.placing.Unlock()
	name := w.job.service.Name
	if len(g.waiting[name]) >= maxWaiting {
		return false
	}
	w.job.waiting = wire.Boot()
	g.waiting[name] = append(g.waiting[name], w)
	g.dispatch(name)
	return true
}

// leave takes a request out of the queue. A target that was granted meanwhile is
// used.
func (g *Gate) leave(w *waiter, waited time.Duration) verdict {
	g.placing.Lock()
	defer g.placing.Unlock()
	select {
	case v := <-w.result:
		return v
	default:
	}
	name := w.job.service.Name
	kept := g.waiting[name][:0]
	for _, other := range g.waiting[name] {
		if other != w {
			kept = append(kept, other)
		}
	}
	g.waiting[name] = kept
	return expired{waited: waited}
}

// Kick places waiting requests soon after a change of belief. Changes that come
// together are answered together, as each look weighs every target.
func (g *Gate) Kick() {
	if g.kicked.CompareAndSwap(false, true) {
		time.AfterFunc(kickDelay, func() { guard.Do(g.log, "dispatch", g.dispatchAll) })
	}
}

func (g *Gate) dispatchAll() {
	g.kicked.Store(false)
	g.placing.Lock()
	defer g.placing.Unlock()
	for name, list := range g.waiting {
		if len(list) > 0 {
			g.dispatch(name)
		}
	}
}

// dispatch places the waiting requests of a service in their order. The caller
// holds placing.
func (g *Gate) dispatch(name string) {
	list := g.waiting[name]
	items := make([]queue.Item, len(list))
	for i, w := range list {
		items[i] = w.item
	}
	settled := make([]bool, len(list))
	misses := 0
	for _, i := range queue.Order(items, wire.Boot()) {
		if misses >= maxMisses {
			break
		}
		v := g.decide(list[i].job)
		if v == nil {
			misses++
			continue
		}
		list[i].result <- v
		settled[i] = true
	}
	kept := list[:0]
	for i, w := range list {
		if !settled[i] {
			kept = append(kept, w)
		}
	}
	g.waiting[name] = kept
}

func (g *Gate) waitLimit(j *job) time.Duration {
	left := max(j.end-wire.Boot(), 0)
	if j.begun {
		return left // a stream that goes on late is worth more than one that is cut
	}
	limit := time.Duration(waitShare * float64(left))
	if j.route.Goal > 0 {
		limit = min(limit, time.Duration(waitGoals*float64(j.route.Goal)))
	}
	return limit
}

// decide chooses a target. A request whose choice panics gets none, so that it
// does not stay in the way of those that wait behind it.
func (g *Gate) decide(j *job) (v verdict) {
	if !guard.Do(j.log, "placement", func() { v = g.choose(j) }) {
		return unplaced{}
	}
	return v
}

// choose returns a target with room and reserves it, unplaced, or nil if the
// request must wait.
func (g *Gate) choose(j *job) verdict {
	serving := g.fleet.Serving(j.service.Name)
	open := serving[:0]
	for _, s := range serving {
		if !j.tried[s.ID] && !g.weights.Loading(s.ID) && !g.outdated(j, s) {
			open = append(open, s)
		}
	}
	look := map[string]Holdings{}
	cs := make([]place.Candidate, len(open))
	for i, s := range open {
		cs[i] = g.candidate(j, s, look)
	}
	switch best := g.best(j, cs).(type) {
	case place.At:
		return granted{g.reserve(j, open[best.Index], cs[best.Index], len(cs))}
	case place.Full:
		return nil
	}
	return unplaced{}
}
