package place

import (
	"cmp"
	"fmt"
	"slices"
	"sync/atomic"
)

// Policy is a rule that chooses the engine of a request with a prompt. All but
// Cost are baselines to compare with.
type Policy string

// Policies.
const (
	// Cost is the least expected time; it is the default.
	Cost Policy = "cost"
	// Prefix is the first engine with room in the order of rendezvous hashing.
	Prefix Policy = "prefix"
	// Least is the engine with the fewest calls for its slots.
	Least Policy = "least"
	// Turns is one engine after the other.
	Turns Policy = "turns"
)

// Policies returns all policies.
func Policies() []Policy { return []Policy{Cost, Prefix, Least, Turns} }

// PolicyError says that a policy does not exist.
type PolicyError struct{ Name string }

// Error names the policies that exist.
func (e *PolicyError) Error() string {
	return fmt.Sprintf("placement %q is unknown; use one of %v", e.Name, Policies())
}

// ParsePolicy returns the policy of a name; an empty one stands for Cost.
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

// Prompt chooses the engine of a request with a prompt.
func (r *Rule) Prompt(w Work, cs []Candidate, k Weights) Choice {
	switch r.policy {
	case Prefix:
		scores := scoresOf(w.Subject, cs)
		return first(cs, func(a, b int) int { return cmp.Compare(scores[b], scores[a]) })
	case Least:
		return first(cs, func(a, b int) int { return cmp.Compare(cs[a].load(), cs[b].load()) })
	case Turns:
		return r.next(cs)
	}
	return Prompt(w, cs, k)
}

// next returns the next candidate with a free slot by ID.
func (r *Rule) next(cs []Candidate) Choice {
	turn := int(r.turn.Add(1)) //nolint:gosec // it wraps after years
	order := make([]int, len(cs))
	for i := range cs {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(cs[a].ID, cs[b].ID) })
	place := make([]int, len(cs))
	for at, i := range order {
		place[i] = (at - turn%len(cs) + len(cs)) % len(cs)
	}
	return first(cs, func(a, b int) int { return cmp.Compare(place[a], place[b]) })
}

// first returns the first candidate in an order that is up and has a free slot.
func first(cs []Candidate, order func(a, b int) int) Choice {
	best, up := -1, false
	for i, c := range cs {
		up = up || !c.Down
		free := c.Slots <= 0 || c.Calls < c.Slots
		if free && !c.Down && (best < 0 || order(i, best) < 0) {
			best = i
		}
	}
	switch {
	case best >= 0:
		return At{Index: best}
	case up:
		return Full{}
	}
	return None{}
}

// load is the share of a candidate's slots that is taken.
func (c Candidate) load() float64 { return float64(c.Calls) / float64(max(c.Slots, 1)) }
