package evac

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"sesamehill.example/sesamehill/internal/feed"
)

const (
	// lostRowHold is how long a zone stays evacuated whose row is missing in a new era.
	lostRowHold = 8 * time.Second
	// maxZones bounds the zones of a view.
	maxZones = 256
	// maxNameBytes bounds the name of a zone, as the key of a row.
	maxNameBytes = 200
)

// Change is the evacuation of a zone, or the end of it.
type Change struct {
	Zone      string
	Evacuated bool
	// At is the position of the row that was written or removed.
	At feed.Position
}

// View is the state of a host, as it is sent to other hosts.
type View struct {
	// Era and Version are the position in the operator's table up to which the host has
	// all rows.
	Era     uint64 `cbor:"1,keyasint,omitempty"`
	Version uint64 `cbor:"2,keyasint,omitempty"`
	// Zones are the evacuated zones at that position.
	Zones []string `cbor:"3,keyasint,omitempty"`
	// HeldMs are the zones whose rows the era may have lost, with the milliseconds for which
	// they still count as evacuated.
	HeldMs map[string]int64 `cbor:"4,keyasint,omitempty"`
}

// Check returns whether another host can have sent the view.
func (v View) Check() bool {
	if len(v.Zones) > maxZones || len(v.HeldMs) > maxZones {
		return false
	}
	for zone, ms := range v.HeldMs {
		if len(zone) > maxNameBytes || ms < 0 || ms > lostRowHold.Milliseconds() {
			return false
		}
	}
	return !slices.ContainsFunc(v.Zones, func(zone string) bool { return len(zone) > maxNameBytes })
}

func (v View) position() feed.Position { return feed.Position{Era: v.Era, Version: v.Version} }

// Log holds the evacuated zones. It is safe for concurrent use.
type Log struct {
	mu sync.Mutex
	// loaded is set once the host has read the table or received a view.
	loaded bool
	// asOf is the position up to which the host has all rows, and zones are the evacuated ones
	// at that position.
	asOf  feed.Position
	zones map[string]bool
	// heldUntil holds the zones whose rows the current era may have lost, with the time until
	// which they count as evacuated. A zone is held once in an era.
	heldUntil map[string]time.Duration
	// used is set once any zone was evacuated. Before that, other hosts get no view.
	used atomic.Bool
}

// New returns a log without evacuated zones.
func New() *Log { return &Log{zones: map[string]bool{}, heldUntil: map[string]time.Duration{}} }

// ApplyList records all evacuated zones at a position of the table. It returns whether the
// evacuated zones have changed.
func (l *Log) ApplyList(zones []string, at feed.Position, now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed(now, func() { l.replace(zones, at, now) })
}

// ApplyChanges records changes, the oldest first, and the position up to which they are all.
// It returns whether the evacuated zones have changed.
func (l *Log) ApplyChanges(changes []Change, at feed.Position, now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed(now, func() {
		for _, c := range changes {
			if c.At.Era == l.asOf.Era && l.asOf.Before(c.At) {
				l.apply(c)
			}
		}
		if at.Era == l.asOf.Era && l.asOf.Before(at) {
			l.asOf = at
		}
	})
}

// Merge records the view of another host. It returns whether the evacuated zones have changed.
func (l *Log) Merge(v View, now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed(now, func() {
		if l.loaded && v.Era < l.asOf.Era {
			for _, zone := range v.Zones {
				l.hold(zone, now)
			}
			return
		}
		l.replace(v.Zones, v.position(), now)
		for zone, ms := range v.HeldMs {
			if _, held := l.heldUntil[zone]; !held && len(l.heldUntil) < maxZones {
				l.heldUntil[zone] = now + time.Duration(ms)*time.Millisecond
				l.used.Store(true)
			}
		}
	})
}

// replace replaces the view by a newer one.
func (l *Log) replace(zones []string, at feed.Position, now time.Duration) {
	if l.loaded && at.Before(l.asOf) {
		return
	}
	before := l.zones
	newEra := l.loaded && at.Era > l.asOf.Era
	if newEra {
		before = l.evacuated(now)
		l.heldUntil = map[string]time.Duration{}
	}
	l.loaded, l.asOf, l.zones = true, at, map[string]bool{}
	for _, zone := range zones {
		l.apply(Change{Zone: zone, Evacuated: true})
	}
	for zone := range before {
		switch {
		case newEra:
			l.hold(zone, now)
		case !l.zones[zone]:
			l.release(zone)
		}
	}
}

// apply records the change of one zone.
func (l *Log) apply(c Change) {
	delete(l.zones, c.Zone)
	if !c.Evacuated {
		l.release(c.Zone)
		return
	}
	if len(l.zones) < maxZones {
		l.zones[c.Zone] = true
		l.used.Store(true)
	}
}

// release ends the hold of a zone, which the operator has taken back in the current era.
// Views of an older era do not hold it again.
func (l *Log) release(zone string) {
	if _, held := l.heldUntil[zone]; held || len(l.heldUntil) < maxZones {
		l.heldUntil[zone] = 0
	}
}

// hold keeps a zone of an older era evacuated whose row the current one lacks.
func (l *Log) hold(zone string, now time.Duration) {
	if _, held := l.heldUntil[zone]; held || l.zones[zone] || len(l.heldUntil) >= maxZones {
		return
	}
	l.heldUntil[zone] = now + lostRowHold
	l.used.Store(true)
}

// changed reports whether a function changes the evacuated zones.
func (l *Log) changed(now time.Duration, change func()) bool {
	before := l.evacuated(now)
	change()
	return !maps.Equal(before, l.evacuated(now))
}

// evacuated returns the zones that count as evacuated.
func (l *Log) evacuated(now time.Duration) map[string]bool {
	out := maps.Clone(l.zones)
	for zone, until := range l.heldUntil {
		if now < until {
			out[zone] = true
		}
	}
	return out
}

// Evacuated reports whether nothing may be sent to the targets of a zone.
func (l *Log) Evacuated(zone string, now time.Duration) bool {
	if !l.used.Load() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.zones[zone] || now < l.heldUntil[zone]
}

// Zones returns the evacuated zones in ascending order.
func (l *Log) Zones(now time.Duration) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Sorted(maps.Keys(l.evacuated(now)))
}

// View returns the view of this host for other hosts; nil as long as no zone was ever
// evacuated.
func (l *Log) View(now time.Duration) *View {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.loaded || !l.used.Load() {
		return nil
	}
	v := &View{Era: l.asOf.Era, Version: l.asOf.Version, Zones: slices.Sorted(maps.Keys(l.zones))}
	for zone, until := range l.heldUntil {
		if now < until {
			if v.HeldMs == nil {
				v.HeldMs = map[string]int64{}
			}
			v.HeldMs[zone] = (until - now).Milliseconds()
		}
	}
	return v
}
