package links_test

import (
	"testing"
	"time"

	"sesamehill.example/sesamehill/internal/links"
	"sesamehill.example/sesamehill/internal/slope"
)

// BenchmarkCapacityTransfers measures the cost of one transfer against the
// number of transfers that wait for the same link.
func BenchmarkCapacityTransfers(b *testing.B) {
	sizes := []int{16, 64, 256, 1024}
	slope.CPUTime(b, "transfer", sizes, func(n int) func() {
		l, now, id := links.New(conf, start), start, uint64(0)
		submit := func() {
			id++
			l.Submit(transfer(id, 0, 3750, float64(id%97), links.Import), now)
		}
		for range n {
			submit()
		}
		return func() {
			submit()
			now = now.Add(time.Millisecond)
			for _, t := range l.Next(now) {
				l.Done(t.ID, t.Bytes, now)
			}
		}
	})
	slope.Values(b, "memory", "B", sizes, func(n int) float64 {
		return slope.HeapBytes(func() any {
			l := links.New(conf, start)
			for i := range n {
				l.Submit(transfer(uint64(i+1), 0, 3750, 1, links.Import), start)
			}
			return l
		})
	})
}
