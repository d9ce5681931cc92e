package relay

import (
	"cmp"
	"slices"
	"time"

	"sesamehill.example/sesamehill/internal/feed"
)

// maxKeys bounds the rows of a change log. If a table has more changes, hosts that
// are far behind list it from the platform instead.
const maxKeys = 4096

// changeLog holds the changes of a table since a version: for each key the newest
// row, or its removal.
type changeLog struct {
	since, version uint64
	rows           map[string]feed.Row
	// currentAt is the boot time at which the table was last known to be at version;
	// zero while the table cannot be read.
	currentAt time.Duration
}

// reset restarts the log without changes at a version of the table.
func (l *changeLog) reset(version uint64, currentAt time.Duration) {
	*l = changeLog{since: version, version: version, rows: map[string]feed.Row{}, currentAt: currentAt}
}

// add records the changes between two versions. Changes that leave a gap after the
// recorded ones restart the log.
func (l *changeLog) add(after uint64, rows []feed.Row, version uint64, currentAt time.Duration) {
	if l.rows == nil || after > l.version {
		l.reset(after, currentAt)
	}
	for _, r := range rows {
		if r.Version > l.rows[r.Key].Version {
			l.rows[r.Key] = r
		}
	}
	if version < l.version {
		return // an older version is not the current one
	}
	l.version, l.currentAt = version, max(l.currentAt, currentAt)
	if len(l.rows) > maxKeys {
		l.reset(l.version, l.currentAt)
	}
}

// after returns the changes after a version, sorted by version; false if the log
// does not reach back to it.
func (l *changeLog) after(version uint64) ([]feed.Row, bool) {
	if l.rows == nil || version < l.since {
		return nil, false
	}
	var out []feed.Row
	for _, r := range l.rows {
		if r.Version > version {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b feed.Row) int { return cmp.Compare(a.Version, b.Version) })
	return out, true
}
