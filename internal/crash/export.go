package crash

import (
	"cmp"
	"slices"
	"time"
)

// Get returns the record of a fingerprint, to be sent along with a request that is
// forwarded to another region.
func (t *Tracker) Get(p Fingerprint, now time.Time) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.histories[p]
	return h.record(p, now), ok
}

// Export returns at most limit records for a heartbeat. Half of them are the
// newest, those of a recent second crash before all others, as other hosts have to
// refuse their requests. The others are chosen in rotation so that every record
// reaches every host.
func (t *Tracker) Export(limit int, now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	return t.sample(limit, now, func(Fingerprint) bool { return true })
}

// ExportOwn returns at most limit of the records that this host itself has changed
// within a period. It chooses among them as Export does.
func (t *Tracker) ExportOwn(limit int, period time.Duration, now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sample(limit, now, func(p Fingerprint) bool {
		at, ok := t.ownChanges[p]
		return ok && now.Sub(at) < period
	})
}

// exportKey orders the records that may be exported.
type exportKey struct {
	print Fingerprint
	rank  int
	last  time.Time
}

// sample returns at most limit of the records that match: half of them by rank and
// age, the others in rotation. The caller holds mu.
func (t *Tracker) sample(limit int, now time.Time, matches func(Fingerprint) bool) []Record {
	var all []exportKey
	for _, histories := range []map[Fingerprint]History{t.parts, t.histories} {
		for p, h := range histories {
			if matches(p) {
				all = append(all, exportKey{print: p, rank: h.exportRank(now, t.spread), last: h.lastCrash()})
			}
		}
	}
	slices.SortFunc(all, func(a, b exportKey) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), b.last.Compare(a.last), slices.Compare(a.print[:], b.print[:]))
	})
	if len(all) > limit {
		older := all[limit/2:]
		all = all[: limit/2 : limit/2]
		for range limit - limit/2 {
			t.nextExport++
			all = append(all, older[t.nextExport%len(older)])
		}
	}
	out := make([]Record, 0, len(all))
	for _, k := range all {
		out = append(out, t.history(k.print).record(k.print, now))
	}
	return out
}

// history returns the history of a request or of a part.
func (t *Tracker) history(p Fingerprint) History {
	if h, ok := t.parts[p]; ok {
		return h
	}
	return t.histories[p]
}

// exportRank is lower for histories that other hosts need sooner: those of requests and
// parts that have crashed more than one target, the last one within a period, and then
// those that a target has crashed under before it answered.
func (h History) exportRank(now time.Time, period time.Duration) int {
	switch {
	case len(h.Crashes) > 1 && now.Sub(h.lastCrash()) < period:
		return 0
	case slices.ContainsFunc(h.Crashes, func(c Crash) bool { return c.Late }):
		return 2
	}
	return 1
}

// Import merges the records of another host. It skips invalid records and returns
// the error of the last one.
func (t *Tracker) Import(records []Record, now time.Time) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	var err error
	for _, r := range records {
		if invalid := r.Check(); invalid != nil {
			err = invalid
			continue
		}
		if r.Depth > 0 {
			t.importPart(r, now)
			continue
		}
		t.store(r.Print, Merge(t.histories[r.Print], r.history(now)).trim(), now)
	}
	t.cancelQuarantined(now)
	return err
}
