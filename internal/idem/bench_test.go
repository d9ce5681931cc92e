package idem

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"sesamehill.example/sesamehill/internal/target"
)

// BenchmarkBatch reports idempotency records and table writes per second with 64 callers, a
// table that answers after 5 ms, and the default write rate of 40 per second.
func BenchmarkBatch(b *testing.B) {
	c := New(&faultyTable{memoryTable: newMemoryTable(), pick: func(string) fault {
		time.Sleep(5 * time.Millisecond)
		return fine
	}})
	answer := func(context.Context) (target.Answer, error) { return target.Answer{Status: 200}, nil }
	var callers sync.WaitGroup
	next := make(chan int)
	for range 64 {
		callers.Go(func() {
			for n := range next {
				o, err := c.Do(context.Background(), Request{Account: "a", Key: fmt.Sprint(n), Fingerprint: "f"}, answer)
				if _, ok := o.(Answered); !ok || err != nil {
					b.Errorf("outcome %v, error %v", o, err)
				}
			}
		})
	}
	b.ResetTimer()
	for n := range b.N {
		next <- n
	}
	close(next)
	callers.Wait()
	b.StopTimer()
	s := c.Stats()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
	b.ReportMetric(float64(s.Writes)/b.Elapsed().Seconds(), "writes/s")
	b.ReportMetric(float64(s.Rows)/float64(s.Writes), "rows/write")
	_ = c.Close(context.Background())
}
