package fleet

import "time"

// ConfirmedStart says that a target that does not state its start is the start of its entry: a host
// has had connections to it since before its list of targets would show another start. The two
// durations are ages at the time of the message.
type ConfirmedStart struct {
	Target      string `cbor:"1,keyasint"`
	StartedAtMs int64  `cbor:"2,keyasint"`
	// OpenMs is the time for which connections have overlapped, and LastMs the time since the
	// newest one of them was dialed: until then at least the start served.
	OpenMs int64 `cbor:"3,keyasint"`
	LastMs int64 `cbor:"4,keyasint"`
}

// proves reports whether the message shows that this host, with connections since a time, has them
// to the same start: those of the two hosts overlapped. The message was sent after sentAt.
func (c ConfirmedStart) proves(since, sentAt time.Duration) bool {
	open, last := time.Duration(c.OpenMs)*time.Millisecond, time.Duration(c.LastMs)*time.Millisecond
	return c.StartedAtMs != 0 && last >= 0 && open-last >= linkOverlap && sentAt-last-since >= linkOverlap
}

// LinkedStart is a target to which connections have been open since a boot time, while nothing
// shows whether it is the start of its entry.
type LinkedStart struct {
	Target string
	Since  time.Duration
}

// UnconfirmedStarts returns targets whose starts another host may confirm, up to a number.
func (f *Fleet) UnconfirmedStarts(limit int) []LinkedStart {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []LinkedStart
	for id, l := range f.links {
		if len(out) == limit {
			break
		}
		if len(l.openedAt) > 0 && !f.confirmed(id, l) && f.listedStart(id) != 0 {
			out = append(out, LinkedStart{Target: id, Since: l.since})
		}
	}
	return out
}

// ConfirmedStarts returns the starts among those of some targets that the list of this host
// confirms. What other hosts have confirmed does not count.
func (f *Fleet) ConfirmedStarts(ids []string) []ConfirmedStart {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	var out []ConfirmedStart
	for _, id := range ids {
		l, ok := f.links[id]
		if start := f.listedStart(id); ok && start != 0 && len(l.openedAt) > 0 && f.listConfirms(l) {
			out = append(out, ConfirmedStart{
				Target: id, StartedAtMs: start, OpenMs: (now - l.since).Milliseconds(), LastMs: (now - l.dialedAt).Milliseconds() + 1,
			})
		}
	}
	return out
}

// ConfirmStart records what another host has answered to a query for a target, which was sent at a
// boot time. It reports whether that confirms the start.
func (f *Fleet) ConfirmStart(asked LinkedStart, c ConfirmedStart, sentAt time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	l, ok := f.links[asked.Target]
	if !ok || c.Target != asked.Target || len(l.openedAt) == 0 || l.since != asked.Since || !c.proves(l.since, sentAt) {
		return false
	}
	l.confirmedStartMs = c.StartedAtMs
	return f.confirmed(asked.Target, l)
}

// confirmed reports whether a target with open connections is the start of its entry.
func (f *Fleet) confirmed(id string, l *link) bool {
	return f.listConfirms(l) || l.confirmedStartMs != 0 && l.confirmedStartMs == f.listedStart(id)
}

// listConfirms reports whether the list would show a later start than that with open connections.
// An entry is written within LateEntryTime after a start.
func (f *Fleet) listConfirms(l *link) bool { return f.listReadAt >= l.since+LateEntryTime }

// listedStart returns the start in the entry of a target; zero if it is unknown, or if there is
// another entry that was ignored.
func (f *Fleet) listedStart(id string) int64 {
	s, ok := f.targets[id]
	if !ok || s.Unlisted || s.hidden != nil {
		return 0
	}
	return s.StartedAtMs
}
