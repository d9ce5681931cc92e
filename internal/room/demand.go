package room

import (
	"maps"
	"math"
	"time"
)

const (
	// demandTime is the time over which the demand is averaged.
	demandTime = 2 * time.Second
	// noticeTime is the time after which a host has certainly heard of the calls of others.
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

// Demand measures what the requests of each kind ask for. The zero value has seen none.
type Demand struct {
	asked map[Kind]Load
	at    time.Duration
}

// Clone returns a copy that records requests of its own.
func (d *Demand) Clone() Demand { return Demand{asked: maps.Clone(d.asked), at: d.at} }

// Arrived records a request.
func (d *Demand) Arrived(k Kind, ask Load, now time.Duration) {
	d.advance(now)
	if d.asked == nil {
		d.asked = map[Kind]Load{}
	}
	d.asked[k] = d.asked[k].add(ask)
}

// Reserve is what a request of a kind leaves free at each engine: what more urgent ones ask
// of it, at all hosts together, before this host hears of them.
func (d *Demand) Reserve(k Kind, hosts, engines int, now time.Duration) Load {
	return d.unseen(hosts, engines, now, func(other Kind) bool { return other.before(k) })
}

// Unseen is what requests of all kinds ask of each engine before this host hears of them.
func (d *Demand) Unseen(hosts, engines int, now time.Duration) Load {
	return d.unseen(hosts, engines, now, func(Kind) bool { return true })
}

func (d *Demand) unseen(hosts, engines int, now time.Duration, counts func(Kind) bool) Load {
	d.advance(now)
	var sum Load
	for k, l := range d.asked {
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
	for k, l := range d.asked {
		if l = l.Scale(decay); l.Calls < minDemand {
			delete(d.asked, k)
			continue
		}
		d.asked[k] = l
	}
	d.at = now
}
