package server

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sesamehill.example/sesamehill/internal/origin"
	"sesamehill.example/sesamehill/internal/proxy"
	"sesamehill.example/sesamehill/internal/table"
	"sesamehill.example/sesamehill/internal/wire"
)

// restoredTable is a table of a platform that states an era.
type restoredTable struct {
	*keyedTable
	era uint64
}

func (t *restoredTable) Era() uint64 { return t.era }

// startedOrigins returns the origins of a host that has just started beside another one: it has
// received the stored versions, the base v1 and v2, and no record of a stream.
func startedOrigins(t Table, reply originReply) *streamOrigins {
	s := originsBeside(t, reply)
	s.host.members.startedAtMs = 2000
	now, r := wire.BootTime(), origin.New()
	r.ObserveStored("llm", origin.Versions{Base: "v1", Names: []string{"v1", "v2"}}, now)
	r.Observe(map[string][]string{"llm": {"v1", "v2"}}, origin.Evidence{CurrentAt: now}, now)
	s.registry, s.versions.registry, s.store.registry = r, r, r
	return s
}

var _ = Describe("a stream without a stored record", func() {
	var t *restoredTable
	BeforeEach(func() { t = &restoredTable{keyedTable: &keyedTable{rows: map[string]table.Row{}}} })
	find := func(reply originReply) proxy.OriginResult {
		return startedOrigins(t, reply).Find(context.Background(), "llm", "first")
	}
	// begin makes a host of the past store the records that it can.
	begin := func(host string, startedAtMs int64) *streamStore {
		h := memberHost(1, true)
		h.settings.Name, h.members.startedAtMs = host, startedAtMs
		r := origin.New()
		r.ObserveStored("llm", origin.Versions{Base: "v1", Names: []string{"v1", "v2"}}, wire.BootTime())
		writer := &streamStore{host: h, table: t, registry: r}
		Expect(writer.keepIntent(context.Background())).To(BeTrue())
		return writer
	}

	// Guards against streams that go on at the base although another version began them while the
	// store was away: their records ended with the hosts (review/13).
	It("is not taken for one of the base if a host that may have begun it has ended", func() {
		Expect(find(originReply{})).To(HaveField("Origin.Software", "v1"))
		begin("b000", 1000)
		Expect(find(originReply{StartedAtMs: 2000})).To(HaveField("Reason", ContainSubstring("does not answer")))
	})

	// Guards against streams of the base that are refused as long as hosts run that have answered.
	It("is one of the base if all hosts that may have begun it run on and have no record", func() {
		begin("b000", 1000)
		begin("a", 2000)
		Expect(find(originReply{StartedAtMs: 1000})).To(HaveField("Origin.Software", "v1"))
	})

	// Guards against the same after the store has lost records that it had acknowledged, and with
	// them the rows of the hosts that have ended (review/13 with TROUBLE=copy).
	It("is not taken for one of the base after a restore of the platform", func() {
		t.rows[eraKey(3)] = table.Row{Key: eraKey(3), Version: 1, Value: emptyRow}
		t.era = 3
		Expect(find(originReply{})).To(HaveField("Origin.Software", "v1"))
		t.era = 4
		Expect(find(originReply{})).To(HaveField("Reason", ContainSubstring("restored")))
		t.rows[eraKey(4)] = table.Row{Key: eraKey(4), Version: 1, Value: emptyRow}
		Expect(find(originReply{})).To(HaveField("Origin.Software", "v1"))
	})

	// Guards against streams at another version than the base that a host begins while nothing in
	// the store shows that their records may be missing.
	It("begins at the base only, unless its host has stored an intent", func() {
		s := startedOrigins(t, originReply{})
		Expect(s.Settled("llm", "v1")).To(BeTrue())
		Expect(s.Settled("llm", "v2")).To(BeFalse())
		t.down = true
		Expect(s.store.keepIntent(context.Background())).To(BeFalse())
		Expect(s.Settled("llm", "v2")).To(BeFalse())
		t.down = false
		Expect(s.store.keepIntent(context.Background())).To(BeTrue())
		Expect(s.Settled("llm", "v2")).To(BeTrue())
		t.era++
		Expect(s.Settled("llm", "v2")).To(BeFalse(), "the restore may have lost the intent")
		Expect(s.store.keepIntent(context.Background())).To(BeTrue())
		Expect(s.Settled("llm", "v2")).To(BeTrue())
		s.store.intentAt -= intentTTL
		Expect(s.Settled("llm", "v2")).To(BeFalse(), "other hosts may have removed the intent")
	})

	// Guards against hosts of an older build that cannot read the rows beside the streams.
	It("leaves rows that read as rows without streams", func() {
		begin("b000", 1000)
		s := startedOrigins(t, originReply{})
		Expect(s.store.read(context.Background())).To(BeTrue())
		Expect(s.store.lastRead.writers).To(HaveKey(streamWriter{Host: "b000", StartedAtMs: 1000}))
		Expect(t.rows).To(HaveLen(1))
	})
})

// Guards against an era that is stored while streams whose records a restore has lost may be
// resumed.
var _ = It("the era of the platform is stored at once at first, and after a restore with delay", func() {
	t := &restoredTable{keyedTable: &keyedTable{rows: map[string]table.Row{}}, era: 1}
	s := &streamStore{host: memberHost(0, true), table: t, registry: origin.New()}
	k := eraKeeper{store: s}
	now := time.Hour
	step := func(d time.Duration) (uint64, bool) {
		now += d
		if k.isDue(now) {
			k.write(context.Background(), now)
		}
		newest, known, err := s.storedEra(context.Background())
		Expect(err).NotTo(HaveOccurred())
		return newest, known
	}
	newest, known := step(0)
	Expect(known).To(BeTrue())
	Expect(newest).To(BeEquivalentTo(1))
	t.era = 2
	newest, _ = step(time.Second)
	Expect(newest).To(BeEquivalentTo(1))
	newest, _ = step(origin.Retention - time.Second)
	Expect(newest).To(BeEquivalentTo(1))
	newest, _ = step(time.Second)
	Expect(newest).To(BeEquivalentTo(2))
})
