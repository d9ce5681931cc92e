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

// script is one decision with its candidates.
type script struct {
	Name       string
	Work       *place.Work
	Candidates []place.Candidate
	Want       string
}

// Guards against decisions that made a played load worse; each case is named for
// its load pattern.
var _ = Describe("a decision", func() {
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
			if s.Work != nil {
				choice = place.Prompt(*s.Work, s.Candidates, place.Defaults())
			} else {
				choice = place.Plain(s.Candidates, place.Defaults())
			}
			got := ""
			switch c := choice.(type) {
			case place.At:
				got = s.Candidates[c.Index].ID
			case place.Full:
				got = "full"
			case place.None:
				got = "none"
			}
			Expect(got).To(Equal(s.Want))
		})
	}
})

// Guards against subjects that move when an engine that is not their home comes
// or goes, which makes every engine read them again.
var _ = Describe("Home", func() {
	It("moves only the subjects of an engine that leaves", func() {
		cs := make([]place.Candidate, 18)
		for i := range cs {
			cs[i].ID = fmt.Sprint("engine-", i)
		}
		moved := 0
		for i := range 2000 {
			subject := fmt.Sprint("subject-", i)
			before := place.Home(subject, cs)
			without := append(append([]place.Candidate{}, cs[:4]...), cs[5:]...)
			after := without[place.Home(subject, without)].ID
			if before != 4 {
				Expect(after).To(Equal(cs[before].ID))
				continue
			}
			moved++
		}
		Expect(moved).To(BeNumerically("~", 2000/18, 40))
	})

	It("spreads by weight", func() {
		wins := 0
		const n = 20000
		for i := range n {
			key := fmt.Sprint("part-", i)
			if place.Weighted(place.Score(key, "large"), 5) > place.Weighted(place.Score(key, "small"), 1) {
				wins++
			}
		}
		Expect(float64(wins) / n).To(BeNumerically("~", 5.0/6, 0.01))
	})
})

// replay sends a recorded kind of load through placement with engines that read
// 64 tokens in a millisecond and remember what they read last. It returns the
// shared tokens that were read again and the worst backlog in milliseconds.
func replay(choose func(place.Work, []place.Candidate) int) (again int, backlog float64) {
	r := rand.New(rand.NewPCG(7, 11))
	const engines = 12
	busy := make([]float64, engines)
	held := make([]map[string]float64, engines)
	for i := range held {
		held[i] = map[string]float64{}
	}
	read := map[string]bool{}
	for now := 0.0; now < 30000; now += 25 {
		subject := fmt.Sprint("subject-", int(math.Floor(200*math.Pow(r.Float64(), 1.5))))
		w := place.Work{Subject: subject, Shared: 9000, Own: 2800}
		cs := make([]place.Candidate, engines)
		for i := range cs {
			left := math.Max(busy[i]-now, 0)
			cs[i] = place.Candidate{ID: fmt.Sprint("engine-", i), Unread: int(left * 64), Calls: int(left / 150)}
			if at, ok := held[i][subject]; ok && now-at < 4000 {
				cs[i].Resident = w.Shared
			}
		}
		i := choose(w, cs)
		missing := w.Shared - cs[i].Resident
		if missing > 0 && read[subject] {
			again += missing
		}
		read[subject] = true
		held[i][subject] = now
		busy[i] = math.Max(busy[i], now) + float64(w.Own+missing)/64
		backlog = math.Max(backlog, busy[i]-now)
	}
	return again, backlog
}

// Guards against placement by load alone, which read 18 million tokens again in a
// day, and against placement by subject alone, which lets one engine fall behind.
var _ = Describe("returning prompts under high load", func() {
	ours := func(w place.Work, cs []place.Candidate) int {
		at, ok := place.Prompt(w, cs, place.Defaults()).(place.At)
		if !ok {
			return place.Home(w.Subject, cs)
		}
		return at.Index
	}
	least := func(_ place.Work, cs []place.Candidate) int {
		best := 0
		for i := range cs {
			if cs[i].Unread < cs[best].Unread {
				best = i
			}
		}
		return best
	}
	subject := func(w place.Work, cs []place.Candidate) int { return place.Home(w.Subject, cs) }

	It("reads less again than the least loaded and waits less than by subject alone", func() {
		again, backlog := replay(ours)
		againLeast, _ := replay(least)
		_, backlogSubject := replay(subject)
		Expect(again).To(BeNumerically("<", againLeast*3/4))
		Expect(backlog).To(BeNumerically("<", backlogSubject))
	})
})

// newsReplay plays hosts that learn of each other's calls by news of a certain
// age. It returns the share of requests that meet an engine without a free slot.
func newsReplay(k place.Weights) float64 {
	const (
		hosts, engines, slots = 77, 140, 12
		newsMs, callMs        = 750, 420
		arrivals              = 20000
	)
	type call struct{ host, engine, end int }
	r := rand.New(rand.NewPCG(3, 5))
	own := [hosts][engines]int{}
	news, total := [engines]int{}, [engines]int{}
	var open []call
	rejected, told := 0, 0
	for n := range arrivals {
		now := n // one a millisecond
		kept := open[:0]
		for _, c := range open {
			if c.end > now {
				kept = append(kept, c)
				continue
			}
			own[c.host][c.engine]--
			total[c.engine]--
		}
		open = kept
		if now-told >= newsMs {
			news, told = total, now
		}
		h := r.IntN(hosts)
		cs := make([]place.Candidate, engines)
		for i := range cs {
			calls := max(news[i], own[h][i])
			cs[i] = place.Candidate{ID: fmt.Sprint("engine-", i), Slots: slots, Room: 87000, Calls: calls, Tokens: calls * 6000, Unread: calls * 500}
		}
		w := place.Work{Subject: fmt.Sprint("subject-", r.IntN(2500)), Shared: 4000, Own: 1200}
		at, ok := place.Prompt(w, cs, k).(place.At)
		if !ok || total[at.Index] >= slots {
			rejected++
			continue
		}
		own[h][at.Index]++
		total[at.Index]++
		open = append(open, call{h, at.Index, now + callMs/2 + r.IntN(callMs)})
	}
	return float64(rejected) / arrivals
}

// Guards against hosts with old news of each other that all send to the engines
// which were idle then: engines of 12 slots turned away one arrival in five while
// others were idle.
var _ = Describe("many hosts with old news of each other", func() {
	It("spread their requests over engines by subject", func() {
		narrow := newsReplay(place.Defaults().For(77))
		wide := newsReplay(place.Defaults())
		AddReportEntry("share without a slot", fmt.Sprintf("%.3f by subject, %.3f over all engines", narrow, wide))
		Expect(wide).To(BeNumerically(">", 0.1))
		Expect(narrow).To(BeNumerically("<", 0.02))
	})
})
