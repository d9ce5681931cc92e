package crash

import (
	"fmt"
	"slices"
	"time"
)

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
	// Late says which crashes came late; empty if none did.
	Late []bool `cbor:"l,omitempty"`
	// Trials says which crashes ended a trial of the part; empty if none did.
	Trials []bool `cbor:"c,omitempty"`
	// Depth is the position of a part, and Survived how long ago a target last answered
	// a request with it, plus 1; zero if none did.
	Depth    int   `cbor:"k,omitempty"`
	Survived int64 `cbor:"s,omitempty"`
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
	case len(r.Ages) != len(r.IDs) || len(r.Forgiven) != len(r.IDs) || len(r.Late) != 0 && len(r.Late) != len(r.IDs) ||
		len(r.Trials) != 0 && len(r.Trials) != len(r.IDs):
		return &RecordError{Problem: "its lists differ in length"}
	case !slices.IsSorted(r.IDs) || len(slices.Compact(slices.Clone(r.IDs))) != len(r.IDs):
		return &RecordError{Problem: "its crashes are not sorted by ID without duplicates"}
	case r.Age < 0 || r.Survived < 0 || slices.Min(r.Ages) < 0:
		return &RecordError{Problem: "an age is negative"}
	case r.Depth < 0 || r.Depth > MaxParts:
		return &RecordError{Problem: fmt.Sprintf("its part has position %d, want at most %d", r.Depth, MaxParts)}
	case len(r.Target) > maxTargetBytes:
		return &RecordError{Problem: "the target name is too long"}
	}
	return nil
}

func (h History) record(p Fingerprint, now time.Time) Record {
	r := Record{
		Print: p, Trial: h.Trial.ID, Target: h.Trial.Target, Ended: h.Trial.Ended,
		IDs: []uint64{}, Ages: []int64{}, Forgiven: []bool{}, Depth: h.Depth,
	}
	if !h.Survived.IsZero() {
		r.Survived = 1 + max(0, now.Sub(h.Survived).Milliseconds())
	}
	if r.Trial != 0 {
		r.Age = max(0, now.Sub(h.Trial.At).Milliseconds())
	}
	for _, d := range h.Crashes {
		r.IDs = append(r.IDs, d.ID)
		r.Ages = append(r.Ages, max(0, now.Sub(d.At).Milliseconds()))
		r.Forgiven = append(r.Forgiven, d.Forgiven)
	}
	if slices.ContainsFunc(h.Crashes, func(c Crash) bool { return c.Late }) {
		for _, c := range h.Crashes {
			r.Late = append(r.Late, c.Late)
		}
	}
	if slices.ContainsFunc(h.Crashes, func(c Crash) bool { return c.Trial }) {
		for _, c := range h.Crashes {
			r.Trials = append(r.Trials, c.Trial)
		}
	}
	return r
}

func (r Record) history(now time.Time) History {
	// Ages are capped to avoid an overflow. Beyond partRetention they no longer
	// matter.
	at := func(age int64) time.Time {
		return now.Add(-time.Duration(min(age, (2*partRetention).Milliseconds())) * time.Millisecond)
	}
	h := History{Depth: r.Depth}
	if r.Survived > 0 {
		h.Survived = at(r.Survived - 1)
	}
	if r.Trial != 0 {
		h.Trial = Trial{ID: r.Trial, Target: r.Target, At: at(r.Age), Ended: r.Ended}
	}
	for i, id := range r.IDs {
		h.Crashes = append(h.Crashes, Crash{
			ID: id, At: at(r.Ages[i]), Forgiven: r.Forgiven[i],
			Late: len(r.Late) > 0 && r.Late[i], Trial: len(r.Trials) > 0 && r.Trials[i],
		})
	}
	return h
}
