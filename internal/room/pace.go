package room

import (
	"math"
	"time"
)

// shortFactor is the free room, in multiples of what all hosts are about to send, below
// which a host sends no more than its share.
const shortFactor = 2

// Pace bounds what a host sends while room is short. All hosts see the same free room, and
// each of them would fill it before it receives the loads of the others. The zero value may
// send nothing yet, but gets its share within noticeTime.
type Pace struct {
	// credit is the share of the free room that the host may still use.
	credit float64
	at     time.Duration
}

// Free is the room that is left at all engines together; without end if one has no limit.
func Free(engines []Engine) Load {
	var free Load
	for _, e := range engines {
		if e.Limit.Calls <= 0 || e.Limit.Tokens <= 0 {
			return Load{math.Inf(1), math.Inf(1)}
		}
		if left := e.Limit.add(e.Held.Scale(-1)); left.Calls > 0 && left.Tokens > 0 {
			free = free.add(left)
		}
	}
	return free
}

// Short reports whether the free room is scarce for what all hosts are about to send.
func Short(free, unseen Load) bool {
	return free.Calls < shortFactor*unseen.Calls || free.Tokens < shortFactor*unseen.Tokens
}

// Share is the part of the free room that is for a host with some of the calls in flight:
// half of the room goes by the calls, which follow the load of each host, and half in equal
// parts, so that a host that has just started gets room too.
func Share(own, total, hosts int) float64 {
	equal := 1 / float64(max(hosts, 1))
	if total == 0 {
		return equal
	}
	return (float64(own)/float64(total) + equal) / 2
}

// Wait returns how long a host with a share of all requests has to wait until it may send
// one more; zero if it may now.
func (p *Pace) Wait(request, free Load, share float64, now time.Duration) time.Duration {
	need := portion(request, free)
	p.credit = min(p.credit+share*float64(max(now-p.at, 0))/float64(noticeTime), max(share, need))
	p.at = now
	if p.credit >= need || share <= 0 {
		return 0
	}
	return time.Duration((need - p.credit) / share * float64(noticeTime))
}

// Sent records that a request was sent.
func (p *Pace) Sent(request, free Load) { p.credit = max(p.credit-portion(request, free), 0) }

// portion is the share of the free room that a request takes; 1 at most.
func portion(request, free Load) float64 {
	part := func(request, free float64) float64 {
		if free <= 0 {
			return 1
		}
		return min(request/free, 1)
	}
	return math.Max(part(request.Calls, free.Calls), part(request.Tokens, free.Tokens))
}
