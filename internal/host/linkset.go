package host

import (
	"sync"
	"time"

	"sesamehill.example/sesamehill/internal/links"
	"sesamehill.example/sesamehill/internal/member"
	"sesamehill.example/sesamehill/internal/route"
	"sesamehill.example/sesamehill/pkg/config"
)

// linkShareBudget is the size of the heartbeat extension that shares link budgets, in
// bytes.
const linkShareBudget = 50

// linkSet holds the budgets of the links from this host's region by the region at
// the other end.
type linkSet struct {
	mu    sync.Mutex
	links map[string]*links.Link
	// rates, in bytes a second, and delays come from the configuration document.
	rates  map[string]float64
	delays map[string]time.Duration
	// unmetRequests holds the rates that peers requested and were not lent yet, by peer
	// and region.
	unmetRequests map[string]map[string]float64
	lastID        uint64
	usage         map[string]linkUsage
}

// linkUsage is the utilization of a link when it was last computed.
type linkUsage struct {
	at    time.Time
	bytes int64
	share float64
}

// linkShares is the heartbeat extension that shares link budgets. Rates are in bytes
// a second by region.
type linkShares struct {
	Want map[string]float64 `cbor:"w,omitempty"`
	Lend map[string]float64 `cbor:"l,omitempty"`
}

func newLinkSet() *linkSet {
	return &linkSet{
		links: map[string]*links.Link{}, rates: map[string]float64{},
		delays: map[string]time.Duration{}, unmetRequests: map[string]map[string]float64{},
		usage: map[string]linkUsage{},
	}
}

// apply sets the links of a configuration document. A link whose rate is unchanged
// keeps its state and its byte counts.
func (s *linkSet) apply(region string, d *config.Document, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range d.Links {
		other := l.To
		if l.To == region {
			other = l.From
		} else if l.From != region {
			continue
		}
		s.delays[other] = l.Delay.AsDuration()
		rate := l.RateMbps * bytesPerMbit
		if s.rates[other] != rate {
			s.rates[other] = rate
			s.links[other] = links.New(links.Config{Rate: rate, Delay: l.Delay.AsDuration()}, now)
		}
	}
}

// path returns the rate, queue and delay of the link to a region for placement.
func (s *linkSet) path(region string, now time.Time) (route.Link, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.links[region]
	if l == nil {
		return route.Link{}, false
	}
	return route.Link{Rate: l.Rate(now), Queued: l.Queued(), Delay: s.delays[region]}, true
}

// tryStart starts a transfer if the link's budget allows it at once.
func (s *linkSet) tryStart(region string, bytes int64, c links.Charge, now time.Time) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.links[region]
	if l == nil {
		return 0, false
	}
	s.lastID++
	id := s.lastID
	l.Submit(links.Transfer{ID: id, Bytes: bytes, Value: 1, Charge: c}, now)
	for _, t := range l.Next(now) {
		if t.ID == id {
			return id, true
		}
	}
	l.Cancel(id)
	return 0, false
}

// finish ends a transfer that tryStart started.
func (s *linkSet) finish(region string, id uint64, bytes int64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.links[region]; l != nil {
		l.Done(id, bytes, now)
	}
}

// charge accounts bytes that cannot be delayed, such as the response of a run.
func (s *linkSet) charge(region string, bytes int64, c links.Charge, now time.Time) {
	if id, ok := s.tryStart(region, bytes, c, now); ok {
		s.finish(region, id, bytes, now)
		return
	}
	counters.Add("link_overdrafts", 1)
	c.Purpose = links.Control
	if id, ok := s.tryStart(region, bytes, c, now); ok {
		s.finish(region, id, bytes, now)
	}
}

func (s *linkSet) setHosts(n int, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.links {
		l.SetHosts(n, now)
	}
}

// sharesFor builds the heartbeat extension for a peer of the same region.
func (s *linkSet) sharesFor(to string, now time.Time) linkShares {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := linkShares{Want: map[string]float64{}, Lend: map[string]float64{}}
	for region, l := range s.links {
		if w := l.RateShortfall(now); w > 0 {
			p.Want[region] = w
		}
		if wanted := s.unmetRequests[to][region]; wanted > 0 {
			if lent := l.Lend(wanted, now); lent > 0 {
				p.Lend[region] = lent
			}
		}
	}
	delete(s.unmetRequests, to)
	return p
}

// applyShares applies the heartbeat extension of a peer.
func (s *linkSet) applyShares(from string, p linkShares, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(p.Want) > 0 {
		s.unmetRequests[from] = p.Want
	}
	for region, rate := range p.Lend {
		if l := s.links[region]; l != nil {
			l.Borrow(rate, now)
		}
	}
}

// LinkState is a link in the state dump.
type LinkState struct {
	Region string `json:"region"`
	// Configured and Rate are the configured and the usable rate in bytes a
	// second; Use is the used fraction of the configured rate over the last second.
	Configured float64      `json:"configured"`
	Rate       float64      `json:"rate"`
	Use        float64      `json:"use"`
	Share      float64      `json:"share"`
	Queued     int64        `json:"queued"`
	Bytes      []LinkCharge `json:"bytes,omitempty"`
}

// LinkCharge is the traffic of one account for one purpose in bytes.
type LinkCharge struct {
	Account string        `json:"account"`
	Purpose links.Purpose `json:"purpose"`
	Bytes   int64         `json:"bytes"`
}

func (s *linkSet) states(now time.Time) []LinkState {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]LinkState, 0, len(s.links))
	for region, l := range s.links {
		t := LinkState{
			Region: region, Configured: s.rates[region], Rate: l.Rate(now), Share: l.Share(now), Queued: l.Queued(),
		}
		for c, n := range l.Bytes() {
			t.Bytes = append(t.Bytes, LinkCharge{Account: c.Account, Purpose: c.Purpose, Bytes: n})
		}
		t.Use = s.use(region, t, now)
		out = append(out, t)
	}
	return out
}

// use returns the used fraction of the link's configured rate. It is recomputed at
// most once a second. The caller holds the lock.
func (s *linkSet) use(region string, t LinkState, now time.Time) float64 {
	var sum int64
	for _, c := range t.Bytes {
		sum += c.Bytes
	}
	u := s.usage[region]
	if d := now.Sub(u.at); d >= time.Second {
		if !u.at.IsZero() && t.Configured > 0 {
			u.share = float64(sum-u.bytes) / d.Seconds() / t.Configured
		}
		u.at, u.bytes = now, sum
		s.usage[region] = u
	}
	return u.share
}

// linkExtension lends unused link budgets between the hosts of a region.
func (h *Host) linkExtension() member.Extension {
	return member.Extension{
		Name: "k", Budget: linkShareBudget, Replies: true,
		Build: func(to member.Member, _ int) []byte {
			if to.Region != h.settings.Region {
				return nil
			}
			p := h.links.sharesFor(to.Name, time.Now())
			if len(p.Want)+len(p.Lend) == 0 {
				return nil
			}
			b, err := member.Encode(p)
			if err != nil {
				return nil
			}
			return b
		},
		Take: func(from member.Member, data []byte) error {
			var p linkShares
			if err := member.Decode(data, &p); err != nil {
				return err
			}
			h.links.applyShares(from.Name, p, time.Now())
			return nil
		},
	}
}
