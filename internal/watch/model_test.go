package watch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "sesamehill.example/sesamehill/internal/seeds"
	"sesamehill.example/sesamehill/pkg/config"
)

// Guards against hosts that go back to a lower revision, lost revisions and changes
// that are committed twice. Concurrent operators, lost replies, outages, restores,
// restarts and partitions occur in any order; the model only lists accepted changes.
func TestConfigurationAgainstNaiveModel(t *testing.T) {
	RegisterTestingT(t)
	base := document(1)
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(rapid.Uint64().Draw(t, "seed"))
		for i := range 5 {
			n.start(fmt.Sprint("h", i+1), i%3)
		}
		accepted := map[uint64]float64{}    // revision -> rate
		unconfirmed := map[string]float64{} // change -> rate
		changes, partitioned, rate := 0, false, 1.0
		runRounds := func(rounds int) {
			for range rounds {
				n.round()
			}
		}
		recoverAll := func() {
			n.command("heal")
			n.command("up")
			partitioned, n.platform.lose, n.platform.drop = false, 0, 0
			runRounds(14)
		}
		runRounds(3)
		host := rapid.SampledFrom([]string{"h1", "h2", "h3", "h4", "h5"})
		t.Repeat(map[string]func(*rapid.T){
			"commit": func(t *rapid.T) {
				h := host.Draw(t, "host")
				baseRevision := n.nodes[h].watch.head().Revision
				if rapid.IntRange(0, 3).Draw(t, "stale") == 0 && baseRevision > 0 {
					baseRevision--
				}
				changes++
				rate++
				id := fmt.Sprint("c", changes)
				d := *base
				d.Accounts = slices.Clone(base.Accounts)
				d.Accounts[0].Rate = rate
				// The platform answers again before Commit gives up on an unknown outcome.
				n.platform.lose, n.platform.drop = rapid.IntRange(0, 1).Draw(t, "lose"), rapid.IntRange(0, 1).Draw(t, "drop")
				head, err := n.nodes[h].watch.Commit(t.Context(), baseRevision, &d, id, "operator")
				n.platform.lose, n.platform.drop = 0, 0
				if err != nil {
					unconfirmed[id] = rate
					return
				}
				if old, duplicate := accepted[head.Revision]; duplicate {
					t.Fatalf("revision %d was accepted with rates %v and %v", head.Revision, old, rate)
				}
				if head.Revision != baseRevision+1 {
					t.Fatalf("revision %d follows %d", head.Revision, baseRevision)
				}
				accepted[head.Revision] = rate
			},
			"run":   func(t *rapid.T) { runRounds(rapid.IntRange(1, 6).Draw(t, "rounds")) },
			"down":  func(*rapid.T) { n.platform.down = true },
			"up":    func(*rapid.T) { n.platform.down = false },
			"split": func(t *rapid.T) { n.command("partition " + host.Draw(t, "a") + " h5"); partitioned = true },
			"heal":  func(*rapid.T) { n.command("heal"); partitioned = false },
			"save":  func(*rapid.T) { n.platform.save() },
			"restore": func(t *rapid.T) {
				if n.platform.savedRows == nil {
					t.Skip("nothing saved")
				}
				recoverAll() // every host has the newest revision when the platform loses it
				n.platform.restore()
			},
			"restart": func(t *rapid.T) {
				if partitioned {
					t.Skip("a new host in a partition puts the platform's head in force")
				}
				h := host.Draw(t, "host")
				if n.holdsLastCopy(h, uint64(len(accepted))) {
					t.Skip("hosts have no disk, so a restart loses a revision that neither the platform nor another host has")
				}
				n.start(h, int(h[1]-'1')%3)
			},
			"": func(t *rapid.T) {
				for h, x := range n.nodes {
					if !slices.IsSorted(x.enforced) || len(slices.Compact(slices.Clone(x.enforced))) != len(x.enforced) {
						t.Fatalf("%s went back to a lower revision: %v", h, x.enforced)
					}
					r := x.watch.Current()
					if r == nil {
						continue
					}
					if got := account(r.Document, "keeper").Rate; accepted[r.Head.Revision] != got {
						t.Fatalf("%s has revision %d with rate %v, but rate %v was accepted; unconfirmed changes: %v",
							h, r.Head.Revision, got, accepted[r.Head.Revision], unconfirmed)
					}
				}
			},
		})
		recoverAll()
		newest := uint64(len(accepted))
		for h, x := range n.nodes {
			if got := x.watch.head().Revision; got != newest {
				t.Fatalf("%s has revision %d in force, %d were accepted", h, got, newest)
			}
		}
		if head, err := n.nodes["h1"].watch.readHead(t.Context()); err != nil || head.Revision != newest {
			t.Fatalf("platform shows %v (%v), %d were accepted", head, err, newest)
		}
	})
}

var _ = Describe("propagation", func() {
	// Guards against a change that is not in force on all hosts within 11 s, and
	// prints the times.
	for _, size := range []int{7, 100} {
		It(fmt.Sprintf("takes under 11 s at %d hosts, with the platform up or down", size), func() {
			n := newNetwork(1)
			for i := range size {
				n.start(fmt.Sprintf("host-%03d", i), i%max(3, size/17))
			}
			for range 20 {
				n.round()
			}
			commit := func(base uint64, rate float64) {
				Expect(n.commit("host-000", base, fmt.Sprint("c", base), rate)).To(Equal(fmt.Sprint(base + 1)))
			}
			secondsUntil := func(revision uint64) int {
				for s := range 30 {
					behind := 0
					for _, x := range n.nodes {
						if x.watch.head().Revision < revision {
							behind++
						}
					}
					if behind == 0 {
						return s
					}
					n.round()
				}
				return 30
			}
			commit(0, 5)
			first := secondsUntil(1)
			commit(1, 6)
			up := secondsUntil(2)
			commit(2, 7)
			n.platform.down = true
			down := secondsUntil(3)
			fmt.Fprintf(GinkgoWriter, "%d hosts: first revision everywhere after %d s, next after %d s, with the platform down after %d s\n",
				size, first, up, down)
			Expect(max(first, up, down)).To(BeNumerically("<", 11))
		})
	}

	// Guards against a change of one account that fetches or stores the whole tree.
	It("transfers three sections for a change of one account", func() {
		n := newNetwork(1)
		for i := range 3 {
			n.start(fmt.Sprint("h", i+1), i)
		}
		n.command("run 3")
		d := document(5)
		for i := range 3000 {
			name := fmt.Sprint("account-", i)
			d.Accounts = append(d.Accounts, config.Account{Name: name, Keys: []string{config.HashKey(name)}, Rate: 1, Concurrency: 1})
		}
		_, err := n.nodes["h1"].watch.Commit(GinkgoT().Context(), 0, d, "c1", "o")
		Expect(err).NotTo(HaveOccurred())
		n.command("run 4")
		before, puts, reads := n.nodes["h2"].watch.Stats(), n.platform.puts, n.platform.reads
		d.Accounts[77].Rate = 2
		_, err = n.nodes["h1"].watch.Commit(GinkgoT().Context(), 1, d, "c2", "o")
		Expect(err).NotTo(HaveOccurred())
		fmt.Fprintf(GinkgoWriter, "commit: %d objects stored, %d reads\n", n.platform.puts-puts, n.platform.reads-reads)
		Expect(n.platform.puts - puts).To(Equal(3))
		n.command("run 4")
		after := n.nodes["h2"].watch.Stats()
		Expect(after.FromPeers + after.FromPlatform - before.FromPeers - before.FromPlatform).To(BeEquivalentTo(3))
		Expect(after.Bytes - before.Bytes).To(BeNumerically("<", 4096))
	})

	// Guards against a head that does not fit into its heartbeat extension.
	It("fits the largest head into its budget", func() {
		n := newNetwork(1)
		n.start("h1", 0)
		longText := string(slices.Repeat([]byte{'x'}, maxTextBytes))
		_, err := n.nodes["h1"].watch.Commit(GinkgoT().Context(), 0, document(1), longText, longText)
		Expect(err).NotTo(HaveOccurred())
		part := n.nodes["h1"].watch.Extension().Build(n.nodes["h1"].gossip.Self(), headBudget)
		Expect(len(part)).To(BeNumerically("<=", headBudget-8))
		start := time.Now()
		_, err = n.nodes["h1"].watch.Commit(GinkgoT().Context(), 1, document(0), "x", "y")
		Expect(err).To(MatchError(ContainSubstring("account[0].rate")))
		Expect(time.Since(start)).To(BeNumerically("<", time.Second))
	})
})
