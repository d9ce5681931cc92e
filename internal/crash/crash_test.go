package crash

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "sesamehill.example/sesamehill/internal/seeds"
)

func TestTracker(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "crash")
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// crashTarget runs an attempt whose target crashes.
func crashTarget(t *Tracker, p Fingerprint, attempt, target string, now time.Time) Verdict {
	if !t.Begin(p, attempt, target, now) {
		Fail("Begin refused attempt " + attempt)
	}
	return t.End(attempt, Crashed, now)
}

var _ = Describe("Tracker", func() {
	p, q := NewFingerprint("borough", "m", []uint32{1}), NewFingerprint("borough", "m", []uint32{2})
	at := func(d time.Duration) time.Time { return start.Add(d) }

	// Guards against one account quarantining the requests of another.
	It("separates accounts", func() {
		Expect(NewFingerprint("a", "bm", nil)).NotTo(Equal(NewFingerprint("ab", "m", nil)))
	})

	// Guards against a third crash, a quarantine that never ends, and one that is
	// prolonged by exchanging records.
	It("quarantines at the second crash and expires", func() {
		a, b := New(), New()
		Expect(crashTarget(a, p, "1", "x", at(0))).To(Equal(Suspected))
		Expect(a.Begin(p, "2", "y", at(time.Second))).To(BeTrue())
		Expect(a.Begin(p, "3", "z", at(time.Second))).To(BeFalse())
		Expect(a.End("2", Crashed, at(2*time.Second))).To(Equal(Quarantined))
		for i := range 9 {
			now := at(time.Duration(i) * time.Minute)
			Expect(b.Import(a.Export(8, now), now.Add(500*time.Millisecond))).To(Succeed())
			Expect(a.Import(b.Export(8, now), now.Add(500*time.Millisecond))).To(Succeed())
		}
		for _, t := range []*Tracker{a, b} {
			Expect(t.Admit(p, at(9*time.Minute))).To(HaveField("RetryAfter", BeNumerically("~", time.Minute, 3*time.Second)))
			Expect(t.Admit(p, at(crashRetention+3*time.Second))).To(Equal(Run{}))
			t.Export(8, at(crashRetention+3*time.Second))
			Expect(t.Stats(at(crashRetention + 3*time.Second)).Entries).To(BeZero())
		}
	})

	// Guards against a quarantine after a single crash when several requests with
	// the same fingerprint were in flight at the target, from one host or from two.
	It("counts the crash of a target once", func() {
		a, b := New(), New()
		for _, attempt := range []string{"1", "2"} {
			Expect(a.Begin(p, attempt, "x", at(0))).To(BeTrue())
		}
		Expect(b.Begin(p, "3", "x", at(0))).To(BeTrue())
		Expect(a.End("1", Crashed, at(0))).To(Equal(Suspected))
		Expect(a.End("2", Crashed, at(time.Millisecond))).To(Equal(Suspected))
		Expect(b.End("3", Crashed, at(time.Second))).To(Equal(Suspected))
		Expect(a.Begin(p, "4", "y", at(time.Second))).To(BeTrue())
		Expect(a.End("4", Survived, at(time.Second))).To(Equal(Cleared))
		Expect(a.Import(b.Export(8, at(time.Second)), at(time.Second))).To(Succeed())
		Expect(a.Admit(p, at(time.Second))).To(Equal(Run{}))
		Expect(crashTarget(a, p, "5", "x", at(time.Minute))).To(Equal(Suspected))
		Expect(crashTarget(a, p, "6", "x", at(2*time.Minute))).To(Equal(Quarantined))
	})

	// Guards against a suspect crashing the target that runs another suspect.
	It("isolates the trial", func() {
		a, b := New(), New()
		Expect(a.Begin(q, "q0", "y", at(0))).To(BeTrue())
		crashTarget(a, p, "1", "x", at(0))
		crashTarget(a, q, "q1", "x", at(0)) // q has been running on y since before it became a suspect
		Expect(a.Admit(p, at(0))).To(Equal(Isolate{}))
		Expect(a.WithoutSuspects(p, []string{"w", "y", "z"}, at(0))).To(Equal([]string{"w", "z"}))
		Expect(a.Begin(p, "2", "y", at(0))).To(BeFalse())
		Expect(a.Begin(p, "2", "z", at(0))).To(BeTrue())
		Expect(b.Import(a.Export(8, at(0)), at(0))).To(Succeed())
		Expect(b.WithoutSuspects(q, []string{"w", "z"}, at(0))).To(Equal([]string{"w"}))
		Expect(b.Admit(p, at(0))).To(BeAssignableToTypeOf(Refuse{}))
		Expect(b.Admit(p, at(trialTimeout))).To(Equal(Isolate{}), "the host of the trial has reported no result")
	})

	// Guards against a harmless request remaining a suspect on any host.
	It("clears a request that survives its trial, and allows another trial after an inconclusive one", func() {
		a, b := New(), New()
		crashTarget(a, p, "1", "x", at(0))
		old := a.Export(8, at(0))
		a.Begin(p, "2", "y", at(0))
		Expect(a.End("2", Inconclusive, at(0))).To(Equal(Suspected))
		Expect(a.Begin(p, "3", "y", at(0))).To(BeTrue())
		Expect(a.End("3", Survived, at(0))).To(Equal(Cleared))
		Expect(b.Import(append(a.Export(8, at(0)), old...), at(0))).To(Succeed())
		for _, t := range []*Tracker{a, b} {
			Expect(t.Admit(p, at(0))).To(Equal(Run{}))
		}
		Expect(crashTarget(b, p, "4", "z", at(0))).To(Equal(Suspected))
	})

	// Guards against unbounded memory and heartbeats, against suspects evicting
	// quarantines, and against records that are never exported.
	It("stays bounded", func() {
		a, b := New(WithLimit(50)), New()
		crashTarget(a, p, "1", "x", at(0))
		crashTarget(a, p, "2", "y", at(0))
		for i := range uint32(500) {
			crashTarget(a, NewFingerprint("a", "m", []uint32{i}), fmt.Sprint("s", i), "x", at(time.Duration(i)*time.Millisecond))
		}
		Expect(a.Stats(at(time.Second))).To(Equal(Stats{Suspects: 49, Quarantines: 1, Entries: 50}))
		for range 20 {
			out := a.Export(8, at(time.Second))
			wire, err := cbor.Marshal(out)
			Expect(err).NotTo(HaveOccurred())
			Expect(len(wire)).To(BeNumerically("<", 600))
			Expect(cbor.Unmarshal(wire, &out)).To(Succeed())
			Expect(b.Import(out, at(time.Second))).To(Succeed())
		}
		Expect(b.Stats(at(time.Second)).Entries).To(Equal(50))
		bad := Record{IDs: []uint64{2, 1}, Ages: []int64{0, 0}, Forgiven: []bool{false, false}}
		Expect(b.Import([]Record{bad, {}}, at(time.Second))).NotTo(Succeed())
		Expect(b.Stats(at(time.Second)).Entries).To(Equal(50))
	})
})

// Guards against hosts that differ after exchanging the same records in another
// order or more than once.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	histories := rapid.Custom(func(t *rapid.T) History {
		var e History
		for range rapid.IntRange(0, 3).Draw(t, "crashes") {
			e = Merge(e, History{Crashes: []Crash{{
				ID:       rapid.Uint64Range(1, 4).Draw(t, "id"),
				At:       start.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "at")) * time.Second),
				Forgiven: rapid.Bool().Draw(t, "forgiven"),
				Late:     rapid.Bool().Draw(t, "late"),
			}}})
		}
		id := rapid.Uint64Range(0, 3).Draw(t, "trial")
		// The time of a trial is equal on all hosts except for the rounding of ages.
		e.Depth = rapid.IntRange(0, 2).Draw(t, "depth")
		e.Survived = start.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "survived")) * time.Second)
		e.Trial = Trial{ID: id, At: start.Add(time.Duration(id/2) * time.Second), Ended: rapid.Bool().Draw(t, "ended")}
		return e
	})
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := histories.Draw(t, "a"), histories.Draw(t, "b"), histories.Draw(t, "c")
		ab := Merge(a, b)
		if !reflect.DeepEqual(ab, Merge(b, a)) || !reflect.DeepEqual(ab, Merge(ab, a)) ||
			!reflect.DeepEqual(Merge(ab, c), Merge(a, Merge(b, c))) {
			t.Fatalf("merge of %+v, %+v and %+v depends on the order", a, b, c)
		}
	})
}

// Guards against a request crashing more than two targets when its client repeats
// it at other hosts, waits for the requested delay and the hosts exchange records
// meanwhile.
func TestResendsCostTwoTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := []*Tracker{New(), New(), New(), New()}
		p, now, crashes := NewFingerprint("a", "m", nil), start, 0
		for n := range rapid.IntRange(1, 20).Draw(t, "sends") {
			h := rapid.SampledFrom(hosts).Draw(t, "host")
			wait := 5 * time.Second
			for try := 0; ; try++ {
				if r, ok := h.Admit(p, now).(Refuse); ok {
					wait = min(r.RetryAfter, 20*time.Second)
					break
				}
				attempt := fmt.Sprint(n, "/", try)
				if !h.Begin(p, attempt, attempt, now) {
					break
				}
				now = now.Add(time.Second)
				crashes++
				if h.End(attempt, Crashed, now) != Suspected || rapid.Bool().Draw(t, "host gives up") {
					break
				}
			}
			now = now.Add(wait)
			for range 2 {
				for _, from := range hosts {
					for _, to := range hosts {
						_ = to.Import(from.Export(4, now), now)
					}
				}
			}
			if crashes > 2 && now.Sub(start) < crashRetention {
				t.Fatalf("%d targets crashed, want at most 2", crashes)
			}
		}
		if crashes == 0 {
			t.Fatal("no target crashed, so the test checked nothing")
		}
	})
}
