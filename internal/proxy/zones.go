package proxy

import (
	"slices"
	"sync"
	"time"

	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/opconf"
	"sesamehill.example/sesamehill/internal/place"
	"sesamehill.example/sesamehill/internal/wire"
	"sesamehill.example/sesamehill/internal/zones"
)

const (
	// zoneViewInterval is the time between two views of the zones of a service.
	zoneViewInterval = 100 * time.Millisecond
	// useSmoothing is the weight of the newest attempt in the mean use of a service.
	useSmoothing = 0.05
)

// WithZone sets the zone of this host and its measured round trips to zones.
func WithZone(own string, t *zones.Trips) Option {
	return func(p *Proxy) { p.leaving.own, p.leaving.trips = own, t }
}

// leaving decides to which other zones requests go. The zero value decides nothing.
type leaving struct {
	own   string
	trips *zones.Trips

	// prices are nil while the decision is off, and planners are by service.
	// Proxy.placementMu guards both.
	prices   *zones.Prices
	planners map[string]*zones.Planner

	mu   sync.Mutex // guards uses
	uses map[string]use
}

// use is what a call of a service takes in the mean.
type use struct{ serviceMs, answerBytes float64 }

// SetPrices switches the decision when leaving the zone pays on; nil switches it off.
func (p *Proxy) SetPrices(prices *zones.Prices) {
	p.placementMu.Lock()
	defer p.placementMu.Unlock()
	p.leaving.prices, p.leaving.planners = prices, map[string]*zones.Planner{}
}

// recordUse records how long an attempt took, with the answer that the caller has got. One
// that the target turned away, or that another one follows, says nothing about its work.
func (p *Proxy) recordUse(j *job, result attemptResult, took time.Duration) {
	switch result.(type) {
	case retryable, quarantined:
		return
	}
	l := &p.leaving
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := use{serviceMs: float64(took) / float64(time.Millisecond), answerBytes: float64(j.answerBytes)}
	u, known := l.uses[j.service.Name]
	if !known {
		u = newest
	}
	u.serviceMs += useSmoothing * (newest.serviceMs - u.serviceMs)
	u.answerBytes += useSmoothing * (newest.answerBytes - u.answerBytes)
	if l.uses == nil {
		l.uses = map[string]use{}
	}
	l.uses[j.service.Name] = u
}

func (l *leaving) useOf(service string) use {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.uses[service]
}

// zonePlan is the decision on the zones of one request.
type zonePlan struct {
	planner *zones.Planner
	kind    zones.Kind
	key     uint64
	now     time.Duration
	// verdicts are those of the last choice, by zone.
	verdicts map[string]zones.Verdict
}

// planZones returns the decision for a request; nil if the choice is open to all zones.
// The caller holds placementMu.
func (p *Proxy) planZones(j *job) *zonePlan {
	if p.leaving.prices == nil {
		return nil
	}
	z := &zonePlan{now: wire.BootTime(), verdicts: map[string]zones.Verdict{}, planner: p.leaving.planners[j.service.Name]}
	if z.planner == nil {
		z.planner = zones.NewPlanner(p.leaving.own)
		p.leaving.planners[j.service.Name] = z.planner
	}
	if at, ok := z.planner.Updated(); !ok || z.now-at >= zoneViewInterval {
		z.planner.Update(z.now, p.zoneView(j.service, z.now))
	}
	z.kind = zones.Kind{Bytes: len(j.Body) + int(p.leaving.useOf(j.service.Name).answerBytes)}
	affinityKey := j.ID
	if j.Prompt != nil {
		w := promptWork(j.Prompt)
		affinityKey = w.Subject
		z.kind.KeptMs = float64(w.Shared) * (p.costs.PrefillMs + p.costs.RecomputeMs)
	}
	z.key = place.RendezvousScore(affinityKey, j.service.Name)
	return z
}

// zoneView sums up the targets of a service by zone. Targets that get no requests now are
// left out.
func (p *Proxy) zoneView(s *opconf.Service, now time.Duration) zones.View {
	v := zones.View{Hosts: p.hosts(), Age: p.fleet.ViewAge()}
	byZone := map[string]*zones.Zone{}
	for _, t := range p.fleet.Serving(s.Name) {
		z := byZone[t.Zone]
		if z == nil {
			z = p.newZone(s, t.Zone, now)
			byZone[t.Zone] = z
		}
		if t.Down || t.PausedFor > 0 || t.WarmupLeft > 0 || p.weights.Loading(t.ID) {
			continue
		}
		total := t.InFlight.Add(t.OthersInFlight)
		z.Targets++
		z.Calls += total.Calls
		z.Slots += t.Slots
		z.Tokens += total.Tokens
		z.Unread += total.PrefillTokens
		if s.Engine != nil {
			z.Room += s.Engine.CapacityTokens
		}
	}
	// The other hosts of the zone are taken to have as many waiting requests as this one.
	if own := byZone[p.leaving.own]; own != nil {
		own.Waiting = len(p.waitQueue(s.Name).waiters) * max(v.Hosts/max(len(byZone), 1), 1)
	}
	for _, z := range byZone {
		v.Zones = append(v.Zones, *z)
	}
	return v
}

// newZone returns a zone of a service without targets.
func (p *Proxy) newZone(s *opconf.Service, name string, now time.Duration) *zones.Zone {
	z := &zones.Zone{Name: name, ServiceMs: p.leaving.useOf(s.Name).serviceMs, RoundTripMs: p.costs.RoundTripMs[p.distance(name)]}
	if s.Engine != nil {
		z.PrefillMs, z.CallMs = p.costs.PrefillMs, p.costs.CallMs
	}
	if ms, _, ok := p.leaving.trips.RoundTripMs(name, now); ok {
		z.RoundTripMs = ms
	}
	switch p.distance(name) {
	case place.SameRegion:
		z.ByteMs = p.leaving.prices.ZoneMs()
	case place.OtherRegion:
		z.ByteMs = p.leaving.prices.RegionMs()
	}
	return z
}

// open returns the targets in zones to which the request may go; all if no target in the own
// zone accepts connections, as shares and quotas take a second or more to follow.
func (z *zonePlan) open(own string, eligible []fleet.Status, decide func(zone string) zones.Verdict) []fleet.Status {
	z.verdicts = map[string]zones.Verdict{}
	if !slices.ContainsFunc(eligible, func(s fleet.Status) bool { return s.Zone == own && !s.Down }) {
		return eligible
	}
	out := make([]fleet.Status, 0, len(eligible))
	for _, s := range eligible {
		if z.verdict(s.Zone, decide).Reason.Open() {
			out = append(out, s)
		}
	}
	return out
}

// verdict returns the verdict on a zone, by a decision that is made once.
func (z *zonePlan) verdict(zone string, decide func(zone string) zones.Verdict) zones.Verdict {
	v, ok := z.verdicts[zone]
	if !ok {
		v = decide(zone)
		z.verdicts[zone] = v
	}
	return v
}

// usual decides on a zone for a request for which the own zone may have room, overflow for
// one for which it has none.
func (z *zonePlan) usual(zone string) zones.Verdict {
	return z.planner.Verdict(z.now, z.kind, z.key, zone)
}

func (z *zonePlan) overflow(zone string) zones.Verdict {
	return z.planner.Overflow(z.now, z.kind, z.key, zone)
}

// countZone counts a request that is sent to a target in another zone.
func (p *Proxy) countZone(j *job, zone string) {
	if zone == p.leaving.own || j.zones == nil {
		return
	}
	j.zones.planner.Sent(j.zones.kind, zone)
	distance := "zone"
	if p.distance(zone) == place.OtherRegion {
		distance = "region"
	}
	p.Metrics.Count("away " + distance)
	p.Metrics.Counters.Add("away "+distance+" bytes", int64(j.zones.kind.Bytes))
}
