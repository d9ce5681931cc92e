package room_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sesamehill.example/sesamehill/internal/room"
)

// overload plays hosts with more requests than the engines can take, which see the calls of
// each other some time later. It returns the most calls at one engine and the calls that the
// engines ran on average.
func overload(paced bool) (most int, mean float64) {
	const (
		hosts, engines, slots = 80, 30, 16
		stepMs, updateMs      = 10, 350
		callMs, endMs         = 1000, 10000
	)
	type call struct{ host, engine, end int }
	r := rand.New(rand.NewPCG(3, 5))
	paces := make([]room.Pace, hosts)
	var total, seen [engines]int
	var own, ownSeen [hosts][engines]int
	var running []call
	request, sum := room.Load{Calls: 1, Tokens: 1}, 0
	for now := 0; now < endMs; now += stepMs {
		left := running[:0]
		for _, c := range running {
			if c.end > now {
				left = append(left, c)
				continue
			}
			total[c.engine]--
			own[c.host][c.engine]--
		}
		running = left
		if now%updateMs == 0 {
			seen, ownSeen = total, own
		}
		for h := range hosts {
			view := make([]room.Engine, engines)
			var open []int
			for e := range view {
				held := float64(seen[e] + own[h][e] - ownSeen[h][e])
				view[e] = room.Engine{Held: room.Load{Calls: held, Tokens: held}, Limit: room.Load{Calls: slots, Tokens: slots}}
				if held < slots {
					open = append(open, e)
				}
			}
			free := room.Free(view)
			if len(open) == 0 || paced && paces[h].Wait(request, free, 1.0/hosts, time.Duration(now)*time.Millisecond) > 0 {
				continue
			}
			paces[h].Sent(request, free)
			e := open[r.IntN(len(open))]
			total[e]++
			own[h][e]++
			running = append(running, call{h, e, now + callMs/2 + r.IntN(callMs)})
			most = max(most, total[e])
		}
		sum += len(running)
	}
	return most, float64(sum) / (endMs / stepMs) / engines
}

// Guards against hosts that all fill the same free room before they receive the loads of each
// other: engines of 16 slots got four times as many calls as soon as some of them ended.
var _ = Describe("many hosts with more requests than room", func() {
	It("send no more than their share of the room that they see", func() {
		most, mean := overload(true)
		mostUnpaced, _ := overload(false)
		Expect(mostUnpaced).To(BeNumerically(">", 3*16))
		Expect(most).To(BeNumerically("<", 2*16))
		Expect(mean).To(BeNumerically(">", 0.6*16))
	})

	It("leave room for one that has just started", func() {
		Expect(room.Share(0, 1500, 80)).To(BeNumerically("~", 0.5/80))
		Expect(room.Share(30, 1500, 50)).To(BeNumerically("~", 0.02))
	})
})
