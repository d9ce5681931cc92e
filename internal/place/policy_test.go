package place_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sesamehill.example/sesamehill/internal/place"
)

// Guards against baselines that place worse than the policies they are named after,
// which would make the Cost policy look better than it is.
var _ = Describe("a placement policy", func() {
	engines := func(calls ...int) []place.Candidate {
		out := make([]place.Candidate, 0, len(calls))
		for i, n := range calls {
			out = append(out, place.Candidate{ID: fmt.Sprint("e", i), Calls: n, Slots: 4})
		}
		return out
	}
	chosen := func(r *place.Rule, affinityKey string, cs []place.Candidate) string {
		switch c := r.ChooseEngine(place.Work{Subject: affinityKey}, cs, place.DefaultCosts()).(type) {
		case place.Selected:
			return cs[c.Index].ID
		case place.Full:
			return "full"
		}
		return "none"
	}

	It("turns uses each engine once per round and skips full ones", func() {
		r := place.NewRule(place.RoundRobin)
		seen := map[string]int{}
		for range 6 {
			seen[chosen(r, "s", engines(0, 0, 0))]++
		}
		Expect(seen).To(Equal(map[string]int{"e0": 2, "e1": 2, "e2": 2}))
		for range 6 {
			Expect(chosen(r, "s", engines(4, 0, 4))).To(Equal("e1"))
		}
	})

	It("least compares the shares of slots in use", func() {
		cs := engines(3, 2)
		cs[0].Slots = 12
		Expect(chosen(place.NewRule(place.LeastLoaded), "s", cs)).To(Equal("e0"))
	})

	It("prefix stays with one engine while it has a free slot", func() {
		r := place.NewRule(place.Prefix)
		preferred := chosen(r, "s", engines(0, 0, 0, 0))
		Expect(chosen(r, "s", engines(3, 3, 3, 3))).To(Equal(preferred))
		full := engines(0, 0, 0, 0)
		for i := range full {
			if full[i].ID == preferred {
				full[i].Calls = 4
			}
		}
		Expect(chosen(r, "s", full)).NotTo(Equal(preferred))
	})

	It("returns Full while all engines are full and NoCandidate if all are down", func() {
		for _, p := range place.Policies()[1:] {
			r := place.NewRule(p)
			Expect(chosen(r, "s", engines(4, 4))).To(Equal("full"))
			down := engines(0)
			down[0].Down = true
			Expect(chosen(r, "s", down)).To(Equal("none"))
			Expect(chosen(r, "s", nil)).To(Equal("none"))
		}
	})

	It("is parsed from a name; an unknown name is an error that lists the policies", func() {
		Expect(place.ParsePolicy("")).To(Equal(place.Cost))
		_, err := place.ParsePolicy("best")
		Expect(err).To(MatchError(ContainSubstring("cost prefix least turns")))
	})
})
