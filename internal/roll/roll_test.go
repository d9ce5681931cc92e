package roll_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sesamehill.example/sesamehill/internal/roll"
)

func TestRoll(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "roll")
}

var _ = Describe("Plan", func() {
	engines := func(n, version int) []roll.Engine {
		out := make([]roll.Engine, n)
		for i := range out {
			out[i] = roll.Engine{ID: fmt.Sprint("e", i), Service: "llm", Model: "m", Version: version, Calls: n - i}
		}
		return out
	}

	// Guards against a rollout that takes most engines away at once.
	It("takes a bounded share of the engines, the least busy first", func() {
		next := roll.Plan(engines(18, 1), map[string]int{"m": 2}, 0)
		Expect(next).To(HaveLen(6))
		Expect(next[0].ID).To(Equal("e17"))
	})

	It("brings every engine to the named weights in the end", func() {
		list := engines(9, 1)
		for range 5 {
			for _, e := range roll.Plan(list, map[string]int{"m": 3}, 0) {
				for i := range list {
					if list[i].ID == e.ID {
						list[i].Version = 3
					}
				}
			}
		}
		Expect(roll.Plan(list, map[string]int{"m": 3}, 0)).To(BeEmpty())
		for _, e := range list {
			Expect(e.Version).To(Equal(3))
		}
	})

	It("leaves alone what loads, is down, was tried a moment ago or is current", func() {
		list := engines(4, 1)
		list[0].Loading, list[1].Down, list[2].Until, list[3].Version = true, true, time.Second, 2
		Expect(roll.Plan(list, map[string]int{"m": 2}, 0)).To(BeEmpty())
	})
})

// fleetOfOne is one engine that loads what it is ordered, and the host's fence
// and board.
type fleetOfOne struct {
	mu       sync.Mutex
	version  int
	sequence uint64
	orders   []int
	// named is the version named; next is named while an order is carried out.
	named, next int
	told        []roll.Progress
}

func (f *fleetOfOne) Fence() (uint64, error) { return 1, nil }
func (f *fleetOfOne) Unfenced() bool         { return true }

func (f *fleetOfOne) Publish(_ context.Context, p roll.Progress) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.told = append(f.told, p)
	return nil
}

func (f *fleetOfOne) Report(context.Context, string) (roll.Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return roll.Report{Versions: map[string]int{"m": f.version}, Sequence: f.sequence}, nil
}

func (f *fleetOfOne) Order(_ context.Context, o roll.Order) (roll.Answer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sequence++
	f.orders = append(f.orders, o.Version)
	f.version, f.named = o.Version, f.next
	return roll.Accepted, nil
}

func (f *fleetOfOne) source() roll.Source {
	return roll.Source{
		Named: func() map[string]int {
			f.mu.Lock()
			defer f.mu.Unlock()
			return map[string]int{"m": f.named}
		},
		Engines: func() []roll.Engine {
			f.mu.Lock()
			defer f.mu.Unlock()
			return []roll.Engine{{ID: "e0", Service: "llm", Model: "m", Version: f.version}}
		},
		Learn: func(string, string, int) {},
	}
}

var _ = Describe("a roller", func() {
	// Guards against hosts that believe an engine to have weights which were named
	// while it loaded older ones: their requests are turned away there, and the
	// engine is not ordered again.
	It("tells of the weights that an engine has, not of those named meanwhile", func(ctx SpecContext) {
		f := &fleetOfOne{version: 1, named: 2, next: 3}
		r := roll.New("a", f, f, f, f.source())
		ctx2, stop := context.WithCancel(ctx)
		done := make(chan struct{})
		go func() {
			defer close(done)
			defer GinkgoRecover()
			Expect(r.Run(ctx2)).To(Succeed())
		}()
		Eventually(func() int {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.version
		}, "5s", "5ms").Should(Equal(3))
		stop()
		<-done
		first := 0
		for _, p := range f.told {
			if v := p.Loaded["e0"]["m"]; v > 0 {
				first = v
				break
			}
		}
		Expect(first).To(Equal(2))
		Expect(f.orders).To(Equal([]int{2, 3}))
	}, SpecTimeout(20*time.Second))
})
