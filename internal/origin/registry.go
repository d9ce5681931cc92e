package origin

import (
	"sync"
	"time"
)

// version is a software version of a service.
type version struct {
	// settledAt is the time from which the version gets new streams, listedAt the time at
	// which one of its targets was last listed at any host.
	settledAt, listedAt time.Duration
}

// ownStream is a stream that began at this host.
type ownStream struct {
	key    Key
	origin Origin
	at     time.Duration
}

// Registry holds the software versions of services and the streams that they began. It is
// safe for concurrent use.
type Registry struct {
	mu       sync.Mutex
	services map[string]map[string]*version
	// current and previous hold the streams of the current and of the previous period of
	// Retention.
	current, previous map[Key]Origin
	rotateAt          time.Duration
	// own holds the streams that began at this host within Retention, oldest first.
	own []ownStream
	// outgoing holds the streams that have not been sent to other hosts.
	outgoing []ownStream
	// shared are the services whose streams are sent to other hosts.
	shared map[string]bool
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{
		services: map[string]map[string]*version{}, current: map[Key]Origin{}, previous: map[Key]Origin{}, shared: map[string]bool{},
	}
}

// Observe records the software versions of the listed targets, by service. The versions
// of the first list with a service need not settle.
func (r *Registry) Observe(listed map[string][]string, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, versions := range listed {
		_, known := r.services[service]
		for _, software := range versions {
			settledAt := now
			if known {
				settledAt += SettleTime
			}
			r.observe(service, software, settledAt, now)
		}
	}
	r.update(now)
}

// ObserveRemote records the software versions that another host has seen.
func (r *Registry) ObserveRemote(seen Sightings, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, versions := range seen {
		for software, ageMs := range versions {
			listedAt := now - time.Duration(ageMs)*time.Millisecond
			if now-listedAt < Retention {
				r.observe(service, software, now+SettleTime, listedAt)
			}
		}
	}
	r.update(now)
}

func (r *Registry) observe(service, software string, settledAt, listedAt time.Duration) {
	versions, ok := r.services[service]
	if !ok {
		versions = map[string]*version{}
		r.services[service] = versions
	}
	v, ok := versions[software]
	if !ok {
		v = &version{settledAt: settledAt}
		versions[software] = v
	}
	v.listedAt = max(v.listedAt, listedAt)
}

// update forgets versions that have vanished, and starts or stops sharing the streams of
// services. The streams that began here before a second version appeared are sent then.
func (r *Registry) update(now time.Duration) {
	for service, versions := range r.services {
		for software, v := range versions {
			if now-v.listedAt >= Retention && len(versions) > 1 {
				delete(versions, software)
			}
		}
		mixed := len(versions) > 1
		if mixed && !r.shared[service] {
			r.shareEarlier(service, now)
		}
		r.shared[service] = mixed
	}
}

func (r *Registry) shareEarlier(service string, now time.Duration) {
	for _, s := range r.own {
		if s.origin.Service == service && now-s.at < Retention {
			r.outgoing = append(r.outgoing, s)
		}
	}
}

// Only returns the software version of a service if no other one may have begun the streams
// that are resumed now; false if there is another, or none is known.
func (r *Registry) Only(service string) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.services[service]) == 1 {
		for software := range r.services[service] {
			return software, true
		}
	}
	return "", false
}

// Settled reports whether a version of a service may get new streams: it has been known for
// SettleTime, or nothing is known of the service yet.
func (r *Registry) Settled(service, software string, now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	versions, known := r.services[service]
	if !known {
		return true
	}
	v, ok := versions[software]
	return ok && now >= v.settledAt
}

// Sightings returns the versions of the services that have more than one.
func (r *Registry) Sightings(now time.Duration) Sightings {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out Sightings
	for service, versions := range r.services {
		if !r.shared[service] {
			continue
		}
		if out == nil {
			out = Sightings{}
		}
		out[service] = make(map[string]int64, len(versions))
		for software, v := range versions {
			out[service][software] = max(now-v.listedAt, 0).Milliseconds()
		}
	}
	return out
}

// Begin records that a request brings the first event of a stream, or goes on with one of
// that origin. It reports whether the stream has to be sent to other hosts.
func (r *Registry) Begin(request string, o Origin, now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := ownStream{key: NewKey(request), origin: o, at: now}
	r.remember(s.key, o, now)
	for len(r.own) > 0 && (now-r.own[0].at >= Retention || len(r.own) >= maxOwn) {
		r.own = r.own[1:]
	}
	r.own = append(r.own, s)
	if r.shared[o.Service] {
		r.outgoing = append(r.outgoing, s)
	}
	return r.shared[o.Service]
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

// Find returns the origin of a stream; false if it is unknown.
func (r *Registry) Find(k Key) (Origin, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o, ok := r.current[k]; ok {
		return o, true
	}
	o, ok := r.previous[k]
	return o, ok
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
	keys := map[string]map[Origin][]Key{}
	for _, s := range outgoing {
		for _, host := range owners(s.key) {
			if keys[host] == nil {
				keys[host] = map[Origin][]Key{}
			}
			keys[host][s.origin] = append(keys[host][s.origin], s.key)
		}
	}
	out := make(map[string][]Begun, len(keys))
	for host, byOrigin := range keys {
		for o, list := range byOrigin {
			out[host] = append(out[host], Begun{Origin: o, Keys: list})
		}
	}
	return out
}
