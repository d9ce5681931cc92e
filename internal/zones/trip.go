package zones

import (
	"sync"
	"time"
)

const (
	// tripSmoothing is the weight of the newest round trip.
	tripSmoothing = 0.2
	// tripTTL is how long a measurement counts before the zone is due for a probe.
	tripTTL = 30 * time.Second
	// tripLimit bounds one measurement. A dial that takes longer waited for a lost
	// packet, which says nothing about the distance.
	tripLimit = 800 * time.Millisecond
)

// Trips holds the measured round trips of a host to zones. It is safe for concurrent use.
type Trips struct {
	mu     sync.Mutex
	byZone map[string]trip
}

type trip struct {
	ms     float64
	at     time.Duration
	dueNot time.Duration
}

// NewTrips returns an empty record.
func NewTrips() *Trips { return &Trips{byZone: map[string]trip{}} }

// Record adds the duration of a round trip to a zone.
func (t *Trips) Record(zone string, took, now time.Duration) {
	if took <= 0 || took > tripLimit {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	ms := float64(took) / float64(time.Millisecond)
	old, known := t.byZone[zone]
	if known && old.at > 0 && now-old.at < tripTTL {
		ms = old.ms + tripSmoothing*(ms-old.ms)
	}
	t.byZone[zone] = trip{ms: ms, at: now, dueNot: now + tripTTL}
}

// RoundTripMs returns the smoothed round trip to a zone and the age of the newest
// measurement; false if there is none.
func (t *Trips) RoundTripMs(zone string, now time.Duration) (ms float64, age time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.byZone[zone]
	if s.ms == 0 {
		return 0, 0, false
	}
	return s.ms, now - s.at, true
}

// Due reports whether a zone lacks a recent measurement. It returns true at most once in
// tripTTL, so that a zone that cannot be reached is probed no more often.
func (t *Trips) Due(zone string, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.byZone[zone]
	if now < s.dueNot {
		return false
	}
	s.dueNot = now + tripTTL
	t.byZone[zone] = s
	return true
}
