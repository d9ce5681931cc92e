package server

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/origin"
	"sesamehill.example/sesamehill/internal/pause"
	"sesamehill.example/sesamehill/internal/table"
	"sesamehill.example/sesamehill/internal/wire"
)

const (
	// staleRowsInterval is the time between two looks for rows of hosts that have gone.
	staleRowsInterval = 30 * time.Second
	// idleStaleRowsInterval is that while no service has several versions: hosts then write
	// rows only after their starts.
	idleStaleRowsInterval = 10 * time.Minute
)

// read reads the streams that all hosts had stored before the call. It reports whether it
// could. Callers that wait for a read share its result if it started after their calls.
func (s *streamStore) read(ctx context.Context) bool {
	calledAt := wire.BootTime()
	if ctx.Err() != nil {
		return false // select may choose the other case
	}
	select {
	case s.reading <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-s.reading }()
	if s.readAt > calledAt {
		return !s.failedToRead()
	}
	startedAt := wire.BootTime()
	scanCtx, cancel := context.WithTimeout(ctx, streamCallTimeout)
	defer cancel()
	rows, err := s.scan(scanCtx, "")
	if err != nil && ctx.Err() != nil {
		return false // the caller has left, which says nothing about the platform
	}
	s.readAt = startedAt
	s.recordRead(err)
	if err != nil {
		s.host.log.Warn("stored streams cannot be read", zap.Error(err))
		return false
	}
	seen := rowsRead{writers: map[streamWriter]struct{}{}}
	seen.era, seen.hasEra = newestEra(rows)
	for _, row := range rows {
		if w, ok := parseWriter(row.Key); ok {
			seen.writers[w] = struct{}{}
		}
		var begun []origin.Begun
		if err := cbor.Unmarshal(row.Value, &begun); err != nil {
			s.host.log.Warn("row of stored streams cannot be decoded; ignoring it", zap.String("key", shorten(row.Key)), zap.String("error", shorten(err.Error())))
			continue
		}
		s.registry.Import(begun, startedAt)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastRead = seen
	return true
}

// rowsRead is what the keys of the stored rows show.
type rowsRead struct {
	// writers are the processes that may have begun streams without a stored record.
	writers map[streamWriter]struct{}
	// era is the newest stored era of the platform, if hasEra is set.
	era    uint64
	hasEra bool
}

// restoredBefore reports whether a restore that led to an era of the platform may have lost records
// of streams that may be resumed now.
func (r *rowsRead) restoredBefore(era uint64) bool { return r.hasEra && r.era < era }

// recordRead records the result of a read.
func (s *streamStore) recordRead(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readFailedAt = 0
	if err != nil {
		s.readFailedAt = wire.BootTime()
	}
}

// failedToRead reports whether the last read has just failed.
func (s *streamStore) failedToRead() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readFailedAt != 0 && wire.BootTime()-s.readFailedAt < storeFailureMemory
}

// scan returns all rows of the table whose key has a prefix.
func (s *streamStore) scan(ctx context.Context, prefix string) ([]table.Row, error) {
	var rows []table.Row
	for after := ""; ; {
		page, err := s.table.Scan(ctx, prefix, after, streamPageRows)
		if err != nil || len(page) == 0 {
			return rows, err
		}
		rows = append(rows, page...)
		after = page[len(page)-1].Key
	}
}

// RemoveStale removes the rows that have not changed for staleRowAge, but not that of the newest
// era, until ctx is cancelled. Only the lease holder does.
func (s *streamStore) RemoveStale(ctx context.Context) error {
	type seen struct {
		version uint64
		at      time.Duration
	}
	known := map[string]seen{}
	var lookedAt time.Duration
	for pause.For(ctx, staleRowsInterval) == nil {
		idle := len(known) == 0 && !s.registry.Mixed() && wire.BootTime()-lookedAt < idleStaleRowsInterval
		if !s.host.IssuesOrders() || idle {
			continue
		}
		lookedAt = wire.BootTime()
		rows, err := s.scan(ctx, "")
		if err != nil {
			continue
		}
		now, previous := wire.BootTime(), known
		known = make(map[string]seen, len(rows))
		newest, _ := newestEra(rows)
		for _, row := range rows {
			if era, ok := parseEra(row.Key); ok && era == newest {
				continue
			}
			k, ok := previous[row.Key]
			if !ok || k.version != row.Version {
				k = seen{version: row.Version, at: now}
			}
			known[row.Key] = k
			if now-k.at > staleRowAge {
				_ = s.table.Write(ctx, []table.Op{{Key: row.Key, Version: row.Version, Delete: true}}) // tried again
			}
		}
	}
	return nil
}
