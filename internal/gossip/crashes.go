package gossip

import (
	"slices"
	"time"

	"sesamehill.example/sesamehill/internal/crash"
	"sesamehill.example/sesamehill/internal/wire"
)

const (
	// maxCrashRecords bounds the crash records in a message: 1 KB.
	maxCrashRecords = 12
	// crashInterval is the time for which the records to send are kept, and the least
	// time between two updates with records.
	crashInterval = 200 * time.Millisecond
	// recentCrashAge is the age of a crash up to which its record is sent with each
	// message. Afterwards each host has received it, or receives it with one of the
	// records that are sent each rotationInterval.
	recentCrashAge   = 10 * time.Second
	rotationInterval = 2 * time.Second
)

// Crashes holds the records of requests that have crashed targets.
type Crashes interface {
	// Export returns at most limit records: recent ones, and others in rotation.
	Export(limit int, now time.Time) []crash.Record
	// ExportOwn returns at most limit records that this host itself has changed within
	// a period, the newest first.
	ExportOwn(limit int, period time.Duration, now time.Time) []crash.Record
	// Import merges the records of another host.
	Import(records []crash.Record, now time.Time) error
}

// crashBatch is the records that this host sends to others for a while.
type crashBatch struct {
	records []crash.Record
	// validUntil is the boot time until which the records are sent, and rotateAt the
	// one from which older records are sent again.
	validUntil, rotateAt time.Duration
}

// crashRecords returns the records for a message of a kind. A follower sends only what
// it has seen itself, as its hub has the rest. Hosts with many records of past crashes
// send few of them, in rotation.
func (e *Exchange) crashRecords(k Kind) []crash.Record {
	if e.crashes == nil {
		return nil
	}
	if k == Query {
		return e.crashes.ExportOwn(maxCrashRecords, recentCrashAge, time.Now())
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := wire.BootTime()
	b := &e.crashBatch
	if now < b.validUntil {
		return b.records
	}
	b.validUntil = now + crashInterval
	b.records = e.crashes.Export(maxCrashRecords, time.Now())
	if now < b.rotateAt && !slices.ContainsFunc(b.records, isRecent) {
		b.records = nil
		return nil
	}
	b.rotateAt = now + rotationInterval
	return b.records
}

func isRecent(r crash.Record) bool {
	return time.Duration(slices.Min(r.Ages))*time.Millisecond < recentCrashAge
}
