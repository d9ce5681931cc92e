package proxy

import (
	"math"
	"time"

	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/rates"
	"sesamehill.example/sesamehill/internal/wire"
)

// limitPollInterval bounds the time after which waiting requests are placed again
// because of a rate limit.
const limitPollInterval = 100 * time.Millisecond

// maxBuckets bounds the targets with a rate limit that a host keeps a bucket for. Those of
// targets that are gone are not removed one by one.
const maxBuckets = 4096

// noTurn is the wait for a target to which only other hosts send. It is not given to callers as
// Retry-After.
const noTurn = rates.MaxWait

const (
	// refusalShare is the share of the refusal limit of a target which the hosts
	// cause together.
	refusalShare = 0.5
	// maxRefusalPause bounds the pause after a refusal, minRefusalPause is the least one.
	minRefusalPause = 500 * time.Millisecond
	maxRefusalPause = 10 * time.Second
	// maxRefusalHosts is a number of hosts that exceeds any deployment.
	maxRefusalHosts = 1e6
	// slotMargin is the share of the slots of a target with a refusal limit that stays free, as other
	// hosts may send to it at the same moment.
	slotMargin = 0.15
)

// shareTTL is how long the rank of this host for a target is used.
const shareTTL = 500 * time.Millisecond

// limitShare is this host's share of the limits of a target and what it may still send there.
type limitShare struct {
	rates.Bucket
	share     rates.Share
	checkedAt time.Duration
}

// limitShareOf returns the share of a target with a limit. The caller holds placementMu.
func (p *Proxy) limitShareOf(t *fleet.Target) *limitShare {
	l, ok := p.buckets[t.ID]
	if !ok {
		if len(p.buckets) >= maxBuckets {
			clear(p.buckets)
		}
		l = &limitShare{}
		p.buckets[t.ID] = l
	}
	if now := wire.BootTime(); l.checkedAt == 0 || now-l.checkedAt >= shareTTL {
		l.share, l.checkedAt = p.share(t), now
	}
	return l
}

// refusalHosts returns how many hosts may send to a target with a refusal limit: so many that
// they cause a share of it together if each pauses for maxRefusalPause after a refusal.
func refusalHosts(limit float64) int {
	return max(int(maxRefusalPause.Seconds()*refusalShare*min(limit, maxRefusalHosts)), 1)
}

// refusalPause returns for how long this host sends nothing to a target with a refusal
// limit that has refused a request, so that all hosts together cause a share of the limit.
func refusalPause(limit float64, hosts int) time.Duration {
	hosts = min(hosts, refusalHosts(limit))
	pause := time.Duration(float64(hosts) / max(refusalShare*limit, math.SmallestNonzeroFloat32) * float64(time.Second))
	if pause < 0 || pause > maxRefusalPause {
		pause = maxRefusalPause
	}
	return max(pause, minRefusalPause)
}

// usableSlots returns the slots of a target that may be used, and whether no requests may
// wait there, as it has a refusal limit. Of such a target each host uses an equal share, as
// hosts that send at the same moment do not know of each other's requests.
func (p *Proxy) usableSlots(s fleet.Status, calls int) (slots int, noQueue bool) {
	if s.RefusalLimit == fleet.Unlimited || s.Slots <= 0 {
		return s.Slots, false
	}
	slots = max(1, int(float64(s.Slots)*(1-slotMargin)))
	if s.AcceptedCalls > 0 {
		slots = min(slots, s.AcceptedCalls)
	}
	hosts := min(max(p.hosts(), 1), refusalHosts(s.RefusalLimit))
	if share := (slots + hosts - 1) / hosts; s.InFlight.Calls >= share {
		slots = min(slots, calls)
	}
	return slots, true
}

// sendWait returns how long this host has to wait until it may send another request to a
// target; zero if it may now. The caller holds placementMu.
func (p *Proxy) sendWait(s fleet.Status) time.Duration {
	if s.RateLimit == fleet.Unlimited && s.RefusalLimit == fleet.Unlimited {
		delete(p.buckets, s.ID)
		return s.PausedFor
	}
	l := p.limitShareOf(s.Target)
	wait := s.PausedFor
	if s.RateLimit != fleet.Unlimited {
		wait = max(wait, l.Wait(s.RateLimit, l.share, time.Now()))
	}
	if s.RefusalLimit != fleet.Unlimited && l.share.Rank >= refusalHosts(s.RefusalLimit) {
		wait = noTurn
	}
	return wait
}

// takeRate counts a request that is sent to a target.
func (p *Proxy) takeRate(s fleet.Status) {
	if b, ok := p.buckets[s.ID]; ok {
		b.Take()
	}
	if s.Cold {
		p.Metrics.Count("sent cold")
	}
}

// dispatchAfter schedules a dispatch of the waiting requests for the time at which a
// target may take another one.
func (p *Proxy) dispatchAfter(d time.Duration) {
	if p.limitPollPending.CompareAndSwap(false, true) {
		time.AfterFunc(min(max(d, time.Millisecond), limitPollInterval), func() {
			p.limitPollPending.Store(false)
			p.DispatchSoon()
		})
	}
}
