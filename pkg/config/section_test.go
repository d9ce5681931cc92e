package config_test

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "sesamehill.example/sesamehill/internal/seeds"
	"sesamehill.example/sesamehill/pkg/config"
)

// largeDocument returns a document with the given number of accounts, 31 models,
// and 7 regions with 19 zones. The design size is 10,000 accounts.
func largeDocument(accounts int) *config.Document {
	data, err := os.ReadFile("../../examples/demo.toml")
	if err != nil {
		panic(err)
	}
	d, err := config.ParseDocument("demo.toml", data)
	if err != nil {
		panic(err)
	}
	for i := range 30 {
		d.Models = append(d.Models, config.Model{Name: fmt.Sprintf("model-%02d", i), Version: "7", MaxConcurrentLoads: 2})
	}
	for i := range 5 {
		r := config.Region{Name: fmt.Sprintf("region-%d", i)}
		for z := range 3 {
			r.Zones = append(r.Zones, fmt.Sprintf("region-%d-%c", i, 'a'+z))
		}
		d.Regions = append(d.Regions, r)
	}
	for i := len(d.Accounts); i < accounts; i++ {
		name := fmt.Sprintf("account-%05d", i)
		a := config.Account{
			Name: name, Keys: []string{config.HashKey(name)}, Services: []string{"dispatch"},
			Rate: 2.5, Concurrency: 8, Regions: []string{"sul"},
		}
		for j := range 4 {
			a.Models = append(a.Models, fmt.Sprintf("model-%02d", (i+j*7)%30))
		}
		d.Accounts = append(d.Accounts, a)
	}
	return d
}

// changedBytes returns the total size of the sections of b that a lacks.
func changedBytes(a, b config.Sections) (n int) {
	for h, data := range b.Objects {
		if _, ok := a.Objects[h]; !ok {
			n += len(data)
		}
	}
	return n
}

// split returns the sections of a document.
func split(d *config.Document) config.Sections {
	s, err := config.Split(d)
	Expect(err).NotTo(HaveOccurred())
	return s
}

var _ = Describe("a document with 10,000 accounts", func() {
	// Guards against a change of one account that makes hosts transfer most of the
	// document.
	It("transfers less than 4 KB for any change of one account", func() {
		d := largeDocument(10_000)
		before := split(d)
		largest, sum, runs := 0, 0, 0
		for i := 0; i < len(d.Accounts); i += 1000 {
			d.Accounts[i].Rate += 0.3
			n := changedBytes(before, split(d))
			d.Accounts[i].Rate -= 0.3
			largest, sum, runs = max(largest, n), sum+n, runs+1
		}
		d.Accounts = append(d.Accounts, config.Account{Name: "new", Keys: []string{config.HashKey("n")}, Rate: 1, Concurrency: 1})
		added := changedBytes(before, split(d))
		var sizes []int
		total := 0
		for _, o := range before.Objects {
			sizes = append(sizes, len(o))
			total += len(o)
		}
		slices.Sort(sizes)
		// The base section is the largest; the largest account section comes next.
		section := sizes[len(sizes)-2]
		const rootAndGroup = 2 * 1150
		Expect(len(before.Objects[before.Root])).To(BeNumerically("<", rootAndGroup/2))
		largest = max(largest, section+rootAndGroup)
		GinkgoWriter.Printf("change: mean %d, at most %d bytes; added account %d; %d sections, %d bytes\n",
			sum/runs, largest, added, len(before.Objects), total)
		Expect(max(largest, added)).To(BeNumerically("<", 4096))
	})

	// Guards against a slow validation, for which the operators' console has to wait.
	It("parses and checks within 200 ms", func() {
		d := largeDocument(10_000)
		data, err := d.Format()
		Expect(err).NotTo(HaveOccurred())
		best := time.Hour
		for range 3 {
			start, used := time.Now(), processorTime()
			_, err = config.ParseDocument("large.toml", data)
			Expect(err).NotTo(HaveOccurred())
			// On an overloaded machine the elapsed time includes that of other processes,
			// so the processor time counts if it is shorter.
			best = min(best, time.Since(start), processorTime()-used)
		}
		start := time.Now()
		Expect(d.Check()).To(BeEmpty())
		GinkgoWriter.Printf("parse and check of %d bytes: %v; check alone: %v\n", len(data), best, time.Since(start))
		Expect(best).To(BeNumerically("<", 200*time.Millisecond*raceFactor))
	})
})

// Guards against sections that depend on the order of the accounts, a Join that
// does not restore the document, and a damaged section that is accepted.
func TestSectionsRoundTrip(t *testing.T) {
	RegisterTestingT(t)
	rapid.Check(t, func(t *rapid.T) {
		d := largeDocument(rapid.IntRange(2, 60).Draw(t, "accounts"))
		s := split(d)
		shuffled := *d
		shuffled.Accounts = rapid.Permutation(d.Accounts).Draw(t, "order")
		if split(&shuffled).Root != s.Root || len(config.Diff(d, &shuffled)) != 0 {
			t.Fatal("the order of accounts changes the document")
		}
		// Fetch the sections as a host does, knowing only the root's hash.
		got := config.NewSections(s.Root)
		for {
			missing, err := got.Missing()
			if err != nil {
				t.Fatal(err)
			}
			if len(missing) == 0 {
				break
			}
			corrupted := slices.Clone(s.Objects[missing[0]])
			corrupted[rapid.IntRange(0, len(corrupted)-1).Draw(t, "byte")] ^= 1
			var damaged *config.SectionError
			if !errors.As(got.Add(missing[0], corrupted), &damaged) {
				t.Fatal("a damaged section was added")
			}
			if _, err := config.Join(got); !errors.As(err, &damaged) {
				t.Fatalf("an incomplete tree was joined: %v", err)
			}
			for _, h := range missing {
				if err := got.Add(h, s.Objects[h]); err != nil {
					t.Fatal(err)
				}
			}
		}
		joined, err := config.Join(got)
		if err != nil || len(config.Diff(d, joined)) != 0 || split(joined).Root != s.Root {
			t.Fatalf("joined document differs: %v %v", err, config.Diff(d, joined))
		}
	})
}

// Guards against invalid accounts that Join accepts without Check, and against
// sections that are too large to transfer.
func TestJoinRejectsInvalidTrees(t *testing.T) {
	RegisterTestingT(t)
	d := largeDocument(20)
	d.Accounts[1].Keys = d.Accounts[0].Keys
	_, err := config.Join(split(d))
	var faults *config.FaultsError
	Expect(errors.As(err, &faults)).To(BeTrue())
	d.Accounts[1].Models = slices.Repeat([]string{"advisor"}, 70_000)
	_, err = config.Split(d)
	var size *config.SizeError
	Expect(errors.As(err, &size)).To(BeTrue())
}

var _ = Describe("Diff and Warnings", func() {
	// Guards against an operator who applies a change without seeing which accounts
	// it affects.
	It("lists the entries and accounts that a change affects", func() {
		a, b := largeDocument(4), largeDocument(4)
		b.Models[0].Version = "2"
		b.Services = nil
		b.Accounts[1].Rate = 7
		b.Accounts = append(b.Accounts[:2], config.Account{Name: "new", Rate: 1, Concurrency: 1})
		var lines []string
		for _, e := range config.Diff(a, b) {
			lines = append(lines, e.String())
		}
		Expect(lines).To(Equal([]string{
			"model advisor: version: 1 -> 2 (accounts touched: 2)",
			"service dispatch: removed (accounts touched: 4)",
			"account borough: rate: 100 -> 7",
			"account new: added",
			"account account-00002: removed",
			"account account-00003: removed",
		}))
	})

	// Guards against a dangerous value without a warning.
	It("warns about values that are valid but dangerous", func() {
		d := largeDocument(4)
		Expect(d.Warnings()).To(HaveLen(5 + 30 - len(usedModels(d))))
		d.Weights.LinkTraffic, d.Limits.QueueLength, d.Limits.MaxWait = 0, 0, config.Duration(2*time.Minute)
		d.Links, d.Models, d.Regions = nil, d.Models[:1], d.Regions[:2]
		d.Models[0].MaxConcurrentLoads, d.Services[0].Idempotent = 4, true
		d.Services[0].Paths = []config.Path{{Prefix: "/", Idempotent: true}}
		d.Accounts = d.Accounts[:1]
		d.Accounts[0].Keys, d.Accounts[0].Models, d.Accounts[0].Services = nil, nil, nil
		var keys []string
		for _, w := range d.Warnings() {
			keys = append(keys, w.Key)
		}
		Expect(keys).To(Equal([]string{
			"weights.bytes", "limits.queue", "limits.wait", "region[0]", "region[1]", "account[0].keys",
			"account[0].models", "model[0]", "model[0].loads", "service[0].idempotent", "service[0].path[0]",
		}))
		Expect(d.Check()).To(BeEmpty())
	})
})

// usedModels returns the models that generated accounts may use. The first two
// accounts come from the example document.
func usedModels(d *config.Document) map[string]bool {
	used := map[string]bool{}
	for _, a := range d.Accounts[2:] {
		for _, m := range a.Models {
			used[m] = true
		}
	}
	return used
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	Expect(syscall.Getrusage(syscall.RUSAGE_SELF, &u)).To(Succeed())
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
