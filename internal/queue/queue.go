package queue

import (
	"slices"
	"time"
)

// slackPerStep is the extra time that one step of priority, or an account that is far above
// its share, adds to the end of the latency target, as a share of the latency target.
const slackPerStep = 0.25

// Item is a waiting request. Its times are on the boot clock.
type Item struct {
	Arrived time.Duration
	// LatencyTarget is the latency target, counted from the arrival. An answer within it
	// is on time.
	LatencyTarget time.Duration
	// Latest is the latest time at which a run may start to be of use to the caller, Deadline
	// the time at which the caller gives up.
	Latest   time.Duration
	Deadline time.Duration
	// Priority is the priority of the request; 0 is the most urgent.
	Priority int
	// First is set if the request goes on with a stream, for which few targets may be
	// left. It comes before those without.
	First bool
	// Began is set if the request may have run at a target. It is not refused early, as it
	// cannot be promised to its caller that it has not run.
	Began bool
	// Size is the work of the request: its tokens in the memory of an engine, or
	// 1 without a prompt.
	Size int
	// Overuse is how far the client account is above an equal share of the work that was
	// placed recently, from 0 to 1.
	Overuse float64
	// Overtaken is the work that was placed while the request, which came first in the
	// order, found no room.
	Overtaken int
}

// Order returns the indexes of the items in the order in which they should be
// placed.
func Order(items []Item, now time.Duration) []int {
	order := make([]int, len(items))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return compare(items[a], items[b], now) })
	return order
}

// compare orders two items; it is negative if a comes first.
func compare(a, b Item, now time.Duration) int {
	lateA, lateB := now > a.Arrived+a.LatencyTarget, now > b.Arrived+b.LatencyTarget
	switch {
	case a.First != b.First && a.First:
		return -1
	case a.First != b.First:
		return 1
	case lateA != lateB && lateB:
		return -1
	case lateA != lateB:
		return 1
	case lateA:
		return int(a.Arrived - b.Arrived)
	}
	return int(a.Arrived + a.LatencyTarget + a.slack() - b.Arrived - b.LatencyTarget - b.slack())
}

// slack is the time for which more urgent requests, and those of other accounts, that
// arrive later still come first. It is bounded, so that no request is overtaken forever.
func (i Item) slack() time.Duration {
	return time.Duration(slackPerStep * (float64(i.Priority) + i.Overuse) * float64(i.LatencyTarget))
}
