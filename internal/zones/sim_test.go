package zones_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"sesamehill.example/sesamehill/internal/zones"
)

const (
	simTick     = 10 * time.Millisecond
	updateEvery = 100 * time.Millisecond
)

// load is a group of targets and callers in one zone. Rates are calls a second of all
// callers of the zone; wave is their share that comes and goes in period.
type load struct {
	Name              string
	Slots             int
	Rate, Wave, Phase float64
	Cold              bool
	running, away     int
	sentTo            map[string]int
	most              int
}

// world plays hosts that share the targets of a service.
type world struct {
	Hosts   int
	Age     time.Duration
	Service float64
	Period  float64
	Kind    zones.Kind
	WayMs   map[string]float64 // by pair, such as "a-b"
	// Naive replaces the decision: each request goes where its view shows the least cost.
	Naive bool

	zones    []*load
	planners [][]*zones.Planner
	random   *rand.Rand
	now      time.Duration
	ends     map[time.Duration][]*load
	views    []map[string]zones.Zone
	// history holds for each second and zone pair the calls sent.
	history []map[string]int
	waits   float64
	calls   int
}

func newWorld(seed uint64) *world {
	return &world{
		Hosts: 12, Age: 200 * time.Millisecond, Service: 200, Period: 13, WayMs: map[string]float64{},
		random: rand.New(rand.NewPCG(seed, 1)), ends: map[time.Duration][]*load{},
	}
}

func (w *world) zone(name string) *load {
	for _, z := range w.zones {
		if z.Name == name {
			return z
		}
	}
	z := &load{Name: name, sentTo: map[string]int{}}
	w.zones = append(w.zones, z)
	return z
}

func (w *world) wayMs(from, to string) float64 {
	if ms, ok := w.WayMs[from+"-"+to]; ok {
		return ms
	}
	return w.WayMs[to+"-"+from]
}

// snapshot keeps the present state of the zones for later views.
func (w *world) snapshot() {
	view := map[string]zones.Zone{}
	for _, z := range w.zones {
		s := zones.Zone{Name: z.Name, ServiceMs: w.Service}
		if !z.Cold && z.Slots > 0 {
			s.Targets, s.Slots, s.Calls = 1, z.Slots, z.running
		}
		view[z.Name] = s
	}
	w.views = append(w.views, view)
}

// seen returns the zones as a host in one of them sees them, Age ago.
func (w *world) seen(from string) []zones.Zone {
	view := w.views[max(len(w.views)-1-int(w.Age/simTick), 0)]
	out := make([]zones.Zone, 0, len(w.zones))
	for _, z := range w.zones {
		s := view[z.Name]
		s.RoundTripMs = w.wayMs(from, z.Name)
		out = append(out, s)
	}
	return out
}

// start makes the planners of all hosts.
func (w *world) start() {
	w.planners = make([][]*zones.Planner, len(w.zones))
	for i, z := range w.zones {
		for range max(w.Hosts/len(w.zones), 1) {
			w.planners[i] = append(w.planners[i], zones.NewPlanner(z.Name))
		}
	}
}

// play runs the world for a time.
func (w *world) play(d time.Duration) {
	if w.planners == nil {
		w.start()
	}
	for end := w.now + d; w.now < end; w.now += simTick {
		for _, z := range w.ends[w.now] {
			z.running--
		}
		delete(w.ends, w.now)
		w.snapshot()
		if w.now%time.Second == 0 {
			w.history = append(w.history, map[string]int{})
		}
		for i, z := range w.zones {
			w.arrive(i, z)
		}
	}
}

// arrive sends the calls of one zone in one tick.
func (w *world) arrive(i int, z *load) {
	seen := w.seen(z.Name)
	if w.now%updateEvery == 0 {
		for _, p := range w.planners[i] {
			p.Update(w.now, zones.View{Zones: seen, Hosts: w.Hosts, Age: w.Age})
		}
	}
	rate := z.Rate * (1 + z.Wave*math.Sin(2*math.Pi*(w.now.Seconds()/w.Period+z.Phase)))
	expected := rate * simTick.Seconds()
	n := int(expected)
	if w.random.Float64() < expected-float64(n) {
		n++
	}
	for range n {
		p := w.planners[i][w.random.IntN(len(w.planners[i]))]
		to := w.pick(z, p, seen)
		w.send(z, to)
		if to != z {
			p.Sent(w.Kind, to.Name)
		}
	}
}

// pick returns the zone with the least cost among those that are open.
func (w *world) pick(z *load, p *zones.Planner, seen []zones.Zone) *load {
	key := w.random.Uint64()
	full := z.running >= z.Slots
	best, least := z, math.Inf(1)
	for _, s := range seen {
		to := w.zone(s.Name)
		if s.Targets == 0 || to.Cold {
			continue
		}
		if !w.Naive {
			v := p.Verdict(w.now, w.Kind, key, s.Name)
			if full {
				v = p.Overflow(w.now, w.Kind, key, s.Name)
			}
			if !v.Reason.Open() {
				continue
			}
		}
		cost := s.WaitMs()
		if to != z {
			cost += s.WayMs(w.Kind)
		}
		if w.Naive {
			cost = naiveCost(s, to == z)
		}
		if cost < least {
			best, least = to, cost
		}
	}
	return best
}

// naiveCost is the cost of a target for a host without the decision: constants for a call
// in flight and for the distance.
func naiveCost(s zones.Zone, own bool) float64 {
	const callMs, otherZoneMs, slotsPerTarget = 8, 4, 6
	cost := callMs * float64(s.Calls) * slotsPerTarget / float64(s.Slots)
	if !own {
		cost += otherZoneMs
	}
	return cost
}

// send starts a call in a zone. A call beyond the slots waits for a free slot.
func (w *world) send(from, to *load) {
	w.history[len(w.history)-1][from.Name+to.Name]++
	wait := 0.0
	if over := to.running - to.Slots; over >= 0 && to.Slots > 0 {
		wait = w.Service * float64(over+1) / float64(to.Slots)
	}
	w.waits += wait + w.wayMs(from.Name, to.Name)
	w.calls++
	took := time.Duration((wait + w.random.ExpFloat64()*w.Service) * float64(time.Millisecond))
	if to.running++; from != to {
		to.away++
		to.most = max(to.most, to.running)
	}
	w.ends[w.now+max(took.Truncate(simTick), simTick)] = append(w.ends[w.now+max(took.Truncate(simTick), simTick)], to)
}

// goes returns the share of the calls of a zone that went to another one since a second of
// the day.
func (w *world) goes(from, to string, since int) float64 {
	sent, all := 0, 0
	for _, second := range w.history[since:] {
		for _, z := range w.zones {
			all += second[from+z.Name]
		}
		sent += second[from+to]
	}
	return float64(sent) / float64(max(all, 1))
}

// changePerSecond returns the mean change, from one second to the next, of the share of the
// calls of a zone that goes to another one.
func (w *world) changePerSecond(from, to string, since int) float64 {
	sum, n, last := 0.0, 0, math.NaN()
	for _, second := range w.history[since:] {
		all := 0
		for _, z := range w.zones {
			all += second[from+z.Name]
		}
		if all == 0 {
			continue
		}
		share := float64(second[from+to]) / float64(all)
		if !math.IsNaN(last) {
			sum += math.Abs(share - last)
			n++
		}
		last = share
	}
	return sum / float64(max(n, 1))
}

// measure returns a figure of the world by its name in a script.
func (w *world) measure(what []string, since int) (float64, error) {
	switch what[0] {
	case "goes":
		return w.goes(what[1], what[2], since), nil
	case "change":
		return w.changePerSecond(what[1], what[2], since), nil
	case "fullest": // most calls beside those of its own callers, for each slot
		z := w.zone(what[1])
		return float64(z.most) / float64(max(z.Slots, 1)), nil
	case "wait":
		return w.waits / float64(max(w.calls, 1)), nil
	}
	return 0, fmt.Errorf("measure %q does not exist", what[0])
}
