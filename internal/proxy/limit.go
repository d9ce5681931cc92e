package proxy

import (
	"math"
	"time"

	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/rates"
)

// limitPollInterval bounds the time after which waiting requests are placed again
// because of a rate limit.
const limitPollInterval = 100 * time.Millisecond

// maxBuckets bounds the targets with a rate limit that a host keeps a bucket for. Targets
// that are gone leave theirs behind.
const maxBuckets = 4096

const (
	// refusalShare is the share of the refusal limit of a target which the hosts
	// cause together.
	refusalShare = 0.5
	// maxRefusalPause bounds the pause after a refusal, minRefusalPause is the least one.
	minRefusalPause = 500 * time.Millisecond
	maxRefusalPause = 10 * time.Second
	// slotMargin is the share of the slots of a target with a refusal limit that stays free, as other
	// hosts may send to it at the same moment.
	slotMargin = 0.15
)

// refusalPause returns for how long this host sends nothing to a target with a refusal
// limit that has refused a request, so that all hosts together cause a share of the limit.
func (p *Proxy) refusalPause(limit float64) time.Duration {
	pause := time.Duration(float64(p.hosts()) / max(refusalShare*limit, math.SmallestNonzeroFloat32) * float64(time.Second))
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
	hosts := max(p.hosts(), 1)
	if share := (slots + hosts - 1) / hosts; s.InFlight.Calls >= share {
		slots = min(slots, calls)
	}
	return slots, true
}

// sendWait returns how long this host has to wait until it may send another request to a
// target; zero if it may now. The caller holds placementMu.
func (p *Proxy) sendWait(s fleet.Status) time.Duration { return max(p.rateWait(s), s.PausedFor) }

// rateWait returns how long this host has to wait until it may send another request to
// a target that names a rate limit. The caller holds placementMu.
func (p *Proxy) rateWait(s fleet.Status) time.Duration {
	if s.RateLimit == fleet.Unlimited {
		delete(p.buckets, s.ID)
		return 0
	}
	b, ok := p.buckets[s.ID]
	if !ok {
		if len(p.buckets) >= maxBuckets {
			clear(p.buckets)
		}
		b = &rates.Bucket{}
		p.buckets[s.ID] = b
	}
	return b.Wait(s.RateLimit, p.share(), time.Now())
}

// takeRate counts a request that is sent to a target.
func (p *Proxy) takeRate(id string) {
	if b, ok := p.buckets[id]; ok {
		b.Take()
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
