package weight

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	juju "github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"sesamehill.example/sesamehill/internal/target"
	"sesamehill.example/sesamehill/pkg/config"
)

const (
	// orderTimeout is the timeout of an order. The wait after a change of the lease
	// holder relies on it. The rollout follows a load that takes longer through the
	// target's reports.
	orderTimeout = 2 * time.Second
	// maxConcurrentOrders limits the orders sent at the same time.
	maxConcurrentOrders = 8
	// minRetryDelay and maxRetryDelay limit the backoff after a failed load, during
	// which a target gets no load.
	minRetryDelay = 5 * time.Second
	maxRetryDelay = 5 * time.Minute
	// maxReportAge is the age above which a report is ignored. A new lease holder
	// reads the targets itself for this time, because older reports may not include
	// the orders of the previous holder.
	maxReportAge = 5 * time.Second
	// maxConcurrentReads limits these reads at the same time.
	maxConcurrentReads = 32
)

// Lease is the part of *lease.Lease that a rollout uses.
type Lease interface {
	// FencingToken returns the fencing token if an order may be sent right now.
	FencingToken() (uint64, error)
	// AllowsUnfenced reports whether no order of an earlier holder can be in flight.
	AllowsUnfenced() bool
	// Release ends the lease.
	Release(ctx context.Context) error
}

// Observed is the host's view of a target, with the engine to send orders to. The
// rollout sets LastOrder and RetryAt.
type Observed struct {
	Target
	Engine target.Engine
	// ReportedAt is when the report was created, by this host's clock: the time of
	// arrival less the report's age. A report that is older than an order does not
	// confirm it.
	ReportedAt time.Time
}

// Observe returns the host's view of all engines.
type Observe func() []Observed

// Option changes a default of New.
type Option func(*Rollout)

// WithClock sets the clock. The default is time.Now.
func WithClock(now func() time.Time) Option { return func(r *Rollout) { r.now = now } }

// Rollout sends the orders of plans while its host holds the lease.
type Rollout struct {
	lease   Lease
	observe Observe
	now     func() time.Time

	stepMu     sync.Mutex // allows one Step at a time
	mu         sync.Mutex
	resolved   map[string]string
	resolvedAt map[string]time.Time
	histories  map[string]*history
	status     []Status
	// highestToken is the highest fencing token that any target has stated as
	// accepted, in a report or when it rejected an order.
	highestToken uint64
	// holderSince is when the host became allowed to send orders; zero while it is
	// not.
	holderSince time.Time
}

// history holds the last order to a target and its backoff.
type history struct {
	lastOrder SentOrder
	retryAt   time.Time
	delay     *backoff.ExponentialBackOff
}

// New returns a rollout. It starts no goroutine; the caller runs Step about every
// second.
func New(l Lease, o Observe, opts ...Option) *Rollout {
	r := &Rollout{
		lease: l, observe: o, now: time.Now,
		resolved: map[string]string{}, resolvedAt: map[string]time.Time{}, histories: map[string]*history{},
	}
	for _, f := range opts {
		f(r)
	}
	return r
}

// Fence returns the highest fencing token reported by targets; pass it to lease.WithHighestToken.
func (r *Rollout) Fence() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.highestToken
}

// Status returns the state of each model as of the last step.
func (r *Rollout) Status() []Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.status)
}

// Resolved returns the version of each model that new requests use.
func (r *Rollout) Resolved() map[string]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.resolved)
}

// Step computes a plan and, if the host holds the lease, sends its orders. Changed
// is when the models of the configuration document took effect. An error means that
// a target rejected the lease's fencing token; the lease has then been released.
func (r *Rollout) Step(ctx context.Context, models []config.Model, changed time.Time) error {
	r.stepMu.Lock()
	defer r.stepMu.Unlock()
	observed := r.observe()
	now := r.now()
	if !r.lease.AllowsUnfenced() {
		// Another host may have sent later orders than those recorded here.
		r.clearOrders()
		r.plan(observed, models, changed, now)
		return nil
	}
	if r.holderSince.IsZero() {
		r.holderSince = now
	}
	if now.Sub(r.holderSince) < maxReportAge {
		r.readTargets(ctx, observed)
	}
	plan := r.plan(observed, models, changed, now)
	engines, planned := map[string]target.Engine{}, map[string]Target{}
	for _, o := range observed {
		engines[o.Name], planned[o.Name] = o.Engine, o.Target
	}
	var group errgroup.Group
	group.SetLimit(maxConcurrentOrders)
	for _, o := range plan.Orders {
		group.Go(func() error { return r.send(ctx, engines[o.Target], o, planned[o.Target]) })
	}
	if err := group.Wait(); err != nil {
		_ = r.lease.Release(ctx) // the lease is no longer used; otherwise its row expires
		return juju.Annotate(err, "rollout")
	}
	return nil
}

// plan computes a plan from the observed targets and the sent orders.
func (r *Rollout) plan(observed []Observed, models []config.Model, changed, now time.Time) Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	in := Input{Models: models, Resolved: r.resolved, ResolvedAt: r.resolvedAt, ChangedAt: changed}
	observedHistories := map[string]*history{}
	for _, o := range observed {
		h := r.histories[o.Name]
		if h == nil {
			h = &history{}
		}
		observedHistories[o.Name] = h
		o.LastOrder, o.RetryAt = h.lastOrder, h.retryAt
		if !h.lastOrder.At.IsZero() && o.Fresh {
			switch {
			case o.ReportedAt.After(h.lastOrder.At) && !o.Loading && equal(normalized(h.lastOrder.Models), normalized(o.Models)):
				*h = history{}
			case !o.Loading && now.Sub(h.lastOrder.At) >= confirmTimeout:
				h.recordFailure(now)
			}
			o.LastOrder, o.RetryAt = h.lastOrder, h.retryAt
		}
		in.Targets = append(in.Targets, o.Target)
	}
	r.histories = observedHistories
	out := Plan(in, now)
	for m, v := range out.Resolved {
		if previous, ok := r.resolved[m]; !ok || previous != v {
			r.resolvedAt[m] = now
		}
	}
	r.resolved, r.status = out.Resolved, out.Status
	return out
}

// readTargets replaces the observed states by reports read from the targets now.
func (r *Rollout) readTargets(ctx context.Context, observed []Observed) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(maxConcurrentReads)
	for i := range observed {
		group.Go(func() error {
			o := &observed[i]
			report, err := o.Engine.Load(ctx)
			if o.Fresh = err == nil; o.Fresh {
				o.Models, o.Loading, o.Role, o.ReportedAt = report.Models, report.Loading, report.Role, r.now()
				r.recordToken(report.FencingToken)
			}
			return nil
		})
	}
	_ = group.Wait()
}

// send reads the target's state and sends the order if the state is still the one
// that was planned for. It returns an error only for a rejected fencing token.
func (r *Rollout) send(ctx context.Context, e target.Engine, o Order, planned Target) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	report, err := e.Load(ctx)
	if err != nil {
		return nil // no order is sent; if a later Step plans one, it reads the state again
	}
	r.recordToken(report.FencingToken)
	if report.Loading != planned.Loading || !equal(normalized(report.Models), normalized(planned.Models)) {
		return nil
	}
	token, err := r.lease.FencingToken()
	if err != nil {
		return nil // the lease ended; the next holder continues
	}
	r.mu.Lock()
	h := r.histories[o.Target]
	previousOrder := h.lastOrder
	h.lastOrder = SentOrder{Models: o.Models, At: r.now(), Loads: o.Loads}
	r.mu.Unlock()
	_, err = e.Order(ctx, target.Order{FencingToken: token, Models: o.Models, Role: o.Role})
	var rejected *target.FencingTokenError
	var notRun *target.NotRunError
	switch {
	case errors.As(err, &rejected):
		r.recordToken(rejected.Accepted)
		return err
	case errors.As(err, &notRun):
		r.mu.Lock()
		h.recordFailure(r.now())
		h.lastOrder = previousOrder // an earlier order may still be running
		r.mu.Unlock()
	}
	// After any other error the order may have arrived. Later reports show whether
	// it did.
	return nil
}

func (r *Rollout) recordToken(token uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.highestToken = max(r.highestToken, token)
}

// clearOrders removes the recorded orders, since another host may have sent later
// ones.
func (r *Rollout) clearOrders() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.histories)
	r.holderSince = time.Time{}
}

// recordFailure sets the time before which the target gets no load, with an
// exponentially growing delay.
func (h *history) recordFailure(now time.Time) {
	if h.delay == nil {
		h.delay = &backoff.ExponentialBackOff{
			InitialInterval: minRetryDelay, Multiplier: 2, MaxInterval: maxRetryDelay,
		}
	}
	d := h.delay.NextBackOff()
	h.lastOrder = SentOrder{}
	h.retryAt = now.Add(d + time.Duration(rand.Int64N(int64(d)/4)))
}
