package crash

import (
	"slices"
	"time"
)

// limitParts returns the parts that count as possible causes.
func limitParts(parts []Fingerprint) []Fingerprint { return parts[:min(len(parts), MaxParts)] }

// decideParts decides from the verdicts on the parts of a request. The caller holds mu.
func (t *Tracker) decideParts(parts []Fingerprint, now time.Time) Decision {
	if len(t.parts) == 0 {
		return Run{}
	}
	t.judge(now)
	var d Decision = Run{}
	for i, p := range limitParts(parts) {
		found, quarantined := t.verdicts.quarantined[p]
		switch end := found.last.Add(partQuarantine + t.trialDelay); {
		case quarantined && now.Before(end):
			return Refuse{
				Reason:     "targets crashed while running requests with one part of this prompt",
				RetryAfter: max(t.spread, end.Sub(now)),
				Part:       i + 1, Crashes: found.crashes, SinceCrash: now.Sub(found.last),
			}
		case !quarantined && !t.verdicts.suspected[p]:
		case t.parts[p].trialRunning(now, partTrialTimeout):
			d = Wait{}
		case d == Decision(Run{}):
			d = Isolate{}
		}
	}
	return d
}

// startPartTrials records an attempt as the trial of those of its parts that need one.
func (t *Tracker) startPartTrials(f inFlightAttempt, attempt string, now time.Time) {
	for _, p := range f.parts {
		_, quarantined := t.verdicts.quarantined[p]
		if !quarantined && !t.verdicts.suspected[p] {
			continue
		}
		h := t.parts[p]
		h.Trial = Trial{ID: attemptID(attempt, f.target), Target: f.target, At: now}
		t.parts[p] = h
		t.recordOwnChange(p, now)
	}
}

// endParts records the result of an attempt for the parts of its prompt.
func (t *Tracker) endParts(f inFlightAttempt, attempt string, r Result, now time.Time) {
	id := attemptID(attempt, f.target)
	for i, p := range f.parts {
		h, known := t.parts[p]
		trial := known && h.Trial.ID == id
		if trial {
			h.Trial.Ended = true
		}
		crashed := r == Crashed && !f.answered
		if crashed {
			h = t.withCrash(p, h, i+1, Crash{ID: id, At: now, Trial: trial})
		}
		if trial || crashed {
			t.storePart(p, h, now)
			t.recordOwnChange(p, now)
		}
	}
	if r == Survived && !f.answered {
		t.recordSurvival(f.parts, now)
	}
	t.cancelQuarantined(now)
}

// withCrash adds a crash to the history of a part.
func (t *Tracker) withCrash(p Fingerprint, h History, depth int, c Crash) History {
	added := History{Crashes: []Crash{c}, Depth: depth}
	added.Survived, _ = t.survived.Peek(p)
	return Merge(h, added).trimPart()
}

// recordSurvival records that a target has answered a request with the parts.
func (t *Tracker) recordSurvival(parts []Fingerprint, now time.Time) {
	for _, p := range parts {
		t.survived.Add(p, now)
		h, ok := t.parts[p]
		if !ok {
			continue
		}
		h.Survived = now
		h.Trial.Ended = true
		t.parts[p] = h
		t.changed = true
		t.recordOwnChange(p, now)
	}
}

// importPart merges the record of a part from another host. If this host knows of a later
// survival, the others have to learn of it.
func (t *Tracker) importPart(r Record, now time.Time) {
	merged := Merge(t.parts[r.Print], r.history(now))
	own, ok := t.survived.Peek(r.Print)
	isNews := ok && own.After(merged.Survived)
	if isNews {
		merged.Survived = own
	}
	t.storePart(r.Print, merged.trimPart(), now)
	if isNews {
		t.recordOwnChange(r.Print, now)
	}
}

// storePart stores the history of a part, and evicts the weakest above the limit.
func (t *Tracker) storePart(p Fingerprint, h History, now time.Time) {
	t.changed = true
	t.parts[p] = h
	if len(t.parts) <= maxSuspectParts {
		return
	}
	t.expire(now)
	for len(t.parts) > maxSuspectParts {
		t.forget(weakest(t.parts, func(h History) int {
			n, _ := h.partCrashes(now)
			return n
		}))
	}
}

// judge finds the verdicts on parts after a change. The caller holds mu.
func (t *Tracker) judge(now time.Time) {
	if !t.changed && now.Sub(t.judgedAt) < judgeInterval {
		return
	}
	t.changed, t.judgedAt = false, now
	before := t.verdicts
	t.verdicts = judge(t.parts, before, now)
	for p := range t.verdicts.quarantined {
		if _, known := before.quarantined[p]; !known {
			t.onVerdict(t.partVerdict(p, now))
		}
	}
	for p := range before.quarantined {
		if _, still := t.verdicts.quarantined[p]; !still {
			t.onVerdict(t.partVerdict(p, now))
		}
	}
}

// crashAges returns the time since each recorded crash, the oldest first.
func (h History) crashAges(now time.Time) []time.Duration {
	ages := make([]time.Duration, 0, len(h.Crashes))
	for _, c := range h.Crashes {
		ages = append(ages, now.Sub(c.At))
	}
	slices.Sort(ages)
	slices.Reverse(ages)
	return ages
}

// partVerdict returns what the verdict on a part rests on.
func (t *Tracker) partVerdict(p Fingerprint, now time.Time) PartVerdict {
	h := t.parts[p]
	_, quarantined := t.verdicts.quarantined[p]
	counted, _ := h.partCrashes(now)
	v := PartVerdict{Part: p, Quarantined: quarantined, Counted: counted, Ages: h.crashAges(now), Required: h.quarantineAt(), Depth: h.Depth, Others: len(t.verdicts.quarantined)}
	if quarantined {
		v.Others--
	}
	for _, c := range h.counting(now) {
		if t.isExplained(c, p) {
			v.Explained++
		}
	}
	if !h.Survived.IsZero() {
		v.SinceSurvived = now.Sub(h.Survived)
	}
	return v
}

// cancelQuarantined cancels the attempts with a quarantined part whose targets have not
// begun to answer. The caller holds mu.
func (t *Tracker) cancelQuarantined(now time.Time) {
	if len(t.parts) == 0 {
		return
	}
	t.judge(now)
	if len(t.verdicts.quarantined) == 0 {
		return
	}
	for id, f := range t.inFlight {
		_, refused := t.decideParts(f.parts, now).(Refuse)
		if refused && !f.answered && f.cancel != nil {
			go f.cancel()
			f.cancel = nil
			t.inFlight[id] = f
		}
	}
}

// unexplained returns the history of a request without the crashes that a quarantined
// part explains. The caller holds mu.
func (t *Tracker) unexplained(h History, now time.Time) History {
	if len(h.Crashes) == 0 || len(t.parts) == 0 {
		return h
	}
	t.judge(now)
	h.Crashes = slices.DeleteFunc(slices.Clone(h.Crashes), func(c Crash) bool { return t.isExplained(c, Fingerprint{}) })
	return h
}

// isExplained reports whether a quarantined part other than one has a report of the crash.
func (t *Tracker) isExplained(c Crash, except Fingerprint) bool {
	for p := range t.verdicts.quarantined {
		if p != except && t.parts[p].explains(c) {
			return true
		}
	}
	return false
}
