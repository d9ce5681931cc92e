package fleet

import (
	"maps"
	"math"
	"slices"
	"sort"
	"sync"
	"time"

	"sesamehill.example/sesamehill/internal/wire"
)

const (
	// returnGrace is how long a lapsed entry may take to come back after the list
	// can be read again; the platform promises two seconds.
	returnGrace = 1900 * time.Millisecond
	// riskHalf is the time in which the memory of failures halves.
	riskHalf = 2 * time.Second
	// riskStep is the weight of the newest outcome.
	riskStep = 0.3
	// firstDown and maxDown bound how long a target that refuses connections is
	// passed over.
	firstDown = 250 * time.Millisecond
	maxDown   = 2 * time.Second
	// othersHalf is the time in which the reported load of other hosts halves.
	othersHalf = 700 * time.Millisecond
	// toldMemory is how long the word of another host counts.
	toldMemory = 2500 * time.Millisecond
	// hubMemory is the same for followers and hubs. A follower may tell another hub
	// next, and its calls would count twice meanwhile.
	hubMemory = 1200 * time.Millisecond
	// versionGrace is how long a weight version learned from a reply goes before
	// an older one in the list, which lags.
	versionGrace = 4 * time.Second
)

type state struct {
	*Target
	flight   Flight
	reported float64
	// reportedAt is when a reply stated the load.
	reportedAt time.Duration
	waiting    int
	heard      time.Duration
	risk       float64
	riskAt     time.Duration
	// downUntil is the end of the time in which the target is passed over, after
	// downs failures in a row. A suspected one is so by the word of another host.
	downUntil time.Duration
	downs     int
	suspected bool
	probing   bool
	// proven is when the target last took a connection of a probe.
	proven time.Duration
	// learned holds versions that replies stated, with the time.
	learned   map[string]int
	learnedAt time.Duration
	// lapsed is the time at which a held entry is dropped; zero if it is listed.
	lapsed time.Duration
	// told is the sum of what the other hosts told.
	told Flight
}

// Option changes a default of New.
type Option func(*Fleet)

// WithClock sets the clock, which counts suspensions of the machine.
func WithClock(now func() time.Duration) Option { return func(f *Fleet) { f.now = now } }

// WithChanged sets a function that is called after each change of belief. It
// must not call the fleet.
func WithChanged(c func(Change)) Option { return func(f *Fleet) { f.changed = c } }

// Fleet is the set of targets. It is safe for concurrent use.
type Fleet struct {
	mu       sync.Mutex
	now      func() time.Duration
	changed  func(Change)
	targets  map[string]*state
	services map[string][]*state
	// others holds the flights that other hosts told, by host.
	others map[string]told
	swept  time.Duration
	// graceEnd is the end of the time in which lapsed entries may return.
	graceEnd time.Duration
}

// New returns an empty fleet.
func New(opts ...Option) *Fleet {
	f := &Fleet{now: wire.Boot, changed: func(Change) {}, targets: map[string]*state{}, others: map[string]told{}}
	for _, o := range opts {
		o(f)
	}
	f.group()
	return f
}

// Get returns a target.
func (f *Fleet) Get(id string) (Status, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.targets[id]
	if !ok {
		return Status{}, false
	}
	f.forgetOld(f.now())
	return f.status(s, f.now()), true
}

// Learn notes the weight version that a target stated in a reply.
func (f *Fleet) Learn(id, model string, version int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.targets[id]
	if !ok || model == "" || s.version(model, f.now()) == version {
		return
	}
	s.learned = map[string]int{model: version}
	s.learnedAt = f.now()
	f.changed(Change{Target: *s.Target, What: "weights"})
}

// Put adds or replaces a target. An entry of an earlier start is ignored.
func (f *Fleet) Put(t Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.put(t)
	f.group()
}

func (f *Fleet) put(t Target) {
	old, ok := f.targets[t.ID]
	switch {
	case !ok:
		f.replace(t)
		f.changed(Change{Target: t, What: "listed"})
		return
	case t.Born < old.Born:
		return
	case t.Born > old.Born || t.Address != old.Address:
		f.replace(t)
		f.changed(Change{Target: t, What: "restarted"})
		return
	}
	if t.Leaving && !old.Leaving {
		f.changed(Change{Target: t, What: "leaving"})
	}
	old.Target, old.lapsed = &t, 0
}

// Remove drops a target that is no longer listed.
func (f *Fleet) Remove(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drop(id)
	f.group()
}

func (f *Fleet) drop(id string) {
	s, ok := f.targets[id]
	if !ok {
		return
	}
	if now := f.now(); now < f.graceEnd && !s.Leaving {
		if s.lapsed == 0 {
			s.lapsed = f.graceEnd
			f.changed(Change{Target: *s.Target, What: "lapsed"})
		}
		return
	}
	delete(f.targets, id)
	f.changed(Change{Target: *s.Target, What: "gone"})
}

// Replace sets the whole list.
func (f *Fleet) Replace(listed []Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	present := make(map[string]bool, len(listed))
	for _, t := range listed {
		present[t.ID] = true
		f.put(t)
	}
	for id := range f.targets {
		if !present[id] {
			f.drop(id)
		}
	}
	f.group()
}

// Regained says that the list can be read again after an outage.
func (f *Fleet) Regained() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.graceEnd = f.now() + returnGrace
}

// Report notes a load report of a target, taken while this host had the calls
// that it has now.
func (f *Fleet) Report(id string, l Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.targets[id]
	if !ok {
		return
	}
	now := f.now()
	others := math.Max(float64(l.Running+l.Waiting-s.flight.Calls), 0)
	s.reported = (s.otherCalls(now) + others) / 2
	s.reportedAt = now
	s.waiting = l.Waiting
}

// Serving returns the targets of a service that take requests, by ID.
func (f *Fleet) Serving(service string) []Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	f.expire(now)
	f.forgetOld(now)
	list := f.services[service]
	out := make([]Status, 0, len(list))
	for _, s := range list {
		if !s.Leaving {
			out = append(out, f.status(s, now))
		}
	}
	return out
}

// All returns every target by ID.
func (f *Fleet) All() []Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	f.expire(now)
	f.forgetOld(now)
	out := make([]Status, 0, len(f.targets))
	for _, s := range f.targets {
		out = append(out, f.status(s, now))
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// expire drops lapsed entries whose time to return is over.
func (f *Fleet) expire(now time.Duration) {
	dropped := false
	for id, s := range f.targets {
		if s.lapsed != 0 && now >= s.lapsed {
			delete(f.targets, id)
			f.changed(Change{Target: *s.Target, What: "gone"})
			dropped = true
		}
	}
	if dropped {
		f.group()
	}
}

// group rebuilds the lists by service.
func (f *Fleet) group() {
	f.services = map[string][]*state{}
	for _, s := range f.targets {
		f.services[s.Service] = append(f.services[s.Service], s)
	}
	for _, list := range f.services {
		slices.SortFunc(list, func(a, b *state) int {
			if a.ID < b.ID {
				return -1
			}
			return 1
		})
	}
}

// replace sets the state of a target that is new or has restarted. What other
// hosts told counts for it too, until they tell again.
func (f *Fleet) replace(t Target) {
	s := &state{Target: &t}
	for _, o := range f.others {
		s.told = s.told.Add(o.flights[t.ID])
	}
	f.targets[t.ID] = s
}

func (f *Fleet) status(s *state, now time.Duration) Status {
	st := s.status(now)
	st.Others = f.otherFlight(s, now)
	return st
}

func (s *state) status(now time.Duration) Status {
	st := Status{
		Target: s.Target, Flight: s.flight, Heard: s.heard, Waiting: s.waiting, Risk: s.riskNow(now), Down: s.down(now),
	}
	if s.learned != nil && now-s.learnedAt < versionGrace {
		t := *s.Target
		t.Versions = maps.Clone(s.Versions)
		if t.Versions == nil {
			t.Versions = make(map[string]int, len(s.learned))
		}
		for m, v := range s.learned {
			t.Versions[m] = max(v, t.Versions[m])
		}
		st.Target = &t
	}
	return st
}

func (s *state) version(model string, now time.Duration) int {
	v := s.Versions[model]
	if now-s.learnedAt < versionGrace {
		v = max(v, s.learned[model])
	}
	return v
}

func (s *state) otherCalls(now time.Duration) float64 {
	return s.reported * math.Exp2(-float64(now-s.reportedAt)/float64(othersHalf))
}

func (s *state) riskNow(now time.Duration) float64 {
	if s.risk == 0 {
		return 0
	}
	return s.risk * math.Exp2(-float64(now-s.riskAt)/float64(riskHalf))
}

func (s *state) note(fail float64, now time.Duration) {
	s.risk = s.riskNow(now)*(1-riskStep) + fail*riskStep
	s.riskAt = now
}

// Len returns the number of targets.
func (f *Fleet) Len() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.targets)
}
