// Package rates divides the rate limit of a target among the hosts that send to it.
//
// A target that cannot take more names how many requests a second it takes from all
// hosts together; a target that is cold has such a limit too. Hosts agree on no figures.
// Each one ranks the live hosts for the target: near ones first, among these by rendezvous
// hashing. The first few may use most of the limit, so that their shares are large enough
// to serve with, and all others together the remainder. A share depends only on the rank, so
// that the shares add up to the limit whatever the demand is. Each share is a token bucket.
//
// The shares of many hosts are far below one request a second, so that all their first
// tokens together would be a burst; hosts therefore take turns, by their rank and the time
// of day, and only so many may send at a time that a burst stays small. Clocks that differ
// move a turn and change no share.
//
// A host without data on the others sends nothing. One that the others may not have data on
// is not among the first.
//
// # Usage
//
//	var b rates.Bucket
//	if b.Wait(limit, rates.Share{Rank: 2, Hosts: 6}, time.Now()) == 0 {
//		b.Take()
//		// send the request
//	}
//
// # Units
//
// Limits are requests per second.
package rates

import (
	"math"
	"time"
)

const (
	// firstHosts is the number of hosts that may use firstPart of a limit.
	firstHosts = 4
	firstPart  = 0.7
	// firstBurst, otherBurst and burstTime bound the requests that the first and the other
	// hosts may send at once: this number, and what their part of the limit allows in this
	// time.
	firstBurst = 2
	otherBurst = 1
	burstTime  = 500 * time.Millisecond
	// coldPart is the part of the rate of a cold target that hosts use, as their views of
	// each other differ and more than the rate ends the target.
	coldPart = 0.85
)

// MaxWait is the wait under a limit that allows nothing, and before the hosts are known.
const MaxWait = time.Hour

// ColdLimit returns the limit of a cold target that takes a number of requests a second.
func ColdLimit(perSecond float64) float64 { return coldPart * perSecond }

// Share is the part of a limit that belongs to one host.
type Share struct {
	// Rank is the position of the host among those alive, from 0, Hosts their number;
	// zero if they are not known.
	Rank, Hosts int
	// Unsettled is set if other hosts may not count this one.
	Unsettled bool
}

// group is the hosts that share a part of a limit equally.
type group struct {
	rank, hosts int
	limit       float64
	burst       float64
}

// group returns the group of the host and its part of a limit.
func (s Share) group(limit float64) group {
	switch {
	case s.Hosts <= firstHosts && !s.Unsettled:
		return group{rank: s.Rank, hosts: s.Hosts, limit: limit, burst: firstBurst + otherBurst}
	case s.Rank < firstHosts && !s.Unsettled:
		return group{rank: s.Rank, hosts: firstHosts, limit: firstPart * limit, burst: firstBurst}
	}
	return group{
		rank: max(s.Rank-firstHosts, 0), hosts: max(s.Hosts-firstHosts, 1), limit: (1 - firstPart) * limit, burst: otherBurst,
	}
}

// Bucket holds what a host may still send to one target. The zero value is ready to use.
type Bucket struct {
	tokens  float64
	updated time.Time
}

// Wait returns how long to wait before the next request; zero if it may be sent now.
func (b *Bucket) Wait(limit float64, s Share, now time.Time) time.Duration {
	if s.Hosts <= 0 {
		return MaxWait
	}
	g := s.group(limit)
	rate := g.limit / float64(g.hosts)
	b.fill(rate, now)
	if rate <= 0 {
		return MaxWait
	}
	missing := max(0, 1-b.tokens) / rate
	if missing > MaxWait.Seconds() {
		return MaxWait
	}
	until := time.Duration(missing * float64(time.Second))
	return until + g.turn(now.Add(until))
}

// Take takes a token for a request that is sent.
func (b *Bucket) Take() { b.tokens-- }

// fill adds the tokens since the last call. A new bucket holds one.
func (b *Bucket) fill(rate float64, now time.Time) {
	if b.updated.IsZero() {
		b.tokens = 1
	} else {
		b.tokens += rate * max(0, now.Sub(b.updated).Seconds())
	}
	b.tokens = min(b.tokens, max(1, rate*burstTime.Seconds()))
	b.updated = now
}

// turn returns the time until the turn of the host; zero during its turn.
func (g group) turn(now time.Time) time.Duration {
	hosts := float64(g.hosts)
	part := (g.burst + g.limit*burstTime.Seconds()) / hosts
	if part >= 1 {
		return 0
	}
	period := hosts / g.limit
	position := math.Mod(math.Mod(float64(now.UnixMilli())/1000, period)/period+float64(g.rank)/hosts, 1)
	if position < part {
		return 0
	}
	return min(time.Duration((1-position)*period*float64(time.Second))+time.Millisecond, MaxWait)
}
