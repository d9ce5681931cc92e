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
	// relistGrace is how long an expired entry is kept, and may be listed again, after
	// the list can be read again. The platform promises two seconds for this.
	relistGrace = 1900 * time.Millisecond
	// failureRateHalfLife is the time in which the failure rate halves without
	// further attempts.
	failureRateHalfLife = 2 * time.Second
	// failureRateSmoothing is the weight of the newest outcome in the failure rate.
	failureRateSmoothing = 0.3
	// minDownTime and maxDownTime bound how long a target that refuses connections
	// is excluded.
	minDownTime = 250 * time.Millisecond
	maxDownTime = 2 * time.Second
	// otherCallsHalfLife is the time in which the estimate of the calls of other
	// hosts halves.
	otherCallsHalfLife = 700 * time.Millisecond
	// remoteLoadTTL is how long a load report of another host counts.
	remoteLoadTTL = 2500 * time.Millisecond
	// hubLoadTTL is the same for followers and hubs. It is shorter because a
	// follower may switch to another hub, and its calls would count twice until the
	// old report expires.
	hubLoadTTL = 1200 * time.Millisecond
	// versionGrace is how long a weight version from a reply takes precedence over
	// an older one in the list, which lags behind.
	versionGrace = 4 * time.Second
)

// state is a target with its load, failures and reachability.
type state struct {
	*Target
	inFlight InFlight
	// otherCalls is the smoothed number of calls of other hosts in the target's load
	// reports, the last of which was received at loadReportedAt.
	otherCalls     float64
	loadReportedAt time.Duration
	waiting        int
	lastDataAt     time.Duration
	failureRate    float64
	failureRateAt  time.Duration
	// downUntil is the boot time until which the target is excluded, after
	// connectFailures failed connections in a row. A suspected target is excluded
	// because another host reported it as unreachable.
	downUntil       time.Duration
	connectFailures int
	suspected       bool
	probing         bool
	// doubtedAt is when a connection last failed, or another host last reported that.
	doubtedAt time.Duration
	// connectedAt is when the target last became reachable again.
	connectedAt time.Duration
	// replyVersions are the weight versions in the newest reply that changed them,
	// received at replyVersionsAt.
	replyVersions   map[string]int
	replyVersionsAt time.Duration
	// foundAt is when a start that no entry shows yet was found.
	foundAt time.Duration
	// listedStartMs is the start that the last entry shows if the known one is not listed.
	listedStartMs int64
	// hidden is the last entry that was ignored as one of an earlier start; nil if there is none.
	hidden *Target
	// dropAt is the time at which an entry that is no longer listed is dropped; zero
	// if it is listed.
	dropAt time.Duration
	// remote is the sum of the in-flight loads that the other hosts report.
	remote InFlight
	// limit is the target's rate limit, refusals the number of refusals in a second that it
	// can give without crashing.
	limit, refusals observedLimit
	// pausedUntil is the time until which the target gets no requests of this host.
	pausedUntil time.Duration
	// accepted is the number of calls that a target with a refusal limit had accepted when it refused the
	// last one, at refusedAt; zero if it has refused none.
	accepted  int
	refusedAt time.Duration
	tunnel    tunnelState
	// coldUntil is the boot time until which the target is cold.
	coldUntil time.Duration
}

// Option changes a default of New.
type Option func(*Fleet)

// WithClock sets the clock. It must include the time for which the machine was
// suspended.
func WithClock(now func() time.Duration) Option { return func(f *Fleet) { f.now = now } }

// WithOnChange sets a function that is called after each change of the view of a
// target. It must not call the fleet.
func WithOnChange(c func(Change)) Option { return func(f *Fleet) { f.onChange = c } }

// Fleet is the set of targets. It is safe for concurrent use.
type Fleet struct {
	mu       sync.Mutex
	now      func() time.Duration
	onChange func(Change)
	// canTunnel reports whether another host may connect this one to targets.
	canTunnel func() bool
	// coldness returns how long the targets of a service are cold after their start.
	coldness func(service string) Coldness
	// listed is set once the list was read: targets that are new later have just started.
	listed bool
	// isolation caches whether this host is cut off from a service.
	isolation map[string]isolation
	targets   map[string]*state
	services  map[string][]*state
	// remoteLoads holds the last load report of each other host, by host.
	remoteLoads          map[string]remoteLoad
	remoteLoadsCheckedAt time.Duration
	// graceUntil is the boot time until which expired entries are kept after an
	// outage of the list.
	graceUntil time.Duration
	departed   departures
	ended      endedStarts
	// links holds the connections to targets that do not state their start, by ID, and
	// listReadAt is the boot time at which the list was known to be current.
	links      map[string]*link
	listReadAt time.Duration
}

// New returns an empty fleet.
func New(opts ...Option) *Fleet {
	f := &Fleet{now: wire.BootTime, onChange: func(Change) {}, canTunnel: func() bool { return false }, coldness: func(string) Coldness { return Coldness{} }, isolation: map[string]isolation{}, targets: map[string]*state{}, remoteLoads: map[string]remoteLoad{}, departed: newDepartures(), links: map[string]*link{}}
	for _, o := range opts {
		o(f)
	}
	f.indexByService()
	return f
}

// Get returns the status of a target; false if it is unknown.
func (f *Fleet) Get(id string) (Status, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.targets[id]
	if !ok {
		return Status{}, false
	}
	f.expireRemoteLoads(f.now())
	return f.status(s, f.now()), true
}

// RecordVersion records the weight version that a target reported in a reply.
func (f *Fleet) RecordVersion(id, model string, version int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.targets[id]
	if !ok || model == "" || s.version(model, f.now()) == version {
		return
	}
	s.replyVersions = map[string]int{model: version}
	s.replyVersionsAt = f.now()
	f.onChange(Change{Target: *s.Target, Event: "weight version changed"})
}

// Put adds or updates a target, which has written its entry. An entry from an earlier
// start of the target, or of one that has left, is ignored.
func (f *Fleet) Put(t Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.departed.left(t) {
		f.put(t)
	}
	f.indexByService()
}

func (f *Fleet) put(t Target) {
	f.departed.forget(t.ID)
	old, ok := f.targets[t.ID]
	if ok && t.StartedAtMs == old.StartedAtMs && !old.Unlisted {
		t.Leaving = t.Leaving || old.Leaving // the list may show an older state
	}
	switch {
	case !ok:
		f.reset(t)
		f.onChange(Change{Target: t, Event: "listed"})
		return
	case old.hidesEntry(t):
		old.hidden = &t
		return
	case t.StartedAtMs != old.StartedAtMs || t.Address != old.Address:
		if t.Address != old.Address {
			f.dropLink(t.ID)
		}
		f.reset(t)
		f.onChange(Change{Target: t, Event: "restarted"})
		return
	}
	if t.Leaving && !old.Leaving {
		f.onChange(Change{Target: t, Event: "leaving"})
	}
	old.Target, old.dropAt = &t, 0
	if t.WarmupLeft > 0 {
		f.setCold(old, t.WarmupLeft)
	}
}

// Remove drops a target that is no longer listed.
func (f *Fleet) Remove(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.departed.removeListed(id)
	f.drop(id)
	f.indexByService()
}

func (f *Fleet) drop(id string) {
	s, ok := f.targets[id]
	if !ok {
		return
	}
	if now := f.now(); now < f.graceUntil && !s.Leaving {
		if s.dropAt == 0 {
			s.dropAt = f.graceUntil
			f.onChange(Change{Target: *s.Target, Event: "expired from the list"})
		}
		return
	}
	f.remove(s)
}

// remove removes a target and remembers it.
func (f *Fleet) remove(s *state) {
	delete(f.targets, s.ID)
	f.dropLink(s.ID)
	f.ended.add(s.Target, f.now())
	f.departed.add(*s.Target, f.now())
	f.onChange(Change{Target: *s.Target, Event: "removed"})
}

// Discard drops a target whose entry names no target any more. Unlike a removed entry,
// it did not expire in an outage of the list, so that there is no grace period.
func (f *Fleet) Discard(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.targets[id]
	if !ok {
		return
	}
	delete(f.targets, id)
	f.dropLink(id)
	f.ended.add(s.Target, f.now())
	f.onChange(Change{Target: *s.Target, Event: "discarded"})
	f.indexByService()
}

// Replace updates all targets from a complete list.
func (f *Fleet) Replace(listed []Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	present := make(map[string]bool, len(listed))
	for _, t := range listed {
		present[t.ID] = true
		if f.departed.left(t) || f.departed.holdBack(t, f.now()) {
			continue
		}
		if f.departed.settling(f.now()) {
			t.Versions = f.newestVersions(t)
		}
		f.put(t)
	}
	f.listed = true
	f.departed.retainListed(present)
	for id := range f.targets {
		if !present[id] {
			f.drop(id)
		}
	}
	f.indexByService()
}

// newestVersions returns the weight versions of a restored entry, or those that were
// known of the same start if they are higher.
func (f *Fleet) newestVersions(t Target) map[string]int {
	old, ok := f.targets[t.ID]
	if !ok || old.StartedAtMs != t.StartedAtMs {
		return t.Versions
	}
	out := maps.Clone(old.Versions)
	if out == nil {
		return t.Versions
	}
	for model, version := range t.Versions {
		out[model] = max(version, out[model])
	}
	return out
}

// ListRecovered starts the grace period of expired entries, as the list can be
// read again after an outage.
func (f *Fleet) ListRecovered() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.graceUntil = f.now() + relistGrace
}

// ListRestored records that the platform was restored from an earlier copy. The next
// list shows the state of some seconds ago: targets that registered since are kept for
// the grace period of expired entries, and entries that were removed since are held
// back until their targets write them again, or have stayed listed for relapseDelay.
// Lists do not lower the weight versions of a target for as long.
func (f *Fleet) ListRestored() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.departed.restoredAt = f.now()
	f.graceUntil = f.now() + relistGrace
}

// RecordLoad records a load report of a target. It assumes that the calls which
// this host has in flight now are part of the report.
func (f *Fleet) RecordLoad(id string, l Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.targets[id]
	if !ok {
		return
	}
	now := f.now()
	others := math.Max(float64(l.Running+l.Waiting-s.inFlight.Calls), 0)
	s.otherCalls = (s.estimatedOtherCalls(now) + others) / 2
	s.loadReportedAt = now
	s.waiting = l.Waiting
}

// startOf returns the state of a start of a target; false if it is not the known one. What a
// target says counts for its start only. The caller holds mu.
func (f *Fleet) startOf(id string, startedAtMs int64) (*state, bool) {
	s, ok := f.targets[id]
	return s, ok && s.StartedAtMs == startedAtMs
}

// Serving returns the targets of a service that accept requests, sorted by ID.
func (f *Fleet) Serving(service string) []Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	f.dropExpired(now)
	f.expireRemoteLoads(now)
	list := f.services[service]
	out := make([]Status, 0, len(list))
	for _, s := range list {
		if !s.Leaving {
			out = append(out, f.status(s, now))
		}
	}
	return out
}

// All returns every target, sorted by ID.
func (f *Fleet) All() []Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	f.dropExpired(now)
	f.expireRemoteLoads(now)
	out := make([]Status, 0, len(f.targets))
	for _, s := range f.targets {
		out = append(out, f.status(s, now))
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// dropExpired drops entries that are not listed and whose grace period is over, and
// adds those that were held back for long enough.
func (f *Fleet) dropExpired(now time.Duration) {
	changed := false
	for _, s := range f.targets {
		if s.dropAt != 0 && now >= s.dropAt {
			f.remove(s)
			changed = true
		}
	}
	for _, t := range f.departed.relapsed(now) {
		f.put(t)
		changed = true
	}
	if changed {
		f.indexByService()
	}
}

// indexByService rebuilds the lists of targets by service.
func (f *Fleet) indexByService() {
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

// reset starts a new state for a target that is new or has restarted. The load
// that other hosts reported for its ID counts for it too, until they report again.
func (f *Fleet) reset(t Target) {
	if old, ok := f.targets[t.ID]; ok {
		f.ended.add(old.Target, f.now())
	}
	s := &state{Target: &t}
	for _, r := range f.remoteLoads {
		s.remote = s.remote.Add(r.byTarget[t.ID])
	}
	f.targets[t.ID] = s
	f.setCold(s, f.coldTimeAfterStart(t))
}

func (f *Fleet) status(s *state, now time.Duration) Status {
	st := s.status(now)
	if cold := f.coldLimit(s, now); cold < st.RateLimit {
		st.RateLimit, st.Cold = cold, true
	}
	st.OthersInFlight = f.othersInFlight(s, now)
	if st.Tunneled = f.tunneled(s, now); st.Tunneled {
		st.Down = false
	}
	return st
}

func (s *state) status(now time.Duration) Status {
	st := Status{
		Target: s.Target, InFlight: s.inFlight, LastDataAt: s.lastDataAt, Waiting: s.waiting, FailureRate: s.currentFailureRate(now), Down: s.down(now),
		RateLimit: s.limit.current(now), RefusalLimit: s.refusals.current(now), PausedFor: max(s.pausedUntil-now, 0), AcceptedCalls: s.acceptedCalls(now),
	}
	if s.replyVersions != nil && now-s.replyVersionsAt < versionGrace {
		t := *s.Target
		t.Versions = maps.Clone(s.Versions)
		if t.Versions == nil {
			t.Versions = make(map[string]int, len(s.replyVersions))
		}
		for m, v := range s.replyVersions {
			t.Versions[m] = max(v, t.Versions[m])
		}
		st.Target = &t
	}
	return st
}

func (s *state) version(model string, now time.Duration) int {
	v := s.Versions[model]
	if now-s.replyVersionsAt < versionGrace {
		v = max(v, s.replyVersions[model])
	}
	return v
}

func (s *state) estimatedOtherCalls(now time.Duration) float64 {
	return s.otherCalls * math.Exp2(-float64(now-s.loadReportedAt)/float64(otherCallsHalfLife))
}

// Len returns the number of targets.
func (f *Fleet) Len() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.targets)
}
