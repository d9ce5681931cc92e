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
	// reportEvery is the time between load reports, which arrive reportLag later.
	reportEvery = time.Second
	reportLag   = time.Second
	// clientDelay is the one-way delay to the clients.
	clientDelay = time.Millisecond
	// tokenText and tokenReply are the bytes on a link of a prompt token and of
	// an answered token with its framing.
	tokenText  = 4
	tokenReply = 64
	// slotsPerEngine is a region's requests before their first token for each of
	// its engines, split between its hosts: one that is prefilled, and the others
	// that import or wait.
	slotsPerEngine = 3
)

// policy chooses where a request runs.
type policy interface {
	// start prepares the policy before the first visit.
	start(w *world)
	// place decides on an admitted request and acts on the decision.
	place(c *call)
}

// world is the state of one replay.
type world struct {
	clock
	setup   *Setup
	doc     *config.Document
	loaded  []target.Loaded
	zones   []string
	regions []int
	engines []*engine
	stores  []*store
	// returns learns when prompts come back, as the hosts together do.
	returns *retain.Returns
	hosts   []*host
	// links holds the pipe out of each region.
	links  [2]pipe
	policy policy
	random *rand.Rand
	result *Result
	calls  uint64
}

// host is one entry host with its own admission and view.
type host struct {
	name   string
	zone   int
	region int
	admit  *admit.Controller
	calls  map[uint64]*call
	wake   time.Time
	// view is the state that the policy keeps for the host.
	view *view
}

// call is one request at its host.
type call struct {
	*visit
	world *world
	id    uint64
	host  *host
	// handed is the host that got the request from another region, or nil.
	handed *host
	// mark is the dispatch in the view of the host that placed the request.
	mark *sent
	// fetched is called when an import has ended, if set.
	fetched func()
	// extra are bytes attached to a handed-over request, and lookups the index
	// lookups for it after the handover.
	extra    int64
	lookups  int
	measured bool
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
		w.engines = append(w.engines, newEngine(&w.clock, fmt.Sprintf("%s-engine-%d", w.zones[z], i), z, w.regions[z], s.Warm))
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
	end := w.setup.Warm + w.setup.Measured
	w.policy.start(w)
	w.every(0, reportEvery, end, w.exchange)
	if w.setup.Scenario == StoreDead {
		w.at(w.setup.Warm, func() { w.stores[0].dead = true })
	}
	for i := range vs {
		w.at(vs[i].at, func() { w.arrive(&vs[i]) })
	}
	w.at(w.setup.Warm, func() { w.result.base = w.linkBytes() })
	w.at(end, func() { w.result.Bytes = w.linkBytes() - w.result.base })
	w.run()
	for _, e := range w.engines {
		w.result.Busy += e.busy.Seconds() / w.setup.Measured.Seconds() / float64(len(w.engines))
	}
}

// exchange spreads the demand of the accounts between the hosts.
func (w *world) exchange() {
	for _, h := range w.hosts {
		r := h.admit.Report(h.name, len(w.doc.Accounts), w.time())
		for _, o := range w.hosts {
			if o != h {
				o.admit.RecordReport(r)
			}
		}
	}
}

func (w *world) linkBytes() int64 { return w.links[0].carried(w.now) + w.links[1].carried(w.now) }

// arrive hands a visit to one of the region's hosts, as the load balancer does.
func (w *world) arrive(v *visit) {
	var hosts []*host
	for _, h := range w.hosts {
		if h.region == v.region {
			hosts = append(hosts, h)
		}
	}
	w.calls++
	c := &call{
		visit: v, world: w, id: w.calls, host: hosts[v.pick%uint64(len(hosts))], measured: v.at >= w.setup.Warm,
	}
	a := w.doc.Accounts[v.account]
	if v.before > 0 {
		w.returns.RecordReturn(a.Name, v.gap)
		for _, s := range w.stores {
			s.revive(a.Name, v.keys)
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
	w.pump(c.host)
}

// pump starts what a host admits and schedules the next look.
func (w *world) pump(h *host) {
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
		// The cores compare with "not after", so the event may run at that time.
		w.at(at.Sub(epoch), func() { w.pump(h) })
	}
}

// allowed reports whether the account's prompt state may live in a region.
func (c *call) allowed(region int) bool {
	rs := c.world.doc.Accounts[c.account].Regions
	for _, r := range rs {
		if r == c.world.doc.Regions[region].Name {
			return true
		}
	}
	return len(rs) == 0
}

// at returns the host that places the request.
func (c *call) at() *host {
	if c.handed != nil {
		return c.handed
	}
	return c.host
}

// refuse gives the request up.
func (c *call) refuse() {
	delete(c.host.calls, c.id)
	if c.measured {
		c.world.result.Refused++
		c.world.result.Requests++
	}
}

// dispatch runs the request on an engine. Both the way there and the way back
// of the first token take the delay between the zones.
func (c *call) dispatch(e *engine) {
	w := c.world
	piece := w.doc.Deployment.BlockTokens
	way := w.delay(c.at().zone, e.zone)
	back := way + clientDelay
	if e.region != c.host.region {
		back += w.links[e.region].delay
	}
	w.after(way, func() {
		if c.mark != nil {
			c.mark.arrived = w.time()
		}
		e.submit(&job{
			keys: c.keys, prompt: c.tokens, output: c.output, priority: w.doc.Accounts[c.account].Priority,
			first: func(j *job) {
				c.host.admit.Release(c.id, w.time())
				w.after(0, func() { w.pump(c.host) })
				if e.region != c.host.region {
					w.links[e.region].send(w.now, int64(c.output)*tokenReply)
				}
				w.result.add(c, w.now+back-c.visit.at+clientDelay, j)
				if s, ok := w.policy.(keeper); ok {
					s.keep(w, e, c)
				}
			},
			done: func() {
				delete(c.host.calls, c.id)
				c.host.admit.Done(c.id, w.time())
				w.pump(c.host)
			},
		}, piece)
	})
}

// cross sends the request's text to the other region and then calls do.
func (c *call) cross(do func()) {
	w := c.world
	w.at(w.links[c.host.region].send(w.now, int64(c.tokens)*tokenText), do)
}

// fetch copies the pieces of a store to an engine and then dispatches. Pieces
// that are gone by then are computed.
func (c *call) fetch(s *store, e *engine, from, to int) {
	w := c.world
	to = min(to, s.holds(c.keys, from))
	if to <= from {
		if c.fetched != nil {
			c.fetched()
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
		if c.fetched != nil {
			c.fetched()
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
	return w.setup.Local
}

// keeper is a policy that exports prompt state.
type keeper interface {
	keep(w *world, e *engine, c *call)
}

// export writes the prompt's pieces to the store of the engine's region.
func export(w *world, e *engine, c *call) {
	for _, s := range w.stores {
		if s.region == e.region {
			s.export(w, c)
		}
	}
}
