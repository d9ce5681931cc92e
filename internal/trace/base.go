package trace

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/dgryski/go-rendezvous"
	"github.com/zeebo/blake3"

	"sesamehill.example/sesamehill/pkg/chain"
)

// baseline is a policy that picks an engine of the region and prefills the blocks
// that are not resident there. It forwards requests of an account that may not run
// in the region to the other region.
type baseline struct {
	view views
	pick func(c *call, engines []*engine) *engine
}

func (b *baseline) start(w *world) { b.view.start(w) }

func (b *baseline) place(c *call) {
	if !c.allowedIn(c.placingHost().region) {
		b.view.forward(c, b.place)
		return
	}
	e := b.pick(c, c.world.enginesIn(c.placingHost().region))
	if !c.queueWithinLimit(e) {
		c.abandon()
		return
	}
	c.recordDispatch(e, c.tokens)
	c.dispatch(e)
}

// enginesIn returns the engines of a region.
func (w *world) enginesIn(region int) []*engine {
	var es []*engine
	for _, e := range w.engines {
		if e.region == region {
			es = append(es, e)
		}
	}
	return es
}

// queueWithinLimit reports whether the queue of an engine, in the view of the host,
// is within the limit of the configuration document.
func (c *call) queueWithinLimit(e *engine) bool {
	view := c.placingHost().view.engines[e]
	wait := float64(view.report.Tokens+view.pendingTokens()) / prefillTokensPerSecond
	return wait <= c.world.doc.Limits.MaxWait.AsDuration().Seconds()
}

func roundRobin() policy {
	next := map[*host]int{}
	return &baseline{pick: func(c *call, engines []*engine) *engine {
		next[c.placingHost()]++
		return engines[next[c.placingHost()]%len(engines)]
	}}
}

// leastLoaded picks the engine with the shortest queue in the view of the host,
// including the host's own dispatches, and breaks ties at random.
func leastLoaded(c *call, engines []*engine) *engine {
	var best *engine
	fewestTokens := math.Inf(1)
	for _, i := range c.world.random.Perm(len(engines)) {
		m := c.placingHost().view.engines[engines[i]]
		if n := float64(m.report.Tokens + m.pendingTokens()); n < fewestTokens {
			best, fewestTokens = engines[i], n
		}
	}
	return best
}

// affinity picks an engine of the region by rendezvous hashing of the shard key.
func affinity() policy {
	rings := map[int]*rendezvous.Rendezvous{}
	return &baseline{pick: func(c *call, engines []*engine) *engine {
		region := c.placingHost().region
		if rings[region] == nil {
			var names []string
			for _, e := range engines {
				names = append(names, e.name)
			}
			rings[region] = rendezvous.New(names, func(s string) uint64 {
				h := blake3.Sum256([]byte(s))
				return binary.LittleEndian.Uint64(h[:])
			})
		}
		// A prompt shorter than a block has no key; all such prompts share one engine.
		var k chain.Key
		if len(c.keys) > 0 {
			k = c.keys[0]
		}
		name := rings[region].Lookup(string(k[:]))
		for _, e := range engines {
			if e.name == name {
				return e
			}
		}
		return engines[0]
	}}
}

// importer picks the least loaded engine and imports all blocks that any store has,
// also over the link between regions.
type importer struct{ view views }

func (p *importer) start(w *world) { p.view.start(w) }

func (p *importer) exportState(w *world, e *engine, c *call) { exportToRegion(w, e, c) }

func (p *importer) place(c *call) {
	if !c.allowedIn(c.placingHost().region) {
		p.view.forward(c, p.place)
		return
	}
	e := leastLoaded(c, c.world.enginesIn(c.placingHost().region))
	if !c.queueWithinLimit(e) {
		c.abandon()
		return
	}
	from := e.resident(c.keys)
	var source *store
	to := from
	for _, s := range c.world.stores {
		n := s.storedUntil(c.keys, from)
		if n > to || (n == to && source != nil && s.region == e.region) {
			source, to = s, n
		}
	}
	c.recordDispatch(e, c.tokens-to*c.world.doc.Deployment.BlockTokens)
	if source == nil {
		c.dispatch(e)
		return
	}
	c.importBlocks(source, e, from, to)
}

// oracle uses the present state of all engines, stores and links, without lag, and
// picks the placement with the lowest cost over all engines of both regions.
type oracle struct{ view views }

func (o *oracle) start(w *world) { o.view.start(w) }

func (o *oracle) exportState(w *world, e *engine, c *call) { exportToRegion(w, e, c) }

func (o *oracle) place(c *call) {
	w := c.world
	d := w.doc.Deployment
	lowestCost := math.Inf(1)
	var best *engine
	var source *store
	var from, to int
	consider := func(e *engine, s *store, first, last int) {
		wait, linkBytes := time.Duration(0), int64(0)
		if e.region != c.host.region {
			wait = w.links[c.host.region].transferTime(w.now, int64(c.tokens)*promptTokenBytes)
			linkBytes = int64(c.tokens)*promptTokenBytes + int64(c.output)*outputTokenBytes
		}
		if s != nil {
			bytes := int64(last-first) * d.BlockBytes
			wait += s.out.transferTime(w.now, bytes)
			if s.region != e.region {
				wait += w.links[s.region].transferTime(w.now, bytes)
				linkBytes += bytes
			}
		}
		queue := seconds(float64(e.queuedTokens()) / prefillTokensPerSecond)
		uncached := c.tokens - last*d.BlockTokens
		t := max(wait, queue).Seconds() + float64(uncached)/prefillTokensPerSecond
		cost := t*w.doc.Weights.FirstToken + float64(uncached)/1e3*w.doc.Weights.Recompute + float64(linkBytes)/1e6*w.doc.Weights.LinkTraffic
		if queue <= w.doc.Limits.MaxWait.AsDuration() && cost < lowestCost {
			lowestCost, best, source, from, to = cost, e, s, first, last
		}
	}
	for _, i := range w.random.Perm(len(w.engines)) {
		e := w.engines[i]
		if !c.allowedIn(e.region) {
			continue
		}
		n := e.resident(c.keys)
		consider(e, nil, n, n)
		for _, s := range w.stores {
			if end := s.storedUntil(c.keys, n); end > n {
				consider(e, s, n, end)
			}
		}
	}
	switch {
	case best == nil:
		c.abandon()
	case best.region != c.host.region:
		c.forwardedTo = w.randomHost(best.region)
		c.sendToOtherRegion(func() { c.run(source, best, from, to) })
	default:
		c.run(source, best, from, to)
	}
}

func (c *call) run(s *store, e *engine, from, to int) {
	if s == nil {
		c.dispatch(e)
		return
	}
	c.importBlocks(s, e, from, to)
}

// abandon ends an admitted request without running it.
func (c *call) abandon() {
	h := c.host
	c.refuse()
	h.admit.Done(c.id, c.world.time())
	c.world.after(0, func() { c.world.startAdmitted(h) })
}

// randomHost returns a random host of a region.
func (w *world) randomHost(region int) *host {
	var hosts []*host
	for _, h := range w.hosts {
		if h.region == region {
			hosts = append(hosts, h)
		}
	}
	return hosts[w.random.IntN(len(hosts))]
}
