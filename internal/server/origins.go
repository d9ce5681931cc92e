package server

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/feed"
	"sesamehill.example/sesamehill/internal/origin"
	"sesamehill.example/sesamehill/internal/pause"
	"sesamehill.example/sesamehill/internal/proxy"
	"sesamehill.example/sesamehill/internal/safego"
	"sesamehill.example/sesamehill/internal/tree"
	"sesamehill.example/sesamehill/internal/wire"
)

const (
	// originPath is the path of queries for the software version that began a stream.
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
	// of targets show that this host has received all software versions.
	messageTTL = 2 * time.Second
	listTTL    = 3 * time.Second
)

// streamOrigins finds out which software version began a stream that a caller resumes.
type streamOrigins struct {
	host     *Host
	registry *origin.Registry
	versions *softwareRow
	// began receives a value after a stream has begun that other hosts have to know.
	began chan struct{}
	// startedAt is the boot time of the start of this host, messageAt that of the last
	// message of another host and listAt that of the last read of the list of targets.
	startedAt         time.Duration
	messageAt, listAt atomic.Int64
	observedAt        atomic.Int64
}

func newStreamOrigins(h *Host) *streamOrigins {
	r := origin.New()
	return &streamOrigins{host: h, registry: r, versions: newSoftwareRow(h, r), began: make(chan struct{}, 1), startedAt: wire.BootTime()}
}

// addComponents adds the components that keep what has to outlive this host.
func (s *streamOrigins) addComponents(t *tree.Tree) {
	t.Add("software", s.versions.Run)
}

// originQuery is a query for the origin of a stream.
type originQuery struct {
	Key origin.Key `cbor:"1,keyasint"`
}

// originReply holds the origin of a stream if the host has a record of it.
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
	if s.registry.Begin(request, o, wire.BootTime()).Share {
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

// Find looks for the origin of a stream here and then at its owners. Its record, or a message
// that shows that there is only one version, may come while these are queried.
func (s *streamOrigins) Find(ctx context.Context, service, request string) proxy.OriginResult {
	if o, ok := s.findHere(service, request); ok {
		return proxy.OriginFound{Origin: o}
	}
	if request == "" {
		return proxy.OriginUnknown{}
	}
	key := origin.NewKey(request)
	for range 2 {
		if o, ok := s.queryOwners(ctx, key); ok {
			s.registry.Import([]origin.Begun{{Origin: o, Keys: []origin.Key{key}}}, wire.BootTime())
			return proxy.OriginFound{Origin: o}
		}
		if pause.For(ctx, originRetryDelay) != nil {
			break
		}
	}
	if o, ok := s.findHere(service, request); ok {
		return proxy.OriginFound{Origin: o}
	}
	return proxy.OriginUnknown{}
}

// findHere returns the origin of a stream that this host has a record of, or that only one
// software version can have begun.
func (s *streamOrigins) findHere(service, request string) (origin.Origin, bool) {
	s.observe()
	if request != "" {
		if o, ok := s.registry.Find(origin.NewKey(request)); ok {
			return o, true
		}
	}
	only, ok := s.registry.Only(service)
	return origin.Origin{Service: service, Software: only}, ok && s.versionsComplete()
}

// versionsComplete reports whether this host would have received a second software version
// that any host uses or has used. A host that has just started learns it from the stored
// versions and from the messages of the others.
func (s *streamOrigins) versionsComplete() bool {
	if !s.versions.wasReceived() {
		return false
	}
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

// queryOwners queries the owners of a stream for its origin and returns the first answer that
// has it.
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

// serveOrigin answers queries for the origin of a stream.
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
	owners := m.others()
	if len(owners) >= maxDirectHosts {
		sortByRendezvous(owners, key.String())
		owners = owners[:originOwners]
	}
	return peersOf(owners)
}
