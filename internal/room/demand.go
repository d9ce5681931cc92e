package room

import (
	"maps"
	"math"
	"time"
)

const (
	// demandTime is the time over which the demand is averaged.
	demandTime = 2 * time.Second
	// noticeTime is the time after which a host has certainly received the loads of others.
	noticeTime = 500 * time.Millisecond
	// minDemand is the number of recent requests below which a kind has no demand.
	minDemand = 0.1
)

// Kind is what callers need of a request: its priority, of which 0 is the most urgent, and
// its latency target.
type Kind struct {
	Priority int
	Target   time.Duration
}

// before reports whether requests of a kind are more urgent than those of another one: more
// urgent in one respect, and in none less.
func (k Kind) before(other Kind) bool {
	return k != other && k.Priority <= other.Priority && k.Target <= other.Target
}

// Demand measures the load of the requests of each kind. The zero value has seen none.
type Demand struct {
	recent map[Kind]Load
	at     time.Duration
}

// Clone returns a copy that records requests of its own.
func (d *Demand) Clone() Demand { return Demand{recent: maps.Clone(d.recent), at: d.at} }

// Arrived records a request.
func (d *Demand) Arrived(k Kind, request Load, now time.Duration) {
	d.advance(now)
	if d.recent == nil {
		d.recent = map[Kind]Load{}
	}
	d.recent[k] = d.recent[k].add(request)
}

// Reserve is what a request of a kind leaves free at each engine: the load that more urgent
// ones add, at all hosts together, before this host receives the loads of the others.
func (d *Demand) Reserve(k Kind, hosts, engines int, now time.Duration) Load {
	return d.unseen(hosts, engines, now, func(other Kind) bool { return other.before(k) })
}

// Unseen is the load that requests of all kinds add to each engine before this host receives
// the loads of the others.
func (d *Demand) Unseen(hosts, engines int, now time.Duration) Load {
	return d.unseen(hosts, engines, now, func(Kind) bool { return true })
}

func (d *Demand) unseen(hosts, engines int, now time.Duration, counts func(Kind) bool) Load {
	d.advance(now)
	var sum Load
	for k, l := range d.recent {
		if counts(k) {
			sum = sum.add(l)
		}
	}
	perEngine := float64(hosts) / float64(max(engines, 1))
	return sum.Scale(perEngine * float64(noticeTime) / float64(demandTime))
}

// advance lets earlier demand count less.
func (d *Demand) advance(now time.Duration) {
	decay := math.Exp(-float64(max(now-d.at, 0)) / float64(demandTime))
	for k, l := range d.recent {
		if l = l.Scale(decay); l.Calls < minDemand {
			delete(d.recent, k)
			continue
		}
		d.recent[k] = l
	}
	d.at = now
}
