package front

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/gate"
	"sesamehill.example/sesamehill/internal/hail"
	"sesamehill.example/sesamehill/internal/site"
	"sesamehill.example/sesamehill/internal/stash"
	"sesamehill.example/sesamehill/internal/wire"
)

// Guards against state that is freed while a host still fetches it, and against
// stores that stay full of state of replaced weights.
var _ = Describe("state of replaced weights", func() {
	var h *Host
	BeforeEach(func() {
		s, err := site.New(site.Site{Version: 1, Services: []site.Service{
			{Name: "llm", Engine: &site.Engine{Models: []string{"m"}}},
		}})
		Expect(err).NotTo(HaveOccurred())
		h = &Host{
			settings: Settings{Name: "a", Zone: "z", Region: "r", Zones: map[string]string{"z": "r"}},
			fleet:    fleet.New(), operator: &operator{log: zap.NewNop(), named: map[string][]named{}},
		}
		h.gate = gate.New(nil, h.fleet)
		h.gate.SetSite(s)
		h.fleet.Put(fleet.Target{ID: "e", Service: "llm", Versions: map[string]int{"m": 1}})
		h.members = &members{host: h, seen: map[string]sighting{}, heard: wire.Boot(), written: wire.Boot()}
		h.duty = &duty{host: h, acks: map[string]map[string]ack{}}
		for _, name := range []string{"a", "b", "c"} {
			h.members.seen[name] = sighting{member: member{Host: name, Zone: "z"}, at: wire.Boot()}
		}
	})
	named := func(version int, age time.Duration) {
		h.operator.Heard("m", hail.Named{Version: version, Age: age.Milliseconds()})
	}
	acks := func(host string, version int, age time.Duration) {
		h.duty.acknowledged(host, "m", hail.Named{Version: version, Age: age.Milliseconds()})
	}

	It("is fetched for a moment only and saved no more", func() {
		named(2, 500*time.Millisecond)
		fetch, save := h.use("m", 1)
		Expect([]bool{fetch, save}).To(Equal([]bool{true, false}))
		fetch, save = h.use("m", 2)
		Expect([]bool{fetch, save}).To(Equal([]bool{true, true}))
		named(3, 2*time.Second)
		fetch, _ = h.use("m", 2)
		Expect(fetch).To(BeFalse())
	})

	It("is not fetched by a host that the others may take for gone", func() {
		h.members.written = wire.Boot() - confirmFor - time.Second
		fetch, _ := h.use("m", 1)
		Expect(fetch).To(BeFalse())
	})

	// Guards against hosts that read everything again while only the platform is out
	// of reach: the hosts that they hear tell them of new weights.
	It("is fetched while a host is heard that the others count on", func() {
		h.members.written = wire.Boot() - confirmFor - time.Second
		h.members.Vouched()
		fetch, _ := h.use("m", 1)
		Expect(fetch).To(BeTrue())
		h.members.vouched = wire.Boot() - vouchFor - time.Millisecond
		fetch, _ = h.use("m", 1)
		Expect(fetch).To(BeFalse())
	})

	It("outlives each fetch that begins while a host is vouched for", func() {
		Expect(vouchFor + stash.FetchLimit).To(BeNumerically("<", releaseAfter))
	})

	It("is freed once every host has known of the new weights for long enough", func() {
		named(2, time.Minute)
		acks("b", 2, time.Minute)
		Expect(h.duty.unused()).To(BeEmpty())
		acks("c", 2, releaseAfter-time.Second)
		Expect(h.duty.unused()).To(BeEmpty())
		acks("c", 2, releaseAfter+time.Second)
		// The first word of a host counts from when it came; a later one cannot make
		// it older than the newest start of that host.
		h.duty.acks["c"] = nil
		acks("c", 2, releaseAfter+time.Second)
		Expect(h.duty.unused()).To(HaveKeyWithValue("m", 2))
	})

	It("is kept while the other hosts are not known", func() {
		named(2, time.Minute)
		acks("b", 2, time.Minute)
		acks("c", 2, time.Minute)
		h.members.heard = wire.Boot() - time.Minute
		Expect(h.duty.unused()).To(BeEmpty())
	})

	// A host that started after the last read of the rows may still fetch it.
	It("is kept while the hosts were not read since the naming", func() {
		named(2, 6*time.Second)
		acks("b", 2, 6*time.Second)
		acks("c", 2, 6*time.Second)
		h.members.heard = wire.Boot() - 7*time.Second
		Expect(h.duty.unused()).To(BeEmpty())
		h.members.heard = wire.Boot() - 5*time.Second
		Expect(h.duty.unused()).To(HaveKeyWithValue("m", 2))
	})

	It("is kept for a host that knows only an older version", func() {
		named(3, time.Minute)
		acks("b", 3, time.Minute)
		acks("c", 2, time.Minute)
		Expect(h.duty.unused()).To(BeEmpty())
	})
})
