package kvcat

import (
	"math"
	"slices"
	"time"
)

const (
	// slowdownSmoothing is the weight of the newest fetch in the moving average.
	// slowdownHalfLife is the time in which a recorded slowdown halves, so that a
	// store that was slow is tried again.
	slowdownSmoothing = 0.25
	slowdownHalfLife  = 1500 * time.Millisecond
	// maxSlowdown limits the slowdown that one fetch can record.
	maxSlowdown = 12
	// minStores is the number of stores from which on a store is compared with the
	// median.
	minStores = 3
	// firstEventOverheadMs is the typical time to the first event besides the
	// fetch, for a request at an engine that has other work.
	firstEventOverheadMs = 150
)

// slowdown is how many times longer than expected the fetches from a store take, as
// a moving average that decays to 1.
type slowdown struct {
	excess  float64
	updated time.Duration
}

// at returns the decayed slowdown at a time.
func (s slowdown) at(now time.Duration) float64 {
	return 1 + s.excess*math.Exp2(-float64(now-s.updated)/float64(slowdownHalfLife))
}

// record adds the ratio of the measured to the expected time of a fetch.
func (s *slowdown) record(ratio float64, now time.Duration) {
	previous := s.at(now) - 1
	excess := min(max(ratio-1, 0), maxSlowdown)
	s.excess, s.updated = previous+slowdownSmoothing*(excess-previous), now
}

// RecordFetch records the time to the first event of a request that fetched parts.
// It counts for the store of the last fetched part, which is taken as the largest
// fetch.
func (c *Catalog) RecordFetch(addresses []string, expectedMs float64, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.snapshot()
	for i := len(addresses) - 1; i >= 0; i-- {
		s, ok := c.stores[addresses[i]]
		if !ok || expectedMs <= 0 {
			continue
		}
		expected := expectedMs / m.slowdown(s)
		fetchMs := float64(took)/float64(time.Millisecond) - firstEventOverheadMs
		s.slowdown.record(fetchMs/(expected+firstEventOverheadMs/3), m.now)
		return
	}
}

// snapshot is a time with the median slowdown of the stores at that time, which is
// computed once for all stores that are compared.
type snapshot struct {
	now    time.Duration
	median float64
}

// snapshot returns the current time and the median slowdown. The caller holds mu.
func (c *Catalog) snapshot() snapshot {
	m := snapshot{now: c.now(), median: 1}
	if len(c.ordered) < minStores {
		return m
	}
	slowdowns := make([]float64, 0, len(c.ordered))
	for _, s := range c.ordered {
		slowdowns = append(slowdowns, s.slowdown.at(m.now))
	}
	slices.Sort(slowdowns)
	m.median = slowdowns[(len(slowdowns)-1)/2]
	return m
}

// slowdown returns how much longer than expected fetches from a store take,
// relative to the median store. What all stores have in common is the delay of the
// engines.
func (m snapshot) slowdown(s *store) float64 { return max(s.slowdown.at(m.now)-m.median, 0) + 1 }
