package front

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sesamehill.example/sesamehill/internal/stash"
	"sesamehill.example/sesamehill/internal/wire"
)

func TestFront(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "front")
}

var _ = Describe("members", func() {
	var m *members
	see := func(at time.Duration, names ...string) {
		for _, n := range names {
			m.seen[n] = sighting{member: member{Host: n, Zone: "sul-a", Peer: n + ":1"}, at: at}
		}
	}
	BeforeEach(func() {
		h := &Host{settings: Settings{Name: "a", Zone: "sul-a", Region: "sul", Zones: map[string]string{"sul-a": "sul"}}}
		m = &members{host: h, seen: map[string]sighting{}}
	})

	// Guards against hosts that are cut off from the platform's store and each claim
	// the whole of a budget that all hosts share.
	It("misses no host while the rows cannot be read", func() {
		see(time.Minute, "a", "b", "c", "d")
		m.heard = time.Minute + time.Second
		Expect(m.count()).To(Equal(4))
	})

	It("misses a host whose row does not change although the rows are read", func() {
		see(time.Minute, "b", "c")
		see(2*time.Minute, "a", "d", "e")
		m.heard = 2 * time.Minute
		Expect(m.count()).To(Equal(3))
	})

	It("assumes several hosts before the first read", func() {
		Expect(m.count()).To(Equal(assumedHosts))
	})

	// Guards against stores and the lease row that every host of many asks.
	It("names few hosts that ask the stores and contend for the lease", func() {
		see(time.Minute, "a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l")
		m.heard = time.Minute
		direct, contending := 0, 0
		for name := range m.seen {
			m.host.settings.Name = name
			if _, self := m.hubs(); self {
				direct++
			}
			if m.contends() {
				contending++
			}
		}
		Expect(direct).To(Equal(storeHubs))
		Expect(contending).To(Equal(contenders))
	})

	// Guards against news of the stores that go from zone to zone once for each host.
	It("names a host of each zone that asks the stores, the own zone's first", func() {
		zones := []string{"sul-a", "sul-b", "sul-c"}
		for i, name := range strings.Split("abcdefghijklmnopqrstuvwxyz", "") {
			zone := zones[i%len(zones)]
			m.host.settings.Zones[zone] = "sul"
			m.seen[name] = sighting{member: member{Host: name, Zone: zone, Peer: zone + "/" + name}, at: time.Minute}
		}
		m.heard = time.Minute
		direct := map[string]int{}
		for name, s := range m.seen {
			m.host.settings.Name, m.host.settings.Zone = name, s.Zone
			addresses, self := m.hubs()
			if self {
				direct[s.Zone]++
				continue
			}
			Expect(addresses).To(HaveLen(storeHubs))
			Expect(addresses[0]).To(HavePrefix(s.Zone + "/"))
		}
		Expect(direct).To(Equal(map[string]int{"sul-a": 1, "sul-b": 1, "sul-c": 1}))
	})

	// Guards against many hosts that look at the list so seldom that they send to
	// targets which have left.
	It("look at the list well within the time that a leaving target has", func() {
		m.host.members = m
		see(time.Minute, strings.Split("abcdefghijklmnop", "")...)
		m.heard = time.Minute
		Expect(m.host.listPace()).To(Equal(slowListPace))
		m.host.settings.Drain = 1000
		Expect(m.host.listPace()).To(Equal(400 * time.Millisecond))
		m.host.settings.Drain = 4000
		Expect(m.host.listPace()).To(Equal(slowListPace))
	})

	// Guards against control that grows with the number of hosts: most of them must
	// follow a hub, and one host of each region alone the platform's tables.
	It("names few hubs and one leader of each region, the widest hosts first", func() {
		m.host.settings.Zones = map[string]string{"sul-a": "sul", "sul-b": "sul", "leste-a": "leste"}
		zones := []string{"sul-a", "sul-b", "leste-a"}
		for i := range 90 {
			name := fmt.Sprint("host-", i)
			m.seen[name] = sighting{at: time.Minute, member: member{
				Host: name, Zone: zones[i%3], Peer: name + ":1", Width: float64(10 + i/45),
			}}
		}
		m.heard = time.Minute
		leaders, hubs, followers := 0, map[string]int{}, 0
		for name, s := range m.seen {
			m.host.settings.Name, m.host.settings.Zone = name, s.Zone
			m.host.settings.Region = m.host.settings.Zones[s.Zone]
			t := m.topology()
			if m.leads() {
				leaders++
				Expect(t.Leader).To(Equal(s.Peer))
			}
			if m.hub() {
				hubs[s.Zone]++
				Expect(s.Width).To(Equal(11.0))
				Expect(len(t.Near) + len(t.Far)).To(Equal(4))
				continue
			}
			followers++
			Expect(t.Near).To(BeEmpty())
			Expect(m.seen[strings.TrimSuffix(t.Hubs[0], ":1")].Zone).To(Equal(s.Zone))
		}
		Expect(leaders).To(Equal(2))
		Expect(hubs).To(Equal(map[string]int{"sul-a": 1, "sul-b": 2, "leste-a": 2}))
		Expect(followers).To(Equal(85))
	})

	// Guards against hosts that are missed because they write their rows seldom, and
	// against state that is freed while such a host still fetches it.
	It("counts a host for as long as its row says, and longer than it fetches", func() {
		m.seen["a"] = sighting{member: member{Host: "a", Zone: "sul-a", Life: 60000}, at: time.Minute}
		m.heard = time.Minute + 59*time.Second
		Expect(m.names()).To(ConsistOf("a"))
		m.heard = time.Minute + 60*time.Second
		Expect(m.names()).To(BeEmpty())
		m.written, m.life = wire.Boot()-56*time.Second, time.Minute
		Expect(m.Confirmed()).To(BeTrue())
		m.written = wire.Boot() - 57*time.Second
		Expect(m.Confirmed()).To(BeFalse())
		Expect(confirmMargin).To(BeNumerically(">", stash.FetchLimit))
	})

	It("knows nobody, and no leader, before the first rows", func() {
		Expect(m.leads()).To(BeFalse())
		Expect(m.topology()).To(BeZero())
	})

	It("contends for no lease before the rows were read", func() {
		Expect(m.contends()).To(BeFalse())
	})
})

// goodSettings is a complete settings file.
const goodSettings = `name = "a"
zone = "sul-a"
region = "sul"
platform = "10.0.0.1:80"
front = "10.0.0.2:80"
ready = "10.0.0.2:81"
peer = "10.0.0.2:82"
admin = "10.0.0.2:83"
level = "info"
grace = 8
lease = 3000
ratio = 0.2
slack = 52
window = 10
[zones]
sul-a = "sul"
`

// Guards against settings that start a host in a state nobody asked for.
var _ = Describe("ParseSettings", func() {
	It("takes complete settings", func() {
		s, err := ParseSettings([]byte(goodSettings))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.allowance().Window).To(Equal(10 * time.Second))
	})
	// Guards against requests that wait at an engine with replaced weights until the
	// platform's bound has passed: one began 2.36 s after it can have been sent.
	It("stops sending to replaced weights long enough before the bound", func() {
		s, err := ParseSettings([]byte("weights = 8000\n" + goodSettings))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.staleLimit()).To(BeNumerically("<=", 8*time.Second-2400*time.Millisecond))
		Expect(s.staleLimit()).To(BeNumerically(">=", 4*time.Second))
	})
	DescribeTable("names what is wrong",
		func(old, replacement, want string) {
			text := []byte(goodSettings)
			if old == "" {
				text = append([]byte(replacement), text...)
			} else {
				text = []byte(strings.Replace(goodSettings, old, replacement, 1))
			}
			_, err := ParseSettings(text)
			Expect(err).To(MatchError(ContainSubstring(want)))
		},
		Entry("an unknown field", "", "surprise = 1\n", "surprise"),
		Entry("a zone that is not listed", `zone = "sul-a"`, `zone = "x"`, "zone"),
		Entry("an address without a port", `front = "10.0.0.2:80"`, `front = "10.0.0.2"`, "front"),
		Entry("an unknown level", `level = "info"`, `level = "loud"`, "level"),
		Entry("an unknown placement", `level = "info"`, "level = \"info\"\nplacement = \"best\"", "placement"),
		Entry("no window", "window = 10", "window = 0", "window"),
		Entry("a negative drain time", "lease = 3000", "lease = 3000\ndrain = -1", "drain"),
		Entry("no grace", "grace = 8", "grace = 0", "grace"),
		Entry("a value that is missing", `name = "a"`, `name = null`, "cannot be decoded"),
	)
})
