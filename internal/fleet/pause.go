package fleet

import (
	"math/rand/v2"
	"time"
)

const (
	// maxPause bounds the pause that a target may ask for.
	maxPause = time.Hour
	// Hosts return to a target over returnShare of its pause after the end, but over no more
	// than maxReturnSpread, so that they do not all come at once.
	returnShare     = 0.1
	maxReturnSpread = time.Second
)

// RecordPause records that a start of a target wants no requests of this host for a time.
// Attempts that are in flight there go on.
func (f *Fleet) RecordPause(id string, startedAtMs int64, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.startOf(id, startedAtMs)
	if !ok || d <= 0 {
		return
	}
	d = min(d, maxPause)
	spread := min(time.Duration(returnShare*float64(d)), maxReturnSpread)
	if f.now() >= s.pausedUntil {
		f.onChange(Change{Target: *s.Target, Event: "asked for a pause"})
	}
	s.pauseUntil(f.now() + d + rand.N(spread+1))
}

// pauseUntil keeps the requests of this host from the target until a boot time, or longer if
// that was asked before.
func (s *state) pauseUntil(t time.Duration) { s.pausedUntil = max(s.pausedUntil, t) }

// RecordLeaving records that a start of a target has said that it leaves. It gets no requests
// any more, whatever the list shows.
func (f *Fleet) RecordLeaving(id string, startedAtMs int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.startOf(id, startedAtMs)
	if !ok || s.Leaving {
		return
	}
	t := *s.Target
	t.Leaving = true
	s.Target = &t
	f.onChange(Change{Target: t, Event: "leaving"})
}
