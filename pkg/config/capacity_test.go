package config_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"sesamehill.example/sesamehill/internal/slope"
	"sesamehill.example/sesamehill/pkg/config"
)

// BenchmarkCapacityDocument measures memory, encoded size, transferred bytes and
// join time of the document by number of accounts.
func BenchmarkCapacityDocument(b *testing.B) {
	RegisterTestingT(b)
	sizes := []int{1250, 2500, 5000, 10_000}
	joined := func(n int) *config.Document {
		d, err := config.Join(split(largeDocument(n)))
		Expect(err).NotTo(HaveOccurred())
		return d
	}
	slope.Values(b, "memory", "B", sizes, func(n int) float64 {
		return slope.HeapBytes(func() any { return joined(n) })
	})
	slope.Values(b, "sections", "B", sizes, func(n int) float64 {
		return slope.HeapBytes(func() any { return split(largeDocument(n)) })
	})
	slope.Values(b, "encoded", "B", sizes, func(n int) (sum float64) {
		for _, o := range split(largeDocument(n)).Objects {
			sum += float64(len(o))
		}
		return sum
	})
	slope.Values(b, "change", "B", sizes, func(n int) float64 {
		d := largeDocument(n)
		before := split(d)
		sum := 0
		for i := range 20 {
			d.Accounts[i*n/20].Rate += 0.3
			sum += changedBytes(before, split(d))
			d.Accounts[i*n/20].Rate -= 0.3
		}
		return float64(sum) / 20
	})
	slope.CPUTime(b, "join", sizes, func(n int) func() {
		s := split(largeDocument(n))
		return func() {
			_, err := config.Join(s)
			Expect(err).NotTo(HaveOccurred())
		}
	})
}
