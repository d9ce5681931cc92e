package crash

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// maxFingerprints bounds the fingerprints that a host tracks. A crash makes suspects
	// of all requests in flight at the target, which are a few tens.
	maxFingerprints = 1024
	// defaultSpread is the time that a record takes to reach all hosts of a region
	// if each host sends it to 3 peers per second.
	defaultSpread = 5 * time.Second
	// maxSuspectParts bounds the parts with crashes that a host tracks, and
	// maxSurvivedParts those that it remembers because a target has survived them.
	maxSuspectParts  = 512
	maxSurvivedParts = 8192
	// judgeInterval is the time after which verdicts are found anew without a change, as
	// crashes expire.
	judgeInterval = time.Second
)

// Result is the result of an attempt.
type Result int

// Results of an attempt.
const (
	// Survived means that the target completed the request without a crash, or that
	// the run was cancelled after its first token.
	Survived Result = iota
	// Inconclusive means that the target ran nothing, or that the progress of the
	// run is unknown.
	Inconclusive
	// Crashed means that the target crashed while it ran the request.
	Crashed
)

// Verdict is the state of a request after one of its attempts.
type Verdict int

// Verdicts after the end of an attempt.
const (
	// Cleared means that the request is not a suspect.
	Cleared Verdict = iota
	// Suspected means that the request may be retried once, isolated from other
	// suspects.
	Suspected
	// Quarantined means that the request must not be retried. Its outcome is
	// unknown.
	Quarantined
)

// Option changes a default of New.
type Option func(*Tracker)

// WithOnChange sets a function that is called after each change that other hosts
// should receive at once. It must not block or call the tracker.
func WithOnChange(f func()) Option { return func(t *Tracker) { t.onChanged = f } }

// WithOnVerdict sets a function that is called when a part is quarantined, or is not any more.
// It must not block or call the tracker.
func WithOnVerdict(f func(PartVerdict)) Option { return func(t *Tracker) { t.onVerdict = f } }

// WithLimit sets the maximum number of tracked fingerprints. The default is 1,024.
func WithLimit(n int) Option { return func(t *Tracker) { t.limit = max(n, 1) } }

// WithSpread sets the time that a record takes to reach all hosts of the region.
// The default is 5 s.
func WithSpread(d time.Duration) Option { return func(t *Tracker) { t.spread = d } }

// Tracker holds the suspects and quarantines of a host, its own and those that it
// received from other hosts. It is safe for concurrent use.
type Tracker struct {
	mu        sync.Mutex
	histories map[Fingerprint]History
	inFlight  map[string]inFlightAttempt
	// ownChanges holds the time of the last change that this host itself has made to
	// a history.
	ownChanges map[Fingerprint]time.Time
	limit      int
	spread     time.Duration
	onChanged  func()
	onVerdict  func(PartVerdict)
	// nextExport rotates through the histories that Export returns in turn.
	nextExport int

	// parts holds the parts of prompts that were in flight at crashes, and survived when
	// a target last answered a request with a part.
	parts    map[Fingerprint]History
	survived *lru.Cache[Fingerprint, time.Time]
	// verdicts are those on parts, found at judgedAt; changed says that parts have
	// changed since.
	verdicts verdicts
	judgedAt time.Time
	changed  bool
	// trialDelay is how long this host waits after a quarantine before it starts a trial.
	trialDelay time.Duration
}

// inFlightAttempt is an attempt that has begun and not ended.
type inFlightAttempt struct {
	print  Fingerprint // fingerprint of the request
	parts  []Fingerprint
	target string
	// shared says that the attempt runs beside other suspects, so that a crash says
	// nothing about the whole request.
	shared bool
	// answered says that the target has begun to answer and has not crashed.
	answered bool
	// cancel ends the attempt once one of its parts is quarantined.
	cancel func()
}

// Stats holds the numbers of tracked fingerprints and of attempts in flight.
type Stats struct {
	Suspects    int `json:"suspects"`
	Quarantines int `json:"quarantines"`
	Entries     int `json:"entries"`
	// SuspectedParts and QuarantinedParts are numbers of parts of prompts.
	SuspectedParts   int `json:"parts"`
	QuarantinedParts int `json:"partquarantines"`
	InFlight         int `json:"flights"`
}

// New returns an empty tracker.
func New(opts ...Option) *Tracker {
	t := &Tracker{
		histories: map[Fingerprint]History{}, inFlight: map[string]inFlightAttempt{}, ownChanges: map[Fingerprint]time.Time{},
		limit: maxFingerprints, spread: defaultSpread, onChanged: func() {}, onVerdict: func(PartVerdict) {},
		parts: map[Fingerprint]History{}, trialDelay: rand.N(trialDelaySpread),
	}
	t.survived, _ = lru.New[Fingerprint, time.Time](maxSurvivedParts) // fails for sizes below 1 only
	for _, o := range opts {
		o(t)
	}
	return t
}

// Admit decides whether a request may run, from the parts of its prompt first and then
// from the whole. The parts are those that other requests may have in common, in order.
func (t *Tracker) Admit(p Fingerprint, now time.Time, parts ...Fingerprint) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.decideParts(parts, now)
	switch d.(type) {
	case Refuse, Wait:
		return d
	}
	if whole := Decide(t.unexplained(t.histories[p], now), now, t.spread); whole != (Run{}) {
		return whole
	}
	return d
}

// Begin records an attempt immediately before it is sent. It returns false if the
// request must not run, or not on this target.
func (t *Tracker) Begin(p Fingerprint, attempt, target string, now time.Time, parts ...Fingerprint) bool {
	return t.begin(inFlightAttempt{print: p, parts: limitParts(parts), target: target}, attempt, now)
}

// BeginShared is like Begin, but allows the attempt on a target that runs other
// suspects. A crash then says nothing about the whole request.
func (t *Tracker) BeginShared(p Fingerprint, attempt, target string, now time.Time, parts ...Fingerprint) bool {
	f := inFlightAttempt{print: p, parts: limitParts(parts), target: target}
	if t.begin(f, attempt, now) {
		return true
	}
	f.shared = true
	return t.begin(f, attempt, now)
}

func (t *Tracker) begin(f inFlightAttempt, attempt string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch t.decideParts(f.parts, now).(type) {
	case Refuse, Wait:
		return false
	}
	h := t.histories[f.print]
	switch Decide(t.unexplained(h, now), now, t.spread).(type) {
	case Refuse:
		return false
	case Isolate:
		if f.shared {
			break
		}
		if t.targetsWithSuspects(f.print, now)[f.target] {
			return false
		}
		h.Trial = Trial{ID: attemptID(attempt, f.target), Target: f.target, At: now}
		t.histories[f.print] = h
		t.recordOwnChange(f.print, now)
	}
	t.startPartTrials(f, attempt, now)
	t.inFlight[attempt] = f
	return true
}

// CancelOnQuarantine sets a function that is called if a part of an attempt's prompt is
// quarantined before the target begins to answer. It is called on its own goroutine.
func (t *Tracker) CancelOnQuarantine(attempt string, cancel func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if f, ok := t.inFlight[attempt]; ok {
		f.cancel = cancel
		t.inFlight[attempt] = f
	}
}

// Answered records that the target of an attempt has begun to answer and has not
// crashed since.
func (t *Tracker) Answered(attempt string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f, ok := t.inFlight[attempt]
	if !ok || f.answered {
		return
	}
	f.answered = true
	t.inFlight[attempt] = f
	t.recordSurvival(f.parts, now)
}

// End records the result of an attempt and returns the state of its request.
func (t *Tracker) End(attempt string, r Result, now time.Time) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	f, ok := t.inFlight[attempt]
	if !ok {
		return Cleared
	}
	delete(t.inFlight, attempt)
	t.endParts(f, attempt, r, now)
	if f.shared {
		return Cleared
	}
	h, id := t.histories[f.print], attemptID(attempt, f.target)
	trial := h.Trial.ID == id
	if trial {
		h.Trial.Ended = true
	}
	switch {
	case r == Crashed:
		h = Merge(h, History{Crashes: []Crash{{ID: id, At: now, Late: f.answered}}}).trim()
	case !trial:
		return Cleared
	case r == Survived:
		h.Crashes = slices.Clone(h.Crashes)
		for i := range h.Crashes {
			h.Crashes[i].Forgiven = true
		}
	}
	t.store(f.print, h, now)
	t.recordOwnChange(f.print, now)
	switch n, late, _ := t.unexplained(h, now).activeCrashes(now); {
	case isQuarantined(n, late):
		return Quarantined
	case n+late > 0:
		return Suspected
	}
	return Cleared
}

// WithoutSuspects returns the candidates that run no suspect other than p.
func (t *Tracker) WithoutSuspects(p Fingerprint, candidates []string, now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	busy := t.targetsWithSuspects(p, now)
	return slices.DeleteFunc(slices.Clone(candidates), func(c string) bool { return busy[c] })
}

// targetsWithSuspects returns the targets that run a suspect other than p, including
// those that other hosts have reported.
func (t *Tracker) targetsWithSuspects(p Fingerprint, now time.Time) map[string]bool {
	busy := map[string]bool{}
	for q, h := range t.histories {
		if n, late, _ := h.activeCrashes(now); q != p && isSuspect(n, late) && h.trialRunning(now, trialTimeout) {
			busy[h.Trial.Target] = true
		}
	}
	for _, f := range t.inFlight {
		if n, late, _ := t.histories[f.print].activeCrashes(now); f.print != p && isSuspect(n, late) {
			busy[f.target] = true
		}
	}
	return busy
}

// recordOwnChange records that this host itself has changed a history, and reports the
// change.
func (t *Tracker) recordOwnChange(p Fingerprint, now time.Time) {
	_, whole := t.histories[p]
	_, part := t.parts[p]
	if whole || part {
		t.ownChanges[p] = now
	}
	t.onChanged()
}

// forget drops a history.
func (t *Tracker) forget(p Fingerprint) {
	delete(t.histories, p)
	delete(t.parts, p)
	delete(t.ownChanges, p)
}

// Stats returns the current numbers of histories and attempts.
func (t *Tracker) Stats(now time.Time) Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.judge(now)
	s := Stats{
		Entries: len(t.histories), InFlight: len(t.inFlight),
		SuspectedParts: len(t.verdicts.suspected), QuarantinedParts: len(t.verdicts.quarantined),
	}
	for _, h := range t.histories {
		switch n, late, _ := t.unexplained(h, now).activeCrashes(now); {
		case isQuarantined(n, late):
			s.Quarantines++
		case n+late > 0:
			s.Suspects++
		}
	}
	return s
}

// store stores the history of a request, and evicts the weakest above the limit.
func (t *Tracker) store(p Fingerprint, h History, now time.Time) {
	if now.Sub(h.lastCrash()) >= crashRetention {
		t.forget(p)
		return
	}
	t.histories[p] = h
	if len(t.histories) <= t.limit {
		return
	}
	t.expire(now)
	for len(t.histories) > t.limit {
		t.forget(weakest(t.histories, func(h History) int {
			n, _, _ := h.activeCrashes(now)
			return n
		}))
	}
}

// weakest returns the history with the fewest crashes that count, and among these the one
// whose latest crash is the oldest.
func weakest(histories map[Fingerprint]History, count func(History) int) Fingerprint {
	var found Fingerprint
	var oldest time.Time
	fewest := maxStoredCrashes + 1
	for p, h := range histories {
		n, last := count(h), h.lastCrash()
		if n < fewest || n == fewest && last.Before(oldest) {
			found, fewest, oldest = p, n, last
		}
	}
	return found
}

// expire drops the histories whose crashes no longer count.
//
// A part that a target has survived is kept until other hosts have its record.
func (t *Tracker) expire(now time.Time) {
	for p, h := range t.parts {
		cleared := h.Survived.After(h.lastCrash()) && now.Sub(h.Survived) >= t.spread
		if cleared || now.Sub(h.lastCrash()) >= partRetention {
			t.forget(p)
			t.changed = true
		}
	}
	for p, h := range t.histories {
		if now.Sub(h.lastCrash()) >= crashRetention {
			t.forget(p)
		}
	}
}
