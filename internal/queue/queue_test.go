package queue_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rogpeppe/go-internal/txtar"

	"sesamehill.example/sesamehill/internal/queue"
)

func TestQueue(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "queue")
}

// Guards against requests that are overtaken forever, and against requests past
// their latency target that delay others past theirs.
var _ = Describe("Order", func() {
	archive, err := txtar.ParseFile("testdata/order.txtar")
	if err != nil {
		panic(err)
	}
	for _, f := range archive.Files {
		It(f.Name, func() {
			var items []queue.Item
			var names []string
			var now int
			for line := range strings.Lines(string(f.Data)) {
				if want, ok := strings.CutPrefix(strings.TrimSpace(line), "=> "); ok {
					got := []string{}
					for _, i := range queue.Order(items, time.Duration(now)*time.Millisecond) {
						got = append(got, names[i])
					}
					Expect(strings.Join(got, " ")).To(Equal(want))
					continue
				}
				var name string
				var arrived, goal, priority int
				if _, err := fmt.Sscanf(line, "now %d", &now); err == nil {
					continue
				}
				_, err := fmt.Sscan(line, &name, &arrived, &goal, &priority)
				Expect(err).NotTo(HaveOccurred())
				names = append(names, name)
				items = append(items, queue.Item{
					Arrived: time.Duration(arrived) * time.Millisecond, LatencyTarget: time.Duration(goal) * time.Millisecond, Priority: priority,
				})
			}
		})
	}
})
