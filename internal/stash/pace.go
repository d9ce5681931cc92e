package stash

import (
	"math"
	"slices"
	"time"
)

const (
	// paceStep is the weight of the newest fetch, paceHalf the time in which what
	// was learned halves, so that a store that was slow is tried again.
	paceStep = 0.25
	paceHalf = 1500 * time.Millisecond
	maxPace  = 12
	// minStores is the number of stores from which on they are compared.
	minStores = 3
	// restMs is the usual time to a first event besides the fetch, for a request
	// that finds its engine at work.
	restMs = 150
)

// pace is how many times longer than expected the fetches from a store take.
type pace struct {
	excess float64
	noted  time.Duration
}

func (p pace) at(now time.Duration) float64 {
	return 1 + p.excess*math.Exp2(-float64(now-p.noted)/float64(paceHalf))
}

func (p *pace) note(ratio float64, now time.Duration) {
	old := p.at(now) - 1
	excess := min(max(ratio-1, 0), maxPace)
	p.excess, p.noted = old+paceStep*(excess-old), now
}

// Fetched notes the time to the first event of a request that fetched parts. The
// largest fetch counts for the store that it came from.
func (c *Catalog) Fetched(addresses []string, expectedMs float64, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.moment()
	for i := len(addresses) - 1; i >= 0; i-- {
		s, ok := c.stores[addresses[i]]
		if !ok || expectedMs <= 0 {
			continue
		}
		base := expectedMs / m.pace(s)
		spent := float64(took)/float64(time.Millisecond) - restMs
		s.pace.note(spent/(base+restMs/3), m.now)
		return
	}
}

// moment is a time with the usual pace of the stores at it, which is worked out
// once for all stores that are looked at.
type moment struct {
	now   time.Duration
	usual float64
}

func (c *Catalog) moment() moment {
	m := moment{now: c.now(), usual: 1}
	if len(c.order) < minStores {
		return m
	}
	all := make([]float64, 0, len(c.order))
	for _, s := range c.order {
		all = append(all, s.pace.at(m.now))
	}
	slices.Sort(all)
	m.usual = all[(len(all)-1)/2]
	return m
}

// pace returns how much longer than expected fetches from a store take, beyond
// what they take from most stores: that part is the engines' own delay.
func (m moment) pace(s *store) float64 { return max(s.pace.at(m.now)-m.usual, 0) + 1 }
