package fleet

import "time"

const (
	// maxDepartures bounds the number of remembered targets; it is three times the
	// number of workers of the design size.
	maxDepartures = 4096
	// relapseDelay is how long an entry of a restored list that was removed before is
	// held back. The entry of a target that has left goes within three heartbeats.
	relapseDelay = 8 * time.Second
)

// departures remembers targets that are no longer listed. A target that has said that it
// leaves never comes back with the same start, whatever an older list shows.
type departures struct {
	byID map[string]departure
	// restoredAt is the time of the last restore of the list; zero if there was none.
	restoredAt time.Duration
	// holding is set while entries are held back.
	holding bool
}

// departure is a start of a target that is no longer listed.
type departure struct {
	startedAtMs int64
	// left is set if the target has said that it leaves.
	left bool
	// at is the time of the removal.
	at time.Duration
	// listed is the entry in a restored list; nil if there is none.
	listed *Target
}

func newDepartures() departures { return departures{byID: map[string]departure{}} }

// add remembers a target that was removed, and forgets the oldest one if there are too
// many.
func (d *departures) add(t Target, now time.Duration) {
	if len(d.byID) >= maxDepartures {
		oldest := ""
		for id, p := range d.byID {
			if oldest == "" || p.at < d.byID[oldest].at {
				oldest = id
			}
		}
		delete(d.byID, oldest)
	}
	d.byID[t.ID] = departure{startedAtMs: t.StartedAtMs, left: t.Leaving, at: now}
}

// forget forgets a target that is listed again.
func (d *departures) forget(id string) { delete(d.byID, id) }

// left reports whether an entry is from a start of a target that has left, or from an
// earlier one.
func (d *departures) left(t Target) bool {
	p, ok := d.byID[t.ID]
	return ok && p.left && t.StartedAtMs <= p.startedAtMs
}

// settling reports whether the list may still show entries of the copy whose targets
// have changed or left since.
func (d *departures) settling(now time.Duration) bool {
	return d.restoredAt != 0 && now < d.restoredAt+relapseDelay
}

// holdBack reports whether a listed entry is from a start of a target that was removed
// before the list was restored, and keeps it until the target may be used.
func (d *departures) holdBack(t Target, now time.Duration) bool {
	p, ok := d.byID[t.ID]
	if !ok || t.StartedAtMs > p.startedAtMs || p.at > d.restoredAt || !d.settling(now) {
		return false
	}
	p.listed, d.holding = &t, true
	d.byID[t.ID] = p
	return true
}

// removeListed drops the entry that is held back, as it is no longer listed.
func (d *departures) removeListed(id string) {
	if p, ok := d.byID[id]; ok {
		p.listed = nil
		d.byID[id] = p
	}
}

// retainListed drops the entries that are held back and not in a new list.
func (d *departures) retainListed(present map[string]bool) {
	for id, p := range d.byID {
		if p.listed != nil && !present[id] {
			d.removeListed(id)
		}
	}
}

// relapsed returns the entries that have stayed listed for relapseDelay.
func (d *departures) relapsed(now time.Duration) []Target {
	if !d.holding || d.settling(now) {
		return nil
	}
	d.holding = false
	var out []Target
	for _, p := range d.byID {
		if p.listed != nil {
			out = append(out, *p.listed)
		}
	}
	return out
}
