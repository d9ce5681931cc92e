package relay

import (
	"cmp"
	"slices"
	"time"

	"sesamehill.example/sesamehill/internal/feed"
)

// maxKeys bounds the rows of a log; a table that changes more is listed anew by
// hosts that are far behind.
const maxKeys = 4096

// log holds what a table has changed since a version: for each key the newest
// row, or its removal.
type log struct {
	since, version uint64
	rows           map[string]feed.Row
	// current is the boot time at which the table was known to be at version; zero
	// while it cannot be read.
	current time.Duration
}

// begin starts the log at a version at which the table was listed.
func (l *log) begin(version uint64, at time.Duration) {
	*l = log{since: version, version: version, rows: map[string]feed.Row{}, current: at}
}

// add notes the changes between two versions. Changes that do not follow on what
// is known start the log anew.
func (l *log) add(after uint64, rows []feed.Row, version uint64, at time.Duration) {
	if l.rows == nil || after > l.version {
		l.begin(after, at)
	}
	for _, r := range rows {
		if r.Version > l.rows[r.Key].Version {
			l.rows[r.Key] = r
		}
	}
	if version < l.version {
		return // an older answer says nothing about what is current
	}
	l.version, l.current = version, max(l.current, at)
	if len(l.rows) > maxKeys {
		l.begin(l.version, l.current)
	}
}

// after returns the changes after a version in their order; false if the log does
// not reach back to it.
func (l *log) after(version uint64) ([]feed.Row, bool) {
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
