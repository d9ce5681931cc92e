package gossip

import (
	"cmp"
	"context"
	"maps"
	"net"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/pause"
	"sesamehill.example/sesamehill/internal/roll"
	"sesamehill.example/sesamehill/internal/wire"
)

// MaxInterval is the longest time between two datagrams to a host.
const MaxInterval = 500 * time.Millisecond

const (
	// minInterval is the shortest time between two datagrams to a host. Each host in the
	// region adds intervalPerPeer, up to MaxInterval, so that the total traffic stays
	// constant.
	minInterval     = 60 * time.Millisecond
	intervalPerPeer = 12 * time.Millisecond
	// queryInterval is the time between two queries of a follower, loadQueryInterval that
	// while calls are in flight and the link may carry their load. minHubInterval is the
	// minimum time between two updates of a hub to the other hubs of its region,
	// roundsToOtherRegions the number of them for one update to other regions.
	queryInterval        = 200 * time.Millisecond
	loadQueryInterval    = 60 * time.Millisecond
	minHubInterval       = 50 * time.Millisecond
	roundsToOtherRegions = 2
	// hostsPerSkippedRound is the number of hosts of other regions for which one more
	// round skips those regions, as the links between regions are narrow.
	hostsPerSkippedRound = 5
	// maxTargets bounds the targets with in-flight load in a message, so that it fits
	// a datagram. Those with the most calls are kept.
	maxTargets = 800
	// followerLoadBytesPerSecond and hubLoadBytesPerSecond bound the traffic of
	// in-flight load on a follower's link, and on a hub's link to the other hubs.
	// hubReplyBytesPerSecond bounds it in the replies of a hub. Messages beyond this omit
	// the load. Faster links carry more, see loadRate.
	followerLoadBytesPerSecond = 24 << 10
	hubLoadBytesPerSecond      = 400 << 10
	hubReplyBytesPerSecond     = 480 << 10
	// progressTTL is how long the received progress of another host is passed on.
	progressTTL = 1500 * time.Millisecond
	// followerTTL is how long a host counts as a follower after its last query.
	followerTTL = 2 * time.Second
)

// receivedProgress is the progress of the host that orders engines, as another
// host sent it.
type receivedProgress struct {
	*roll.Progress
	receivedAt time.Duration
	// fromFollower says that a follower sent it, not another hub.
	fromFollower bool
}

func (e *Exchange) send(ctx context.Context, conn net.PacketConn) {
	for round := 0; ; round++ {
		t := e.topology()
		if pause.For(ctx, pause.Jitter(t.interval())) != nil {
			return
		}
		hub, due := e.nextHub(t)
		if !due {
			continue
		}
		if hub != "" {
			m := e.message(Query)
			m.OmitsLoad = e.omitLoad()
			e.write(conn, m, hub)
			continue
		}
		peers := t.SameRegion
		if round%t.otherRegionsEvery() == 0 {
			peers = append(peers, t.OtherRegions...)
		}
		if len(peers) == 0 {
			continue
		}
		m := e.update(t)
		n := e.write(conn, m, peers...)
		if t.Leader != "" && !m.OmitsLoad {
			e.mu.Lock()
			e.delayLoad(n*len(peers), e.loadRate(hubLoadBytesPerSecond, hubUpdateLinkShare))
			e.mu.Unlock()
		}
	}
}

// nextHub returns the hub to query; empty if this host has none. It returns false if no query
// is due: between two of them a follower requests load only, while calls are in flight.
func (e *Exchange) nextHub(t Topology) (hub string, due bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := wire.BootTime()
	e.leader = t.Leader
	if len(t.Hubs) > 0 && now-e.queriedAt < queryInterval && (!e.busy || e.loads.ahead(now) > 0) {
		return "", false
	}
	e.queriedAt = now
	return e.hubs.next(t.Hubs, now), true
}

// omitLoad reports whether the next message has to omit the in-flight load.
func (e *Exchange) omitLoad() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loads.ahead(wire.BootTime()) > 0
}

// delayLoad delays the next message with in-flight load by the time that the bytes
// of the last one take at a rate. The caller holds mu.
func (e *Exchange) delayLoad(bytes, bytesPerSecond int) {
	e.loads.sent(bytes, bytesPerSecond, wire.BootTime())
}

// limitTargets returns the in-flight load of the maxTargets targets with the most
// calls.
func limitTargets(loads map[string]fleet.InFlight) map[string]fleet.InFlight {
	if len(loads) <= maxTargets {
		return loads
	}
	ids := slices.Collect(maps.Keys(loads))
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(loads[b].Calls, loads[a].Calls), cmp.Compare(a, b))
	})
	out := make(map[string]fleet.InFlight, maxTargets)
	for _, id := range ids[:maxTargets] {
		out[id] = loads[id]
	}
	return out
}

// interval returns the time between two rounds of messages.
func (t Topology) interval() time.Duration {
	if len(t.Hubs) > 0 {
		return loadQueryInterval
	}
	shortest := minInterval
	if t.Leader != "" {
		shortest = minHubInterval
	}
	return min(max(time.Duration(len(t.SameRegion))*intervalPerPeer, shortest), MaxInterval)
}

// otherRegionsEvery returns the number of rounds of which one includes the hosts of
// other regions.
func (t Topology) otherRegionsEvery() int {
	every := 1 + len(t.OtherRegions)/hostsPerSkippedRound
	if t.Leader != "" {
		every *= roundsToOtherRegions
	}
	return every
}

// message returns an update or a query with the in-flight load.
func (e *Exchange) message(k Kind) Message {
	m := e.messageWithoutLoad(k)
	if k == Update {
		m.InFlight = limitTargets(e.fleet.InFlightWithFollowers())
	} else {
		m.InFlight = limitTargets(e.fleet.OwnInFlight())
	}
	return m
}

// messageWithoutLoad returns a message with everything but the in-flight load.
func (e *Exchange) messageWithoutLoad(k Kind) Message {
	m := Message{Host: e.host, Kind: k, Unreachable: e.fleet.Unreachable(), RateLimits: e.fleet.RateLimits(), RefusalLimits: e.fleet.RefusalLimits()}
	m.Registered = e.roster != nil && e.roster.Registered()
	m.Crashes = e.crashRecords(k)
	if e.origins != nil {
		m.Software = e.origins.Sightings()
	}
	if e.evacuated != nil {
		m.Evacuated = e.evacuated.EvacuationView()
	}
	if e.configs != nil {
		m.Config = e.configs.ConfigVersion()
	}
	if e.weights == nil {
		return m
	}
	m.Desired, m.Replaced = e.weights.DesiredVersions(), e.weights.ReplacedVersions()
	m.IssuesOrders = e.weights.IssuesOrders()
	m.Progress = e.weights.Progress()
	if k == Update {
		m.DesiredByHost = e.weights.DesiredByHost(e.activeFollowers())
		if m.Progress == nil {
			m.Progress = e.recentProgress(true)
		}
	}
	return m
}

// update returns the message that this host sends to its peers. A hub adds the
// versions of the platform's tables.
func (e *Exchange) update(t Topology) Message {
	var m Message
	if t.Leader != "" && e.omitLoad() {
		m = e.messageWithoutLoad(Update)
		m.OmitsLoad = true
	} else {
		m = e.message(Update)
	}
	if e.tables != nil && t.Leader != "" {
		m.Tables = e.tables.Versions()
	}
	return m
}

// reply returns the reply to a follower's query.
func (e *Exchange) reply(query Message) Message {
	m := e.messageWithoutLoad(Reply)
	if m.OmitsLoad = query.OmitsLoad || e.replyAhead(); !m.OmitsLoad {
		m.InFlight = limitTargets(e.fleet.InFlightExcept(query.Host))
	}
	if e.tables != nil {
		m.Tables = e.tables.Versions()
	}
	if e.weights == nil {
		return m
	}
	if m.Progress == nil && !query.IssuesOrders {
		m.Progress = e.recentProgress(false)
	}
	if query.IssuesOrders {
		m.DesiredByHost = e.weights.DesiredByHost(nil)
	}
	return m
}

// replyAhead reports whether replies with load are ahead of their rate.
func (e *Exchange) replyAhead() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.replies.ahead(wire.BootTime()) > replyBurst
}

// sendReply replies to a follower's query.
func (e *Exchange) sendReply(conn net.PacketConn, query Message, follower string) {
	m := e.reply(query)
	n := e.write(conn, m, follower)
	if m.OmitsLoad {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.replies.sent(n, e.loadRate(hubReplyBytesPerSecond, hubReplyLinkShare), wire.BootTime())
}

// recentProgress returns the progress that another host sent recently. With
// onlyFollowers it returns only that of a follower, as hubs send theirs to each
// other directly.
func (e *Exchange) recentProgress(onlyFollowers bool) *roll.Progress {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.progress
	if p.Progress == nil || wire.BootTime()-p.receivedAt > progressTTL || onlyFollowers && !p.fromFollower {
		return nil
	}
	return p.Progress
}

// activeFollowers returns the names of the hosts that query this one.
func (e *Exchange) activeFollowers() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	names := make([]string, 0, len(e.followers))
	for name, queriedAt := range e.followers {
		if wire.BootTime()-queriedAt > followerTTL {
			delete(e.followers, name)
			continue
		}
		names = append(names, name)
	}
	return names
}

// write sends a message to hosts and returns its size in bytes.
func (e *Exchange) write(conn net.PacketConn, m Message, peers ...string) int {
	if ms, known := e.clock.Sampled(); known {
		m.SentMs = ms
	}
	b, err := cbor.Marshal(m)
	if err != nil || len(b) > maxDatagramBytes {
		e.log.Warn(
			"message to other hosts not sent: encoding failed or it exceeds a datagram", zap.Int("bytes", len(b)), zap.Error(err),
		)
		return 0
	}
	for _, p := range peers {
		to, err := net.ResolveUDPAddr("udp", p)
		if err != nil {
			e.log.Debug("skipped a host: its address cannot be resolved", zap.String("address", p), zap.Error(err))
			continue
		}
		_, _ = conn.WriteTo(b, to) // the next message replaces a lost one
	}
	return len(b)
}
