package trace_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sesamehill.example/sesamehill/internal/trace"
)

func TestTrace(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "trace")
}

// short returns a setup with a short trace that is still long enough for engines to
// evict prompts from their caches.
func short(deployment string, scenario trace.Scenario) trace.Setup {
	s, err := trace.NewSetup(deployment, scenario)
	Expect(err).NotTo(HaveOccurred())
	s.WarmUp, s.Measured = 30*time.Minute, 10*time.Minute
	return s
}

func rows(s trace.Setup, seed uint64, policies ...string) map[string]trace.Row {
	results, err := trace.Run(s, seed, policies)
	if err != nil {
		panic(err) // all policies are constants of package trace
	}
	m := map[string]trace.Row{}
	for _, r := range results {
		m[r.Policy] = r.Row(&s)
	}
	return m
}

var _ = Describe("Run", func() {
	baselines := []string{trace.RoundRobin, trace.LeastLoaded, trace.Affinity}

	// Guards against results that depend on map order or on state shared by runs.
	It("returns the same results for the same seed", func() {
		s := short("borough", trace.Flood)
		s.WarmUp = 10 * time.Minute
		Expect(rows(s, 7, trace.Sesamehill, trace.Importer)).To(Equal(rows(s, 7, trace.Sesamehill, trace.Importer)))
	})

	// Guards against changes of admission, index or placement that miss a target of
	// the design.
	for _, d := range trace.Deployments() {
		It("meets the targets of the design on "+d, func() {
			m := rows(short(d, trace.Normal), 1, trace.Policies()...)
			own, least, best := m[trace.Sesamehill], m[trace.LeastLoaded], m[trace.Oracle]
			Expect(least.Busy).To(BeNumerically("~", 0.6, 0.1))
			Expect(own.Recomputed).To(BeNumerically("<=", least.Recomputed/4))
			Expect(own.Recomputed).To(BeNumerically("<=", 1.1*best.Recomputed))
			Expect(own.Bytes).To(BeNumerically("<=", m[trace.Importer].Bytes/10))
			for _, b := range baselines {
				Expect(own.P95).To(BeNumerically("<=", m[b].P95/2), b)
				Expect(own.P50).To(BeNumerically("<", m[b].P50), b)
			}
		})
	}

	for _, d := range trace.Deployments() {
		// Guards against a flooding account that increases the latency of other accounts.
		It("keeps the p95 of other accounts within 10% while a small account sends ten times its share on "+d, func() {
			quiet := rows(short(d, trace.Normal), 1, trace.Sesamehill)[trace.Sesamehill]
			flooded := rows(short(d, trace.Flood), 1, trace.Sesamehill)[trace.Sesamehill]
			Expect(flooded.Others).To(BeNumerically("<", 1.1*quiet.Others))
		})

		// Guards against placements that rely on a dead store or on the normal rate of a
		// slow link.
		It("beats the least-loaded policy with a dead store and with a slow link on "+d, func() {
			for _, c := range []trace.Scenario{trace.StoreDead, trace.SlowLink} {
				m := rows(short(d, c), 1, trace.Sesamehill, trace.Oracle, trace.LeastLoaded)
				Expect(m[trace.Sesamehill].Recomputed).To(BeNumerically("<=", 1.1*m[trace.Oracle].Recomputed), string(c))
				Expect(m[trace.Sesamehill].P95).To(BeNumerically("<", m[trace.LeastLoaded].P95), string(c))
			}
		})
	}
})

// TestLongTrace guards against changes that meet the targets on short traces only.
func TestLongTrace(t *testing.T) {
	for _, d := range trace.Deployments() {
		t.Run(d, func(t *testing.T) {
			g := NewWithT(t)
			for _, c := range []trace.Scenario{trace.Normal, trace.StoreDead, trace.SlowLink} {
				s, err := trace.NewSetup(d, c)
				g.Expect(err).NotTo(HaveOccurred())
				s.WarmUp, s.Measured = 40*time.Minute, 15*time.Minute
				m := rows(s, 1, trace.Sesamehill, trace.Oracle)
				g.Expect(m[trace.Sesamehill].Recomputed).To(BeNumerically("<=", 1.1*m[trace.Oracle].Recomputed), string(c))
			}
		})
	}
}
