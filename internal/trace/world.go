package trace

import (
	"fmt"
	"math/rand/v2"
	"time"

	"sesamehill.example/sesamehill/internal/admit"
	"sesamehill.example/sesamehill/internal/retain"
	"sesamehill.example/sesamehill/internal/target"
	"sesamehill.example/sesamehill/pkg/config"
)

const (
	// reportInterval is the time between load reports, which arrive reportLag later.
	reportInterval = time.Second
	reportLag      = time.Second
	// clientDelay is the one-way delay to the clients.
	clientDelay = time.Millisecond
	// promptTokenBytes is the size on a link of a prompt token, and outputTokenBytes
	// that of a generated token with its framing.
	promptTokenBytes = 4
	outputTokenBytes = 64
	// slotsPerEngine is the number of requests before their first token that a region
	// admits for each of its engines, divided between its hosts: one is in prefill, and
	// the others import blocks or wait.
	slotsPerEngine = 3
)

// policy decides where a request runs.
type policy interface {
	// start prepares the policy before the first visit.
	start(w *world)
	// place decides on an admitted request and acts on the decision.
	place(c *call)
}

// world is the state of the simulation in one replay.
type world struct {
	clock
	setup   *Setup
	doc     *config.Document
	loaded  []target.Loaded
	zones   []string
	regions []int
	engines []*engine
	stores  []*store
	// returns records when prompts return. All hosts share it, as they share these
	// statistics in a deployment.
	returns *retain.Returns
	hosts   []*host
	// links holds the pipe out of each region.
	links  [2]pipe
	policy policy
	random *rand.Rand
	result *Result
	calls  uint64
}

// host is one entry host with its own admission controller and view.
type host struct {
	name   string
	zone   int
	region int
	admit  *admit.Controller
	calls  map[uint64]*call
	wake   time.Time
	// view is the host's view of the engines, which the policy maintains.
	view *view
}

// call is one request and the hosts that handle it.
type call struct {
	*visit
	world *world
	id    uint64
	host  *host
	// forwardedTo is the host in the other region that received the request, or nil.
	forwardedTo *host
	// dispatched is the dispatch in the view of the host that placed the request.
	dispatched *dispatch
	// onImportEnd is called when an import has ended, if set.
	onImportEnd func()
	// attachedBytes is the size of the annotations of a forwarded request, and lookups
	// counts the index lookups for it after it was forwarded.
	attachedBytes int64
	lookups       int
	measured      bool
}

func newWorld(s *Setup, seed uint64, p policy, r *Result) *world {
	w := &world{setup: s, doc: s.Document, policy: p, result: r, random: rand.New(rand.NewPCG(seed, 0)), returns: retain.NewReturns()}
	for _, m := range w.doc.Models {
		w.loaded = append(w.loaded, target.Loaded{Model: m.Name, Version: m.Version, Adapters: m.Adapters})
	}
	for i, g := range w.doc.Regions {
		w.links[i] = pipe{rate: s.linkRate(), delay: w.doc.Links[0].Delay.AsDuration()}
		for range g.Zones {
			w.regions = append(w.regions, i)
		}
		w.stores = append(w.stores, newStore(s, g.Name+"-store", len(w.zones), i, w.returns))
		w.zones = append(w.zones, g.Zones...)
	}
	for i := range s.Engines {
		z := i % len(w.zones)
		w.engines = append(w.engines, newEngine(&w.clock, fmt.Sprintf("%s-engine-%d", w.zones[z], i), z, w.regions[z], s.WarmUp))
	}
	for z, name := range w.zones {
		for i := range hostsPerZone {
			w.addHost(fmt.Sprintf("%s-host-%d", name, i), z)
		}
	}
	return w
}

func (w *world) addHost(name string, zone int) {
	h := &host{name: name, zone: zone, region: w.regions[zone], calls: map[uint64]*call{}}
	engines, hosts := 0, 0
	for _, e := range w.engines {
		if e.region == h.region {
			engines++
		}
	}
	for _, r := range w.regions {
		if r == h.region {
			hosts += hostsPerZone
		}
	}
	h.admit = admit.New(admit.WithSlots(engines*slotsPerEngine/hosts), admit.WithQueue(w.doc.Limits.QueueLength))
	h.admit.SetAccounts(w.doc.Accounts, w.time())
	h.admit.SetHosts(len(w.zones) * hostsPerZone)
	w.hosts = append(w.hosts, h)
}

// replay runs the trace.
func (w *world) replay(vs []visit) {
	end := w.setup.WarmUp + w.setup.Measured
	w.policy.start(w)
	w.every(0, reportInterval, end, w.exchangeDemand)
	if w.setup.Scenario == StoreDead {
		w.at(w.setup.WarmUp, func() { w.stores[0].dead = true })
	}
	for i := range vs {
		w.at(vs[i].at, func() { w.arrive(&vs[i]) })
	}
	w.at(w.setup.WarmUp, func() { w.result.linkBytesBefore = w.linkBytes() })
	w.at(end, func() { w.result.LinkBytes = w.linkBytes() - w.result.linkBytesBefore })
	w.run()
	for _, e := range w.engines {
		w.result.Busy += e.busy.Seconds() / w.setup.Measured.Seconds() / float64(len(w.engines))
	}
}

// exchangeDemand sends the demand of the accounts at each host to all other hosts.
func (w *world) exchangeDemand() {
	for _, h := range w.hosts {
		r := h.admit.Report(h.name, len(w.doc.Accounts), w.time())
		for _, o := range w.hosts {
			if o != h {
				o.admit.RecordReport(r)
			}
		}
	}
}

func (w *world) linkBytes() int64 {
	return w.links[0].carriedBytes(w.now) + w.links[1].carriedBytes(w.now)
}

// arrive submits a visit to one of the region's hosts, as the load balancer does.
func (w *world) arrive(v *visit) {
	var hosts []*host
	for _, h := range w.hosts {
		if h.region == v.region {
			hosts = append(hosts, h)
		}
	}
	w.calls++
	c := &call{
		visit: v, world: w, id: w.calls, host: hosts[v.hostDraw%uint64(len(hosts))], measured: v.at >= w.setup.WarmUp,
	}
	a := w.doc.Accounts[v.account]
	if v.previousTokens > 0 {
		w.returns.RecordReturn(a.Name, v.gap)
		for _, s := range w.stores {
			s.restore(a.Name, v.keys)
		}
	}
	c.host.calls[c.id] = c
	e := c.host.admit.Submit(admit.Request{
		ID: c.id, Account: a.Name, Tokens: v.tokens, Deadline: w.time().Add(w.doc.Limits.MaxWait.AsDuration()),
	}, w.time())
	if _, ok := e.(admit.Refused); ok {
		c.refuse()
		return
	}
	w.startAdmitted(c.host)
}

// startAdmitted places the requests that a host admits and schedules the next check.
func (w *world) startAdmitted(h *host) {
	for _, e := range h.admit.Next(w.time()) {
		switch e := e.(type) {
		case admit.Started:
			w.policy.place(h.calls[e.ID])
		case admit.Refused:
			h.calls[e.ID].refuse()
		case admit.Queued:
		}
	}
	if at := h.admit.Wake(); !at.IsZero() && (h.wake.Before(w.time()) || at.Before(h.wake)) {
		h.wake = at
		// The controller treats a time equal to now as reached, so the event may run at
		// exactly that time.
		w.at(at.Sub(epoch), func() { w.startAdmitted(h) })
	}
}

// allowedIn reports whether the account's prompt state may be stored in a region.
func (c *call) allowedIn(region int) bool {
	rs := c.world.doc.Accounts[c.account].Regions
	for _, r := range rs {
		if r == c.world.doc.Regions[region].Name {
			return true
		}
	}
	return len(rs) == 0
}

// placingHost returns the host that places the request.
func (c *call) placingHost() *host {
	if c.forwardedTo != nil {
		return c.forwardedTo
	}
	return c.host
}

// refuse removes the request and counts it as refused.
func (c *call) refuse() {
	delete(c.host.calls, c.id)
	if c.measured {
		c.world.result.Refused++
		c.world.result.Requests++
	}
}

// dispatch runs the request on an engine. The request and its first token each take
// the delay between the zones.
func (c *call) dispatch(e *engine) {
	w := c.world
	blockTokens := w.doc.Deployment.BlockTokens
	oneWay := w.delay(c.placingHost().zone, e.zone)
	returnDelay := oneWay + clientDelay
	if e.region != c.host.region {
		returnDelay += w.links[e.region].delay
	}
	w.after(oneWay, func() {
		if c.dispatched != nil {
			c.dispatched.arrived = w.time()
		}
		e.submit(&job{
			keys: c.keys, prompt: c.tokens, output: c.output, priority: w.doc.Accounts[c.account].Priority,
			onFirstToken: func(j *job) {
				c.host.admit.Release(c.id, w.time())
				w.after(0, func() { w.startAdmitted(c.host) })
				if e.region != c.host.region {
					w.links[e.region].send(w.now, int64(c.output)*outputTokenBytes)
				}
				w.result.add(c, w.now+returnDelay-c.visit.at+clientDelay, j)
				if s, ok := w.policy.(exporter); ok {
					s.exportState(w, e, c)
				}
			},
			onDone: func() {
				delete(c.host.calls, c.id)
				c.host.admit.Done(c.id, w.time())
				w.startAdmitted(c.host)
			},
		}, blockTokens)
	})
}

// sendToOtherRegion sends the request's text over the link and then calls do.
func (c *call) sendToOtherRegion(do func()) {
	w := c.world
	w.at(w.links[c.host.region].send(w.now, int64(c.tokens)*promptTokenBytes), do)
}

// importBlocks copies blocks from a store to an engine and then dispatches the
// request. The engine prefills blocks that the store no longer has.
func (c *call) importBlocks(s *store, e *engine, from, to int) {
	w := c.world
	to = min(to, s.storedUntil(c.keys, from))
	if to <= from {
		if c.onImportEnd != nil {
			c.onImportEnd()
		}
		c.dispatch(e)
		return
	}
	bytes := int64(to-from) * w.doc.Deployment.BlockBytes
	at := s.out.send(w.now, bytes)
	if s.region != e.region {
		at = max(at, w.links[s.region].send(w.now, bytes))
	}
	s.touch(c.keys, w.time())
	w.at(at, func() {
		if c.onImportEnd != nil {
			c.onImportEnd()
		}
		if !s.dead {
			e.insert(c.keys[:to])
		}
		c.dispatch(e)
	})
}

func (w *world) delay(a, b int) time.Duration {
	if a == b || w.regions[a] != w.regions[b] {
		return 0
	}
	return w.setup.ZoneDelay
}

// exporter is a policy that exports prompt state to stores.
type exporter interface {
	exportState(w *world, e *engine, c *call)
}

// exportToRegion writes the prompt's blocks to the store of the engine's region.
func exportToRegion(w *world, e *engine, c *call) {
	for _, s := range w.stores {
		if s.region == e.region {
			s.export(w, c)
		}
	}
}
