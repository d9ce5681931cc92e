package hail

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/relay"
	"sesamehill.example/sesamehill/internal/roll"
)

// notes are weights and tables that remember what they were told.
type notes struct {
	mu       sync.Mutex
	progress *roll.Progress
	leads    bool
	ages     map[string]Named
	learned  *roll.Progress
	known    map[string]map[string]Named
	versions map[string]relay.Seen
	heard    map[string]relay.Seen
}

func (n *notes) locked(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
}

func (n *notes) Progress() (p *roll.Progress) { n.locked(func() { p = n.progress }); return p }
func (n *notes) Learn(p roll.Progress)        { n.locked(func() { n.learned = &p }) }
func (n *notes) Leads() (l bool)              { n.locked(func() { l = n.leads }); return l }
func (n *notes) Ages() (a map[string]Named)   { n.locked(func() { a = n.ages }); return a }

func (n *notes) Heard(host, model string, v Named) { n.Acknowledged(host, model, v) }

func (n *notes) Acknowledged(host, model string, v Named) {
	n.locked(func() { n.known[host] = map[string]Named{model: v} })
}

func (n *notes) Known(hosts []string) map[string]map[string]Named {
	out := map[string]map[string]Named{}
	n.locked(func() {
		for h, v := range n.known {
			for _, name := range hosts {
				if name == h {
					out[h] = v
				}
			}
			if hosts == nil {
				out[h] = v
			}
		}
	})
	return out
}

func (n *notes) Versions() (v map[string]relay.Seen) { n.locked(func() { v = n.versions }); return v }

func (n *notes) Announced(_ string, v map[string]relay.Seen) { n.locked(func() { n.heard = v }) }

// Guards against hosts of many that learn nothing, or too much, or count the same
// calls twice, because they follow hubs instead of telling everybody.
var _ = Describe("followers and hubs", func() {
	const hosts, hubs = 6, 2
	var addresses [hosts]string
	var fleets [hosts]*fleet.Fleet
	var known [hosts]*notes
	var stop [hosts]context.CancelFunc
	BeforeEach(func() {
		var running sync.WaitGroup
		for i := range addresses {
			c, err := net.ListenPacket("udp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			addresses[i] = c.LocalAddr().String()
			Expect(c.Close()).To(Succeed())
			fleets[i], known[i] = fleet.New(), &notes{known: map[string]map[string]Named{}}
			fleets[i].Put(fleet.Target{ID: "e", Service: "llm", Address: "10.0.0.1:80"})
		}
		known[0].versions = map[string]relay.Seen{"op": {Version: 7}}
		known[1].versions = map[string]relay.Seen{"op": {Version: 7}}
		for i := range addresses {
			topology := func() Topology {
				if i < hubs {
					return Topology{Near: []string{addresses[1-i]}, Leader: addresses[0]}
				}
				return Topology{Hubs: []string{addresses[i%hubs], addresses[1-i%hubs]}}
			}
			h := New(addresses[i], fmt.Sprint("host-", i), fleets[i], topology, WithWeights(known[i]), WithTables(known[i]))
			var ctx context.Context
			ctx, stop[i] = context.WithCancel(context.Background())
			running.Go(func() {
				defer GinkgoRecover()
				Expect(h.Run(ctx)).To(Succeed())
			})
		}
		DeferCleanup(func() {
			for _, s := range stop {
				s()
			}
			running.Wait()
		})
	})
	others := func(i int) func() int {
		return func() int { return fleets[i].Serving("llm")[0].Others.Calls }
	}

	It("tell each host what all others have in flight, once", func() {
		for i := range hosts {
			for range i + 1 {
				a := fleets[i].Begin("e", fleet.Flight{Tokens: 10})
				DeferCleanup(func() { a.End(fleet.Left) })
			}
		}
		const all = hosts * (hosts + 1) / 2
		for i := range hosts {
			Eventually(others(i), "3s", "10ms").Should(Equal(all - i - 1))
			Consistently(others(i), "300ms", "10ms").Should(Equal(all - i - 1))
		}
	})

	It("go on with another hub when one is gone", func() {
		a := fleets[3].Begin("e", fleet.Flight{Tokens: 10})
		defer a.End(fleet.Left)
		Eventually(others(5), "3s", "10ms").Should(Equal(1))
		stop[1]()
		began := time.Now()
		b := fleets[3].Begin("e", fleet.Flight{Tokens: 10})
		defer b.End(fleet.Left)
		Eventually(others(5), "3s", "10ms").Should(Equal(2))
		Expect(time.Since(began)).To(BeNumerically("<", 2*time.Second))
	})

	It("pass on the orders of a follower and, to it alone, who knows of the weights", func() {
		known[2].locked(func() {
			known[2].progress, known[2].leads = &roll.Progress{Loading: []string{"e"}}, true
		})
		known[5].locked(func() { known[5].ages = map[string]Named{"m": {Version: 2}} })
		for _, i := range []int{0, 1, 3, 4, 5} {
			Eventually(func() (p *roll.Progress) {
				known[i].locked(func() { p = known[i].learned })
				return p
			}, "3s", "10ms").ShouldNot(BeNil())
		}
		knows := func(i int) func() (v Named) {
			return func() (v Named) {
				known[i].locked(func() { v = known[i].known["host-5"]["m"] })
				return v
			}
		}
		Eventually(func() int { return knows(2)().Version }, "3s", "10ms").Should(Equal(2))
		Consistently(func() int { return knows(4)().Version }, "300ms", "20ms").Should(BeZero())
	})

	It("tell which versions of the tables are known", func() {
		for _, i := range []int{1, 2, 3, 4, 5} {
			Eventually(func() (v uint64) {
				known[i].locked(func() { v = known[i].heard["op"].Version })
				return v
			}, "3s", "10ms").Should(Equal(uint64(7)))
		}
	})
})

// Guards against messages that no longer fit a datagram, or fill the links of hubs,
// where targets are thousands.
var _ = Describe("messages about thousands of targets", func() {
	many := func() (*fleet.Fleet, *Hailer) {
		f := fleet.New()
		var targets []fleet.Target
		for i := range 3000 {
			targets = append(targets, fleet.Target{ID: fmt.Sprintf("i-%010d", i), Service: "llm", Address: "10.0.0.1:80"})
		}
		f.Replace(targets)
		for i, t := range targets {
			for range 1 + i%2 {
				f.Begin(t.ID, fleet.Flight{Tokens: 100_000, Unread: 100_000, Fetching: 100_000})
			}
		}
		return f, New("", "hub", f, nil)
	}

	It("fit a datagram with the busiest targets", func() {
		_, h := many()
		for _, m := range []Message{h.message(News), h.message(Question), h.answer(Message{Host: "a"})} {
			b, err := cbor.Marshal(m)
			Expect(err).NotTo(HaveOccurred())
			Expect(len(b)).To(BeNumerically("<=", maxDatagram))
			Expect(m.Flights).To(HaveLen(maxFlights))
			for _, f := range m.Flights {
				Expect(f.Calls).To(Equal(2))
			}
		}
		Expect(h.answer(Message{Host: "a", Brief: true}).Flights).To(BeNil())
	})

	It("come as often as the link allows, and brief ones change nothing", func() {
		f := fleet.New()
		f.Put(fleet.Target{ID: "e", Service: "llm", Address: "10.0.0.1:80"})
		h := New("", "follower", f, nil)
		h.hubs.next([]string{"hub"}, 0)
		calls := map[string]fleet.Flight{"e": {Calls: 3}}
		Expect(h.take(Message{Host: "hub", Kind: Answer, Flights: calls}, "hub", askBytes/10)).To(BeTrue())
		Expect(h.brief()).To(BeTrue())
		Expect(h.take(Message{Host: "hub", Kind: Answer, Brief: true}, "hub", 100)).To(BeTrue())
		Expect(f.Serving("llm")[0].Others.Calls).To(Equal(3))
		Eventually(h.brief, "1s", "10ms").Should(BeFalse())
	})
})

// Guards against followers that stay with a hub which is silent or knows nothing,
// or leave one for a single lost message.
var _ = Describe("the choice of a hub", func() {
	hubs := []string{"a", "b", "c"}
	It("stays with the first one that answers", func() {
		var c choice
		for i := range 20 {
			Expect(c.next(hubs, time.Duration(i)*askPeriod)).To(Equal("a"))
			if i%2 == 0 {
				Expect(c.answered("a", false)).To(BeTrue())
			}
		}
	})
	It("goes to the next one after three questions, and comes back", func() {
		var c choice
		asked := ""
		for i := range 5 {
			asked += c.next(hubs, time.Duration(i)*askPeriod)
		}
		Expect(asked).To(Equal("aaabb"))
		Expect(c.answered("a", false)).To(BeFalse())
		Expect(c.answered("b", false)).To(BeTrue())
		Expect(c.next(hubs, returnAfter+2*time.Second)).To(Equal("a"))
	})
	It("leaves one that does not know the tables, after a time", func() {
		var c choice
		Expect(c.next(hubs, 0)).To(Equal("a"))
		c.answered("a", true)
		Expect(c.next(hubs, time.Second)).To(Equal("a"))
		c.answered("a", true)
		Expect(c.next(hubs, blindAfter+time.Second)).To(Equal("b"))
	})
	It("begins anew when the hubs change, and knows none if there are none", func() {
		var c choice
		Expect(c.next(hubs, 0)).To(Equal("a"))
		Expect(c.next([]string{"d"}, 0)).To(Equal("d"))
		Expect(c.next(nil, 0)).To(BeEmpty())
		Expect(c.answered("d", false)).To(BeFalse())
	})
})
