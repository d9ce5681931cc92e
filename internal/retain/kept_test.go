package retain_test

import (
	"bytes"
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"sesamehill.example/sesamehill/internal/retain"
	_ "sesamehill.example/sesamehill/internal/seeds"
	"sesamehill.example/sesamehill/internal/target"
	"sesamehill.example/sesamehill/pkg/chain"
)

var start = time.Unix(1_800_000_000, 0)

func TestKept(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "retain")
}

func observedReturns() *retain.Returns {
	r := retain.NewReturns()
	for range 50 {
		r.RecordReturn("minutes", 4*time.Minute)
		r.RecordReturn("days", 30*time.Hour)
		r.RecordAbandoned("never")
	}
	return r
}

func newBlock(id byte, account string, idle time.Duration) retain.Block {
	return retain.Block{Key: chain.Key{id}, Account: account, Tokens: 4000, Bytes: 100, LastUsed: start.Add(-idle), Committed: true}
}

func keys(ps []retain.Block) string {
	out := ""
	for _, p := range ps {
		out += string('a' + rune(p.Key[0]))
	}
	return out
}

var _ = Describe("Ranking", func() {
	// Guards against return intervals of one account deciding for another account.
	It("estimates return intervals per account", func() {
		r := observedReturns()
		Expect(r.Probability("minutes", time.Minute, time.Hour)).To(BeNumerically(">", 0.9))
		Expect(r.Probability("days", time.Minute, time.Hour)).To(BeNumerically("<", 0.1))
		Expect(r.Probability("days", 20*time.Hour, 24*time.Hour)).To(BeNumerically(">", 0.9))
		Expect(r.Probability("never", time.Minute, 24*time.Hour)).To(BeNumerically("<", 0.1))
		Expect(retain.NewReturns().Probability("new", 0, time.Hour)).To(Equal(0.5))
	})

	// Guards against a probability of return that grows with the age of abandoned
	// prompts, and against evictions that cause more evictions of the same account.
	It("lowers the return probability of older prompts, and no longer counts an evicted prompt as abandoned when it returns", func() {
		r := retain.NewReturns()
		for range 50 {
			r.RecordReturn("a", 10*time.Minute)
			r.RecordReturn("a", 2*time.Hour)
			r.RecordAbandoned("a")
		}
		Expect(r.Probability("a", 90*time.Minute, 24*time.Hour)).To(BeNumerically("<", 0.6))
		Expect(r.Probability("a", 5*time.Hour, 24*time.Hour)).To(BeNumerically("<", 0.1))
		for range 50 {
			r.UndoAbandoned("a")
		}
		Expect(r.Probability("a", 90*time.Minute, 24*time.Hour)).To(BeNumerically(">", 0.9))
	})

	// Guards against a store that evicts unused blocks within minutes but keeps
	// those that return after hours.
	It("counts only returns that are expected before an unused block would be evicted", func() {
		r, minutes, days := observedReturns(), newBlock(0, "minutes", 0), newBlock(1, "days", 0)
		Expect(retain.Value(minutes, r, start)).To(BeNumerically("<", 4*retain.Value(days, r, start)))
		r.SetWindow(10 * time.Minute)
		Expect(retain.Value(minutes, r, start)).To(BeNumerically(">", 20*retain.Value(days, r, start)))
	})

	// Guards against evicting the head of a prompt before its tail, and evicting pinned
	// or uncommitted blocks.
	It("evicts the least valuable blocks, from the end of the prompt, and none that is pinned or uncommitted", func() {
		a, b, c, d, e := newBlock(0, "never", 0), newBlock(1, "never", 0), newBlock(2, "minutes", 0), newBlock(3, "never", 0), newBlock(4, "never", 0)
		b.Depth, d.Pinned, e.Committed = 1, true, false
		all := []retain.Block{a, b, c, d, e}
		Expect(keys(retain.Evict(all, 150, observedReturns(), start))).To(Equal("ba"))
		Expect(keys(retain.Evict(all, 300, observedReturns(), start))).To(Equal("bac"))
		Expect(retain.Evict(all, 301, observedReturns(), start)).To(BeNil())
	})

	// Guards against prefetches that use a region link for prompts that are
	// unlikely to return, or that delay other transfers.
	It("prefetches likely returns within idle capacity", func() {
		all := []retain.Block{newBlock(0, "never", time.Minute), newBlock(1, "minutes", 3*time.Minute), newBlock(2, "days", time.Minute), newBlock(3, "minutes", 3*time.Minute)}
		Expect(keys(retain.Prefetch(all, 200, 2*time.Minute, observedReturns(), start))).To(Equal("bd"))
		Expect(keys(retain.Prefetch(all, 150, 2*time.Minute, observedReturns(), start))).To(Equal("b"))
		Expect(retain.Prefetch(all, 0, 2*time.Minute, observedReturns(), start)).To(BeEmpty())
	})
})

// Guards against the use of a copy whose pin may have expired or was never
// granted, and against a pin that is granted late and never released.
var _ = Describe("Step", func() {
	pin := target.Pin{ID: "p", Generation: 1, Length: 3, Checksum: "c"}
	moved := retain.Transferred{Generation: 1, Length: 3, Checksum: "c"}
	It("uses only a copy that was transferred while its pin was valid", func() {
		pinning, _ := retain.Begin(retain.Request{TTL: 10 * time.Second}, start)
		transferring, _ := retain.Step(pinning, retain.Pinned{Pin: pin}, start.Add(8*time.Second))
		_, actions := retain.Step(transferring, moved, start.Add(8*time.Second))
		Expect(actions).To(Equal([]retain.Action{retain.Use{}, retain.Unpin{ID: "p"}}))
		_, actions = retain.Step(transferring, moved, start.Add(9*time.Second))
		Expect(actions).To(Equal([]retain.Action{retain.Recompute{Reason: "the pin may have expired"}, retain.Unpin{ID: "p"}}))
		for _, m := range []retain.Transferred{{Generation: 2, Length: 3, Checksum: "c"}, {Generation: 1, Length: 2, Checksum: "c"}, {Generation: 1, Length: 3, Checksum: "d"}} {
			_, actions = retain.Step(transferring, m, start)
			Expect(actions[0]).To(BeAssignableToTypeOf(retain.Recompute{}))
		}
		_, actions = retain.Step(pinning, retain.Transferred{}, start)
		Expect(actions).To(BeEmpty())
		failed, _ := retain.Step(pinning, retain.Failed{}, start)
		_, actions = retain.Step(failed, retain.Pinned{Pin: pin}, start)
		Expect(actions).To(Equal([]retain.Action{retain.Unpin{ID: "p"}}))
	})
})

// Guards against a wrong estimate: with one account and no abandoned prompt, the
// probability is the fraction of the observed intervals.
func TestChanceMatchesObservedFraction(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, observed := retain.NewReturns(), map[int]int{}
		for _, b := range rapid.SliceOfN(rapid.IntRange(1, 10), 1, 40).Draw(t, "buckets") {
			observed[b]++
			r.RecordReturn("a", time.Duration(1<<(b-1))*time.Second)
		}
		from := rapid.IntRange(1, 10).Draw(t, "from")
		to := rapid.IntRange(from, 11).Draw(t, "to")
		risk, back := 0, 0
		for b, n := range observed {
			if b >= from {
				risk += n
			}
			if b >= from && b < to {
				back += n
			}
		}
		want := 0.0
		if risk > 0 {
			want = float64(back) / float64(risk)
		}
		age := time.Duration(1<<(from-1)) * time.Second
		got := r.Probability("a", age, time.Duration(1<<(to-1))*time.Second-age)
		if math.Abs(got-want) > 1e-6 {
			t.Fatalf("from %d to %d of %v: got %g, want %g", from, to, observed, got, want)
		}
	})
}

// Guards against a plan that is worse than an exhaustive search over all sets of
// blocks of one size, that exceeds the store's capacity, or that evicts a pinned
// or uncommitted block.
func TestExportsMatchExhaustiveSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := func(n string, high int) int { return rapid.IntRange(0, high).Draw(t, n) }
		r, sameSize := observedReturns(), rapid.Bool().Draw(t, "same")
		var stored, candidates, all []retain.Block
		for i := range count("pieces", 9) {
			p := newBlock(byte(i), []string{"minutes", "days", "never"}[count("account", 2)], time.Duration(count("idle", 48))*time.Hour)
			p.Tokens, p.Pinned, p.Committed = 1+count("tokens", 4000), count("pinned", 3) == 0, count("sealed", 3) > 0
			if !sameSize {
				p.Bytes = int64(1 + count("bytes", 300))
			}
			if all = append(all, p); rapid.Bool().Draw(t, "stored") {
				stored = append(stored, p)
			} else {
				candidates = append(candidates, p)
			}
		}
		free := int64(count("free", 3) * 100)
		plan := retain.Exports(candidates, stored, free, r, start)
		bytes, capacity, total := int64(0), free, 0.0
		in := map[chain.Key]bool{}
		for _, p := range stored {
			in[p.Key] = true
			capacity += p.Bytes
		}
		for _, p := range plan.Evictions {
			if p.Pinned || !p.Committed || !in[p.Key] {
				t.Fatalf("evicts %+v", p)
			}
			delete(in, p.Key)
		}
		for _, p := range plan.Exports {
			if !p.Committed || in[p.Key] {
				t.Fatalf("exports %+v", p)
			}
			in[p.Key] = true
		}
		best := 0.0
		for set := range 1 << len(all) {
			size, sum, valid := int64(0), 0.0, true
			for i, p := range all {
				old, has := slices.Contains(stored, p), set>>i&1 == 1
				valid = valid && (has || !old || (!p.Pinned && p.Committed)) && (old || !has || p.Committed)
				if has {
					size, sum = size+p.Bytes, sum+retain.Value(p, r, start)
				}
			}
			if valid && size <= capacity {
				best = max(best, sum)
			}
		}
		for _, p := range all {
			if in[p.Key] {
				bytes, total = bytes+p.Bytes, total+retain.Value(p, r, start)
			}
		}
		if bytes > capacity || (sameSize && total < best-1e-9) {
			t.Fatalf("%d bytes of %d, value %g of %g", bytes, capacity, total, best)
		}
	})
}

// storedBlock is a block at a store without any checks on reads: it serves its
// current bytes, as after a crash or under a reused generation number.
type storedBlock struct {
	generation uint64
	data       []byte
	committed  bool
	pins       map[string]time.Time
}

func (b *storedBlock) pinned(now time.Time) bool {
	return slices.ContainsFunc(slices.Collect(maps.Values(b.pins)), now.Before)
}

// Guards against an answer from a freed, torn or partly written block (P1) and a
// pin that is never released, over random interleavings of begin, write, commit,
// pin, free, expire, crash and import.
func TestImportsAreSafe(t *testing.T) {
	const size, ttl = 3, 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		count := func(n string, low, high int) int { return rapid.IntRange(low, high).Draw(t, n) }
		var b *storedBlock
		var i retain.Import
		var copied, committed []byte
		var actions []retain.Action
		var granted *target.Pin
		var expires time.Time
		now, generations, pins, transferring, idle := start, uint64(0), 0, false, true
		do := func(next retain.Import, as []retain.Action) {
			i = next
			actions = append(actions, as...)
		}
		for range count("steps", 30, 120) {
			step := rapid.SampledFrom([]string{"begin", "write", "fill", "fill", "free", "expire", "crash", "import", "import", "act", "act", "act", "act", "act", "reply", "reply", "reply", "read", "read", "read", "read", "read", "read"}).Draw(t, "step")
			switch step {
			case "begin":
				if b == nil || !b.pinned(now) {
					generations++
					b = &storedBlock{generation: generations, pins: map[string]time.Time{}}
				}
			case "write", "fill":
				for b != nil && !b.committed {
					b.data = append(b.data, byte(count("byte", 0, 1)))
					b.committed = len(b.data) == size
					if step == "write" {
						break
					}
				}
			case "free":
				if b != nil && !b.pinned(now) {
					b = nil
				}
			case "expire":
				now = now.Add(time.Duration(rapid.SampledFrom([]int{1, 9, 9}).Draw(t, "seconds")) * time.Second)
				if !idle && rapid.Bool().Draw(t, "tick") {
					do(retain.Step(i, retain.Tick{}, now))
				}
			case "crash":
				// Pins and uncommitted blocks are lost; generation numbers may be reused.
				if b != nil && !b.committed {
					b = nil
				} else if b != nil {
					clear(b.pins)
				}
				generations = uint64(count("gens", 0, int(generations)))
			case "import":
				if idle || (granted == nil && (i.Phase == retain.Ready || i.Phase == retain.Dropped) && len(actions) == 0) {
					idle, transferring = false, false
					do(retain.Begin(retain.Request{Key: chain.Key{1}, TTL: ttl}, now))
				}
			case "act":
				if len(actions) == 0 {
					break
				}
				a := actions[0]
				actions = actions[1:]
				switch a := a.(type) {
				case retain.RequestPin:
					if b == nil || !b.committed {
						do(retain.Step(i, retain.Failed{}, now))
						break
					}
					pins++
					expires, committed = now.Add(ttl), bytes.Clone(b.data)
					granted = &target.Pin{ID: fmt.Sprint(pins), Generation: b.generation, Length: size, Checksum: string(b.data), Expires: expires}
					b.pins[granted.ID] = expires
				case retain.Transfer:
					transferring, copied = true, nil
				case retain.Unpin:
					if b != nil {
						delete(b.pins, a.ID)
					}
				}
			case "reply":
				if granted != nil {
					do(retain.Step(i, retain.Pinned{Pin: *granted}, now))
					granted = nil
				}
			case "read":
				if !transferring {
					break
				}
				if b == nil || len(b.data) <= len(copied) {
					transferring = false
					do(retain.Step(i, retain.Failed{}, now))
				} else if copied = append(copied, b.data[len(copied)]); len(copied) == size {
					transferring = false
					next, as := retain.Step(i, retain.Transferred{Generation: b.generation, Length: size, Checksum: string(copied)}, now)
					for _, a := range as {
						if _, ok := a.(retain.Use); ok && (!bytes.Equal(copied, committed) || b.generation != i.Pin.Generation || !now.Before(expires)) {
							t.Fatalf("uses %v of generation %d, committed was %v; %v after the pin expired", copied, b.generation, committed, now.Sub(expires))
						}
					}
					do(next, as)
				}
			}
		}
		// In every case the import ends and all of its pins are released.
		if granted != nil {
			do(retain.Step(i, retain.Pinned{Pin: *granted}, now))
		}
		if !idle {
			do(retain.Step(i, retain.Failed{}, now))
			if i.Phase != retain.Ready && i.Phase != retain.Dropped {
				t.Fatalf("import did not end: phase %d", i.Phase)
			}
		}
		for _, a := range actions {
			if u, ok := a.(retain.Unpin); ok && b != nil {
				delete(b.pins, u.ID)
			}
		}
		if b != nil && len(b.pins) > 0 {
			t.Fatalf("pins %v were not released", b.pins)
		}
	})
}

func BenchmarkExports(b *testing.B) {
	for _, n := range []int{1000, 20_000} {
		b.Run(fmt.Sprintf("pieces=%d", n), func(b *testing.B) {
			r := observedReturns()
			stored := make([]retain.Block, n)
			for i := range stored {
				stored[i] = newBlock(0, []string{"minutes", "days", "never"}[i%3], time.Duration(i)*time.Second)
				stored[i].Key = chain.Key{byte(i), byte(i >> 8), 1}
			}
			for b.Loop() {
				retain.Exports([]retain.Block{newBlock(1, "days", 0)}, stored, 0, r, start)
			}
		})
	}
}
