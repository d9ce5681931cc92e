// Package speed estimates how long work takes at targets from what hosts measure.
//
// A service has a usual speed, which the durations of all attempts show: how long its
// targets prefill a token, and how long plain work takes. A target differs from it for
// two reasons, which are kept apart. It is slow now if its newest report says so; the
// report loses its weight with its age, as fast as earlier reports of the service have
// changed. It is slow for long if its own attempts have taken longer than the usual time.
// Failing is neither: attempts without an answer are not measured here.
//
// Durations contain waits that this host does not see, so that single long ones count only
// up to a multiple of the usual deviation. Old measurements lose their weight. There is no
// estimate for a service or a target that has been measured too seldom.
//
// # Usage
//
//	t := speed.New()
//	t.RecordReport("llm", "a", 2.5, now)
//	t.RecordPrefill(speed.Prefill{Service: "llm", Target: "a", Tokens: 900, Took: took}, now)
//	s := t.Target("llm", "a", now)
//	expected := float64(tokens) * t.Service("llm", now).PrefillMs * s.Slowdown
//
// # Units
//
// Times are milliseconds, or durations on the boot clock.
package speed

import (
	"sync"
	"time"
)

const (
	// serviceHalfLife and targetHalfLife are the times in which measurements of a service
	// and of one of its targets lose half of their weight.
	serviceHalfLife = time.Minute
	targetHalfLife  = 10 * time.Second
	// minPrefills and minPlain are the weights of measurements from which on the speed of a
	// service is known, minOwn that of a target.
	minPrefills = 40
	minPlain    = 20
	minOwn      = 4
	// minPlainMs is the plain work below which the times of targets are not compared, as
	// they are mostly those of connections.
	minPlainMs = 1
	// Slowdowns are bounded, as they steer requests away from targets: below
	// minSlowdown and above maxSlowdown, differences do not change the choice of a target.
	minSlowdown = 0.5
	maxSlowdown = 8
	// maxTargets bounds the targets that are kept. Those that are gone are not removed one by one.
	maxTargets = 4096
)

// Prefill is an attempt with a prompt up to its first event.
type Prefill struct {
	Service, Target string
	// Tokens are those that the engine had to prefill: those of the attempt and those of
	// attempts before it.
	Tokens int
	// Took is the time from the sending to the first event.
	Took time.Duration
}

// Plain is an attempt without a prompt that was answered.
type Plain struct {
	Service, Target string
	// Queued is the number of calls that had to end before a slot was free.
	Queued int
	Took   time.Duration
}

// Service is the usual speed of the targets of a service. Zero values are not known.
type Service struct {
	// PrefillMs is the time to prefill a token, FirstMs the time to the first event that
	// does not depend on the prompt.
	PrefillMs, FirstMs float64
	// PlainMs is the time of plain work.
	PlainMs float64
	// Age is the time since the newest measurement.
	Age time.Duration
}

// Target is how a target differs from the others of its service.
type Target struct {
	// Slowdown is the expected time of work that is sent now, in multiples of the usual time.
	Slowdown float64
	// Now and Long are its parts: by the newest report, and by the target's own attempts.
	Now, Long float64
	// Age is the time since the newest measurement; zero if there is none.
	Age time.Duration
}

// Tracker keeps the measurements. It is safe for concurrent use.
type Tracker struct {
	mu       sync.Mutex
	services map[string]*service
	targets  map[string]*target
}

// service holds the measurements of a service.
type service struct {
	prefill    line
	plain      mean
	reports    reports
	measuredAt time.Duration
}

// target holds the measurements of a target.
type target struct {
	own        mean
	report     report
	measuredAt time.Duration
}

// New returns a tracker without measurements.
func New() *Tracker {
	return &Tracker{services: map[string]*service{}, targets: map[string]*target{}}
}

// RecordPrefill records the time to the first event of an attempt.
func (t *Tracker) RecordPrefill(p Prefill, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, e := t.service(p.Service), t.target(p.Target)
	took := millis(p.Took) / e.report.expected(&s.reports, now)
	usual, known := s.prefill.at(float64(p.Tokens))
	s.prefill.add(float64(p.Tokens), took, now)
	s.measuredAt, e.measuredAt = now, now
	if known {
		e.own.add(bounded(max(took, minPlainMs)/max(usual, minPlainMs)), targetHalfLife, now)
	}
}

// RecordPlain records the time of an attempt without a prompt. The time of calls before it
// is not part of its work.
func (t *Tracker) RecordPlain(p Plain, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, e := t.service(p.Service), t.target(p.Target)
	s.measuredAt, e.measuredAt = now, now
	if p.Queued > 0 {
		return
	}
	took := millis(p.Took) / e.report.expected(&s.reports, now)
	if usual, known := s.plain.value(minPlain); known {
		took = min(took, maxSlowdown*usual)
		e.own.add(bounded(max(took, minPlainMs)/max(usual, minPlainMs)), targetHalfLife, now)
	}
	s.plain.add(took, serviceHalfLife, now)
}

// RecordReport records how long work takes at a target by its own report, in multiples of
// the usual time. Numbers that are not positive are ignored.
func (t *Tracker) RecordReport(service, id string, slowdown float64, now time.Duration) {
	if !(slowdown > 0) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s, e := t.service(service), t.target(id)
	slowdown = bounded(slowdown)
	s.reports.add(e.report, slowdown, now)
	e.report = report{slowdown: slowdown, at: now, known: true}
	e.measuredAt = now
}

// Service returns the usual speed of the targets of a service.
func (t *Tracker) Service(name string, now time.Duration) Service {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.services[name]
	if !ok {
		return Service{}
	}
	out := Service{Age: now - s.measuredAt}
	out.PrefillMs, out.FirstMs = s.prefill.slope()
	out.PlainMs, _ = s.plain.value(minPlain)
	return out
}

// Target returns how a target differs from the others of its service.
func (t *Tracker) Target(name, id string, now time.Duration) Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := Target{Slowdown: 1, Now: 1, Long: 1}
	s, e := t.services[name], t.targets[id]
	if s == nil || e == nil {
		return out
	}
	out.Age = now - e.measuredAt
	out.Now = e.report.expected(&s.reports, now)
	out.Long = e.long(now)
	out.Slowdown = bounded(out.Now * out.Long)
	return out
}

// long returns the slowdown by own attempts. It goes back to the usual speed as they age: a
// target that gets no requests because it was slow would not show otherwise that it is not
// slow any more.
func (e *target) long(now time.Duration) float64 {
	ratio, known := e.own.value(minOwn)
	if !known {
		return 1
	}
	return 1 + (bounded(ratio)-1)*decay(now-e.own.at, targetHalfLife)
}

func (t *Tracker) service(name string) *service {
	s, ok := t.services[name]
	if !ok {
		s = &service{}
		t.services[name] = s
	}
	return s
}

func (t *Tracker) target(id string) *target {
	e, ok := t.targets[id]
	if !ok {
		if len(t.targets) >= maxTargets {
			clear(t.targets)
		}
		e = &target{}
		t.targets[id] = e
	}
	return e
}

func bounded(slowdown float64) float64 { return min(max(slowdown, minSlowdown), maxSlowdown) }

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
