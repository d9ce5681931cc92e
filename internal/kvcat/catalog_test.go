package kvcat_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/homes"
	"sesamehill.example/sesamehill/internal/kvcat"
	"sesamehill.example/sesamehill/internal/opconf"
	"sesamehill.example/sesamehill/internal/proxy"
)

func TestCatalog(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "kvcat")
}

const (
	namespace = "m/1"
	near      = "10.0.0.1:80"
	far       = "10.0.0.2:80"
)

var _ = Describe("a catalog", func() {
	var now time.Duration
	var c *kvcat.Catalog
	prompt := &proxy.Prompt{Model: "m", InputTokens: 1200, Parts: []proxy.Part{{ID: "aa", Tokens: 200}, {ID: "bb", Tokens: 800}, {ID: "own", Tokens: 200}}}
	engine := fleet.Target{ID: "e", Zone: "sul-a"}
	clock := func() time.Duration { return now }
	newCatalog := func() *kvcat.Catalog {
		s, err := opconf.New(opconf.Config{Services: []opconf.Service{
			{Name: "llm", Engine: &opconf.Engine{TokenBytes: 163840, LinkMbps: 180000}},
			{Name: "near", Store: &opconf.Store{Address: near, Zone: "sul-a", CapacityTokens: 10000, LinkMbps: 360000, Managed: true}},
			{Name: "far", Store: &opconf.Store{Address: far, Zone: "sudeste-a", CapacityTokens: 10000, LinkMbps: 360000, Managed: true}},
		}})
		Expect(err).NotTo(HaveOccurred())
		c := kvcat.NewCatalog(map[string]string{"sul-a": "sul", "sudeste-a": "sudeste"}, kvcat.WithClock(clock))
		c.SetStores(s)
		return c
	}
	stored := func(parts ...string) []kvcat.StoredPart {
		var out []kvcat.StoredPart
		for _, p := range parts {
			out = append(out, kvcat.StoredPart{Key: kvcat.Key{Namespace: namespace, Part: p}, Tokens: 800})
		}
		return out
	}
	// list records a listing with these parts of the near store, and an empty one of
	// the far store.
	list := func(c *kvcat.Catalog, epoch uint64, parts ...string) {
		c.RecordListing(near, kvcat.Listing{Epoch: epoch, Next: 1, Parts: stored(parts...), ClockMs: now.Milliseconds() + 1000}, now)
		c.RecordListing(far, kvcat.Listing{Epoch: epoch, Next: 1, ClockMs: now.Milliseconds() + 1000}, now)
	}
	// skipRestartHold advances the clock until saves are allowed and polls both stores.
	skipRestartHold := func() {
		now += 10 * time.Second
		c.RecordEvents(near, kvcat.Events{Epoch: 1, Next: 1}, now)
		c.RecordEvents(far, kvcat.Events{Epoch: 1, Next: 1}, now)
	}
	BeforeEach(func() {
		now = time.Minute
		c = newCatalog()
		list(c, 1)
		skipRestartHold()
	})

	It("saves shared parts in the region of the engine, and never the last part", func() {
		plan := c.Plan(prompt, namespace, 1, engine)
		Expect(plan.Save).To(Equal([]string{near, near, ""}))
		Expect(plan.Fetch).To(Equal([]string{"", "", ""}))
	})

	It("requests the save of a part once", func() {
		c.Plan(prompt, namespace, 1, engine)
		Expect(c.Plan(prompt, namespace, 1, engine).Save).To(Equal([]string{"", "", ""}))
	})

	// Guards against fetches that take longer than a recomputation because the link
	// of the store is slower than that of the engine, and that delay other fetches
	// behind them.
	It("recomputes a part if the link of its store is too slow", func() {
		fetchSource := func(mbps float64) string {
			s, err := opconf.New(opconf.Config{Services: []opconf.Service{
				{Name: "llm", Engine: &opconf.Engine{TokenBytes: 131072, LinkMbps: 1100000}},
				{Name: "near", Store: &opconf.Store{Address: near, Zone: "sul-a", CapacityTokens: 10000, LinkMbps: mbps, Managed: true}},
			}})
			Expect(err).NotTo(HaveOccurred())
			c = kvcat.NewCatalog(map[string]string{"sul-a": "sul"}, kvcat.WithClock(clock))
			c.SetStores(s)
			c.RecordListing(near, kvcat.Listing{Epoch: 1, Next: 1, Parts: stored("bb"), ClockMs: now.Milliseconds()}, now)
			plan := c.Plan(prompt, namespace, 1, engine)
			if plan.Fetch[1] != "" {
				Expect(plan.FetchMs).To(BeNumerically("~", 800*131072*8/(mbps*1000), 0.01))
			}
			return plan.Fetch[1]
		}
		Expect(fetchSource(480000)).To(Equal(near))
		Expect(fetchSource(140000)).To(Equal(near))
		Expect(fetchSource(10000)).To(BeEmpty())
	})

	// Guards against a wrong cause of recomputation in the metrics and the log,
	// which would lead operators to the wrong change.
	It("reports why shared parts are recomputed", func() {
		recomputed := func(version int, namespace string) proxy.RecomputeCounts {
			return c.Plan(prompt, namespace, version, engine).Recomputed
		}
		Expect(recomputed(1, namespace)).To(Equal(proxy.RecomputeCounts{proxy.CauseFirstUse: 1000}))
		Expect(recomputed(1, namespace)).To(BeEmpty(), "the parts are probably resident")
		engine := engine
		engine.ID = "another"
		Expect(c.Plan(prompt, namespace, 1, engine).Recomputed).To(Equal(proxy.RecomputeCounts{proxy.CauseSavePending: 1000}))
		now += 10 * time.Second
		Expect(c.Plan(prompt, namespace, 1, engine).Recomputed).To(Equal(proxy.RecomputeCounts{proxy.CauseStoreStale: 1000}))
		skipRestartHold()
		Expect(c.Plan(prompt, namespace, 1, engine).Recomputed).To(Equal(proxy.RecomputeCounts{proxy.CauseNotStored: 1000}))
		engine.ID, engine.Zone = "third", "sudeste-a"
		list(c, 1, "aa", "bb")
		Expect(c.Plan(prompt, namespace, 1, engine).Recomputed).To(Equal(proxy.RecomputeCounts{proxy.CauseFetchDistant: 800}), "the small part is fetched")
	})

	// Guards against a fetch of a part that is still being written.
	It("fetches only parts that an event or a listing reports as complete", func() {
		c.Plan(prompt, namespace, 1, engine)
		Expect(c.Plan(prompt, namespace, 1, engine).Fetch).To(Equal([]string{"", "", ""}))
		c.RecordEvents(near, kvcat.Events{Epoch: 1, Next: 2, Events: []kvcat.Event{{StoredPart: stored("bb")[0], Added: true}}}, now)
		plan := c.Plan(prompt, namespace, 1, engine)
		Expect(plan.Fetch).To(Equal([]string{"", near, ""}))
		Expect(plan.FetchDeadlineMs).To(BeNumerically(">", now.Milliseconds()+1000))
	})

	// Guards against a fetch from a store that has restarted and is being filled
	// again while this host could not poll it.
	It("stops using the state of a store that has not been polled for maxStateAge", func() {
		list(c, 1, "aa", "bb")
		now += 1700 * time.Millisecond
		Expect(c.Plan(prompt, namespace, 1, engine).Fetch).To(Equal([]string{"", "", ""}))
	})

	It("saves nothing in a restarted store until all older state and fetches have expired", func() {
		list(c, 2)
		Expect(c.Plan(prompt, namespace, 1, engine).Save).To(Equal([]string{"", "", ""}))
		now += 3 * time.Second
		c.RecordEvents(near, kvcat.Events{Epoch: 2, Next: 1}, now)
		Expect(c.Plan(prompt, namespace, 1, engine).Save).To(Equal([]string{"", "", ""}))
		now += time.Second
		c.RecordEvents(near, kvcat.Events{Epoch: 2, Next: 1}, now)
		Expect(c.Plan(prompt, namespace, 1, engine).Save).To(Equal([]string{near, near, ""}))
	})

	// Guards against a slow store whose fetches delay all other fetches of an
	// engine until every prompt is recomputed.
	It("recomputes instead of fetching from a store that became slow, and tries the store again later", func() {
		list(c, 1, "aa", "bb")
		for range 20 {
			c.RecordFetch([]string{near}, 8, 1500*time.Millisecond)
		}
		Expect(c.Plan(prompt, namespace, 1, engine).Fetch).To(Equal([]string{"", "", ""}))
		_, stored, _ := c.Lookup(prompt, namespace).Estimate(engine)
		Expect(stored).To(BeZero())
		now += 20 * time.Second
		list(c, 1, "aa", "bb")
		Expect(c.Plan(prompt, namespace, 1, engine).Fetch).To(Equal([]string{near, near, ""}))
	})

	// Guards against KV cache entries of another account or of other weights in a
	// prompt.
	It("separates dedicated accounts and weight versions", func() {
		dedicated, all, sul := &opconf.Account{Name: "bees", Dedicated: true}, homes.Regions{}, homes.Of([]string{"sul"})
		namespaces := map[string]bool{}
		for _, s := range []string{
			c.Namespace("m", 1, nil, all), c.Namespace("m", 2, nil, all), c.Namespace("n", 1, nil, all), c.Namespace("m", 1, dedicated, all),
			c.Namespace("m", 1, &opconf.Account{Name: "wasps", Dedicated: true}, all),
			c.Namespace("m", 1, nil, sul), c.Namespace("m", 1, nil, homes.Of([]string{"sudeste"})), c.Namespace("m", 1, dedicated, sul),
			c.Namespace("m", 1, &opconf.Account{Name: dedicated.Name + "/sul", Dedicated: true}, all),
		} {
			namespaces[s] = true
		}
		Expect(namespaces).To(HaveLen(9))
		Expect(c.Namespace("m", 1, &opconf.Account{Name: "open"}, all)).To(Equal(c.Namespace("m", 1, nil, all)))
	})

	// Guards against the memory of a prompt with allowed regions in a store outside these,
	// and against a fetch from there.
	It("uses only stores in the allowed regions", func() {
		sul := c.Namespace("m", 1, nil, homes.Of([]string{"sul", "norte"}))
		small := &proxy.Prompt{Model: "m", InputTokens: 20, Parts: []proxy.Part{{ID: "aa", Tokens: 10}, {ID: "own", Tokens: 10}}}
		holdFar := func(namespace string) {
			part := kvcat.StoredPart{Key: kvcat.Key{Namespace: namespace, Part: "aa"}, Tokens: 10}
			c.RecordListing(far, kvcat.Listing{Epoch: 1, Next: 1, Parts: []kvcat.StoredPart{part}, ClockMs: now.Milliseconds() + 1000}, now)
		}
		holdFar(namespace)
		Expect(c.Plan(small, namespace, 1, engine).Fetch[0]).To(Equal(far), "without a restriction the fetch pays")
		holdFar(sul)
		Expect(c.Plan(small, sul, 1, engine).Fetch[0]).To(BeEmpty())
		_, stored, _ := c.Lookup(small, sul).Estimate(engine)
		Expect(stored).To(BeZero())
		outside := c.Plan(prompt, sul, 1, fleet.Target{ID: "x", Zone: "sudeste-a"})
		Expect(append(outside.Fetch, outside.Save...)).To(HaveEach(""))
		Expect(c.Garbage(map[string]int{"m": 2})).NotTo(BeEmpty(), "entries of replaced weights are freed")
	})

	It("returns only parts of replaced weights as garbage", func() {
		list(c, 1, "aa", "bb")
		Expect(c.Garbage(map[string]int{"m": 1})).To(BeEmpty())
		g := c.Garbage(map[string]int{"m": 2})
		Expect(g).To(HaveLen(1))
		Expect(g[0].Keys).To(HaveLen(2))
		Expect(g[0].Epoch).To(Equal(uint64(1)))
	})

	// Guards against hosts that miss an added or dropped part because only a few
	// hosts poll the stores.
	It("sends another host the changes, and the complete contents after a gap", func() {
		list(c, 1, "aa")
		other := newCatalog()
		other.ApplyUpdate(c.UpdateSince(other.Cursor()), now)
		Expect(other.Plan(prompt, namespace, 1, engine).Fetch[0]).To(Equal(near))
		c.RecordEvents(near, kvcat.Events{Epoch: 1, Next: 2, Events: []kvcat.Event{{StoredPart: stored("bb")[0], Added: true}}}, now)
		update := c.UpdateSince(other.Cursor())
		Expect(update.Updates[0].Full).To(BeFalse())
		Expect(update.Updates[0].Events).To(HaveLen(1))
		other.ApplyUpdate(update, now)
		Expect(other.Plan(prompt, namespace, 1, engine).Fetch[:2]).To(Equal([]string{near, near}))
		for i := range 3000 {
			e := kvcat.Event{StoredPart: stored(fmt.Sprint("p", i))[0], Added: true}
			c.RecordEvents(near, kvcat.Events{Epoch: 1, Next: uint64(3 + i), Events: []kvcat.Event{e}}, now)
		}
		Expect(c.UpdateSince(other.Cursor()).Updates[0].Full).To(BeTrue())
	})

	// Guards against updates that name every store although one has changed, and
	// against the expiry of stores that do not change.
	It("sends updates of changed stores only to a host that requests this, and of all stores to others", func() {
		list(c, 1, "aa")
		c.RecordListing(far, kvcat.Listing{Epoch: 1, Next: 1}, now)
		other := newCatalog()
		other.ApplyUpdate(c.UpdateSince(other.Cursor()), now)
		cursor := other.Cursor()
		cursor.ChangedOnly = true
		Expect(c.UpdateSince(cursor).Updates).To(BeEmpty())
		c.RecordEvents(near, kvcat.Events{Epoch: 1, Next: 2, Events: []kvcat.Event{{StoredPart: stored("bb")[0], Added: true}}}, now)
		Expect(c.UpdateSince(cursor).Updates).To(HaveLen(1))
		cursor.ChangedOnly = false
		Expect(c.UpdateSince(cursor).Updates).To(HaveLen(2))
	})

	// Guards against dropped parts that a host still relies on after it missed the
	// restart of a store or switched to the catalog of another host.
	It("sends the complete contents after a restart of the store, and to a host that followed another catalog", func() {
		list(c, 1, "aa")
		other := newCatalog()
		other.ApplyUpdate(c.UpdateSince(other.Cursor()), now)
		c.RecordEvents(near, kvcat.Events{Epoch: 2, Next: 1}, now)
		other.ApplyUpdate(c.UpdateSince(other.Cursor()), now)
		list(c, 2, "bb")
		cursor := other.Cursor()
		cursor.ChangedOnly = true
		update := c.UpdateSince(cursor)
		Expect(update.Updates).To(HaveLen(2))
		Expect([]bool{update.Updates[0].Full, update.Updates[1].Full}).To(Equal([]bool{true, true}))
		other.ApplyUpdate(update, now)
		third := newCatalog()
		list(third, 2, "cc")
		Expect(third.UpdateSince(other.Cursor()).Updates[0].Full).To(BeTrue())
	})

	It("counts the age of an update from when the sending host polled the store", func() {
		list(c, 1, "aa")
		now += 1500 * time.Millisecond
		other := newCatalog()
		other.ApplyUpdate(c.UpdateSince(other.Cursor()), now)
		Expect(other.Plan(prompt, namespace, 1, engine).Fetch[0]).To(Equal(near))
		now += 200 * time.Millisecond
		Expect(other.Plan(prompt, namespace, 1, engine).Fetch[0]).To(BeEmpty())
	})
})
