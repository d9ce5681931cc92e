package crash

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

// judge finds the parts that cause crashes. A part is quarantined if it was in a request
// that was about to start at each of several crashes, no target has survived it
// since the first of them, and no other part in quarantine explains these crashes.
//
// Parts are considered in the order of time in which they reach the number of crashes that
// quarantines them. Each crash counts for the first part that it helps to quarantine. A later
// part replaces an earlier one whose crashes it explains as well, as a single cause is more
// likely than several that each explain some of the crashes. It takes as many further crashes
// as another quarantine does, or one that ended a trial of the later part. Verdicts follow from
// the histories, so that hosts with the same records find the same ones, whatever the order of
// arrival.
func judge(parts map[Fingerprint]History, previous verdicts, now time.Time) verdicts {
	j := judgement{candidates: candidates(parts, previous, now)}
	for {
		c := j.next()
		if c == nil {
			break
		}
		j.add(c)
	}
	v := verdicts{quarantined: map[Fingerprint]evidence{}, suspected: map[Fingerprint]bool{}}
	for _, c := range j.quarantined {
		n, last := c.history.partCrashes(now)
		v.quarantined[c.print] = evidence{crashes: n, last: last, survived: c.history.Survived}
	}
	for p, h := range parts {
		if _, ok := v.quarantined[p]; !ok && h.Survived.IsZero() && j.isSuspected(h.counting(now)) {
			v.suspected[p] = true
		}
	}
	return v
}

// candidate is a part with enough crashes for a quarantine, if no other part explains them.
type candidate struct {
	print   Fingerprint
	history History
	// crashes are those that count, by time.
	crashes []Crash
	// required is the number of crashes that quarantine the part.
	required int
	// considered says that the part has been quarantined, and may have been released since.
	considered bool
}

// candidates returns the parts that have enough crashes. A part that was in quarantine before, and
// that no target has survived since, needs no more crashes than it has: the number of those
// that count varies with the reports of them that a host keeps.
func candidates(parts map[Fingerprint]History, previous verdicts, now time.Time) []*candidate {
	var out []*candidate
	for p, h := range parts {
		c := &candidate{print: p, history: h, crashes: h.counting(now), required: h.quarantineAt()}
		n := len(spaced(c.crashes))
		if before, ok := previous.quarantined[p]; ok && before.survived.Equal(h.Survived) && n > 0 {
			c.required = min(c.required, n)
		}
		if n >= c.required {
			out = append(out, c)
		}
	}
	return out
}

// judgement finds the parts to quarantine among candidates.
type judgement struct {
	candidates, quarantined []*candidate
}

// next returns the candidate to quarantine next: the first to reach its number of crashes, of
// those that no part in quarantine explains; nil if none does. Among candidates that reach it at
// about the same crash, those go first that no target is known to have survived, then those with
// more crashes up to that one, then those deeper in the prompt, which fewer requests share. Crashes
// that count once, as they are close to each other, still tell candidates apart. With the most
// parts in quarantine, a candidate can only replace one of them.
func (j *judgement) next() *candidate {
	reachedAt := map[*candidate]time.Time{}
	var first time.Time
	full := len(j.quarantined) >= maxQuarantinedParts
	for _, c := range j.candidates {
		if c.considered || full && !j.isAlternative(c.crashes) {
			continue
		}
		at, ok := j.reachedAt(c)
		if !ok {
			continue
		}
		reachedAt[c] = at
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	var best *candidate
	end := first.Add(crashSpacing)
	for c, at := range reachedAt {
		if at.Before(end) && (best == nil || c.compare(best, end) < 0) {
			best = c
		}
	}
	return best
}

// reachedAt returns when a candidate had enough crashes that no part in quarantine explains. One
// that ended a trial is enough if the candidate explains all crashes of such a part.
func (j *judgement) reachedAt(c *candidate) (time.Time, bool) {
	crashes := j.unexplained(c.crashes, c)
	if i := slices.IndexFunc(crashes, func(x Crash) bool { return x.Trial }); i >= 0 && j.isAlternative(c.crashes) {
		return crashes[i].At, true
	}
	times := spaced(crashes)
	if len(times) < c.required {
		return time.Time{}, false
	}
	return times[c.required-1], true
}

// compare orders candidates by their evidence up to a time, the one with most first.
func (c *candidate) compare(o *candidate, end time.Time) int {
	own, other := c.crashesUntil(end), o.crashesUntil(end)
	return cmp.Or(
		cmp.Compare(c.history.quarantineAt(), o.history.quarantineAt()), cmp.Compare(len(spaced(other)), len(spaced(own))),
		cmp.Compare(len(other), len(own)), cmp.Compare(o.history.Depth, c.history.Depth), bytes.Compare(c.print[:], o.print[:]),
	)
}

// crashesUntil returns the crashes before a time, with those that other parts explain.
func (c *candidate) crashesUntil(end time.Time) []Crash {
	return slices.DeleteFunc(slices.Clone(c.crashes), func(x Crash) bool { return !x.At.Before(end) })
}

// add quarantines a candidate, and releases the parts that have too few crashes left that no
// other one explains.
func (j *judgement) add(c *candidate) {
	c.considered = true
	j.quarantined = append(j.quarantined, c)
	for {
		i := j.redundant()
		if i < 0 {
			break
		}
		j.quarantined = slices.Delete(j.quarantined, i, i+1)
	}
}

// redundant returns the index of the part in quarantine with the fewest crashes among those with
// too few that no other one explains; -1 if there is none.
func (j *judgement) redundant() int {
	found, fewest := -1, 0
	for i, c := range j.quarantined {
		all, own := len(spaced(c.crashes)), len(spaced(j.unexplained(c.crashes, c)))
		if own < all && own < c.required && (found < 0 || all < fewest) {
			found, fewest = i, all
		}
	}
	return found
}

// unexplained returns the crashes that no part in quarantine other than one explains.
func (j *judgement) unexplained(crashes []Crash, except *candidate) []Crash {
	return slices.DeleteFunc(slices.Clone(crashes), func(x Crash) bool { return j.isExplained(x, except) })
}

// isExplained reports whether a part in quarantine other than one explains the crash.
func (j *judgement) isExplained(x Crash, except *candidate) bool {
	return slices.ContainsFunc(j.quarantined, func(c *candidate) bool { return c != except && c.history.explains(x) })
}

// isSuspected reports whether a part with the given crashes may cause them: if no part in
// quarantine explains all of them, or if the part may be the cause in place of one.
func (j *judgement) isSuspected(crashes []Crash) bool {
	return slices.ContainsFunc(crashes, func(x Crash) bool { return !j.isExplained(x, nil) }) || j.isAlternative(crashes)
}

// isAlternative reports whether a part with the given crashes explains all crashes of a part in
// quarantine, so that either may be the cause.
func (j *judgement) isAlternative(crashes []Crash) bool {
	h := History{Crashes: crashes}
	return len(crashes) > 0 && slices.ContainsFunc(j.quarantined, func(c *candidate) bool {
		return !slices.ContainsFunc(c.crashes, func(x Crash) bool { return !h.explains(x) })
	})
}

// explains reports whether the history has a report of the crash.
func (h History) explains(c Crash) bool { return slices.ContainsFunc(h.Crashes, c.isSameCrash) }
