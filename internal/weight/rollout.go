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
	// orderTimeout is the bound on an order in flight, on which the wait after a
	// change of the lease's holder relies. An order whose load takes longer is
	// watched through the target's reports.
	orderTimeout = 2 * time.Second
	// maxOrders bounds the orders under way at once.
	maxOrders = 8
	// firstRetry and lastRetry are the bounds of the time that a target is left
	// alone after a failed load.
	firstRetry = 5 * time.Second
	lastRetry  = 5 * time.Minute
	// reportAge is the greatest age of a report that counts. A new holder reads
	// the targets itself for as long, because older reports may not show the
	// orders of the last holder.
	reportAge = 5 * time.Second
	// maxReads bounds these reads under way at once.
	maxReads = 32
)

// Lease is what a rollout needs of *lease.Lease.
type Lease interface {
	// FencingToken returns the fencing token if an order may be sent right now.
	FencingToken() (uint64, error)
	// AllowsUnfenced reports whether no order of an earlier holder can be in flight.
	AllowsUnfenced() bool
	// Release gives the lease up.
	Release(ctx context.Context) error
}

// Observed is what the host knows of a target, with the means to order it. Sent
// and RetryAt are set by the rollout.
type Observed struct {
	Target
	Engine target.Engine
	// At is when the report was taken, by this host's clock: the time of arrival
	// less the report's age. A report that is older than an order doesn't confirm
	// it.
	At time.Time
}

// Observe returns the engines that the host knows.
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

	step     sync.Mutex // one Step at a time
	mu       sync.Mutex
	resolved map[string]string
	since    map[string]time.Time
	orders   map[string]*history
	status   []Status
	// fence is the highest fence that a target is known to have accepted.
	fence uint64
	// active is when the host began to send orders; zero while it may not.
	active time.Time
}

// history is what the rollout remembers of a target.
type history struct {
	sent    Sent
	retryAt time.Time
	delay   *backoff.ExponentialBackOff
}

// New returns a rollout. It has no loops of its own: call Step every second or
// so.
func New(l Lease, o Observe, opts ...Option) *Rollout {
	r := &Rollout{
		lease: l, observe: o, now: time.Now,
		resolved: map[string]string{}, since: map[string]time.Time{}, orders: map[string]*history{},
	}
	for _, f := range opts {
		f(r)
	}
	return r
}

// Fence returns the highest fencing token known from targets; pass it to lease.WithHighestToken.
func (r *Rollout) Fence() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fence
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

// Step makes a plan and, if the host holds the lease, sends its orders. Changed
// is when the document's models came into force. An error tells that a target
// refused the lease's fence; the lease has then been released.
func (r *Rollout) Step(ctx context.Context, models []config.Model, changed time.Time) error {
	r.step.Lock()
	defer r.step.Unlock()
	seen := r.observe()
	now := r.now()
	if !r.lease.AllowsUnfenced() {
		// Another host may have sent later orders than those remembered here.
		r.forget()
		r.plan(seen, models, changed, now)
		return nil
	}
	if r.active.IsZero() {
		r.active = now
	}
	if now.Sub(r.active) < reportAge {
		r.read(ctx, seen)
	}
	plan := r.plan(seen, models, changed, now)
	engines, planned := map[string]target.Engine{}, map[string]Target{}
	for _, o := range seen {
		engines[o.Name], planned[o.Name] = o.Engine, o.Target
	}
	var group errgroup.Group
	group.SetLimit(maxOrders)
	for _, o := range plan.Orders {
		group.Go(func() error { return r.send(ctx, engines[o.Target], o, planned[o.Target]) })
	}
	if err := group.Wait(); err != nil {
		_ = r.lease.Release(ctx) // it is not used any more; the row may also expire
		return juju.Annotate(err, "rollout")
	}
	return nil
}

// plan makes a plan from what is observed and what was sent.
func (r *Rollout) plan(seen []Observed, models []config.Model, changed, now time.Time) Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	in := Input{Models: models, Resolved: r.resolved, Since: r.since, Changed: changed}
	live := map[string]*history{}
	for _, o := range seen {
		h := r.orders[o.Name]
		if h == nil {
			h = &history{}
		}
		live[o.Name] = h
		o.Sent, o.RetryAt = h.sent, h.retryAt
		if !h.sent.At.IsZero() && o.Known {
			switch {
			case o.At.After(h.sent.At) && !o.Loading && equal(normal(h.sent.Models), normal(o.Models)):
				*h = history{}
			case !o.Loading && now.Sub(h.sent.At) >= settle:
				h.failed(now)
			}
			o.Sent, o.RetryAt = h.sent, h.retryAt
		}
		in.Targets = append(in.Targets, o.Target)
	}
	r.orders = live
	out := Plan(in, now)
	for m, v := range out.Resolved {
		if was, ok := r.resolved[m]; !ok || was != v {
			r.since[m] = now
		}
	}
	r.resolved, r.status = out.Resolved, out.Status
	return out
}

// read replaces what was observed by what the targets report right now.
func (r *Rollout) read(ctx context.Context, seen []Observed) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(maxReads)
	for i := range seen {
		group.Go(func() error {
			o := &seen[i]
			report, err := o.Engine.Load(ctx)
			if o.Known = err == nil; o.Known {
				o.Models, o.Loading, o.Role, o.At = report.Models, report.Loading, report.Role, r.now()
				r.accepted(report.Fence)
			}
			return nil
		})
	}
	_ = group.Wait()
}

// send reads the target's state again and sends the order if the plan still
// fits. Only a refused fence is returned as an error.
func (r *Rollout) send(ctx context.Context, e target.Engine, o Order, planned Target) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	report, err := e.Load(ctx)
	if err != nil {
		return nil // the next report shows whether the target is known
	}
	r.accepted(report.Fence)
	if report.Loading != planned.Loading || !equal(normal(report.Models), normal(planned.Models)) {
		return nil
	}
	fence, err := r.lease.FencingToken()
	if err != nil {
		return nil // the lease ended; the next holder goes on
	}
	r.mu.Lock()
	h := r.orders[o.Target]
	before := h.sent
	h.sent = Sent{Models: o.Models, At: r.now(), Loads: o.Loads}
	r.mu.Unlock()
	_, err = e.Order(ctx, target.Order{Fence: fence, Models: o.Models, Role: o.Role})
	var refused *target.FenceError
	var not *target.NotRunError
	switch {
	case errors.As(err, &refused):
		r.accepted(refused.Accepted)
		return err
	case errors.As(err, &not):
		r.mu.Lock()
		h.failed(r.now())
		h.sent = before // an earlier order may still be under way
		r.mu.Unlock()
	}
	// After any other error the order may have arrived; the reports will tell.
	return nil
}

func (r *Rollout) accepted(fence uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fence = max(r.fence, fence)
}

// forget drops the orders sent, since another host may have sent later ones.
func (r *Rollout) forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.orders)
	r.active = time.Time{}
}

// failed leaves the target alone for a growing time.
func (h *history) failed(now time.Time) {
	if h.delay == nil {
		h.delay = &backoff.ExponentialBackOff{
			InitialInterval: firstRetry, Multiplier: 2, MaxInterval: lastRetry,
		}
	}
	d := h.delay.NextBackOff()
	h.sent = Sent{}
	h.retryAt = now.Add(d + time.Duration(rand.Int64N(int64(d)/4)))
}
