package place

import (
	"cmp"
	"fmt"
	"slices"
	"sync/atomic"
)

// Policy names a rule that chooses the engine of a request with a prompt. All
// policies but Cost are baselines for comparison.
type Policy string

// Policies.
const (
	// Cost chooses the engine with the lowest expected cost; it is the default.
	Cost Policy = "cost"
	// Prefix chooses the first engine with a free slot in the order of rendezvous
	// hashing of the affinity key.
	Prefix Policy = "prefix"
	// LeastLoaded chooses the engine with the smallest share of its slots in use.
	LeastLoaded Policy = "least"
	// RoundRobin chooses one engine after the other.
	RoundRobin Policy = "turns"
)

// Policies returns all policies.
func Policies() []Policy { return []Policy{Cost, Prefix, LeastLoaded, RoundRobin} }

// PolicyError says that a placement policy does not exist.
type PolicyError struct{ Name string }

// Error names the policy and those that exist.
func (e *PolicyError) Error() string {
	return fmt.Sprintf("placement policy %q does not exist; use one of %v", e.Name, Policies())
}

// ParsePolicy returns the policy with a name; an empty name stands for Cost.
func ParsePolicy(name string) (Policy, error) {
	if name == "" {
		return Cost, nil
	}
	if p := Policy(name); slices.Contains(Policies(), p) {
		return p, nil
	}
	return "", &PolicyError{Name: name}
}

// Rule applies a policy. It is safe for concurrent use.
type Rule struct {
	policy Policy
	turn   atomic.Uint64
}

// NewRule returns a rule that applies a policy.
func NewRule(p Policy) *Rule { return &Rule{policy: p} }

// ChooseEngine chooses the engine of a request with a prompt.
func (r *Rule) ChooseEngine(w Work, cs []Candidate, k Costs) Choice {
	switch r.policy {
	case Prefix:
		scores := scoresOf(w.Subject, cs)
		return first(cs, func(a, b int) int { return cmp.Compare(scores[b], scores[a]) })
	case LeastLoaded:
		return first(cs, func(a, b int) int { return cmp.Compare(cs[a].load(), cs[b].load()) })
	case RoundRobin:
		return r.nextInTurn(cs)
	}
	return ChooseEngine(w, cs, k)
}

// nextInTurn returns the next candidate with a free slot, by ID. It starts one
// candidate further at each call.
func (r *Rule) nextInTurn(cs []Candidate) Choice {
	turn := int(r.turn.Add(1)) //nolint:gosec // it wraps after years
	order := make([]int, len(cs))
	for i := range cs {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(cs[a].ID, cs[b].ID) })
	offset := make([]int, len(cs))
	for position, i := range order {
		offset[i] = (position - turn%len(cs) + len(cs)) % len(cs)
	}
	return first(cs, func(a, b int) int { return cmp.Compare(offset[a], offset[b]) })
}

// first returns the first candidate in an order that is up and has a free slot.
func first(cs []Candidate, order func(a, b int) int) Choice {
	best, anyUp := -1, false
	for i, c := range cs {
		anyUp = anyUp || !c.Down
		free := c.Slots <= 0 || c.Calls < c.Slots
		if free && !c.Down && (best < 0 || order(i, best) < 0) {
			best = i
		}
	}
	switch {
	case best >= 0:
		return Selected{Index: best}
	case anyUp:
		return Full{}
	}
	return NoCandidate{}
}

// load is the share of the slots of a candidate that is in use.
func (c Candidate) load() float64 { return float64(c.Calls) / float64(max(c.Slots, 1)) }
