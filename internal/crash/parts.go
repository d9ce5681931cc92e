package crash

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

const (
	// MaxParts is the number of parts of a prompt that count as possible causes of a
	// crash, from its beginning.
	MaxParts = 16
	// partCrashes is the number of crashes that quarantine a part that no target is known
	// to have survived, and knownPartCrashes the same for other parts.
	partCrashes      = 3
	knownPartCrashes = 5
	// crashSpacing is the least time between two crashes that count for a part. Targets
	// that are lost together, such as those of a rack, thereby count once.
	crashSpacing = 250 * time.Millisecond
	// partQuarantine is how long a part is quarantined after its last crash. Afterwards
	// one trial decides; until partRetention its crash is enough for another quarantine.
	partQuarantine = 10 * time.Minute
	partRetention  = 20 * time.Minute
	// trialDelaySpread is the time over which hosts spread the start of the trial after a
	// quarantine. It has to exceed the number of hosts times the time in which a record
	// reaches them, so that one host starts a trial and the others learn of it.
	trialDelaySpread = 5 * time.Minute
	// partTrialTimeout is the time after which a trial of a part without a result allows
	// another one.
	partTrialTimeout = 5 * time.Second
	// maxQuarantinedParts is the number of parts that can be quarantined at once. If
	// more seem to crash targets, something else does.
	maxQuarantinedParts = 8
)

// verdicts are the parts that may not run, or only one request at a time.
type verdicts struct {
	quarantined map[Fingerprint]evidence
	suspected   map[Fingerprint]bool
}

// PartVerdict is a change of the verdict on a part, with what it rests on.
type PartVerdict struct {
	Part        Fingerprint
	Quarantined bool
	// Counted are the crashes that count, and Required those that quarantine the part. Depth
	// is its position in prompts.
	Counted, Required, Depth int
	// Ages are the times since all crashes that are recorded.
	Ages []time.Duration
	// Others is the number of other parts in quarantine, whose crashes count for them alone.
	Others int
	// SinceSurvived is the time since a target has answered a request with the part; zero
	// if none is known to have.
	SinceSurvived time.Duration
}

// evidence is the number of crashes that count for a part, the time of the last one, and when
// a target last survived the part.
type evidence struct {
	crashes        int
	last, survived time.Time
}

// judge finds the parts that cause crashes. A part is quarantined if it was in a request
// that was about to start at each of several crashes, and no target has survived it
// since the first of them. Crashes that a quarantined part explains do not count for
// other parts: those were in flight beside it. A part in quarantine stays there
// until a target survives it or its crashes expire: their number varies with the reports of
// them that a host has.
func judge(parts map[Fingerprint]History, previous verdicts, now time.Time) verdicts {
	v := verdicts{quarantined: map[Fingerprint]evidence{}, suspected: map[Fingerprint]bool{}}
	var explained []Crash
	candidates := map[Fingerprint]History{}
	for p, h := range parts {
		if n, _ := h.partCrashes(nil, now); n >= previous.required(p, h) {
			candidates[p] = h
		}
	}
	for len(v.quarantined) < maxQuarantinedParts {
		p, ok := strongest(candidates, previous, v, explained, now)
		if !ok {
			break
		}
		n, last := parts[p].partCrashes(explained, now)
		v.quarantined[p] = evidence{crashes: n, last: last, survived: parts[p].Survived}
		explained = append(explained, parts[p].Crashes...)
	}
	for p, h := range parts {
		if _, ok := v.quarantined[p]; ok || !h.Survived.IsZero() {
			continue
		}
		if n, _ := h.partCrashes(explained, now); n > 0 {
			v.suspected[p] = true
		}
	}
	return v
}

// strongest returns the part with the most evidence among those with enough of it.
// Parts that were quarantined before go first, then those that no target is known to have
// survived, then those with more crashes, then those deeper in the prompt, which fewer
// requests share.
func strongest(parts map[Fingerprint]History, previous, v verdicts, explained []Crash, now time.Time) (Fingerprint, bool) {
	var best Fingerprint
	bestCrashes, found := 0, false
	for p, h := range parts {
		n, _ := h.partCrashes(explained, now)
		if _, done := v.quarantined[p]; done || n < previous.required(p, h) {
			continue
		}
		b := parts[best]
		rank := cmp.Or(
			previous.compare(p, best), cmp.Compare(h.quarantineAt(), b.quarantineAt()), cmp.Compare(bestCrashes, n),
			cmp.Compare(b.Depth, h.Depth), bytes.Compare(p[:], best[:]),
		)
		if !found || rank < 0 {
			best, bestCrashes, found = p, n, true
		}
	}
	return best, found
}

// required returns the number of crashes that quarantine a part, or that keep it there if no
// target has survived it since.
func (v verdicts) required(p Fingerprint, h History) int {
	if before, ok := v.quarantined[p]; ok && before.survived.Equal(h.Survived) {
		return 1
	}
	return h.quarantineAt()
}

// compare orders parts that were quarantined before others.
func (v verdicts) compare(a, b Fingerprint) int {
	_, first := v.quarantined[a]
	_, second := v.quarantined[b]
	switch {
	case first == second:
		return 0
	case first:
		return -1
	}
	return 1
}

// quarantineAt returns the number of crashes that quarantine the part.
func (h History) quarantineAt() int {
	if h.Survived.IsZero() {
		return partCrashes
	}
	return knownPartCrashes
}

// trimPart drops crashes beyond maxStoredCrashes: reports of the same crash first, then
// those that follow another one most closely, as they count once with it.
func (h History) trimPart() History {
	if len(h.Crashes) <= maxStoredCrashes {
		return h
	}
	h.Crashes = slices.DeleteFunc(slices.Clone(h.Crashes), h.isDuplicate)
	slices.SortFunc(h.Crashes, func(x, y Crash) int { return cmp.Or(x.At.Compare(y.At), cmp.Compare(x.ID, y.ID)) })
	for len(h.Crashes) > maxStoredCrashes {
		closest := 1
		for i := 2; i < len(h.Crashes); i++ {
			if h.Crashes[i].At.Sub(h.Crashes[i-1].At) < h.Crashes[closest].At.Sub(h.Crashes[closest-1].At) {
				closest = i
			}
		}
		h.Crashes = slices.Delete(h.Crashes, closest, closest+1)
	}
	slices.SortFunc(h.Crashes, func(x, y Crash) int { return cmp.Compare(x.ID, y.ID) })
	return h
}

// partCrashes returns the number of crashes that count for a part, and the time of the
// last of them: those since a target has survived it that no other part explains.
func (h History) partCrashes(explained []Crash, now time.Time) (n int, last time.Time) {
	if !h.lastCrash().After(h.Survived) {
		return 0, time.Time{}
	}
	at := make([]time.Time, 0, maxStoredCrashes)
	for _, c := range h.Crashes {
		counts := c.At.After(h.Survived) && now.Sub(c.At) < partRetention
		if counts && !h.isDuplicate(c) && !slices.ContainsFunc(explained, c.isSameCrash) {
			at = append(at, c.At)
		}
	}
	slices.SortFunc(at, time.Time.Compare)
	for _, t := range at {
		if n == 0 || t.Sub(last) >= crashSpacing {
			n++
			last = t
		}
	}
	return n, last
}
