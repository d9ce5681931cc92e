package place_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pelletier/go-toml/v2"

	"sesamehill.example/sesamehill/internal/place"
)

func TestPlace(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "place")
}

// script is one placement decision with its candidates.
type script struct {
	Name       string
	Work       *place.Work
	Candidates []place.Candidate
	Want       string
	// PrefillMs and PlainMs are the measured times of the service; zero if it is not measured.
	PrefillMs, PlainMs float64
}

// Guards against placement decisions that scored worse in a load test. Each case is
// named for its load pattern.
var _ = Describe("a placement decision", func() {
	b, err := os.ReadFile("testdata/decisions.toml")
	if err != nil {
		panic(err)
	}
	var scripts struct{ Decision []script }
	if err := toml.Unmarshal(b, &scripts); err != nil {
		panic(err)
	}
	for _, s := range scripts.Decision {
		It(s.Name, func() {
			var choice place.Choice
			costs := place.DefaultCosts().WithSpeed(s.PrefillMs, s.PlainMs)
			if s.Work != nil {
				choice = place.ChooseEngine(*s.Work, s.Candidates, costs)
			} else {
				choice = place.ChooseTarget(s.Candidates, costs)
			}
			got := ""
			switch c := choice.(type) {
			case place.Selected:
				got = s.Candidates[c.Index].ID
			case place.Full:
				got = "full"
			case place.NoCandidate:
				got = "none"
			}
			Expect(got).To(Equal(s.Want))
		})
	}
})

// Guards against affinity keys that change their preferred engine when another
// engine joins or leaves, which makes every engine prefill their shared parts
// again.
var _ = Describe("the preferred engine", func() {
	It("changes only for the affinity keys of an engine that leaves", func() {
		cs := make([]place.Candidate, 18)
		for i := range cs {
			cs[i].ID = fmt.Sprint("engine-", i)
		}
		moved := 0
		for i := range 2000 {
			affinityKey := fmt.Sprint("subject-", i)
			before := place.Preferred(affinityKey, cs)
			without := append(append([]place.Candidate{}, cs[:4]...), cs[5:]...)
			after := without[place.Preferred(affinityKey, without)].ID
			if before != 4 {
				Expect(after).To(Equal(cs[before].ID))
				continue
			}
			moved++
		}
		Expect(moved).To(BeNumerically("~", 2000/18, 40))
	})

	It("is chosen in proportion to the weights with weighted scores", func() {
		wins := 0
		const n = 20000
		for i := range n {
			key := fmt.Sprint("part-", i)
			if place.WeightedScore(place.RendezvousScore(key, "large"), 5) > place.WeightedScore(place.RendezvousScore(key, "small"), 1) {
				wins++
			}
		}
		Expect(float64(wins) / n).To(BeNumerically("~", 5.0/6, 0.01))
	})
})

// replay plays a returning-prompt load against a placement. The engines prefill 64
// tokens per millisecond and keep the shared parts of an affinity key for 4 s. It
// returns the number of shared tokens that were prefilled again and the largest
// backlog in milliseconds.
func replay(choose func(place.Work, []place.Candidate) int) (recomputed int, backlog float64) {
	r := rand.New(rand.NewPCG(7, 11))
	const engines = 12
	busyUntil := make([]float64, engines)
	residentSince := make([]map[string]float64, engines)
	for i := range residentSince {
		residentSince[i] = map[string]float64{}
	}
	prefilled := map[string]bool{}
	for now := 0.0; now < 30000; now += 25 {
		affinityKey := fmt.Sprint("subject-", int(math.Floor(200*math.Pow(r.Float64(), 1.5))))
		w := place.Work{Subject: affinityKey, Shared: 9000, Own: 2800}
		cs := make([]place.Candidate, engines)
		for i := range cs {
			remaining := math.Max(busyUntil[i]-now, 0)
			cs[i] = place.Candidate{ID: fmt.Sprint("engine-", i), Unread: int(remaining * 64), Calls: int(remaining / 150)}
			if at, ok := residentSince[i][affinityKey]; ok && now-at < 4000 {
				cs[i].Resident = w.Shared
			}
		}
		i := choose(w, cs)
		missing := w.Shared - cs[i].Resident
		if missing > 0 && prefilled[affinityKey] {
			recomputed += missing
		}
		prefilled[affinityKey] = true
		residentSince[i][affinityKey] = now
		busyUntil[i] = math.Max(busyUntil[i], now) + float64(w.Own+missing)/64
		backlog = math.Max(backlog, busyUntil[i]-now)
	}
	return recomputed, backlog
}

// Guards against placement by load alone, which prefilled 18 million tokens again
// in a day, and against placement by affinity key alone, which overloads single
// engines.
var _ = Describe("returning prompts under high load", func() {
	byCost := func(w place.Work, cs []place.Candidate) int {
		at, ok := place.ChooseEngine(w, cs, place.DefaultCosts()).(place.Selected)
		if !ok {
			return place.Preferred(w.Subject, cs)
		}
		return at.Index
	}
	byLoad := func(_ place.Work, cs []place.Candidate) int {
		best := 0
		for i := range cs {
			if cs[i].Unread < cs[best].Unread {
				best = i
			}
		}
		return best
	}
	byAffinity := func(w place.Work, cs []place.Candidate) int { return place.Preferred(w.Subject, cs) }

	It("cause less recomputation than by load alone and less backlog than by affinity key alone", func() {
		recomputed, backlog := replay(byCost)
		recomputedLeast, _ := replay(byLoad)
		_, backlogAffinity := replay(byAffinity)
		Expect(recomputed).To(BeNumerically("<", recomputedLeast*3/4))
		Expect(backlog).To(BeNumerically("<", backlogAffinity))
	})
})

// staleViewReplay plays hosts whose view of the calls of other hosts is up to
// updateMs old. It returns the share of requests that reach an engine without a free
// slot.
func staleViewReplay(k place.Costs) float64 {
	const (
		hosts, engines, slots = 77, 140, 12
		updateMs, callMs      = 750, 420
		arrivals              = 20000
	)
	type call struct{ host, engine, end int }
	r := rand.New(rand.NewPCG(3, 5))
	own := [hosts][engines]int{}
	lastTotal, total := [engines]int{}, [engines]int{}
	var inFlight []call
	rejected, updated := 0, 0
	for n := range arrivals {
		now := n // one a millisecond
		unfinished := inFlight[:0]
		for _, c := range inFlight {
			if c.end > now {
				unfinished = append(unfinished, c)
				continue
			}
			own[c.host][c.engine]--
			total[c.engine]--
		}
		inFlight = unfinished
		if now-updated >= updateMs {
			lastTotal, updated = total, now
		}
		h := r.IntN(hosts)
		cs := make([]place.Candidate, engines)
		for i := range cs {
			calls := max(lastTotal[i], own[h][i])
			cs[i] = place.Candidate{ID: fmt.Sprint("engine-", i), Slots: slots, Room: 87000, Calls: calls, Tokens: calls * 6000, Unread: calls * 500}
		}
		w := place.Work{Subject: fmt.Sprint("subject-", r.IntN(2500)), Shared: 4000, Own: 1200}
		at, ok := place.ChooseEngine(w, cs, k).(place.Selected)
		if !ok || total[at.Index] >= slots {
			rejected++
			continue
		}
		own[h][at.Index]++
		total[at.Index]++
		inFlight = append(inFlight, call{h, at.Index, now + callMs/2 + r.IntN(callMs)})
	}
	return float64(rejected) / arrivals
}

// Guards against hosts with a stale view of each other that all send to the engines
// that were idle at the last update: engines of 12 slots rejected one arrival in
// five while others were idle.
var _ = Describe("many hosts with a stale view of each other", func() {
	It("spread their requests over the engines by affinity key", func() {
		fewChoices := staleViewReplay(place.DefaultCosts().For(77))
		allChoices := staleViewReplay(place.DefaultCosts())
		AddReportEntry("share of requests without a slot", fmt.Sprintf("%.3f by affinity key, %.3f over all engines", fewChoices, allChoices))
		Expect(allChoices).To(BeNumerically(">", 0.1))
		Expect(fewChoices).To(BeNumerically("<", 0.02))
	})
})
