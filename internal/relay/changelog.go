package relay

import (
	"slices"
	"time"

	"sesamehill.example/sesamehill/internal/feed"
)

// maxKeys bounds the rows of a change log. If a table has more, hosts that are far
// behind list it from the platform instead.
const maxKeys = 4096

// History says which changes of a table a host may not have received. Times are boot times, and zero
// if there was no such read.
type History struct {
	// ListedAt is the time of the last read of all rows: it does not show what was removed before.
	ListedAt time.Duration
	// MissedAt is the time of the last read that returned the removal of a row which the host never
	// had.
	MissedAt time.Duration
}

// changeLog holds the rows of a table and their changes since a position: for each key
// the newest row, or its removal.
type changeLog struct {
	since, position feed.Position
	rows            map[string]feed.Row
	// complete says that rows has all rows of the table.
	complete bool
	// currentAt is the boot time at which the table was last known to be at position.
	currentAt time.Duration
	// history says which changes may be missing, also before since.
	history History
	// failing says that the last read from the platform failed, and cutOff that one
	// failed while it received data and none has succeeded since.
	failing, cutOff bool
}

// reset restarts the log without changes at a position.
func (l *changeLog) reset(position feed.Position, currentAt time.Duration) {
	*l = changeLog{since: position, position: position, rows: map[string]feed.Row{}, currentAt: currentAt, history: l.history}
}

// missed returns the key of a row that changes remove and that the log does not have; false if there
// is none.
func (l *changeLog) missed(changes []feed.Row) (string, bool) {
	for _, r := range changes {
		known, ok := l.rows[r.Key]
		if r.Removed && (!ok || known.Removed) && known.Position().Before(r.Position()) {
			return r.Key, true
		}
	}
	return "", false
}

// setAll records all rows of the table at a position. If the log had all rows of the
// same era before, it still reaches back as far, so that hosts which are behind need only
// the changes.
func (l *changeLog) setAll(listed []feed.Row, position feed.Position, currentAt time.Duration) {
	since, before := position, map[string]feed.Row(nil)
	if l.complete && position.Era == l.position.Era {
		since, before = l.since, l.rows
	}
	l.reset(position, currentAt)
	l.since, l.complete = since, true
	for _, r := range listed {
		if old := before[r.Key]; old.Position() == r.Position() && r.AtMs == 0 {
			r.AtMs = old.AtMs
		}
		l.rows[r.Key] = r
	}
	for key, r := range before {
		if _, ok := l.rows[key]; ok {
			continue
		}
		if !r.Removed {
			r = feed.Row{Key: key, Version: position.Version, Removed: true, Era: position.Era}
		}
		l.rows[key] = r
	}
	l.limit()
}

// add records the changes between two positions. Changes that leave a gap after the
// recorded ones restart the log; those of an older era are ignored.
func (l *changeLog) add(after feed.Position, rows []feed.Row, position feed.Position, currentAt time.Duration) {
	if l.rows != nil && position.Era < l.position.Era {
		return
	}
	if l.rows == nil || l.position.Before(after) {
		l.reset(after, currentAt)
	}
	for _, r := range rows {
		if l.rows[r.Key].Position().Before(r.Position()) {
			l.rows[r.Key] = r
		}
	}
	if position.Before(l.position) {
		return // an older position is not the current one
	}
	l.position, l.currentAt = position, max(l.currentAt, currentAt)
	l.limit()
}

// limit drops the removals, or else all rows, if the log has too many.
func (l *changeLog) limit() {
	if len(l.rows) <= maxKeys {
		return
	}
	for key, r := range l.rows {
		if r.Removed {
			delete(l.rows, key)
		}
	}
	l.since = l.position
	if !l.complete || len(l.rows) > maxKeys {
		l.reset(l.position, l.currentAt)
	}
}

// after returns the changes after a position, oldest first; false if the log does not
// reach back to it or is of another era.
func (l *changeLog) after(position feed.Position) ([]feed.Row, bool) {
	if l.rows == nil || position.Era != l.since.Era || position.Before(l.since) {
		return nil, false
	}
	return l.sorted(func(r feed.Row) bool { return position.Before(r.Position()) }), true
}

// all returns all rows of the table, the oldest first; false if the log does not have
// them.
func (l *changeLog) all() ([]feed.Row, bool) {
	if !l.complete {
		return nil, false
	}
	return l.sorted(func(r feed.Row) bool { return !r.Removed }), true
}

func (l *changeLog) sorted(matches func(feed.Row) bool) []feed.Row {
	var out []feed.Row
	for _, r := range l.rows {
		if matches(r) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b feed.Row) int { return a.Position().Compare(b.Position()) })
	return out
}

// size returns the bytes of the keys and values of rows.
func size(rows []feed.Row) int {
	n := 0
	for _, r := range rows {
		n += len(r.Key) + len(r.Value)
	}
	return n
}
