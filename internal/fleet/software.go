package fleet

import (
	"fmt"
	"slices"
)

// Software returns the software versions of the listed targets by service, sorted.
// Targets that leave count: they may still run streams. Unknown versions do not.
func (f *Fleet) Software() map[string][]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string][]string{}
	for service, list := range f.services {
		for _, s := range list {
			if s.Unlisted {
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
// is known of the new start. One that is not newer than the known one has no effect, nor has one of
// a target that leaves, which is not used before its entry shows it.
func (f *Fleet) RecordStart(id string, startedAtMs int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.targets[id]
	if !ok || s.Leaving || startedAtMs <= s.StartedAtMs {
		return
	}
	t := *s.Target
	t.StartedAtMs, t.Unlisted, t.WarmupLeft = startedAtMs, true, 0
	t.Software = fmt.Sprintf("unlisted/%s/%d", id, startedAtMs)
	f.reset(t)
	n := f.targets[id]
	n.dropAt = s.dropAt // the entry is no more listed than before
	if n.listedStartMs = s.listedStartMs; !s.Unlisted {
		n.listedStartMs = s.StartedAtMs
	}
	f.onChange(Change{Target: t, Event: "restarted, not listed yet"})
	f.indexByService()
}

// hidesEntry reports whether an entry is of an earlier start than the known one. A start that
// no entry shows may be that of another target, which has the former address now: it hides no
// later entry with another address.
func (s *state) hidesEntry(t Target) bool {
	if s.Unlisted && t.Address != s.Address {
		return t.StartedAtMs < s.listedStartMs
	}
	return t.StartedAtMs < s.StartedAtMs
}
