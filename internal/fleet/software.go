package fleet

import (
	"slices"
	"time"

	"sesamehill.example/sesamehill/internal/origin"
)

// LateEntryTime is the time after which the entry of a start is late. The platform promises that
// entries are back within two seconds of its return.
const LateEntryTime = 2 * time.Second

// Software returns the software versions of the listed targets by service, sorted.
// Targets that leave count: they may still run streams. Starts whose entries are late count as
// one more version, so that their targets get new streams once all hosts know of it.
func (f *Fleet) Software() map[string][]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string][]string{}
	for service, list := range f.services {
		for _, s := range list {
			software := s.Software
			if s.Unlisted {
				if f.now()-s.foundAt < LateEntryTime {
					continue
				}
				software = origin.UnlistedVersion
			}
			if i, ok := slices.BinarySearch(out[service], software); !ok {
				out[service] = slices.Insert(out[service], i, software)
			}
		}
	}
	return out
}

// RecordStart records that a connection to a target has found a start that its entry does not
// show. Nothing is known of a newer start. An earlier one has no effect unless an entry of it was
// ignored: the clock of the target was set back then, and the entry counts. Zero stands for a start
// that the target does not state.
func (f *Fleet) RecordStart(id string, startedAtMs int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.targets[id]
	if !ok || startedAtMs == 0 || s.hidden == nil || s.hidden.StartedAtMs != startedAtMs {
		f.recordNewerStart(id, startedAtMs)
		return
	}
	t := *s.hidden
	f.reset(t)
	f.onChange(Change{Target: t, Event: "restarted with an earlier clock"})
	f.indexByService()
}

// recordNewerStart records a start that no entry shows. One that is not newer than the known one
// has no effect. That the former start leaves says nothing about this one.
func (f *Fleet) recordNewerStart(id string, startedAtMs int64) {
	s, ok := f.targets[id]
	if !ok || startedAtMs <= s.StartedAtMs {
		return
	}
	t := *s.Target
	t.StartedAtMs, t.Unlisted, t.Leaving, t.WarmupLeft = startedAtMs, true, false, 0
	t.Software = origin.Unlisted{Target: id, StartedAtMs: startedAtMs}.Label()
	f.reset(t)
	n := f.targets[id]
	n.foundAt = f.now()
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

// RecordLabel records the start that a label stands for, if it is newer than the known one:
// another host has found it.
func (f *Fleet) RecordLabel(software string) {
	start, ok := origin.ParseLabel(software)
	if !ok {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordNewerStart(start.Target, start.StartedAtMs)
}

// ListedSoftware returns the software version in the entry of the start that a label stands
// for, or the label if no entry of it was received. Any other version is returned as it is.
func (f *Fleet) ListedSoftware(software string) string {
	start, ok := origin.ParseLabel(software)
	if !ok {
		return software
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, ok := f.targets[start.Target]; ok && s.StartedAtMs == start.StartedAtMs {
		return s.Software
	}
	if version, ok := f.ended.find(start); ok {
		return version
	}
	return software
}

// endedStarts holds the software versions of starts that were listed and have ended, for one to
// two periods of origin.Retention: streams that they began may be resumed as long.
type endedStarts struct {
	current, previous map[origin.Unlisted]string
	rotateAt          time.Duration
}

// add records the start of a target that ends now.
func (e *endedStarts) add(t *Target, now time.Duration) {
	if t.Unlisted {
		return
	}
	if now >= e.rotateAt || e.current == nil {
		e.previous, e.current = e.current, map[origin.Unlisted]string{}
		e.rotateAt = now + origin.Retention
	}
	e.current[origin.Unlisted{Target: t.ID, StartedAtMs: t.StartedAtMs}] = t.Software
}

func (e *endedStarts) find(start origin.Unlisted) (string, bool) {
	if version, ok := e.current[start]; ok {
		return version, true
	}
	version, ok := e.previous[start]
	return version, ok
}
