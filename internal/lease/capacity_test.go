package lease_test

import (
	"context"
	"fmt"
	"testing"

	"sesamehill.example/sesamehill/internal/lease"
	"sesamehill.example/sesamehill/internal/slope"
	"sesamehill.example/sesamehill/internal/table"
)

// countingTable is a table that counts its calls and the bytes written.
type countingTable struct {
	rows                 map[string]table.Row
	reads, writes, bytes int
}

func (c *countingTable) Read(_ context.Context, keys ...string) ([]table.Row, error) {
	c.reads++
	out := make([]table.Row, len(keys))
	for i, k := range keys {
		out[i] = c.rows[k]
		out[i].Key = k
	}
	return out, nil
}

func (c *countingTable) Scan(context.Context, string, string, int) ([]table.Row, error) {
	return nil, nil
}

func (c *countingTable) Write(_ context.Context, ops []table.Op) error {
	c.writes++
	for _, o := range ops {
		c.bytes += len(o.Key) + len(o.Value)
		c.rows[o.Key] = table.Row{Key: o.Key, Version: o.Version + 1, Value: o.Value}
	}
	return nil
}

// BenchmarkCapacityLeases measures the cost of renewing all leases of a host, by the
// number of leases.
func BenchmarkCapacityLeases(b *testing.B) {
	sizes := []int{1, 8, 31, 62}
	build := func(n int, t table.Table) []*lease.Lease {
		ls := make([]*lease.Lease, n)
		for i := range ls {
			ls[i] = lease.New(t, fmt.Sprintf("rollout/model-%02d", i), "host-000")
		}
		return ls
	}
	renew := func(ls []*lease.Lease) {
		for _, l := range ls {
			if err := l.Step(context.Background()); err != nil {
				b.Fatal(err)
			}
		}
	}
	slope.CPUTime(b, "renewal", sizes, func(n int) func() {
		ls := build(n, &countingTable{rows: map[string]table.Row{}})
		return func() { renew(ls) }
	})
	slope.Values(b, "memory", "B", sizes, func(n int) float64 {
		t := &countingTable{rows: map[string]table.Row{}}
		return slope.HeapBytes(func() any {
			ls := build(n, t)
			renew(ls)
			return ls
		})
	})
	slope.Values(b, "written", "B", sizes, func(n int) float64 {
		t := &countingTable{rows: map[string]table.Row{}}
		ls := build(n, t)
		renew(ls)
		t.bytes, t.reads, t.writes = 0, 0, 0
		renew(ls)
		fmt.Printf("renewal of %d leases: %d reads, %d writes\n", n, t.reads, t.writes)
		return float64(t.bytes)
	})
}
