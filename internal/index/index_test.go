package index_test

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/zeebo/blake3"
	"pgregory.net/rapid"

	"sesamehill.example/sesamehill/internal/index"
	_ "sesamehill.example/sesamehill/internal/seeds"
	"sesamehill.example/sesamehill/internal/target"
	"sesamehill.example/sesamehill/pkg/chain"
)

func TestIndex(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "index")
}

func key(n int) chain.Key { return blake3.Sum256(binary.LittleEndian.AppendUint64(nil, uint64(n))) }

func stored(seq uint64, n int) target.Event {
	return target.Event{Sequence: seq, Kind: target.BlockStored, Key: key(n), ShardKey: key(n / 10 * 10)}
}

func filled(blocks int) *index.Shard {
	s := index.NewShard()
	for n := range blocks {
		s.Apply(index.Record{Target: "t", After: uint64(n), Last: uint64(n + 1), Events: []target.Event{stored(uint64(n+1), n)}})
	}
	return s
}

var _ = Describe("Shard", func() {
	// Guards against new owners for chains that the leaving host did not own.
	It("reassigns only the chains of a host that leaves", func() {
		hosts := []string{"a", "b", "c", "d", "e", "f"}
		before, after := index.NewOwners(hosts), index.NewOwners(hosts[1:])
		counts := map[string]int{}
		for n := range 6000 {
			old, now := before.Lookup(key(n)), after.Lookup(key(n))
			Expect(old).To(HaveLen(2))
			Expect(old[0]).NotTo(Equal(old[1]))
			counts[old[0]]++
			counts[old[1]]++
			for _, h := range old {
				Expect(h == "a" || after.IsOwner(h, key(n))).To(BeTrue(), "%v %v", old, now)
			}
		}
		for _, n := range counts {
			Expect(n).To(BeNumerically("~", 2000, 200))
		}
	})

	// Guards against entries that remain at a former owner, and against a new owner
	// that does not mark its incomplete shard as suspect.
	It("drops the entries of chains that it no longer owns and marks targets suspect when it owns more", func() {
		two, three := index.NewOwners([]string{"a", "b"}), index.NewOwners([]string{"a", "b", "c"})
		s := filled(3000)
		Expect(s.Suspects()).To(BeEmpty())
		s.Rebalance("a", two, three)
		Expect(s.Len()).To(BeNumerically("~", 2000, 250))
		Expect(s.Suspects()).To(BeEmpty())
		s.Rebalance("a", three, two)
		Expect(s.Suspects()).To(Equal([]string{"t"}))
	})

	// Guards against false negatives of the filter and a wrong false positive rate.
	It("returns the filter's false positive rate", func() {
		f := filled(20_000).Filter()
		Expect(f.Keys).To(Equal(2000))
		Expect(f.Bits).To(HaveLen(2500))
		falsePositives := 0
		for n := range 200_000 {
			if n < 20_000 && n%10 == 0 {
				Expect(f.MayContain(key(n))).To(BeTrue())
			} else if f.MayContain(key(n)) {
				falsePositives++
			}
		}
		Expect(float64(falsePositives) / 198_000).To(And(BeNumerically("~", f.FalsePositiveRate(), 0.002), BeNumerically("<", 0.01)))
	})
})

type targetModel struct {
	last    uint64
	suspect bool
	blocks  map[int]bool
}

// Guards against holders that differ from a plain map for each target, over
// random records, gaps, late and duplicate events, inventories and removed targets.
func TestShardMatchesPlainMaps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := func(n string, low, high int) int { return rapid.IntRange(low, high).Draw(t, n) }
		s, models := index.NewShard(), map[string]*targetModel{}
		for range count("steps", 1, 40) {
			name := fmt.Sprint(count("target", 0, 7))
			kind := index.Kind(name[0] % 2)
			m := models[name]
			if m == nil {
				m = &targetModel{blocks: map[int]bool{}}
				models[name] = m
			}
			switch count("step", 0, 4) {
			default:
				after := uint64(max(0, int(m.last)+count("gap", -3, 1)))
				r := index.Record{Target: name, Kind: kind, After: after, Last: after}
				for range count("events", 0, 6) {
					r.Last++
					n := count("piece", 0, 9)
					e := stored(r.Last, n)
					e.Kind = []target.EventKind{target.BlockStored, target.BlockStored, target.BlockStored, target.BlockRemoved, target.AllBlocksCleared}[count("kind", 0, 4)]
					r.Events = append(r.Events, e)
					if r.Last <= m.last {
						continue
					}
					switch e.Kind {
					case target.BlockStored:
						m.blocks[n] = true
					case target.BlockRemoved:
						delete(m.blocks, n)
					case target.AllBlocksCleared:
						clear(m.blocks)
					}
				}
				m.suspect = m.suspect || r.After > m.last
				m.last = max(m.last, r.Last)
				if s.Apply(r) != m.suspect {
					t.Fatalf("%s: suspect should be %v", name, m.suspect)
				}
			case 3:
				v := target.Inventory{Sequence: uint64(max(0, int(m.last)+count("age", -1, 2)))}
				fresh := map[int]bool{}
				for n := range 10 {
					if rapid.Bool().Draw(t, "resident") {
						fresh[n] = true
						v.Blocks = append(v.Blocks, target.ResidentBlock{Key: key(n), ShardKey: key(0)})
					}
				}
				if s.Replace(name, kind, v) != (v.Sequence >= m.last) {
					t.Fatalf("inventory at %d after events up to %d", v.Sequence, m.last)
				}
				if v.Sequence >= m.last {
					m.blocks, m.last, m.suspect = fresh, v.Sequence, false
				}
			case 4:
				s.RemoveTarget(name)
				delete(models, name)
			}
			compare(t, s, models)
		}
	})
}

func compare(t *rapid.T, s *index.Shard, models map[string]*targetModel) {
	keys := make([]chain.Key, 10)
	for n := range keys {
		keys[n] = key(n)
	}
	held := func(n int) bool {
		for _, m := range models {
			if m.blocks[n] {
				return true
			}
		}
		return false
	}
	end := 0
	for end < 10 && held(end) {
		end++
	}
	want := map[index.Holder]bool{}
	for name, m := range models {
		for first := 0; first < end; first++ {
			last := first
			for last < end && m.blocks[last] {
				last++
			}
			if last > first && (first == 0 || index.Kind(name[0]%2) == index.Store) {
				want[index.Holder{Target: name, Kind: index.Kind(name[0] % 2), First: first, End: last, Suspect: m.suspect}] = true
			}
			first = last
		}
	}
	got := s.Lookup(keys)
	for _, h := range got {
		if !want[h] {
			t.Fatalf("got %+v, want %+v", got, want)
		}
	}
	if len(got) != len(want) {
		t.Fatalf("got %+v, want %+v", got, want)
	}
}

// The design size is 1.3 M blocks with 2 owners over 17 hosts of a zone.
func BenchmarkShard(b *testing.B) {
	for _, n := range []int{15_300, 153_000} {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		s := index.NewShard()
		for i := range n {
			s.Apply(index.Record{Target: fmt.Sprint("engine-", i/10%1300), Last: uint64(i + 1), Events: []target.Event{stored(uint64(i+1), i)}})
			s.Apply(index.Record{Target: fmt.Sprint("store-", i/10%19), Kind: index.Store, Last: uint64(i + 1), Events: []target.Event{stored(uint64(i+1), i)}})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		keys := make([]chain.Key, 10)
		for i := range keys {
			keys[i] = key(i)
		}
		b.Run(fmt.Sprintf("lookup/pieces=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				s.Lookup(keys)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/piece")
		})
		b.Run(fmt.Sprintf("replace/pieces=%d", n), func(b *testing.B) {
			for b.Loop() {
				s.Replace("other", index.Engine, target.Inventory{Sequence: 1, Blocks: []target.ResidentBlock{{Key: key(1), ShardKey: key(0)}}})
			}
		})
	}
}
