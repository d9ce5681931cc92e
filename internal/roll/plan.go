package roll

import (
	"cmp"
	"context"
	"slices"
	"time"
)

// Report is an engine's report about its weights.
type Report struct {
	Versions map[string]int
	// Busy is set while the engine carries out an order.
	Busy bool
	// Sequence counts the orders that the engine has accepted since its start.
	Sequence uint64
	// Running is the number of runs in progress.
	Running int
}

// Order tells an engine to load weights.
type Order struct {
	Target  string
	Address string
	Model   string
	Version int
	Holder  string
	// FencingToken is the token of the sender's lease.
	FencingToken uint64
	// Sequence is the number of orders that the engine had accepted when this order
	// was made. The engine rejects the order if it has accepted more since.
	Sequence uint64
}

// OrderResult is an engine's reply to an order.
type OrderResult int

// Results of an order.
const (
	// Unknown means that the engine did not answer: it may have accepted the order, or may
	// carry it out seconds later.
	Unknown OrderResult = iota
	// NotSent means that the engine did not get the order.
	NotSent
	// AlreadyLoaded means that the engine has the weights already.
	AlreadyLoaded
	Accepted
	// Conflict means that the engine carries out, or has accepted, another order.
	Conflict
	// Fenced means that the engine has seen a higher fencing token.
	Fenced
	// WrongEngine means that another engine listens at the address.
	WrongEngine
	// Rejected means that the engine has no such order or version.
	Rejected
)

// Engines makes calls to engines.
type Engines interface {
	Report(ctx context.Context, address string) (Report, error)
	Order(ctx context.Context, o Order) (OrderResult, error)
}

// Engine is the planner's view of one engine.
type Engine struct {
	ID      string
	Address string
	Service string
	Model   string
	// Version is the weight version that the engine has loaded.
	Version int
	Calls   int
	Down    bool
	// Order is the state of the order to the engine.
	Order Phase
	// NotBefore is the boot time from which the engine may be ordered again after a failed
	// order.
	NotBefore time.Duration
	// Tries is the number of orders of this host for the desired version.
	Tries int
}

const (
	// loadingDivisor gives the number of engines of a service that can load at the
	// same time without slowing each other down: their total divided by it, but at
	// least minLoading. outOfServiceFactor times that number may be out of service,
	// as most of these engines are still finishing their runs.
	loadingDivisor     = 5
	outOfServiceFactor = 2
	minLoading         = 2
)

// Plan returns the engines to order next: those with an older version than the
// desired one of their model. Those with fewer tries go first, or engines whose orders have
// no effect would keep the others from theirs; of these the least loaded, so that most of the
// capacity changes early. An engine with an unanswered order serves, and does not count as
// out of service.
//
// An engine with several models has an entry for each; it gets one order at a time.
func Plan(engines []Engine, desired map[string]int, now time.Duration) []Engine {
	var due []Engine
	total, outOfService, counted := map[string]int{}, map[string]int{}, map[string]bool{}
	for _, e := range engines {
		if !counted[e.ID] {
			counted[e.ID] = true
			total[e.Service]++
			if e.Order == Sending || e.Order == Loading {
				outOfService[e.Service]++
			}
		}
		if e.Order == NoOrder && !e.Down && e.Version < desired[e.Model] && now >= e.NotBefore {
			due = append(due, e)
		}
	}
	slices.SortStableFunc(due, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(a.Tries, b.Tries), cmp.Compare(a.Calls, b.Calls))
	})
	var next []Engine
	chosen := map[string]bool{}
	for _, e := range due {
		full := outOfService[e.Service] >= outOfServiceFactor*max(total[e.Service]/loadingDivisor, minLoading)
		if full || chosen[e.ID] {
			continue
		}
		chosen[e.ID] = true
		outOfService[e.Service]++
		next = append(next, e)
	}
	return next
}
