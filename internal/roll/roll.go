package roll

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/pause"
	"sesamehill.example/sesamehill/internal/safego"
	"sesamehill.example/sesamehill/internal/wire"
)

const (
	// planInterval is the time between two plans of the lease holder, idleInterval
	// the time between two checks of the lease on other hosts. A new lease holder
	// waits for much longer before its first order.
	planInterval = 40 * time.Millisecond
	idleInterval = 250 * time.Millisecond
)

// CallTimeout bounds a call to an engine. An order may reach its engine that long after its
// sender has checked the lease.
const CallTimeout = 400 * time.Millisecond

// Lease tells whether this host may issue orders right now.
type Lease interface {
	// FencingToken returns the fencing token of the lease, or an error if this host does not
	// hold the lease.
	FencingToken() (uint64, error)
	// AllowsUnfenced reports whether orders of an earlier holder can no longer be in
	// progress, so that engines which ignore fencing tokens may be ordered.
	AllowsUnfenced() bool
}

// Publisher sends to the other hosts which engines load and which have loaded.
type Publisher interface {
	Publish(ctx context.Context, p Progress) error
}

// Option changes a default of New.
type Option func(*Roller)

// WithLog sets the log of orders.
func WithLog(l *zap.Logger) Option { return func(r *Roller) { r.log = l } }

// WithClock sets the clock. The default is the boot clock.
func WithClock(now func() time.Duration) Option { return func(r *Roller) { r.now = now } }

// Roller orders engines to load weights while its host holds the lease.
type Roller struct {
	now           func() time.Duration
	host          string
	lease         Lease
	engines       Engines
	publisher     Publisher
	desired       func() map[string]int
	listEngines   func() []Engine
	recordVersion func(target, model string, version int)
	reportFailed  func(target string)
	log           *zap.Logger
	// outdatedLoggedAt is the time of the last log line about outdated engines. Only Run
	// uses it.
	outdatedLoggedAt time.Duration

	mu sync.Mutex
	// orders are the orders in progress by engine, tries the orders so far by engine and
	// model.
	orders map[string]*order
	tries  map[engineModel]tries
	// notBefore holds the boot time from which an engine may be ordered again.
	notBefore map[string]time.Duration
	loaded    map[string]loadedEngine
	// unansweredInRow counts the last orders that got no answer, the last of them at
	// unansweredAt.
	unansweredInRow int
	unansweredAt    time.Duration
	// unpublished is set while the progress has changes that are not published.
	unpublished bool
	publishedAt time.Duration
	// token is the last fencing token of this host's lease, and number that of the last
	// stated progress.
	token, number uint64
	// inProgress counts the goroutines that order engines.
	inProgress sync.WaitGroup
}

// Source supplies a roller with its view of models and engines.
type Source struct {
	// DesiredVersions returns the desired version of each model, Engines all
	// engines.
	DesiredVersions func() map[string]int
	Engines         func() []Engine
	// RecordVersion receives the version that an engine reports.
	RecordVersion func(target, model string, version int)
	// ReportFailed receives each engine that was to be ordered and sent no report.
	ReportFailed func(target string)
}

// New returns a roller of a host.
func New(host string, f Lease, e Engines, b Publisher, s Source, opts ...Option) *Roller {
	r := &Roller{
		now: wire.BootTime, host: host, lease: f, engines: e, publisher: b, desired: s.DesiredVersions, listEngines: s.Engines, recordVersion: s.RecordVersion,
		reportFailed: s.ReportFailed,
		log:          zap.NewNop(), orders: map[string]*order{}, tries: map[engineModel]tries{}, notBefore: map[string]time.Duration{},
		loaded: map[string]loadedEngine{},
	}
	for _, o := range opts {
		o(r)
	}
	return r
}

// Run plans and issues orders until ctx ends.
func (r *Roller) Run(ctx context.Context) error {
	defer r.inProgress.Wait()
	wait := planInterval
	for pause.For(ctx, wait) == nil {
		if !r.mayOrder() {
			wait = idleInterval
			continue
		}
		wait = planInterval
		desired := r.desired()
		engines := r.currentEngines(desired)
		if next := Plan(engines, desired, r.now()); len(next) > 0 {
			r.startOrders(ctx, next)
		}
		r.logOutdated(engines, desired)
		r.publish(ctx)
	}
	return nil
}

func (r *Roller) mayOrder() bool {
	token, err := r.lease.FencingToken()
	if err != nil || !r.lease.AllowsUnfenced() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.token = token
	return true
}

// currentEngines returns all engines, with the state of this host's orders.
func (r *Roller) currentEngines(desired map[string]int) []Engine {
	engines := r.listEngines()
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range engines {
		e := &engines[i]
		if o := r.orders[e.ID]; o != nil {
			e.Order = o.phase
		}
		if t := r.tries[e.key()]; t.version == desired[e.Model] {
			e.Tries = t.count
		}
		e.NotBefore = r.notBefore[e.ID]
	}
	return engines
}

// startOrders orders engines in the background. They get no requests from before the order
// until they have loaded the weights, unless orders are late: it is then not known when
// they load.
func (r *Roller) startOrders(ctx context.Context, next []Engine) {
	r.mu.Lock()
	drained := !r.ordersAreLate()
	for _, e := range next {
		r.orders[e.ID] = &order{phase: Sending, drained: drained}
	}
	r.unpublished = r.unpublished || drained
	r.mu.Unlock()
	if drained {
		r.publish(ctx)
	}
	for _, e := range next {
		r.inProgress.Go(func() { safego.Do(r.log, "order", func() { r.bringUpToDate(ctx, e, drained) }) })
	}
}

// Loading reports whether an engine is out of service for an order of this host.
func (r *Roller) Loading(target string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.orders[target]
	return o != nil && o.outOfService()
}
