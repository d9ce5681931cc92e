package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"sesamehill.example/sesamehill/internal/feed"
	"sesamehill.example/sesamehill/internal/pause"
)

const (
	// maxHistoryGap is the time since a table was current after which a table of
	// WithPresentRows is listed. It exceeds MaxSlowInterval, so that a leader reads the
	// changes.
	maxHistoryGap = 4 * time.Second
	// fallbackBytesPerSecond is what the hosts of a region together read of a slow
	// table from the platform when they have lost their hubs: a fifteenth of a link of
	// 60 Mbit/s.
	fallbackBytesPerSecond = 512 << 10
	// listDelayLimit is the longest delay of a list in one call.
	listDelayLimit = 4 * time.Second
)

// needsPresentRows reports whether the present rows of a table are to be read in place
// of its history.
func (r *Relay) needsPresentRows(table string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.log(table)
	return l.cutOff || r.presentRows[table] && r.now()-l.currentAt > maxHistoryGap
}

// delayFallback waits if this host should not read a table from the platform yet. It
// returns false if there is nothing to wait for.
func (r *Relay) delayFallback(ctx context.Context, table string, deadline time.Duration) (bool, error) {
	if !r.slow[table] || r.isLeader() || r.isHub() || !r.hubsInUse() {
		return false, nil // leaders and hubs are few, and the other hosts depend on them
	}
	period := fallbackPeriod(r.knownRows(table), r.regionHosts())
	r.mu.Lock()
	now, updated := r.now(), r.updated
	at, ok := r.fallbackAt[table]
	if !ok {
		at = now + rand.N(period+1)
		r.fallbackAt[table] = at
	}
	r.mu.Unlock()
	switch {
	case now >= at:
		return false, nil
	case now >= deadline:
		return false, &DelayedError{Table: table, Delay: at - now}
	}
	return true, waitForUpdate(ctx, min(at, deadline)-now, updated)
}

// fallbackPeriod returns the time in which each of the hosts of a region may read rows
// once.
func fallbackPeriod(rows []feed.Row, hosts int) time.Duration {
	return time.Duration(size(rows)) * time.Duration(hosts) * time.Second / fallbackBytesPerSecond
}

// delayNextFallback delays the next read of a table from the platform after one of rows.
func (r *Relay) delayNextFallback(table string, rows []feed.Row) {
	if !r.slow[table] {
		return
	}
	hosts := r.regionHosts()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fallbackAt[table] = r.now() + pause.Jitter(fallbackPeriod(rows, hosts))
}

// DelayedError says that a table is not read from the platform yet, because the other
// hosts of the region read it too.
type DelayedError struct {
	Table string
	Delay time.Duration
}

// Error names the table and the remedy.
func (e *DelayedError) Error() string {
	return fmt.Sprintf("no hub knows table %q, and this host reads it from the platform only in %s; retry the call", e.Table, e.Delay)
}
