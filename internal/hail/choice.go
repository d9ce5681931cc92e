package hail

import (
	"slices"
	"time"
)

const (
	// maxUnanswered is the number of questions without an answer after which a
	// follower asks the next hub.
	maxUnanswered = 3
	// returnAfter is how long a follower stays with another hub than its first.
	returnAfter = 5 * time.Second
	// blindAfter is how long a follower stays at least with a hub that does not know
	// the platform's tables; if none knows them, all are as good.
	blindAfter = 3 * time.Second
)

// choice chooses the hub that a follower asks.
type choice struct {
	hubs []string
	// at is the index of the hub, since the boot time at which it was chosen, and
	// unanswered counts the questions that it has not answered.
	at         int
	since      time.Duration
	unanswered int
	// blind says that the hub does not know the platform's tables.
	blind bool
}

// next returns the hub to ask now; empty if there is none.
func (c *choice) next(hubs []string, now time.Duration) string {
	if !slices.Equal(hubs, c.hubs) {
		*c = choice{hubs: slices.Clone(hubs), since: now}
	}
	if len(hubs) == 0 {
		return ""
	}
	switch {
	case c.unanswered >= maxUnanswered, c.blind && now-c.since > blindAfter:
		c.at, c.since, c.unanswered = (c.at+1)%len(hubs), now, 0
		c.blind = false
	case c.at != 0 && now-c.since > returnAfter:
		c.at, c.since, c.unanswered = 0, now, 0
	}
	c.unanswered++
	return hubs[c.at]
}

// answered notes an answer, and whether the hub does not know the platform's
// tables; false if it comes from another hub than the one asked.
func (c *choice) answered(hub string, blind bool) bool {
	if len(c.hubs) == 0 || c.hubs[c.at] != hub {
		return false
	}
	c.unanswered, c.blind = 0, blind
	return true
}
