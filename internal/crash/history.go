package crash

import (
	"cmp"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"time"

	"github.com/zeebo/blake3"
)

const (
	// crashRetention is how long a crash counts. It thereby also bounds the length
	// of a quarantine of a request.
	crashRetention = 10 * time.Minute
	// quarantineCrashes is the number of crashes that quarantine a request, and
	// quarantineLateCrashes the same if some of them came after the target had begun
	// to answer it.
	quarantineCrashes     = 2
	quarantineLateCrashes = 3
	// maxStoredCrashes bounds the crashes in a history, including forgiven ones.
	maxStoredCrashes = 8
	// sameCrashWindow is the time within which two crash reports of a target count
	// as one crash. Requests with the same fingerprint may be in flight at the
	// target, and their hosts detect the crash at different times.
	sameCrashWindow = 2 * time.Second
	// trialTimeout is the time after which a trial counts as ended even if its host
	// has not reported a result. It exceeds the longest ordinary run.
	trialTimeout = 2 * time.Minute
	// maxTargetBytes bounds the length of a target name in a record.
	maxTargetBytes = 64
)

// Fingerprint identifies requests with the same account, model and prompt, or requests
// whose prompts have a part in common.
type Fingerprint [16]byte

// String returns the beginning of the fingerprint as a hexadecimal number.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:6]) }

// NewFingerprint hashes account, model and prompt. It includes the account so that
// no account can quarantine the requests of another.
func NewFingerprint(account, model string, tokens []uint32) Fingerprint {
	h := blake3.New()
	b := binary.BigEndian.AppendUint64(nil, uint64(len(account)))
	b = append(b, account...)
	b = binary.BigEndian.AppendUint64(b, uint64(len(model)))
	b = append(b, model...)
	for _, t := range tokens {
		b = binary.BigEndian.AppendUint32(b, t)
	}
	_, _ = h.Write(b)
	return Fingerprint(h.Sum(nil))
}

// NewPartFingerprint hashes a part of a prompt: its scope, which is the model and, if
// accounts may not share parts, the account, and its ID.
func NewPartFingerprint(scope, id string) Fingerprint {
	h := blake3.New()
	b := append([]byte("part"), binary.BigEndian.AppendUint64(nil, uint64(len(scope)))...)
	_, _ = h.Write(append(append(b, scope...), id...))
	return Fingerprint(h.Sum(nil))
}

// attemptID identifies an attempt. Its upper half identifies the target, so that
// hosts can match crashes of one target without its name.
func attemptID(attempt, target string) uint64 {
	return uint64(hash32(target))<<32 | uint64(hash32(attempt))
}

func hash32(s string) uint32 {
	sum := blake3.Sum256([]byte(s))
	return binary.BigEndian.Uint32(sum[:])
}

// Crash is a crash of a target, as seen by one attempt that was in flight there.
type Crash struct {
	ID uint64
	At time.Time
	// Forgiven reports that the target survived a later trial. The crash no longer
	// counts.
	Forgiven bool
	// Late reports that the target had begun to answer the attempt.
	Late bool
	// Trial reports that the attempt was the trial of the part, so that no other request with
	// the part is known to have been in flight.
	Trial bool
}

// target returns the hash of the target that crashed.
func (c Crash) target() uint32 { return uint32(c.ID >> 32) }

// Trial is the single isolated retry of a suspect.
type Trial struct {
	ID     uint64
	Target string
	At     time.Time
	Ended  bool
}

// History holds the crashes and the latest trial of a fingerprint.
type History struct {
	// Crashes are sorted by ID.
	Crashes []Crash
	Trial   Trial
	// Depth is the position of a part in the prompts that hold it, from 1; zero for
	// whole requests.
	Depth int
	// Survived is when a target last answered a request with the part without a crash.
	// Earlier crashes do not count.
	Survived time.Time
}

// Decision is one of Run, Isolate, Wait and Refuse.
type Decision interface{ decision() }

// Run means that the request is not a suspect and may run on any target.
type Run struct{}

// Isolate means that the request may run only on a target that runs no other
// suspect.
type Isolate struct{}

// Wait means that the trial of another request with the same part of the prompt is
// running.
type Wait struct{}

// Refuse means that the request must not run.
type Refuse struct {
	Reason string
	// RetryAfter is the delay after which the decision may change.
	RetryAfter time.Duration
	// TrialRunning reports that the request is refused because its trial is running.
	TrialRunning bool
	// Part is the position of the quarantined part in the prompt, from 1; zero if the
	// whole request is quarantined. Crashes are those that count for it, the last of them
	// SinceCrash ago.
	Part       int
	Crashes    int
	SinceCrash time.Duration
}

func (Run) decision()     {}
func (Isolate) decision() {}
func (Wait) decision()    {}
func (Refuse) decision()  {}

// Decide decides whether a request with history h may run. The parameter spread is
// the time that a record takes to reach all hosts.
func Decide(h History, now time.Time, spread time.Duration) Decision {
	n, late, last := h.activeCrashes(now)
	switch {
	case isQuarantined(n, late):
		return Refuse{
			Reason:     "the request is quarantined because targets crashed while running it",
			RetryAfter: max(spread, last.Add(crashRetention).Sub(now)),
		}
	case isSuspect(n, late) && h.trialRunning(now, trialTimeout):
		return Refuse{Reason: "a target crashed while running the request, and its trial is still running", RetryAfter: spread, TrialRunning: true}
	case isSuspect(n, late):
		return Isolate{}
	}
	return Run{}
}

// isQuarantined reports whether a request with n crashes, and late ones, must not run.
func isQuarantined(n, late int) bool {
	return n >= quarantineCrashes || n+late >= quarantineLateCrashes
}

// isSuspect reports whether a request with n crashes, and late ones, may only run
// isolated. A crash that came after the target had begun to answer is one of many that
// interrupt all streams of the target, so that it takes two of them.
func isSuspect(n, late int) bool { return n > 0 || late > 1 }

// activeCrashes returns the number of crashes that count, the number of those that
// count and came late, and the time of the latest of both. Crashes count if they are
// recent, not forgiven and no duplicates.
func (h History) activeCrashes(now time.Time) (n, late int, last time.Time) {
	for _, d := range h.Crashes {
		if d.Forgiven || now.Sub(d.At) >= crashRetention || h.isDuplicate(d) {
			continue
		}
		if d.Late {
			late++
		} else {
			n++
		}
		if d.At.After(last) {
			last = d.At
		}
	}
	return n, late, last
}

// isDuplicate reports whether another entry of the history counts for the same
// crash as d.
func (h History) isDuplicate(d Crash) bool {
	return slices.ContainsFunc(h.Crashes, func(o Crash) bool {
		counts := o.Forgiven || o.At.Before(d.At) || o.At.Equal(d.At) && o.ID < d.ID
		return o.ID != d.ID && o.isSameCrash(d) && counts
	})
}

// isSameCrash reports whether two attempts have seen the same crash of a target.
func (c Crash) isSameCrash(o Crash) bool {
	return c.target() == o.target() && c.At.Sub(o.At).Abs() < sameCrashWindow
}

// trialRunning reports whether a trial has started and neither ended nor timed out.
func (h History) trialRunning(now time.Time, timeout time.Duration) bool {
	return h.Trial.ID != 0 && !h.Trial.Ended && now.Sub(h.Trial.At) < timeout
}

// lastCrash returns the time of the latest crash, including forgiven ones.
func (h History) lastCrash() time.Time {
	var last time.Time
	for _, d := range h.Crashes {
		if d.At.After(last) {
			last = d.At
		}
	}
	return last
}

// Merge merges the histories of one fingerprint from two hosts. It is commutative,
// associative and idempotent. It keeps the earlier time of each crash, so that
// exchanging records never prolongs a quarantine.
func Merge(a, b History) History {
	crashes := slices.Concat(a.Crashes, b.Crashes)
	slices.SortFunc(crashes, func(x, y Crash) int { return cmp.Compare(x.ID, y.ID) })
	out := History{Trial: mergeTrials(a.Trial, b.Trial), Depth: max(a.Depth, b.Depth), Survived: a.Survived}
	if b.Survived.After(a.Survived) {
		out.Survived = b.Survived
	}
	for _, d := range crashes {
		if n := len(out.Crashes); n > 0 && out.Crashes[n-1].ID == d.ID {
			p := &out.Crashes[n-1]
			p.Forgiven = p.Forgiven || d.Forgiven
			p.Late = p.Late || d.Late
			p.Trial = p.Trial || d.Trial
			if d.At.Before(p.At) {
				p.At = d.At
			}
			continue
		}
		out.Crashes = append(out.Crashes, d)
	}
	return out
}

// trim drops crashes beyond maxStoredCrashes: forgiven ones first, then late ones, then
// the oldest.
func (h History) trim() History {
	if len(h.Crashes) <= maxStoredCrashes {
		return h
	}
	slices.SortFunc(h.Crashes, func(x, y Crash) int {
		if x.Forgiven != y.Forgiven {
			if x.Forgiven {
				return 1
			}
			return -1
		}
		if x.Late != y.Late {
			if x.Late {
				return 1
			}
			return -1
		}
		return y.At.Compare(x.At)
	})
	h.Crashes = slices.Clone(h.Crashes[:maxStoredCrashes])
	slices.SortFunc(h.Crashes, func(x, y Crash) int { return cmp.Compare(x.ID, y.ID) })
	return h
}

// mergeTrials returns the later of two trials, or the merged state of the same
// trial.
func mergeTrials(a, b Trial) Trial {
	if a.ID == b.ID {
		a.Ended = a.Ended || b.Ended
		if b.At.Before(a.At) {
			a.At = b.At
		}
		a.Target = max(a.Target, b.Target)
		return a
	}
	if c := a.At.Compare(b.At); c > 0 || c == 0 && a.ID > b.ID {
		return a
	}
	return b
}
