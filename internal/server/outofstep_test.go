package server

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sesamehill.example/sesamehill/internal/bound"
	"sesamehill.example/sesamehill/internal/feed"
	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/origin"
	"sesamehill.example/sesamehill/internal/proxy"
	"sesamehill.example/sesamehill/internal/relay"
	"sesamehill.example/sesamehill/internal/table"
	"sesamehill.example/sesamehill/internal/wire"
)

// singleVersionOrigins returns the origins of a host that knows one version of a service, and has
// followed the list of targets until some time ago. The other host gives the reply.
func singleVersionOrigins(t Table, listAge time.Duration, reply originReply) *streamOrigins {
	peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { writeReply(w, reply) }))
	DeferCleanup(peer.Close)
	s := witnessOrigins(t)
	row := s.host.members.rows["b000"]
	row.Peer = strings.TrimPrefix(peer.URL, "http://")
	s.host.members.rows["b000"] = row
	s.host.fleet, s.host.peerClient = fleet.New(), newPeerClient(bound.NewPool(peerPoolBytes))
	r, current := origin.New(), wire.BootTime()-listAge
	listedAt := current - 10*time.Second
	for at := listedAt; at <= current; at += time.Second {
		r.Observe(map[string][]string{"llm": {"v1"}}, origin.Evidence{CurrentAt: at, ListedAt: listedAt}, at)
	}
	s.registry, s.versions.registry, s.store.registry = r, r, r
	return s
}

const targetTable = "targets"

// discoveredTargets is a platform with a list of targets.
type discoveredTargets struct{ Platform }

func (discoveredTargets) TargetTable() string { return targetTable }

// removedTarget is a list from which a target has vanished that it never showed.
type removedTarget struct{}

func (removedTarget) List(context.Context, string) ([]feed.Row, feed.Position, error) {
	return nil, feed.Position{Version: 1}, nil
}

func (removedTarget) Changes(context.Context, string, feed.Position, time.Duration) ([]feed.Row, feed.Position, error) {
	return []feed.Row{{Key: "t", Version: 3, Removed: true}}, feed.Position{Version: 3}, nil
}

var _ = Describe("the origin of a stream at a host that knows one software version", func() {
	var t *keyedTable
	BeforeEach(func() { t = &keyedTable{rows: map[string]table.Row{}} })
	find := func(listAge time.Duration, reply originReply) proxy.OriginResult {
		return singleVersionOrigins(t, listAge, reply).Find(context.Background(), "llm", "first")
	}
	// outOfStep is the age of the list at a host that stood still or was cut off for longer than a
	// new version needs to get streams, and for less than the 3 s for which a list counted before.
	const outOfStep = 2 * time.Second
	v2 := origin.Origin{Service: "llm", Software: "v2"}
	several := originReply{Software: origin.Sightings{"llm": {"v1": 0, "v2": 0}}}

	// Guards against a stream that goes on at v1, the only version that the host has received,
	// although v2 began it while the host was out of step (issue 59).
	It("is the record of another host if this one has been out of step", func() {
		Expect(find(outOfStep, originReply{Known: true, Origin: v2})).To(HaveField("Origin.Software", "v2"))
	})

	// Guards against the same where the host that began the stream has ended, and its record is
	// stored only.
	It("is the stored one if another host knows several versions", func() {
		writer := &streamStore{host: memberHost(1, true), table: t}
		writer.add([]origin.Begun{{Origin: v2, Keys: []origin.Key{origin.NewKey("first")}}})
		Expect(writer.writeRows(context.Background())).To(BeTrue())
		Expect(find(outOfStep, several)).To(HaveField("Origin.Software", "v2"))
		Expect(find(0, several)).To(HaveField("Origin.Software", "v2"), "also if the list was current a moment ago")
	})

	// Guards against a host that is cut off from the others and from the platform and takes what it
	// has received before for all there is.
	It("is unknown if no other host and no store answers", func() {
		s := singleVersionOrigins(t, outOfStep, several)
		row := s.host.members.rows["b000"]
		row.Peer = "127.0.0.1:1" // nothing listens there
		s.host.members.rows["b000"] = row
		t.down = true
		Expect(s.Find(context.Background(), "llm", "first")).To(Equal(proxy.OriginUnknown{}))
	})

	// Guards against streams that are refused although they can have begun at one version only.
	It("is that version if the list of this host or of another one was current a moment ago", func() {
		Expect(find(0, originReply{})).To(HaveField("Origin.Software", "v1"))
		Expect(find(outOfStep, originReply{Single: "v1", Covered: true})).To(HaveField("Origin.Software", "v1"))
	})

	// Guards against streams that are all refused while the platform is away: no host has a
	// current list then.
	It("is that version if all hosts answer and know no other one", func() {
		t.down = true
		Expect(find(time.Minute, originReply{Single: "v1"})).To(HaveField("Origin.Software", "v1"))
		Expect(find(time.Minute, originReply{})).To(Equal(proxy.OriginUnknown{}), "a host of an older build states no versions")
	})

	// Guards against a stored record that is not read: the answers of hosts that have all been out
	// of step agree, or that of a host which has just started, and knows v2 only, counts for nothing.
	It("is the stored one whatever hosts with old lists answer", func() {
		writer := &streamStore{host: memberHost(1, true), table: t}
		writer.add([]origin.Begun{{Origin: v2, Keys: []origin.Key{origin.NewKey("first")}}})
		Expect(writer.writeRows(context.Background())).To(BeTrue())
		Expect(find(4*time.Second, originReply{Single: "v1"})).To(HaveField("Origin.Software", "v2"))
		Expect(find(0, originReply{Single: "v2"})).To(HaveField("Origin.Software", "v2"))
	})

	// Guards against a stream that goes on at v1, the only version that the host has received, although
	// v2 came and went while the host was cut off, and began it.
	It("is the stored one if the removal of an unknown target came", func() {
		writer := &streamStore{host: memberHost(1, true), table: t}
		writer.add([]origin.Begun{{Origin: v2, Keys: []origin.Key{origin.NewKey("first")}}})
		Expect(writer.writeRows(context.Background())).To(BeTrue())
		s := singleVersionOrigins(t, 0, originReply{})
		sinceRead := time.Minute // the list was first read before
		clock := relay.WithClock(func() time.Duration { return wire.BootTime() - sinceRead })
		s.host.platform, s.host.tables = discoveredTargets{}, relay.New(removedTarget{}, nil, clock)
		_, listed, err := s.host.tables.List(context.Background(), targetTable)
		Expect(err).NotTo(HaveOccurred())
		sinceRead = 0
		_, changed, err := s.host.tables.Changes(context.Background(), targetTable, listed, 0)
		Expect(err).NotTo(HaveOccurred())
		s.recordListRead(changed)
		Expect(s.Find(context.Background(), "llm", "first")).To(HaveField("Origin.Software", "v2"))
	})

	// Guards against hosts that are cut off together and take the refused connections to the others
	// for the end of those.
	It("is unknown if a host that has sent nothing for long refuses the connection", func() {
		s := singleVersionOrigins(t, time.Minute, originReply{Single: "v1"})
		ended := memberRow{Host: "b001", Zone: "z", Peer: "127.0.0.1:1", StoresStreams: true} // nothing listens there
		s.host.members.rows["b001"] = observedRow{memberRow: ended, firstSeen: wire.BootTime()}
		s.expectMessages()
		t.down = true
		find := func() proxy.OriginResult { return s.Find(context.Background(), "llm", "first") }
		Expect(find()).To(Equal(proxy.OriginUnknown{}))
		s.RecordSightings("b001", 0, true, nil)
		Expect(find()).To(HaveField("Origin.Software", "v1"), "its last message has come a moment ago")
	})

	// Guards against a few owners of a stream that are taken for all hosts where these are many.
	It("is unknown if only its owners answer with old lists", func() {
		s := singleVersionOrigins(t, time.Minute, originReply{Single: "v1"})
		for n := range maxDirectHosts {
			row := s.host.members.rows["b000"]
			row.Host = fmt.Sprint("c", n)
			s.host.members.rows[row.Host] = row
		}
		t.down = true
		Expect(s.Find(context.Background(), "llm", "first")).To(Equal(proxy.OriginUnknown{}))
	})
})
