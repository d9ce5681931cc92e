package origin

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// ownStream is a stream that began at this host.
type ownStream struct {
	key    Key
	origin Origin
	at     time.Duration
}

// Receipt says what has to follow the record of a stream before its caller gets events.
type Receipt struct {
	// Share is set if the record has to be sent to other hosts.
	Share bool
	// Store is set if the record has to be stored first: without it the stream would be
	// taken for one that began at the base. Sequence is its position among the records.
	Store    bool
	Sequence uint64
	// Send is set if the record also has to be sent to other hosts first: they may not know
	// the version yet.
	Send bool
}

// Registry holds the software versions of services and the streams that they began. It is
// safe for concurrent use.
type Registry struct {
	mu sync.Mutex
	// resolve returns the software version that a label of a start stands for.
	resolve  func(software string) string
	services map[string]*serviceState
	// evidence shows that the observed versions are all.
	evidence Evidence
	// current and previous hold the streams of the current and of the previous period of
	// Retention.
	current, previous map[Key]Origin
	rotateAt          time.Duration
	// own holds the streams that began at this host within Retention, oldest first.
	own []ownStream
	// outgoing holds the streams that have not been sent to other hosts, unstored those
	// that have not been taken to be stored. sequence is that of the last record in unstored.
	outgoing, unstored []ownStream
	sequence           uint64
}

// Option changes a default of New.
type Option func(*Registry)

// WithResolver sets the function that returns the software version that a label of a start
// stands for, or the label while no entry shows the start. It must not call the registry.
func WithResolver(resolve func(software string) string) Option {
	return func(r *Registry) { r.resolve = resolve }
}

// New returns an empty registry.
func New(opts ...Option) *Registry {
	r := &Registry{
		resolve: func(software string) string { return software }, services: map[string]*serviceState{}, current: map[Key]Origin{}, previous: map[Key]Origin{},
	}
	for _, o := range opts {
		o(r)
	}
	return r
}

// Observe records the software versions of the listed targets, by service, and what shows that
// these are all. The evidence must not be newer than the list. The versions of the first list with
// a service get streams at once, which have to be recorded: a host that has just started does not
// know for how long they have been listed.
func (r *Registry) Observe(listed map[string][]string, e Evidence, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evidence.follow(e)
	for name, versions := range listed {
		_, known := r.services[name]
		for _, software := range versions {
			v := r.observe(name, software, now, now)
			if !known {
				v.settledAt = min(v.settledAt, now)
			}
		}
	}
	r.update(now)
}

// ObserveRemote records the software versions that another host has seen.
func (r *Registry) ObserveRemote(seen Sightings, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, versions := range seen {
		for software, ageMs := range versions {
			listedAt := now - time.Duration(ageMs)*time.Millisecond
			if now-listedAt < Retention {
				r.observe(name, software, now, listedAt)
			}
		}
	}
	r.update(now)
}

// ObserveStored records the versions that were stored for a service. They count as listed
// now, as nothing says when they were. A host that learns of a version in this way may have
// missed the records of its streams.
func (r *Registry) ObserveStored(name string, stored Versions, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[name]
	for _, software := range stored.Names {
		if s == nil || s.versions[software] == nil {
			r.observe(name, software, now, now).settledAt = now
			s = r.services[name]
			s.witness, s.singleSince, s.mixedSince = false, now, now
		}
	}
	r.update(now)
	if s != nil && s.mixed && s.versions[stored.Base] != nil {
		s.base = stored.Base
	}
}

// observe records that a target of a version was listed at a time, and returns the version. One that
// was not known settles from now on.
func (r *Registry) observe(name, software string, now, listedAt time.Duration) *version {
	s, ok := r.services[name]
	if !ok {
		s = &serviceState{versions: map[string]*version{}, singleSince: listedAt, mixedSince: listedAt}
		r.services[name] = s
	}
	v, ok := s.versions[software]
	if !ok {
		v = &version{settledAt: now + SettleTime, recordUntil: now + SettleTime}
		s.versions[software] = v
	}
	v.listedAt = max(v.listedAt, listedAt)
	return v
}

// update forgets versions that have vanished, and starts or stops sharing the streams of
// services. The streams that began here before a second version appeared are sent then.
func (r *Registry) update(now time.Duration) {
	for name, s := range r.services {
		for software, v := range s.versions {
			if now-v.listedAt >= Retention && len(s.versions) > 1 {
				delete(s.versions, software)
			}
		}
		wasMixed := s.mixed
		s.update(now)
		if s.mixed && !wasMixed {
			r.shareEarlier(name, now)
		}
	}
}

func (r *Registry) shareEarlier(name string, now time.Duration) {
	for _, s := range r.own {
		if s.origin.Service == name && now-s.at < Retention {
			r.share(s)
		}
	}
}

// share marks a stream to be sent to other hosts and to be stored.
func (r *Registry) share(s ownStream) {
	r.outgoing = append(r.outgoing, s)
	r.unstored = append(r.unstored, s)
	r.sequence++
}

// OnlyVersion returns the software version of a service if no other one may have begun the streams
// that are resumed now; false if there is another, none is known, or the evidence does not cover
// the time until now.
func (r *Registry) OnlyVersion(name string, now time.Duration) (string, bool) {
	software, covered := r.KnownVersion(name, now)
	return software, covered && software != ""
}

// KnownVersion returns the software version of a service if this host has observed one only, else
// an empty text, and whether the evidence covers the time until now: if it does not, there may be
// others.
func (r *Registry) KnownVersion(name string, now time.Duration) (software string, covered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	covered = r.evidence.Covers(now)
	s := r.services[name]
	if s == nil || s.mixed {
		return "", covered
	}
	for software := range s.versions {
		return software, covered
	}
	return "", covered
}

// Base returns the version at which the streams of a service began of which no record was
// kept; false if it is unknown.
func (r *Registry) Base(name string) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[name]
	return s.baseOrEmpty(), s.baseOrEmpty() != ""
}

// IsWitness reports whether this host has received the records of all streams of a service
// that began at other versions than the base, if it was to receive them and has missed no
// messages, see Contact.
func (r *Registry) IsWitness(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[name]
	return s != nil && s.mixed && s.witness
}

// Mixed reports whether any service has more than one version.
func (r *Registry) Mixed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.services {
		if s.mixed {
			return true
		}
	}
	return false
}

// Evidence returns what shows that the observed versions are all.
func (r *Registry) Evidence() Evidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.evidence
}

// HasSeveral reports whether a service has more than one version.
func (r *Registry) HasSeveral(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[name]
	return s != nil && s.mixed
}

// Versions returns the versions of each service, to be stored.
func (r *Registry) Versions() map[string]Versions {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]Versions, len(r.services))
	for name, s := range r.services {
		out[name] = Versions{Base: s.base, Names: slices.Sorted(maps.Keys(s.versions))}
	}
	return out
}

// Settled reports whether a version of a service may get new streams: it has been known for
// SettleTime, or nothing is known of the service yet.
func (r *Registry) Settled(name, software string, now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, known := r.services[name]
	if !known {
		return true
	}
	v, ok := s.versions[versionName(software)]
	return ok && now >= v.settledAt
}

// Sightings returns the versions of the services that have more than one.
func (r *Registry) Sightings(now time.Duration) Sightings {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out Sightings
	for name, s := range r.services {
		if !s.mixed {
			continue
		}
		if out == nil {
			out = Sightings{}
		}
		out[name] = make(map[string]int64, len(s.versions))
		for software, v := range s.versions {
			out[name][software] = max(now-v.listedAt, 0).Milliseconds()
		}
	}
	return out
}

// Begin records that a request brings the first event of a stream, or goes on with one of
// that origin.
func (r *Registry) Begin(request string, o Origin, now time.Duration) Receipt {
	r.mu.Lock()
	defer r.mu.Unlock()
	o.Software = r.resolve(o.Software)
	name := versionName(o.Software)
	if known := r.services[o.Service]; known == nil || name == UnlistedVersion || known.versions[name] == nil {
		r.observe(o.Service, name, now, now)
		r.update(now)
	}
	known := r.services[o.Service]
	s := ownStream{key: NewKey(request), origin: o, at: now}
	r.remember(s.key, o, now)
	for len(r.own) > 0 && (now-r.own[0].at >= Retention || len(r.own) >= maxOwn) {
		r.own = r.own[1:]
	}
	r.own = append(r.own, s)
	unsettled := now < known.versions[name].recordUntil
	if !known.mixed && !unsettled {
		return Receipt{}
	}
	r.share(s)
	return Receipt{Share: true, Store: unsettled || known.base != o.Software, Sequence: r.sequence, Send: unsettled}
}

// remember keeps the origin of a stream for one to two periods of Retention.
func (r *Registry) remember(k Key, o Origin, now time.Duration) {
	if now >= r.rotateAt || len(r.current) >= maxStreams/2 {
		r.previous, r.current = r.current, map[Key]Origin{}
		r.rotateAt = now + Retention
	}
	r.current[k] = o
}

// Import records streams that began at other hosts.
func (r *Registry) Import(begun []Begun, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range begun {
		for _, k := range b.Keys {
			r.remember(k, b.Origin, now)
		}
	}
}

// Find returns the origin of a stream; false if it is unknown. Its software version is a label
// while no entry shows the start that began the stream.
func (r *Registry) Find(k Key) (Origin, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o, ok := r.current[k]
	if !ok {
		o, ok = r.previous[k]
	}
	o.Software = r.resolve(o.Software)
	return o, ok
}

// Sequence returns the position of the last record. All up to it have been returned by
// TakeOutgoing, or will be by its next call.
func (r *Registry) Sequence() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sequence
}

// TakeOutgoing returns the streams that have to be sent, by the hosts that owners returns
// for each, and forgets that they have to be.
func (r *Registry) TakeOutgoing(owners func(Key) []string) map[string][]Begun {
	r.mu.Lock()
	outgoing := r.outgoing
	r.outgoing = nil
	r.mu.Unlock()
	if len(outgoing) == 0 {
		return nil
	}
	byHost := map[string][]ownStream{}
	for _, s := range outgoing {
		for _, host := range owners(s.key) {
			byHost[host] = append(byHost[host], s)
		}
	}
	out := make(map[string][]Begun, len(byHost))
	for host, streams := range byHost {
		out[host] = group(streams)
	}
	return out
}

// TakeUnstored returns the streams that have to be stored and the sequence number of the
// last one, and forgets that they have to be.
func (r *Registry) TakeUnstored() ([]Begun, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := group(r.unstored)
	r.unstored = nil
	return out, r.sequence
}

// group returns streams by their origin.
func group(streams []ownStream) []Begun {
	var out []Begun
	index := map[Origin]int{}
	for _, s := range streams {
		i, ok := index[s.origin]
		if !ok {
			i = len(out)
			index[s.origin], out = i, append(out, Begun{Origin: s.origin})
		}
		out[i].Keys = append(out[i].Keys, s.key)
	}
	return out
}
