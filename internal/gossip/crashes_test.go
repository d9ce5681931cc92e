package gossip

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sesamehill.example/sesamehill/internal/crash"
	"sesamehill.example/sesamehill/internal/fleet"
)

// Guards against messages that for minutes hold the records of past crashes, and
// against followers that send a hub what they have from it.
var _ = Describe("crash records in messages", func() {
	var tracker *crash.Tracker
	var e *Exchange
	crashTargets := func(n int, at time.Time) {
		for i := range n {
			p, attempt := crash.NewFingerprint("a", "m", []uint32{uint32(i)}), fmt.Sprint(i)
			tracker.Begin(p, attempt, "x", at)
			tracker.End(attempt, crash.Crashed, at)
		}
	}
	BeforeEach(func() {
		tracker = crash.New()
		e = New("", "hub", fleet.New(), nil, WithCrashes(tracker))
	})

	It("are sent at once while they are recent", func() {
		crashTargets(3, time.Now())
		Expect(e.crashRecords(Reply)).To(HaveLen(3))
		Expect(e.crashRecords(Reply)).To(HaveLen(3))
		Expect(e.crashRecords(Query)).To(HaveLen(3))
	})

	It("are sent seldom afterwards", func() {
		crashTargets(100, time.Now().Add(-2*recentCrashAge))
		Expect(e.crashRecords(Reply)).To(HaveLen(maxCrashRecords))
		time.Sleep(crashInterval + 50*time.Millisecond)
		Expect(e.crashRecords(Reply)).To(BeEmpty())
		Expect(e.crashRecords(Query)).To(BeEmpty())
	})

	It("of other hosts are not sent to the hub", func() {
		crashTargets(3, time.Now())
		follower := crash.New()
		Expect(follower.Import(tracker.Export(3, time.Now()), time.Now())).To(Succeed())
		e = New("", "follower", fleet.New(), nil, WithCrashes(follower))
		Expect(e.crashRecords(Query)).To(BeEmpty())
		Expect(e.crashRecords(Reply)).To(HaveLen(3))
	})
})
