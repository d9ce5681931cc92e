package kvcat

import (
	"net/url"
	"strconv"
	"time"

	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/homes"
	"sesamehill.example/sesamehill/internal/opconf"
	"sesamehill.example/sesamehill/internal/place"
	"sesamehill.example/sesamehill/internal/proxy"
)

var _ proxy.CachePlanner = (*Catalog)(nil)

// Factors by which the distance multiplies the time of a transfer, as on the links
// of the platform, and limits of fetches and saves.
const (
	otherZoneFactor   = 2
	otherRegionFactor = 10
	// recomputeMsPerToken is the cost of recomputing one token. A fetch that takes at most
	// alwaysFetchMs is always preferred, unless the store is slow. A fetch from another
	// region has to take less than farReadFactor times the measured time of reading, too, as
	// it keeps a slow link from others for as long.
	recomputeMsPerToken = 0.04
	farReadFactor       = 1.5
	alwaysFetchMs       = 15
	// fetchDeadlineFactor sets the deadline of a fetch as a multiple of its
	// expected time, minFetchDeadline is the lower limit.
	fetchDeadlineFactor = 3
	minFetchDeadline    = 350 * time.Millisecond
	// maxSaveSlowdown is the slowdown above which a store is sent no saves.
	maxSaveSlowdown = 2.5
	// defaultFetchMsPerToken is the time to fetch a token if the configuration
	// describes no engine.
	defaultFetchMsPerToken = 0.0075
)

// Namespace returns the cache namespace of an account's KV cache entries. Each
// weight version has its own, and so has each dedicated account and each set of allowed
// regions. Without the last, a prompt that may be served anywhere would move the entries
// of a restricted one to another region, as entries do not record which prompts made them.
func (*Catalog) Namespace(model string, version int, account *opconf.Account, allowed homes.Regions) string {
	namespace, owner := model+"/"+strconv.Itoa(version), ""
	if account != nil && account.Dedicated {
		owner = url.QueryEscape(account.Name)
	}
	switch {
	case allowed.Restricted:
		return namespace + "/" + owner + "/" + allowed.Key()
	case owner != "":
		return namespace + "/" + owner
	}
	return namespace
}

// cachedParts is what a catalog knows about the shared parts of one prompt.
type cachedParts struct {
	catalog   *Catalog
	namespace string
	// affinityKey is the ID of the last shared part.
	affinityKey string
	tokens      int
	// prefillMs is the measured time to prefill a token; zero if it is unknown.
	prefillMs float64
	parts     []cachedPart
	now       time.Duration
}

// cachedPart is a shared part and the stores that hold it according to their fresh
// state.
type cachedPart struct {
	tokens int
	stores []partSource
}

// partSource is a store and its slowdown.
type partSource struct {
	*store
	slowdown float64
}

// Lookup returns where the shared parts of a prompt are cached.
func (c *Catalog) Lookup(p *proxy.Prompt, namespace string) proxy.CachedParts {
	fetch, _ := c.permitted(namespace)
	allowed := allowedRegions(namespace)
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.snapshot()
	h := &cachedParts{catalog: c, namespace: namespace, now: m.now, prefillMs: p.PrefillMs}
	for _, part := range p.Shared() {
		h.affinityKey = part.ID
		h.tokens += part.Tokens
		cached := cachedPart{tokens: part.Tokens}
		if fetch {
			cached.stores = c.storesWith(Key{namespace, part.ID}, allowed, m)
		}
		h.parts = append(h.parts, cached)
	}
	return h
}

// Estimate returns the number of shared tokens that are probably resident at a
// target, the number that a fetch would supply, and the expected time of this fetch
// in milliseconds.
func (h *cachedParts) Estimate(t fleet.Target) (resident, stored int, fetchMs float64) {
	if len(h.parts) == 0 {
		return 0, 0, 0
	}
	c := h.catalog
	c.mu.Lock()
	defer c.mu.Unlock()
	if sent, ok := c.lastSent.Peek(affinityTarget{t.ID, h.namespace, h.affinityKey}); ok && h.now-sent < residentTTL {
		resident = h.tokens
	}
	for _, part := range h.parts {
		s, factor, ok := c.nearest(part.stores, t.Zone)
		if !ok {
			continue
		}
		ms := c.fetchTimeMs(s, part.tokens, factor)
		if !fetchPays(part.tokens, ms, s.slowdown, factor, h.prefillMs) {
			continue
		}
		stored += part.tokens
		fetchMs += ms
	}
	return resident, stored, fetchMs
}

// fetchTimeMs is the expected time to fetch a part from a store. The slower of the
// two links determines it.
func (c *Catalog) fetchTimeMs(s partSource, tokens int, factor float64) float64 {
	return (float64(tokens)*c.fetchMsPerToken(s.LinkMbps)*factor + float64(s.SetupTime)/float64(time.Millisecond)) * s.slowdown
}

// fetchPays reports whether fetching a part is better than recomputing it, which
// takes time of the engine and delays other requests there. The factor is that of the
// distance.
func fetchPays(tokens int, ms, slowdown, factor, prefillMs float64) bool {
	recomputeMs := recomputeMsPerToken
	if factor >= otherRegionFactor && prefillMs > 0 {
		recomputeMs = min(recomputeMs, farReadFactor*prefillMs)
	}
	return ms < float64(tokens)*recomputeMs+alwaysFetchMs/slowdown
}

// FetchMs returns the expected time to fetch a number of tokens from a store in the
// same zone.
func (c *Catalog) FetchMs(tokens int) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return float64(tokens) * c.fetchMsPerToken(0)
}

// Plan returns which parts an attempt at a target fetches from stores and saves to
// them. It records that the target was sent the prompt.
func (c *Catalog) Plan(p *proxy.Prompt, namespace string, version int, t fleet.Target) *proxy.CachePlan {
	fetch, save := c.permitted(namespace)
	allowed := allowedRegions(namespace)
	if !allowed.Allows(c.regions[t.Zone]) {
		fetch, save = false, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.snapshot()
	plan := &proxy.CachePlan{
		Namespace: namespace, Version: version, Fetch: make([]string, len(p.Parts)), Save: make([]string, len(p.Parts)),
	}
	shared := p.Shared()
	resident := c.resident(t.ID, namespace, shared, m.now)
	fetches, totalMs := false, 0.0
	for i, part := range shared {
		key := Key{namespace, part.ID}
		s, factor, stored := c.nearest(c.storesWith(key, allowed, m), t.Zone)
		if stored {
			if partMs := c.fetchTimeMs(s, part.Tokens, factor); fetch && fetchPays(part.Tokens, partMs, s.slowdown, factor, p.PrefillMs) {
				plan.Fetch[i] = s.Address
				fetches = true
				totalMs += partMs
				continue
			}
		}
		if !resident {
			plan.Recomputed = plan.Recomputed.Add(c.recomputeCause(key, stored, fetch, factor, m), part.Tokens)
		}
		seen := c.seenParts.Contains(key)
		c.seenParts.Add(key, struct{}{})
		if !save || stored && (!seen || c.sameRegion(s.Zone, t.Zone)) {
			continue
		}
		limit := maxFillShare
		if stored {
			limit = maxCopyFillShare
		}
		if s := c.chooseSaveStore(key, part.Tokens, t.Zone, limit, m); s != nil {
			plan.Save[i] = s.Address
			s.pendingSaves[key] = m.now
		}
	}
	if fetches {
		c.limitFetches(plan, totalMs, m.now)
	}
	if len(shared) > 0 {
		c.lastSent.Add(affinityTarget{t.ID, namespace, shared[len(shared)-1].ID}, m.now)
	}
	return plan
}

// limitFetches sets the deadline of the fetches of a plan by their expected time. Without the
// targets' clock a fetch has no deadline, and the plan fetches nothing. The caller holds mu.
func (c *Catalog) limitFetches(plan *proxy.CachePlan, totalMs float64, now time.Duration) {
	if !c.hasOffset {
		plan.Fetch = make([]string, len(plan.Fetch))
		return
	}
	limit := min(max(time.Duration(fetchDeadlineFactor*totalMs*float64(time.Millisecond)), minFetchDeadline), MaxFetchTime)
	plan.FetchDeadlineMs = now.Milliseconds() + c.offset + limit.Milliseconds()
	plan.FetchMs = totalMs
}

// resident reports whether the shared parts of a prompt are probably resident at a
// target.
func (c *Catalog) resident(target, namespace string, shared []proxy.Part, now time.Duration) bool {
	if len(shared) == 0 {
		return false
	}
	sent, ok := c.lastSent.Peek(affinityTarget{target, namespace, shared[len(shared)-1].ID})
	return ok && now-sent < residentTTL
}

// recomputeCause says why the engine has to prefill a part instead of fetching it.
func (c *Catalog) recomputeCause(k Key, stored, fetch bool, factor float64, m snapshot) proxy.RecomputeCause {
	switch {
	case stored && !fetch:
		return proxy.CauseWeightsReplaced
	case stored && factor == otherRegionFactor:
		return proxy.CauseFetchDistant
	case stored:
		return proxy.CauseFetchSlower
	}
	stale := false
	for _, s := range c.ordered {
		if at, ok := s.pendingSaves[k]; ok && m.now-at < saveRequestTTL {
			return proxy.CauseSavePending
		}
		stale = stale || !s.fresh(m.now)
	}
	switch {
	case !c.seenParts.Contains(k):
		return proxy.CauseFirstUse
	case stale:
		return proxy.CauseStoreStale
	}
	return proxy.CauseNotStored
}

// permitted reports whether entries of a namespace may be fetched and saved.
func (c *Catalog) permitted(namespace string) (fetch, save bool) {
	model, version, ok := parseNamespace(namespace)
	if !ok {
		return false, false
	}
	return c.permissions(model, version)
}

// storesWith returns the stores in the allowed regions that hold a part according to their
// fresh state.
func (c *Catalog) storesWith(k Key, allowed homes.Regions, m snapshot) []partSource {
	var out []partSource
	for _, s := range c.ordered {
		if !s.fresh(m.now) || !allowed.Allows(c.regions[s.Zone]) {
			continue
		}
		if _, ok := s.parts[k]; ok {
			out = append(out, partSource{store: s, slowdown: m.slowdown(s)})
		}
	}
	return out
}

// nearest returns the nearest one of some stores and its distance factor.
func (c *Catalog) nearest(stores []partSource, zone string) (best partSource, leastFactor float64, ok bool) {
	for _, s := range stores {
		if f := c.distanceFactor(s.Zone, zone); !ok || f < leastFactor {
			best, leastFactor, ok = s, f, true
		}
	}
	return best, leastFactor, ok
}

// chooseSaveStore returns the store in the zone's region that a part should be
// saved to. It returns nil if a save of the part is pending, or if no store there
// has room within a share of its capacity.
func (c *Catalog) chooseSaveStore(k Key, tokens int, zone string, limit float64, m snapshot) *store {
	var best *store
	leastFactor, bestScore := 0.0, 0.0
	for _, s := range c.ordered {
		if at, ok := s.pendingSaves[k]; ok && m.now-at < saveRequestTTL {
			return nil
		}
		if m.slowdown(s) > maxSaveSlowdown {
			continue
		}
		if !s.fresh(m.now) || m.now < s.savesFrom || !c.sameRegion(s.Zone, zone) {
			continue
		}
		if float64(s.usedTokens+tokens) > limit*float64(s.CapacityTokens) {
			continue
		}
		factor := c.distanceFactor(s.Zone, zone)
		score := place.WeightedScore(place.RendezvousScore(k.Part, s.Address), float64(s.CapacityTokens))
		if best == nil || factor < leastFactor || factor == leastFactor && score > bestScore {
			best, leastFactor, bestScore = s, factor, score
		}
	}
	return best
}

// distanceFactor returns the factor of the time of a transfer between two zones.
func (c *Catalog) distanceFactor(from, to string) float64 {
	switch {
	case from == to:
		return 1
	case c.sameRegion(from, to):
		return otherZoneFactor
	}
	return otherRegionFactor
}

func (c *Catalog) sameRegion(a, b string) bool { return c.regions[a] == c.regions[b] }

// fetchMsPerToken is the time to move one token between an engine and a store with
// the given link; zero stands for a link as fast as that of the engine.
func (c *Catalog) fetchMsPerToken(linkMbps float64) float64 {
	if c.engine.tokenBytes == 0 || c.engine.linkMbps <= 0 {
		return defaultFetchMsPerToken
	}
	slowerMbps := c.engine.linkMbps
	if linkMbps > 0 {
		slowerMbps = min(slowerMbps, linkMbps)
	}
	return float64(c.engine.tokenBytes) * 8 / (slowerMbps * 1000)
}
