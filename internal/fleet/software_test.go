package fleet

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sesamehill.example/sesamehill/internal/origin"
)

// Guards against streams of a start that stay bound to its label after its entry has arrived,
// also when the target has started again or gone since, and against a label that is taken for
// the version of another start.
func TestLabelStandsForListedVersion(t *testing.T) {
	g := NewWithT(t)
	now := time.Second
	f := New(WithClock(func() time.Duration { return now }))
	entry := func(startedAtMs int64, software string) Target {
		return Target{ID: "a", Service: "llm", StartedAtMs: startedAtMs, Software: software}
	}
	label := origin.Unlisted{Target: "a", StartedAtMs: 1001}.Label()
	f.Put(entry(1000, "v1"))
	g.Expect(f.ListedSoftware("v1")).To(Equal("v1"))
	g.Expect(f.ListedSoftware(label)).To(Equal(label), "an entry of another start")
	f.RecordLabel(label)
	s, _ := f.Get("a")
	g.Expect(s.Software).To(Equal(label))
	g.Expect(f.ListedSoftware(label)).To(Equal(label), "no entry yet")
	f.Put(entry(1001, "v2"))
	g.Expect(f.ListedSoftware(label)).To(Equal("v2"))
	f.RecordLabel(label)
	s, _ = f.Get("a")
	g.Expect(s.Software).To(Equal("v2"), "a label that comes late")
	f.Put(entry(1002, "v3"))
	g.Expect(f.ListedSoftware(label)).To(Equal("v2"), "the target has started again")
	f.Remove("a")
	now += origin.Retention - time.Millisecond
	g.Expect(f.ListedSoftware(label)).To(Equal("v2"), "the target has gone")
}
