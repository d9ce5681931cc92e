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
	// membershipWait is the time between the start of the hosts and that of the
	// load, in which the hosts discover each other.
	membershipWait = 1500 * time.Millisecond
	// delistDelay is how long the platform still lists an engine that was killed.
	delistDelay = time.Second
	// retrySuffix is appended to the ID of a request that is retried after a
	// refusal, because each attempt of a caller has its own ID.
	retrySuffix = "b"
	// busySlotShare is the share of used slots below which a refusal counts as one
	// with free slots.
	busySlotShare = 0.5
)

// Option overrides a default of Run.
type Option func(*trial)

// WithDirectory sets the directory in which settings and logs of hosts are kept.
// By default they are removed after the trial.
func WithDirectory(d string) Option { return func(t *trial) { t.directory = d } }

// WithPolicy sets the placement policy of all hosts.
func WithPolicy(p place.Policy) Option { return func(t *trial) { t.policy = p } }

// WithProgram sets the path of the sesamed binary.
func WithProgram(path string) Option { return func(t *trial) { t.program = path } }

// WithSeed sets the random seed of the arrivals.
func WithSeed(s uint64) Option { return func(t *trial) { t.seed = s } }

type trial struct {
	pattern   Pattern
	program   string
	directory string
	policy    place.Policy
	seed      uint64

	store    *stand.Store
	hosts    []*host
	caller   *stand.Client
	result   *result
	prefills *prefillStats

	mu      sync.Mutex
	engines []*runningEngine
	started int
}

// runningEngine is a simulated engine with its name and zone.
type runningEngine struct {
	*stand.Engine
	model *engine
	name  string
	zone  Zone
	kill  context.CancelFunc
}

// Run replays a pattern and returns the results of the callers.
func Run(ctx context.Context, p Pattern, opts ...Option) (*Report, error) {
	if err := p.Check(); err != nil {
		return nil, errors.Trace(err)
	}
	t := &trial{pattern: p, program: "sesamed", policy: place.Cost, seed: 1, prefills: newPrefillStats(), caller: stand.NewClient()}
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
		defer func() { _ = os.RemoveAll(directory) }() // leftover temporary files do no harm
		t.directory = directory
	}
	defer t.stopAll()
	if err := t.start(ctx); err != nil {
		return nil, errors.Trace(err)
	}
	if err := t.sendLoad(ctx); err != nil {
		return nil, errors.Trace(err)
	}
	return t.report(), nil
}

func (t *trial) start(ctx context.Context) error {
	t.store = stand.NewStore()
	var routes []stand.Route
	for _, k := range t.pattern.Kinds {
		routes = append(routes, stand.Route{
			Kind: k.Name, FirstEventTarget: k.FirstEventTarget.AsDuration(), EventGapTarget: k.EventGapTarget.AsDuration(), Timeout: k.Timeout.AsDuration(), Priority: k.Priority,
		})
	}
	t.store.PutConfig(1, t.pattern.Engine.Slots, t.pattern.Engine.CacheTokens, accountKey, routes)
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
		if err := h.waitReady(ctx); err != nil {
			return errors.Trace(err)
		}
	}
	return pause.For(ctx, membershipWait)
}

// newEngine starts an engine and adds it to the platform's list of targets.
func (t *trial) newEngine() *runningEngine {
	ctx, kill := context.WithCancel(context.Background())
	e := &runningEngine{
		model: newEngine(ctx, t.pattern.Engine, t.prefills), kill: kill,
		name: fmt.Sprintf("engine-%03d", t.started), zone: t.pattern.Zones[t.started%len(t.pattern.Zones)],
	}
	t.started++
	e.Engine = stand.NewEngine(e.name, e.model)
	t.store.PutTarget(e.Engine, e.zone.Name)
	return e
}

func (t *trial) stopAll() {
	var stops sync.WaitGroup
	for _, h := range t.hosts {
		stops.Go(h.stop)
	}
	stops.Wait()
	for _, e := range t.engines {
		e.kill()
		e.Close()
	}
	if t.store != nil {
		t.store.Close()
	}
}

// sendLoad sends the requests and applies the changes of the pattern.
func (t *trial) sendLoad(ctx context.Context) error {
	random := rand.New(rand.NewPCG(t.seed, 1<<32))
	start := time.Now()
	var inFlight sync.WaitGroup
	for _, c := range t.pattern.Change {
		firstEngine := random.IntN(t.pattern.Engine.Count)
		inFlight.Go(func() { t.runChange(ctx, start, c, firstEngine) })
	}
	for _, a := range plan(t.pattern, t.seed) {
		if pause.For(ctx, time.Until(start.Add(a.at))) != nil {
			break
		}
		h := t.hosts[random.IntN(len(t.hosts))]
		retryHost := t.hosts[random.IntN(len(t.hosts))]
		inFlight.Go(func() { t.sendRequest(ctx, a, start.Add(a.at), h, retryHost) })
	}
	inFlight.Wait()
	return ctx.Err()
}

// runChange applies a change of engines and reverts it when it ends. The other kinds
// of changes are part of the planned arrivals.
func (t *trial) runChange(ctx context.Context, start time.Time, c Change, firstEngine int) {
	if c.Kind != Lost && c.Kind != Slow {
		return
	}
	if pause.For(ctx, time.Until(start.Add(c.At.AsDuration()))) != nil {
		return
	}
	var chosen []int
	for i := range c.Count {
		chosen = append(chosen, (firstEngine+i)%t.pattern.Engine.Count)
	}
	t.applyChange(c, chosen)
	if pause.For(ctx, min(c.For.AsDuration(), delistDelay)) == nil && c.Kind == Lost {
		t.delistEngines(chosen)
	}
	if pause.For(ctx, time.Until(start.Add(c.At.AsDuration()+c.For.AsDuration()))) != nil {
		return
	}
	t.revertChange(c, chosen)
}

func (t *trial) applyChange(c Change, chosen []int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, i := range chosen {
		e := t.engines[i]
		if c.Kind == Slow {
			e.model.slowdownPermille.Store(int64(1000 * c.Factor))
			continue
		}
		e.kill()
		e.Close()
	}
}

func (t *trial) delistEngines(chosen []int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, i := range chosen {
		t.store.RemoveTarget(t.engines[i].Engine)
	}
}

func (t *trial) revertChange(c Change, chosen []int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, i := range chosen {
		if c.Kind == Slow {
			t.engines[i].model.slowdownPermille.Store(1000)
			continue
		}
		t.result.recordArrivals(t.engines[i])
		t.engines[i] = t.newEngine()
	}
}

// sendRequest sends a request, and retries it once at another host if it was
// refused and the timeout allows it. Latencies count from the planned time, so that
// delays of this process in sending are included.
func (t *trial) sendRequest(ctx context.Context, a arrival, planned time.Time, h, retryHost *host) {
	ctx, cancel := context.WithDeadline(ctx, planned.Add(a.kind.Timeout.AsDuration()))
	defer cancel()
	o := outcome{arrival: a}
	for attempt := range 2 {
		times := eventTimes{lastEvent: planned}
		o.answer = t.caller.Do(ctx, h.callerAddress, a.request, times.record)
		o.firstEvent, o.maxGap = times.firstEvent.Sub(planned), times.maxGap
		t.result.addTraffic(h.zone, t.engineZone(o.answer.Engine), o.answer.Bytes+len(a.request.ID))
		if !o.refused() {
			break
		}
		o.hadFreeSlots = t.used() < busySlotShare
		if attempt > 0 || time.Until(planned.Add(a.kind.Timeout.AsDuration())) < o.answer.RetryAfter {
			break
		}
		if pause.For(ctx, o.answer.RetryAfter) != nil {
			break
		}
		h, a.request.ID = retryHost, a.request.ID+retrySuffix
	}
	t.result.add(o)
}

// used returns the share of all engine slots that are in use.
func (t *trial) used() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	used, total := 0, 0
	for _, e := range t.engines {
		running, _, slots := e.model.Load()
		used += running
		total += slots
	}
	return float64(used) / float64(total)
}

func (t *trial) engineZone(name string) Zone {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.engines {
		if e.name == name {
			return e.zone
		}
	}
	return Zone{}
}

// eventTimes records when the events of one answer arrived.
type eventTimes struct {
	firstEvent, lastEvent time.Time
	maxGap                time.Duration
}

func (s *eventTimes) record() {
	now := time.Now()
	if s.firstEvent.IsZero() {
		s.firstEvent = now
	} else {
		s.maxGap = max(s.maxGap, now.Sub(s.lastEvent))
	}
	s.lastEvent = now
}

func (t *trial) report() *Report {
	r := t.result.report()
	r.Policy, r.Seed = string(t.policy), t.seed
	for _, e := range t.engines {
		t.result.recordArrivals(e)
	}
	r.MaxArrivalRatio = t.result.maxArrivalRatio()
	r.PrefilledTokens, r.RepeatedTokens = t.prefills.totalTokens, t.prefills.repeatedTokens
	return r
}
