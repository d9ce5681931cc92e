package relay

import (
	"time"

	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/feed"
)

// largeReadBytes is the size from which a read of a table is logged.
const largeReadBytes = 64 << 10

// Source is where a host reads a table.
type Source string

// Sources of a table.
const (
	FromPlatform Source = "platform"
	FromHub      Source = "hub"
)

// ReadStats counts the reads of a table from one source.
type ReadStats struct {
	Reads    uint64 `json:"reads"`
	Failures uint64 `json:"failures"`
	// Rows and Bytes count what the successful reads returned; a row counts the bytes
	// of its key and value.
	Rows  uint64 `json:"rows"`
	Bytes uint64 `json:"bytes"`
}

// read is a read of a table that is in progress.
type read struct {
	source    Source
	table     string
	after     feed.Position
	startedAt time.Duration
}

// ReadStats returns the counts of reads by source and table.
func (r *Relay) ReadStats() map[Source]map[string]ReadStats {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[Source]map[string]ReadStats{}
	for s, tables := range r.stats {
		out[s] = make(map[string]ReadStats, len(tables))
		for table, stats := range tables {
			out[s][table] = *stats
		}
	}
	return out
}

// beginRead counts a read and returns it.
func (r *Relay) beginRead(s Source, table string, after feed.Position) read {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tableStats(s, table).Reads++
	return read{source: s, table: table, after: after, startedAt: r.now()}
}

// endRead counts the result of a read. It logs reads that failed or were large, with
// the time since the table was last known to be current.
func (r *Relay) endRead(d read, rows []feed.Row, err error) {
	bytes := size(rows)
	r.mu.Lock()
	stats := r.tableStats(d.source, d.table)
	if err != nil {
		stats.Failures++
	}
	stats.Rows += uint64(len(rows))
	stats.Bytes += uint64(bytes)
	now := r.now()
	var gap time.Duration
	if l := r.log(d.table); l.currentAt != 0 {
		gap = now - l.currentAt
	}
	r.mu.Unlock()
	if err == nil && bytes < largeReadBytes {
		return
	}
	r.logger.Info(
		"platform table read", zap.String("table", d.table), zap.String("source", string(d.source)), zap.Stringer("after", d.after),
		zap.Int("rows", len(rows)), zap.Int("bytes", bytes), zap.Int64("took", (now-d.startedAt).Milliseconds()),
		zap.Int64("gap", gap.Milliseconds()), zap.Error(err),
	)
}

// tableStats returns the counts of a table. The caller holds mu.
func (r *Relay) tableStats(s Source, table string) *ReadStats {
	if r.stats[s] == nil {
		r.stats[s] = map[string]*ReadStats{}
	}
	stats, ok := r.stats[s][table]
	if !ok {
		stats = &ReadStats{}
		r.stats[s][table] = stats
	}
	return stats
}
