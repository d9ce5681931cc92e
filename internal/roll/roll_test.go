package roll_test

import (
	"fmt"
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
