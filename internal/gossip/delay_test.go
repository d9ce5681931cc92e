package gossip

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sesamehill.example/sesamehill/internal/crash"
	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/relay"
	"sesamehill.example/sesamehill/internal/roll"
	"sesamehill.example/sesamehill/internal/table"
)

// importedCrashes records the time that the ages of imported records count from.
type importedCrashes struct {
	Crashes
	now time.Time
}

func (i *importedCrashes) Import(_ []crash.Record, now time.Time) error {
	i.now = now
	return nil
}

// Guards against a paused host that takes the messages in its socket for new when it goes
// on: what they say was current, or just announced, counted from the end of the pause.
var _ = Describe("a message that has waited", func() {
	var boot time.Duration
	var e *Exchange
	var hosts *roster
	BeforeEach(func() {
		boot, hosts = time.Hour, &roster{}
		c := table.NewClock(table.WithBootClock(func() time.Duration { return boot }))
		c.Record(5000)
		e = New("", "b", fleet.New(), nil, WithPlatformClock(c), WithRoster(hosts))
	})
	message := func() Message {
		return Message{
			Host: "a", SentMs: 5000, Progress: &roll.Progress{}, Tables: map[string]relay.TableVersion{"op": {Version: 3, AgeMs: 10}},
			Desired:       map[string]DesiredVersion{"m": {Version: 2, AgeMs: 20}},
			DesiredByHost: map[string]map[string]DesiredVersion{"c": {"m": {Version: 2, AgeMs: 30}}},
			RateLimits:    map[string]fleet.Limit{"t": {PerSecond: 2, AgeMs: 40}},
		}
	}

	It("has older contents by the time for which it has waited", func() {
		boot += 4 * time.Second
		m := message()
		m.addDelay(e.delay(m))
		Expect(m.Tables["op"].AgeMs).To(Equal(int64(4010)))
		Expect(m.Desired["m"].AgeMs).To(Equal(int64(4020)))
		Expect(m.DesiredByHost["c"]["m"].AgeMs).To(Equal(int64(4030)))
		Expect(m.RateLimits["t"].AgeMs).To(Equal(int64(4040)))
		Expect(m.Progress).To(BeNil())
	})

	It("says that its sender was registered when it was sent", func() {
		boot += 4 * time.Second
		m := message()
		m.Registered = true
		e.recordSharedState(m, e.delay(m))
		Expect(hosts.lastDelay).To(Equal(4 * time.Second))
	})

	It("has crash records with ages from when it was sent", func() {
		boot += 4 * time.Second
		m, crashes := message(), &importedCrashes{}
		m.Crashes = []crash.Record{{}}
		e.crashes = crashes
		e.recordSharedState(m, e.delay(m))
		Expect(time.Since(crashes.now)).To(BeNumerically("~", 4*time.Second, time.Second))
	})

	It("keeps its ages if it arrives at once, or does not state when it was sent", func() {
		m := message()
		m.addDelay(e.delay(m))
		Expect(m).To(Equal(message()))
		boot += 4 * time.Second
		m.SentMs = 0
		Expect(e.delay(m)).To(BeZero())
	})
})
