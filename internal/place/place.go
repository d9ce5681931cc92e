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

// Candidate is a target that may take a request.
type Candidate struct {
	ID       string
	Distance Distance
	// Calls is the number of calls in flight there, of all hosts.
	Calls int
	Slots int
	// Tokens is the memory that they need, of Room in all; Unread are the prompt
	// tokens that must be read before, FetchingMs is the time for the fetches
	// before.
	Tokens     int
	Room       int
	Unread     int
	FetchingMs float64
	// Risk is the share of attempts that failed lately.
	Risk float64
	Down bool
	// Stale engines hold older weights than the newest named.
	Stale bool
	// Resident is the number of shared tokens expected in the engine's memory.
	Resident int
	// Stored is the number of shared tokens that a fetch brings, FetchMs the time
	// that this takes.
	Stored  int
	FetchMs float64
}

// Work is what a request with a prompt asks of an engine.
type Work struct {
	// Subject names the shared parts of the prompt.
	Subject string
	// Shared and Own are the tokens of the shared parts and of the rest.
	Shared, Own int
	// WaitedMs is how long the request has waited for room.
	WaitedMs float64
}

// Weights turn beliefs into expected milliseconds.
type Weights struct {
	// WayMs is the round trip by distance.
	WayMs [3]float64
	// ReadMs is the time to read one token.
	ReadMs float64
	// AgainMs is the extra cost of a shared token that is read again.
	AgainMs float64
	// CallMs is the delay that one call in flight adds to a request with a prompt,
	// PlainMs to another; HomeMs is what an engine other than the home of a subject
	// costs.
	CallMs  float64
	PlainMs float64
	// DelayMs is the harm of a thousand tokens to be read to each call in flight,
	// whose events pause meanwhile.
	DelayMs float64
	HomeMs  float64
	// RiskMs is the cost of a certain failure, DownMs that of a target which
	// refused connections, StaleMs that of older weights.
	RiskMs  float64
	DownMs  float64
	StaleMs float64
	// UnreadLimit is the number of tokens to be read that a busy engine may have
	// before it; more would wait there for longer than a request should.
	UnreadLimit int
	// PatienceMs is how long a request waits until each further millisecond adds
	// PatienceTokens to that limit, so that large requests are not passed over by
	// small ones forever.
	PatienceMs     float64
	PatienceTokens float64
	// Choices is the number of engines that are weighed for a request at first. If
	// none has room, ChoicesGrowth times as many are. Zero stands for all.
	Choices       int
	ChoicesGrowth int
	// RoomShare is the share of an engine's memory that calls may fill.
	RoomShare float64
	// SlotsOver is the number of calls that may wait at a target without a prompt.
	SlotsOver int
}

// Defaults returns the weights for engines that read some 64 tokens in a
// millisecond.
func Defaults() Weights {
	return Weights{
		WayMs: [3]float64{1, 4, 42}, ReadMs: 1.0 / 64, AgainMs: 1.0 / 30,
		CallMs: 3, PlainMs: 8, DelayMs: 1, HomeMs: 60,
		RiskMs: 1500, DownMs: 20000, StaleMs: 120,
		UnreadLimit: 12000, PatienceMs: 1000, PatienceTokens: 40,
		ChoicesGrowth: 4, RoomShare: 0.95, SlotsOver: 3,
	}
}

// manyHosts is the number of hosts from which their news of each other is too old
// to show which engines are idle, and oldNewsChoices the number of engines that
// each weighs then.
const (
	manyHosts      = 32
	oldNewsChoices = 6
)

// For returns the weights for a number of hosts that share the engines.
func (k Weights) For(hosts int) Weights {
	if hosts >= manyHosts {
		k.Choices = oldNewsChoices
	}
	return k
}

// Choice is the outcome of a placement: At, Full or None.
type Choice interface{ choice() }

// At names the index of the best candidate.
type At struct{ Index int }

// Full says that candidates exist, but that none has room now.
type Full struct{}

// None says that there is no candidate.
type None struct{}

func (At) choice()   {}
func (Full) choice() {}
func (None) choice() {}

// Prompt chooses the engine of a request with a prompt. It weighs the engines
// that rank first for the subject and those that hold parts of it. All hosts see
// the same engines idle for as long as their news of each other is old; if each
// weighed all engines, they would send their next requests to the same ones.
func Prompt(w Work, cs []Candidate, k Weights) Choice {
	scores := scoresOf(w.Subject, cs)
	home := homeOf(cs, scores)
	weigh := func(i int, c Candidate) (float64, bool) {
		missing := w.missing(c)
		cost := k.base(c) + k.CallMs*float64(c.Calls) + float64(c.Unread)*k.ReadMs + c.FetchingMs + k.prompt(w, c)
		cost += k.DelayMs * float64(c.Calls) * float64(missing) / 1000
		if i != home {
			cost += k.HomeMs
		}
		return cost, k.fits(w, c, missing)
	}
	if k.Choices > 0 && k.Choices < len(cs) {
		if at, ok := k.pickFew(cs, scores, weigh); ok {
			return at
		}
	}
	return pick(cs, weigh)
}

// pickFew returns the cheapest of the first Choices candidates by score that has
// room, or of a number that grows until one has.
func (k Weights) pickFew(cs []Candidate, scores []uint64, weigh weigher) (At, bool) {
	ranks := rank(cs, scores)
	for n := k.Choices; n < len(cs); n *= max(k.ChoicesGrowth, 2) {
		choice := pick(cs, func(i int, c Candidate) (float64, bool) {
			if ranks[i] >= n && c.Resident == 0 {
				return 0, false
			}
			return weigh(i, c)
		})
		if at, ok := choice.(At); ok {
			return at, true
		}
	}
	return At{}, false
}

// Plain chooses the target of a request without a prompt.
func Plain(cs []Candidate, k Weights) Choice {
	return pick(cs, func(_ int, c Candidate) (float64, bool) {
		cost := k.base(c) + k.PlainMs*float64(c.Calls)
		return cost, c.Slots <= 0 || c.Calls < c.Slots+k.SlotsOver
	})
}

// rank returns the place of each candidate: those that are up before the others,
// then by score.
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
	for place, i := range order {
		ranks[i] = place
	}
	return ranks
}

// weigher returns the cost of a candidate and whether it has room.
type weigher func(i int, c Candidate) (cost float64, room bool)

// pick returns the cheapest candidate with room. A candidate that is down counts
// only if there is no other.
func pick(cs []Candidate, weigh weigher) Choice {
	if len(cs) == 0 {
		return None{}
	}
	best, least, up := -1, math.Inf(1), false
	for i, c := range cs {
		cost, room := weigh(i, c)
		up = up || !c.Down
		if room && cost < least {
			best, least = i, cost
		}
	}
	if best < 0 || cs[best].Down && up {
		return Full{}
	}
	return At{Index: best}
}

// missing is the number of tokens that an engine must read.
func (w Work) missing(c Candidate) int {
	return w.Own + w.Shared - min(max(c.Resident, c.Stored), w.Shared)
}

// fits reports whether a request finds room at an engine. An engine without
// calls takes every request.
func (k Weights) fits(w Work, c Candidate, missing int) bool {
	if c.Calls == 0 || c.Room <= 0 {
		return true
	}
	switch {
	case c.Slots > 0 && c.Calls >= c.Slots:
		return false
	case float64(c.Tokens+w.Shared+w.Own) > k.RoomShare*float64(c.Room):
		return false
	}
	limit := k.UnreadLimit + int(max(w.WaitedMs-k.PatienceMs, 0)*k.PatienceTokens)
	return c.Unread == 0 || c.Unread+missing <= limit
}

// Home returns the index of the engine that every host prefers for a subject,
// by rendezvous hashing over the engines that are up.
func Home(subject string, cs []Candidate) int { return homeOf(cs, scoresOf(subject, cs)) }

func homeOf(cs []Candidate, scores []uint64) int {
	best, most := -1, uint64(0)
	for i, c := range cs {
		if c.Down {
			continue
		}
		if s := scores[i]; best < 0 || s > most {
			best, most = i, s
		}
	}
	return best
}

// scoresOf returns the rendezvous score of each candidate for a subject.
func scoresOf(subject string, cs []Candidate) []uint64 {
	scores := make([]uint64, len(cs))
	for i, c := range cs {
		scores[i] = Score(subject, c.ID)
	}
	return scores
}

// Score is the rendezvous score of a key at a member. It is the same on every
// host.
func Score(key, member string) uint64 {
	return mix(sum(key) ^ bits.RotateLeft64(sum(member), 32))
}

// sum is the FNV-1a hash of a text; hash/fnv would allocate for each.
func sum(text string) uint64 {
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

// Weighted turns a rendezvous score into one that wins as often as the weight of
// its member says.
func Weighted(score uint64, weight float64) float64 {
	return -weight / math.Log((float64(score>>11)+0.5)/(1<<53))
}

func (k Weights) base(c Candidate) float64 {
	cost := k.WayMs[c.Distance] + k.RiskMs*c.Risk
	if c.Down {
		cost += k.DownMs
	}
	if c.Stale {
		cost += k.StaleMs
	}
	return cost
}

// prompt is the time to bring the prompt into memory and what reading shared
// parts again costs others.
func (k Weights) prompt(w Work, c Candidate) float64 {
	held := min(max(c.Resident, c.Stored), w.Shared)
	missing := float64(w.Shared - held)
	cost := float64(w.Own)*k.ReadMs + missing*(k.ReadMs+k.AgainMs)
	if c.Resident < c.Stored {
		cost += c.FetchMs
	}
	return cost
}
