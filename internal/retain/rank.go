package retain

import (
	"cmp"
	"slices"
	"time"

	"sesamehill.example/sesamehill/pkg/chain"
)

const (
	// Horizon is the longest window within which a return counts. Most prompts
	// return within a day, and stores replace their contents in that time.
	Horizon = 24 * time.Hour
	// minPrefetchProbability is the probability of a return within the prefetch window that
	// a prefetch must exceed. At a lower one, most of the bytes would be wasted.
	// Without observations the probability is one half, which must not start a
	// prefetch.
	minPrefetchProbability = 0.5
)

// Block is a KV cache block at an engine or a store.
type Block struct {
	Key     chain.Key
	Account string
	// Depth is the number of blocks before this one in the prompt.
	Depth  int
	Tokens int
	Bytes  int64
	// LastUsed is the time of the last use.
	LastUsed time.Time
	Pinned   bool
	// Committed blocks are complete; others are still being written.
	Committed bool
}

// Plan lists the blocks to export and those that the store must evict first.
type Plan struct {
	Exports   []Block
	Evictions []Block
}

// Evict returns the least valuable blocks that free the bytes needed. It returns
// nil if the blocks that are neither pinned nor uncommitted are too small.
func Evict(stored []Block, needed int64, r *Returns, now time.Time) []Block {
	victims := evictable(stored, r, now)
	freed := int64(0)
	for i := range victims {
		if freed >= needed {
			return blocksOf(victims[:i])
		}
		freed += victims[i].Bytes
	}
	if freed < needed {
		return nil
	}
	return blocksOf(victims)
}

// Exports chooses the blocks of an engine to export to a store with the given free
// bytes. A stored block is evicted only for a more valuable one.
func Exports(candidates, stored []Block, free int64, r *Returns, now time.Time) Plan {
	known := make(map[chain.Key]bool, len(stored))
	for i := range stored {
		known[stored[i].Key] = true
	}
	victims := evictable(stored, r, now)
	var plan Plan
	for _, c := range ranked(candidates, r, now) {
		if !c.Committed || known[c.Key] || c.value <= 0 {
			continue
		}
		n, available := 0, free
		for n < len(victims) && available < c.Bytes && victims[n].ranksBelow(&c) {
			available += victims[n].Bytes
			n++
		}
		if available < c.Bytes {
			continue
		}
		known[c.Key] = true
		plan.Evictions = append(plan.Evictions, blocksOf(victims[:n])...)
		plan.Exports = append(plan.Exports, c.Block)
		victims, free = victims[n:], available-c.Bytes
	}
	return plan
}

// Prefetch chooses the blocks to import before their prompts return. The window
// is how far ahead a prefetch starts, and idleBytes is the number of bytes that the
// link can carry in that time beyond all other transfers.
func Prefetch(stored []Block, idleBytes int64, window time.Duration, r *Returns, now time.Time) []Block {
	var likely []Block
	for _, p := range stored {
		if p.Committed && r.Probability(p.Account, now.Sub(p.LastUsed), window) > minPrefetchProbability {
			likely = append(likely, p)
		}
	}
	var chosen []Block
	for _, s := range ranked(likely, r, now) {
		if s.Bytes <= idleBytes {
			chosen = append(chosen, s.Block)
			idleBytes -= s.Bytes
		}
	}
	return chosen
}

// Value returns the rank of a block: the expected tokens saved for each byte.
func Value(p Block, r *Returns, now time.Time) float64 {
	if p.Bytes <= 0 {
		return 0
	}
	return float64(p.Tokens) * r.Probability(p.Account, now.Sub(p.LastUsed), r.window) / float64(p.Bytes)
}

type scored struct {
	Block
	value float64
}

func evictable(stored []Block, r *Returns, now time.Time) []scored {
	v := ranked(slices.DeleteFunc(slices.Clone(stored), func(p Block) bool { return p.Pinned || !p.Committed }), r, now)
	slices.Reverse(v)
	return v
}

func blocksOf(s []scored) []Block {
	out := make([]Block, len(s))
	for i := range s {
		out[i] = s[i].Block
	}
	return out
}

// ranked returns the blocks with the most valuable first.
func ranked(blocks []Block, r *Returns, now time.Time) []scored {
	s := make([]scored, len(blocks))
	for i, p := range blocks {
		s[i] = scored{p, Value(p, r, now)}
	}
	slices.SortFunc(s, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.value, a.value), cmp.Compare(a.Depth, b.Depth), slices.Compare(a.Key[:], b.Key[:]))
	})
	return s
}

// ranksBelow reports whether s is less valuable than t.
func (s *scored) ranksBelow(t *scored) bool {
	return s.value < t.value || (s.value == t.value && s.Depth > t.Depth)
}
