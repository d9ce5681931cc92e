package index_test

import (
	"fmt"
	"testing"

	"sesamehill.example/sesamehill/internal/index"
	"sesamehill.example/sesamehill/internal/slope"
	"sesamehill.example/sesamehill/internal/target"
	"sesamehill.example/sesamehill/pkg/chain"
)

// blockCounts ends above the number of blocks of one host at the design size.
var blockCounts = []int{4_000, 8_000, 16_000, 32_000}

// heldShard returns a shard whose blocks are each held by an engine and a store.
func heldShard(blocks int) *index.Shard {
	s := index.NewShard()
	for i := range blocks {
		e := []target.Event{stored(uint64(i+1), i)}
		s.Apply(index.Record{Target: fmt.Sprint("engine-", i/10%69), Last: uint64(i + 1), Events: e})
		s.Apply(index.Record{Target: fmt.Sprint("store-", i/10%8), Kind: index.Store, Last: uint64(i + 1), Events: e})
	}
	return s
}

// BenchmarkCapacityIndex measures the cost of a host's part of the index against the
// number of its blocks.
func BenchmarkCapacityIndex(b *testing.B) {
	slope.Values(b, "memory", "B", blockCounts, func(n int) float64 {
		return slope.HeapBytes(func() any { return heldShard(n) })
	})
	slope.Values(b, "filter", "B", blockCounts, func(n int) float64 { return float64(len(heldShard(n).Filter().Bits)) })
	slope.CPUTime(b, "filter", blockCounts, func(n int) func() {
		s := heldShard(n)
		return func() { s.Filter() }
	})
	slope.CPUTime(b, "replace", blockCounts, func(n int) func() {
		s := heldShard(n)
		v := target.Inventory{Sequence: 1 << 40}
		for i := range n / 8 {
			v.Blocks = append(v.Blocks, target.ResidentBlock{Key: key(i), ShardKey: key(i / 10 * 10)})
		}
		return func() { s.Replace("store-0", index.Store, v) }
	})
	slope.CPUTime(b, "rebalance", blockCounts, func(n int) func() {
		s := heldShard(n)
		hosts := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m", "n", "o", "p", "q"}
		before, after := index.NewOwners(hosts), index.NewOwners(hosts[1:])
		s.Rebalance("b", before, after)
		return func() { s.Rebalance("b", before, after) }
	})
	events := []int{1, 4, 16, 64}
	slope.CPUTime(b, "apply", events, func(n int) func() {
		s, seq := heldShard(16_000), uint64(1<<40)
		return func() {
			r := index.Record{Target: "engine-1", After: seq, Last: seq + uint64(n)}
			for i := range n {
				e := stored(seq+uint64(i+1), i%100+100_000)
				if seq/uint64(n)%2 == 1 {
					e.Kind = target.BlockRemoved
				}
				r.Events = append(r.Events, e)
			}
			seq += uint64(n)
			s.Apply(r)
		}
	})
	slope.CPUTime(b, "lookup", []int{1, 4, 10, 40}, func(n int) func() {
		s := heldShard(16_000)
		keys := make([]chain.Key, n)
		for i := range keys {
			keys[i] = key(i)
		}
		return func() { s.Lookup(keys) }
	})
}
