package trace

import (
	"slices"
	"time"

	"sesamehill.example/sesamehill/internal/index"
	"sesamehill.example/sesamehill/internal/route"
	"sesamehill.example/sesamehill/internal/target"
	"sesamehill.example/sesamehill/pkg/chain"
)

const (
	// eventLag is the time until a cache event is in the index: the observers'
	// polling and the batching of records.
	eventLag = 500 * time.Millisecond
	// filterEvery is the time between filters of first keys to other regions.
	filterEvery = 30 * time.Second
	// lookupTime is the duration of an index lookup on the same zone; lookups in
	// the region's other zones add the delay both ways.
	lookupTime = 200 * time.Microsecond
	// lookupLimit is the deadline of a lookup.
	lookupLimit = 15 * time.Millisecond
	// hashTime is the time to hash a piece of 4,000 tokens: BenchmarkKeys in
	// pkg/chain gives 19 to 100 µs, depending on how busy the machine is.
	hashTime = 55 * time.Microsecond
)

// real drives the decision cores as a host does.
type real struct {
	views
	cross crossings
	// keys and asks are described with the policies' names.
	keys bool
	asks bool
	// shards are the zones' indexes.
	shards  []*index.Shard
	filters [2][]index.Filter
	byName  map[string]*engine
	stores  map[string]*store
	// loads are the bytes that each host imports from each store.
	loads map[*host]map[string]int64
	// summaries hold each region's best queue at the time of the last report.
	summaries [2]summary
}

type summary struct {
	at   time.Time
	wait time.Duration
}

func (p *real) start(w *world) {
	p.views.start(w)
	p.cross.start(w)
	p.byName, p.stores, p.loads = map[string]*engine{}, map[string]*store{}, map[*host]map[string]int64{}
	for range w.zones {
		p.shards = append(p.shards, index.NewShard())
	}
	for _, e := range w.engines {
		p.byName[e.name] = e
		e.changed = p.record(w, e.name, index.Engine, e.zone)
	}
	for _, s := range w.stores {
		p.stores[s.name] = s
		s.changed = p.record(w, s.name, index.Store, s.zone)
	}
	for _, h := range w.hosts {
		p.loads[h] = map[string]int64{}
	}
	end := w.setup.Warm + w.setup.Measured
	w.every(0, filterEvery, end, func() { p.spread(w) })
	w.every(0, reportEvery, end, func() { p.summarize(w) })
	if w.setup.Scenario == StoreDead {
		// Imports fail at once; the observers drop the store after 3 s.
		w.at(w.setup.Warm+3*time.Second, func() { p.shards[w.stores[0].zone].RemoveTarget(w.stores[0].name) })
	}
}

// record returns a function that brings a target's events to the zone's index.
func (p *real) record(w *world, name string, kind index.Kind, zone int) func(target.Event) {
	return func(e target.Event) {
		w.after(eventLag, func() {
			if kind == index.Store && p.stores[name].dead {
				return
			}
			p.shards[zone].Apply(index.Record{
				Target: name, Kind: kind, After: e.Sequence - 1, Last: e.Sequence, Events: []target.Event{e},
			})
		})
	}
}

// spread sends the filters of each region to the other one.
func (p *real) spread(w *world) {
	var next [2][]index.Filter
	for z, s := range p.shards {
		next[w.regions[z]] = append(next[w.regions[z]], s.Filter())
	}
	w.after(reportLag, func() { p.filters = next })
}

// summarize sends the shortest queue of each region to the other one.
func (p *real) summarize(w *world) {
	var next [2]summary
	for i := range next {
		next[i].at = w.time()
	}
	for i, e := range w.engines {
		wait := seconds(float64(e.ahead()) / prefillRate)
		if s := &next[e.region]; i < len(w.zones) || wait < s.wait {
			s.wait = wait
		}
	}
	w.after(reportLag, func() { p.summaries = next })
}

func (p *real) keep(w *world, e *engine, c *call) { export(w, e, c) }

func (p *real) place(c *call) {
	h := c.at()
	took := lookupTime
	for z, r := range c.world.regions {
		if r == h.region && z != h.zone {
			took = max(took, lookupTime+2*c.world.setup.Local)
		}
	}
	if c.handed != nil {
		c.lookups += p.zones(c.world, h.region)
		if p.asks {
			// The answer takes two delays of the link.
			took = max(took, min(lookupLimit, 2*c.world.links[0].delay))
			c.lookups += p.zones(c.world, c.host.region)
		}
	}
	if c.handed == nil || !p.keys {
		took += time.Duration(len(c.keys)) * hashTime
	}
	c.world.after(took, func() { p.decide(c, h) })
}

func (p *real) decide(c *call, h *host) {
	w := c.world
	d := w.doc.Deployment
	q := route.Request{
		Model: w.doc.Models[0].Name, Version: w.doc.Models[0].Version, Tokens: c.tokens, BlockTokens: d.BlockTokens, BlockBytes: d.BlockBytes,
		Text: int64(c.tokens) * tokenText, ReplyBytes: outputMost / 2 * tokenReply,
		MaxWait: w.doc.Limits.MaxWait.AsDuration(), NoForward: c.handed != nil,
	}
	switch x := route.Place(q, p.candidates(c, h), p.peers(c, h), w.doc.Weights, w.time(), w.random).(type) {
	case route.Resident:
		c.sent(p.byName[x.Target], x.Recomputed)
		c.dispatch(p.byName[x.Target])
	case route.Recompute:
		c.sent(p.byName[x.Target], x.Recomputed)
		c.dispatch(p.byName[x.Target])
	case route.Import:
		e, s := p.byName[x.Target], p.stores[x.Store]
		c.sent(e, x.Recomputed)
		bytes := int64(x.To-x.From) * d.BlockBytes
		p.loads[h][s.name] += bytes
		c.fetched = func() { p.loads[h][s.name] -= bytes }
		c.fetch(s, e, x.From, x.To)
	case route.Forward:
		for _, o := range w.hosts {
			if o.name == x.Host {
				c.handed = o
			}
		}
		if p.keys {
			c.extra = int64(len(c.keys) * chain.KeySize)
		}
		p.cross.submit(c, c.tokens-x.Recomputed, func() { p.place(c) })
	case route.Refuse:
		c.giveUp()
	}
}

// zones returns the number of zones in a region.
func (p *real) zones(w *world, region int) int {
	n := 0
	for _, r := range w.regions {
		if r == region {
			n++
		}
	}
	return n
}

// candidates returns the region's engines as the host sees them.
func (p *real) candidates(c *call, h *host) []route.Candidate {
	w := c.world
	if !c.allowed(h.region) {
		return nil
	}
	held := p.lookup(w, c.keys, h.region)
	var sources []route.Source
	for _, o := range held {
		if o.Kind == index.Store && !o.Suspect {
			sources = append(sources, route.Source{
				Store: o.Target, First: o.First, End: o.End, Reach: route.InZone,
				Link: route.Link{Rate: storeRate, Queued: p.loads[h][o.Target], Delay: w.setup.Local},
			})
		}
	}
	var cs []route.Candidate
	for _, e := range w.engines {
		if e.region != h.region {
			continue
		}
		m := h.view.engines[e]
		r := m.report
		x := route.Candidate{
			Target: e.name, Loaded: r.Models, Reported: r.ReportedAt, Running: r.Running, Waiting: r.Waiting, Tokens: r.Tokens,
			Sent: len(m.sent), SentTokens: m.sentTokens(), Prefill: r.PrefillRate, Decode: r.DecodeRate, Sources: sources,
		}
		i := slices.IndexFunc(held, func(o index.Holder) bool { return o.Target == e.name })
		if i >= 0 && !held[i].Suspect {
			x.Resident = held[i].End
		}
		cs = append(cs, x)
	}
	return cs
}

// lookup asks the indexes of all zones of the region.
func (p *real) lookup(w *world, keys []chain.Key, region int) []index.Holder {
	var held []index.Holder
	for z, s := range p.shards {
		if w.regions[z] == region {
			held = append(held, s.Lookup(keys)...)
		}
	}
	return held
}

// peers returns the hosts of the other region.
func (p *real) peers(c *call, h *host) []route.Peer {
	w := c.world
	if !c.allowed(1 - h.region) {
		return nil
	}
	matched := 0
	for _, f := range p.filters[1-h.region] {
		if len(c.keys) > 0 && f.MayContain(c.keys[0]) {
			matched = len(c.keys)
		}
	}
	s := p.summaries[1-h.region]
	var ps []route.Peer
	for _, o := range w.hosts {
		if o.region != h.region {
			l := p.cross.links[h]
			ps = append(ps, route.Peer{
				Host: o.name, Region: w.doc.Regions[o.region].Name, Reported: s.at, Wait: s.wait,
				Prefill: prefillRate, Matched: matched, Link: route.Link{Rate: l.Rate(w.time()), Queued: l.Queued(), Delay: w.links[h.region].delay},
				Import: route.Link{Rate: storeRate, Delay: w.setup.Local},
			})
		}
	}
	return ps
}
