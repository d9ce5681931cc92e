package crash

import (
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
	// Others is the number of other parts in quarantine, and Explained the number of crashes
	// of this part that are crashes of theirs as well.
	Others, Explained int
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
// last of them.
func (h History) partCrashes(now time.Time) (n int, last time.Time) {
	times := spaced(h.counting(now))
	if len(times) == 0 {
		return 0, time.Time{}
	}
	return len(times), times[len(times)-1]
}

// counting returns the crashes since a target has survived the part that have not expired, one
// report of each, by time.
func (h History) counting(now time.Time) []Crash {
	if !h.lastCrash().After(h.Survived) {
		return nil
	}
	out := make([]Crash, 0, len(h.Crashes))
	for _, c := range h.Crashes {
		if c.At.After(h.Survived) && now.Sub(c.At) < partRetention && !h.isDuplicate(c) {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b Crash) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.ID, b.ID)) })
	return out
}

// spaced returns the times of the crashes that are far enough apart to count each, from
// crashes by time.
func spaced(crashes []Crash) []time.Time {
	var out []time.Time
	for _, c := range crashes {
		if len(out) == 0 || c.At.Sub(out[len(out)-1]) >= crashSpacing {
			out = append(out, c.At)
		}
	}
	return out
}
