package idem

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"sesamehill.example/sesamehill/internal/slope"
	"sesamehill.example/sesamehill/internal/table"
	"sesamehill.example/sesamehill/internal/target"
)

// countingTable is a table that counts the bytes of its writes as JSON.
type countingTable struct {
	*memoryTable
	mu    sync.Mutex
	bytes int
}

func (s *countingTable) Write(ctx context.Context, ops []table.Op) error {
	data, err := json.Marshal(ops)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.bytes += len(data)
	s.mu.Unlock()
	return s.memoryTable.Write(ctx, ops)
}

// BenchmarkCapacityClaims reports the cost of an idempotency record by the number
// of concurrent calls. The cost includes recording an answer of 64 bytes.
func BenchmarkCapacityClaims(b *testing.B) {
	answer := func(context.Context) (target.Answer, error) {
		return target.Answer{Status: 200, Body: make([]byte, 64)}, nil
	}
	lastKey := 0
	runConcurrently := func(b *testing.B, c *Claims, n int) {
		var g sync.WaitGroup
		for range n {
			lastKey++
			r := Request{Account: "account-00001", Key: fmt.Sprintf("key-%032d", lastKey), Fingerprint: fmt.Sprintf("%064d", lastKey)}
			g.Go(func() {
				if o, err := c.Do(context.Background(), r, answer); err != nil {
					b.Errorf("outcome %v, error %v", o, err)
				}
			})
		}
		g.Wait()
	}
	sizes := []int{1, 8, 32, 128}
	start := func(t table.Table) *Claims { return New(t, WithWriteRate(1e6), WithSweep(time.Hour, 1)) }
	slope.CPUTimePerOperation(b, "claim", sizes, func(n int) int { return n }, func(n int) func() {
		c := start(newMemoryTable())
		b.Cleanup(func() { _ = c.Close(context.Background()) })
		return func() { runConcurrently(b, c, n) }
	})
	slope.Values(b, "written", "B", sizes, func(n int) float64 {
		s := &countingTable{memoryTable: newMemoryTable()}
		c := start(s)
		runConcurrently(b, c, n)
		_ = c.Close(context.Background())
		return float64(s.bytes)
	})
	slope.Values(b, "cache", "B", []int{1000, 2000, 4000, 8000}, func(n int) float64 {
		return slope.HeapBytes(func() any {
			c := newCache(1<<20, 1<<30)
			for i := range n {
				c.add(fmt.Sprintf("claim/%064d", i), cacheEntry{
					fingerprint: fmt.Sprintf("%064d", i), answer: &target.Answer{Status: 200, Body: make([]byte, 64)},
				})
			}
			return c
		})
	})
}
