package homes_test

import (
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rogpeppe/go-internal/txtar"
	"pgregory.net/rapid"

	"sesamehill.example/sesamehill/internal/homes"
	"sesamehill.example/sesamehill/internal/opconf"
)

// list splits a field of a case.
func list(field string) []string {
	field = strings.TrimSpace(field)
	if field == "-" || field == "none" {
		return nil
	}
	return strings.Split(field, ",")
}

// Guards against a request that is served in a region which one of both sides excludes.
func TestBothSidesRestrict(t *testing.T) {
	b, err := os.ReadFile("testdata/regions.txtar")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	for _, line := range strings.Split(strings.TrimSpace(string(txtar.Parse(b).Files[0].Data)), "\n") {
		t.Run(line, func(t *testing.T) {
			g := NewWithT(t)
			f := strings.Split(line, "|")
			r := homes.Of(list(f[0]), list(f[1]))
			if want := strings.TrimSpace(f[2]); want == "all" {
				g.Expect(r.Restricted).To(BeFalse())
			} else {
				g.Expect(r.Names).To(ConsistOf(list(f[2])))
				g.Expect(r.Excluded()).To(Equal(want == "none"))
				g.Expect(r.Allows("")).To(BeFalse(), "the region of an unknown zone")
			}
			for _, region := range list(f[3]) {
				g.Expect(r.Allows(region)).To(BeTrue())
			}
			for _, region := range list(f[4]) {
				g.Expect(r.Allows(region)).To(BeFalse())
			}
			if !r.Excluded() {
				parsed, ok := homes.ParseKey(r.Key())
				g.Expect(ok).To(BeTrue())
				g.Expect(parsed).To(Equal(r))
			}
		})
	}
}

// Guards against two different sets of regions that share one namespace of the KV cache.
func TestKeysDiffer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		regions := rapid.SliceOf(rapid.SampledFrom([]string{"a", "b", "a+b", "a/b", "a%2Bb", "+"}))
		one, two := homes.Of(regions.Draw(t, "one")), homes.Of(regions.Draw(t, "two"))
		if (one.Key() == two.Key()) != (one.String() == two.String()) {
			t.Fatalf("%v and %v: keys %q and %q", one, two, one.Key(), two.Key())
		}
	})
}

// Guards against a conflict that is not reported, or does not name both sides.
func TestConflicts(t *testing.T) {
	g := NewWithT(t)
	c := &opconf.Config{
		Routes: []opconf.Route{
			{Name: "file", AllowedRegions: []string{"oslo"}},
			{Name: "open", AllowedRegions: []string{"oslo"}, Public: true},
			{Name: "any"},
			{Name: "lost", AllowedRegions: []string{"narvik"}},
		},
		Accounts: []opconf.Account{{Name: "east", AllowedRegions: []string{"oslo"}}, {Name: "west", AllowedRegions: []string{"bergen"}}, {Name: "free"}},
	}
	conflicts := homes.Conflicts(c, []string{"oslo", "bergen"})
	g.Expect(conflicts).To(HaveLen(2))
	g.Expect(conflicts[0].Error()).To(And(ContainSubstring(`route "file" (oslo)`), ContainSubstring(`account "west" (bergen)`)))
	g.Expect(conflicts[1].Route).To(Equal("lost"))
	g.Expect(homes.Conflicts(&opconf.Config{Routes: []opconf.Route{{Name: "any"}}}, nil)).To(BeEmpty(), "nothing is restricted")
}
