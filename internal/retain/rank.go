package retain

import (
	"cmp"
	"slices"
	"time"

	"sesamehill.example/sesamehill/pkg/chain"
)

const (
	// Horizon is the time within which a return counts: most prompts return
	// within a day, and stores turn over in that time.
	Horizon = 24 * time.Hour
	// prefetchChance is the probability of a return within the prefetch window that
	// a prefetch must exceed; below, most of the bytes would be wasted. Without
	// observations the probability is one half, which must not start a prefetch.
	prefetchChance = 0.5
)

// Piece is a piece of kept prompt state at an engine or a store.
type Piece struct {
	Key     chain.Key
	Account string
	// Depth is the number of pieces before this one in the prompt.
	Depth  int
	Tokens int
	Bytes  int64
	// Used is the time of the last use.
	Used   time.Time
	Pinned bool
	// Sealed pieces are complete; others are still being written.
	Sealed bool
}

// Plan names what to export and what the store has to evict before.
type Plan struct {
	Exports   []Piece
	Evictions []Piece
}

// Evict returns the least valuable pieces that free the bytes needed. It returns
// nil if pinned and unsealed pieces leave too little to free.
func Evict(stored []Piece, need int64, r *Returns, now time.Time) []Piece {
	victims := evictable(stored, r, now)
	freed := int64(0)
	for i := range victims {
		if freed >= need {
			return pieces(victims[:i])
		}
		freed += victims[i].Bytes
	}
	if freed < need {
		return nil
	}
	return pieces(victims)
}

// Exports chooses which of an engine's pieces a store with that many free bytes
// should take. A stored piece makes room only for a more valuable one.
func Exports(candidates, stored []Piece, free int64, r *Returns, now time.Time) Plan {
	have := make(map[chain.Key]bool, len(stored))
	for i := range stored {
		have[stored[i].Key] = true
	}
	victims := evictable(stored, r, now)
	var plan Plan
	for _, c := range ranked(candidates, r, now) {
		if !c.Sealed || have[c.Key] || c.value <= 0 {
			continue
		}
		n, room := 0, free
		for n < len(victims) && room < c.Bytes && victims[n].before(&c) {
			room += victims[n].Bytes
			n++
		}
		if room < c.Bytes {
			continue
		}
		have[c.Key] = true
		plan.Evictions = append(plan.Evictions, pieces(victims[:n])...)
		plan.Exports = append(plan.Exports, c.Piece)
		victims, free = victims[n:], room-c.Bytes
	}
	return plan
}

// Prefetch chooses the pieces to import before their prompts return. The window
// is how far ahead a prefetch starts, and idle is the number of bytes that the
// link can carry in that time beyond all other transfers.
func Prefetch(stored []Piece, idle int64, window time.Duration, r *Returns, now time.Time) []Piece {
	var likely []Piece
	for _, p := range stored {
		if p.Sealed && r.Chance(p.Account, now.Sub(p.Used), window) > prefetchChance {
			likely = append(likely, p)
		}
	}
	var chosen []Piece
	for _, s := range ranked(likely, r, now) {
		if s.Bytes <= idle {
			chosen = append(chosen, s.Piece)
			idle -= s.Bytes
		}
	}
	return chosen
}

// Value returns the rank of a piece: the expected tokens saved for each byte.
func Value(p Piece, r *Returns, now time.Time) float64 {
	if p.Bytes <= 0 {
		return 0
	}
	return float64(p.Tokens) * r.Chance(p.Account, now.Sub(p.Used), r.window) / float64(p.Bytes)
}

type scored struct {
	Piece
	value float64
}

func evictable(stored []Piece, r *Returns, now time.Time) []scored {
	v := ranked(slices.DeleteFunc(slices.Clone(stored), func(p Piece) bool { return p.Pinned || !p.Sealed }), r, now)
	slices.Reverse(v)
	return v
}

func pieces(s []scored) []Piece {
	out := make([]Piece, len(s))
	for i := range s {
		out[i] = s[i].Piece
	}
	return out
}

// ranked returns the pieces with the most valuable first.
func ranked(ps []Piece, r *Returns, now time.Time) []scored {
	s := make([]scored, len(ps))
	for i, p := range ps {
		s[i] = scored{p, Value(p, r, now)}
	}
	slices.SortFunc(s, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.value, a.value), cmp.Compare(a.Depth, b.Depth), slices.Compare(a.Key[:], b.Key[:]))
	})
	return s
}

// before reports whether s is worth less than t.
func (s *scored) before(t *scored) bool {
	return s.value < t.value || (s.value == t.value && s.Depth > t.Depth)
}
