package place

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
)

// Distance is how far a target is from the host.
type Distance int

// Distances.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
)

// Candidate is a target that may be chosen for a request.
type Candidate struct {
	ID       string
	Distance Distance
	// AwayMs is the measured cost of the way to the target, which replaces the constant of
	// its distance; zero if it is unknown.
	AwayMs float64
	// Calls is the number of calls of all hosts that are in flight at the target,
	// Slots the number that it runs at once; zero for no limit.
	Calls int
	Slots int
	// Tokens is the engine memory that these calls need, in tokens, and Room the
	// total engine memory. Unread is the number of prompt tokens that the engine
	// still has to prefill for them, FetchingMs the time for their outstanding
	// fetches.
	Tokens     int
	Room       int
	Unread     int
	FetchingMs float64
	// NoQueue is set if no requests may queue at the target.
	NoQueue bool
	// Slowdown is how long work takes at the target, in multiples of the usual time of
	// its service; zero counts as one.
	Slowdown float64
	// Risk is the share of recent attempts that failed.
	Risk float64
	// Down is set if the target refused a connection a short time ago.
	Down bool
	// Stale is set if the engine runs older weights than the newest announced ones.
	Stale bool
	// Resident is the number of shared tokens that are expected in the memory of
	// the engine.
	Resident int
	// Stored is the number of shared tokens that a fetch from stores would supply,
	// FetchMs the expected time of this fetch.
	Stored  int
	FetchMs float64
}

// Work is what a request with a prompt requires of an engine.
type Work struct {
	// Subject is the affinity key: it identifies the shared parts of the prompt.
	Subject string
	// Shared is the number of tokens in the shared parts, Own the number in the
	// rest of the prompt.
	Shared, Own int
	// WaitedMs is how long the request has waited for capacity.
	WaitedMs float64
}

// Costs is the cost model that turns the state of a candidate into expected
// milliseconds.
type Costs struct {
	// RoundTripMs is the round-trip time by distance.
	RoundTripMs [3]float64
	// PrefillMs is the time to prefill one token.
	PrefillMs float64
	// RecomputeMs is the extra cost of a shared token that must be prefilled again.
	RecomputeMs float64
	// CallMs is the delay that one call in flight adds to a request with a prompt,
	// PlainCallMs the delay that it adds to another request.
	CallMs      float64
	PlainCallMs float64
	// PlainMs is the time of plain work. If it is known, a call in flight delays another
	// request by its part of the slots in place of PlainCallMs.
	PlainMs float64
	// InterferenceShare is the cost of a millisecond of prefill for each call in
	// flight, whose events are delayed meanwhile. NonPreferredMs is the cost of an
	// engine other than the preferred one of the affinity key.
	InterferenceShare float64
	NonPreferredMs    float64
	// FailureMs is the cost of a certain failure, DownMs that of a target that
	// refused connections, StaleMs that of older weights.
	FailureMs float64
	DownMs    float64
	StaleMs   float64
	// PrefillBacklogMs is the limit of the prefill that a busy engine has before it,
	// including the request. With more, a request would wait at the engine for longer
	// than it should.
	PrefillBacklogMs float64
	// PatienceMs is how long a request waits until each further millisecond raises
	// this limit by PatienceShare, so that small requests cannot overtake a large one
	// without end.
	PatienceMs    float64
	PatienceShare float64
	// Choices is the number of engines that are evaluated for a request at first.
	// If none has capacity, ChoicesGrowth times as many are evaluated. Zero stands
	// for all.
	Choices       int
	ChoicesGrowth int
	// MemoryShare is the share of the memory of an engine that calls may fill.
	MemoryShare float64
	// ExtraCalls is the number of calls without a prompt that may queue at a target
	// when all its slots are in use.
	ExtraCalls int
}

// DefaultCosts returns the cost model for services whose speed is not measured. It suits
// engines that prefill about 64 tokens per millisecond.
func DefaultCosts() Costs {
	return Costs{
		RoundTripMs: [3]float64{1, 4, 42}, PrefillMs: 1.0 / 64, RecomputeMs: 1.0 / 30,
		CallMs: 3, PlainCallMs: 8, InterferenceShare: 64.0 / 1000, NonPreferredMs: 60,
		FailureMs: 1500, DownMs: 20000, StaleMs: 120,
		PrefillBacklogMs: 187.5, PatienceMs: 1000, PatienceShare: 0.625,
		ChoicesGrowth: 4, MemoryShare: 0.95, ExtraCalls: 3,
	}
}

// manyHosts is the number of hosts from which on their updates to each other arrive
// too late to show which engines are idle. staleViewChoices is the number of
// engines that each host evaluates then.
const (
	manyHosts        = 32
	staleViewChoices = 6
)

// For returns the cost model for a number of hosts that share the engines.
func (k Costs) For(hosts int) Costs {
	if hosts >= manyHosts {
		k.Choices = staleViewChoices
	}
	return k
}

// Choice is the outcome of a placement: Selected, Full or NoCandidate.
type Choice interface{ choice() }

// Selected holds the index of the best candidate.
type Selected struct{ Index int }

// Full says that candidates exist, but that none has capacity now.
type Full struct{}

// NoCandidate says that there is no candidate.
type NoCandidate struct{}

func (Selected) choice()    {}
func (Full) choice()        {}
func (NoCandidate) choice() {}

// WithSpeed returns the cost model for a service whose targets prefill a token and do plain
// work in a measured time. Zero stands for a time that was not measured.
func (k Costs) WithSpeed(prefillMs, plainMs float64) Costs {
	if prefillMs > 0 {
		k.PrefillMs = prefillMs
	}
	k.PlainMs = plainMs
	return k
}

// ChooseEngine chooses the engine of a request with a prompt. With Choices set, it
// evaluates only the engines that rank first for the affinity key and those where
// parts of the prompt are resident. Until the next update, all hosts see the same
// engines as idle; if each host evaluated all engines, they would all send their
// next requests to these few.
func ChooseEngine(w Work, cs []Candidate, k Costs) Choice {
	scores := scoresOf(w.Subject, cs)
	evaluate := k.engineEvaluator(w, preferredOf(cs, scores))
	if k.Choices > 0 && k.Choices < len(cs) {
		if at, ok := k.pickRanked(cs, scores, evaluate); ok {
			return at
		}
	}
	return pick(cs, evaluate)
}

// engineEvaluator returns the evaluator of engines for a request with a prompt.
func (k Costs) engineEvaluator(w Work, preferred int) evaluator {
	return func(i int, c Candidate) (float64, bool) {
		missing := w.missing(c)
		cost := k.base(c) + k.work(w, c, missing) + c.FetchingMs
		if c.Resident < c.Stored {
			cost += c.FetchMs
		}
		if i != preferred {
			cost += k.NonPreferredMs
		}
		return cost, k.fits(w, c, missing)
	}
}

// Evaluation is the evaluation of one candidate.
type Evaluation struct {
	// CostMs is the expected cost, HasRoom whether the request fits now.
	CostMs  float64
	HasRoom bool
	// Rank is the position of an engine for the affinity key, from 0.
	Rank int
}

// EvaluateEngines returns the evaluation of each candidate by ChooseEngine.
func EvaluateEngines(w Work, cs []Candidate, k Costs) []Evaluation {
	scores := scoresOf(w.Subject, cs)
	out := evaluateAll(cs, k.engineEvaluator(w, preferredOf(cs, scores)))
	for i, position := range rank(cs, scores) {
		out[i].Rank = position
	}
	return out
}

// EvaluateTargets returns the evaluation of each candidate by ChooseTarget.
func EvaluateTargets(cs []Candidate, k Costs) []Evaluation { return evaluateAll(cs, k.evaluateTarget) }

func evaluateAll(cs []Candidate, evaluate evaluator) []Evaluation {
	out := make([]Evaluation, len(cs))
	for i, c := range cs {
		out[i].CostMs, out[i].HasRoom = evaluate(i, c)
	}
	return out
}

// pickRanked returns the cheapest candidate with capacity among the first Choices
// by score, or among a number that grows until one has capacity.
func (k Costs) pickRanked(cs []Candidate, scores []uint64, evaluate evaluator) (Selected, bool) {
	ranks := rank(cs, scores)
	for n := k.Choices; n < len(cs); n *= max(k.ChoicesGrowth, 2) {
		choice := pick(cs, func(i int, c Candidate) (float64, bool) {
			if ranks[i] >= n && c.Resident == 0 {
				return 0, false
			}
			return evaluate(i, c)
		})
		if at, ok := choice.(Selected); ok {
			return at, true
		}
	}
	return Selected{}, false
}

// ChooseTarget chooses the target of a request without a prompt.
func ChooseTarget(cs []Candidate, k Costs) Choice { return pick(cs, k.evaluateTarget) }

// evaluateTarget evaluates a target for a request without a prompt.
func (k Costs) evaluateTarget(_ int, c Candidate) (cost float64, hasRoom bool) {
	extra := k.ExtraCalls
	if c.NoQueue {
		extra = 0
	}
	return k.base(c) + k.plainCall(c)*float64(c.Calls)*c.slowdown(), c.Slots <= 0 || c.Calls < c.Slots+extra
}

// plainCall returns the delay that a call in flight at a target adds to a request without
// a prompt.
func (k Costs) plainCall(c Candidate) float64 {
	if k.PlainMs <= 0 || c.Slots <= 0 {
		return k.PlainCallMs
	}
	return k.PlainMs / float64(c.Slots)
}

// rank returns the rank of each candidate: those that are up come before the
// others, then the higher score comes first.
func rank(cs []Candidate, scores []uint64) []int {
	order := make([]int, len(cs))
	keys := make([]uint64, len(cs))
	for i, c := range cs {
		order[i] = i
		keys[i] = scores[i] >> 1
		if !c.Down {
			keys[i] |= 1 << 63
		}
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(keys[b], keys[a]) })
	ranks := make([]int, len(cs))
	for position, i := range order {
		ranks[i] = position
	}
	return ranks
}

// evaluator returns the cost of a candidate and whether it has capacity.
type evaluator func(i int, c Candidate) (cost float64, hasRoom bool)

// pick returns the cheapest candidate with capacity. A candidate that is down is
// chosen only if all are down.
func pick(cs []Candidate, evaluate evaluator) Choice {
	if len(cs) == 0 {
		return NoCandidate{}
	}
	best, leastCost, anyUp := -1, math.Inf(1), false
	for i, c := range cs {
		cost, hasRoom := evaluate(i, c)
		anyUp = anyUp || !c.Down
		if hasRoom && cost < leastCost {
			best, leastCost = i, cost
		}
	}
	if best < 0 || cs[best].Down && anyUp {
		return Full{}
	}
	return Selected{Index: best}
}

// missing is the number of tokens that an engine has to prefill.
func (w Work) missing(c Candidate) int {
	return w.Own + w.Shared - min(max(c.Resident, c.Stored), w.Shared)
}

// fits reports whether an engine has capacity for a request. An engine without
// calls accepts every request.
func (k Costs) fits(w Work, c Candidate, missing int) bool {
	if c.Calls == 0 || c.Room <= 0 {
		return true
	}
	switch {
	case c.Slots > 0 && c.Calls >= c.Slots:
		return false
	case float64(c.Tokens+w.Shared+w.Own) > k.MemoryShare*float64(c.Room):
		return false
	}
	limit := k.PrefillBacklogMs + max(w.WaitedMs-k.PatienceMs, 0)*k.PatienceShare
	return c.Unread == 0 || float64(c.Unread+missing)*k.PrefillMs*c.slowdown() <= limit
}

// slowdown returns how long work takes at a target, in multiples of the usual time.
func (c Candidate) slowdown() float64 {
	if c.Slowdown <= 0 {
		return 1
	}
	return c.Slowdown
}

// Preferred returns the index of the engine that every host prefers for an affinity
// key, by rendezvous hashing over the engines that are up.
func Preferred(affinityKey string, cs []Candidate) int {
	return preferredOf(cs, scoresOf(affinityKey, cs))
}

// preferredOf returns the index of the candidate with the highest score among those
// that are up; -1 if none is.
func preferredOf(cs []Candidate, scores []uint64) int {
	best, highest := -1, uint64(0)
	for i, c := range cs {
		if c.Down {
			continue
		}
		if s := scores[i]; best < 0 || s > highest {
			best, highest = i, s
		}
	}
	return best
}

// scoresOf returns the rendezvous score of each candidate for an affinity key.
func scoresOf(affinityKey string, cs []Candidate) []uint64 {
	scores := make([]uint64, len(cs))
	for i, c := range cs {
		scores[i] = RendezvousScore(affinityKey, c.ID)
	}
	return scores
}

// RendezvousScore is the rendezvous hash of a key and a member. It is the same on
// every host.
func RendezvousScore(key, member string) uint64 {
	return mix(fnv1a(key) ^ bits.RotateLeft64(fnv1a(member), 32))
}

// fnv1a is the FNV-1a hash of a text. It replaces hash/fnv, which allocates for
// each hash.
func fnv1a(text string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for i := range len(text) {
		h = (h ^ uint64(text[i])) * prime
	}
	return h
}

// mix spreads a change of any bit over all bits, as splitmix64 does.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// WeightedScore turns a rendezvous score into one that wins in proportion to the
// weight of its member.
func WeightedScore(score uint64, weight float64) float64 {
	return -weight / math.Log((float64(score>>11)+0.5)/(1<<53))
}

// base is the cost of a candidate that does not depend on the request.
func (k Costs) base(c Candidate) float64 {
	cost := k.FailureMs * c.Risk
	if c.AwayMs > 0 {
		cost += c.AwayMs
	} else {
		cost += k.RoundTripMs[c.Distance]
	}
	if c.Down {
		cost += k.DownMs
	}
	if c.Stale {
		cost += k.StaleMs
	}
	return cost
}

// work is the time that the engine needs until the first event: for the calls in flight,
// the prompts before this one and the missing tokens of this one, whose prefill delays the
// events of the calls. The recomputation of shared parts costs more, as it does not help
// those who have them.
func (k Costs) work(w Work, c Candidate, missing int) float64 {
	prefill := float64(missing) * k.PrefillMs
	busy := k.CallMs*float64(c.Calls) + float64(c.Unread)*k.PrefillMs + prefill + k.InterferenceShare*prefill*float64(c.Calls)
	recomputed := w.Shared - min(max(c.Resident, c.Stored), w.Shared)
	return busy*c.slowdown() + float64(recomputed)*k.RecomputeMs
}
