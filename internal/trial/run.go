package trial

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"

	"sesamehill.example/sesamehill/internal/pause"
	"sesamehill.example/sesamehill/internal/place"
	"sesamehill.example/sesamehill/platform/stand"
)

const (
	// settleTime is left between the start of the hosts and the load, in which they
	// learn of each other.
	settleTime = 1500 * time.Millisecond
	// lostAfter is how long the list of engines names one that was lost.
	lostAfter = time.Second
	// returnSuffix makes the ID of a request that returns after a refusal, as each
	// attempt of a caller has its own.
	returnSuffix = "b"
	// busyShare is the share of taken slots from which a refusal is not one with
	// free slots.
	busyShare = 0.5
)

// Option changes a default of Run.
type Option func(*trial)

// WithDirectory sets where settings and logs of hosts are left; otherwise they
// are removed.
func WithDirectory(d string) Option { return func(t *trial) { t.directory = d } }

// WithPolicy sets the rule of placement of all hosts.
func WithPolicy(p place.Policy) Option { return func(t *trial) { t.policy = p } }

// WithProgram sets the path of sesamed.
func WithProgram(path string) Option { return func(t *trial) { t.program = path } }

// WithSeed sets the seed of arrivals.
func WithSeed(s uint64) Option { return func(t *trial) { t.seed = s } }

type trial struct {
	pattern   Pattern
	program   string
	directory string
	policy    place.Policy
	seed      uint64

	store  *stand.Store
	hosts  []*host
	caller *stand.Client
	result *result
	reads  *reads

	mu      sync.Mutex
	engines []*placed
	started int
}

// placed is an engine with its place.
type placed struct {
	*stand.Engine
	model *engine
	name  string
	zone  Zone
	lose  context.CancelFunc
}

// Run plays a pattern and returns what callers got.
func Run(ctx context.Context, p Pattern, opts ...Option) (*Report, error) {
	if err := p.Check(); err != nil {
		return nil, errors.Trace(err)
	}
	t := &trial{pattern: p, program: "sesamed", policy: place.Cost, seed: 1, reads: newReads(), caller: stand.NewClient()}
	for _, o := range opts {
		o(t)
	}
	t.result = newResult(p)
	defer t.caller.Close()
	if t.directory == "" {
		directory, err := os.MkdirTemp("", "trial-")
		if err != nil {
			return nil, errors.Trace(err)
		}
		defer func() { _ = os.RemoveAll(directory) }() // temporary files may stay
		t.directory = directory
	}
	defer t.end()
	if err := t.start(ctx); err != nil {
		return nil, errors.Trace(err)
	}
	if err := t.play(ctx); err != nil {
		return nil, errors.Trace(err)
	}
	return t.report(), nil
}

func (t *trial) start(ctx context.Context) error {
	t.store = stand.NewStore()
	var routes []stand.Route
	for _, k := range t.pattern.Kinds {
		routes = append(routes, stand.Route{
			Kind: k.Name, FirstEventTarget: k.Goal.AsDuration(), EventGapTarget: k.Gap.AsDuration(), Timeout: k.Within.AsDuration(), Priority: k.Priority,
		})
	}
	t.store.PutConfig(1, t.pattern.Engine.Slots, t.pattern.Engine.Tokens, accountKey, routes)
	for range t.pattern.Engine.Count {
		t.engines = append(t.engines, t.newEngine())
	}
	for n := range t.pattern.Hosts {
		h, err := startHost(t.program, t.directory, t.store.Address(), t.policy, t.pattern, n)
		if err != nil {
			return errors.Trace(err)
		}
		t.hosts = append(t.hosts, h)
	}
	for _, h := range t.hosts {
		if err := h.await(ctx); err != nil {
			return errors.Trace(err)
		}
	}
	return pause.For(ctx, settleTime)
}

// newEngine starts an engine and lists it.
func (t *trial) newEngine() *placed {
	ctx, lose := context.WithCancel(context.Background())
	e := &placed{
		model: newEngine(ctx, t.pattern.Engine, t.reads), lose: lose,
		name: fmt.Sprintf("engine-%03d", t.started), zone: t.pattern.Zones[t.started%len(t.pattern.Zones)],
	}
	t.started++
	e.Engine = stand.NewEngine(e.name, e.model)
	t.store.PutTarget(e.Engine, e.zone.Name)
	return e
}

func (t *trial) end() {
	var stopping sync.WaitGroup
	for _, h := range t.hosts {
		stopping.Go(h.stop)
	}
	stopping.Wait()
	for _, e := range t.engines {
		e.lose()
		e.Close()
	}
	if t.store != nil {
		t.store.Close()
	}
}

// play sends the load and makes the changes.
func (t *trial) play(ctx context.Context) error {
	random := rand.New(rand.NewPCG(t.seed, 1<<32))
	start := time.Now()
	var open sync.WaitGroup
	for _, c := range t.pattern.Change {
		first := random.IntN(t.pattern.Engine.Count)
		open.Go(func() { t.change(ctx, start, c, first) })
	}
	for _, a := range plan(t.pattern, t.seed) {
		if pause.For(ctx, time.Until(start.Add(a.at))) != nil {
			break
		}
		h := t.hosts[random.IntN(len(t.hosts))]
		again := t.hosts[random.IntN(len(t.hosts))]
		open.Go(func() { t.call(ctx, a, start.Add(a.at), h, again) })
	}
	open.Wait()
	return ctx.Err()
}

// change makes a change of engines and mends it; others are part of the plan.
func (t *trial) change(ctx context.Context, start time.Time, c Change, first int) {
	if c.Kind != Lost && c.Kind != Slow {
		return
	}
	if pause.For(ctx, time.Until(start.Add(c.At.AsDuration()))) != nil {
		return
	}
	var chosen []int
	for i := range c.Count {
		chosen = append(chosen, (first+i)%t.pattern.Engine.Count)
	}
	t.disturb(c, chosen)
	if pause.For(ctx, min(c.For.AsDuration(), lostAfter)) == nil && c.Kind == Lost {
		t.unlist(chosen)
	}
	if pause.For(ctx, time.Until(start.Add(c.At.AsDuration()+c.For.AsDuration()))) != nil {
		return
	}
	t.mend(c, chosen)
}

func (t *trial) disturb(c Change, chosen []int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, i := range chosen {
		e := t.engines[i]
		if c.Kind == Slow {
			e.model.factor.Store(int64(1000 * c.By))
			continue
		}
		e.lose()
		e.Close()
	}
}

func (t *trial) unlist(chosen []int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, i := range chosen {
		t.store.RemoveTarget(t.engines[i].Engine)
	}
}

func (t *trial) mend(c Change, chosen []int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, i := range chosen {
		if c.Kind == Slow {
			t.engines[i].model.factor.Store(1000)
			continue
		}
		t.result.retire(t.engines[i])
		t.engines[i] = t.newEngine()
	}
}

// call sends a request, and once more to another host if it was refused and there
// is time. Times count from the planned time, so that a late start of this
// process is not hidden.
func (t *trial) call(ctx context.Context, a arrival, planned time.Time, h, again *host) {
	ctx, cancel := context.WithDeadline(ctx, planned.Add(a.kind.Within.AsDuration()))
	defer cancel()
	o := outcome{arrival: a}
	for try := range 2 {
		seen := sighting{last: planned}
		o.answer = t.caller.Do(ctx, h.front, a.request, seen.event)
		o.first, o.gap = seen.first.Sub(planned), seen.gap
		t.result.sent(h.zone, t.zoneOf(o.answer.Engine), o.answer.Bytes+len(a.request.ID))
		if !o.refused() {
			break
		}
		o.free = t.taken() < busyShare
		if try > 0 || time.Until(planned.Add(a.kind.Within.AsDuration())) < o.answer.RetryAfter {
			break
		}
		if pause.For(ctx, o.answer.RetryAfter) != nil {
			break
		}
		h, a.request.ID = again, a.request.ID+returnSuffix
	}
	t.result.add(o)
}

// taken returns the share of all slots that is taken.
func (t *trial) taken() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	taken, all := 0, 0
	for _, e := range t.engines {
		running, _, slots := e.model.Load()
		taken += running
		all += slots
	}
	return float64(taken) / float64(all)
}

func (t *trial) zoneOf(name string) Zone {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.engines {
		if e.name == name {
			return e.zone
		}
	}
	return Zone{}
}

// sighting notes when the events of one answer came.
type sighting struct {
	first, last time.Time
	gap         time.Duration
}

func (s *sighting) event() {
	now := time.Now()
	if s.first.IsZero() {
		s.first = now
	} else {
		s.gap = max(s.gap, now.Sub(s.last))
	}
	s.last = now
}

func (t *trial) report() *Report {
	r := t.result.report()
	r.Policy, r.Seed = string(t.policy), t.seed
	for _, e := range t.engines {
		t.result.retire(e)
	}
	r.Busiest = t.result.busiest()
	r.Read, r.ReadAgain = t.reads.total, t.reads.again
	return r
}
