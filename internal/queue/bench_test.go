package queue_test

import (
	"testing"
	"time"

	"sesamehill.example/sesamehill/internal/queue"
)

// Measures the judgement of a full queue, which each arrival repeats.
func BenchmarkJudge(b *testing.B) {
	items := make([]queue.Item, 512)
	for i := range items {
		items[i] = queue.Item{Size: 1, Latest: time.Hour}
	}
	var rates queue.Rates
	for b.Loop() {
		var before queue.Waiting
		for _, i := range items {
			_ = queue.Judge(i, rates.Wait(before, i, time.Second), time.Second, 0.5)
			before.Add(i)
		}
		rates.Observe(before, time.Second)
	}
}
