package idem

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"sesamehill.example/sesamehill/internal/pause"
	"sesamehill.example/sesamehill/internal/table"
)

// sweep deletes expired rows, one page at a time. Each host starts at a random
// key, so that hosts rarely sweep the same page; a page that another host has
// changed is retried in the next round.
func (c *Claims) sweep(ctx context.Context) {
	after := fmt.Sprintf("%s%016x", rowPrefix, rand.Uint64())
	for {
		jitter := time.Duration(rand.Int64N(int64(c.options.sweepInterval)/2 + 1))
		if pause.For(ctx, c.options.sweepInterval*3/4+jitter) != nil {
			return
		}
		if _, down := c.batch.health.down(); !down {
			after = c.sweepPage(ctx, after)
		}
	}
}

// sweepPage deletes the expired rows of one page and returns where the next page
// starts.
func (c *Claims) sweepPage(ctx context.Context, after string) string {
	ctx, cancel := context.WithTimeout(ctx, c.options.tableTimeout)
	defer cancel()
	rows, err := c.batch.table.Scan(ctx, rowPrefix, after, c.options.sweepRows)
	if err != nil {
		return after
	}
	if len(rows) == 0 {
		return ""
	}
	after = rows[len(rows)-1].Key
	var ops []table.Op
	for _, row := range rows {
		r, err := DecodeRecord(row.Value)
		if err == nil && r.Expired(c.options.now(), c.options.retention) {
			ops = append(ops, table.Op{Key: row.Key, Version: row.Version, Delete: true})
		}
	}
	if len(ops) == 0 || c.batch.limiter.Wait(ctx) != nil {
		return after
	}
	if c.batch.table.Write(ctx, ops) == nil {
		c.stats.swept.Add(int64(len(ops)))
	}
	return after
}
