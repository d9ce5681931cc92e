package roll

import (
	"context"
	"sort"
	"time"
)

// Report is what an engine says about its weights.
type Report struct {
	Versions map[string]int
	// Busy engines carry out an order.
	Busy bool
	// Sequence counts the orders that the engine accepted since its start.
	Sequence uint64
	// Running is the number of runs.
	Running int
}

// Order tells an engine to load weights.
type Order struct {
	Target  string
	Address string
	Model   string
	Version int
	Holder  string
	Fence   uint64
	// Sequence is the number of accepted orders for which the order holds.
	Sequence uint64
}

// Answer is an engine's answer to an order.
type Answer int

// Answers to an order.
const (
	// Unknown means that the order may have been accepted.
	Unknown Answer = iota
	// Holds means that the engine has the weights already.
	Holds
	Accepted
	// Conflict means that another order is carried out or was accepted.
	Conflict
	// Fenced means that the engine has seen a higher fence.
	Fenced
	// Misdirected means that another engine has the address.
	Misdirected
)

// Engines makes calls to engines.
type Engines interface {
	Report(ctx context.Context, address string) (Report, error)
	Order(ctx context.Context, o Order) (Answer, error)
}

// Engine is what the plan knows about one engine.
type Engine struct {
	ID      string
	Address string
	Service string
	Model   string
	// Version is the one that the engine holds.
	Version int
	Calls   int
	Down    bool
	// Loading is set while an order is under way; Until is when the engine may be
	// tried again after a failed order.
	Loading bool
	Until   time.Duration
}

const (
	// shareAtOnce is the divisor of the number of engines that load at a time
	// without slowing each other, outAtOnce the multiple that may be out of service,
	// as most of these still finish their runs.
	shareAtOnce = 5
	outAtOnce   = 2
	minAtOnce   = 2
)

// Plan returns the engines to order next: those that hold older weights, the
// least busy first, so that most capacity changes early.
func Plan(engines []Engine, named map[string]int, now time.Duration) []Engine {
	var due []Engine
	total, out := map[string]int{}, map[string]int{}
	for _, e := range engines {
		total[e.Service]++
		if e.Loading {
			out[e.Service]++
			continue
		}
		if e.Version < named[e.Model] && !e.Down && now >= e.Until {
			due = append(due, e)
		}
	}
	sort.SliceStable(due, func(i, j int) bool { return due[i].Calls < due[j].Calls })
	var next []Engine
	for _, e := range due {
		if out[e.Service] >= outAtOnce*max(total[e.Service]/shareAtOnce, minAtOnce) {
			continue
		}
		out[e.Service]++
		next = append(next, e)
	}
	return next
}
