package retain

import (
	"math/bits"
	"time"
)

const (
	// buckets covers intervals up to 2^23 s, about 97 days, by powers of two:
	// prompts return after minutes to days.
	buckets = 24
	// priorWeight is the weight, in observations, of all accounts together in the
	// estimate for one account.
	priorWeight = 4
	// minWindow prevents a window of seconds at a store that has just filled up.
	minWindow = time.Minute
	// maxObservations is the number of observations at which an account's counts
	// are halved, so that the estimate follows changes in the return intervals.
	maxObservations = 1000
)

// Returns estimates when the prompts of each account return. An account takes
// about 200 bytes.
type Returns struct {
	all      counts
	accounts map[string]*counts
	window   time.Duration
}

// counts holds observed returns by bucket of age, and abandoned prompts.
type counts struct {
	returned  [buckets]float32
	abandoned float32
	total     float32
}

// NewReturns returns an estimate without observations.
func NewReturns() *Returns { return &Returns{accounts: map[string]*counts{}, window: Horizon} }

// Probability returns the probability that a prompt of the account that was last used
// age ago returns within the given time from now. Without any observation it is
// one half.
func (r *Returns) Probability(account string, age, within time.Duration) float64 {
	own := r.accounts[account]
	if own == nil {
		own = &counts{}
	}
	var scale float64
	if r.all.total > 0 {
		scale = priorWeight / float64(r.all.total)
	}
	if own.total == 0 && r.all.total == 0 {
		return 0.5
	}
	// Abandoned prompts stay at risk at every age. If they were removed at the age
	// of their eviction, only prompts that return would be counted at higher ages,
	// and the oldest blocks would get the highest probability of a return.
	absent, atRisk := 1.0, float64(own.abandoned)+scale*float64(r.all.abandoned)
	from, to := max(0, age.Seconds()), max(0, (age+within).Seconds())
	for b := buckets - 1; b >= 0; b-- {
		low, high := bounds(b)
		if high <= from {
			break
		}
		// At risk in a bucket are all prompts that reached its age.
		returns := float64(own.returned[b]) + scale*float64(r.all.returned[b])
		atRisk += returns
		elapsed := max(0, (from-low)/(high-low))
		fraction := min(1, (to-low)/(high-low)) - elapsed
		// Returns are assumed to be uniform within a bucket; those before age are
		// no longer at risk.
		if remaining := atRisk - elapsed*returns; fraction > 0 && remaining > 0 {
			absent *= 1 - min(1, fraction*returns/remaining)
		}
	}
	return 1 - absent
}

// RecordAbandoned records that a prompt was evicted or dropped before it returned.
// It counts at every age, because the prompt may still return later.
func (r *Returns) RecordAbandoned(account string) {
	r.observe(account, func(c *counts) { c.abandoned++ })
}

// Forget removes an account that the configuration document no longer contains.
func (r *Returns) Forget(account string) { delete(r.accounts, account) }

// RecordReturn records that a prompt returned after an interval.
func (r *Returns) RecordReturn(account string, interval time.Duration) {
	r.observe(account, func(c *counts) { c.returned[bucket(interval)]++ })
}

// UndoAbandoned takes back one earlier RecordAbandoned of the account. The caller
// uses it when an abandoned prompt returns after all. Without it, the estimate for
// an account with evicted blocks would fall, and more of its blocks would be evicted.
func (r *Returns) UndoAbandoned(account string) {
	if c := r.accounts[account]; c != nil && c.abandoned >= 1 && r.all.abandoned >= 1 {
		c.abandoned, c.total = c.abandoned-1, c.total-1
		r.all.abandoned, r.all.total = r.all.abandoned-1, r.all.total-1
	}
}

// SetWindow sets the time within which a return counts for Value: the age at which
// the store evicts unused blocks, up to Horizon. A return after the eviction
// saves nothing.
func (r *Returns) SetWindow(d time.Duration) { r.window = max(minWindow, min(d, Horizon)) }

// bounds returns the seconds that a bucket covers.
func bounds(b int) (low, high float64) {
	if b == 0 {
		return 0, 1
	}
	return float64(int64(1) << (b - 1)), float64(int64(1) << b)
}

func bucket(d time.Duration) int {
	return min(buckets-1, bits.Len64(uint64(max(0, d)/time.Second)))
}

func (c *counts) halve() {
	if c.total < maxObservations {
		return
	}
	for b := range buckets {
		c.returned[b] /= 2
	}
	c.abandoned /= 2
	c.total /= 2
}

func (r *Returns) observe(account string, count func(*counts)) {
	c := r.accounts[account]
	if c == nil {
		c = &counts{}
		r.accounts[account] = c
	}
	for _, x := range []*counts{c, &r.all} {
		x.halve()
		count(x)
		x.total++
	}
}
