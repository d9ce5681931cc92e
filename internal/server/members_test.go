package server

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/crash"
	"sesamehill.example/sesamehill/internal/feed"
	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/kvcat"
	"sesamehill.example/sesamehill/internal/origin"
	"sesamehill.example/sesamehill/internal/table"
	"sesamehill.example/sesamehill/internal/wire"
)

func TestServer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "server")
}

var _ = Describe("members", func() {
	var m *members
	addRows := func(firstSeen time.Duration, names ...string) {
		for _, n := range names {
			m.rows[n] = observedRow{memberRow: memberRow{Host: n, Zone: "sul-a", Peer: n + ":1"}, firstSeen: firstSeen}
		}
	}
	BeforeEach(func() {
		h := &Host{settings: Settings{Name: "a", Zone: "sul-a", Region: "sul", Zones: map[string]string{"sul-a": "sul"}}}
		m = &members{host: h, rows: map[string]observedRow{}}
	})

	// Guards against hosts that cannot reach the platform's store and each use the whole
	// of a budget that all hosts share.
	It("let no host expire while the rows cannot be read", func() {
		addRows(time.Minute, "a", "b", "c", "d")
		m.readAt = time.Minute + time.Second
		Expect(m.hostCount()).To(Equal(4))
	})

	It("let a host expire whose row does not change while the rows are read", func() {
		addRows(time.Minute, "b", "c")
		addRows(2*time.Minute, "a", "d", "e")
		m.readAt = 2 * time.Minute
		Expect(m.hostCount()).To(Equal(3))
	})

	// Guards against settings that are read without their lock, as a placement reads its
	// share while the settings are reloaded. The race detector finds it.
	It("share limits while the settings are reloaded", func() {
		addRows(time.Minute, "a", "b")
		m.readAt = time.Minute
		var reload sync.WaitGroup
		reload.Go(func() { m.host.setSettings(m.host.currentSettings()) })
		Expect(m.share(&fleet.Target{ID: "i-1", Zone: "sul-a"}).Hosts).To(Equal(max(2, minAssumedHosts)))
		reload.Wait()
	})

	It("assume several hosts before the first read", func() {
		Expect(m.hostCount()).To(Equal(assumedHosts))
	})

	// Guards against a stream whose owners a host does not find, as hosts choose others for
	// it, and against a record for each of many hosts.
	It("agree on the few hosts that remember a stream", func() {
		var names []string
		for i := range 330 {
			names = append(names, fmt.Sprintf("host-%03d", i))
		}
		addRows(time.Minute, names...)
		m.readAt = time.Minute
		for n := range 20 {
			key := origin.NewKey(fmt.Sprint("stream-", n))
			m.host.settings.Name = "none of them"
			owners := m.ownersOf(key)
			Expect(owners).To(HaveLen(originOwners))
			for _, name := range names[:10] {
				m.host.settings.Name = name
				own := m.ownersOf(key)
				Expect(own).To(HaveLen(originOwners))
				if !slices.Contains(owners, name+":1") {
					Expect(own).To(ConsistOf(owners))
				}
			}
		}
	})

	// Guards against stores and a lease row that each of many hosts polls.
	It("select few hosts that poll the stores and contend for the lease", func() {
		addRows(time.Minute, "a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l")
		m.readAt = time.Minute
		direct, contenders := 0, 0
		for name := range m.rows {
			m.host.settings.Name = name
			if _, self := m.storeHubAddresses(); self {
				direct++
			}
			if m.isContender() {
				contenders++
			}
		}
		Expect(direct).To(Equal(storeHubs))
		Expect(contenders).To(Equal(leaseContenders))
	})

	// Guards against store changes that are sent between zones once for each host.
	It("select a host of each zone that polls the stores and list that of the own zone first", func() {
		zones := []string{"sul-a", "sul-b", "sul-c"}
		for i, name := range strings.Split("abcdefghijklmnopqrstuvwxyz", "") {
			zone := zones[i%len(zones)]
			m.host.settings.Zones[zone] = "sul"
			m.rows[name] = observedRow{memberRow: memberRow{Host: name, Zone: zone, Peer: zone + "/" + name}, firstSeen: time.Minute}
		}
		m.readAt = time.Minute
		direct := map[string]int{}
		for name, s := range m.rows {
			m.host.settings.Name, m.host.settings.Zone = name, s.Zone
			addresses, self := m.storeHubAddresses()
			if self {
				direct[s.Zone]++
				continue
			}
			Expect(addresses).To(HaveLen(storeHubs))
			Expect(addresses[0]).To(HavePrefix(s.Zone + "/"))
		}
		Expect(direct).To(Equal(map[string]int{"sul-a": 1, "sul-b": 1, "sul-c": 1}))
	})

	// Guards against many hosts that poll the list so seldom that they send requests to
	// targets that have left.
	It("poll the list well within the drain time of a leaving target", func() {
		m.host.members = m
		addRows(time.Minute, strings.Split("abcdefghijklmnop", "")...)
		m.readAt = time.Minute
		Expect(m.host.listInterval()).To(Equal(listIntervalManyHosts))
		m.host.settings.Drain = 1000
		Expect(m.host.listInterval()).To(Equal(400 * time.Millisecond))
		m.host.settings.Drain = 4000
		Expect(m.host.listInterval()).To(Equal(listIntervalManyHosts))
	})

	// Guards against control traffic that grows with the number of hosts: most of them must
	// follow a hub, and only one host of each region the platform tables.
	It("select few hubs and one leader of each region, those with the highest capacity first", func() {
		m.host.settings.Zones = map[string]string{"sul-a": "sul", "sul-b": "sul", "leste-a": "leste"}
		zones := []string{"sul-a", "sul-b", "leste-a"}
		for i := range 90 {
			name := fmt.Sprint("host-", i)
			m.rows[name] = observedRow{firstSeen: time.Minute, memberRow: memberRow{
				Host: name, Zone: zones[i%3], Peer: name + ":1", Capacity: float64(10 + i/45),
			}}
		}
		m.readAt = time.Minute
		leaders, hubs, followers := 0, map[string]int{}, 0
		for name, s := range m.rows {
			m.host.settings.Name, m.host.settings.Zone = name, s.Zone
			m.host.settings.Region = m.host.settings.Zones[s.Zone]
			topology := m.topology()
			if m.isLeader() {
				leaders++
				Expect(topology.Leader).To(Equal(s.Peer))
			}
			if m.isHub() {
				hubs[s.Zone]++
				Expect(s.Capacity).To(Equal(11.0))
				Expect(len(topology.SameRegion) + len(topology.OtherRegions)).To(Equal(4))
				continue
			}
			followers++
			Expect(topology.SameRegion).To(BeEmpty())
			Expect(m.rows[strings.TrimSuffix(topology.Hubs[0], ":1")].Zone).To(Equal(s.Zone))
		}
		Expect(leaders).To(Equal(2))
		Expect(hubs).To(Equal(map[string]int{"sul-a": 1, "sul-b": 2, "leste-a": 2}))
		Expect(followers).To(Equal(85))
	})

	// Guards against hosts that expire because they write their rows seldom, and against
	// KV cache entries that are freed while such a host still fetches them.
	It("count a host as alive for the lifetime in its row, and longer than it may fetch", func() {
		m.rows["a"] = observedRow{memberRow: memberRow{Host: "a", Zone: "sul-a", LifeMillis: 60000}, firstSeen: time.Minute}
		m.readAt = time.Minute + 59*time.Second
		Expect(m.hostNames()).To(ConsistOf("a"))
		m.readAt = time.Minute + 60*time.Second
		Expect(m.hostNames()).To(BeEmpty())
		m.writtenAt, m.rowLifetime = wire.BootTime()-56*time.Second, time.Minute
		Expect(m.Registered()).To(BeTrue())
		m.writtenAt = wire.BootTime() - 57*time.Second
		Expect(m.Registered()).To(BeFalse())
		Expect(confirmMargin).To(BeNumerically(">", kvcat.MaxFetchTime))
	})

	deliver := func(list bool, rows ...feed.Row) {
		if list {
			m.Listed(rows)
			return
		}
		m.Changed(rows)
	}
	row := func(name string, version, writes uint64) feed.Row {
		b, err := json.Marshal(memberRow{Host: name, Zone: "sul-a", Peer: "10.0.0.1:1", Writes: writes})
		Expect(err).NotTo(HaveOccurred())
		return feed.Row{Key: name, Version: version, Value: b}
	}
	// seenAgo lets a host have been seen for the last time a while ago; the rows were
	// read just now.
	seenAgo := func(name string, d time.Duration) {
		s := m.rows[name]
		m.readAt = wire.BootTime()
		s.firstSeen = m.readAt - d
		m.rows[name] = s
	}

	// Guards against hosts that count as gone, in shares of budgets, the election of hubs
	// and the freeing of KV cache entries, because the platform has lost their rows.
	It("keep a host whose row is gone from a list until it expires", func() {
		deliver(true, row("a", 5, 1), row("b", 6, 1), row("c", 7, 1))
		seenAgo("b", time.Second)
		seenAgo("c", minRowLifetime)
		deliver(true, row("a", 5, 1))
		Expect(m.hostNames()).To(Equal([]string{"a", "b"}))
		seenAgo("b", minRowLifetime)
		Expect(m.hostNames()).To(Equal([]string{"a"}))
		deliver(true, row("a", 5, 1))
		Expect(m.rows).To(HaveLen(1))
	})

	// Guards against hosts that each use a large share of a budget after a long outage of
	// the store, until the others have written their rows again.
	It("let no host expire at the end of an outage, in which none could write its row", func() {
		addRows(time.Minute, "a", "b", "c", "d", "e")
		m.setReadAt(time.Minute + time.Second)
		m.setReadAt(time.Minute + 30*time.Second)
		Expect(m.hostCount()).To(Equal(5))
		for i := range 12 {
			m.setReadAt(time.Minute + time.Duration(30+i)*time.Second)
		}
		Expect(m.hostNames()).To(BeEmpty())
	})

	It("do not bring back a host that had expired before an outage", func() {
		addRows(time.Minute, "a", "b", "c", "d")
		addRows(2*time.Minute, "e", "f", "g")
		m.setReadAt(2 * time.Minute)
		m.setReadAt(3 * time.Minute)
		Expect(m.hostNames()).To(Equal([]string{"e", "f", "g"}))
	})

	// Guards against hosts that are gone and become hubs or contenders for the lease,
	// because an older row of theirs is back.
	It("take an older row for no sign of life", func() {
		deliver(true, row("a", 5, 1), row("b", 60, 9))
		seenAgo("b", minRowLifetime)
		deliver(true, row("a", 5, 1), row("b", 40, 7))
		Expect(m.hostNames()).To(Equal([]string{"a"}))
		unchanged := row("b", 40, 7)
		unchanged.Era = 2
		deliver(true, row("a", 5, 1), unchanged)
		Expect(m.hostNames()).To(Equal([]string{"a"}), "the same row in another era")
		deliver(false, row("b", 50, 10))
		Expect(m.hostNames()).To(Equal([]string{"a", "b"}))
	})

	// Guards against a live host that expires because its next row has a version that was
	// given out before.
	It("take a row with a version that is given out again for a sign of life", func() {
		deliver(true, row("a", 5, 1), row("b", 60, 9))
		seenAgo("b", minRowLifetime)
		deliver(false, row("b", 60, 10))
		Expect(m.hostNames()).To(Equal([]string{"a", "b"}))
		seenAgo("a", minRowLifetime)
		deliver(true, row("b", 60, 10)) // the row of a is lost
		deliver(false, row("a", 4, 2))
		Expect(m.hostNames()).To(Equal([]string{"a", "b"}))
	})

	// Guards against a host that starts just after a restore and expires, as the platform
	// gives its first rows lower versions than the host's earlier rows had.
	It("take the first row of a host that started again for a sign of life", func() {
		started := func(r feed.Row, startedAtMs int64) feed.Row {
			r.Value = []byte(strings.Replace(string(r.Value), "{", fmt.Sprintf(`{"start":%d,`, startedAtMs), 1))
			return r
		}
		deliver(true, row("a", 5, 1), started(row("b", 60, 9), 1000))
		seenAgo("b", minRowLifetime)
		first := started(row("b", 44, 1), 2000)
		first.Era = 2
		deliver(false, first)
		Expect(m.hostNames()).To(Equal([]string{"a", "b"}))
		seenAgo("b", minRowLifetime)
		copied := started(row("b", 70, 9), 1000)
		copied.Era = 3
		deliver(false, copied)
		Expect(m.hostNames()).To(Equal([]string{"a"}), "a row of the start before")
	})

	It("have no topology and no leader before the first read", func() {
		Expect(m.isLeader()).To(BeFalse())
		Expect(m.topology()).To(BeZero())
	})

	It("contend for no lease before the first read", func() {
		Expect(m.isContender()).To(BeFalse())
	})
})

// validSettings is a complete settings file.
const validSettings = `name = "a"
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

// Guards against invalid settings with which a host starts anyway.
var _ = Describe("ParseSettings", func() {
	It("accepts complete settings", func() {
		s, err := ParseSettings([]byte(validSettings))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.retryAllowance().Window).To(Equal(10 * time.Second))
	})
	// Guards against requests that wait at an engine with replaced weights until the
	// platform's limit has passed: one started 2.36 s after it can have been sent.
	It("stops sending to replaced weights long enough before the limit", func() {
		s, err := ParseSettings([]byte("weights = 8000\n" + validSettings))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.staleWeightsLimit()).To(BeNumerically("<=", 8*time.Second-2400*time.Millisecond))
		Expect(s.staleWeightsLimit()).To(BeNumerically(">=", 4*time.Second))
	})
	DescribeTable("names the invalid field",
		func(old, replacement, wantText string) {
			text := []byte(validSettings)
			if old == "" {
				text = append([]byte(replacement), text...)
			} else {
				text = []byte(strings.Replace(validSettings, old, replacement, 1))
			}
			_, err := ParseSettings(text)
			Expect(err).To(MatchError(ContainSubstring(wantText)))
		},
		Entry("an unknown field", "", "surprise = 1\n", "surprise"),
		Entry("a zone that is not listed", `zone = "sul-a"`, `zone = "x"`, "zone"),
		Entry("an address without a port", `front = "10.0.0.2:80"`, `front = "10.0.0.2"`, "front"),
		Entry("an unknown level", `level = "info"`, `level = "loud"`, "level"),
		Entry("an unknown placement", `level = "info"`, "level = \"info\"\nplacement = \"best\"", "placement"),
		Entry("no window", "window = 10", "window = 0", "window"),
		Entry("a negative drain time", "lease = 3000", "lease = 3000\ndrain = -1", "drain"),
		Entry("a negative price", "[zones]", "[away]\nzone = -1.0\nregion = 1.0\nsecond = 1.0\n[zones]", `price "zone" is negative`),
		Entry("no price of a second", "[zones]", "[away]\nzone = 1.0\nregion = 1.0\n[zones]", `price "second" is not positive`),
		Entry("a price that does not exist", "[zones]", "[away]\nmegabyte = 1.0\n[zones]", "megabyte"),
		Entry("no grace", "grace = 8", "grace = 0", "grace"),
		Entry("a value that is missing", `name = "a"`, `name = null`, "cannot be decoded"),
	)
})

// rowRecorder is a table that keeps the rows that are written to it.
type rowRecorder struct {
	Table
	mu   sync.Mutex
	rows [][]byte
}

func (r *rowRecorder) Put(_ context.Context, _ string, value []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rows = append(r.rows, value)
	return nil
}

func (r *rowRecorder) written() [][]byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.rows)
}

func (r *rowRecorder) Read(_ context.Context, keys ...string) ([]table.Row, error) {
	return []table.Row{{Key: keys[0]}}, nil
}

// restorableRows is a rowRecorder of a platform that states its era.
type restorableRows struct {
	rowRecorder
	era atomic.Uint64
}

func (r *restorableRows) Era() uint64 { return r.era.Load() }

// Guards against hosts that are missing for others until their next regular write,
// seconds after the platform has lost their rows.
func TestRowIsWrittenAgainAfterRestore(t *testing.T) {
	g := NewWithT(t)
	recorder := &restorableRows{}
	recorder.era.Store(1)
	h := &Host{settings: Settings{Name: "a", Zone: "sul-a", Region: "sul"}, log: zap.NewNop()}
	m := &members{host: h, table: recorder, platformEra: recorder.Era, rows: map[string]observedRow{}}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = m.Run(ctx) }()
	g.Eventually(recorder.written, "1s", "10ms").Should(HaveLen(1))
	recorder.era.Store(2)
	g.Eventually(recorder.written, "500ms", "10ms").Should(HaveLen(2))
	g.Consistently(recorder.written, "700ms", "50ms").Should(HaveLen(2))
}

// Guards against hundreds of hosts that write their rows in the same instant after a
// restore, of which the platform refuses most.
func TestHostsSpreadTheirRowsAfterRestore(t *testing.T) {
	g := NewWithT(t)
	const hosts, writesPerSecond = 330, 400 // the platform's rate for all calls
	m := &members{host: &Host{settings: Settings{Name: "h0"}}, rows: map[string]observedRow{}, readAt: time.Minute}
	for i := range hosts {
		name := fmt.Sprint("h", i)
		m.rows[name] = observedRow{memberRow: memberRow{Host: name}, firstSeen: time.Minute}
	}
	perSecond := map[time.Duration]int{}
	for range hosts {
		d := m.rewriteDelay()
		g.Expect(d).To(BeNumerically("<", 4*time.Second))
		perSecond[d/time.Second]++
	}
	for _, n := range perSecond {
		g.Expect(n).To(BeNumerically("<", writesPerSecond/2))
	}
	m.rows = map[string]observedRow{}
	g.Expect(m.rewriteDelay()).To(BeNumerically("<", 100*time.Millisecond))
}

// Guards against rows that grow with the crashes of targets and that every host writes
// again for a crash that another host has seen: all hosts read them, and the reads
// filled the link between two regions.
func TestCrashesOfOtherHostsRewriteRows(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	other := crash.New()
	for i := range uint32(64) {
		attempt := fmt.Sprint("attempt-", i)
		p := crash.NewFingerprint("a", "m", []uint32{i})
		other.Begin(p, attempt, "i-1234567890", now)
		other.End(attempt, crash.Crashed, now)
	}
	h := &Host{settings: Settings{Name: "a", Zone: "sul-a", Region: "sul"}, crashes: crash.New(), log: zap.NewNop()}
	recorder := &rowRecorder{}
	m := &members{host: h, table: recorder, platformEra: func() uint64 { return 0 }, rows: map[string]observedRow{}}
	for i := range fewHosts + 1 {
		name := string(rune('a' + i))
		m.rows[name] = observedRow{memberRow: memberRow{Host: name, Zone: "sul-a"}, firstSeen: time.Minute}
	}
	m.readAt = time.Minute
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = m.Run(ctx) }()
	g.Eventually(recorder.written, "2s", "10ms").Should(HaveLen(1))
	g.Expect(h.crashes.Import(other.Export(64, now), now)).To(Succeed())
	g.Consistently(recorder.written, "2900ms", "50ms").Should(HaveLen(1))
	m.writeRow(ctx, minWriteInterval)
	g.Expect(len(recorder.written()[1])).To(BeNumerically("<", 512))
}
