package server

import (
	"context"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/origin"
	"sesamehill.example/sesamehill/internal/table"
	"sesamehill.example/sesamehill/internal/wire"
)

const (
	// intentPart stands for the number of the row in the key of an intent.
	intentPart = "intent"
	// intentRefreshInterval is the time between two writes of an intent. It counts for intentTTL
	// after the sending of a write that succeeded.
	intentRefreshInterval = 10 * time.Second
	intentTTL             = 30 * time.Second
	// staleRowAge is the time after which a row that does not change is removed. A stream that
	// begins intentTTL after the last write of its host may be resumed for origin.Retention.
	staleRowAge = origin.Retention + intentTTL
)

// emptyRow is the value of a row without streams, a CBOR array. Hosts of older builds read it as
// a row of streams.
var emptyRow = []byte{0x80}

// streamWriter is a process that may begin streams without a stored record, as it has a row in
// the table of streams.
type streamWriter struct {
	Host        string
	StartedAtMs int64
}

// key returns the key of one of the writer's rows.
func (w streamWriter) key(part string) string {
	return w.Host + "/" + strconv.FormatInt(w.StartedAtMs, 10) + "/" + part
}

// parseWriter returns the process that wrote the row with a key; false if no process did.
func parseWriter(key string) (streamWriter, bool) {
	process, _, found := cutLast(key, "/")
	host, start, hasStart := cutLast(process, "/")
	startedAtMs, err := strconv.ParseInt(start, 10, 64)
	return streamWriter{Host: host, StartedAtMs: startedAtMs}, found && hasStart && err == nil
}

// cutLast slices s around the last separator.
func cutLast(s, separator string) (before, after string, found bool) {
	i := strings.LastIndex(s, separator)
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+len(separator):], true
}

// writer returns this process.
func (s *streamStore) writer() streamWriter {
	return streamWriter{Host: s.host.currentSettings().Name, StartedAtMs: s.host.members.startedAtMs}
}

// tableEra returns the newest era of the platform that a response to this host has stated.
func (s *streamStore) tableEra() uint64 {
	if t, ok := s.table.(table.Restorable); ok {
		return t.Era()
	}
	return 0
}

// hasIntent reports whether the platform holds the intent of this process. Only then may the
// process begin streams at other versions than the base whose records it cannot store: after its
// end the intent shows that such records may be missing.
func (s *streamStore) hasIntent() bool {
	era := s.tableEra()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.intentAt != 0 && s.intentEra == era && wire.BootTime()-s.intentAt < intentTTL
}

// keepIntent writes the intent of this process while a service has several versions. It reports
// whether the write succeeded, if one was due.
func (s *streamStore) keepIntent(ctx context.Context) bool {
	era, sentAt := s.tableEra(), wire.BootTime()
	s.mu.Lock()
	isFresh := s.intentAt != 0 && s.intentEra == era && sentAt-s.intentAt < intentRefreshInterval
	s.mu.Unlock()
	if isFresh || !s.registry.Mixed() {
		return true
	}
	if err := s.put(ctx, intentPart, emptyRow); err != nil {
		s.host.log.Warn("intent to begin streams could not be stored; new streams begin at the base versions once it has lapsed", zap.Error(err))
		s.recordFailure()
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.intentAt, s.intentEra = sentAt, era
	return true
}

// recordGap says why a read may lack the record of a stream that began at another version than the
// base.
type recordGap int

const (
	noRecordGap recordGap = iota
	// gapOfRestore means that a restore may have lost the record.
	gapOfRestore
	// gapOfWriter means that a process which may have begun the stream has not answered.
	gapOfWriter
)

// String returns the reason for the log; empty if nothing is missing.
func (g recordGap) String() string {
	switch g {
	case gapOfRestore:
		return "the platform was restored, which may have lost the record"
	case gapOfWriter:
		return "a host that does not answer may have begun the stream without a stored record"
	}
	return ""
}

// gapAfter returns what the last read may lack, after the answers of other hosts. It shows which
// processes may have begun streams without a record. Those that run on have answered that they did
// not begin this one.
func (s *streamStore) gapAfter(a originAnswers) recordGap {
	s.mu.Lock()
	last := s.lastRead
	s.mu.Unlock()
	if last.restoredBefore(s.tableEra()) {
		return gapOfRestore
	}
	for w := range last.writers {
		if w != s.writer() && !a.includes(w) {
			return gapOfWriter
		}
	}
	return noRecordGap
}
