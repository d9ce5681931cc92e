package crash

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// maxFingerprints bounds the fingerprints that a host tracks. A crash makes suspects
	// of all requests in flight at the target, which are a few tens.
	maxFingerprints = 1024
	// defaultSpread is the time that a record takes to reach all hosts of a region
	// if each host sends it to 3 peers per second.
	defaultSpread = 5 * time.Second
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
	// nextExport rotates through the histories that Export returns in turn.
	nextExport int
}

// inFlightAttempt is an attempt that has begun and not ended.
type inFlightAttempt struct {
	print  Fingerprint // fingerprint of the request
	target string
}

// Stats holds the numbers of tracked fingerprints and of attempts in flight.
type Stats struct {
	Suspects    int `json:"suspects"`
	Quarantines int `json:"quarantines"`
	Entries     int `json:"entries"`
	InFlight    int `json:"flights"`
}

// New returns an empty tracker.
func New(opts ...Option) *Tracker {
	t := &Tracker{
		histories: map[Fingerprint]History{}, inFlight: map[string]inFlightAttempt{}, ownChanges: map[Fingerprint]time.Time{},
		limit: maxFingerprints, spread: defaultSpread, onChanged: func() {},
	}
	for _, o := range opts {
		o(t)
	}
	return t
}

// Admit decides whether a request may run.
func (t *Tracker) Admit(p Fingerprint, now time.Time) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Decide(t.histories[p], now, t.spread)
}

// Begin records an attempt immediately before it is sent. It returns false if the
// request must not run, or not on this target.
func (t *Tracker) Begin(p Fingerprint, attempt, target string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch Decide(t.histories[p], now, t.spread).(type) {
	case Refuse:
		return false
	case Isolate:
		if t.targetsWithSuspects(p, now)[target] {
			return false
		}
		h := t.histories[p]
		h.Trial = Trial{ID: attemptID(attempt, target), Target: target, At: now}
		t.histories[p] = h
		t.recordOwnChange(p, now)
	}
	t.inFlight[attempt] = inFlightAttempt{print: p, target: target}
	return true
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
	h, id := t.histories[f.print], attemptID(attempt, f.target)
	trial := h.Trial.ID == id
	if trial {
		h.Trial.Ended = true
	}
	switch {
	case r == Crashed:
		h = Merge(h, History{Crashes: []Crash{{ID: id, At: now}}}).trim()
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
	switch n, _ := h.activeCrashes(now); {
	case n >= quarantineCrashes:
		return Quarantined
	case n > 0:
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
		if n, _ := h.activeCrashes(now); q != p && n > 0 && h.trialRunning(now) {
			busy[h.Trial.Target] = true
		}
	}
	for _, f := range t.inFlight {
		if n, _ := t.histories[f.print].activeCrashes(now); f.print != p && n > 0 {
			busy[f.target] = true
		}
	}
	return busy
}

// Get returns the record of a fingerprint, to be sent along with a request that is
// forwarded to another region.
func (t *Tracker) Get(p Fingerprint, now time.Time) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.histories[p]
	return h.record(p, now), ok
}

// recordOwnChange records that this host itself has changed a history, and reports the
// change.
func (t *Tracker) recordOwnChange(p Fingerprint, now time.Time) {
	if _, ok := t.histories[p]; ok {
		t.ownChanges[p] = now
	}
	t.onChanged()
}

// forget drops a history.
func (t *Tracker) forget(p Fingerprint) {
	delete(t.histories, p)
	delete(t.ownChanges, p)
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

// sample returns at most limit of the records that match: half of them by rank and
// age, the others in rotation. The caller holds mu.
func (t *Tracker) sample(limit int, now time.Time, matches func(Fingerprint) bool) []Record {
	var all []Record
	for p, h := range t.histories {
		if matches(p) {
			all = append(all, h.record(p, now))
		}
	}
	slices.SortFunc(all, func(a, b Record) int {
		return cmp.Or(
			cmp.Compare(a.exportRank(t.spread), b.exportRank(t.spread)),
			cmp.Compare(slices.Min(a.Ages), slices.Min(b.Ages)), slices.Compare(a.Print[:], b.Print[:]),
		)
	})
	if len(all) <= limit {
		return all
	}
	out, older := all[:limit/2:limit/2], all[limit/2:]
	for range limit - limit/2 {
		t.nextExport++
		out = append(out, older[t.nextExport%len(older)])
	}
	return out
}

// exportRank is lower for records that other hosts need sooner: those of requests that
// have crashed more than one target, the last one within a period.
func (r Record) exportRank(period time.Duration) int {
	if len(r.IDs) > 1 && time.Duration(slices.Min(r.Ages))*time.Millisecond < period {
		return 0
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
		t.store(r.Print, Merge(t.histories[r.Print], r.history(now)).trim(), now)
	}
	return err
}

// Stats returns the current numbers of histories and attempts.
func (t *Tracker) Stats(now time.Time) Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := Stats{Entries: len(t.histories), InFlight: len(t.inFlight)}
	for _, h := range t.histories {
		switch n, _ := h.activeCrashes(now); {
		case n >= quarantineCrashes:
			s.Quarantines++
		case n > 0:
			s.Suspects++
		}
	}
	return s
}

// store stores the history of a fingerprint. Above the limit it evicts the history
// with the fewest crashes that count, and among these the one whose latest crash is
// the oldest.
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
		var evicted Fingerprint
		fewest, oldest := maxStoredCrashes+1, now
		for q, f := range t.histories {
			n, _ := f.activeCrashes(now)
			if n < fewest || n == fewest && f.lastCrash().Before(oldest) {
				evicted, fewest, oldest = q, n, f.lastCrash()
			}
		}
		t.forget(evicted)
	}
}

// expire drops the histories whose crashes no longer count.
func (t *Tracker) expire(now time.Time) {
	for p, h := range t.histories {
		if now.Sub(h.lastCrash()) >= crashRetention {
			t.forget(p)
		}
	}
}
