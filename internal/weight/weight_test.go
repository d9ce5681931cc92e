package weight

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rogpeppe/go-internal/txtar"
	"pgregory.net/rapid"

	_ "sesamehill.example/sesamehill/internal/seeds"
	"sesamehill.example/sesamehill/internal/target"
	"sesamehill.example/sesamehill/pkg/config"
)

func TestWeight(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "weight")
}

// Guards against plans that start too many loads at once, stop more than half of
// the targets from serving, resolve a version too early or drop one in use.
var _ = Describe("Plan", func() {
	archive, err := txtar.ParseFile("testdata/plan.txtar")
	if err != nil {
		panic(err)
	}
	start := time.Now()
	for _, f := range archive.Files {
		It(f.Name, func() {
			in, now, resolved := Input{ChangedAt: start.Add(-time.Hour)}, start, map[string]string{}
			var got, want []string
			for line := range strings.Lines(string(f.Data)) {
				w := strings.Fields(line)
				switch w[0] {
				case "model":
					m := config.Model{Name: w[1], Version: w[2], MaxConcurrentLoads: len(w[3])}
					if len(w) > 4 {
						m.Adapters = w[4:]
					}
					in.Models = append(in.Models, m)
				case "resolved":
					resolved[w[1]] = w[2]
				case "just":
					in.ChangedAt = start
				case "target":
					t := Target{Name: w[1], Fresh: true, InUse: map[string]bool{}}
					for _, s := range w[2:] {
						switch {
						case s == "loading":
							t.Loading = true
						case s == "unknown":
							t.Fresh = false
						case s == "leaving":
							t.Leaving = true
						case s == "failed":
							t.RetryAt = start.Add(time.Second)
						case strings.HasPrefix(s, "sent:"):
							t.LastOrder = SentOrder{Models: loaded(s[5:]), At: start.Add(-time.Second), Loads: true}
						case strings.HasPrefix(s, "stale:"):
							t.LastOrder = SentOrder{Models: loaded(s[6:]), At: start.Add(-loadTimeout), Loads: true}
						case strings.HasPrefix(s, "use:"):
							t.InUse[s[4:]] = true
						default:
							t.Models = loaded(s)
						}
					}
					in.Targets = append(in.Targets, t)
				default:
					want = append(want, strings.Join(w, " "))
				}
			}
			in.Resolved = resolved
			out := Plan(in, now)
			for _, o := range out.Orders {
				got = append(got, fmt.Sprintf("order %s %s", o.Target, format(o.Models)))
			}
			for _, s := range out.Status {
				got = append(got, fmt.Sprintf("status %s %s serving %d updated %d", s.Model, s.Resolved, s.Serving, s.Updated))
			}
			Expect(got).To(Equal(want))
		})
	}
})

func loaded(s string) (out []target.Loaded) {
	for _, f := range strings.Split(s, ",") {
		parts := strings.Split(f, "+")
		m, v, _ := strings.Cut(parts[0], "@")
		out = append(out, target.Loaded{Model: m, Version: v, Adapters: parts[1:]})
	}
	return out
}

func format(models []target.Loaded) string {
	var out []string
	for _, l := range models {
		out = append(out, strings.Join(append([]string{VersionName(l.Model, l.Version)}, l.Adapters...), "+"))
	}
	return strings.Join(out, ",")
}

// engine is an in-memory engine on a simulated clock.
type engine struct {
	target.Engine
	world         *world
	name          string
	models        []target.Loaded
	nextModels    []target.Loaded
	loadEnds      time.Time // end of the running load
	delayed       []func()  // orders that arrive at the next tick
	fence         uint64
	fenced        bool
	singleVersion bool // holds one version of a model
	fault         string
	orders        int
	reports       []target.LoadReport // one per tick, the newest last
}

type world struct {
	mu          sync.Mutex
	now         time.Time
	engines     []*engine
	limit       int
	holder      int
	fence       uint64
	holderSince time.Time
	failf       func(string, ...any)
}

func (e *engine) report() target.LoadReport {
	return target.LoadReport{Models: slices.Clone(e.models), Loading: !e.loadEnds.IsZero(), FencingToken: e.fence}
}

func (e *engine) Load(context.Context) (target.LoadReport, error) {
	e.world.mu.Lock()
	defer e.world.mu.Unlock()
	if e.fault == "dead" {
		return target.LoadReport{}, &target.BrokenError{Target: e.name}
	}
	return e.report(), nil
}

func (e *engine) Order(_ context.Context, o target.Order) (target.OrderResult, error) {
	e.world.mu.Lock()
	defer e.world.mu.Unlock()
	e.orders++
	switch fault := e.fault; fault {
	case "refuse":
		e.fault = ""
		return target.OrderResult{}, &target.NotRunError{Target: e.name}
	case "slow", "lost":
		e.fault = ""
		if fault == "slow" {
			e.delayed = append(e.delayed, func() { _ = e.apply(o) })
		}
		return target.OrderResult{}, &target.BrokenError{Target: e.name}
	}
	return target.OrderResult{}, e.apply(o)
}

func (e *engine) apply(o target.Order) error {
	if e.fenced && o.FencingToken < e.fence {
		return &target.FencingTokenError{Target: e.name, Sent: o.FencingToken, Accepted: e.fence}
	}
	e.fence = max(e.fence, o.FencingToken)
	loads := false
	for _, l := range o.Models {
		loads = loads || find(e.models, l.Model, l.Version) == nil
	}
	e.models = slices.DeleteFunc(slices.Clone(e.models), func(l target.Loaded) bool {
		return find(o.Models, l.Model, l.Version) == nil || e.singleVersion && loads
	})
	if loads {
		e.nextModels, e.loadEnds = slices.Clone(o.Models), e.world.now.Add(1500*time.Millisecond)
		if e.singleVersion {
			e.nextModels = e.nextModels[len(e.nextModels)-1:]
		}
	}
	e.world.check()
	return nil
}

// check verifies the limit on concurrent loads.
func (w *world) check() {
	n := 0
	for _, e := range w.engines {
		if !e.loadEnds.IsZero() {
			n++
		}
	}
	if n > w.limit {
		w.failf("%d targets load at once, limit %d", n, w.limit)
	}
}

func (w *world) tick() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.now = w.now.Add(time.Second)
	for _, e := range w.engines {
		for _, f := range e.delayed {
			f()
		}
		e.delayed = nil
		if !e.loadEnds.IsZero() && !w.now.Before(e.loadEnds) {
			if e.loadEnds = (time.Time{}); e.fault != "break" {
				e.models = e.nextModels
			}
		}
		e.reports = append(e.reports, e.report())
	}
}

// hostLease is one host's view of the lease.
type hostLease struct {
	world *world
	id    int
}

func (l hostLease) FencingToken() (uint64, error) {
	l.world.mu.Lock()
	defer l.world.mu.Unlock()
	if l.world.holder != l.id {
		return 0, context.Canceled
	}
	return l.world.fence, nil
}

func (l hostLease) AllowsUnfenced() bool {
	l.world.mu.Lock()
	defer l.world.mu.Unlock()
	return l.world.holder == l.id && l.world.now.Sub(l.world.holderSince) >= 2*time.Second
}

func (l hostLease) Release(context.Context) error { return nil }

// host returns a host whose reports of the targets lag by some ticks.
func (w *world) host(id, lag int) *Rollout {
	return New(hostLease{w, id}, func() (out []Observed) {
		for _, e := range w.engines {
			r := e.reports[max(0, len(e.reports)-1-lag)]
			out = append(out, Observed{Engine: e, ReportedAt: w.now.Add(-time.Duration(lag) * time.Second), Target: Target{
				Name: e.name, Models: r.Models, Loading: r.Loading, Fresh: e.fault != "dead",
			}})
		}
		return out
	}, WithClock(func() time.Time {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.now
	}))
}

// Guards against repeated orders without backoff to a target whose loads fail, and
// against a target that gets no load any more after it was repaired.
func TestFailedLoadsBackOff(t *testing.T) {
	w := &world{now: time.Now(), limit: 1, failf: t.Fatalf}
	e := &engine{world: w, name: "e", models: loaded("m@1"), fault: "break"}
	w.engines = []*engine{e}
	w.tick()
	h := w.host(0, 0)
	model := []config.Model{{Name: "m", Version: "2", MaxConcurrentLoads: 1}}
	for i := range 3600 {
		if i == 3000 {
			if e.orders < 5 || e.orders > 20 {
				t.Fatalf("%d orders in 3,000 s", e.orders)
			}
			e.fault = ""
		}
		_ = h.Step(context.Background(), model, w.now)
		w.tick()
	}
	if find(e.models, "m", "2") == nil {
		t.Fatalf("after the repair the target holds %s", format(e.models))
	}
}

// Guards against a new lease holder exceeding the load limit because an order of the
// previous holder is still in flight and the reports lag.
func TestNewHolderWaitsAndReads(t *testing.T) {
	w := &world{now: time.Now(), limit: 1, failf: t.Fatalf}
	for i := range 4 {
		w.engines = append(w.engines, &engine{world: w, name: fmt.Sprint(i), models: loaded("m@1")})
	}
	w.tick()
	hosts := []*Rollout{w.host(0, 2), w.host(1, 2)}
	step := func(version string) (orders int) {
		model := []config.Model{{Name: "m", Version: version, MaxConcurrentLoads: 1}}
		for _, h := range hosts {
			_ = h.Step(context.Background(), model, w.now)
		}
		w.tick()
		for _, e := range w.engines {
			orders += e.orders
		}
		return orders
	}
	for range 8 {
		step("1")
	}
	w.engines[0].fault, w.engines[1].fault = "dead", "slow"
	_ = hosts[0].Step(context.Background(), []config.Model{{Name: "m", Version: "2", MaxConcurrentLoads: 1}}, w.now)
	w.engines[0].fault = ""
	w.holder, w.holderSince = 1, w.now
	for i := range 6 {
		if n := step("2"); n != 1 || w.engines[1].orders != 1 {
			t.Fatalf("%d orders %d s after the change", n, i)
		}
		w.engines[1].loadEnds = w.now.Add(2 * time.Second) // the load takes longer than usual
	}
	// The lagging reports contain no load, but a read of the target does.
	for range 30 {
		step("2")
	}
	for _, e := range w.engines {
		e.loadEnds = w.now.Add(time.Hour)
	}
	if before, after := step("2"), step("3"); after != before {
		t.Fatalf("%d orders to targets that load", after-before)
	}
}

// Guards against a stale report confirming an order, a rejected order replacing the
// record of the one before, and orders kept from an earlier lease.
func TestRecordedOrders(t *testing.T) {
	w := &world{now: time.Now(), limit: 1, failf: t.Fatalf}
	e := &engine{world: w, name: "e", models: loaded("m@1"), fault: "refuse"}
	w.engines = []*engine{e}
	w.tick()
	h := w.host(0, 0)
	sent := SentOrder{Models: loaded("m@1"), At: w.now, Loads: true}
	confirm := func(age time.Duration) bool {
		h.histories["e"] = &history{lastOrder: sent}
		h.plan([]Observed{{Engine: e, ReportedAt: w.now.Add(-age), Target: Target{
			Name: "e", Models: e.models, Fresh: true,
		}}}, nil, w.now, w.now)
		return h.histories["e"].lastOrder.At.IsZero()
	}
	if confirm(time.Second) || !confirm(-time.Second) {
		t.Fatal("an order is confirmed by an older report, or not by a newer one")
	}
	h.histories["e"] = &history{lastOrder: sent}
	_ = h.send(context.Background(), e, Order{Target: "e", Models: loaded("m@2")}, Target{Models: e.models})
	if o := h.histories["e"]; o.lastOrder.At != sent.At || !o.retryAt.After(w.now) {
		t.Fatalf("after a refusal: %+v", o)
	}
	w.holder = 1
	_ = h.Step(context.Background(), nil, w.now)
	if !h.histories["e"].lastOrder.At.IsZero() {
		t.Fatal("the order is still recorded without the lease")
	}
}

// Guards against more loads at once than allowed, fewer than half of the targets
// serving, and a rollout that never completes, while orders are lost, delayed or rejected,
// loads fail, the version changes and the lease moves between two hosts.
func TestRollout(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var failure string
		w := &world{now: time.Now(), fence: 1, failf: func(f string, a ...any) { failure = fmt.Sprintf(f, a...) }}
		w.limit = rapid.IntRange(1, 3).Draw(t, "loads")
		n := rapid.IntRange(1, 6).Draw(t, "targets")
		singleVersion := rapid.Bool().Draw(t, "single")
		for i := range n {
			w.engines = append(w.engines, &engine{
				world: w, name: fmt.Sprint("e", i), models: loaded("m@1"), singleVersion: singleVersion,
				fenced: rapid.Bool().Draw(t, "fenced"),
			})
		}
		m := config.Model{Name: "m", Version: "1", MaxConcurrentLoads: w.limit}
		lag := rapid.IntRange(0, 2).Draw(t, "lag")
		w.tick()
		changed, hosts := w.now, [2]*Rollout{w.host(0, lag), w.host(1, lag)}
		step := func() {
			before := map[string]int{}
			for _, e := range w.engines {
				for _, l := range e.models {
					if e.loadEnds.IsZero() && e.fault != "dead" {
						before[l.Version]++
					}
				}
			}
			resolved := hosts[w.holder].Resolved()["m"]
			for i, h := range hosts {
				if err := h.Step(context.Background(), []config.Model{m}, changed); err != nil && i == w.holder {
					t.Fatalf("holder: %v", err)
				}
			}
			after := 0
			now := hosts[w.holder].Resolved()["m"]
			for _, e := range w.engines {
				if e.loadEnds.IsZero() && e.fault != "dead" && find(e.models, "m", now) != nil {
					after++
				}
			}
			minServing := n / 2
			if !singleVersion {
				minServing = (n + 1) / 2
			}
			if n > 1 && after < minServing && after < before[now] && now == resolved {
				t.Fatalf("%d of %d targets serve version %s, before %d", after, n, now, before[now])
			}
			if resolved != "" && now != resolved && lag == 0 && before[resolved] > 0 &&
				before[now]*2 < n && (before[now] < n/2 || before[resolved] > n-n/2) {
				t.Fatalf("version %s resolved with %d of %d targets", now, before[now], n)
			}
			if failure != "" {
				t.Fatal(failure)
			}
			w.tick()
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"version", "holder", "fault", "fault", "", "", "", ""}).Draw(t, "event") {
			case "version":
				m.Version, changed = rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "version"), w.now
			case "holder":
				w.holder, w.holderSince = 1-w.holder, w.now
				w.fence++
			case "fault":
				for _, e := range w.engines {
					e.fault = rapid.SampledFrom([]string{"refuse", "slow", "slow", "lost", "break", "dead", "", ""}).Draw(t, "fault")
				}
			}
			step()
		}
		for _, e := range w.engines {
			e.fault = ""
		}
		m.Version, changed = "4", w.now
		complete := func() bool {
			return !slices.ContainsFunc(w.engines, func(e *engine) bool { return format(e.models) != "m@4" })
		}
		for i := 0; i < 900 && !complete(); i++ {
			step()
		}
		for range lag + 2 { // the other host receives the report of the last load
			step()
		}
		for _, e := range w.engines {
			if format(e.models) != "m@4" {
				t.Fatalf("%s still holds %s; status %+v", e.name, format(e.models), hosts[w.holder].Status())
			}
		}
		if r := hosts[1-w.holder].Resolved(); !maps.Equal(r, map[string]string{"m": "4"}) {
			t.Fatalf("the other host resolves %v", r)
		}
	})
}
