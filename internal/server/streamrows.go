package server

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/origin"
	"sesamehill.example/sesamehill/internal/pause"
	"sesamehill.example/sesamehill/internal/wire"
)

const (
	// streamTable holds the streams that began while a service had several software
	// versions. Each host writes rows of its own.
	streamTable = "sesame_streams"
	// streamWriteSpacing is the mean time between the writes of two hosts: 200 writes a
	// second are half of the platform's rate.
	streamWriteSpacing = 5 * time.Millisecond
	// maxStoreWait is how long the first event of a stream waits for its record. Where hosts
	// are so many that they write less often, no stream waits, and a missing record says
	// nothing.
	maxStoreWait = 300 * time.Millisecond
	// storeFailureMemory is how long after a failed write no stream waits for its record, and
	// after a failed read none for those of others that witnesses deny.
	storeFailureMemory = time.Second
	// streamRowTime is the time whose streams one row holds, streamRows the number of rows
	// of a host, which it writes in turn. Together they exceed the time for which a
	// stream may be resumed.
	streamRowTime = 5 * time.Second
	streamRows    = 14
	// maxStreamRowKeys keeps a row below the platform's limit.
	maxStreamRowKeys  = 6000
	streamCallTimeout = 700 * time.Millisecond
	streamPageRows    = 500
	// streamCheckInterval is the time after which rows are written again if the platform was
	// restored.
	streamCheckInterval = 500 * time.Millisecond
)

// streamRow is a row with the streams of a period.
type streamRow struct {
	startedAt time.Duration
	begun     []origin.Begun
	keys      int
	// written is set if the platform has the row as it is.
	written bool
}

// streamStore stores the streams that began at this host, and reads those of all hosts.
// They outlive the hosts.
type streamStore struct {
	host     *Host
	table    Table
	registry *origin.Registry
	// began receives a value after a stream has begun that has to be stored.
	began chan struct{}

	// rows, next and era are used by Run only.
	rows [streamRows]streamRow
	next int
	era  uint64

	mu sync.Mutex
	// stored is the sequence number up to which all streams are stored. changed is closed
	// when it rises.
	stored   uint64
	changed  chan struct{}
	failedAt time.Duration
	// readFailedAt is the boot time at which the last read failed; zero if it did not.
	readFailedAt time.Duration
	// intentAt is the boot time at which the last successful write of the intent was sent, and
	// intentEra the era of the platform then.
	intentAt  time.Duration
	intentEra uint64
	// lastRead is what the last successful read showed beside the streams.
	lastRead rowsRead

	// reading is held by the caller that reads the rows, and guards readAt, the boot time at
	// which the last read that ended started.
	reading chan struct{}
	readAt  time.Duration
}

func newStreamStore(h *Host, r *origin.Registry) *streamStore {
	return &streamStore{
		host: h, table: h.platform.Table(streamTable), registry: r, began: make(chan struct{}, 1),
		changed: make(chan struct{}), reading: make(chan struct{}, 1),
	}
}

func (s *streamStore) notify() {
	select {
	case s.began <- struct{}{}:
	default:
	}
}

// interval returns the time between two writes of this host.
func (s *streamStore) interval() time.Duration {
	return time.Duration(s.host.hostCount()) * streamWriteSpacing
}

// complete reports whether each host that runs stores a stream that begins elsewhere than at the
// base of its service before its caller gets events of it, or has stored an intent. Hosts of builds
// that store none do not.
func (s *streamStore) complete() bool {
	return s.interval() <= maxStoreWait && s.host.members.allStoreStreams()
}

// Run writes the rows until ctx is cancelled.
func (s *streamStore) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.began:
		case <-time.After(streamCheckInterval):
		}
		s.noticeRestore()
		begun, sequence := s.registry.TakeUnstored()
		s.add(begun)
		if s.keepIntent(ctx) && s.writeRows(ctx) {
			s.recordStored(sequence)
		}
		if pause.For(ctx, s.interval()) != nil {
			return nil //nolint:nilerr // cancellation is the normal way to stop
		}
	}
}

// noticeRestore makes all rows be written again after a restore of the platform.
func (s *streamStore) noticeRestore() {
	era := s.host.platformEra()
	if era == s.era {
		return
	}
	s.era = era
	for i := range s.rows {
		s.rows[i].written = false
	}
}

// add adds streams to the current row, or to the next one.
func (s *streamStore) add(begun []origin.Begun) {
	now := wire.BootTime()
	for _, b := range begun {
		for len(b.Keys) > 0 {
			row := &s.rows[s.next]
			if row.keys >= maxStreamRowKeys || row.keys > 0 && now-row.startedAt >= streamRowTime {
				s.next = (s.next + 1) % streamRows
				row = &s.rows[s.next]
				*row = streamRow{}
			}
			if row.keys == 0 {
				row.startedAt = now
			}
			n := min(len(b.Keys), maxStreamRowKeys-row.keys)
			row.begun = append(row.begun, origin.Begun{Origin: b.Origin, Keys: b.Keys[:n]})
			row.keys, row.written = row.keys+n, false
			b.Keys = b.Keys[n:]
		}
	}
}

// writeRows writes the rows that the platform does not have and reports whether it has all of
// them then.
func (s *streamStore) writeRows(ctx context.Context) bool {
	for i := range s.rows {
		row := &s.rows[i]
		if row.written || row.keys == 0 {
			continue
		}
		value, err := cbor.Marshal(row.begun)
		if err == nil {
			err = s.put(ctx, strconv.Itoa(i), value)
		}
		if err != nil {
			s.host.log.Warn("streams that began could not be stored", zap.Int("streams", row.keys), zap.Error(err))
			s.recordFailure()
			return false
		}
		row.written = true
	}
	return true
}

// put writes a row of this process.
func (s *streamStore) put(ctx context.Context, part string, value []byte) error {
	return s.putKey(ctx, s.writer().key(part), value)
}

func (s *streamStore) putKey(ctx context.Context, key string, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, streamCallTimeout)
	defer cancel()
	return s.table.Put(ctx, key, value)
}

// recordFailure records that a write has failed.
func (s *streamStore) recordFailure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failedAt = wire.BootTime()
}

func (s *streamStore) recordStored(sequence uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sequence > s.stored {
		s.stored = sequence
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// await waits until a stream is stored and reports whether it is. It gives up after maxStoreWait,
// and at once if the platform has just failed to store streams.
func (s *streamStore) await(ctx context.Context, sequence uint64) bool {
	if s.interval() > maxStoreWait {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, maxStoreWait)
	defer cancel()
	for {
		s.mu.Lock()
		stored := s.stored >= sequence
		failed := s.failedAt != 0 && wire.BootTime()-s.failedAt < storeFailureMemory
		changed := s.changed
		s.mu.Unlock()
		if stored || failed {
			return stored
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}
