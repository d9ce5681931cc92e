// Package queue orders requests that wait for room at the targets of a service.
//
// Requests that can still be answered within their aim go first, the one whose
// aim ends soonest before the others. Urgent routes have their aims counted
// strictly, less urgent ones with some allowance, which ends: nobody is passed
// over forever. Requests that are late already follow in the order of arrival,
// since their answers are worth less. The order is a pure function.
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

// slackPerRank is the allowance of one step of priority, as a share of the goal.
const slackPerRank = 0.25

// Item is a waiting request. Times are on the boot clock.
type Item struct {
	Arrived time.Duration
	// Goal is the time from arrival for full credit.
	Goal time.Duration
	// Priority 0 is the most urgent.
	Priority int
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

func compare(a, b Item, now time.Duration) int {
	lateA, lateB := now > a.Arrived+a.Goal, now > b.Arrived+b.Goal
	switch {
	case lateA != lateB && lateB:
		return -1
	case lateA != lateB:
		return 1
	case lateA:
		return int(a.Arrived - b.Arrived)
	}
	return int(a.due() - b.due())
}

// due is the end of the aim, with the allowance of less urgent requests.
func (i Item) due() time.Duration {
	return i.Arrived + i.Goal + time.Duration(slackPerRank*float64(i.Priority)*float64(i.Goal))
}
