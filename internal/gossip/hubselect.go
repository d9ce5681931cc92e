package gossip

import (
	"slices"
	"time"
)

const (
	// maxUnanswered is the number of queries in a row without a reply after which a
	// follower switches to the next hub.
	maxUnanswered = 3
	// preferredHubRetry is how long a follower stays with another hub before it
	// tries its preferred one again.
	preferredHubRetry = 5 * time.Second
	// noTablesLimit is the minimum time that a follower stays with a hub that does
	// not know the platform's tables. It keeps followers from switching all the time
	// when no hub knows them.
	noTablesLimit = 3 * time.Second
)

// hubSelector selects the hub that a follower queries.
type hubSelector struct {
	hubs []string
	// index is the selected hub, selectedAt the boot time of its selection, and
	// unanswered the number of queries to it since its last reply, of those that are
	// queryInterval apart. countedAt is the boot time of the last one that was counted.
	index      int
	selectedAt time.Duration
	unanswered int
	countedAt  time.Duration
	// noTables says that the hub does not know the platform's tables.
	noTables bool
}

// next returns the hub to query now and counts the query; empty if there is none.
func (s *hubSelector) next(hubs []string, now time.Duration) string {
	if !slices.Equal(hubs, s.hubs) {
		*s = hubSelector{hubs: slices.Clone(hubs), selectedAt: now}
	}
	if len(hubs) == 0 {
		return ""
	}
	switch {
	case s.unanswered >= maxUnanswered, s.noTables && now-s.selectedAt > noTablesLimit:
		s.index, s.selectedAt, s.unanswered = (s.index+1)%len(hubs), now, 0
		s.noTables = false
	case s.index != 0 && now-s.selectedAt > preferredHubRetry:
		s.index, s.selectedAt, s.unanswered = 0, now, 0
	}
	if s.unanswered == 0 || now-s.countedAt >= queryInterval {
		s.unanswered++
		s.countedAt = now
	}
	return hubs[s.index]
}

// recordReply records a reply and whether the hub does not know the platform's
// tables; false if the reply is from another hub than the selected one.
func (s *hubSelector) recordReply(hub string, noTables bool) bool {
	if len(s.hubs) == 0 || s.hubs[s.index] != hub {
		return false
	}
	s.unanswered, s.noTables = 0, noTables
	return true
}
