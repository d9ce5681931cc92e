package zones

import (
	"math"
	"math/bits"
	"time"
)

const (
	// minSettle is the least time in which a share changes from zero to one. With a view
	// that is older it is settleAges times the age, as a change shows only in the views
	// that come later.
	minSettle  = time.Second
	settleAges = 8
	// deadBand is the share of the cost of the way by which leaving has to gain or
	// lose before a share changes.
	deadBand = 0.2
	// rateDelays is the time, in delays of the view, in which the rate of calls to a zone
	// approaches what fits there.
	rateDelays = 3
	// minServiceSeconds bounds the time of a call from below.
	minServiceSeconds = 0.01
	// classTTL is how long the shares of a class without requests are kept.
	classTTL = time.Minute
)

// View is what a host sees of the zones of one service.
type View struct {
	Zones []Zone
	// Hosts is the number of hosts that send to these zones.
	Hosts int
	// Age is the age of the load in Zones.
	Age time.Duration
}

// Reason says why a request may go to a zone, or why not.
type Reason string

// Reasons.
const (
	// OwnZone is the zone of the host, which is always open.
	OwnZone Reason = "own zone"
	// Shared is open: leaving pays, and the key is in the share that goes.
	Shared Reason = "in the share that goes there"
	// Kept is open: reading the prompt's shared parts again costs more than the way to the
	// engine that keeps them.
	Kept Reason = "its prompt is kept at one engine of all zones"
	// NotShared is closed: the key is in the share that stays.
	NotShared Reason = "in the share that stays"
	// Overflow is open to requests for which the own zone has no room.
	Overflow Reason = "no room in the own zone"
	// NoGain is closed: the way costs more than a request would gain.
	NoGain Reason = "the way costs more than it gains"
	// NoQuota is closed: this host has sent its part of what still fits there.
	NoQuota Reason = "this host's part of the room is used up"
	// NoTarget is closed: the zone has no usable target.
	NoTarget Reason = "no usable target"
)

// Open reports whether a request may go to the zone.
func (r Reason) Open() bool { return r == OwnZone || r == Kept || r == Shared || r == Overflow }

// Verdict is the decision on one request and one zone.
type Verdict struct {
	Reason Reason  `json:"reason"`
	Share  float64 `json:"share"`
	GainMs float64 `json:"gain"`
	WaitMs float64 `json:"wait"`
	WayMs  float64 `json:"way"`
}

// class is a set of requests that are alike, by powers of two.
type class struct{ bytes, kept int }

func classOf(k Kind) class {
	return class{bits.Len(uint(max(k.Bytes, 0))), bits.Len(uint(max(k.KeptMs, 0)))}
}

// kind returns the middle of a class.
func (c class) kind() Kind { return Kind{Bytes: int(middle(c.bytes)), KeptMs: middle(c.kept)} }

func middle(length int) float64 {
	if length == 0 {
		return 0
	}
	return 0.75 * math.Exp2(float64(length))
}

// shares are those of one class.
type shares struct {
	byZone map[string]float64
	usedAt time.Duration
}

// zoneState is a zone of the view with what this host may send there: rate calls a second,
// of which quota is left now. sent counts the calls since the last view, sentRate is their
// smoothed number a second.
type zoneState struct {
	Zone
	wait, rate, quota, sent, sentRate float64
}

// Planner decides for one host and one service. It is not safe for concurrent use.
type Planner struct {
	own     string
	updated time.Duration
	started bool
	zones   map[string]*zoneState
	classes map[class]*shares
}

// NewPlanner returns a planner for a host in a zone. Without a view only that zone is open.
func NewPlanner(own string) *Planner {
	return &Planner{own: own, zones: map[string]*zoneState{}, classes: map[class]*shares{}}
}

// Updated returns the time of the last view; false before the first.
func (p *Planner) Updated() (time.Duration, bool) { return p.updated, p.started }

// Update takes a new view and moves the shares.
func (p *Planner) Update(now time.Duration, v View) {
	passed := now - p.updated
	if !p.started {
		passed = 0
	}
	p.updated, p.started = now, true
	p.updateZones(v, passed)
	settle := max(minSettle, settleAges*v.Age)
	step := min(float64(passed)/float64(settle), 1)
	for c, s := range p.classes {
		if now-s.usedAt > classTTL {
			delete(p.classes, c)
			continue
		}
		for name := range p.zones {
			s.byZone[name] = p.moved(c.kind(), name, s.byZone[name], step)
		}
	}
}

// updateZones takes the loads of a view.
func (p *Planner) updateZones(v View, passed time.Duration) {
	old := p.zones
	p.zones = make(map[string]*zoneState, len(v.Zones))
	for _, z := range v.Zones {
		s := &zoneState{Zone: z, wait: z.WaitMs()}
		part := z.freeCalls() / float64(max(v.Hosts, 1))
		if before := old[z.Name]; before != nil {
			s.follow(before, part, passed.Seconds(), v.Age.Seconds())
		} else {
			s.quota = max(part, 0)
		}
		p.zones[z.Name] = s
	}
}

// follow sets the rate of calls to the zone after the time in seconds since the state
// before. It approaches the rate at which this host's part of the free calls is used up,
// in a few times the delay with which the view shows the effect. Unused quota is not kept, as
// many hosts could use theirs at the same moment.
func (z *zoneState) follow(before *zoneState, part, passed, age float64) {
	service := max(z.ServiceMs/msPerSecond, minServiceSeconds)
	delay := age + service
	weight := min(passed/delay, 1)
	z.sentRate = before.sentRate
	if passed > 0 {
		z.sentRate += weight * (before.sent/passed - before.sentRate)
	}
	most := z.sentRate + max(part, 0)/service
	z.rate = min(max(before.rate+passed*part/(service*rateDelays*delay), 0), most)
	z.quota = min(before.quota, 0) + max(z.rate+part/(rateDelays*delay), 0)*passed
	if part <= 0 {
		z.quota = min(z.quota, 0)
	}
}

// gain returns what a request gains in a zone against the cheapest of the own zone, where
// it would wait for ownWait, and the nearer ones that have room.
func (p *Planner) gain(k Kind, z *zoneState, ownWait float64) float64 {
	way, other := z.WayMs(k), ownWait
	for name, near := range p.zones {
		if nearWay := near.WayMs(k); name != p.own && nearWay < way && near.freeCalls() >= 1 {
			other = min(other, near.wait+nearWay)
		}
	}
	return other - z.wait - way + k.KeptMs
}

func (p *Planner) ownWait() float64 {
	if own := p.zones[p.own]; own != nil {
		return own.wait
	}
	return noTargetMs
}

// moved returns a share after a step in the direction of its gain.
func (p *Planner) moved(k Kind, zone string, share, step float64) float64 {
	z := p.zones[zone]
	if zone == p.own || z.Targets == 0 {
		return 0
	}
	gain, way := p.gain(k, z, p.ownWait()), z.WayMs(k)
	if math.Abs(gain) <= deadBand*way {
		return share
	}
	scale := max((p.ownWait()+z.wait+k.KeptMs+way)/2, 1)
	return min(max(share+step*min(max(gain/scale, -1), 1), 0), 1)
}

// sharesOf returns the shares of a kind of request.
func (p *Planner) sharesOf(k Kind, now time.Duration) *shares {
	c := classOf(k)
	s, ok := p.classes[c]
	if !ok {
		s = &shares{byZone: map[string]float64{}}
		p.classes[c] = s
	}
	s.usedAt = now
	return s
}

// Verdict decides whether a request may go to a zone. The key is the hash of what the
// requests of one affinity have in common.
func (p *Planner) Verdict(now time.Duration, k Kind, key uint64, zone string) Verdict {
	if zone == p.own {
		return Verdict{Reason: OwnZone, Share: 1, WaitMs: p.ownWait()}
	}
	z := p.zones[zone]
	if z == nil || z.Targets == 0 {
		return Verdict{Reason: NoTarget, WaitMs: noTargetMs}
	}
	share := p.sharesOf(k, now).byZone[zone]
	v := Verdict{Share: share, GainMs: p.gain(k, z, p.ownWait()), WaitMs: z.wait, WayMs: z.WayMs(k)}
	switch {
	case z.keepsFor(k):
		v.Reason, v.Share = Kept, 1
	case share == 0 && v.GainMs <= 0:
		v.Reason = NoGain
	case position(key, zone) >= share:
		v.Reason = NotShared
	case !z.inQuota(key):
		v.Reason = NoQuota
	default:
		v.Reason = Shared
	}
	return v
}

// Overflow decides the same for a request for which the own zone has no room now.
func (p *Planner) Overflow(now time.Duration, k Kind, key uint64, zone string) Verdict {
	v := p.Verdict(now, k, key, zone)
	z := p.zones[zone]
	if v.Reason != NotShared && v.Reason != NoGain || z == nil {
		return v
	}
	// A request that finds no room waits until a call ends.
	v.GainMs = p.gain(k, z, max(z.ServiceMs, p.ownWait()))
	switch {
	case v.GainMs <= 0:
		v.Reason = NoGain
	case !z.inQuota(key):
		v.Reason = NoQuota
	default:
		v.Reason = Overflow
	}
	return v
}

// inQuota reports whether a request is within the quota. Of a quota below one, the key
// decides, so that hosts with little quota do not all send one request.
func (z *zoneState) inQuota(key uint64) bool { return position(key, "quota") < z.quota }

// keepsFor reports whether the way to the zone costs less than reading the shared parts of a
// prompt again. Such requests are spread over the engines of all zones by their keys, so that
// they need neither a share nor a quota.
func (z *zoneState) keepsFor(k Kind) bool { return k.KeptMs > z.WayMs(k) }

// Sent counts a request that goes to a zone.
func (p *Planner) Sent(k Kind, zone string) {
	if z := p.zones[zone]; z != nil && !z.keepsFor(k) {
		z.quota--
		z.sent++
	}
}

// Shares returns the largest share of any class by zone.
func (p *Planner) Shares() map[string]float64 {
	out := map[string]float64{}
	for _, s := range p.classes {
		for zone, share := range s.byZone {
			out[zone] = max(out[zone], share)
		}
	}
	return out
}

// position places a key between zero and one, at another place for each zone.
func position(key uint64, zone string) float64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for i := range len(zone) {
		h = (h ^ uint64(zone[i])) * prime
	}
	h ^= key
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return float64((h^h>>31)>>11) / (1 << 53)
}
