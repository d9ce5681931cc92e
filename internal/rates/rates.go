// Package rates divides the rate limit of a target among the hosts that send to it.
//
// A target that cannot take more names how many requests a second it takes from all
// hosts together. Each host sends its equal share, as a token bucket. The shares of many
// hosts are far below one request a second, so that all their first tokens together
// would be a burst; hosts therefore take turns, by their rank and the time of day, and
// only so many may send at a time that a burst stays small. Clocks that differ move a
// turn and change no share.
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
	// burstRequests and burstTime bound the requests that all hosts may send at once:
	// this number, and what the limit allows in this time.
	burstRequests = 4
	burstTime     = 500 * time.Millisecond
	// maxWait is the wait under a limit that allows nothing.
	maxWait = time.Hour
)

// Share is the part of a limit that belongs to one host.
type Share struct {
	// Rank is the position of the host among those alive, from 0, Hosts their number.
	Rank, Hosts int
}

// Bucket holds what a host may still send to one target. The zero value is ready to use.
type Bucket struct {
	tokens  float64
	updated time.Time
}

// Wait returns how long to wait before the next request; zero if it may be sent now.
func (b *Bucket) Wait(limit float64, s Share, now time.Time) time.Duration {
	s.Hosts = max(s.Hosts, 1)
	rate := limit / float64(s.Hosts)
	b.fill(rate, now)
	if rate <= 0 {
		return maxWait
	}
	missing := max(0, 1-b.tokens) / rate
	if missing > maxWait.Seconds() {
		return maxWait
	}
	until := time.Duration(missing * float64(time.Second))
	return until + turn(limit, s, now.Add(until))
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
func turn(limit float64, s Share, now time.Time) time.Duration {
	hosts := float64(s.Hosts)
	part := (burstRequests + limit*burstTime.Seconds()) / hosts
	if part >= 1 {
		return 0
	}
	period := hosts / limit
	position := math.Mod(math.Mod(float64(now.UnixMilli())/1000, period)/period+float64(s.Rank)/hosts, 1)
	if position < part {
		return 0
	}
	return min(time.Duration((1-position)*period*float64(time.Second))+time.Millisecond, maxWait)
}
