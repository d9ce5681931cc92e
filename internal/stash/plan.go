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
	// readAgainMs is what reading a token again costs, and minFetchMs the time of a
	// fetch that is always worth it while a store keeps its pace.
	readAgainMs = 0.04
	minFetchMs  = 15
	// fetchSlack bounds a fetch in multiples of its expected time, fetchLeast from
	// below.
	fetchSlack = 3
	fetchLeast = 350 * time.Millisecond
	// slowPace is the pace above which a store takes no more parts.
	slowPace = 2.5
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

// holdings is what a catalog knows about the shared parts of one prompt.
type holdings struct {
	catalog *Catalog
	scope   string
	subject string
	tokens  int
	parts   []holding
	now     time.Duration
}

// holding is a part and the stores that certainly hold it.
type holding struct {
	tokens int
	stores []source
}

// source is a store and how much longer than expected its fetches take.
type source struct {
	*store
	pace float64
}

// Look returns what is known about the shared parts of a prompt.
func (c *Catalog) Look(p *gate.Prompt, scope string) gate.Holdings {
	fetch, _ := c.allowed(scope)
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.moment()
	h := &holdings{catalog: c, scope: scope, now: m.now}
	for _, part := range p.Shared() {
		h.subject = part.ID
		h.tokens += part.Tokens
		known := holding{tokens: part.Tokens}
		if fetch {
			known.stores = c.holders(Key{scope, part.ID}, m)
		}
		h.parts = append(h.parts, known)
	}
	return h
}

// Weigh returns the shared tokens that a target probably holds, those that a
// fetch brings, and the milliseconds of that fetch.
func (h *holdings) Weigh(t fleet.Target) (resident, stored int, fetchMs float64) {
	if len(h.parts) == 0 {
		return 0, 0, 0
	}
	c := h.catalog
	c.mu.Lock()
	defer c.mu.Unlock()
	if sent, ok := c.sends.Peek(sendKey{t.ID, h.scope, h.subject}); ok && h.now-sent < residentMemory {
		resident = h.tokens
	}
	for _, part := range h.parts {
		s, factor, ok := c.nearest(part.stores, t.Zone)
		if !ok {
			continue
		}
		ms := c.partMs(s, part.tokens, factor)
		if !worth(part.tokens, ms, s.pace) {
			continue
		}
		stored += part.tokens
		fetchMs += ms
	}
	return resident, stored, fetchMs
}

// partMs is the expected time to fetch a part from a store. The narrower one of
// the two links decides.
func (c *Catalog) partMs(s source, tokens int, factor float64) float64 {
	return (float64(tokens)*c.tokenMs(s.LinkMbps)*factor + float64(s.Setup)/float64(time.Millisecond)) * s.pace
}

// worth reports whether a fetch is better than reading a part again, which costs
// the engine's time and delays other requests there.
func worth(tokens int, ms, pace float64) bool {
	return ms < float64(tokens)*readAgainMs+minFetchMs/pace
}

// FetchMs returns the time to fetch a number of tokens from a near store.
func (c *Catalog) FetchMs(tokens int) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return float64(tokens) * c.tokenMs(0)
}

// Plan returns how an attempt at a target uses the stores.
func (c *Catalog) Plan(p *gate.Prompt, scope string, version int, t fleet.Target) *gate.State {
	fetch, save := c.allowed(scope)
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.moment()
	st := &gate.State{
		Scope: scope, Version: version, Fetch: make([]string, len(p.Parts)), Save: make([]string, len(p.Parts)),
	}
	shared := p.Shared()
	resident := c.resident(t.ID, scope, shared, m.now)
	fetches, ms := false, 0.0
	for i, part := range shared {
		key := Key{scope, part.ID}
		s, factor, held := c.nearest(c.holders(key, m), t.Zone)
		if held {
			if took := c.partMs(s, part.Tokens, factor); fetch && worth(part.Tokens, took, s.pace) {
				st.Fetch[i] = s.Address
				fetches = true
				ms += took
				continue
			}
		}
		if !resident {
			st.Again = st.Again.Add(c.cause(key, held, fetch, factor, m), part.Tokens)
		}
		known := c.asked.Contains(key)
		c.asked.Add(key, struct{}{})
		if !save || held && (!known || c.sameRegion(s.Zone, t.Zone)) {
			continue
		}
		limit := fullShare
		if held {
			limit = copyShare
		}
		if s := c.keep(key, part.Tokens, t.Zone, limit, m); s != nil {
			st.Save[i] = s.Address
			s.saving[key] = m.now
		}
	}
	if fetches && c.hasOffset {
		limit := min(max(time.Duration(fetchSlack*ms*float64(time.Millisecond)), fetchLeast), FetchLimit)
		st.Until = m.now.Milliseconds() + c.offset + limit.Milliseconds()
		st.FetchMs = ms
	}
	if fetches && !c.hasOffset {
		st.Fetch = make([]string, len(p.Parts)) // without a clock a fetch has no end
	}
	if len(shared) > 0 {
		c.sends.Add(sendKey{t.ID, scope, shared[len(shared)-1].ID}, m.now)
	}
	return st
}

// resident reports whether a target probably holds the shared parts of a prompt.
func (c *Catalog) resident(target, scope string, shared []gate.Part, now time.Duration) bool {
	if len(shared) == 0 {
		return false
	}
	sent, ok := c.sends.Peek(sendKey{target, scope, shared[len(shared)-1].ID})
	return ok && now-sent < residentMemory
}

// cause says why a part is read although its prompt's target could have had it.
func (c *Catalog) cause(k Key, held, fetch bool, factor float64, m moment) gate.Cause {
	switch {
	case held && !fetch:
		return gate.Replaced
	case held && factor == regionFactor:
		return gate.Distant
	case held:
		return gate.Slower
	}
	blind := false
	for _, s := range c.order {
		if at, ok := s.saving[k]; ok && m.now-at < saveMemory {
			return gate.Untold
		}
		blind = blind || !s.believed(m.now)
	}
	switch {
	case !c.asked.Contains(k):
		return gate.First
	case blind:
		return gate.Blind
	}
	return gate.Unsaved
}

// allowed reports whether state of a scope may be fetched and saved.
func (c *Catalog) allowed(scope string) (fetch, save bool) {
	model, version, ok := parseScope(scope)
	if !ok {
		return false, false
	}
	return c.use(model, version)
}

// holders returns the stores that certainly hold a part.
func (c *Catalog) holders(k Key, m moment) []source {
	var out []source
	for _, s := range c.order {
		if !s.believed(m.now) {
			continue
		}
		if _, ok := s.held[k]; ok {
			out = append(out, source{store: s, pace: m.pace(s)})
		}
	}
	return out
}

// nearest returns the nearest of some stores and the factor of a transfer's time.
func (c *Catalog) nearest(stores []source, zone string) (best source, least float64, ok bool) {
	for _, s := range stores {
		if f := c.factor(s.Zone, zone); !ok || f < least {
			best, least, ok = s, f, true
		}
	}
	return best, least, ok
}

// keep returns the store of a zone's region that takes a part which no store there
// holds; nil if one is about to, or none has room within a share of its capacity.
func (c *Catalog) keep(k Key, tokens int, zone string, limit float64, m moment) *store {
	var best *store
	near, most := 0.0, 0.0
	for _, s := range c.order {
		if at, ok := s.saving[k]; ok && m.now-at < saveMemory {
			return nil
		}
		if m.pace(s) > slowPace {
			continue
		}
		if !s.believed(m.now) || m.now < s.open || !c.sameRegion(s.Zone, zone) {
			continue
		}
		if float64(s.used+tokens) > limit*float64(s.Tokens) {
			continue
		}
		factor := c.factor(s.Zone, zone)
		score := place.Weighted(place.Score(k.Part, s.Address), float64(s.Tokens))
		if best == nil || factor < near || factor == near && score > most {
			best, near, most = s, factor, score
		}
	}
	return best
}

func (c *Catalog) factor(from, to string) float64 {
	switch {
	case from == to:
		return 1
	case c.sameRegion(from, to):
		return zoneFactor
	}
	return regionFactor
}

func (c *Catalog) sameRegion(a, b string) bool { return c.regions[a] == c.regions[b] }

// tokenMs is the time to move one token between an engine and a store with a link;
// zero stands for a link that is as wide as the engine's.
func (c *Catalog) tokenMs(linkMbps float64) float64 {
	if c.engine.tokenBytes == 0 || c.engine.linkMbps <= 0 {
		return defaultMs
	}
	narrow := c.engine.linkMbps
	if linkMbps > 0 {
		narrow = min(narrow, linkMbps)
	}
	return float64(c.engine.tokenBytes) * 8 / (narrow * 1000)
}
