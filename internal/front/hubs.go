package front

import (
	"cmp"
	"slices"
	"time"

	"sesamehill.example/sesamehill/internal/hail"
	"sesamehill.example/sesamehill/internal/place"
	"sesamehill.example/sesamehill/internal/wire"
)

const (
	// directHosts is the number of hosts up to which each asks the stores, follows
	// the platform's tables and tells all others itself; a store takes few observers.
	directHosts = 9
	// followersPerHub is the number of hosts of a region for which there is one hub,
	// and minHubs the least number of hubs of a region.
	followersPerHub = 20
	minHubs         = 2
	// storeHubs is the number of hubs of a region that ask the stores.
	storeHubs = 3
	// contenders is the number of hosts that try to hold the lease.
	contenders = 4
	hubKey     = "hub"
	// viewFor is how long a view of the hosts is used.
	viewFor = 200 * time.Millisecond
)

// view is who is alive and who does what for the others.
type view struct {
	at time.Duration
	// live are the names of the hosts, in order.
	live []string
	// regions holds the hosts of each region, ranked as hubs.
	regions map[string][]sighting
	// contending are the hosts that try to hold the lease.
	contending []string
}

// view returns the view of the hosts. The caller holds mu.
func (m *members) view() *view {
	now := wire.Boot()
	if m.last != nil && now-m.last.at < m.viewFor {
		return m.last
	}
	v := &view{at: now, regions: map[string][]sighting{}}
	for name, s := range m.seen {
		if m.gone(s) {
			continue
		}
		v.live = append(v.live, name)
		region := m.host.settings.Zones[s.Zone]
		v.regions[region] = append(v.regions[region], s)
	}
	slices.Sort(v.live)
	for region, list := range v.regions {
		v.regions[region] = rankHubs(list)
	}
	v.contending = slices.Clone(v.live)
	slices.SortFunc(v.contending, func(a, b string) int {
		return cmp.Compare(place.Score(leaseName, b), place.Score(leaseName, a))
	})
	v.contending = v.contending[:min(contenders, len(v.contending))]
	m.last = v
	return v
}

// rankHubs returns the hosts of a region in the order in which they become hubs:
// the first of each zone before the second ones, so that most hosts follow one of
// their own zone, and in a zone the widest first.
func rankHubs(hosts []sighting) []sighting {
	score := make(map[string]uint64, len(hosts))
	for _, s := range hosts {
		score[s.Host] = place.Score(hubKey, s.Host)
	}
	slices.SortFunc(hosts, func(a, b sighting) int {
		if wide := cmp.Compare(b.Width, a.Width); wide != 0 {
			return wide
		}
		return cmp.Compare(score[b.Host], score[a.Host])
	})
	// turn is a host's rank within its zone.
	turn := make(map[string]int, len(hosts))
	inZone := map[string]int{}
	for _, s := range hosts {
		turn[s.Host] = inZone[s.Zone]
		inZone[s.Zone]++
	}
	slices.SortStableFunc(hosts, func(a, b sighting) int { return cmp.Compare(turn[a.Host], turn[b.Host]) })
	return hosts
}

// hubsOf returns the hubs of a region.
func (v *view) hubsOf(region string) []sighting {
	list := v.regions[region]
	n := max((len(list)+followersPerHub-1)/followersPerHub, minHubs)
	return list[:min(n, len(list))]
}

// leaderOf returns the first hub of a region; an empty one if the region has no
// hosts yet.
func (v *view) leaderOf(region string) sighting {
	if hubs := v.hubsOf(region); len(hubs) > 0 {
		return hubs[0]
	}
	return sighting{}
}

// has reports whether a host is among some.
func has(list []sighting, host string) bool {
	return slices.ContainsFunc(list, func(s sighting) bool { return s.Host == host })
}

// ordered returns the addresses of hubs in the order in which a host asks them:
// those of its zone first, then by a score that spreads the hosts over them.
func (s Settings) ordered(hubs []sighting) []string {
	list := slices.Clone(hubs)
	slices.SortFunc(list, func(a, b sighting) int {
		if near := cmp.Compare(bit(a.Zone != s.Zone), bit(b.Zone != s.Zone)); near != 0 {
			return near
		}
		return cmp.Compare(place.Score(s.Name, b.Host), place.Score(s.Name, a.Host))
	})
	addresses := make([]string, 0, len(list))
	for _, h := range list {
		addresses = append(addresses, h.Peer)
	}
	return addresses
}

func bit(b bool) int {
	if b {
		return 1
	}
	return 0
}

// hubs returns the addresses of the hosts of the region that ask the stores, in
// the order in which this host should learn from them, and whether this host is
// one of them. There are none while few hosts are alive.
func (m *members) hubs() (addresses []string, self bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	v, own := m.view(), m.host.settings
	if len(v.live) <= directHosts {
		return nil, true
	}
	chosen := v.regions[own.Region]
	chosen = chosen[:min(storeHubs, len(chosen))]
	if has(chosen, own.Name) {
		return nil, true
	}
	return own.ordered(chosen), false
}

// leads reports whether this host follows the platform's tables for the others of
// its region: the first of the hubs does.
func (m *members) leads() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	v, own := m.view(), m.host.settings
	return len(v.live) > directHosts && v.leaderOf(own.Region).Host == own.Name
}

// hub reports whether other hosts ask this one.
func (m *members) hub() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	v, own := m.view(), m.host.settings
	return len(v.live) > directHosts && has(v.hubsOf(own.Region), own.Name)
}

// topology says whom this host tells what it has in flight.
func (m *members) topology() hail.Topology {
	m.mu.Lock()
	defer m.mu.Unlock()
	v, own := m.view(), m.host.settings
	many := len(v.live) > directHosts
	if many && !has(v.hubsOf(own.Region), own.Name) {
		return hail.Topology{Hubs: own.ordered(v.hubsOf(own.Region))}
	}
	var t hail.Topology
	if many {
		t.Leader = v.leaderOf(own.Region).Peer
	}
	for region, hosts := range v.regions {
		if many {
			hosts = v.hubsOf(region)
		}
		for _, s := range hosts {
			switch {
			case s.Host == own.Name || s.Peer == "":
			case region == own.Region:
				t.Near = append(t.Near, s.Peer)
			default:
				t.Far = append(t.Far, s.Peer)
			}
		}
	}
	return t
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
	v, own := m.view(), m.host.settings.Name
	return slices.Contains(v.contending, own) || !slices.Contains(v.live, own)
}
