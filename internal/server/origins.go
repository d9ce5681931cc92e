package server

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/feed"
	"sesamehill.example/sesamehill/internal/origin"
	"sesamehill.example/sesamehill/internal/pause"
	"sesamehill.example/sesamehill/internal/place"
	"sesamehill.example/sesamehill/internal/proxy"
	"sesamehill.example/sesamehill/internal/safego"
	"sesamehill.example/sesamehill/internal/wire"
)

const (
	// originPath is the path at which a host tells which software version began a stream.
	originPath = "/origin"
	// originFlushInterval is the time for which streams that have begun are collected
	// before they are sent to other hosts.
	originFlushInterval = 15 * time.Millisecond
	// originObserveInterval is the time between two looks at the listed software versions.
	originObserveInterval = 50 * time.Millisecond
	// originOwners is the number of hosts that remember a stream, where hosts are many.
	originOwners = 3
	// originQueryTimeout bounds a query for the origin of a stream, which is repeated once
	// after originRetryDelay, as the record of the stream may be on its way.
	originQueryTimeout = 300 * time.Millisecond
	originRetryDelay   = 100 * time.Millisecond
	// messageTTL and listTTL are how long a message of another host and a read of the list
	// of targets show that this host knows all software versions.
	messageTTL = 2 * time.Second
	listTTL    = 3 * time.Second
)

// streamOrigins finds out which software version began a stream that a caller resumes.
type streamOrigins struct {
	host     *Host
	registry *origin.Registry
	// began receives a value after a stream has begun that other hosts have to know.
	began chan struct{}
	// startedAt is the boot time of the start of this host, messageAt that of the last
	// message of another host and listAt that of the last read of the list of targets.
	startedAt         time.Duration
	messageAt, listAt atomic.Int64
	observedAt        atomic.Int64
}

func newStreamOrigins(h *Host) *streamOrigins {
	return &streamOrigins{host: h, registry: origin.New(), began: make(chan struct{}, 1), startedAt: wire.BootTime()}
}

// originQuery asks for the origin of a stream.
type originQuery struct {
	Key origin.Key `cbor:"1,keyasint"`
}

// originReply holds the origin of a stream if the host knows it.
type originReply struct {
	Known  bool          `cbor:"1,keyasint,omitempty"`
	Origin origin.Origin `cbor:"2,keyasint"`
}

// observe records the software versions that the list of targets shows.
func (s *streamOrigins) observe() {
	now := wire.BootTime()
	if last := s.observedAt.Load(); now-time.Duration(last) < originObserveInterval || !s.observedAt.CompareAndSwap(last, int64(now)) {
		return
	}
	s.registry.Observe(s.host.fleet.Software(), now)
}

// recordListRead records that the list of targets was received up to a position.
func (s *streamOrigins) recordListRead(p feed.Position) {
	s.listAt.Store(int64(s.host.tables.CurrentAt(s.host.platform.TargetTable(), p)))
}

// Begin records that a request brings the first events of a stream, or goes on with one.
func (s *streamOrigins) Begin(request string, o origin.Origin) {
	s.observe()
	if s.registry.Begin(request, o, wire.BootTime()) {
		s.notify()
	}
}

func (s *streamOrigins) notify() {
	select {
	case s.began <- struct{}{}:
	default:
	}
}

// Settled reports whether a software version of a service may get new streams.
func (s *streamOrigins) Settled(service, software string) bool {
	s.observe()
	return s.registry.Settled(service, software, wire.BootTime())
}

// Find looks for the origin of a stream here and then at its owners.
func (s *streamOrigins) Find(ctx context.Context, service, request string) proxy.OriginResult {
	s.observe()
	key := origin.NewKey(request)
	if o, ok := s.registry.Find(key); ok && request != "" {
		return proxy.OriginFound{Origin: o}
	}
	if only, ok := s.registry.Only(service); ok && s.knowsVersions() {
		return proxy.OriginFound{Origin: origin.Origin{Service: service, Software: only}}
	}
	if request == "" {
		return proxy.OriginUnknown{}
	}
	for range 2 {
		if o, ok := s.queryOwners(ctx, key); ok {
			s.registry.Import([]origin.Begun{{Origin: o, Keys: []origin.Key{key}}}, wire.BootTime())
			return proxy.OriginFound{Origin: o}
		}
		if pause.For(ctx, originRetryDelay) != nil {
			break
		}
	}
	return s.findAgain(service, key)
}

// findAgain looks for a stream after its owners were queried: its record may have come
// meanwhile, or a message that shows that there is only one version.
func (s *streamOrigins) findAgain(service string, key origin.Key) proxy.OriginResult {
	s.observe()
	if o, ok := s.registry.Find(key); ok {
		return proxy.OriginFound{Origin: o}
	}
	if only, ok := s.registry.Only(service); ok && s.knowsVersions() {
		return proxy.OriginFound{Origin: origin.Origin{Service: service, Software: only}}
	}
	return proxy.OriginUnknown{}
}

// knowsVersions reports whether this host would know of a second software version that any
// host uses. A host that has just started learns it from the messages of the others.
func (s *streamOrigins) knowsVersions() bool {
	now := wire.BootTime()
	message, list := time.Duration(s.messageAt.Load()), time.Duration(s.listAt.Load())
	switch {
	case message != 0 && now-message < messageTTL:
		return true
	case list != 0 && now-list < listTTL && now-s.startedAt > listTTL:
		return true
	}
	return s.host.members.alone()
}

// queryOwners asks the owners of a stream for its origin and returns the first answer of
// one that knows it.
func (s *streamOrigins) queryOwners(ctx context.Context, key origin.Key) (origin.Origin, bool) {
	owners := s.host.members.ownersOf(key)
	ctx, cancel := context.WithTimeout(ctx, originQueryTimeout)
	defer cancel()
	replies := make(chan originReply, len(owners))
	for _, owner := range owners {
		go safego.Do(s.host.log, "origin query", func() {
			var reply originReply
			if err := s.host.peerClient.call(ctx, owner, originPath, originQuery{Key: key}, &reply); err != nil && ctx.Err() == nil {
				s.host.log.Debug("origin of a stream not received", zap.String("peer", owner), zap.Error(err))
				reply = originReply{}
			}
			replies <- reply
		})
	}
	for range owners {
		select {
		case r := <-replies:
			if r.Known {
				return r.Origin, true
			}
		case <-ctx.Done():
			return origin.Origin{}, false
		}
	}
	return origin.Origin{}, false
}

// serveOrigin answers hosts that ask for the origin of a stream.
func (h *Host) serveOrigin(w http.ResponseWriter, r *http.Request) {
	var q originQuery
	if readQuery(w, r, &q) {
		o, ok := h.origins.registry.Find(q.Key)
		writeReply(w, originReply{Known: ok, Origin: o})
	}
}

// Sightings returns the software versions of the services that have more than one.
func (s *streamOrigins) Sightings() origin.Sightings {
	s.observe()
	seen := s.registry.Sightings(wire.BootTime())
	if len(seen) > 0 {
		s.notify() // streams that began before the second version appeared
	}
	return seen
}

// RecordSightings records the software versions that another host has seen.
func (s *streamOrigins) RecordSightings(seen origin.Sightings, delay time.Duration) {
	now := wire.BootTime()
	s.messageAt.Store(max(s.messageAt.Load(), int64(now-delay)))
	if len(seen) > 0 {
		s.registry.ObserveRemote(seen, now)
	}
}

// RecordBegun records streams that began at another host.
func (s *streamOrigins) RecordBegun(begun []origin.Begun) { s.registry.Import(begun, wire.BootTime()) }

// Outgoing waits for streams that have begun at this host and returns them by the address
// of an owner.
func (s *streamOrigins) Outgoing(ctx context.Context) map[string][]origin.Begun {
	select {
	case <-ctx.Done():
		return nil
	case <-s.began:
	}
	if pause.For(ctx, originFlushInterval) != nil {
		return nil
	}
	return s.registry.TakeOutgoing(s.host.members.ownersOf)
}

// ownersOf returns the addresses of the other hosts that remember a stream: all where
// hosts are few.
func (m *members) ownersOf(key origin.Key) []string {
	others := m.others()
	if len(others) >= maxDirectHosts {
		others = topOwners(others, key)
	}
	addresses := make([]string, 0, len(others))
	for _, h := range others {
		addresses = append(addresses, h.Peer)
	}
	return addresses
}

// topOwners returns the hosts with the highest rendezvous scores for a stream.
func topOwners(hosts []observedRow, key origin.Key) []observedRow {
	text := key.String()
	scores := make(map[string]uint64, len(hosts))
	for _, h := range hosts {
		scores[h.Host] = place.RendezvousScore(text, h.Host)
	}
	slices.SortFunc(hosts, func(a, b observedRow) int { return cmp.Compare(scores[b.Host], scores[a.Host]) })
	return hosts[:originOwners]
}
