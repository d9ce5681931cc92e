package crash

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// crashesAt returns crashes of different targets at times since the start of a test.
func crashesAt(start time.Time, first uint64, at ...time.Duration) []Crash {
	var out []Crash
	for i, d := range at {
		out = append(out, Crash{ID: (first + uint64(i)) << 32, At: start.Add(d)})
	}
	return out
}

// Guards against a quarantine that is taken back, and given again, because other hosts report
// more crashes: of another part that is in the same prompts, or ones that come too soon after
// each other to count.
func TestQuarantineStays(t *testing.T) {
	g := NewWithT(t)
	start := time.Now()
	now := start.Add(5 * time.Second)
	cause, beside := Fingerprint{1}, Fingerprint{2}
	s := time.Second
	parts := map[Fingerprint]History{
		cause:  {Depth: 3, Crashes: crashesAt(start, 1, 0, s, 2*s)},
		beside: {Depth: 2, Crashes: crashesAt(start, 1, 0, s)},
	}
	v := judge(parts, verdicts{}, now)
	g.Expect(v.quarantined).To(HaveKey(cause))

	parts[beside] = History{Depth: 2, Crashes: crashesAt(start, 1, 0, s, 2*s, 3*s, 4*s)}
	g.Expect(judge(parts, verdicts{}, now).quarantined).To(And(HaveLen(1), HaveKey(cause)), "a host that knew neither finds the same")
	v = judge(parts, v, now)
	g.Expect(v.quarantined).To(And(HaveLen(1), HaveKey(cause)))
	g.Expect(v.quarantined).NotTo(HaveKey(beside), "two crashes that the other part does not explain")

	parts[cause] = History{Depth: 3, Crashes: crashesAt(start, 1, 0, s/10, s/5)}
	v = judge(parts, v, now)
	g.Expect(v.quarantined).To(HaveKey(cause), "the reports that are left count as one crash")

	parts[cause] = History{Depth: 3, Crashes: parts[cause].Crashes, Survived: now}
	v = judge(parts, v, now)
	g.Expect(v.quarantined).NotTo(HaveKey(cause), "a target has survived it")
}

// Guards against a part that stays in quarantine for good: its crashes expire.
func TestQuarantineEndsWithItsCrashes(t *testing.T) {
	g := NewWithT(t)
	start := time.Now()
	p := Fingerprint{1}
	parts := map[Fingerprint]History{p: {Depth: 1, Crashes: crashesAt(start, 1, 0, time.Second, 2*time.Second)}}
	v := judge(parts, verdicts{}, start.Add(3*time.Second))
	g.Expect(v.quarantined).To(HaveKey(p))
	v = judge(parts, v, start.Add(partRetention+3*time.Second))
	g.Expect(v.quarantined).To(BeEmpty())
}

// Guards against a sound part that stays in quarantine because only one host has seen a target
// survive it, and does not send what it knows to the others.
func TestSurvivalKnownToOneHostIsSent(t *testing.T) {
	g := NewWithT(t)
	changes := 0
	a, b := New(), New(WithOnChange(func() { changes++ }))
	part := NewPartFingerprint("m", "own")
	g.Expect(b.Begin(Fingerprint{1}, "ok", "t0", start, part)).To(BeTrue())
	b.Answered("ok", start)
	now := start
	for _, target := range []string{"t1", "t2", "t3"} {
		now = now.Add(time.Second)
		g.Expect(a.Begin(requestPrint(target), target, target, now, part)).To(BeTrue())
		a.End(target, Crashed, now)
	}
	g.Expect(a.Admit(Fingerprint{3}, now, part)).To(BeAssignableToTypeOf(Refuse{}))
	before := changes
	g.Expect(b.Import(a.Export(12, now), now)).To(Succeed())
	g.Expect(changes).To(BeNumerically(">", before), "the host reports a change")
	g.Expect(a.Import(b.ExportOwn(12, time.Minute, now), now)).To(Succeed())
	g.Expect(a.Admit(Fingerprint{3}, now, part)).To(Equal(Run{}))
	before = changes
	g.Expect(b.Import(a.Export(12, now), now)).To(Succeed())
	g.Expect(changes).To(Equal(before), "a record that has the survival is no change")
}
