package server

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/feed"
	"sesamehill.example/sesamehill/internal/pause"
	"sesamehill.example/sesamehill/internal/table"
	"sesamehill.example/sesamehill/internal/verlog"
)

const (
	// versionsKey is the key of the row with the dates of weight versions.
	versionsKey = "versions"
	// storedVersionAge is the age up to which a version is stored. Older ones count as old
	// without a date.
	storedVersionAge = time.Minute
	// versionTolerance is how much older a date must be than the stored one to be written.
	versionTolerance = 200 * time.Millisecond
	// versionWriteDelay is the time after which a contender for the lease writes what the
	// lease holder has not written, times its rank among the contenders.
	versionWriteDelay = time.Second
	// versionRetryInterval is the time between two attempts to write a date.
	versionRetryInterval = time.Second
	// versionCheckInterval is the time after which a host checks the row that has become a
	// contender meanwhile.
	versionCheckInterval = 5 * time.Second
	versionWriteTimeout  = 700 * time.Millisecond
	// maxClockLead is how far a date may lie ahead of the estimate of the platform's
	// clock. A later one is of another clock.
	maxClockLead = time.Second
)

// storedVersion is the date of a weight version in the row.
type storedVersion struct {
	Number   int   `json:"number"`
	Previous int   `json:"previous,omitempty"`
	AtMs     int64 `json:"at"`
}

// inRange reports whether a host can have written the version, at a time of the platform's
// clock.
func (v storedVersion) inRange(now int64) bool {
	return v.Number > 0 && v.Number <= verlog.MaxNumber && v.Previous >= 0 && v.Previous < v.Number &&
		v.AtMs > 0 && v.AtMs <= now+maxClockLead.Milliseconds()
}

// storedVersions holds the dates of weight versions by model, in ascending order.
type storedVersions map[string][]storedVersion

// versionRow keeps the dates of weight versions in a row of the platform, so that they
// outlive all hosts that have seen the announcements. The lease holder writes it, or
// another contender for the lease if the holder does not.
type versionRow struct {
	host  *Host
	table Table
	// changed receives a value after what is known of a weight version has changed.
	changed chan struct{}

	mu sync.Mutex
	// received is set once the table was listed. version is the version of the row; zero
	// if it does not exist.
	received bool
	version  uint64
	stored   storedVersions
}

func newVersionRow(h *Host) *versionRow {
	return &versionRow{host: h, table: h.platform.Table(taskTable), changed: make(chan struct{}, 1), stored: storedVersions{}}
}

// notify makes Run compare the row with the versions of this host.
func (r *versionRow) notify() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// listed records all rows of the table, in which the row may be missing.
func (r *versionRow) listed(rows []feed.Row) {
	if !slices.ContainsFunc(rows, func(row feed.Row) bool { return row.Key == versionsKey }) {
		r.apply(feed.Row{Key: versionsKey, Removed: true})
	}
}

// apply records the row and the dates in it.
func (r *versionRow) apply(row feed.Row) {
	var stored storedVersions
	if err := json.Unmarshal(row.Value, &stored); err != nil && !row.Removed {
		r.host.log.Warn("dates of weight versions cannot be decoded; writing them anew", zap.Uint64("row", row.Version), zap.Error(err))
		stored = nil
	}
	r.mu.Lock()
	r.received, r.version, r.stored = true, row.Version, stored
	if row.Removed {
		r.version = 0
	}
	r.mu.Unlock()
	r.recordDates(stored)
	r.notify()
}

// recordDates records the versions of the row whose numbers are in range.
func (r *versionRow) recordDates(stored storedVersions) {
	now, ok := r.host.clock.Now()
	if !ok {
		return
	}
	for model, versions := range stored {
		for _, v := range versions {
			if v.inRange(now) {
				r.host.config.record(model, verlog.Version{Number: v.Number, Previous: v.Previous, AtMs: v.AtMs}, "row")
			}
		}
	}
}

// Run writes the row until ctx is cancelled.
func (r *versionRow) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.changed:
		case <-time.After(versionCheckInterval):
		}
		for r.missing() != nil {
			if pause.For(ctx, r.host.sharedRowDelay()) != nil {
				return nil //nolint:nilerr // cancellation is the normal way to stop
			}
			if r.write(ctx) {
				continue
			}
			if pause.For(ctx, pause.Jitter(versionRetryInterval)) != nil {
				return nil //nolint:nilerr // cancellation is the normal way to stop
			}
		}
	}
}

// sharedRowDelay returns how long this host leaves a row that the lease holder writes to
// others.
func (h *Host) sharedRowDelay() time.Duration {
	if h.leasedTask.holdsLease() {
		return 0
	}
	return time.Duration(1+h.members.contenderRank()) * versionWriteDelay
}

// missing returns the content that the row should have; nil if it has that, or if this
// host does not write it.
func (r *versionRow) missing() storedVersions {
	if !r.host.members.isContender() {
		return nil
	}
	dated := r.host.versions.Dated(storedVersionAge)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.received {
		return nil
	}
	out, changed := storedVersions{}, false
	for model, versions := range dated {
		for _, v := range versions {
			out[model] = append(out[model], storedVersion{Number: v.Number, Previous: v.Previous, AtMs: v.AtMs})
			changed = changed || !r.stored.has(model, v)
		}
	}
	if !changed {
		return nil
	}
	return out
}

// has reports whether a version is stored with its date or an older one.
func (s storedVersions) has(model string, v verlog.Version) bool {
	return slices.ContainsFunc(s[model], func(have storedVersion) bool {
		return have.Number == v.Number && have.AtMs <= v.AtMs+versionTolerance.Milliseconds()
	})
}

// write writes the row if it misses something, on the condition that no other host has
// written it. It reports whether there is nothing to retry.
func (r *versionRow) write(ctx context.Context) bool {
	next := r.missing()
	if next == nil {
		return true
	}
	b, err := json.Marshal(next)
	if err != nil {
		r.host.log.Error("could not encode the dates of weight versions", zap.Error(err))
		return false
	}
	r.mu.Lock()
	op := table.Op{Key: versionsKey, Version: r.version, Value: b}
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, versionWriteTimeout)
	defer cancel()
	version, err := writeVersion(ctx, r.table, op)
	r.host.log.Info("dates of weight versions written", zap.Strings("models", slices.Sorted(maps.Keys(next))), zap.Error(err))
	var conflict *table.ConflictError
	switch {
	case errors.As(err, &conflict), err == nil && version == 0:
		return r.read(ctx)
	case err != nil:
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version, r.stored = version, next
	return true
}

// writeVersion writes a row and returns its version; zero if the table does not return it.
func writeVersion(ctx context.Context, t Table, op table.Op) (uint64, error) {
	if v, ok := t.(table.Versioned); ok {
		return v.WriteVersion(ctx, []table.Op{op})
	}
	return 0, t.Write(ctx, []table.Op{op})
}

// read reads the row and the dates in it.
func (r *versionRow) read(ctx context.Context) bool {
	rows, err := r.table.Read(ctx, versionsKey)
	if err != nil || len(rows) != 1 {
		return false
	}
	r.apply(feed.Row{Key: versionsKey, Value: rows[0].Value, Version: rows[0].Version, Removed: rows[0].Version == 0})
	return true
}
