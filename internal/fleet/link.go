package fleet

import (
	"maps"
	"slices"
	"time"
)

// linkOverlap is for how long two connections to a target have to be open at once to show that
// they lead to the same start of it: the end of the first one may be noticed late.
const linkOverlap = 500 * time.Millisecond

// link is what the connections of this host to a target show about its start, if the target does
// not state it. A start ends all its connections. While one is open, and after it another one that
// overlaps with it, the target has not started again.
type link struct {
	// openedAt holds the boot times at which the open connections were opened.
	openedAt map[int]time.Duration
	number   int
	// since is the boot time from which connections have overlapped, and dialedAt that at which the
	// newest one of them was dialed.
	since, dialedAt time.Duration
	// confirmedStartMs is the start that another host has confirmed since then; zero if none has.
	confirmedStartMs int64
	// brokenAt is the boot time at which the last one broke with which no other one overlapped;
	// zero if none has.
	brokenAt time.Duration
}

// OpenLink records a connection to a target, which was dialed at a boot time. The returned function
// records its end, and whether this host closed it itself. Its first call counts.
func (f *Fleet) OpenLink(id string, dialedAt time.Duration) (end func(closed bool)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l, ok := f.links[id]
	if !ok {
		l = &link{openedAt: map[int]time.Duration{}}
		f.links[id] = l
	}
	now := f.now()
	if len(l.openedAt) == 0 {
		l.restart(now)
	}
	l.dialedAt = max(l.dialedAt, dialedAt)
	l.number++
	number := l.number
	l.openedAt[number] = now
	return func(closed bool) {
		f.mu.Lock()
		defer f.mu.Unlock()
		l.end(number, closed, f.now())
	}
}

// end records the end of a connection. One that this host closed itself says nothing about a
// restart, but does not show any more that there is none: it may have ended unnoticed before.
func (l *link) end(number int, closed bool, now time.Duration) {
	if _, ok := l.openedAt[number]; !ok {
		return
	}
	delete(l.openedAt, number)
	others := slices.Sorted(maps.Values(l.openedAt))
	if len(others) > 0 && now-others[0] >= linkOverlap {
		return
	}
	if !closed {
		l.brokenAt = now
	}
	if len(others) > 0 {
		l.restart(others[0])
	}
}

// restart records that connections overlap from a time only: the target may have started again
// before it. When the newest one was dialed is known again after the next one.
func (l *link) restart(since time.Duration) {
	l.since, l.dialedAt, l.confirmedStartMs = since, 0, 0
}

// RecordListRead records the boot time at which the list of targets was known to be current.
func (f *Fleet) RecordListRead(at time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listReadAt = max(f.listReadAt, at)
}

// StartEvidence says whether a target that does not state its start is the start of its entry.
type StartEvidence int

const (
	// StartAssumed means that nothing shows whether the target has started again.
	StartAssumed StartEvidence = iota
	// StartConfirmed means that connections have been open since before the list, as read last,
	// would show another start, or that another host has confirmed the start.
	StartConfirmed
	// StartDoubted means that connections broke, and that the list was not read since when it
	// would show another start.
	StartDoubted
)

// StartEvidence returns whether a target that does not state its start is the start of its entry.
func (f *Fleet) StartEvidence(id string) StartEvidence {
	f.mu.Lock()
	defer f.mu.Unlock()
	l, ok := f.links[id]
	switch {
	case !ok:
		return StartAssumed
	case len(l.openedAt) > 0 && f.confirmed(id, l):
		return StartConfirmed
	case l.brokenAt > 0 && f.listReadAt < l.brokenAt+LateEntryTime:
		return StartDoubted
	}
	return StartAssumed
}

// Linked reports whether a connection to a target that does not state its start is open.
func (f *Fleet) Linked(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	l, ok := f.links[id]
	return ok && len(l.openedAt) > 0
}

// ListAge returns the time since the list of targets was known to be current.
func (f *Fleet) ListAge() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now() - f.listReadAt
}

// dropLink forgets the connections to a target that is gone or has another address.
func (f *Fleet) dropLink(id string) { delete(f.links, id) }
