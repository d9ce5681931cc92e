package place

import (
	"math"

	"github.com/zeebo/blake3"
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
	// Calls is the number of calls in flight there, of all hosts; Waiting is how
	// many of them had not begun at the last report.
	Calls   float64
	Waiting float64
	Slots   int
	// Tokens is the memory in use by this host's calls, of Room in all.
	Tokens int
	Room   int
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
}

// Weights turn beliefs into expected milliseconds.
type Weights struct {
	// WayMs is the round trip by distance.
	WayMs [3]float64
	// ReadMs is the time to read one token.
	ReadMs float64
	// AgainMs is the extra cost of a shared token that is read again.
	AgainMs float64
	// CallMs is the delay that one call in flight adds, WaitMs that of a waiting
	// one, HomeMs what an engine other than the home of a subject costs.
	CallMs float64
	WaitMs float64
	HomeMs float64
	// RiskMs is the cost of a certain failure, DownMs that of a target which
	// refused connections, StaleMs that of older weights.
	RiskMs  float64
	DownMs  float64
	StaleMs float64
	// FullMs is the cost of each place or share of memory that is missing.
	FullMs float64
}

// Defaults returns the weights for engines that read some 64 tokens in a
// millisecond.
func Defaults() Weights {
	return Weights{
		WayMs: [3]float64{1, 4, 42}, ReadMs: 1.0 / 64, AgainMs: 1.0 / 12,
		CallMs: 8, WaitMs: 40, HomeMs: 60,
		RiskMs: 1500, DownMs: 20000, StaleMs: 120, FullMs: 3000,
	}
}

// Prompt returns the index of the best engine for a request with a prompt.
func Prompt(w Work, cs []Candidate, k Weights) (int, bool) {
	home := Home(w.Subject, cs)
	best, least := -1, math.Inf(1)
	for i, c := range cs {
		cost := k.base(c) + k.queue(c) + k.prompt(w, c)
		if i != home {
			cost += k.HomeMs
		}
		if cost < least {
			best, least = i, cost
		}
	}
	return best, best >= 0
}

// Plain returns the index of the best target for a request without a prompt.
func Plain(cs []Candidate, k Weights) (int, bool) {
	best, least := -1, math.Inf(1)
	for i, c := range cs {
		cost := k.base(c) + k.queue(c)
		if cost < least {
			best, least = i, cost
		}
	}
	return best, best >= 0
}

// Home returns the index of the engine that every host prefers for a subject,
// by rendezvous hashing over the engines that are up.
func Home(subject string, cs []Candidate) int {
	best, most := -1, uint64(0)
	for i, c := range cs {
		if c.Down {
			continue
		}
		if s := Score(subject, c.ID); best < 0 || s > most {
			best, most = i, s
		}
	}
	return best
}

// Score is the rendezvous score of a key at a member.
func Score(key, member string) uint64 {
	var buf [96]byte
	b := append(buf[:0], key...)
	b = append(b, 0)
	b = append(b, member...)
	sum := blake3.Sum256(b)
	var s uint64
	for _, x := range sum[:8] {
		s = s<<8 | uint64(x)
	}
	return s
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

// queue is the delay by the calls that are there already.
func (k Weights) queue(c Candidate) float64 {
	cost := k.CallMs*c.Calls + k.WaitMs*c.Waiting
	if over := c.Calls - float64(c.Slots); c.Slots > 0 && over > 0 {
		cost += k.FullMs * over / float64(c.Slots)
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
	if c.Room > 0 {
		if over := c.Tokens + w.Shared + w.Own - c.Room; over > 0 {
			cost += k.FullMs * float64(over) / float64(c.Room)
		}
	}
	return cost
}
