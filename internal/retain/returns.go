package retain

import (
	"math/bits"
	"time"
)

const (
	// buckets covers intervals up to 2^23 s, about 97 days, by powers of two:
	// prompts return after minutes to days.
	buckets = 24
	// prior is the weight, in observations, of all accounts together in the
	// estimate for one account.
	prior = 4
	// minWindow keeps a store that has just filled up from ranking by seconds.
	minWindow = time.Minute
	// fadeAt is the number of observations at which an account's counts are
	// halved, so that the estimate follows a change of habit.
	fadeAt = 1000
)

// Returns learns when the prompts of each account return. An account takes
// about 200 bytes.
type Returns struct {
	all      counts
	accounts map[string]*counts
	window   time.Duration
}

// counts holds observed returns by bucket of age, and prompts given up.
type counts struct {
	back  [buckets]float32
	ended float32
	total float32
}

// NewReturns returns an estimate without observations.
func NewReturns() *Returns { return &Returns{accounts: map[string]*counts{}, window: Horizon} }

// Chance returns the probability that a prompt of the account that was last used
// age ago returns within the given time from now. Without any observation it is
// one half.
func (r *Returns) Chance(account string, age, within time.Duration) float64 {
	own := r.accounts[account]
	if own == nil {
		own = &counts{}
	}
	var scale float64
	if r.all.total > 0 {
		scale = prior / float64(r.all.total)
	}
	if own.total == 0 && r.all.total == 0 {
		return 0.5
	}
	// Prompts that were given up stay at risk at every age. If they left at the
	// age of their eviction, only those that return would be seen at higher ages,
	// and the oldest pieces would seem the most likely to return.
	stay, risk := 1.0, float64(own.ended)+scale*float64(r.all.ended)
	from, to := max(0, age.Seconds()), max(0, (age+within).Seconds())
	for b := buckets - 1; b >= 0; b-- {
		low, high := bounds(b)
		if high <= from {
			break
		}
		// At risk in a bucket is everything that was seen to reach it.
		back := float64(own.back[b]) + scale*float64(r.all.back[b])
		risk += back
		passed := max(0, (from-low)/(high-low))
		part := min(1, (to-low)/(high-low)) - passed
		// Returns are taken as even within a bucket; those before age are no
		// longer at risk.
		if left := risk - passed*back; part > 0 && left > 0 {
			stay *= 1 - min(1, part*back/left)
		}
	}
	return 1 - stay
}

// Ended records that a prompt was given up without having returned. It counts at
// every age, because nothing tells that it would not return later.
func (r *Returns) Ended(account string) {
	r.observe(account, func(c *counts) { c.ended++ })
}

// Forget drops an account that is gone from the document.
func (r *Returns) Forget(account string) { delete(r.accounts, account) }

// Returned records that a prompt came back after an interval.
func (r *Returns) Returned(account string, interval time.Duration) {
	r.observe(account, func(c *counts) { c.back[bucket(interval)]++ })
}

// Revived takes back an Ended when the prompt returns after all. Without it, an
// account that has lost pieces seems to return less often and loses more.
func (r *Returns) Revived(account string) {
	if c := r.accounts[account]; c != nil && c.ended >= 1 && r.all.ended >= 1 {
		c.ended, c.total = c.ended-1, c.total-1
		r.all.ended, r.all.total = r.all.ended-1, r.all.total-1
	}
}

// SetWindow sets the time within which a return counts for Value: the age at which
// the store evicts what is not used, up to Horizon. A return after the eviction
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

func (c *counts) fade() {
	if c.total < fadeAt {
		return
	}
	for b := range buckets {
		c.back[b] /= 2
	}
	c.ended /= 2
	c.total /= 2
}

func (r *Returns) observe(account string, count func(*counts)) {
	c := r.accounts[account]
	if c == nil {
		c = &counts{}
		r.accounts[account] = c
	}
	for _, x := range []*counts{c, &r.all} {
		x.fade()
		count(x)
		x.total++
	}
}
