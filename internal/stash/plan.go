package stash

import (
	"strconv"
	"time"

	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/gate"
	"sesamehill.example/sesamehill/internal/place"
	"sesamehill.example/sesamehill/internal/site"
)

var _ gate.Keeper = (*Catalog)(nil)

// Factors of a transfer's time by distance, as the platform's links have them.
const (
	zoneFactor   = 2
	regionFactor = 10
	// defaultMs is the time to fetch a token if no engine is described.
	defaultMs = 0.0075
)

// Scope returns the scope of an account's kept state. Accounts that are
// dedicated have one of their own, and so has each weight version.
func (*Catalog) Scope(model string, version int, account *site.Account) string {
	scope := model + "/" + strconv.Itoa(version)
	if account != nil && account.Dedicated {
		scope += "/" + account.Name
	}
	return scope
}

// Weigh returns the shared tokens that a target probably holds, those that a
// fetch brings, and the milliseconds of that fetch.
func (c *Catalog) Weigh(p *gate.Prompt, scope string, t fleet.Target) (resident, stored int, fetchMs float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	shared := p.Shared()
	if len(shared) == 0 {
		return 0, 0, 0
	}
	last := shared[len(shared)-1]
	sent, ok := c.sends.Peek(sendKey{t.ID, scope, last.ID})
	warm := ok && now-sent < residentMemory
	for _, part := range shared {
		if warm {
			resident += part.Tokens
		}
		s, factor := c.source(Key{scope, part.ID}, t.Zone, now)
		if s == nil {
			continue
		}
		stored += part.Tokens
		fetchMs += float64(part.Tokens)*c.tokenMs()*factor + float64(s.Setup)/float64(time.Millisecond)
	}
	return resident, stored, fetchMs
}

// Plan returns how an attempt at a target uses the stores.
func (c *Catalog) Plan(p *gate.Prompt, scope string, version int, t fleet.Target) *gate.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	st := &gate.State{
		Scope: scope, Version: version, Fetch: make([]string, len(p.Parts)), Save: make([]string, len(p.Parts)),
	}
	shared := p.Shared()
	fetches := false
	for i, part := range shared {
		key := Key{scope, part.ID}
		if s, _ := c.source(key, t.Zone, now); s != nil {
			st.Fetch[i] = s.Address
			fetches = true
			continue
		}
		if s := c.keep(key, part.Tokens, t.Zone, now); s != nil {
			st.Save[i] = s.Address
			s.saving[key] = now
		}
	}
	if fetches && c.hasOffset {
		st.Until = now.Milliseconds() + c.offset + fetchLimit.Milliseconds()
	}
	if fetches && !c.hasOffset {
		st.Fetch = make([]string, len(p.Parts)) // without a clock a fetch has no end
	}
	if len(shared) > 0 {
		c.sends.Add(sendKey{t.ID, scope, shared[len(shared)-1].ID}, now)
	}
	return st
}

// source returns the nearest store that certainly holds a part, and the factor
// of the transfer's time.
func (c *Catalog) source(k Key, zone string, now time.Duration) (*store, float64) {
	var best *store
	least := 0.0
	for _, s := range c.order {
		if s.heard == 0 || now-s.heard > belief {
			continue
		}
		if _, ok := s.held[k]; !ok {
			continue
		}
		if f := c.factor(s.Zone, zone); best == nil || f < least {
			best, least = s, f
		}
	}
	return best, least
}

// keep returns the store that takes a part which no store holds; nil if one is
// about to, or none has room.
func (c *Catalog) keep(k Key, tokens int, zone string, now time.Duration) *store {
	var best *store
	most := uint64(0)
	for _, s := range c.order {
		if at, ok := s.saving[k]; ok && now-at < saveMemory {
			return nil
		}
		if s.heard == 0 || now-s.heard > belief || now < s.open || c.regions[s.Zone] != c.regions[zone] {
			continue
		}
		if float64(s.used+tokens) > fullShare*float64(s.Tokens) {
			continue
		}
		if score := place.Score(k.Part, s.Address); best == nil || score > most {
			best, most = s, score
		}
	}
	return best
}

func (c *Catalog) factor(from, to string) float64 {
	switch {
	case from == to:
		return 1
	case c.regions[from] == c.regions[to]:
		return zoneFactor
	}
	return regionFactor
}

// tokenMs is the time to move one token over an engine's link.
func (c *Catalog) tokenMs() float64 {
	if c.engine.tokenBytes == 0 || c.engine.linkMbps <= 0 {
		return defaultMs
	}
	return float64(c.engine.tokenBytes) * 8 / (c.engine.linkMbps * 1000)
}
