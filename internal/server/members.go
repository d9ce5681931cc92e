package server

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/feed"
	"sesamehill.example/sesamehill/internal/pause"
	"sesamehill.example/sesamehill/internal/wire"
)

const (
	// memberTable holds a row for each host.
	memberTable = "sesame_hosts"
	// The write intervals are the times between two writes of a host's row. Where
	// hosts are few it is writeIntervalFewHosts. Among many hosts it is
	// writeIntervalContender for those that contend for the lease, so that their
	// failure is noticed soon. For the others it is at least minWriteInterval and at
	// least writeIntervalPerHost times the number of hosts, so that the calls to the
	// platform do not grow with that number.
	writeIntervalFewHosts  = 2 * time.Second
	writeIntervalContender = 4 * time.Second
	minWriteInterval       = 8 * time.Second
	writeIntervalPerHost   = 100 * time.Millisecond
	fewHosts               = 10
	// minRowLifetime is how long a host counts as alive at least after the last change
	// of its row. The row of a host that writes less often states a longer time:
	// missedWrites intervals.
	minRowLifetime = 12 * time.Second
	missedWrites   = 3
	// A host may use KV cache entries for minConfirmedTime after the last write of its
	// row if it counts as alive for minRowLifetime. The difference is confirmMargin,
	// which exceeds the longest fetch.
	confirmMargin    = 3 * time.Second
	minConfirmedTime = minRowLifetime - confirmMargin
	// confirmedPeerTime is how long a host that cannot write its row may use KV cache
	// entries after it received an event from a host that can. Entries are freed
	// fetchStopDelay after the last live host acknowledged new weights; a fetch that
	// starts within confirmedPeerTime has ended by then.
	confirmedPeerTime = 1200 * time.Millisecond
	rowWriteTimeout   = 700 * time.Millisecond
	// eraCheckInterval is the time between two checks whether the platform was restored,
	// which may have lost this host's row.
	eraCheckInterval = 200 * time.Millisecond
	// rewriteSpacing is the mean time between the writes of two hosts after a restore.
	// 100 writes a second are a quarter of the platform's rate for all calls.
	rewriteSpacing = 10 * time.Millisecond
	// maxRowsAge is the largest age of the rows on which decisions about all hosts are
	// based.
	maxRowsAge = 8 * time.Second
	// rowsPollInterval is the time between two reads of the rows where hosts are many.
	rowsPollInterval = 2 * time.Second
	// assumedHosts is the number of hosts that a host assumes to share budgets with
	// before its first read of the rows; minAssumedHosts is the least it ever assumes.
	assumedHosts    = 8
	minAssumedHosts = 2
)

// memberRow is the row of a host. Every host reads the rows of all hosts, also over the
// links between regions, so a row holds only what changes seldom.
type memberRow struct {
	Host string `json:"host"`
	Zone string `json:"zone"`
	// Peer is the address at which the host serves other hosts.
	Peer string `json:"peer"`
	// StartedAtMs is the start of the host, in Unix milliseconds; zero if it is a build that
	// does not state it. Writes counts the writes of the row since then.
	StartedAtMs int64  `json:"start,omitempty"`
	Writes      uint64 `json:"count"`
	// LifeMillis is how long the host counts as alive after this write, in
	// milliseconds; zero stands for minRowLifetime.
	LifeMillis int64 `json:"life,omitempty"`
	// Capacity is the host's share of a CPU core times the rate of its link in
	// megabits per second.
	Capacity float64 `json:"width,omitempty"`
	// AtMs is the time of the write on the platform's clock; zero if it was not known.
	AtMs int64 `json:"at,omitempty"`
	// StoresStreams is set by builds that store the streams of services with several
	// software versions before their callers get events of them.
	StoresStreams bool `json:"streams,omitempty"`
}

// Bounds of the fields of a row, which another writer may have left in the table.
const (
	// maxRowLifetime exceeds missedWrites intervals of 1000 hosts.
	maxRowLifetime = 10 * time.Minute
	maxCapacity    = 1e9
)

// InvalidRowError reports a row of the hosts' own table that names no host.
type InvalidRowError struct{ Problem string }

// Error names the problem and the remedy.
func (e *InvalidRowError) Error() string {
	return e.Problem + "; the row is ignored until its host writes it again, remove it if there is no such host"
}

// check returns an *InvalidRowError if no host writes such a row under a key.
func (m memberRow) check(key string) error {
	peer, err := netip.ParseAddrPort(m.Peer)
	switch {
	case m.Host == "" || m.Host != key:
		return &InvalidRowError{Problem: "the row is not that of the host with its key"}
	case m.Zone == "":
		return &InvalidRowError{Problem: "the zone is missing"}
	case err != nil || peer.Port() == 0:
		return &InvalidRowError{Problem: "the peer address is not IP:PORT"}
	case m.LifeMillis < 0 || m.LifeMillis > maxRowLifetime.Milliseconds():
		return &InvalidRowError{Problem: fmt.Sprintf("a lifetime of %d ms is outside 0 to %v", m.LifeMillis, maxRowLifetime)}
	case m.AtMs < 0:
		return &InvalidRowError{Problem: "the time of the write is negative"}
	case m.Capacity < 0 || m.Capacity > maxCapacity:
		return &InvalidRowError{Problem: fmt.Sprintf("a capacity of %g is outside 0 to %g", m.Capacity, maxCapacity)}
	}
	return nil
}

// lifetime returns how long the host counts as alive after a write of the row.
func (m memberRow) lifetime() time.Duration {
	return max(minRowLifetime, time.Duration(m.LifeMillis)*time.Millisecond)
}

// members writes this host's row and reads those of the other hosts.
type members struct {
	host  *Host
	table Table
	// startedAtMs is the start of this host, in Unix milliseconds.
	startedAtMs int64
	writes      uint64
	// platformEra returns the era of the platform.
	platformEra func() uint64

	mu   sync.Mutex
	rows map[string]observedRow
	// readAt is the boot time at which the last read of the rows started; zero before
	// the first. No host expires while the rows cannot be read: a host that took
	// itself for the only one would use the whole of each shared budget.
	readAt time.Duration
	// writtenAt is the boot time at which the last successful write of this host's row
	// started, and rowLifetime how long the host counts as alive since then.
	writtenAt, rowLifetime time.Duration
	// firstWrittenAt is the boot time at which this host's first row was written.
	firstWrittenAt time.Duration
	// confirmedPeerAt is the boot time at which the last event from a host that can write
	// its row was sent.
	confirmedPeerAt time.Duration
	// cachedView is the last computed view of the hosts; it is used for viewLifetime.
	cachedView   *membershipView
	viewLifetime time.Duration
	// hostsChanged is set if a host has appeared or started again since renewView.
	hostsChanged bool
}

// observedRow is a row with its position and the boot time at which this host first
// read it at that position.
type observedRow struct {
	memberRow
	position  feed.Position
	firstSeen time.Duration
}

func newMembers(h *Host) *members {
	return &members{
		host: h, table: h.platform.Table(memberTable), startedAtMs: time.Now().UnixMilli(), platformEra: h.platformEra, rows: map[string]observedRow{}, viewLifetime: viewLifetime,
	}
}

// Run writes this host's row until ctx is cancelled, and soon after a restore of the
// platform.
func (m *members) Run(ctx context.Context) error {
	var nextWrite time.Duration
	var era uint64
	for {
		now := wire.BootTime()
		if newest := m.platformEra(); newest != era {
			if era != 0 {
				nextWrite = min(nextWrite, now+m.rewriteDelay())
			}
			era = newest
		}
		if now >= nextWrite {
			interval := m.writeInterval()
			nextWrite = now + pause.Jitter(writeIntervalFewHosts)
			if m.writeRow(ctx, interval) {
				nextWrite = now + pause.Jitter(interval)
			}
		}
		if pause.For(ctx, min(eraCheckInterval, max(nextWrite-wire.BootTime(), 0))) != nil {
			return nil //nolint:nilerr // cancellation is the normal way to stop
		}
	}
}

// rewriteDelay returns a random time before this host writes its row again, so that the
// hosts do not all write at once.
func (m *members) rewriteDelay() time.Duration {
	return rand.N(time.Duration(m.hostCount()) * rewriteSpacing)
}

// writeInterval returns the time between two writes of this host's row.
func (m *members) writeInterval() time.Duration {
	n := m.hostCount()
	switch {
	case n <= fewHosts:
		return writeIntervalFewHosts
	case m.isContender():
		return writeIntervalContender
	}
	return max(minWriteInterval, time.Duration(n)*writeIntervalPerHost)
}

// writeRow writes this host's row, which is to be written again after interval. It
// reports whether the write succeeded.
func (m *members) writeRow(ctx context.Context, interval time.Duration) bool {
	if m.writes == 0 {
		m.readPredecessor(ctx)
	}
	m.writes++
	own := m.host.currentSettings()
	row := memberRow{
		Host: own.Name, Zone: own.Zone, Peer: own.Peer, StartedAtMs: m.startedAtMs, Writes: m.writes, Capacity: own.relayCapacity(),
		LifeMillis: (missedWrites * interval).Milliseconds(), StoresStreams: true,
	}
	row.AtMs, _ = m.host.storeTime()
	b, err := json.Marshal(row)
	if err != nil {
		m.host.log.Error("could not encode the row of this host", zap.Error(err))
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, rowWriteTimeout)
	defer cancel()
	startedAt := wire.BootTime()
	if err := m.table.Put(ctx, row.Host, b); err != nil {
		m.host.log.Debug("could not write the row of this host", zap.Error(err))
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.firstWrittenAt == 0 {
		m.firstWrittenAt = wire.BootTime()
	}
	m.writtenAt, m.rowLifetime = startedAt, row.lifetime()
	return true
}

// Registered reports whether the other hosts still count this one as alive.
func (m *members) Registered() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.writtenAt != 0 && wire.BootTime()-m.writtenAt < max(m.rowLifetime-confirmMargin, minConfirmedTime)
}

// RecordRegisteredPeer records an event that a host which the other hosts count as alive
// sent some time ago. An event that has waited in the socket of this host while it was
// paused says nothing about the time since it was sent.
func (m *members) RecordRegisteredPeer(delay time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.confirmedPeerAt = max(m.confirmedPeerAt, wire.BootTime()-delay)
}

// receivesWeightUpdates reports whether this host learns of new weights before entries
// of older ones are freed. It does if the lease holder waits for its acknowledgement,
// or if it receives events from a host for which that holds.
func (m *members) receivesWeightUpdates() bool {
	if m.Registered() {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.confirmedPeerAt != 0 && wire.BootTime()-m.confirmedPeerAt < confirmedPeerTime
}

// otherHosts returns the other hosts that may be alive. It returns false if the rows
// were not read since the given boot time, or not within maxRowsAge.
func (m *members) otherHosts(since time.Duration) ([]string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.readAt == 0 || m.readAt < since || wire.BootTime()-m.readAt > maxRowsAge {
		return nil, false
	}
	var names []string
	for _, name := range m.currentView().live {
		if name != m.host.currentSettings().Name {
			names = append(names, name)
		}
	}
	return names, true
}

// Listed records the rows of all hosts. Hosts never remove their rows, so the platform
// has lost a row that is missing; its host counts as alive until the row expires.
func (m *members) Listed(rows []feed.Row) {
	present := make(map[string]bool, len(rows))
	for _, r := range rows {
		present[r.Key] = true
	}
	m.mu.Lock()
	for name, row := range m.rows {
		switch {
		case present[name]:
		case m.expired(row):
			delete(m.rows, name)
		default:
			row.position = feed.Position{}
			m.rows[name] = row
		}
	}
	m.mu.Unlock()
	m.Changed(rows)
}

// Changed updates the rows that have changed.
func (m *members) Changed(rows []feed.Row) {
	applyEach(m.host.log, "hosts", rows, m.applyRow)
}

// applyRow applies a row that has changed.
func (m *members) applyRow(r feed.Row) {
	if r.Removed {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.rows, r.Key)
		return
	}
	var row memberRow
	err := json.Unmarshal(r.Value, &row)
	if err == nil {
		err = row.check(r.Key)
	}
	if err != nil {
		m.host.log.Warn("row of a host is invalid; ignoring it", zap.String("key", shorten(r.Key)), zap.String("error", shorten(err.Error())))
		return
	}
	m.updateRow(row, r.Position(), wire.BootTime())
}

// Unavailable logs that the rows cannot be read. No host expires meanwhile.
func (m *members) Unavailable(err error) {
	m.host.log.Warn("platform table cannot be read", zap.String("table", "hosts"), zap.Error(err))
}

// Recovered logs that the rows can be read again.
func (m *members) Recovered(after time.Duration) {
	m.host.log.Info("platform table can be read again", zap.String("table", "hosts"), zap.Duration("after", after))
}

// recordRead records that the rows are known up to a position in the table.
func (m *members) recordRead(position feed.Position) {
	m.setReadAt(m.host.tables.CurrentAt(memberTable, position))
}

// setReadAt records the boot time at which the rows were known to be current. A gap of
// more than maxRowsAge does not count for the lifetime of a row, as the hosts could not
// write theirs either.
func (m *members) setReadAt(at time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if gap := at - m.readAt; m.readAt != 0 && gap > maxRowsAge {
		for name, row := range m.rows {
			if row.firstSeen <= m.readAt {
				row.firstSeen += gap
				m.rows[name] = row
			}
		}
	}
	m.readAt = max(m.readAt, at)
}

// read reports whether the rows of the hosts were read since this host started.
func (m *members) read() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.readAt != 0
}

// pollInterval returns the time between two reads of the rows; zero stands for the
// default.
func (m *members) pollInterval() time.Duration {
	if m.hostCount() > fewHosts {
		return rowsPollInterval
	}
	return 0
}

// newerThan reports whether a host wrote the row after another one of its rows. Versions
// are given out again after a restore of the platform, so that they are compared within an
// era only; the start of the host and its writes tell rows of different eras apart.
func (m memberRow) newerThan(old observedRow, position feed.Position) bool {
	switch {
	case position.Era == old.position.Era && position.Version > old.position.Version:
		return true
	case m.StartedAtMs != old.StartedAtMs:
		return m.StartedAtMs > old.StartedAtMs
	}
	return m.Writes > old.Writes
}

// updateRow records a row of a host. An older row than the known one comes from the copy
// from which the platform was restored, and is no sign of life.
func (m *members) updateRow(row memberRow, position feed.Position, now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	old, ok := m.rows[row.Host]
	if !ok || old.StartedAtMs != row.StartedAtMs {
		m.hostsChanged = true
	}
	if !ok || row.newerThan(old, position) {
		m.rows[row.Host] = observedRow{memberRow: row, position: position, firstSeen: now}
		return
	}
	old.position = position
	m.rows[row.Host] = old
}
