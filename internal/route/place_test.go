package route_test

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rogpeppe/go-internal/txtar"
	"pgregory.net/rapid"

	"sesamehill.example/sesamehill/internal/route"
	_ "sesamehill.example/sesamehill/internal/seeds"
	"sesamehill.example/sesamehill/internal/target"
	"sesamehill.example/sesamehill/pkg/config"
)

var (
	now     = time.Unix(1_800_000_000, 0)
	weights = config.Weights{FirstToken: 10, Recompute: 0.1, LinkTraffic: 0.05}
	loaded  = []target.Loaded{{Model: "advisor", Version: "1"}}
	base    = route.Request{Model: "advisor", Version: "1", Tokens: 40_000, BlockTokens: 4000, BlockBytes: 100_000_000, Text: 160_000, ReplyBytes: 4000}
	link    = route.Link{Rate: 3.75e6, Delay: 20 * time.Millisecond}
)

func TestRoute(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "route")
}

func rnd(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

func describe(d route.Decision) string {
	switch d := d.(type) {
	case route.Resident:
		return "Resident " + d.Target
	case route.Recompute:
		return "Recompute " + d.Target
	case route.Import:
		return fmt.Sprintf("Import %s %s %d-%d", d.Target, d.Store, d.From, d.To)
	case route.Forward:
		return "Handover " + d.Host
	case route.Refuse:
		return "Refuse " + string(d.Reason)
	}
	return "unknown"
}

type scenario struct {
	Wait     float64
	Deadline float64
	Local    bool
	Excluded []string
	Engines  []struct {
		route.Candidate
		Age     float64
		Version string
	}
	Peers []struct {
		route.Peer
		Age float64
	}
	Want string
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// The name of each scenario states the rule that it checks.
var _ = Describe("Place", func() {
	archive, err := txtar.ParseFile("testdata/place.txtar")
	if err != nil {
		panic(err)
	}
	for _, f := range archive.Files {
		It(f.Name, func() {
			var s scenario
			Expect(json.Unmarshal(f.Data, &s)).To(Succeed())
			q := base
			q.MaxWait, q.NoForward, q.Excluded = seconds(s.Wait), s.Local, s.Excluded
			if s.Deadline > 0 {
				q.Deadline = now.Add(seconds(s.Deadline))
			}
			var engines []route.Candidate
			for _, e := range s.Engines {
				e.Loaded = []target.Loaded{{Model: "advisor", Version: "1"}}
				if e.Version != "" {
					e.Loaded[0].Version = e.Version
				}
				e.Reported, e.Prefill, e.Decode = now.Add(-seconds(e.Age)), 10_000, 1000
				engines = append(engines, e.Candidate)
			}
			var peers []route.Peer
			for _, h := range s.Peers {
				h.Reported, h.Prefill, h.Link = now.Add(-seconds(h.Age)), 10_000, link
				peers = append(peers, h.Peer)
			}
			for seed := range uint64(50) {
				got := route.Place(q, engines, peers, weights, now, rnd(seed))
				low, high := 0.0, 0.0
				if r, ok := got.(route.Refuse); ok {
					Expect(fmt.Sscanf(s.Want, "Refuse "+string(r.Reason)+" %f-%f", &low, &high)).To(Equal(2))
					Expect(r.RetryAfter.Seconds()).To(And(BeNumerically(">=", low), BeNumerically("<=", high)))
					continue
				}
				Expect(describe(got)).To(Equal(s.Want))
			}
		})
	}

	// Guards against many hosts sending their requests to one target because they read
	// the same lagging reports.
	It("spreads the picks of many hosts over near-equal engines", func() {
		engines := make([]route.Candidate, 20)
		for i := range engines {
			engines[i] = route.Candidate{
				Target: fmt.Sprint(i), Loaded: loaded, Reported: now, Prefill: 10_000, Decode: 1000, Tokens: i,
			}
		}
		targetCounts := map[string]int{}
		for host := range uint64(400) {
			targetCounts[describe(route.Place(base, engines, nil, weights, now, rnd(host)))]++
		}
		for _, n := range targetCounts {
			Expect(n).To(BeNumerically("<", 60), "%v", targetCounts)
		}
		Expect(len(targetCounts)).To(BeNumerically(">", 15))
	})
})

// exhaustive returns the lowest local and remote costs over every engine, source, number of imported blocks and peer.
func exhaustive(q route.Request, engines []route.Candidate, peers []route.Peer) (local, remote float64) {
	local, remote = math.Inf(1), math.Inf(1)
	cost := func(wait float64, tokens int, rate float64, paid int64) float64 {
		if wait > q.MaxWait.Seconds() || wait+float64(tokens)/rate > q.Deadline.Sub(now).Seconds() {
			return math.Inf(1)
		}
		return (wait+float64(tokens)/rate)*weights.FirstToken + float64(tokens)/1e3*weights.Recompute + float64(paid)/1e6*weights.LinkTraffic
	}
	for _, c := range engines {
		if c.Leaving || c.Target == q.Excluded[0] || c.Loaded[0].Version != q.Version {
			continue
		}
		queue := float64(c.Tokens+c.SentTokens)/c.Prefill + float64(c.Running+c.Waiting+c.Sent)/c.Decode
		local = min(local, cost(queue, q.Tokens-c.Resident*q.BlockTokens, c.Prefill, 0))
		for _, s := range c.Sources {
			for end := c.Resident + 1; s.First <= c.Resident && end <= s.End; end++ {
				bytes := int64(end-c.Resident) * q.BlockBytes
				wait, paid := queue+s.Link.Delay.Seconds()+float64(s.Link.Queued+bytes)/s.Link.Rate, int64(0)
				if s.Reach == route.OverLink {
					paid = bytes
				}
				local = min(local, cost(wait, q.Tokens-end*q.BlockTokens, c.Prefill, paid))
			}
		}
	}
	for _, h := range peers {
		wait := h.Wait.Seconds() + 2*h.Link.Delay.Seconds() + float64(h.Link.Queued+q.Text)/h.Link.Rate
		if h.Matched > 0 && h.Import.Rate > 0 {
			wait += h.Import.Delay.Seconds() + float64(h.Import.Queued+int64(h.Matched)*q.BlockBytes)/h.Import.Rate
		}
		remote = min(remote, cost(wait, q.Tokens-h.Matched*q.BlockTokens, h.Prefill, q.Text+q.ReplyBytes))
	}
	return local, remote
}

// Guards against a decision that costs more than the near-equal limit above the
// best of an exhaustive search, and against a request on an engine that is
// excluded, leaving or of another weight version.
func TestPlaceMatchesExhaustiveSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := func(n string, high int) int { return rapid.IntRange(0, high).Draw(t, n) }
		path := func() route.Link {
			return route.Link{Rate: float64(1+count("rate", 1000)) * 1e6, Queued: int64(count("queued", 1e9)), Delay: time.Millisecond}
		}
		q := base
		q.MaxWait, q.Excluded = time.Duration(1+count("wait", 30))*time.Second/2, []string{"0"}
		q.Deadline = now.Add(time.Duration(1+count("deadline", 20)) * time.Second)
		engines := make([]route.Candidate, count("engines", 4))
		for i := range engines {
			engines[i] = route.Candidate{
				Target: fmt.Sprint(i), Loaded: []target.Loaded{{Model: "advisor", Version: fmt.Sprint(1 + count("version", 4)/4)}},
				Leaving: count("leaving", 4) == 4, Reported: now, Running: count("running", 9), Tokens: count("tokens", 50_000), SentTokens: count("sent", 9000),
				Prefill: float64(1000 * (1 + count("prefill", 20))), Decode: 1000, Resident: count("resident", 10),
			}
			for range count("sources", 2) {
				engines[i].Sources = append(engines[i].Sources, route.Source{
					Store: "s", First: count("first", 9), End: count("end", 10), Reach: route.Reach(count("reach", 2)), Link: path(),
				})
			}
		}
		peers := make([]route.Peer, count("peers", 2))
		for i := range peers {
			peers[i] = route.Peer{Host: "h", Reported: now, Wait: time.Duration(count("wait", 9)) * time.Second, Prefill: 10_000, Matched: count("matched", 10), Link: path()}
			if count("import", 1) == 1 {
				peers[i].Import = path()
			}
		}
		local, remote := exhaustive(q, engines, peers)
		nearEqualLimit := func(c float64) float64 { return c*1.05 + 0.025*weights.FirstToken + 1e-9 }
		d := route.Place(q, engines, peers, weights, now, rnd(uint64(count("seed", 1000))))
		checkLocal := func(name string, e route.Estimate) {
			for _, c := range engines {
				if c.Target == name && (c.Leaving || name == "0" || c.Loaded[0].Version != "1") {
					t.Fatalf("%s must not get the request", name)
				}
			}
			if e.Cost > nearEqualLimit(local) || e.Cost < local-1e-9 || nearEqualLimit(remote) < local-1e-6 {
				t.Fatalf("%+v: local optimum %g, remote %g", d, local, remote)
			}
		}
		switch d := d.(type) {
		case route.Resident:
			checkLocal(d.Target, d.Estimate)
		case route.Recompute:
			checkLocal(d.Target, d.Estimate)
		case route.Import:
			checkLocal(d.Target, d.Estimate)
		case route.Forward:
			if d.Cost > nearEqualLimit(remote) || d.Cost < remote-1e-9 || nearEqualLimit(remote) > nearEqualLimit(nearEqualLimit(local)) {
				t.Fatalf("%+v: local optimum %g, remote %g", d, local, remote)
			}
		case route.Refuse:
			if !math.IsInf(min(local, remote), 1) {
				t.Fatalf("refused: local optimum %g, remote %g", local, remote)
			}
		}
	})
}

func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{17, 68, 272, 1300} {
		b.Run(fmt.Sprintf("targets=%d/pieces=10", n), func(b *testing.B) {
			sources := []route.Source{{Store: "s", End: 9, Link: route.Link{Rate: 1e9}}, {Store: "t", End: 5, Reach: route.OtherZone, Link: link}, {Store: "u", End: 10, Reach: route.OverLink, Link: link}}
			engines := make([]route.Candidate, n)
			for i := range engines {
				engines[i] = route.Candidate{Target: fmt.Sprintf("engine-%d", i), Loaded: loaded, Reported: now, Tokens: i * 50, Prefill: 10_000, Decode: 1000, Resident: i % 10, Sources: sources}
			}
			peers := []route.Peer{{Host: "h", Reported: now, Prefill: 10_000, Matched: 5, Link: link}}
			r := rnd(1)
			b.ReportAllocs()
			for b.Loop() {
				route.Place(base, engines, peers, weights, now, r)
			}
		})
	}
}
