package fleet

import (
	"time"

	"sesamehill.example/sesamehill/internal/rates"
)

// Coldness is how long the targets of a service are cold after a start, and how many
// requests a second a cold one takes from all hosts together. The zero value stands for
// targets that are never cold.
type Coldness struct {
	Time      time.Duration
	PerSecond float64
}

// WithColdness sets the function that returns the coldness of a service. It must not call
// the fleet.
func WithColdness(of func(service string) Coldness) Option {
	return func(f *Fleet) { f.coldness = of }
}

// RecordCold records for how long a start of a target says it stays cold.
func (f *Fleet) RecordCold(id string, startedAtMs int64, left time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, ok := f.startOf(id, startedAtMs); ok {
		f.setCold(s, left)
	}
}

// AssumeCold records that a target may be cold, as it was out of reach and does not say
// whether it has lost its state meanwhile.
func (f *Fleet) AssumeCold(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, ok := f.targets[id]; ok {
		f.setCold(s, f.coldness(s.Service).Time)
	}
}

// CanBeCold reports whether the targets of a service may be cold.
func (f *Fleet) CanBeCold(service string) bool { return f.coldness(service).PerSecond > 0 }

// setCold keeps a target cold for a time from now. What was said before of a longer time
// still counts: statements may overtake each other.
func (f *Fleet) setCold(s *state, left time.Duration) {
	now := f.now()
	if left <= 0 {
		return
	}
	if now >= s.coldUntil && f.CanBeCold(s.Service) {
		f.onChange(Change{Target: *s.Target, Event: "cold"})
	}
	s.coldUntil = max(s.coldUntil, now+left)
}

// coldTimeAfterStart returns how long a target that is new to this host stays cold. One that
// was not in the first list has just started. Its entry may be older than its start.
func (f *Fleet) coldTimeAfterStart(t Target) time.Duration {
	if !f.listed {
		return t.WarmupLeft
	}
	return max(t.WarmupLeft, f.coldness(t.Service).Time)
}

// coldLimit returns the number of requests a second that a target takes because it is cold;
// Unlimited if it is not. One that this host could not reach may have restarted and is taken for
// cold until a probe succeeds.
func (f *Fleet) coldLimit(s *state, now time.Duration) float64 {
	perSecond := f.coldness(s.Service).PerSecond
	unprobed := s.doubted() && !f.tunneled(s, now)
	if perSecond <= 0 || now >= s.coldUntil && !unprobed {
		return Unlimited
	}
	return rates.ColdLimit(perSecond)
}
