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
	// eventLag is the time until a cache event is in the index, which comes from the
	// polling by observer hosts and the batching of records.
	eventLag = 500 * time.Millisecond
	// filterInterval is the time between Bloom filters of shard keys to the other region.
	filterInterval = 30 * time.Second
	// lookupTime is the duration of an index lookup in the same zone; lookups in
	// the region's other zones add the delay in both directions.
	lookupTime = 200 * time.Microsecond
	// lookupTimeout limits the duration of a lookup.
	lookupTimeout = 15 * time.Millisecond
	// blockHashTime is the time to hash a block of 4,000 tokens: BenchmarkKeys in
	// pkg/chain measures 19 to 100 µs, depending on the load of the machine.
	blockHashTime = 55 * time.Microsecond
)

// real is the policy that runs the hosts' own packages for index and placement.
type real struct {
	views
	transfers linkTransfers
	// attachKeys and queryOrigin are set for the policies AttachedKeys and
	// OriginLookups.
	attachKeys  bool
	queryOrigin bool
	// shards are the zones' indexes.
	shards  []*index.Shard
	filters [2][]index.Filter
	byName  map[string]*engine
	stores  map[string]*store
	// importingBytes are the bytes that each host is importing from each store.
	importingBytes map[*host]map[string]int64
	// summaries has each region's shortest queue at the time of the last report.
	summaries [2]summary
}

// summary is the load summary of a region.
type summary struct {
	reported     time.Time
	shortestWait time.Duration
}

func (p *real) start(w *world) {
	p.views.start(w)
	p.transfers.start(w)
	p.byName, p.stores, p.importingBytes = map[string]*engine{}, map[string]*store{}, map[*host]map[string]int64{}
	for range w.zones {
		p.shards = append(p.shards, index.NewShard())
	}
	for _, e := range w.engines {
		p.byName[e.name] = e
		e.onEvent = p.eventRecorder(w, e.name, index.Engine, e.zone)
	}
	for _, s := range w.stores {
		p.stores[s.name] = s
		s.onEvent = p.eventRecorder(w, s.name, index.Store, s.zone)
	}
	for _, h := range w.hosts {
		p.importingBytes[h] = map[string]int64{}
	}
	end := w.setup.WarmUp + w.setup.Measured
	w.every(0, filterInterval, end, func() { p.sendFilters(w) })
	w.every(0, reportInterval, end, func() { p.sendSummaries(w) })
	if w.setup.Scenario == StoreDead {
		// Imports fail at once; the observer hosts remove the store after 3 s.
		w.at(w.setup.WarmUp+3*time.Second, func() { p.shards[w.stores[0].zone].RemoveTarget(w.stores[0].name) })
	}
}

// eventRecorder returns a function that applies a target's events to the zone's index
// after eventLag.
func (p *real) eventRecorder(w *world, name string, kind index.Kind, zone int) func(target.Event) {
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

// sendFilters sends the Bloom filters of each region to the other region.
func (p *real) sendFilters(w *world) {
	var next [2][]index.Filter
	for z, s := range p.shards {
		next[w.regions[z]] = append(next[w.regions[z]], s.Filter())
	}
	w.after(reportLag, func() { p.filters = next })
}

// sendSummaries sends the shortest queue of each region to the other region.
func (p *real) sendSummaries(w *world) {
	var next [2]summary
	for i := range next {
		next[i].reported = w.time()
	}
	for i, e := range w.engines {
		wait := seconds(float64(e.queuedTokens()) / prefillTokensPerSecond)
		if s := &next[e.region]; i < len(w.zones) || wait < s.shortestWait {
			s.shortestWait = wait
		}
	}
	w.after(reportLag, func() { p.summaries = next })
}

func (p *real) exportState(w *world, e *engine, c *call) { exportToRegion(w, e, c) }

func (p *real) place(c *call) {
	h := c.placingHost()
	delay := lookupTime
	for z, r := range c.world.regions {
		if r == h.region && z != h.zone {
			delay = max(delay, lookupTime+2*c.world.setup.ZoneDelay)
		}
	}
	if c.forwardedTo != nil {
		c.lookups += p.zoneCount(c.world, h.region)
		if p.queryOrigin {
			// The answer takes one delay of the link in each direction.
			delay = max(delay, min(lookupTimeout, 2*c.world.links[0].delay))
			c.lookups += p.zoneCount(c.world, c.host.region)
		}
	}
	if c.forwardedTo == nil || !p.attachKeys {
		delay += time.Duration(len(c.keys)) * blockHashTime
	}
	c.world.after(delay, func() { p.decide(c, h) })
}

func (p *real) decide(c *call, h *host) {
	w := c.world
	d := w.doc.Deployment
	request := route.Request{
		Model: w.doc.Models[0].Name, Version: w.doc.Models[0].Version, Tokens: c.tokens, BlockTokens: d.BlockTokens, BlockBytes: d.BlockBytes,
		Text: int64(c.tokens) * promptTokenBytes, ReplyBytes: outputMaxTokens / 2 * outputTokenBytes,
		MaxWait: w.doc.Limits.MaxWait.AsDuration(), NoForward: c.forwardedTo != nil,
	}
	switch x := route.Place(request, p.candidates(c, h), p.peers(c, h), w.doc.Weights, w.time(), w.random).(type) {
	case route.Resident:
		c.recordDispatch(p.byName[x.Target], x.Recomputed)
		c.dispatch(p.byName[x.Target])
	case route.Recompute:
		c.recordDispatch(p.byName[x.Target], x.Recomputed)
		c.dispatch(p.byName[x.Target])
	case route.Import:
		e, s := p.byName[x.Target], p.stores[x.Store]
		c.recordDispatch(e, x.Recomputed)
		bytes := int64(x.To-x.From) * d.BlockBytes
		p.importingBytes[h][s.name] += bytes
		c.onImportEnd = func() { p.importingBytes[h][s.name] -= bytes }
		c.importBlocks(s, e, x.From, x.To)
	case route.Forward:
		for _, o := range w.hosts {
			if o.name == x.Host {
				c.forwardedTo = o
			}
		}
		if p.attachKeys {
			c.attachedBytes = int64(len(c.keys) * chain.KeySize)
		}
		p.transfers.submit(c, c.tokens-x.Recomputed, func() { p.place(c) })
	case route.Refuse:
		c.abandon()
	}
}

// zoneCount returns the number of zones in a region.
func (p *real) zoneCount(w *world, region int) int {
	n := 0
	for _, r := range w.regions {
		if r == region {
			n++
		}
	}
	return n
}

// candidates returns the region's engines in the view of the host.
func (p *real) candidates(c *call, h *host) []route.Candidate {
	w := c.world
	if !c.allowedIn(h.region) {
		return nil
	}
	holders := p.lookup(w, c.keys, h.region)
	var sources []route.Source
	for _, o := range holders {
		if o.Kind == index.Store && !o.Suspect {
			sources = append(sources, route.Source{
				Store: o.Target, First: o.First, End: o.End, Reach: route.InZone,
				Link: route.Link{Rate: storeBytesPerSecond, Queued: p.importingBytes[h][o.Target], Delay: w.setup.ZoneDelay},
			})
		}
	}
	var cs []route.Candidate
	for _, e := range w.engines {
		if e.region != h.region {
			continue
		}
		view := h.view.engines[e]
		r := view.report
		x := route.Candidate{
			Target: e.name, Loaded: r.Models, Reported: r.ReportedAt, Running: r.Running, Waiting: r.Waiting, Tokens: r.Tokens,
			Sent: len(view.dispatches), SentTokens: view.pendingTokens(), Prefill: r.PrefillRate, Decode: r.DecodeRate, Sources: sources,
		}
		i := slices.IndexFunc(holders, func(o index.Holder) bool { return o.Target == e.name })
		if i >= 0 && !holders[i].Suspect {
			x.Resident = holders[i].End
		}
		cs = append(cs, x)
	}
	return cs
}

// lookup queries the indexes of all zones of the region.
func (p *real) lookup(w *world, keys []chain.Key, region int) []index.Holder {
	var holders []index.Holder
	for z, s := range p.shards {
		if w.regions[z] == region {
			holders = append(holders, s.Lookup(keys)...)
		}
	}
	return holders
}

// peers returns the hosts of the other region.
func (p *real) peers(c *call, h *host) []route.Peer {
	w := c.world
	if !c.allowedIn(1 - h.region) {
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
			l := p.transfers.links[h]
			ps = append(ps, route.Peer{
				Host: o.name, Region: w.doc.Regions[o.region].Name, Reported: s.reported, Wait: s.shortestWait,
				Prefill: prefillTokensPerSecond, Matched: matched, Link: route.Link{Rate: l.Rate(w.time()), Queued: l.Queued(), Delay: w.links[h.region].delay},
				Import: route.Link{Rate: storeBytesPerSecond, Delay: w.setup.ZoneDelay},
			})
		}
	}
	return ps
}
