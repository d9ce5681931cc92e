package weight

import (
	"cmp"
	"slices"
	"time"

	"sesamehill.example/sesamehill/internal/target"
	"sesamehill.example/sesamehill/pkg/config"
)

const (
	// linger is how long an old version stays after another one was resolved; it
	// covers the time in which every host puts a change in force (11 s).
	linger = 30 * time.Second
	// loadLimit is the time for which an order to a target that doesn't report
	// counts as a load; a load takes about 0.4 s, longer when several run.
	loadLimit = 30 * time.Second
	// settle is the time after which an order counts as failed that the target
	// neither shows nor works on: the bound on an order in flight (2 s), the
	// greatest age of a report (5 s) and a step of the rollout (1 s).
	settle = 8 * time.Second
)

// Target is the observed state of one engine and the last order to it.
type Target struct {
	Name   string
	Models []target.Loaded
	Role   string
	// Loading tells that the target reports a load under way.
	Loading bool
	// Known tells that the report is fresh; other targets serve nothing and get
	// no orders.
	Known   bool
	Leaving bool
	// InUse names the versions that runs use, as Use returns them.
	InUse map[string]bool
	// Sent is the last order that the target doesn't show yet.
	Sent Sent
	// RetryAt is the time before which a target whose load failed gets no load.
	RetryAt time.Time
}

// Sent is an order that was sent. It stays until a report that is newer shows
// its models: older ones may show them, too, from before another order.
type Sent struct {
	Models []target.Loaded
	At     time.Time
	// Loads is that of the order.
	Loads bool
}

// Use returns the name of a version in Target.InUse.
func Use(model, version string) string { return model + "@" + version }

// Input is what a plan is made from.
type Input struct {
	Models  []config.Model
	Targets []Target
	// Resolved is the version of each model that new requests use so far.
	Resolved map[string]string
	// Since is when the resolved version of a model last changed, Changed when
	// the document did.
	Since   map[string]time.Time
	Changed time.Time
}

// Order is the next order to a target.
type Order struct {
	Target string
	Models []target.Loaded
	Role   string
	// Loads tells that the target must load something or is loading.
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
		if !t.Known || t.loads(now) || both {
			unsettled++
		}
		for _, l := range t.Models {
			// Orders sent don't matter: every host must come to the same version.
			if l.Model == m.Name && t.Known && !t.Loading {
				count[l.Version]++
			}
		}
	}
	if count[current] == 0 && count[m.Version] == 0 {
		// The host starts, or was the only one to use the version.
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
		// The targets hold one version each and neither can reach half.
		return m.Version
	}
	return current
}

// Plan returns the next orders.
func Plan(in Input, now time.Time) Result {
	p := &planner{
		in: in, now: now, models: map[string]config.Model{}, resolved: map[string]string{},
		status: map[string]*Status{}, limit: 1, holding: map[string]int{},
	}
	for _, m := range in.Models {
		m.MaxConcurrentLoads = max(m.MaxConcurrentLoads, 1)
		p.models[m.Name] = m
		p.limit = max(p.limit, m.MaxConcurrentLoads)
		p.resolved[m.Name] = Resolve(m, in.Targets, in.Resolved[m.Name], now)
		p.status[m.Name] = &Status{Model: m.Name, Desired: m.Version, Resolved: p.resolved[m.Name]}
	}
	p.count()
	targets := slices.Clone(in.Targets)
	slices.SortFunc(targets, func(a, b Target) int {
		// A target that serves nothing loads first: it takes nothing away.
		return cmp.Or(cmp.Compare(len(p.served(a)), len(p.served(b))), cmp.Compare(a.Name, b.Name))
	})
	out := Result{Resolved: p.resolved, Orders: p.orders(targets)}
	ready := !slices.ContainsFunc(targets, func(t Target) bool { return !t.Known || now.Before(t.RetryAt) })
	if ready && p.loading == 0 {
		// Models that fewer than half of their targets hold would block each other
		// for ever; half of those that hold them must do. A target that is unknown
		// or waits after a failed load may still raise their number.
		p.relaxed = true
		out.Orders = p.orders(targets)
	}
	for _, m := range in.Models {
		out.Status = append(out.Status, *p.status[m.Name])
	}
	return out
}

type planner struct {
	in       Input
	now      time.Time
	models   map[string]config.Model
	resolved map[string]string
	status   map[string]*Status
	// loading counts the targets that load, limit bounds them.
	loading, limit int
	// holding counts the targets that serve the resolved version before this
	// plan; it replaces the number of targets if relaxed is set.
	holding map[string]int
	relaxed bool
}

func (p *planner) orders(targets []Target) (out []Order) {
	for _, t := range targets {
		if o, ok := p.order(t); ok {
			out = append(out, o)
		}
	}
	return out
}

func (p *planner) count() {
	for _, t := range p.in.Targets {
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
				p.holding[m.Name]++
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

// order returns the order that brings the target one step nearer to the
// document.
func (p *planner) order(t Target) (Order, bool) {
	busy := t.loads(p.now)
	if !t.Known || t.Leaving || busy && (t.Sent.At.IsZero() || !t.Loading) {
		// A load whose order is unknown is left to end. An order that the target
		// doesn't show yet may be lost; another load in its place would be a new one.
		return Order{}, false
	}
	want, loads := p.kept(t), false
	for _, l := range p.missing(t) {
		s := p.status[l.Model]
		own := busy && t.loadsModel(l.Model)
		if !own && s.Loading >= p.models[l.Model].MaxConcurrentLoads {
			continue
		}
		if !busy && !loads && !p.mayLoad(t) {
			break
		}
		if !own {
			s.Loading++
		}
		loads = true
		want = put(want, l)
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
	want = normal(p.drop(t, want))
	switch {
	case equal(want, normal(t.Models)) && t.Sent.At.IsZero():
		return Order{}, false
	case !t.Sent.At.IsZero() && equal(want, normal(t.Sent.Models)) && (t.Loading || p.now.Sub(t.Sent.At) < settle):
		return Order{}, false
	}
	return Order{Target: t.Name, Models: want, Role: t.Role, Loads: loads || busy}, true
}

// mayLoad reports whether the target may stop serving for a load.
func (p *planner) mayLoad(t Target) bool {
	if p.loading >= p.limit || p.now.Before(t.RetryAt) {
		return false
	}
	for _, m := range p.served(t) {
		s, n := p.status[m], p.status[m].Targets
		if p.relaxed {
			n = p.holding[m]
		}
		if s.Targets > 1 && (s.Serving-1)*2 < n {
			return false
		}
	}
	return true
}

// kept returns the target's state without the adapters that are no longer
// listed.
func (p *planner) kept(t Target) (out []target.Loaded) {
	for _, l := range t.Models {
		if m, ok := p.models[l.Model]; ok && !p.fresh(l.Model) {
			l.Adapters = slices.DeleteFunc(slices.Clone(l.Adapters), func(a string) bool {
				return !slices.Contains(m.Adapters, a)
			})
		}
		out = append(out, l)
	}
	return out
}

// drop takes out the versions that no request uses any more. A target keeps its
// old version until it holds or loads the desired one, for the case that this
// load fails and the document goes back.
func (p *planner) drop(t Target, want []target.Loaded) []target.Loaded {
	return slices.DeleteFunc(slices.Clone(want), func(l target.Loaded) bool {
		if p.fresh(l.Model) || t.InUse[Use(l.Model, l.Version)] {
			return false
		}
		m, ok := p.models[l.Model]
		if !ok || !eligible(m, t) {
			return true
		}
		return l.Version != m.Version && l.Version != p.resolved[l.Model] && find(want, l.Model, m.Version) != nil
	})
}

// fresh reports whether other hosts may still use what the model's last change
// made superfluous.
func (p *planner) fresh(model string) bool {
	since := p.in.Changed
	if s := p.in.Since[model]; s.After(since) {
		since = s
	}
	moved := p.in.Resolved[model] != "" && p.in.Resolved[model] != p.resolved[model]
	return moved || p.now.Sub(since) < linger
}

// missing returns what the target must load, with all adapters of the version.
func (p *planner) missing(t Target) (out []target.Loaded) {
	for _, m := range p.in.Models {
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
