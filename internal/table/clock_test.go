package table_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sesamehill.example/sesamehill/internal/table"
)

var _ = Describe("the platform's clock", func() {
	var boot time.Duration
	var c *table.Clock
	BeforeEach(func() {
		boot = time.Minute
		c = table.NewClock(table.WithBootClock(func() time.Duration { return boot }))
	})
	now := func() int64 {
		ms, ok := c.Now()
		Expect(ok).To(BeTrue())
		return ms
	}

	It("is unknown without a sample", func() {
		_, ok := c.Now()
		Expect(ok).To(BeFalse())
		Expect(c.Since(1)).To(BeZero())
		c.Record(0)
		_, ok = c.Now()
		Expect(ok).To(BeFalse())
	})

	// Guards against a response that has waited in the socket of a paused host and sets
	// the clock back.
	It("runs on while the host is paused, and ignores samples that arrive late", func() {
		c.Record(5000)
		boot += 7 * time.Second
		c.Record(5300)
		Expect(now()).To(Equal(int64(12000)))
		Expect(c.Since(5300)).To(Equal(6700 * time.Millisecond))
		Expect(c.Since(20000)).To(BeZero())
	})

	// Guards against an estimate that stays ahead for good because of the drift between two
	// clocks.
	It("forgets samples after two windows", func() {
		c.Record(5000)
		for range 3 {
			boot += 40 * time.Second
			c.Record(4000 + (boot - time.Minute).Milliseconds())
		}
		Expect(now()).To(Equal(int64(124000)))
	})

	// Guards against the boot clock of a host of an older build, which may be far ahead of the
	// store's clock.
	It("ignores another clock that a host states", func() {
		c.RecordPeer(90 * time.Hour.Milliseconds())
		c.Record(5000)
		Expect(now()).To(Equal(int64(5000)))
		c.RecordPeer(5700)
		Expect(now()).To(Equal(int64(5000)), "until the other clock is forgotten")
		boot += 31 * time.Second
		c.RecordPeer(36200)
		boot += 31 * time.Second
		c.RecordPeer(67200)
		Expect(now()).To(Equal(int64(67200)))
	})

	// Guards against hosts that confirm each other's estimates.
	It("passes on only what the store's responses say", func() {
		c.RecordPeer(90000)
		Expect(now()).To(Equal(int64(90000)))
		_, ok := c.Sampled()
		Expect(ok).To(BeFalse())
		c.Record(5000)
		ms, ok := c.Sampled()
		Expect(ok).To(BeTrue())
		Expect(ms).To(Equal(int64(5000)))
	})

	// Guards against a host that has received only late responses since its start, counts
	// the age of an announcement from a clock that is behind, and sends requests to engines
	// that are outdated.
	It("is not behind the messages of other hosts, nor behind the store's responses", func() {
		c.Record(5000)
		c.RecordPeer(7000)
		Expect(now()).To(Equal(int64(7000)))
		c.Record(9000)
		Expect(now()).To(Equal(int64(9000)))
	})
})
