package admit_test

import (
	"fmt"
	"testing"
	"time"

	"sesamehill.example/sesamehill/internal/admit"
	"sesamehill.example/sesamehill/internal/slope"
	"sesamehill.example/sesamehill/pkg/config"
)

// accountSizes ends with the number of accounts of the design size.
var accountSizes = []int{1250, 2500, 5000, 10_000}

// capacityController returns a controller with accounts, one in ten of which has
// sent a request.
func capacityController(accounts int) *admit.Controller {
	c := admit.New(admit.WithSlots(1<<30), admit.WithQueue(accounts))
	configs := make([]config.Account, accounts)
	for i := range configs {
		configs[i] = account(fmt.Sprintf("account-%05d", i), 1e6, 1000)
	}
	c.SetAccounts(configs, start)
	for i := range accounts / 10 {
		c.Submit(request(uint64(i), configs[i].Name, 1000, start.Add(time.Hour)), start)
	}
	c.Next(start)
	return c
}

// BenchmarkCapacityAdmit measures the cost of admission against the number of
// accounts and the number of peers that report their demand.
func BenchmarkCapacityAdmit(b *testing.B) {
	slope.Values(b, "memory", "B", accountSizes, func(n int) float64 {
		return slope.HeapBytes(func() any { return capacityController(n) })
	})
	slope.CPUTime(b, "report", accountSizes, func(n int) func() {
		c := capacityController(n)
		return func() { c.Report("host", 8, start) }
	})
	slope.CPUTime(b, "request", accountSizes, func(n int) func() {
		c, now, id := capacityController(n), start, uint64(n)
		return func() {
			id++
			now = now.Add(100 * time.Microsecond)
			c.Submit(request(id, fmt.Sprintf("account-%05d", int(id)%n), 1000, now.Add(time.Hour)), now)
			c.Next(now)
			c.Done(id, now)
		}
	})
	peers := []int{42, 83, 165, 330}
	reports := func(n int, c *admit.Controller, at time.Time) {
		for i := range n {
			r := admit.Report{Host: fmt.Sprintf("host-%03d", i), At: at, Demand: map[string]float64{}}
			for j := range 8 {
				r.Demand[fmt.Sprintf("account-%05d", (i*7+j)%1000)] = 1
			}
			c.RecordReport(r)
		}
	}
	slope.Values(b, "reports", "B", peers, func(n int) float64 {
		return slope.HeapBytes(func() any {
			c := admit.New()
			reports(n, c, start)
			return c
		})
	})
	slope.CPUTimePerOperation(b, "hear", peers, func(n int) int { return n }, func(n int) func() {
		c, at := admit.New(), start
		return func() {
			at = at.Add(time.Second)
			reports(n, c, at)
		}
	})
}
