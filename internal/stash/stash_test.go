package stash_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/gate"
	"sesamehill.example/sesamehill/internal/site"
	"sesamehill.example/sesamehill/internal/stash"
)

func TestStash(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "stash")
}

const (
	scope = "m/1"
	near  = "10.0.0.1:80"
	far   = "10.0.0.2:80"
)

var _ = Describe("a catalog", func() {
	var now time.Duration
	var c *stash.Catalog
	prompt := &gate.Prompt{Model: "m", In: 1200, Parts: []gate.Part{{ID: "aa", Tokens: 200}, {ID: "bb", Tokens: 800}, {ID: "own", Tokens: 200}}}
	engine := fleet.Target{ID: "e", Zone: "sul-a"}
	clock := func() time.Duration { return now }
	described := func() *stash.Catalog {
		s, err := site.New(site.Site{Services: []site.Service{
			{Name: "llm", Engine: &site.Engine{TokenBytes: 163840, LinkMbps: 180000}},
			{Name: "near", Store: &site.Store{Address: near, Zone: "sul-a", Tokens: 10000, LinkMbps: 360000, Managed: true}},
			{Name: "far", Store: &site.Store{Address: far, Zone: "sudeste-a", Tokens: 10000, LinkMbps: 360000, Managed: true}},
		}})
		Expect(err).NotTo(HaveOccurred())
		c := stash.NewCatalog(map[string]string{"sul-a": "sul", "sudeste-a": "sudeste"}, stash.WithClock(clock))
		c.Describe(s)
		return c
	}
	held := func(parts ...string) []stash.Held {
		var out []stash.Held
		for _, p := range parts {
			out = append(out, stash.Held{Key: stash.Key{Scope: scope, Part: p}, Tokens: 800})
		}
		return out
	}
	listed := func(c *stash.Catalog, epoch uint64, parts ...string) {
		c.Listed(near, stash.Listing{Epoch: epoch, Next: 1, Held: held(parts...), Clock: now.Milliseconds() + 1000}, now)
		c.Listed(far, stash.Listing{Epoch: epoch, Next: 1, Clock: now.Milliseconds() + 1000}, now)
	}
	settled := func() {
		now += 10 * time.Second
		c.Heard(near, stash.Events{Epoch: 1, Next: 1}, now)
		c.Heard(far, stash.Events{Epoch: 1, Next: 1}, now)
	}
	BeforeEach(func() {
		now = time.Minute
		c = described()
		listed(c, 1)
		settled()
	})

	It("saves shared parts in the region that reads them, and never the last part", func() {
		st := c.Plan(prompt, scope, 1, engine)
		Expect(st.Save).To(Equal([]string{near, near, ""}))
		Expect(st.Fetch).To(Equal([]string{"", "", ""}))
	})

	It("asks for a save once", func() {
		c.Plan(prompt, scope, 1, engine)
		Expect(c.Plan(prompt, scope, 1, engine).Save).To(Equal([]string{"", "", ""}))
	})

	// Guards against fetches that lose against reading because the store's link is
	// narrower than the engine's, and hold up those behind them.
	It("reads what comes slowly over a store's narrow link", func() {
		narrow := func(mbps float64) string {
			s, err := site.New(site.Site{Services: []site.Service{
				{Name: "llm", Engine: &site.Engine{TokenBytes: 131072, LinkMbps: 1100000}},
				{Name: "near", Store: &site.Store{Address: near, Zone: "sul-a", Tokens: 10000, LinkMbps: mbps, Managed: true}},
			}})
			Expect(err).NotTo(HaveOccurred())
			c = stash.NewCatalog(map[string]string{"sul-a": "sul"}, stash.WithClock(clock))
			c.Describe(s)
			c.Listed(near, stash.Listing{Epoch: 1, Next: 1, Held: held("bb"), Clock: now.Milliseconds()}, now)
			st := c.Plan(prompt, scope, 1, engine)
			if st.Fetch[1] != "" {
				Expect(st.FetchMs).To(BeNumerically("~", 800*131072*8/(mbps*1000), 0.01))
			}
			return st.Fetch[1]
		}
		Expect(narrow(480000)).To(Equal(near))
		Expect(narrow(140000)).To(Equal(near))
		Expect(narrow(10000)).To(BeEmpty())
	})

	// Guards against a cause of repeated reading that the metrics and the log give
	// wrongly, which would lead to the wrong change.
	It("says why shared parts are read", func() {
		again := func(version int, s string) gate.Again { return c.Plan(prompt, s, version, engine).Again }
		Expect(again(1, scope)).To(Equal(gate.Again{gate.First: 1000}))
		Expect(again(1, scope)).To(BeEmpty(), "the engine probably holds them")
		engine := engine
		engine.ID = "another"
		Expect(c.Plan(prompt, scope, 1, engine).Again).To(Equal(gate.Again{gate.Untold: 1000}))
		now += 10 * time.Second
		Expect(c.Plan(prompt, scope, 1, engine).Again).To(Equal(gate.Again{gate.Blind: 1000}))
		settled()
		Expect(c.Plan(prompt, scope, 1, engine).Again).To(Equal(gate.Again{gate.Unsaved: 1000}))
		engine.ID, engine.Zone = "third", "sudeste-a"
		listed(c, 1, "aa", "bb")
		Expect(c.Plan(prompt, scope, 1, engine).Again).To(Equal(gate.Again{gate.Distant: 800}), "a small one is fetched")
	})

	// Guards against a fetch of a part that is still being written.
	It("fetches only what an event or a list says is complete", func() {
		c.Plan(prompt, scope, 1, engine)
		Expect(c.Plan(prompt, scope, 1, engine).Fetch).To(Equal([]string{"", "", ""}))
		c.Heard(near, stash.Events{Epoch: 1, Next: 2, Events: []stash.Event{{Held: held("bb")[0], Added: true}}}, now)
		st := c.Plan(prompt, scope, 1, engine)
		Expect(st.Fetch).To(Equal([]string{"", near, ""}))
		Expect(st.Until).To(BeNumerically(">", now.Milliseconds()+1000))
	})

	// Guards against a fetch from a store that has restarted and is being filled
	// again, while this host could not hear of it.
	It("believes a store only for a while", func() {
		listed(c, 1, "aa", "bb")
		now += 1700 * time.Millisecond
		Expect(c.Plan(prompt, scope, 1, engine).Fetch).To(Equal([]string{"", "", ""}))
	})

	It("saves nothing in a store that restarted until no older belief and fetch is left", func() {
		listed(c, 2)
		Expect(c.Plan(prompt, scope, 1, engine).Save).To(Equal([]string{"", "", ""}))
		now += 3 * time.Second
		c.Heard(near, stash.Events{Epoch: 2, Next: 1}, now)
		Expect(c.Plan(prompt, scope, 1, engine).Save).To(Equal([]string{"", "", ""}))
		now += time.Second
		c.Heard(near, stash.Events{Epoch: 2, Next: 1}, now)
		Expect(c.Plan(prompt, scope, 1, engine).Save).To(Equal([]string{near, near, ""}))
	})

	// Guards against the load in which fetches from a slow store held up every
	// other fetch of an engine until all prompts were read again.
	It("reads instead of fetching from a store that has turned slow, and tries it again", func() {
		listed(c, 1, "aa", "bb")
		for range 20 {
			c.Fetched([]string{near}, 8, 1500*time.Millisecond)
		}
		Expect(c.Plan(prompt, scope, 1, engine).Fetch).To(Equal([]string{"", "", ""}))
		_, stored, _ := c.Look(prompt, scope).Weigh(engine)
		Expect(stored).To(BeZero())
		now += 20 * time.Second
		listed(c, 1, "aa", "bb")
		Expect(c.Plan(prompt, scope, 1, engine).Fetch).To(Equal([]string{near, near, ""}))
	})

	// Guards against state of one account, or of other weights, in another's prompt.
	It("keeps dedicated accounts and weight versions apart", func() {
		dedicated := &site.Account{Name: "bees", Dedicated: true}
		scopes := map[string]bool{}
		for _, s := range []string{
			c.Scope("m", 1, nil), c.Scope("m", 2, nil), c.Scope("n", 1, nil), c.Scope("m", 1, dedicated),
			c.Scope("m", 1, &site.Account{Name: "wasps", Dedicated: true}),
		} {
			scopes[s] = true
		}
		Expect(scopes).To(HaveLen(5))
		Expect(c.Scope("m", 1, &site.Account{Name: "open"})).To(Equal(c.Scope("m", 1, nil)))
	})

	It("frees only parts of replaced weights", func() {
		listed(c, 1, "aa", "bb")
		Expect(c.Garbage(map[string]int{"m": 1})).To(BeEmpty())
		g := c.Garbage(map[string]int{"m": 2})
		Expect(g).To(HaveLen(1))
		Expect(g[0].Keys).To(HaveLen(2))
		Expect(g[0].Epoch).To(Equal(uint64(1)))
	})

	// Guards against hosts that learn of a part, or of its end, from no one because
	// only a few hosts ask the stores.
	It("tells another host what changed, and everything after a gap", func() {
		listed(c, 1, "aa")
		other := described()
		other.Import(c.Digest(other.Cursor()), now)
		Expect(other.Plan(prompt, scope, 1, engine).Fetch[0]).To(Equal(near))
		c.Heard(near, stash.Events{Epoch: 1, Next: 2, Events: []stash.Event{{Held: held("bb")[0], Added: true}}}, now)
		d := c.Digest(other.Cursor())
		Expect(d.Updates[0].Full).To(BeFalse())
		Expect(d.Updates[0].Events).To(HaveLen(1))
		other.Import(d, now)
		Expect(other.Plan(prompt, scope, 1, engine).Fetch[:2]).To(Equal([]string{near, near}))
		for i := range 3000 {
			e := stash.Event{Held: held(fmt.Sprint("p", i))[0], Added: true}
			c.Heard(near, stash.Events{Epoch: 1, Next: uint64(3 + i), Events: []stash.Event{e}}, now)
		}
		Expect(c.Digest(other.Cursor()).Updates[0].Full).To(BeTrue())
	})

	// Guards against answers that name every store although one has changed, and
	// against stores that are no longer believed because they do not change.
	It("names only changed stores to a host that asks for these, and all to others", func() {
		listed(c, 1, "aa")
		c.Listed(far, stash.Listing{Epoch: 1, Next: 1}, now)
		other := described()
		other.Import(c.Digest(other.Cursor()), now)
		known := other.Cursor()
		known.Brief = true
		Expect(c.Digest(known).Updates).To(BeEmpty())
		c.Heard(near, stash.Events{Epoch: 1, Next: 2, Events: []stash.Event{{Held: held("bb")[0], Added: true}}}, now)
		Expect(c.Digest(known).Updates).To(HaveLen(1))
		known.Brief = false
		Expect(c.Digest(known).Updates).To(HaveLen(2))
	})

	// Guards against parts that a host goes on believing after it missed the restart
	// of a store, or after it turned to another host.
	It("tells everything after a restart of the store, and to a host that followed another one", func() {
		listed(c, 1, "aa")
		other := described()
		other.Import(c.Digest(other.Cursor()), now)
		c.Heard(near, stash.Events{Epoch: 2, Next: 1}, now)
		other.Import(c.Digest(other.Cursor()), now)
		listed(c, 2, "bb")
		known := other.Cursor()
		known.Brief = true
		d := c.Digest(known)
		Expect(d.Updates).To(HaveLen(2))
		Expect([]bool{d.Updates[0].Full, d.Updates[1].Full}).To(Equal([]bool{true, true}))
		other.Import(d, now)
		third := described()
		listed(third, 2, "cc")
		Expect(third.Digest(other.Cursor()).Updates[0].Full).To(BeTrue())
	})

	It("counts the age of what another host told from when that one heard it", func() {
		listed(c, 1, "aa")
		now += 1500 * time.Millisecond
		other := described()
		other.Import(c.Digest(other.Cursor()), now)
		Expect(other.Plan(prompt, scope, 1, engine).Fetch[0]).To(Equal(near))
		now += 200 * time.Millisecond
		Expect(other.Plan(prompt, scope, 1, engine).Fetch[0]).To(BeEmpty())
	})
})
