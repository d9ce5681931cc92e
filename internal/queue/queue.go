// Package queue orders the requests that wait for capacity at the targets of a service.
//
// Requests that can still meet their latency target come first, earliest deadline
// first. A less urgent request is ordered by a later deadline, but this slack is
// bounded, so that urgent requests cannot overtake it forever. Requests past their
// latency target come last, in the order of arrival, since their answers score lower.
// The order is a pure function.
//
// # Usage
//
//	for _, i := range queue.Order(items, now) {
//		// try to place items[i]
//	}
package queue

import (
	"slices"
	"time"
)

// slackPerPriority is the extra time that one step of priority adds to the
// deadline, as a share of the latency target.
const slackPerPriority = 0.25

// Item is a waiting request. Its times are on the boot clock.
type Item struct {
	Arrived time.Duration
	// LatencyTarget is the latency target, counted from the arrival. An answer within it
	// gets the full score.
	LatencyTarget time.Duration
	// Priority is the priority of the request; 0 is the most urgent.
	Priority int
	// First is set if the request goes on with a stream, for which few targets may be
	// left. It comes before those without.
	First bool
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
	return int(a.deadline() - b.deadline())
}

// deadline is the time at which the latency target ends, with the slack of less
// urgent requests.
func (i Item) deadline() time.Duration {
	return i.Arrived + i.LatencyTarget + time.Duration(slackPerPriority*float64(i.Priority)*float64(i.LatencyTarget))
}
