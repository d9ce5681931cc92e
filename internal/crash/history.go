package crash

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/zeebo/blake3"
)

const (
	// crashRetention is how long a crash counts. It thereby also bounds the length
	// of a quarantine.
	crashRetention = 10 * time.Minute
	// quarantineCrashes is the number of crashes that quarantine a fingerprint.
	quarantineCrashes = 2
	// maxStoredCrashes bounds the crashes in a history, including forgiven ones.
	maxStoredCrashes = 4
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

// Fingerprint identifies requests with the same account, model and prompt.
type Fingerprint [16]byte

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
}

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
}

// Decision is one of Run, Isolate and Refuse.
type Decision interface{ decision() }

// Run means that the request is not a suspect and may run on any target.
type Run struct{}

// Isolate means that the request may run only on a target that runs no other
// suspect.
type Isolate struct{}

// Refuse means that the request must not run.
type Refuse struct {
	Reason string
	// RetryAfter is the delay after which the decision may change.
	RetryAfter time.Duration
	// TrialRunning reports that the request is refused because its trial is running.
	TrialRunning bool
}

func (Run) decision()     {}
func (Isolate) decision() {}
func (Refuse) decision()  {}

// Decide decides whether a request with history h may run. The parameter spread is
// the time that a record takes to reach all hosts.
func Decide(h History, now time.Time, spread time.Duration) Decision {
	n, last := h.activeCrashes(now)
	switch {
	case n >= quarantineCrashes:
		return Refuse{
			Reason:     "the request is quarantined because targets crashed while running it",
			RetryAfter: max(spread, last.Add(crashRetention).Sub(now)),
		}
	case n > 0 && h.trialRunning(now):
		return Refuse{Reason: "a target crashed while running the request, and its trial is still running", RetryAfter: spread, TrialRunning: true}
	case n > 0:
		return Isolate{}
	}
	return Run{}
}

// activeCrashes returns the number of crashes that count, and the time of the latest
// of them. Crashes count if they are recent, not forgiven and no duplicates.
func (h History) activeCrashes(now time.Time) (n int, last time.Time) {
	for _, d := range h.Crashes {
		if !d.Forgiven && now.Sub(d.At) < crashRetention && !h.isDuplicate(d) {
			n++
			if d.At.After(last) {
				last = d.At
			}
		}
	}
	return n, last
}

// isDuplicate reports whether another entry of the history counts for the same
// crash as d.
func (h History) isDuplicate(d Crash) bool {
	return slices.ContainsFunc(h.Crashes, func(o Crash) bool {
		counts := o.Forgiven || o.At.Before(d.At) || o.At.Equal(d.At) && o.ID < d.ID
		return o.ID != d.ID && o.ID>>32 == d.ID>>32 && d.At.Sub(o.At).Abs() < sameCrashWindow && counts
	})
}

// trialRunning reports whether a trial has started and neither ended nor timed out.
func (h History) trialRunning(now time.Time) bool {
	return h.Trial.ID != 0 && !h.Trial.Ended && now.Sub(h.Trial.At) < trialTimeout
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
	out := History{Trial: mergeTrials(a.Trial, b.Trial)}
	for _, d := range crashes {
		if n := len(out.Crashes); n > 0 && out.Crashes[n-1].ID == d.ID {
			p := &out.Crashes[n-1]
			p.Forgiven = p.Forgiven || d.Forgiven
			if d.At.Before(p.At) {
				p.At = d.At
			}
			continue
		}
		out.Crashes = append(out.Crashes, d)
	}
	return out
}

// trim drops crashes beyond maxStoredCrashes: forgiven ones first, then the oldest.
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

// Record is the wire form of a history. It has ages instead of times because the
// clocks of two hosts differ. Hosts also store records as JSON under the names of
// the fields, which therefore must not change.
type Record struct {
	Print Fingerprint `cbor:"p"`
	// IDs, Ages and Forgiven describe the crashes. Trial, Target, Age and Ended
	// describe the latest trial. All ages are in milliseconds.
	IDs      []uint64 `cbor:"d"`
	Ages     []int64  `cbor:"a"`
	Forgiven []bool   `cbor:"f"`
	Trial    uint64   `cbor:"t,omitempty"`
	Target   string   `cbor:"n,omitempty"`
	Age      int64    `cbor:"g,omitempty"`
	Ended    bool     `cbor:"e,omitempty"`
}

// RecordError reports an invalid record from another host.
type RecordError struct{ Problem string }

// Error names the problem and the remedy.
func (e *RecordError) Error() string {
	return fmt.Sprintf("invalid crash record: %s; drop it and check the version of the sender", e.Problem)
}

// Check returns a *RecordError if the record exceeds its bounds.
func (r Record) Check() error {
	switch {
	case len(r.IDs) == 0 || len(r.IDs) > maxStoredCrashes:
		return &RecordError{Problem: fmt.Sprintf("it has %d crashes, want 1 to %d", len(r.IDs), maxStoredCrashes)}
	case len(r.Ages) != len(r.IDs) || len(r.Forgiven) != len(r.IDs):
		return &RecordError{Problem: "its lists differ in length"}
	case !slices.IsSorted(r.IDs) || len(slices.Compact(slices.Clone(r.IDs))) != len(r.IDs):
		return &RecordError{Problem: "its crashes are not sorted by ID without duplicates"}
	case r.Age < 0 || slices.Min(r.Ages) < 0:
		return &RecordError{Problem: "an age is negative"}
	case len(r.Target) > maxTargetBytes:
		return &RecordError{Problem: "the target name is too long"}
	}
	return nil
}

func (h History) record(p Fingerprint, now time.Time) Record {
	r := Record{
		Print: p, Trial: h.Trial.ID, Target: h.Trial.Target, Ended: h.Trial.Ended,
		IDs: []uint64{}, Ages: []int64{}, Forgiven: []bool{},
	}
	if r.Trial != 0 {
		r.Age = max(0, now.Sub(h.Trial.At).Milliseconds())
	}
	for _, d := range h.Crashes {
		r.IDs = append(r.IDs, d.ID)
		r.Ages = append(r.Ages, max(0, now.Sub(d.At).Milliseconds()))
		r.Forgiven = append(r.Forgiven, d.Forgiven)
	}
	return r
}

func (r Record) history(now time.Time) History {
	// Ages are capped to avoid an overflow. Beyond crashRetention they no longer
	// matter.
	at := func(age int64) time.Time {
		return now.Add(-time.Duration(min(age, (2*crashRetention).Milliseconds())) * time.Millisecond)
	}
	h := History{}
	if r.Trial != 0 {
		h.Trial = Trial{ID: r.Trial, Target: r.Target, At: at(r.Age), Ended: r.Ended}
	}
	for i, id := range r.IDs {
		h.Crashes = append(h.Crashes, Crash{ID: id, At: at(r.Ages[i]), Forgiven: r.Forgiven[i]})
	}
	return h
}
