package queue_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sesamehill.example/sesamehill/internal/queue"
)

// Guards against a long time without a dispatch, of which all counts as a wait: for seconds
// after it, the second request of each new queue was refused.
var _ = It("predicts no longer waits the longer nothing is recorded", func() {
	item := queue.Item{Size: 1}
	var rates queue.Rates
	var waiting queue.Waiting
	waiting.Add(item)
	rates.Observe(waiting, time.Second)
	rates.Observe(queue.Waiting{}, 10*time.Minute)
	Expect(rates.Wait(waiting, item, 10*time.Minute)).To(BeNumerically("<", 3*time.Second))
})
