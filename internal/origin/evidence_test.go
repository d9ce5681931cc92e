package origin

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against evidence of the absence of a version that is as old as the streams which the
// version may have begun, and against evidence that misses a version which has vanished.
func TestEvidenceCoversNoTimeInWhichAnUnseenVersionGetsStreams(t *testing.T) {
	g := NewWithT(t)
	g.Expect(EvidenceTTL).To(BeNumerically("<", SettleTime))
	g.Expect(Evidence{}.Covers(time.Hour)).To(BeFalse(), "no list")

	var e Evidence
	at := time.Hour
	follow := func(d, step time.Duration) {
		for end := at + d; at < end; {
			at += step
			e.follow(Evidence{CurrentAt: at, Era: e.Era})
		}
	}
	follow(catchUpTime, time.Second)
	g.Expect(e.Covers(at)).To(BeFalse(), "a host that has just started")
	follow(time.Second, time.Second)
	g.Expect(e.Covers(at)).To(BeTrue())
	g.Expect(e.Covers(at+EvidenceTTL)).To(BeFalse(), "a host that stood still")

	at += maxListGap
	follow(time.Second, time.Second)
	g.Expect(e.Covers(at)).To(BeFalse(), "a version may have vanished in the gap")
	follow(catchUpTime, time.Second)
	g.Expect(e.Covers(at)).To(BeTrue())

	at += time.Second
	e.follow(Evidence{CurrentAt: at, Era: 1})
	g.Expect(e.Covers(at)).To(BeFalse(), "a restored list lacks versions")
}

// Guards against evidence that covers a version which has come and gone while a host did not follow
// the list, and a host which knows as little of those before its list as one that has just started.
func TestEvidenceMissesVersionsBetweenReads(t *testing.T) {
	g := NewWithT(t)
	const missedAt = time.Hour
	covered := func(at time.Duration, e Evidence) bool {
		var followed Evidence
		for e.CurrentAt = missedAt - time.Minute; e.CurrentAt < at; e.CurrentAt += time.Second {
			later := e
			if later.CurrentAt < missedAt {
				later.ListedAt, later.MissedAt = 0, 0
			}
			followed.follow(later)
		}
		return followed.Covers(at)
	}
	g.Expect(covered(missedAt+time.Second, Evidence{})).To(BeTrue())
	g.Expect(covered(missedAt+time.Second, Evidence{MissedAt: missedAt})).To(BeFalse())
	g.Expect(covered(missedAt+Retention-time.Second, Evidence{MissedAt: missedAt})).To(BeFalse(), "its streams may be resumed")
	g.Expect(covered(missedAt+Retention, Evidence{MissedAt: missedAt})).To(BeTrue())
	g.Expect(covered(missedAt+time.Second, Evidence{ListedAt: missedAt})).To(BeFalse())
	g.Expect(covered(missedAt+catchUpTime+time.Second, Evidence{ListedAt: missedAt})).To(BeTrue())
}
