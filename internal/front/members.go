package front

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/pause"
	"sesamehill.example/sesamehill/internal/place"
	"sesamehill.example/sesamehill/internal/poison"
	"sesamehill.example/sesamehill/internal/wire"
)

const (
	// memberTable holds a row for each host.
	memberTable = "sesame_hosts"
	// memberPeriod is the time between two writes of a host's row; it grows with
	// the number of hosts up to maxMemberPeriod, so that the platform's calls do not.
	memberPeriod    = 2 * time.Second
	maxMemberPeriod = 4 * time.Second
	fewHosts        = 10
	// memberMemory is how long a host counts after its row changed last.
	memberMemory = 12 * time.Second
	// confirmFor is how long a host uses kept state after its row was written last.
	// It is shorter than memberMemory by more than a fetch can last.
	confirmFor = 9 * time.Second
	// vouchFor is how long a host that cannot write its row uses kept state after it
	// heard a host that can. State is freed releaseAfter the last counted host knew
	// of new weights; a fetch that begins within vouchFor has ended by then.
	vouchFor      = 1200 * time.Millisecond
	memberTimeout = 700 * time.Millisecond
	// assumedHosts is the number of hosts that a host assumes to share budgets
	// with before it knows better; minHosts is the least it ever assumes.
	assumedHosts = 8
	minHosts     = 2
	// contenders is the number of hosts that try to hold the lease.
	contenders = 4
	hubKey     = "hub"
	// maxRecords bounds the records of crashing requests in a row.
	maxRecords = 64
)

// member is a host's row.
type member struct {
	Host   string          `json:"host"`
	Zone   string          `json:"zone"`
	Peer   string          `json:"peer"`
	Count  uint64          `json:"count"`
	Poison []poison.Record `json:"poison,omitempty"`
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
	// began.
	written time.Duration
	// vouched is the boot time at which a confirmed host was heard last.
	vouched time.Duration
}

type sighting struct {
	member
	version uint64
	at      time.Duration
}

func newMembers(h *Host) *members {
	return &members{host: h, table: h.platform.Table(memberTable), seen: map[string]sighting{}}
}

// Run writes and reads until ctx ends.
func (m *members) Run(ctx context.Context) error {
	for {
		m.write(ctx)
		m.read(ctx)
		period := memberPeriod
		if m.count() > fewHosts {
			period = maxMemberPeriod
		}
		if pause.For(ctx, period*3/4+time.Duration(rand.Int64N(int64(period/2)))) != nil {
			return nil //nolint:nilerr // the end of ctx is the normal end
		}
	}
}

func (m *members) write(ctx context.Context) {
	m.writes++
	row := member{
		Host: m.host.settings.Name, Zone: m.host.settings.Zone, Peer: m.host.settings.Peer, Count: m.writes,
		Poison: m.host.poison.Export(maxRecords, time.Now()),
	}
	b, err := json.Marshal(row)
	if err != nil {
		m.host.log.Error("row of this host not encoded", zap.Error(err))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	began := wire.Boot()
	if err := m.table.Put(ctx, row.Host, b); err != nil {
		m.host.log.Debug("row of this host not written", zap.Error(err))
		return
	}
	m.mu.Lock()
	m.written = began
	m.mu.Unlock()
}

// Confirmed reports whether the other hosts still count on this one.
func (m *members) Confirmed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.written != 0 && wire.Boot()-m.written < confirmFor
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
	if m.heard == 0 || m.heard < since || wire.Boot()-m.heard > 2*maxMemberPeriod {
		return nil, false
	}
	var names []string
	for _, n := range m.live() {
		if n != m.host.settings.Name {
			names = append(names, n)
		}
	}
	return names, true
}

func (m *members) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	began := wire.Boot()
	rows, _, err := m.host.platform.List(ctx, memberTable)
	if err != nil {
		m.host.log.Debug("rows of hosts not read", zap.Error(err))
		return
	}
	for _, r := range rows {
		var row member
		if err := json.Unmarshal(r.Value, &row); err != nil || row.Host == "" {
			m.host.log.Warn("row of a host not usable", zap.String("key", r.Key), zap.Error(err))
			continue
		}
		m.note(row, r.Version, began)
	}
	m.mu.Lock()
	m.heard = began
	m.mu.Unlock()
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
	return max(len(m.live()), minHosts)
}

// peers returns the addresses of the other hosts, those of this region and the
// rest.
func (m *members) peers() (near, far []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, s := range m.seen {
		if m.gone(s) || name == m.host.settings.Name || s.Peer == "" {
			continue
		}
		if m.host.settings.Zones[s.Zone] == m.host.settings.Region {
			near = append(near, s.Peer)
			continue
		}
		far = append(far, s.Peer)
	}
	return near, far
}

// hubs returns the addresses of the hosts of the region that ask the stores, in
// the order in which this host should learn from them, and whether this host is
// one of them. There are none while few hosts are alive.
func (m *members) hubs() (addresses []string, self bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.live()) <= directHosts {
		return nil, true
	}
	chosen := m.regionHubs()
	own := m.host.settings
	if slices.ContainsFunc(chosen, func(s sighting) bool { return s.Host == own.Name }) {
		return nil, true
	}
	slices.SortFunc(chosen, func(a, b sighting) int {
		if near := cmp.Compare(bit(a.Zone != own.Zone), bit(b.Zone != own.Zone)); near != 0 {
			return near
		}
		return cmp.Compare(place.Score(own.Name, b.Host), place.Score(own.Name, a.Host))
	})
	for _, s := range chosen {
		addresses = append(addresses, s.Peer)
	}
	return addresses, false
}

// regionHubs returns the hubs of this host's region. They are spread over its
// zones, so that most hosts learn from one of their own zone.
func (m *members) regionHubs() []sighting {
	var ranked []sighting
	for _, s := range m.seen {
		if !m.gone(s) && m.host.settings.Zones[s.Zone] == m.host.settings.Region {
			ranked = append(ranked, s)
		}
	}
	slices.SortFunc(ranked, func(a, b sighting) int {
		return cmp.Compare(place.Score(hubKey, b.Host), place.Score(hubKey, a.Host))
	})
	// turn is a host's rank within its zone.
	turn := make(map[string]int, len(ranked))
	inZone := map[string]int{}
	for _, s := range ranked {
		turn[s.Host] = inZone[s.Zone]
		inZone[s.Zone]++
	}
	slices.SortStableFunc(ranked, func(a, b sighting) int { return cmp.Compare(turn[a.Host], turn[b.Host]) })
	return ranked[:min(hubs, len(ranked))]
}

func bit(b bool) int {
	if b {
		return 1
	}
	return 0
}

// contends reports whether this host should try to hold the lease: only a few
// hosts do, so that the platform's calls do not grow with their number. None does
// before it has read the rows, which needs the same store as the lease.
func (m *members) contends() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.heard == 0 {
		return false
	}
	names := m.live()
	if len(names) <= contenders || !slices.Contains(names, m.host.settings.Name) {
		return true
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Compare(place.Score(leaseName, b), place.Score(leaseName, a))
	})
	return slices.Contains(names[:contenders], m.host.settings.Name)
}

// names returns the hosts that are alive.
func (m *members) names() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.live()
}

func (m *members) live() []string {
	var names []string
	for name, s := range m.seen {
		if !m.gone(s) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// gone reports whether a host's row had not changed for long when the rows were
// read last.
func (m *members) gone(s sighting) bool { return m.heard-s.at >= memberMemory }
