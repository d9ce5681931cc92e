package proxy

import (
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

// rateWait returns how long this host has to wait until it may send another request to
// a target; zero if it may now. The caller holds placementMu.
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
