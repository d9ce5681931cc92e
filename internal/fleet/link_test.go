package fleet

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a stream that goes on at a target that has started again with other software: the
// connections of this host show that it may have, until the list would show it.
func TestStartEvidence(t *testing.T) {
	g := NewWithT(t)
	now := time.Minute
	f := New()
	f.now = func() time.Duration { return now }
	read := func(at time.Duration) { f.RecordListRead(at) }
	g.Expect(f.StartEvidence("a")).To(Equal(StartAssumed), "no connection was opened")
	first := f.OpenLink("a", now)
	read(now + LateEntryTime - 1)
	g.Expect(f.StartEvidence("a")).To(Equal(StartAssumed), "the entry may be late")
	read(now + LateEntryTime)
	g.Expect(f.StartEvidence("a")).To(Equal(StartConfirmed))

	now += 10 * time.Second
	second := f.OpenLink("a", now)
	now += linkOverlap
	first(false)
	g.Expect(f.StartEvidence("a")).To(Equal(StartConfirmed), "another connection overlapped")

	third := f.OpenLink("a", now)
	now += linkOverlap / 2
	second(false)
	g.Expect(f.StartEvidence("a")).To(Equal(StartDoubted), "the other one may have been opened after a restart")
	second(false)
	read(now + LateEntryTime)
	g.Expect(f.StartEvidence("a")).To(Equal(StartConfirmed), "the list shows no other start")

	third(true)
	g.Expect(f.StartEvidence("a")).To(Equal(StartAssumed), "this host closed the last connection itself")
	fourth := f.OpenLink("a", now)
	now += time.Second
	fourth(false)
	g.Expect(f.StartEvidence("a")).To(Equal(StartDoubted))
	read(now + LateEntryTime)
	g.Expect(f.StartEvidence("a")).To(Equal(StartAssumed), "the list shows no other start, but no connection is open")
}

// Guards against a target whose start counts as confirmed after a restart: this host closed the
// connection to the former start itself before it noticed its end.
func TestClosedConnectionConfirmsNoNewStart(t *testing.T) {
	g := NewWithT(t)
	now := time.Minute
	f := New()
	f.now = func() time.Duration { return now }
	former := f.OpenLink("a", now)
	now += LateEntryTime
	f.RecordListRead(now)
	f.OpenLink("a", now) // to a start that the list does not show yet
	former(true)
	g.Expect(f.StartEvidence("a")).To(Equal(StartAssumed))
	f.RecordListRead(now + LateEntryTime)
	g.Expect(f.StartEvidence("a")).To(Equal(StartConfirmed))
}
