package trace

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/dgryski/go-rendezvous"
	"github.com/zeebo/blake3"

	"sesamehill.example/sesamehill/pkg/chain"
)

// baseline is a policy that picks an engine of the region and computes what is
// not resident. Requests of an account that may not run there go to the other
// region.
type baseline struct {
	view views
	pick func(c *call, engines []*engine) *engine
}

func (b *baseline) start(w *world) { b.view.start(w) }

func (b *baseline) place(c *call) {
	if !c.allowed(c.at().region) {
		b.view.away(c, b.place)
		return
	}
	e := b.pick(c, c.world.local(c.at().region))
	if !c.patient(e) {
		c.giveUp()
		return
	}
	c.sent(e, c.tokens)
	c.dispatch(e)
}

// local returns the engines of a region.
func (w *world) local(region int) []*engine {
	var es []*engine
	for _, e := range w.engines {
		if e.region == region {
			es = append(es, e)
		}
	}
	return es
}

// patient reports whether the known queue of an engine is within the limit that
// the document sets.
func (c *call) patient(e *engine) bool {
	m := c.at().view.engines[e]
	wait := float64(m.report.Tokens+m.sentTokens()) / prefillRate
	return wait <= c.world.doc.Limits.MaxWait.AsDuration().Seconds()
}

func roundRobin() policy {
	next := map[*host]int{}
	return &baseline{pick: func(c *call, engines []*engine) *engine {
		next[c.at()]++
		return engines[next[c.at()]%len(engines)]
	}}
}

// leastLoaded takes the shortest queue that the host knows, its own dispatches
// included, and breaks ties at random.
func leastLoaded(c *call, engines []*engine) *engine {
	var best *engine
	least := math.Inf(1)
	for _, i := range c.world.random.Perm(len(engines)) {
		m := c.at().view.engines[engines[i]]
		if n := float64(m.report.Tokens + m.sentTokens()); n < least {
			best, least = engines[i], n
		}
	}
	return best
}

// affinity hashes the first piece over the region's engines.
func affinity() policy {
	rings := map[int]*rendezvous.Rendezvous{}
	return &baseline{pick: func(c *call, engines []*engine) *engine {
		region := c.at().region
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
		// A prompt shorter than a piece has no key; all of these share one engine.
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

// importer takes the least loaded engine and imports whatever any store has,
// over the link too.
type importer struct{ view views }

func (p *importer) start(w *world) { p.view.start(w) }

func (p *importer) keep(w *world, e *engine, c *call) { export(w, e, c) }

func (p *importer) place(c *call) {
	if !c.allowed(c.at().region) {
		p.view.away(c, p.place)
		return
	}
	e := leastLoaded(c, c.world.local(c.at().region))
	if !c.patient(e) {
		c.giveUp()
		return
	}
	from := e.resident(c.keys)
	var source *store
	to := from
	for _, s := range c.world.stores {
		n := s.holds(c.keys, from)
		if n > to || (n == to && source != nil && s.region == e.region) {
			source, to = s, n
		}
	}
	c.sent(e, c.tokens-to*c.world.doc.Deployment.BlockTokens)
	if source == nil {
		c.dispatch(e)
		return
	}
	c.fetch(source, e, from, to)
}

// oracle knows the state of all engines, stores and links without lag, and takes
// the lowest cost over all engines of both regions.
type oracle struct{ view views }

func (o *oracle) start(w *world) { o.view.start(w) }

func (o *oracle) keep(w *world, e *engine, c *call) { export(w, e, c) }

func (o *oracle) place(c *call) {
	w := c.world
	d := w.doc.Deployment
	least := math.Inf(1)
	var best *engine
	var source *store
	var from, to int
	consider := func(e *engine, s *store, first, last int) {
		wait, paid := time.Duration(0), int64(0)
		if e.region != c.host.region {
			wait = w.links[c.host.region].wait(w.now, int64(c.tokens)*tokenText)
			paid = int64(c.tokens)*tokenText + int64(c.output)*tokenReply
		}
		if s != nil {
			bytes := int64(last-first) * d.BlockBytes
			wait += s.out.wait(w.now, bytes)
			if s.region != e.region {
				wait += w.links[s.region].wait(w.now, bytes)
				paid += bytes
			}
		}
		queue := seconds(float64(e.ahead()) / prefillRate)
		left := c.tokens - last*d.BlockTokens
		t := max(wait, queue).Seconds() + float64(left)/prefillRate
		cost := t*w.doc.Weights.FirstToken + float64(left)/1e3*w.doc.Weights.Recompute + float64(paid)/1e6*w.doc.Weights.LinkTraffic
		if queue <= w.doc.Limits.MaxWait.AsDuration() && cost < least {
			least, best, source, from, to = cost, e, s, first, last
		}
	}
	for _, i := range w.random.Perm(len(w.engines)) {
		e := w.engines[i]
		if !c.allowed(e.region) {
			continue
		}
		n := e.resident(c.keys)
		consider(e, nil, n, n)
		for _, s := range w.stores {
			if end := s.holds(c.keys, n); end > n {
				consider(e, s, n, end)
			}
		}
	}
	switch {
	case best == nil:
		c.giveUp()
	case best.region != c.host.region:
		c.handed = w.hostOf(best.region)
		c.cross(func() { c.run(source, best, from, to) })
	default:
		c.run(source, best, from, to)
	}
}

func (c *call) run(s *store, e *engine, from, to int) {
	if s == nil {
		c.dispatch(e)
		return
	}
	c.fetch(s, e, from, to)
}

// giveUp ends an admitted request without a run.
func (c *call) giveUp() {
	h := c.host
	c.refuse()
	h.admit.Done(c.id, c.world.time())
	c.world.after(0, func() { c.world.pump(h) })
}

// hostOf returns a random host of a region.
func (w *world) hostOf(region int) *host {
	var hosts []*host
	for _, h := range w.hosts {
		if h.region == region {
			hosts = append(hosts, h)
		}
	}
	return hosts[w.random.IntN(len(hosts))]
}
