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

	// Guards against a rollout that takes most engines out of service at once.
	It("selects a bounded share of the engines, the least loaded first", func() {
		next := roll.Plan(engines(18, 1), map[string]int{"m": 2}, 0)
		Expect(next).To(HaveLen(6))
		Expect(next[0].ID).To(Equal("e17"))
	})

	It("selects every engine over several plans until all have the desired weights", func() {
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

	// Guards against two orders at once to an engine with several models.
	It("selects an engine with several outdated models once, and counts it once", func() {
		var list []roll.Engine
		for i := range 18 {
			for _, model := range []string{"m", "n"} {
				list = append(list, roll.Engine{ID: fmt.Sprint("e", i), Service: "llm", Model: model, Version: 1})
			}
		}
		next := roll.Plan(list, map[string]int{"m": 2, "n": 2}, 0)
		ids := map[string]bool{}
		for _, e := range next {
			ids[e.ID] = true
		}
		Expect(next).To(HaveLen(6))
		Expect(ids).To(HaveLen(6))
	})

	It("skips engines that load, are down, wait for a retry or are up to date", func() {
		list := engines(4, 1)
		list[0].Order, list[1].Down, list[2].NotBefore, list[3].Version = roll.Sending, true, time.Second, 2
		Expect(roll.Plan(list, map[string]int{"m": 2}, 0)).To(BeEmpty())
	})
})

// singleEngine is an engine that loads every version it is ordered to. It also
// serves as the lease and the publisher of the host.
type singleEngine struct {
	mu       sync.Mutex
	version  int
	sequence uint64
	orders   []int
	// desired is the desired version, which becomes nextDesired when an order is
	// accepted.
	desired, nextDesired int
	published            []roll.Progress
}

func (f *singleEngine) FencingToken() (uint64, error) { return 1, nil }
func (f *singleEngine) AllowsUnfenced() bool          { return true }

func (f *singleEngine) Publish(_ context.Context, p roll.Progress) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.published = append(f.published, p)
	return nil
}

func (f *singleEngine) Report(context.Context, string) (roll.Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return roll.Report{Versions: map[string]int{"m": f.version}, Sequence: f.sequence}, nil
}

func (f *singleEngine) Order(_ context.Context, o roll.Order) (roll.OrderResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sequence++
	f.orders = append(f.orders, o.Version)
	f.version, f.desired = o.Version, f.nextDesired
	return roll.Accepted, nil
}

func (f *singleEngine) source() roll.Source {
	return roll.Source{
		DesiredVersions: func() map[string]int {
			f.mu.Lock()
			defer f.mu.Unlock()
			return map[string]int{"m": f.desired}
		},
		Engines: func() []roll.Engine {
			f.mu.Lock()
			defer f.mu.Unlock()
			return []roll.Engine{{ID: "e0", Service: "llm", Model: "m", Version: f.version}}
		},
		RecordVersion: func(string, string, int) {},
		ReportFailed:  func(string) {},
	}
}

var _ = Describe("a roller", func() {
	// Guards against publishing the version that became desired while an engine was
	// loading an older one. The engine would then reject the requests of other hosts
	// and would not be ordered again.
	It("publishes the version that an engine has loaded, not the one desired by then", func(ctx SpecContext) {
		f := &singleEngine{version: 1, desired: 2, nextDesired: 3}
		r := roll.New("a", f, f, f, f.source())
		runCtx, stop := context.WithCancel(ctx)
		done := make(chan struct{})
		go func() {
			defer close(done)
			defer GinkgoRecover()
			Expect(r.Run(runCtx)).To(Succeed())
		}()
		Eventually(func() int {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.version
		}, "5s", "5ms").Should(Equal(3))
		stop()
		<-done
		first := 0
		for _, p := range f.published {
			if v := p.Loaded["e0"]["m"]; v > 0 {
				first = v
				break
			}
		}
		Expect(first).To(Equal(2))
		Expect(f.orders).To(Equal([]int{2, 3}))
		for i, p := range f.published {
			Expect(p.FencingToken).To(Equal(uint64(1)))
			Expect(p.Number).To(BeNumerically(">", i), "the order of the publications")
			if i > 0 {
				Expect(p.Number).To(BeNumerically(">", f.published[i-1].Number))
			}
		}
	}, SpecTimeout(20*time.Second))
})
