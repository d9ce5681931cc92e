package table

import (
	"sync"
	"time"

	"sesamehill.example/sesamehill/internal/wire"
)

// clockWindow is the time after which a sample of a clock no longer counts. It bounds the
// effect of the drift between two clocks.
const clockWindow = 30 * time.Second

// maxPeerLead is how far the time that another host states may be ahead of the estimate from
// the store's own responses. These arrive within seconds; a later time is of another clock.
const maxPeerLead = time.Minute

// Clock estimates the steady clock of the platform's store, in milliseconds. A time on it
// means the same on every host, whenever a message with it arrives, and outlives the
// hosts. Samples are received with some delay, so the estimate is never ahead of the
// store's clock. It is safe for concurrent use.
type Clock struct {
	now func() time.Duration

	mu sync.Mutex
	// store is the estimate from responses of the store, peers that from messages of
	// other hosts. Both may be behind, and the later one counts: a host that has just
	// started, or that seldom calls the store, may have received only late responses.
	store, peers clockOffset
}

// ClockOption changes a default of NewClock.
type ClockOption func(*Clock)

// WithBootClock sets the boot clock.
func WithBootClock(now func() time.Duration) ClockOption { return func(c *Clock) { c.now = now } }

// NewClock returns a clock without samples.
func NewClock(opts ...ClockOption) *Clock {
	c := &Clock{now: wire.BootTime}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Record records the time that a response of the store states.
func (c *Clock) Record(ms int64) { c.record(&c.store, ms) }

// RecordPeer records the time that another host has stated. A host of an older build that has
// no response of the store states its own boot clock, which may be ahead of the store's.
func (c *Clock) RecordPeer(ms int64) { c.record(&c.peers, ms) }

func (c *Clock) record(o *clockOffset, ms int64) {
	if ms <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	o.add(ms, c.now())
}

// Now returns the estimated time of the store; false if there are no samples.
func (c *Clock) Now() (int64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	switch {
	case !c.peers.known:
		return c.store.at(now), c.store.known
	case !c.store.known:
		return c.peers.at(now), true
	}
	store, peers := c.store.at(now), c.peers.at(now)
	if peers-store > maxPeerLead.Milliseconds() {
		return store, true
	}
	return max(store, peers), true
}

// Sampled returns the estimate from the store's own responses; false if there is none. Only
// this estimate may be sent to other hosts, as hosts would otherwise confirm each other's
// estimates for good.
func (c *Clock) Sampled() (int64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.store.at(c.now()), c.store.known
}

// Since returns the time since a time of the store; zero if it is ahead of the estimate or
// there are no samples.
func (c *Clock) Since(ms int64) time.Duration {
	now, ok := c.Now()
	if !ok {
		return 0
	}
	return time.Duration(max(now-ms, 0)) * time.Millisecond
}

// clockOffset is the largest difference between a remote clock and the boot clock, in
// milliseconds, of the samples in the present and the previous window.
type clockOffset struct {
	known             bool
	present, previous int64
	since             time.Duration
}

// add adds a sample received at a boot time.
func (o *clockOffset) add(ms int64, now time.Duration) {
	offset := ms - now.Milliseconds()
	switch {
	case !o.known:
		*o = clockOffset{known: true, present: offset, previous: offset, since: now}
	case now-o.since > clockWindow:
		o.previous, o.present, o.since = o.present, offset, now
	default:
		o.present = max(o.present, offset)
	}
}

// at returns the remote time at a boot time.
func (o *clockOffset) at(now time.Duration) int64 {
	return max(o.present, o.previous) + now.Milliseconds()
}
