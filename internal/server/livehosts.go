package server

import (
	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/rates"
	"sesamehill.example/sesamehill/internal/wire"
)

// hostCount returns the number of hosts that share budgets.
func (m *members) hostCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.readAt == 0 {
		return assumedHosts
	}
	return max(len(m.currentView().live), minAssumedHosts)
}

// alone reports whether the rows were read and show no other host. A cached view may be
// older than the rows.
func (m *members) alone() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, row := range m.rows {
		if name != m.host.currentSettings().Name && !m.expired(row) {
			return false
		}
	}
	return m.readAt != 0
}

// allStoreStreams reports whether the rows were read and all hosts that may be alive are of
// builds that store streams.
func (m *members) allStoreStreams() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, row := range m.rows {
		if !row.StoresStreams && !m.expired(row) {
			return false
		}
	}
	return m.readAt != 0
}

// settleTime is the time after its first row from which the other hosts count a host: they
// have read its row by then.
const settleTime = 2 * rowsPollInterval

// share returns this host's share of the limits of a target. It is unsettled while other
// hosts may not count this one. Before the hosts are known, it has no share.
func (m *members) share(t *fleet.Target) rates.Share {
	settled, own := m.Registered(), m.host.currentSettings()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.readAt == 0 {
		return rates.Share{}
	}
	self := rates.Host{Name: own.Name, Distance: own.distanceBetween(own.Zone, t.Zone)}
	others := make([]rates.Host, 0, len(m.rows))
	for _, hosts := range m.currentView().rankedByRegion {
		for _, h := range hosts {
			others = append(others, rates.Host{Name: h.Host, Distance: own.distanceBetween(h.Zone, t.Zone)})
		}
	}
	return rates.Share{
		Rank: rates.Rank(self, others, t.ID), Hosts: max(len(others), minAssumedHosts),
		Unsettled: !settled || wire.BootTime()-m.firstWrittenAt < settleTime,
	}
}

// hostNames returns the names of the hosts that are alive.
func (m *members) hostNames() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.currentView().live
}

// expired reports whether the row of a host had not changed for its lifetime when the
// rows were last read.
func (m *members) expired(s observedRow) bool { return m.readAt-s.firstSeen >= s.lifetime() }
