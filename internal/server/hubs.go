package server

import (
	"cmp"
	"slices"
	"time"

	"sesamehill.example/sesamehill/internal/gossip"
	"sesamehill.example/sesamehill/internal/place"
	"sesamehill.example/sesamehill/internal/wire"
)

const (
	// maxDirectHosts is the number of hosts up to which each host polls the stores,
	// follows the platform tables and sends events to all others itself. A store
	// accepts few observers.
	maxDirectHosts = 9
	// hostsPerHub is the number of hosts of a region for which there is one hub, and
	// minHubs the least number of hubs of a region.
	hostsPerHub = 20
	minHubs     = 2
	// storeHubs is the number of hubs of a region that poll the stores.
	storeHubs = 3
	// leaseContenders is the number of hosts that try to acquire the lease.
	leaseContenders = 4
	hubKey          = "hub"
	// viewLifetime is how long a computed view of the hosts is used.
	viewLifetime = 200 * time.Millisecond
)

// membershipView holds the live hosts and their roles.
type membershipView struct {
	// computedAt is the boot time at which the view was computed.
	computedAt time.Duration
	// live holds the names of the hosts, sorted.
	live []string
	// rankedByRegion holds the hosts of each region in the order in which they become
	// hubs.
	rankedByRegion map[string][]observedRow
	// contenders are the hosts that try to acquire the lease.
	contenders []string
}

// renewView ends the cached view if a host has appeared or started again, so that streams which
// begin now are sent to this start of the host, too.
func (m *members) renewView() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.hostsChanged {
		m.cachedView, m.hostsChanged = nil, false
	}
}

// currentView returns the view of the hosts. The caller holds mu.
func (m *members) currentView() *membershipView {
	now := wire.BootTime()
	if m.cachedView != nil && now-m.cachedView.computedAt < m.viewLifetime {
		return m.cachedView
	}
	v := &membershipView{computedAt: now, rankedByRegion: map[string][]observedRow{}}
	for name, row := range m.rows {
		if m.expired(row) {
			continue
		}
		v.live = append(v.live, name)
		region := m.host.currentSettings().Zones[row.Zone]
		v.rankedByRegion[region] = append(v.rankedByRegion[region], row)
	}
	slices.Sort(v.live)
	for region, hosts := range v.rankedByRegion {
		v.rankedByRegion[region] = rankHubs(hosts)
	}
	v.contenders = slices.Clone(v.live)
	slices.SortFunc(v.contenders, func(a, b string) int {
		return cmp.Compare(place.RendezvousScore(leaseName, b), place.RendezvousScore(leaseName, a))
	})
	v.contenders = v.contenders[:min(leaseContenders, len(v.contenders))]
	m.cachedView = v
	return v
}

// rankHubs returns the hosts of a region in the order in which they become hubs: the
// first of each zone before the second ones, so that most hosts follow a hub in their
// own zone, and within a zone those with the highest capacity first.
func rankHubs(hosts []observedRow) []observedRow {
	sortByRendezvous(hosts, hubKey)
	slices.SortStableFunc(hosts, func(a, b observedRow) int { return cmp.Compare(b.Capacity, a.Capacity) })
	// zoneRank is the rank of each host within its zone.
	zoneRank := make(map[string]int, len(hosts))
	zoneCount := map[string]int{}
	for _, s := range hosts {
		zoneRank[s.Host] = zoneCount[s.Zone]
		zoneCount[s.Zone]++
	}
	slices.SortStableFunc(hosts, func(a, b observedRow) int { return cmp.Compare(zoneRank[a.Host], zoneRank[b.Host]) })
	return hosts
}

// sortByRendezvous sorts hosts by their rendezvous scores for a key, the highest first.
func sortByRendezvous(hosts []observedRow, key string) {
	scores := make(map[string]uint64, len(hosts))
	for _, h := range hosts {
		scores[h.Host] = place.RendezvousScore(key, h.Host)
	}
	slices.SortFunc(hosts, func(a, b observedRow) int { return cmp.Compare(scores[b.Host], scores[a.Host]) })
}

// peersOf returns the addresses at which hosts serve other hosts.
func peersOf(hosts []observedRow) []string {
	addresses := make([]string, 0, len(hosts))
	for _, h := range hosts {
		addresses = append(addresses, h.Peer)
	}
	return addresses
}

// hubsOf returns the hubs of a region.
func (v *membershipView) hubsOf(region string) []observedRow {
	ranked := v.rankedByRegion[region]
	n := max((len(ranked)+hostsPerHub-1)/hostsPerHub, minHubs)
	return ranked[:min(n, len(ranked))]
}

// leaderOf returns the leader of a region, which is its first hub, or a zero row if
// the region has no hosts yet.
func (v *membershipView) leaderOf(region string) observedRow {
	if hubs := v.hubsOf(region); len(hubs) > 0 {
		return hubs[0]
	}
	return observedRow{}
}

// containsHost reports whether rows contains the row of a host.
func containsHost(rows []observedRow, host string) bool {
	return slices.ContainsFunc(rows, func(s observedRow) bool { return s.Host == host })
}

// hubOrder returns the addresses of hubs in the order in which this host queries them:
// those in its zone first, then by a rendezvous score that spreads the hosts over the
// hubs.
func (s Settings) hubOrder(hubs []observedRow) []string {
	ordered := slices.Clone(hubs)
	sortByRendezvous(ordered, s.Name)
	slices.SortStableFunc(ordered, func(a, b observedRow) int {
		return cmp.Compare(boolToInt(a.Zone != s.Zone), boolToInt(b.Zone != s.Zone))
	})
	return peersOf(ordered)
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// storeHubAddresses returns the addresses of the hubs of the region that poll the
// stores, in the order in which this host should query them. If this host polls the
// stores itself, as one of these hubs or because few hosts are alive, it returns no
// addresses and self is true.
func (m *members) storeHubAddresses() (addresses []string, self bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	v, own := m.currentView(), m.host.currentSettings()
	if len(v.live) <= maxDirectHosts {
		return nil, true
	}
	chosen := v.rankedByRegion[own.Region]
	chosen = chosen[:min(storeHubs, len(chosen))]
	if containsHost(chosen, own.Name) {
		return nil, true
	}
	return own.hubOrder(chosen), false
}

// regionHostCount returns the number of live hosts of this host's region.
func (m *members) regionHostCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.currentView().rankedByRegion[m.host.currentSettings().Region])
}

// isLeader reports whether this host follows the platform tables for the other hosts
// of its region.
func (m *members) isLeader() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	v, own := m.currentView(), m.host.currentSettings()
	return len(v.live) > maxDirectHosts && v.leaderOf(own.Region).Host == own.Name
}

// isHub reports whether other hosts query this one.
func (m *members) isHub() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	v, own := m.currentView(), m.host.currentSettings()
	return len(v.live) > maxDirectHosts && containsHost(v.hubsOf(own.Region), own.Name)
}

// topology returns the hosts to which this host sends its in-flight load.
func (m *members) topology() gossip.Topology {
	m.mu.Lock()
	defer m.mu.Unlock()
	v, own := m.currentView(), m.host.currentSettings()
	useHubs := len(v.live) > maxDirectHosts
	if useHubs && !containsHost(v.hubsOf(own.Region), own.Name) {
		return gossip.Topology{Hubs: own.hubOrder(v.hubsOf(own.Region))}
	}
	var t gossip.Topology
	if useHubs {
		t.Leader = v.leaderOf(own.Region).Peer
	}
	for region, hosts := range v.rankedByRegion {
		if useHubs {
			hosts = v.hubsOf(region)
		}
		for _, s := range hosts {
			switch {
			case s.Host == own.Name || s.Peer == "":
			case region == own.Region:
				t.SameRegion = append(t.SameRegion, s.Peer)
			default:
				t.OtherRegions = append(t.OtherRegions, s.Peer)
			}
		}
	}
	return t
}

// contenderRank returns the position of this host among the contenders for the lease, or
// their number if it is none of them.
func (m *members) contenderRank() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	contenders := m.currentView().contenders
	if i := slices.Index(contenders, m.host.currentSettings().Name); i >= 0 {
		return i
	}
	return len(contenders)
}

// isContender reports whether this host should try to acquire the lease. Only a few
// hosts do, so that the calls to the platform do not grow with the number of hosts. No
// host does before it has read the rows, which needs the same platform store as the
// lease.
func (m *members) isContender() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.readAt == 0 {
		return false
	}
	v, own := m.currentView(), m.host.currentSettings().Name
	return slices.Contains(v.contenders, own) || !slices.Contains(v.live, own)
}
