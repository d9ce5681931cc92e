package gossip

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/wire"
)

// Guards against hosts that receive the backlog of engines only when it is over, and against
// messages with load that fill a slow link.
var _ = Describe("the pace of in-flight load", func() {
	hubs := Topology{Hubs: []string{"hub"}}
	reply := func(e *Exchange, calls, bytes int) {
		loads := map[string]fleet.InFlight{}
		if calls > 0 {
			loads["e"] = fleet.InFlight{Calls: calls}
		}
		Expect(e.recordLoad(Message{Host: "hub", Kind: Reply, InFlight: loads}, "hub", bytes)).To(BeTrue())
	}
	// queried returns how many queries are due in a second of rounds.
	queried := func(e *Exchange, calls, bytes int) int {
		count := 0
		for end := wire.BootTime() + time.Second; wire.BootTime() < end; time.Sleep(hubs.interval()) {
			if hub, due := e.nextHub(hubs); due {
				Expect(hub).To(Equal("hub"))
				count++
				reply(e, calls, bytes)
			}
		}
		return count
	}
	It("requests load more often while calls are in flight", func() {
		e := New("", "follower", fleet.New(), nil, WithLink(10))
		Expect(queried(e, 3, 2000)).To(BeNumerically(">=", 10))
	})
	It("sends few queries while nothing is in flight", func() {
		e := New("", "follower", fleet.New(), nil, WithLink(10))
		Expect(queried(e, 0, 2000)).To(BeNumerically("<=", 6))
	})
	It("keeps to a share of the link", func() {
		e := New("", "follower", fleet.New(), nil, WithLink(10))
		Expect(queried(e, 3, 16000)).To(BeNumerically("<=", 6))
	})
	It("omits load from a hub's replies beyond its rate", func() {
		e := New("", "hub", fleet.New(), nil)
		e.replies.sent(hubReplyBytesPerSecond, e.loadRate(hubReplyBytesPerSecond, hubReplyLinkShare), wire.BootTime())
		Expect(e.reply(Message{Host: "follower", Kind: Query}).OmitsLoad).To(BeTrue())
	})
	It("grows with the link", func() {
		Expect(New("", "hub", nil, nil, WithLink(200)).loadRate(hubReplyBytesPerSecond, hubReplyLinkShare)).To(Equal(2500000))
		Expect(New("", "hub", nil, nil).loadRate(hubReplyBytesPerSecond, hubReplyLinkShare)).To(Equal(hubReplyBytesPerSecond))
	})
})
