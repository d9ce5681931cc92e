package stash

import (
	"math"
	"time"
)

const (
	// paceStep is the weight of the newest fetch, paceHalf the time in which what
	// was learned halves, so that a store that was slow is tried again.
	paceStep = 0.25
	paceHalf = 1500 * time.Millisecond
	maxPace  = 12
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

// Fetched notes the time to the first event of a request that fetched parts.
func (c *Catalog) Fetched(addresses []string, expectedMs float64, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	seen := map[string]bool{}
	for _, a := range addresses {
		s, ok := c.stores[a]
		if !ok || seen[a] || expectedMs <= 0 {
			continue
		}
		seen[a] = true
		base := expectedMs / s.pace.at(now)
		spent := float64(took)/float64(time.Millisecond) - restMs
		s.pace.note(spent/(base+restMs/3), now)
	}
}
