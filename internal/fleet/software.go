package fleet

import (
	"slices"
	"time"
)

// unlistedGrace is how long the entry of a new start may be late before the start counts as one
// of another software version. Entries usually follow within a second.
const unlistedGrace = time.Second

// Software returns the software versions of the listed targets by service, sorted.
// Targets that leave count: they may still run streams. The unknown version of an unlisted
// start counts once its entry is late, as it may stay unknown for as long as the list is away.
func (f *Fleet) Software() map[string][]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string][]string{}
	for service, list := range f.services {
		for _, s := range list {
			if s.Unlisted && f.now()-s.unlistedSince < unlistedGrace {
				continue
			}
			if i, ok := slices.BinarySearch(out[service], s.Software); !ok {
				out[service] = slices.Insert(out[service], i, s.Software)
			}
		}
	}
	return out
}

// RecordStart records that a target has started again, before its entry shows that: nothing
// is known of the new start. It returns false if that start is not newer than the known one.
func (f *Fleet) RecordStart(id string, startedAtMs int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.targets[id]
	if !ok || startedAtMs <= s.StartedAtMs {
		return false
	}
	f.ended.add(*s.Target, f.now())
	t := *s.Target
	t.StartedAtMs, t.Unlisted, t.Leaving, t.WarmupLeft = startedAtMs, true, false, 0
	t.Software = unlistedSoftware(id, startedAtMs)
	f.reset(t)
	f.targets[id].unlistedSince = f.now()
	f.onChange(Change{Target: t, Event: "restarted, not listed yet"})
	f.indexByService()
	return true
}
