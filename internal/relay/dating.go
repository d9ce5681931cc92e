package relay

import (
	"time"

	"sesamehill.example/sesamehill/internal/feed"
)

// maxReadGap is the longest time between a read of a table from the platform and the next
// one so that the changes of the next one count as received when they happened.
const maxReadGap = time.Second

// followed reports whether this host has read a table until now, so that the next call
// returns changes as they happen.
func (r *Relay) followed(table string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.log(table)
	return l.currentAt != 0 && !l.failing && r.now()-l.currentAt <= maxReadGap
}

// readFailed reports whether the last read of a table failed.
func (r *Relay) readFailed(table string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.log(table).failing
}

// answeredAt returns the boot time at which the platform answered a call that waited for
// changes. A response may wait in the socket of a host that is paused.
func (r *Relay) answeredAt(d read, wait time.Duration, rows []feed.Row) time.Duration {
	now := r.now()
	if len(rows) == 0 {
		return min(now, d.startedAt+wait)
	}
	return max(now-r.platformClock.Since(rows[0].AtMs), d.startedAt)
}

// undated removes the times of changes that may have happened earlier.
func undated(rows []feed.Row) []feed.Row {
	for i := range rows {
		rows[i].AtMs = 0
	}
	return rows
}
