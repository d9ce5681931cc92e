package server

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"sesamehill.example/sesamehill/internal/feed"
	"sesamehill.example/sesamehill/internal/origin"
	"sesamehill.example/sesamehill/internal/pause"
	"sesamehill.example/sesamehill/internal/proxy"
	"sesamehill.example/sesamehill/internal/tree"
	"sesamehill.example/sesamehill/internal/wire"
)

const (
	// originFlushInterval is the time for which streams that have begun are collected
	// before they are sent to other hosts.
	originFlushInterval = 15 * time.Millisecond
	// maxSendWait is how long the first event of a stream whose record cannot be stored waits
	// until it has been sent.
	maxSendWait       = 100 * time.Millisecond
	sentCheckInterval = 2 * time.Millisecond
	// originObserveInterval is the time between two looks at the listed software versions.
	originObserveInterval = 50 * time.Millisecond
	// originRounds is the number of times that the owners of a stream are queried where a
	// service has several versions.
	originRounds = 2
	// The owners are queried again after originRetryDelay, as the record of the stream may be on
	// its way, and for currentListWait at most while no host has a current list of targets.
	originRetryDelay = 100 * time.Millisecond
	currentListWait  = 600 * time.Millisecond
)

// streamOrigins finds out which software version began a stream that a caller resumes.
type streamOrigins struct {
	host     *Host
	registry *origin.Registry
	versions *softwareRow
	store    *streamStore
	contact  origin.Contact
	// began receives a value after a stream has begun that other hosts have to know.
	began chan struct{}
	// taken is the sequence number of the last record that Outgoing has returned. sent is that
	// of the last one which was sent: the caller of Outgoing has come back for more.
	taken, sent atomic.Uint64
	// listAt is the boot time at which the list of targets was last known to be current when it
	// was received, up to listPosition.
	listAt       atomic.Int64
	listPosition atomic.Pointer[feed.Position]
	observedAt   atomic.Int64
}

func newStreamOrigins(h *Host) *streamOrigins {
	r := origin.New(origin.WithResolver(h.fleet.ListedSoftware))
	return &streamOrigins{
		host: h, registry: r, versions: newSoftwareRow(h, r), store: newStreamStore(h, r), began: make(chan struct{}, 1),
	}
}

// addComponents adds the components that keep what has to outlive this host.
func (s *streamOrigins) addComponents(t *tree.Tree) {
	t.Add("software", s.versions.Run)
	t.Add("streams", s.store.Run)
	t.Add("stale streams", s.store.RemoveStale)
	t.Add("era of streams", s.store.KeepEra)
}

// observe records the software versions that the list of targets shows.
func (s *streamOrigins) observe() {
	now := wire.BootTime()
	if last := s.observedAt.Load(); now-time.Duration(last) < originObserveInterval || !s.observedAt.CompareAndSwap(last, int64(now)) {
		return
	}
	e := s.evidence() // before the list is taken, which may be newer
	listed := s.host.fleet.Software()
	s.registry.Observe(listed, e, wire.BootTime()) // a version settles from when it was seen
}

// recordListRead records that the list of targets was received up to a position.
func (s *streamOrigins) recordListRead(p feed.Position) {
	at := s.host.tables.CurrentAt(s.host.platform.TargetTable(), p)
	s.listPosition.Store(&p)
	s.listAt.Store(int64(at))
	s.host.fleet.RecordListRead(at)
}

// evidence returns what shows that the list of targets that this host has is current.
func (s *streamOrigins) evidence() origin.Evidence {
	e := origin.Evidence{CurrentAt: time.Duration(s.listAt.Load())}
	if p := s.listPosition.Load(); p != nil {
		e.Era = p.Era
		table := s.host.platform.TargetTable()
		e.CurrentAt = max(e.CurrentAt, s.host.tables.CurrentAt(table, *p))
		history := s.host.tables.History(table) // last, as it must not be older than CurrentAt
		e.ListedAt, e.MissedAt = history.ListedAt, history.MissedAt
	}
	return e
}

// Begin records that requests bring the first events of a stream, or go on with one. It
// returns when the record is stored, or else sent, if the stream would be taken for one of the
// base without it.
func (s *streamOrigins) Begin(ctx context.Context, o origin.Origin, requests ...string) {
	s.observe()
	var last origin.Receipt
	for _, r := range requests {
		last = s.registry.Begin(r, o, wire.BootTime())
	}
	if last.Share {
		s.notify()
		s.store.notify()
	}
	stored := !last.Store || s.store.await(ctx, last.Sequence)
	if last.Send || !stored {
		s.awaitSent(ctx, last.Sequence)
	}
}

// awaitSent waits until a record has been sent to other hosts, maxSendWait at most.
func (s *streamOrigins) awaitSent(ctx context.Context, sequence uint64) {
	for deadline := wire.BootTime() + maxSendWait; s.sent.Load() < sequence && wire.BootTime() < deadline; {
		if pause.For(ctx, sentCheckInterval) != nil {
			return
		}
	}
}

func (s *streamOrigins) notify() {
	select {
	case s.began <- struct{}{}:
	default:
	}
}

// Settled reports whether a software version of a service may get new streams. One that is not the
// base gets them once this host has stored its intent.
func (s *streamOrigins) Settled(service, software string) bool {
	s.observe()
	if !s.registry.Settled(service, software, wire.BootTime()) {
		return false
	}
	if !s.registry.HasSeveral(service) {
		return true
	}
	if base, ok := s.registry.Base(service); ok && base == software || s.store.hasIntent() {
		return true
	}
	s.store.notify()
	return false
}

// Find looks for the origin of a stream here, at its owners and among the stored streams. That
// there is one version only counts if another host or the platform has answered after the caller
// came: what this host has received before may be older than a new version. A stream of which
// no record was kept began at the base.
func (s *streamOrigins) Find(ctx context.Context, service, request string) proxy.OriginResult {
	s.observe()
	if request == "" && s.registry.HasSeveral(service) {
		return proxy.OriginUnknown{}
	}
	key := origin.NewKey(request)
	if o, ok := s.registry.Find(key); ok && request != "" {
		return proxy.OriginFound{Origin: o, Evidence: "record"}
	}
	if s.awaitsList(service) {
		s.confirmList(ctx)
	}
	if s.alone() {
		if known, ok := s.knownVersion(service); ok {
			return s.foundOnly(service, known, "only version, only host")
		}
	}
	var answers originAnswers
	deadline := wire.BootTime() + currentListWait
	for round := 0; round < originRounds || s.awaitsList(service) && wire.BootTime() < deadline; round++ {
		answers = s.queryOwners(ctx, service, key)
		if o, ok := answers.record(); ok {
			return s.found(o, key, "record of another host")
		}
		s.observeAnswers(service, answers)
		if only, ok := s.onlyByAnswers(service, answers); ok {
			return s.foundOnly(service, only, "only version")
		}
		if pause.For(ctx, originRetryDelay) != nil {
			break
		}
		if s.awaitsList(service) {
			s.confirmList(ctx)
		}
	}
	// The record may have come while the owners were queried.
	if o, ok := s.registry.Find(key); ok && request != "" {
		return proxy.OriginFound{Origin: o, Evidence: "record"}
	}
	if request != "" {
		return s.findStored(ctx, service, key, answers)
	}
	return s.findKnownToAll(service, answers)
}

// findKnownToAll returns the only software version of a service that this and all other hosts
// know as the origin of a stream.
func (s *streamOrigins) findKnownToAll(service string, answers originAnswers) proxy.OriginResult {
	if known, ok := s.knownVersion(service); ok && s.knownToAll(known, answers) {
		return s.foundOnly(service, known, "only version of all hosts")
	}
	return proxy.OriginUnknown{}
}

// listIsOld reports whether versions may have got streams that the list of targets of this host
// does not show yet.
func (s *streamOrigins) listIsOld() bool {
	return s.registry.Evidence().Age(wire.BootTime()) >= origin.EvidenceTTL
}

// awaitsList reports whether a current list of targets may show that a service has one version.
func (s *streamOrigins) awaitsList(service string) bool {
	return s.listIsOld() && !s.registry.HasSeveral(service)
}

// confirmList queries the platform whether the list of targets is current. Where it seldom changes,
// a call that waits for changes is answered seldom.
func (s *streamOrigins) confirmList(ctx context.Context) {
	p := s.listPosition.Load()
	if p == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, originQueryTimeout)
	defer cancel()
	s.host.tables.Confirm(ctx, s.host.platform.TargetTable(), *p)
	s.observedAt.Store(0) // so that the registry gets the evidence at once
	s.observe()
}

// findStored looks for the origin of a stream among the stored ones, after its owners have answered
// that they have no record. They lack that of a stream whose host ended before it sent the record.
// Owners without a record do not show that none was kept where records are stored in time: their
// datagrams may have been lost. Neither does the store if a process that may have begun the stream
// while it could store nothing has ended, or if the platform was restored.
func (s *streamOrigins) findStored(ctx context.Context, service string, key origin.Key, answers originAnswers) proxy.OriginResult {
	absent := s.absentFrom(service, answers)
	complete, read, gap := s.store.complete(), false, noRecordGap
	if mayRead := !absent || complete && !s.store.failedToRead(); mayRead {
		read = s.store.read(ctx)
	}
	if read {
		if o, ok := s.registry.Find(key); ok {
			return proxy.OriginFound{Origin: o, Evidence: "stored record"}
		}
		gap = s.store.gapAfter(answers)
		if only, ok := s.onlyVersion(service); ok && complete && gap == noRecordGap {
			return s.foundOnly(service, only, "only version, no stored record")
		}
		absent = absent || complete && gap == noRecordGap
	}
	if ctx.Err() != nil {
		return proxy.OriginUnknown{} // a search that was broken off does not show that no record was kept
	}
	switch {
	case !s.registry.HasSeveral(service):
		return s.findKnownToAll(service, answers)
	case !absent:
		return proxy.OriginUnknown{Reason: gap.String()}
	}
	return s.assumeBase(service, key, complete && !read)
}

// foundOnly returns the only software version of a service as the origin of a stream.
func (s *streamOrigins) foundOnly(service, software, evidence string) proxy.OriginResult {
	return proxy.OriginFound{
		Origin: origin.Origin{Service: service, Software: software}, Evidence: evidence, EvidenceAge: s.registry.Evidence().Age(wire.BootTime()),
	}
}

// assumeBase returns the base of a service as the origin of a stream without a record. It is not
// kept if the store may have a record: other hosts would take it for one, and for good.
func (s *streamOrigins) assumeBase(service string, key origin.Key, maybeStored bool) proxy.OriginResult {
	base, ok := s.registry.Base(service)
	if !ok || !s.versions.wasReceived() {
		return proxy.OriginUnknown{}
	}
	o := origin.Origin{Service: service, Software: base}
	if maybeStored {
		return proxy.OriginFound{Origin: o, Evidence: "no record at hosts, so the base"}
	}
	return s.found(o, key, "no record, so the base")
}

// found records the origin of a stream that this host had no record of.
func (s *streamOrigins) found(o origin.Origin, key origin.Key, evidence string) proxy.OriginResult {
	s.registry.Import([]origin.Begun{{Origin: o, Keys: []origin.Key{key}}}, wire.BootTime())
	return proxy.OriginFound{Origin: o, Evidence: evidence}
}

// onlyVersion returns the software version that alone can have begun a stream of a service until
// now, by what this host has received.
func (s *streamOrigins) onlyVersion(service string) (string, bool) {
	s.observe()
	if !s.versions.wasReceived() {
		return "", false
	}
	return s.registry.OnlyVersion(service, wire.BootTime())
}

// knownVersion returns the software version of a service if this host has observed one only. There may
// be others.
func (s *streamOrigins) knownVersion(service string) (string, bool) {
	s.observe()
	known, _ := s.registry.KnownVersion(service, wire.BootTime())
	return known, known != "" && s.versions.wasReceived()
}

// onlyByAnswers returns the software version that alone can have begun a stream of a service, by
// the answers of hosts that have no record of it and the evidence of one of them, or of this host.
func (s *streamOrigins) onlyByAnswers(service string, a originAnswers) (string, bool) {
	if len(a.replies) == 0 || s.registry.HasSeveral(service) {
		return "", false
	}
	if only, ok := s.onlyVersion(service); ok {
		return only, true
	}
	for _, r := range a.replies {
		if r.Covered && r.Single != "" {
			return r.Single, true
		}
	}
	return "", false
}

// knownToAll reports whether all other hosts have answered that they know of the same software
// version only. Then none of them has begun a stream at another one, however old their lists are.
func (s *streamOrigins) knownToAll(software string, a originAnswers) bool {
	return a.fromAll && len(a.replies) > 0 && !slices.ContainsFunc(a.replies, func(r originReply) bool { return r.Single != software })
}

// Sightings returns the software versions of the services that have more than one.
func (s *streamOrigins) Sightings() origin.Sightings {
	s.observe()
	s.expectMessages()
	seen := s.registry.Sightings(wire.BootTime())
	if len(seen) > 0 {
		s.notify() // streams that began before the second version appeared
	}
	return seen
}

// RecordSightings records the software versions that another host has seen.
func (s *streamOrigins) RecordSightings(host string, delay time.Duration, dated bool, seen origin.Sightings) {
	now := wire.BootTime()
	s.contact.Received(host, now)
	if len(seen) > 0 {
		s.registry.ObserveRemote(seen, now)
	}
	if dated {
		s.contact.Sent(host, now-delay)
	}
}

// RecordBegun records streams that began at another host.
func (s *streamOrigins) RecordBegun(begun []origin.Begun) { s.registry.Import(begun, wire.BootTime()) }

// Outgoing waits for streams that have begun at this host and returns them by the address
// of an owner. Streams are kept until the owners are known.
func (s *streamOrigins) Outgoing(ctx context.Context) map[string][]origin.Begun {
	s.sent.Store(s.taken.Load())
	select {
	case <-ctx.Done():
		return nil
	case <-s.began:
	}
	for first := true; first || !s.host.members.read(); first = false {
		if pause.For(ctx, originFlushInterval) != nil {
			return nil
		}
	}
	s.host.members.renewView()
	s.taken.Store(s.registry.Sequence())
	return s.registry.TakeOutgoing(s.host.members.ownersOf)
}

// ownersOf returns the addresses of the other hosts that remember a stream: all where
// hosts are few.
func (m *members) ownersOf(key origin.Key) []string { return peersOf(m.owners(key)) }

// owners returns the other hosts that remember a stream.
func (m *members) owners(key origin.Key) []observedRow {
	owners := m.others()
	if len(owners) >= maxDirectHosts {
		sortByRendezvous(owners, key.String())
		owners = owners[:originOwners]
	}
	return owners
}
