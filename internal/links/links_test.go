package links_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"sesamehill.example/sesamehill/internal/links"
	_ "sesamehill.example/sesamehill/internal/seeds"
	"sesamehill.example/sesamehill/pkg/chain"
)

const rate = 3.75e6

var (
	start = time.Unix(1_800_000_000, 0)
	conf  = links.Config{Rate: rate, Delay: 20 * time.Millisecond}
)

func TestLinks(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "links")
}

func transfer(id uint64, block byte, bytes int64, value float64, p links.Purpose) links.Transfer {
	return links.Transfer{ID: id, Block: chain.Key{block}, Bytes: bytes, Value: value, Charge: links.Charge{Account: "a", Purpose: p}}
}

func ids(ts []links.Transfer) (out []uint64) {
	for _, t := range ts {
		out = append(out, t.ID)
	}
	return out
}

var _ = Describe("Link", func() {
	// Guards against a prefetch or a transfer of low value delaying a more valuable one.
	It("starts control first, then value per byte, and prefetches on an idle link only", func() {
		l := links.New(conf, start)
		for _, t := range []links.Transfer{
			transfer(1, 1, 4e6, 1, links.Import), transfer(2, 2, 4e6, 9, links.Prefetch),
			transfer(3, 3, 2e6, 1, links.Export), transfer(4, 4, 1000, 0, links.Control),
		} {
			l.Submit(t, start)
		}
		Expect(ids(l.Next(start))).To(Equal([]uint64{4, 3, 1}))
		l.Done(4, 1000, start.Add(time.Second))
		l.Done(3, 2e6, start.Add(time.Second))
		l.Done(1, 4e6, start.Add(time.Second))
		Expect(l.Next(start.Add(time.Second))).To(BeEmpty())
		Expect(ids(l.Next(start.Add(3 * time.Second)))).To(Equal([]uint64{2}))
	})

	// Guards against paying twice for a block that two requests wait for.
	It("moves a block once for all waiters and accounts its bytes", func() {
		l := links.New(conf, start)
		Expect(l.Submit(transfer(1, 7, 1e6, 1, links.Import), start)).To(Equal(links.Queued{}))
		Expect(l.Submit(transfer(2, 7, 1e6, 1, links.Import), start)).To(Equal(links.Joined{Leader: 1}))
		Expect(ids(l.Next(start))).To(Equal([]uint64{1}))
		Expect(l.Submit(transfer(3, 7, 1e6, 1, links.Import), start)).To(Equal(links.Joined{Leader: 1}))
		Expect(l.Cancel(1)).To(BeFalse())
		Expect(l.Done(1, 4e5, start.Add(time.Second))).To(Equal([]uint64{2, 3}))
		Expect(l.Bytes()).To(Equal(map[links.Charge]int64{{Account: "a", Purpose: links.Import}: 4e5}))
	})

	// Guards against imports over a link whose rate dropped to a tenth, and
	// against a link that stays unused after it recovered.
	It("detects a drop to a tenth of the rate within 3 seconds and recovers", func() {
		l := links.New(conf, start)
		l.Submit(transfer(1, 1, 1e8, 1, links.Import), start)
		l.Next(start)
		for s := 1; s <= 3; s++ {
			l.Progress(1, int64(s*rate/10), start.Add(time.Duration(s)*time.Second))
		}
		Expect(l.Rate(start.Add(3 * time.Second))).To(BeNumerically("<", 0.2*rate))
		Expect(l.Rate(start.Add(3 * time.Minute))).To(BeNumerically(">", 0.9*rate))
	})

	// Guards against a busy host limited to the equal split while its peers are
	// idle.
	It("lends to the host with the demand, and splits equally after the loans expire", func() {
		hosts := make([]*links.Link, 6)
		for i := range hosts {
			hosts[i] = links.New(conf, start)
			hosts[i].SetHosts(6, start)
		}
		hosts[0].Submit(transfer(1, 1, 1e8, 1, links.Import), start)
		for _, h := range hosts[1:] {
			hosts[0].Borrow(h.Lend(hosts[0].RateShortfall(start), start), start)
		}
		Expect(hosts[0].Share(start)).To(BeNumerically("~", rate*(1+5.0/2)/6, 1))
		for _, h := range hosts {
			Expect(h.Share(start.Add(links.LoanTerm))).To(BeNumerically("~", rate/6, 1))
		}
	})
})

// Guards against shares that add up to more than the link's rate, over random
// demand and loans that arrive after a delay or are lost.
func TestSharesStayWithinTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := func(n string, low, high int) int { return rapid.IntRange(low, high).Draw(t, n) }
		sample := func(n string, v ...int) int { return rapid.SampledFrom(v).Draw(t, n) }
		hosts, now := make([]*links.Link, count("hosts", 1, 5)), start
		for i := range hosts {
			hosts[i] = links.New(conf, start)
			hosts[i].SetHosts(len(hosts), start)
		}
		type loan struct {
			to   int
			rate float64
			at   time.Time
		}
		var inTransit []loan
		for id := range uint64(count("steps", 20, 80)) {
			i, j := count("host", 0, len(hosts)-1), count("peer", 0, len(hosts)-1)
			switch count("step", 0, 3) {
			case 0:
				hosts[i].Submit(transfer(id+1, 0, int64(sample("bytes", 1e4, 1e7, 1e9)), 1, links.Import), now)
			case 1:
				if i != j {
					if r := hosts[j].Lend(hosts[i].RateShortfall(now), now); sample("lost", 0, 0, 0, 1) == 0 {
						inTransit = append(inTransit, loan{i, r, now.Add(time.Duration(sample("delay", 0, 1000, 2000)) * time.Millisecond)})
					}
				}
			default:
				now = now.Add(time.Duration(sample("ms", 10, 1000, 1500)) * time.Millisecond)
			}
			inTransit = slices.DeleteFunc(inTransit, func(f loan) bool {
				if f.at.After(now) {
					return false
				}
				// The loan starts at its arrival time, which may be before now.
				hosts[f.to].Borrow(f.rate, f.at)
				return true
			})
			total := 0.0
			for _, h := range hosts {
				total += h.Share(now)
			}
			if total > rate*(1+1e-9) {
				t.Fatalf("shares add up to %g of %g", total, rate)
			}
		}
	})
}

// Guards against lost or duplicated transfers, wrong accounting, more bytes than
// the share allows, and an order other than sorting by purpose and value per byte.
func TestTransfersMatchPlainQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := func(n string, low, high int) int { return rapid.IntRange(low, high).Draw(t, n) }
		l, now := links.New(conf, start), start
		purposes := []links.Purpose{links.Control, links.Import, links.Export, links.Prefetch}
		rank := map[links.Purpose]int{links.Control: 0, links.Import: 1, links.Export: 1, links.Prefetch: 2}
		waiting, running := map[uint64]links.Transfer{}, map[uint64]links.Transfer{}
		movedBytes, startedBytes, served := map[links.Charge]int64{}, 0.0, map[uint64]int{}
		largest := 0.0
		for id := range uint64(count("steps", 1, 50)) {
			switch count("step", 0, 2) {
			case 0:
				x := transfer(id+1, 0, int64(rapid.SampledFrom([]int{1, 1e5, 3e6, 5e6}).Draw(t, "bytes")), float64(count("value", 0, 9)), purposes[count("purpose", 0, 3)])
				waiting[x.ID] = x
				l.Submit(x, now)
			case 1:
				now = now.Add(time.Duration(count("ms", 0, 3000)) * time.Millisecond)
			case 2:
				for k, x := range running {
					n := int64(count("moved", 0, int(x.Bytes)))
					for _, w := range l.Done(k, n, now) {
						if served[w]++; served[w] > 1 {
							t.Fatalf("transfer %d completed twice", w)
						}
					}
					movedBytes[x.Charge] += n
					if x.Purpose != links.Control {
						startedBytes -= float64(x.Bytes - n)
					}
					delete(running, k)
					break
				}
			}
			for _, x := range l.Next(now) {
				for _, y := range waiting {
					a, b := rank[x.Purpose], rank[y.Purpose]
					if b < a || (a == b && y.Value*float64(x.Bytes) > x.Value*float64(y.Bytes)) {
						t.Fatalf("%+v started before %+v", x, y)
					}
				}
				delete(waiting, x.ID)
				running[x.ID] = x
				startedBytes += float64(x.Bytes)
				if x.Purpose == links.Control {
					startedBytes -= float64(x.Bytes)
				} else {
					largest = max(largest, float64(x.Bytes))
				}
			}
			if limit := rate*(now.Sub(start).Seconds()+1) + largest; startedBytes > limit {
				t.Fatalf("started %g bytes of %g", startedBytes, limit)
			}
		}
		for k, x := range running {
			l.Done(k, x.Bytes, now)
			movedBytes[x.Charge] += x.Bytes
		}
		if got := l.Bytes(); !maps.Equal(got, movedBytes) {
			t.Fatalf("accounted %v of %v bytes", got, movedBytes)
		}
	})
}

func BenchmarkLink(b *testing.B) {
	for _, n := range []int{10, 1000} {
		b.Run(fmt.Sprintf("waiting=%d", n), func(b *testing.B) {
			l, now, id := links.New(conf, start), start, uint64(0)
			step := func() {
				id++
				l.Submit(transfer(id, 0, 3750, float64(id%97), links.Import), now)
			}
			for range n {
				step()
			}
			b.ReportAllocs()
			for b.Loop() {
				step()
				now = now.Add(time.Millisecond)
				for _, t := range l.Next(now) {
					l.Done(t.ID, t.Bytes, now)
				}
			}
		})
	}
}
