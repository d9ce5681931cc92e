package proxy

import (
	"strings"
	"time"

	"github.com/zeebo/blake3"
	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/crash"
	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/opconf"
	"sesamehill.example/sesamehill/internal/place"
	"sesamehill.example/sesamehill/internal/wire"
)

// staleWeightsGrace is for how long after the announcement of new weights responses
// from older ones keep their full score, less the time until the request starts.
const staleWeightsGrace = 1200 * time.Millisecond

// reservation is a target that was chosen for an attempt and now counts the attempt
// as in flight.
type reservation struct {
	fleet.Status
	// id identifies the attempt among those that may crash their targets.
	id      string
	plan    *CachePlan
	attempt *fleet.Attempt
	// sent is the boot time of the reservation.
	sent    time.Duration
	measure measure
}

// reserve registers an attempt at a target and plans its use of the KV cache. It returns
// false if the request must not run any more. After many targets have crashed there can
// be more suspect requests than targets to test them alone, so that an attempt may run
// beside other suspects.
func (p *Proxy) reserve(j *job, s fleet.Status, c place.Candidate, candidates int) (reservation, bool) {
	chosen := reservation{Status: s, id: j.ID + "/" + s.ID, sent: wire.BootTime()}
	if !p.crashes.BeginShared(j.fingerprint, chosen.id, s.ID, time.Now(), j.parts...) {
		return reservation{}, false
	}
	load := fleet.InFlight{}
	if j.Prompt != nil {
		version := s.Versions[j.Prompt.Model]
		namespace := p.planner.Namespace(j.Prompt.Model, version, j.account, j.allowed)
		chosen.plan = p.planner.Plan(j.Prompt, namespace, version, *s.Target)
		w := promptWork(j.Prompt)
		load.Tokens = w.Shared + w.Own + j.Prompt.MaxOutputTokens
		load.PrefillTokens = w.Own + w.Shared - min(max(c.Resident, c.Stored), w.Shared)
		if c.Stored > c.Resident {
			// Converts the time of the fetch into the number of tokens that occupy
			// the link of the engine for as long when fetched from a store in the
			// same zone.
			load.FetchTokens = int(c.FetchMs / p.planner.FetchMs(1))
		}
	}
	if chosen.plan != nil {
		for cause, tokens := range chosen.plan.Recomputed {
			p.Metrics.Counters.Add("read "+string(cause), int64(tokens))
		}
	}
	chosen.measure = p.newMeasure(j, c, load.PrefillTokens)
	p.takeRate(s)
	p.countZone(j, s.Zone)
	chosen.attempt = p.fleet.Begin(s.ID, load)
	p.logPlacement(j, chosen, c, candidates)
	return chosen, true
}

// pickCandidate applies the placement policy to the candidates.
func (p *Proxy) pickCandidate(j *job, cs []place.Candidate) place.Choice {
	if j.Prompt == nil {
		return place.ChooseTarget(cs, j.costs)
	}
	return p.placement.Load().ChooseEngine(j.work(), cs, j.costs)
}

// work returns the work of a request with a prompt for an engine now.
func (j *job) work() place.Work {
	w := promptWork(j.Prompt)
	if j.waitingSince > 0 {
		w.WaitedMs = float64(wire.BootTime()-j.waitingSince) / float64(time.Millisecond)
	}
	return w
}

// candidate describes a target for the placement. It caches lookups by namespace.
func (p *Proxy) candidate(j *job, s fleet.Status, lookups map[string]CachedParts) place.Candidate {
	total := s.InFlight.Add(s.OthersInFlight)
	slots, noQueue := p.usableSlots(s, total.Calls)
	c := place.Candidate{
		ID: s.ID, Distance: p.distance(s.Zone), Calls: total.Calls, Slots: slots, NoQueue: noQueue, Tokens: total.Tokens,
		Unread: total.PrefillTokens, FetchingMs: p.planner.FetchMs(total.FetchTokens), Risk: s.FailureRate, Down: s.Down,
		Slowdown: p.slowdown(j, s.ID, wire.BootTime()),
	}
	if j.zones != nil {
		c.AwayMs = j.zones.verdict(s.Zone, j.zones.usual).WayMs
	}
	if j.Prompt == nil {
		return c
	}
	version := s.Versions[j.Prompt.Model]
	age, outdated := p.weights.OutdatedFor(j.Prompt.Model, version)
	c.Stale = outdated && age > staleWeightsGrace
	namespace := p.planner.Namespace(j.Prompt.Model, version, j.account, j.allowed)
	cached, ok := lookups[namespace]
	if !ok {
		cached = p.planner.Lookup(j.Prompt, namespace)
		lookups[namespace] = cached
	}
	c.Resident, c.Stored, c.FetchMs = cached.Estimate(*s.Target)
	if e := j.service.Engine; e != nil {
		c.Room = e.CapacityTokens
	}
	return c
}

// outdated reports whether the weights of an engine are too old for a new request.
func (p *Proxy) outdated(j *job, s fleet.Status) bool {
	limit := p.staleLimits.Load().Send
	if j.Prompt == nil || limit <= 0 {
		return false
	}
	age, outdated := p.weights.OutdatedFor(j.Prompt.Model, s.Versions[j.Prompt.Model])
	return outdated && age > limit
}

// promptWork returns the work that a prompt asks of an engine. The affinity key is
// the ID of the last shared part.
func promptWork(p *Prompt) place.Work {
	w := place.Work{}
	shared := p.Shared()
	for _, s := range shared {
		w.Shared += s.Tokens
	}
	w.Own = max(p.InputTokens-w.Shared, 0)
	if len(shared) > 0 {
		w.Subject = shared[len(shared)-1].ID
	} else if len(p.Parts) > 0 {
		w.Subject = p.Parts[0].ID
	}
	return w
}

// sharedPartIDs returns the IDs of the parts of a prompt that other requests may have
// in common; none without a prompt.
func sharedPartIDs(p *Prompt) []string {
	if p == nil {
		return nil
	}
	ids := make([]string, 0, len(p.Parts))
	for _, part := range p.Shared() {
		ids = append(ids, part.ID)
	}
	return ids
}

// logPlacement logs what the placement knew about the chosen target.
func (p *Proxy) logPlacement(j *job, c reservation, k place.Candidate, candidates int) {
	if !p.log.Core().Enabled(zap.InfoLevel) {
		return
	}
	fields := append(
		c.measure.fields(j.costs),
		zap.String("target", c.ID), zap.String("software", c.Software), zap.Int64("born", c.StartedAtMs), zap.Int("of", candidates), zap.Int("attempt", j.deliveries+1),
		zap.Int("calls", k.Calls), zap.Int("tokens", k.Tokens), zap.Int("unread", k.Unread), zap.Float64("fetching", k.FetchingMs), zap.Float64("fetchms", k.FetchMs), zap.Float64("risk", k.Risk),
		zap.Uint64("site", j.config.Version), zap.Int64("left", (j.deadline-wire.BootTime()).Milliseconds()),
	)
	if j.route.Kind == opconf.Streaming {
		fields = append(fields, zap.String("software", c.Software), zap.String("resumes", j.Resumes), zap.String("lastevent", j.order.lastID()))
	}
	if j.allowed.Restricted {
		fields = append(fields, zap.Strings("regions", j.allowed.Names))
	}
	if j.zones != nil {
		v := j.zones.verdict(c.Zone, j.zones.usual)
		fields = append(fields, zap.String("zone", c.Zone), zap.String("zonereason", string(v.Reason)), zap.Float64("zoneshare", v.Share), zap.Float64("gain", v.GainMs), zap.Float64("way", v.WayMs))
	}
	if c.Tunneled {
		fields = append(fields, zap.Bool("tunneled", true))
	}
	if c.RateLimit != fleet.Unlimited {
		fields = append(fields, zap.Float64("limit", c.RateLimit), zap.Bool("cold", c.Cold))
	}
	if c.plan != nil {
		w := promptWork(j.Prompt)
		fields = append(
			fields, zap.String("subject", w.Subject), zap.Int("shared", w.Shared), zap.Int("weights", c.plan.Version), zap.Int("resident", k.Resident),
			zap.Int("stored", k.Stored), zap.Strings("fetch", c.plan.Fetch), zap.Strings("save", c.plan.Save),
			zap.Any("again", c.plan.Recomputed),
		)
	}
	j.log.Info("target chosen", fields...)
}

// hashParts returns a hash for each shared part of a prompt. Parts are the same in the
// prompts of all accounts.
func hashParts(prompt *Prompt) []crash.Fingerprint {
	ids := sharedPartIDs(prompt)
	hashes := make([]crash.Fingerprint, 0, len(ids))
	for _, id := range ids[:min(len(ids), crash.MaxParts)] {
		hashes = append(hashes, crash.NewPartFingerprint(prompt.Model, id))
	}
	return hashes
}

// hashRequest returns a hash that is equal for equal requests of one account.
func hashRequest(j *job) crash.Fingerprint {
	h := blake3.New()
	name := ""
	if j.account != nil {
		name = j.account.Name
	}
	for _, s := range []string{name, j.Method, strings.ToLower(j.Host), j.URL.RequestURI()} {
		_, _ = h.WriteString(s) // a hash never returns a write error
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(j.Body)
	return crash.Fingerprint(h.Sum(nil)[:16])
}
