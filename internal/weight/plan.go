package weight

import (
	"cmp"
	"slices"
	"time"

	"sesamehill.example/sesamehill/internal/target"
	"sesamehill.example/sesamehill/pkg/config"
)

const (
	// oldVersionRetention is how long an old version stays loaded after another one
	// was resolved. It covers the 11 s in which every host applies a change.
	oldVersionRetention = 30 * time.Second
	// loadTimeout is how long an order to a target that does not report counts as a
	// load. A load takes about 0.4 s, and longer when several run.
	loadTimeout = 30 * time.Second
	// confirmTimeout is the time after which an order counts as failed if the target
	// neither reports its models nor loads. It is the sum of the timeout of an order
	// (2 s), the maximum age of a report (5 s) and a step of the rollout (1 s).
	confirmTimeout = 8 * time.Second
)

// Target is the observed state of one engine and the last order to it.
type Target struct {
	Name   string
	Models []target.Loaded
	Role   string
	// Loading means that the target reports a running load.
	Loading bool
	// Fresh means that the report is recent. Other targets count as not serving and
	// get no orders.
	Fresh   bool
	Leaving bool
	// InUse names the versions that runs use, as VersionName returns them.
	InUse map[string]bool
	// LastOrder is the last order that no report of the target confirms yet.
	LastOrder SentOrder
	// RetryAt is the time before which a target whose load failed gets no load.
	RetryAt time.Time
}

// SentOrder is an order that was sent. It is kept until a newer report contains its
// models. An older report may also contain them, from before another order.
type SentOrder struct {
	Models []target.Loaded
	At     time.Time
	// Loads is the Loads field of the order.
	Loads bool
}

// VersionName returns the name of a version in Target.InUse.
func VersionName(model, version string) string { return model + "@" + version }

// Input is the input of Plan.
type Input struct {
	Models  []config.Model
	Targets []Target
	// Resolved is the version of each model that new requests use so far.
	Resolved map[string]string
	// ResolvedAt is when the resolved version of a model last changed, and ChangedAt
	// when the configuration document last changed.
	ResolvedAt map[string]time.Time
	ChangedAt  time.Time
}

// Order is the next order to a target.
type Order struct {
	Target string
	Models []target.Loaded
	Role   string
	// Loads means that the target must load a model or is loading.
	Loads bool
}

// Result is a plan.
type Result struct {
	Orders   []Order
	Resolved map[string]string
	Status   []Status
}

// Status is the state of a model's rollout.
type Status struct {
	Model    string `json:"model"`
	Desired  string `json:"desired"`
	Resolved string `json:"resolved"`
	// Targets counts the targets that should serve the model, Serving those that
	// serve the resolved version, Updated those that serve the desired one.
	Targets int `json:"targets"`
	Serving int `json:"serving"`
	Updated int `json:"updated"`
	Loading int `json:"loading"`
	// Waiting counts targets that wait after a failed load.
	Waiting int `json:"waiting"`
}

// Resolve returns the version of the model that new requests use, given the one
// used so far (empty at the start of a host).
func Resolve(m config.Model, targets []Target, current string, now time.Time) string {
	count, n, unsettled := map[string]int{}, 0, 0
	for _, t := range targets {
		if !eligible(m, t) {
			continue
		}
		n++
		both := find(t.Models, m.Name, current) != nil && find(t.Models, m.Name, m.Version) != nil
		if !t.Fresh || t.loads(now) || both {
			unsettled++
		}
		for _, l := range t.Models {
			// Sent orders are ignored, because every host must resolve the same
			// version.
			if l.Model == m.Name && t.Fresh && !t.Loading {
				count[l.Version]++
			}
		}
	}
	if count[current] == 0 && count[m.Version] == 0 {
		// The host has just started, or it was the only one to use its version and
		// no target serves that any more.
		for v, c := range count {
			if c > count[current] || c == count[current] && v < current {
				current = v
			}
		}
	}
	updated, old := count[m.Version], count[current]
	switch {
	case current == "", updated > 0 && (updated*2 >= n || old == 0):
		return m.Version
	case updated > 0 && updated >= n/2 && old <= n-n/2 && unsettled == 0:
		// The targets hold one version each, and neither version can reach half.
		return m.Version
	}
	return current
}

// Plan returns the next orders.
func Plan(in Input, now time.Time) Result {
	p := &planner{
		input: in, now: now, models: map[string]config.Model{}, resolved: map[string]string{},
		status: map[string]*Status{}, maxLoads: 1, servingBefore: map[string]int{},
	}
	for _, m := range in.Models {
		m.MaxConcurrentLoads = max(m.MaxConcurrentLoads, 1)
		p.models[m.Name] = m
		p.maxLoads = max(p.maxLoads, m.MaxConcurrentLoads)
		p.resolved[m.Name] = Resolve(m, in.Targets, in.Resolved[m.Name], now)
		p.status[m.Name] = &Status{Model: m.Name, Desired: m.Version, Resolved: p.resolved[m.Name]}
	}
	p.count()
	targets := slices.Clone(in.Targets)
	slices.SortFunc(targets, func(a, b Target) int {
		// A target that serves nothing loads first, because its load takes no
		// serving target away.
		return cmp.Or(cmp.Compare(len(p.served(a)), len(p.served(b))), cmp.Compare(a.Name, b.Name))
	})
	out := Result{Resolved: p.resolved, Orders: p.orders(targets)}
	ready := !slices.ContainsFunc(targets, func(t Target) bool { return !t.Fresh || now.Before(t.RetryAt) })
	if ready && p.loading == 0 {
		// Models that fewer than half of their targets serve would block each other
		// forever, so half of the targets that serve them are enough. The rule is not
		// relaxed while a target without a fresh report or with a failed load may
		// still add to their number.
		p.relaxed = true
		out.Orders = p.orders(targets)
	}
	for _, m := range in.Models {
		out.Status = append(out.Status, *p.status[m.Name])
	}
	return out
}

type planner struct {
	input    Input
	now      time.Time
	models   map[string]config.Model
	resolved map[string]string
	status   map[string]*Status
	// loading counts the targets that load, and maxLoads limits them.
	loading, maxLoads int
	// servingBefore counts the targets that serve the resolved version before this
	// plan; it replaces the number of targets if relaxed is set.
	servingBefore map[string]int
	relaxed       bool
}

func (p *planner) orders(targets []Target) (out []Order) {
	for _, t := range targets {
		if o, ok := p.nextOrder(t); ok {
			out = append(out, o)
		}
	}
	return out
}

func (p *planner) count() {
	for _, t := range p.input.Targets {
		loads := t.loads(p.now)
		if loads {
			p.loading++
		}
		for _, m := range p.models {
			s := p.status[m.Name]
			if loads && t.loadsModel(m.Name) {
				s.Loading++
			}
			if !eligible(m, t) {
				continue
			}
			s.Targets++
			if t.serves(m.Name, s.Resolved, p.now) {
				s.Serving++
				p.servingBefore[m.Name]++
			}
			if t.serves(m.Name, m.Version, p.now) {
				s.Updated++
			}
			if p.now.Before(t.RetryAt) {
				s.Waiting++
			}
		}
	}
}

// served returns the models whose resolved version the target serves.
func (p *planner) served(t Target) (out []string) {
	for name, v := range p.resolved {
		if eligible(p.models[name], t) && t.serves(name, v, p.now) {
			out = append(out, name)
		}
	}
	return out
}

// nextOrder returns the order for the target's next step towards the configuration
// document.
func (p *planner) nextOrder(t Target) (Order, bool) {
	busy := t.loads(p.now)
	if !t.Fresh || t.Leaving || busy && (t.LastOrder.At.IsZero() || !t.Loading) {
		// A load is not interrupted if this host has no record of its order. An order
		// that the target does not report yet may be lost, but replacing it could start
		// another load.
		return Order{}, false
	}
	want, loads := p.withoutRemovedAdapters(t), false
	for _, l := range p.missing(t) {
		s := p.status[l.Model]
		alreadyLoading := busy && t.loadsModel(l.Model)
		if !alreadyLoading && s.Loading >= p.models[l.Model].MaxConcurrentLoads {
			continue
		}
		if !busy && !loads && !p.mayLoad(t) {
			break
		}
		if !alreadyLoading {
			s.Loading++
		}
		loads = true
		want = setVersion(want, l)
	}
	if loads && !busy {
		p.loading++
		for _, m := range p.served(t) {
			p.status[m].Serving--
		}
		for name, m := range p.models {
			if eligible(m, t) && t.serves(name, m.Version, p.now) {
				p.status[name].Updated--
			}
		}
	}
	want = normalized(p.withoutUnusedVersions(t, want))
	switch {
	case equal(want, normalized(t.Models)) && t.LastOrder.At.IsZero():
		return Order{}, false
	case !t.LastOrder.At.IsZero() && equal(want, normalized(t.LastOrder.Models)) && (t.Loading || p.now.Sub(t.LastOrder.At) < confirmTimeout):
		return Order{}, false
	}
	return Order{Target: t.Name, Models: want, Role: t.Role, Loads: loads || busy}, true
}

// mayLoad reports whether the target may stop serving for a load.
func (p *planner) mayLoad(t Target) bool {
	if p.loading >= p.maxLoads || p.now.Before(t.RetryAt) {
		return false
	}
	for _, m := range p.served(t) {
		s, n := p.status[m], p.status[m].Targets
		if p.relaxed {
			n = p.servingBefore[m]
		}
		if s.Targets > 1 && (s.Serving-1)*2 < n {
			return false
		}
	}
	return true
}

// withoutRemovedAdapters returns the target's models without the adapters that the
// configuration document no longer lists.
func (p *planner) withoutRemovedAdapters(t Target) (out []target.Loaded) {
	for _, l := range t.Models {
		if m, ok := p.models[l.Model]; ok && !p.recentlyChanged(l.Model) {
			l.Adapters = slices.DeleteFunc(slices.Clone(l.Adapters), func(a string) bool {
				return !slices.Contains(m.Adapters, a)
			})
		}
		out = append(out, l)
	}
	return out
}

// withoutUnusedVersions removes the versions that no request uses any more. A
// target keeps its old version until it holds or loads the desired one, in case
// this load fails and the configuration document is rolled back.
func (p *planner) withoutUnusedVersions(t Target, want []target.Loaded) []target.Loaded {
	return slices.DeleteFunc(slices.Clone(want), func(l target.Loaded) bool {
		if p.recentlyChanged(l.Model) || t.InUse[VersionName(l.Model, l.Version)] {
			return false
		}
		m, ok := p.models[l.Model]
		if !ok || !eligible(m, t) {
			return true
		}
		return l.Version != m.Version && l.Version != p.resolved[l.Model] && find(want, l.Model, m.Version) != nil
	})
}

// recentlyChanged reports whether other hosts may still use versions or adapters
// that the model's last change removed.
func (p *planner) recentlyChanged(model string) bool {
	since := p.input.ChangedAt
	if s := p.input.ResolvedAt[model]; s.After(since) {
		since = s
	}
	resolvedChanged := p.input.Resolved[model] != "" && p.input.Resolved[model] != p.resolved[model]
	return resolvedChanged || p.now.Sub(since) < oldVersionRetention
}

// missing returns the versions that the target must load, with all their adapters.
func (p *planner) missing(t Target) (out []target.Loaded) {
	for _, m := range p.input.Models {
		if !eligible(m, t) {
			continue
		}
		have := find(t.Models, m.Name, m.Version)
		if have == nil {
			out = append(out, target.Loaded{Model: m.Name, Version: m.Version, Adapters: m.Adapters})
			continue
		}
		all := slices.Clone(have.Adapters)
		for _, a := range m.Adapters {
			if !slices.Contains(all, a) {
				all = append(all, a)
			}
		}
		if len(all) > len(have.Adapters) {
			out = append(out, target.Loaded{Model: m.Name, Version: m.Version, Adapters: all})
		}
	}
	return out
}
