package host

import (
	"sort"
	"sync"
	"time"

	"sesamehill.example/sesamehill/internal/table"
	"sesamehill.example/sesamehill/internal/target"
)

// failureBackoff is how long a target gets no new work after a failed connection or a
// refusal, unless a newer load report arrives.
const failureBackoff = 2 * time.Second

// fleet holds a host's view of all targets.
type fleet struct {
	mu      sync.Mutex
	targets map[string]*targetView
	// drained holds the addresses of the targets that operators drain, by name.
	drained map[string]string
}

// targetView is a host's view of one target.
type targetView struct {
	listed  table.ListedTarget
	engine  target.Engine
	store   target.Store
	service target.Service

	report target.LoadReport
	// reportReceived is the local time at which the report arrived.
	reportReceived time.Time
	failedAt       time.Time
	// avoidUntil is the end of the period without new work after a failure.
	avoidUntil time.Time
	dispatches []dispatch
	inFlight   int
	// runsByVersion counts the runs in flight by the version string of weight.VersionName.
	runsByVersion map[string]int
}

// dispatch is a run that this host started on a target.
type dispatch struct {
	at     time.Time
	tokens int
}

// totalTokens returns the total prompt tokens of dispatches.
func totalTokens(dispatches []dispatch) int {
	tokens := 0
	for _, d := range dispatches {
		tokens += d.tokens
	}
	return tokens
}

func newFleet() *fleet {
	return &fleet{targets: map[string]*targetView{}, drained: map[string]string{}}
}

// apply sets a new listing. It drops a target that is no longer listed once no run
// of this host is in flight there, and returns the names of the dropped targets.
func (f *fleet) apply(l table.Listing) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	listed := make(map[string]bool, len(l.Targets))
	for _, t := range l.Targets {
		listed[t.Name] = true
		m := f.targets[t.Name]
		if m == nil || m.listed.Address != t.Address || m.listed.Kind != t.Kind {
			m = dial(t)
			f.targets[t.Name] = m
		}
		m.listed = t
	}
	var dropped []string
	for n, m := range f.targets {
		if listed[n] {
			continue
		}
		m.listed.State = table.Leaving
		if m.inFlight == 0 {
			m.closeIdle()
			delete(f.targets, n)
			dropped = append(dropped, n)
		}
	}
	return dropped
}

func dial(t table.ListedTarget) *targetView {
	m := &targetView{listed: t, runsByVersion: map[string]int{}}
	switch t.Kind {
	case table.Engine:
		m.engine = target.NewEngine(t.Address)
	case table.Store:
		m.store = target.NewStore(t.Address)
	case table.Service:
		m.service = target.NewService(t.Address)
	}
	return m
}

// closeIdle closes the idle connections to a target.
func (m *targetView) closeIdle() {
	for _, c := range []any{m.engine, m.store, m.service} {
		if c, ok := c.(interface{ Close() }); ok {
			c.Close()
		}
	}
}

// closeIdle closes the idle connections to all targets.
func (f *fleet) closeIdle() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.targets {
		m.closeIdle()
	}
}

// drain stops new work for the target with that name and address.
func (f *fleet) drain(name, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drained[name] = address
}

// updateReport stores a load report that arrived at now. It ignores a report that is
// not newer than the stored one.
func (f *fleet) updateReport(name string, r target.LoadReport, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.targets[name]
	if m == nil || !r.ReportedAt.After(m.report.ReportedAt) {
		return
	}
	m.report = r
	m.reportReceived = now
	if now.After(m.failedAt) {
		m.avoidUntil = time.Time{}
	}
	kept := m.dispatches[:0]
	for _, d := range m.dispatches {
		if d.at.After(r.ReportedAt) {
			kept = append(kept, d)
		}
	}
	m.dispatches = kept
}

// markFailed records that a target broke a connection or refused work.
func (f *fleet) markFailed(name string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.targets[name]; m != nil {
		m.failedAt, m.avoidUntil = now, now.Add(failureBackoff)
	}
}

// addRun records a dispatch; removeRun ends it. use is the weight version as weight.VersionName
// names it.
func (f *fleet) addRun(name, use string, tokens int, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.targets[name]; m != nil {
		m.dispatches = append(m.dispatches, dispatch{at: now, tokens: tokens})
		m.inFlight++
		m.runsByVersion[use]++
	}
}

func (f *fleet) removeRun(name, use string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.targets[name]
	if m == nil || m.inFlight == 0 {
		return
	}
	m.inFlight--
	if m.runsByVersion[use]--; m.runsByVersion[use] <= 0 {
		delete(m.runsByVersion, use)
	}
}

// inUse returns the weight versions that runs of this host use at a target.
func (f *fleet) inUse(name string) map[string]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string]bool{}
	if m := f.targets[name]; m != nil {
		for use := range m.runsByVersion {
			out[use] = true
		}
	}
	return out
}

// engine returns the client of an engine, or nil.
func (f *fleet) engine(name string) target.Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.targets[name]; m != nil {
		return m.engine
	}
	return nil
}

// store returns the client of a store and its address.
func (f *fleet) store(name string) (target.Store, string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.targets[name]; m != nil {
		return m.store, m.listed.Address
	}
	return nil, ""
}

// list returns copies of the targets of a kind that match keep, sorted by name.
func (f *fleet) list(kind table.Kind, keep func(*targetView) bool) []targetView {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []targetView
	for _, m := range f.targets {
		if m.listed.Kind != kind || (keep != nil && !keep(m)) {
			continue
		}
		c := *m
		c.dispatches = append([]dispatch(nil), m.dispatches...)
		out = append(out, c)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].listed.Name < out[j].listed.Name })
	return out
}

// isStaying reports whether a target is neither leaving nor drained. The caller
// holds the lock.
func (f *fleet) isStaying(m *targetView) bool {
	return m.listed.State == table.Live && !f.isDraining(m)
}

// open reports whether a target may get new work. The caller holds the lock.
func (f *fleet) open(m *targetView, now time.Time) bool {
	return f.isStaying(m) && !now.Before(m.avoidUntil)
}

// isOpen reports whether a target may get new work.
func (f *fleet) isOpen(name string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.targets[name]
	return m != nil && f.open(m, now)
}

// get returns a copy of the view of a target.
func (f *fleet) get(name string) (targetView, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.targets[name]
	if m == nil {
		return targetView{}, false
	}
	return *m, true
}

// isDraining reports whether an operator drains a target. The caller holds the lock.
func (f *fleet) isDraining(m *targetView) bool {
	a, ok := f.drained[m.listed.Name]
	return ok && a == m.listed.Address
}

// isDrained reports whether an operator drains a target.
func (f *fleet) isDrained(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.targets[name]
	return m != nil && f.isDraining(m)
}
