package front

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/feed"
	"sesamehill.example/sesamehill/internal/pause"
	"sesamehill.example/sesamehill/internal/poison"
	"sesamehill.example/sesamehill/internal/wire"
)

const (
	// memberTable holds a row for each host.
	memberTable = "sesame_hosts"
	// memberPeriod is the time between two writes of a host's row where hosts are
	// few, promptPeriod that of those of many which contend for the lease, so that
	// they are soon missed, and longPeriod the least of the rest. Each host adds
	// perMember to that, so that the platform's calls do not grow with their number.
	memberPeriod = 2 * time.Second
	promptPeriod = 4 * time.Second
	longPeriod   = 8 * time.Second
	perMember    = 100 * time.Millisecond
	fewHosts     = 10
	// memberMemory is how long a host counts at least after its row changed last.
	// Its row names a longer time, rowsMissed periods, if it writes more seldom.
	memberMemory = 12 * time.Second
	rowsMissed   = 3
	// confirmFor is how long a host uses kept state after its row was written last,
	// if it counts for memberMemory; it is shorter by confirmMargin, which is more
	// than a fetch can last.
	confirmMargin = 3 * time.Second
	confirmFor    = memberMemory - confirmMargin
	// vouchFor is how long a host that cannot write its row uses kept state after it
	// heard a host that can. State is freed releaseAfter the last counted host knew
	// of new weights; a fetch that begins within vouchFor has ended by then.
	vouchFor      = 1200 * time.Millisecond
	memberTimeout = 700 * time.Millisecond
	// othersLimit is how old the rows may be for a decision about all hosts.
	othersLimit = 8 * time.Second
	// memberPace is the time between two looks at the rows of many hosts.
	memberPace = 2 * time.Second
	// assumedHosts is the number of hosts that a host assumes to share budgets
	// with before it knows better; minHosts is the least it ever assumes.
	assumedHosts = 8
	minHosts     = 2
	// maxRecords bounds the records of crashing requests in a row.
	maxRecords = 64
)

// member is a host's row.
type member struct {
	Host  string `json:"host"`
	Zone  string `json:"zone"`
	Peer  string `json:"peer"`
	Count uint64 `json:"count"`
	// Life is how long the host counts after this write, in milliseconds; zero
	// stands for memberMemory.
	Life int64 `json:"life,omitempty"`
	// Width is the host's share of a core times the width of its link in megabits a
	// second.
	Width  float64         `json:"width,omitempty"`
	Poison []poison.Record `json:"poison,omitempty"`
}

// life returns how long the host counts after a write of the row.
func (m member) life() time.Duration {
	return max(memberMemory, time.Duration(m.Life)*time.Millisecond)
}

// members writes the host's row and reads those of the others.
type members struct {
	host   *Host
	table  Table
	writes uint64

	mu   sync.Mutex
	seen map[string]sighting
	// heard is the boot time at which the last read began; zero before the first. Hosts are not
	// missed while nothing can be read: a host that took itself for alone would
	// claim every budget.
	heard time.Duration
	// written is the boot time at which the last successful write of this host's row
	// began, and life how long the host counts since then.
	written, life time.Duration
	// vouched is the boot time at which a confirmed host was heard last.
	vouched time.Duration
	// last is the view of the hosts, used for a time.
	last    *view
	viewFor time.Duration
}

type sighting struct {
	member
	version uint64
	at      time.Duration
}

func newMembers(h *Host) *members {
	return &members{host: h, table: h.platform.Table(memberTable), seen: map[string]sighting{}, viewFor: viewFor}
}

// Run writes this host's row until ctx ends.
func (m *members) Run(ctx context.Context) error {
	var next, last time.Duration
	for {
		if now := wire.Boot(); now >= next || m.news(now-last) {
			period := m.period()
			last, next = now, now+pause.Jitter(memberPeriod)
			if m.write(ctx, period) {
				next = now + pause.Jitter(period)
			}
		}
		if pause.For(ctx, pause.Jitter(min(memberPeriod, max(next-wire.Boot(), 0)))) != nil {
			return nil //nolint:nilerr // the end of ctx is the normal end
		}
	}
}

// news reports whether a request has crashed a target within a time, which the
// others should learn soon.
func (m *members) news(within time.Duration) bool {
	for _, r := range m.host.poison.Export(1, time.Now()) {
		if time.Duration(slices.Min(r.Ages))*time.Millisecond < within {
			return true
		}
	}
	return false
}

// period is the time between two writes of this host's row.
func (m *members) period() time.Duration {
	n := m.count()
	switch {
	case n <= fewHosts:
		return memberPeriod
	case m.contends():
		return promptPeriod
	}
	return max(longPeriod, time.Duration(n)*perMember)
}

// write writes this host's row, which is to be written again after a period.
func (m *members) write(ctx context.Context, period time.Duration) bool {
	m.writes++
	own := m.host.settings
	row := member{
		Host: own.Name, Zone: own.Zone, Peer: own.Peer, Count: m.writes, Width: own.width(),
		Life: (rowsMissed * period).Milliseconds(), Poison: m.host.poison.Export(maxRecords, time.Now()),
	}
	b, err := json.Marshal(row)
	if err != nil {
		m.host.log.Error("row of this host not encoded", zap.Error(err))
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	began := wire.Boot()
	if err := m.table.Put(ctx, row.Host, b); err != nil {
		m.host.log.Debug("row of this host not written", zap.Error(err))
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.written, m.life = began, row.life()
	return true
}

// Confirmed reports whether the other hosts still count on this one.
func (m *members) Confirmed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.written != 0 && wire.Boot()-m.written < max(m.life-confirmMargin, confirmFor)
}

// Vouched notes that a host was heard which the others count on.
func (m *members) Vouched() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.vouched = wire.Boot()
}

// informed reports whether this host learns in time that state is to be freed:
// the others wait for its word, or for that of a host that it hears.
func (m *members) informed() bool {
	if m.Confirmed() {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.vouched != 0 && wire.Boot()-m.vouched < vouchFor
}

// others returns the other hosts that may be alive; false if the rows were not
// read lately, or not since a boot time.
func (m *members) others(since time.Duration) ([]string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.heard == 0 || m.heard < since || wire.Boot()-m.heard > othersLimit {
		return nil, false
	}
	var names []string
	for _, n := range m.view().live {
		if n != m.host.settings.Name {
			names = append(names, n)
		}
	}
	return names, true
}

// Listed reads the rows of all hosts.
func (m *members) Listed(rows []feed.Row) {
	present := make(map[string]bool, len(rows))
	for _, r := range rows {
		present[r.Key] = true
	}
	m.mu.Lock()
	for name := range m.seen {
		if !present[name] {
			delete(m.seen, name)
		}
	}
	m.mu.Unlock()
	m.Changed(rows)
}

// Changed reads the rows that have changed.
func (m *members) Changed(rows []feed.Row) {
	for _, r := range rows {
		if r.Removed {
			m.mu.Lock()
			delete(m.seen, r.Key)
			m.mu.Unlock()
			continue
		}
		var row member
		if err := json.Unmarshal(r.Value, &row); err != nil || row.Host == "" {
			m.host.log.Warn("row of a host not usable", zap.String("key", r.Key), zap.Error(err))
			continue
		}
		m.note(row, r.Version, wire.Boot())
	}
}

// Lost says that the rows cannot be read; nobody is missed meanwhile.
func (m *members) Lost(err error) {
	m.host.log.Warn("dependency lost", zap.String("table", "hosts"), zap.Error(err))
}

// Regained says that the rows can be read again.
func (m *members) Regained(after time.Duration) {
	m.host.log.Info("dependency regained", zap.String("table", "hosts"), zap.Duration("after", after))
}

// current notes that the rows are known up to a version.
func (m *members) current(version uint64) {
	at := m.host.tables.Current(memberTable, version)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heard = max(m.heard, at)
}

// pace is the time between two looks at the rows.
func (m *members) pace() time.Duration {
	if m.count() > fewHosts {
		return memberPace
	}
	return 0
}

func (m *members) note(row member, version uint64, now time.Duration) {
	m.mu.Lock()
	old, ok := m.seen[row.Host]
	fresh := !ok || old.version != version
	if fresh {
		m.seen[row.Host] = sighting{member: row, version: version, at: now}
	}
	m.mu.Unlock()
	if !fresh || row.Host == m.host.settings.Name || len(row.Poison) == 0 {
		return
	}
	if err := m.host.poison.Import(row.Poison, time.Now()); err != nil {
		m.host.log.Warn("records of another host not usable", zap.String("from", row.Host), zap.Error(err))
	}
}

// count returns the number of hosts that share budgets.
func (m *members) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.heard == 0 {
		return assumedHosts
	}
	return max(len(m.view().live), minHosts)
}

// names returns the hosts that are alive.
func (m *members) names() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view().live
}

// gone reports whether a host's row had not changed for long when the rows were
// read last.
func (m *members) gone(s sighting) bool { return m.heard-s.at >= s.life() }
