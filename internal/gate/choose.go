package gate

import (
	"strings"
	"time"

	"github.com/zeebo/blake3"
	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/place"
	"sesamehill.example/sesamehill/internal/poison"
	"sesamehill.example/sesamehill/internal/wire"
)

// staleGrace is how long after new weights were named answers on older ones keep
// their full worth, less the time to begin.
const staleGrace = 1200 * time.Millisecond

// choice is a reserved target.
type choice struct {
	fleet.Status
	state   *State
	attempt *fleet.Attempt
	// sent is the boot time of the reservation.
	sent time.Duration
}

// reserve notes an attempt at a target and decides how it uses kept state.
func (g *Gate) reserve(j *job, s fleet.Status, c place.Candidate, of int) choice {
	out := choice{Status: s, sent: wire.Boot()}
	need := fleet.Flight{}
	if j.Prompt != nil {
		version := s.Versions[j.Prompt.Model]
		scope := g.keeper.Scope(j.Prompt.Model, version, j.account)
		out.state = g.keeper.Plan(j.Prompt, scope, version, *s.Target)
		w := work(j.Prompt)
		need.Tokens = w.Shared + w.Own + j.Prompt.Out
		need.Unread = w.Own + w.Shared - min(max(c.Resident, c.Stored), w.Shared)
		if c.Stored > c.Resident {
			// The fetch keeps the engine's link for as long as this number of tokens from
			// a near store with a wide link does.
			need.Fetching = int(c.FetchMs / g.keeper.FetchMs(1))
		}
	}
	if out.state != nil {
		for cause, tokens := range out.state.Again {
			g.Metrics.Counters.Add("read "+string(cause), int64(tokens))
		}
	}
	out.attempt = g.fleet.Begin(s.ID, need)
	g.logPlaced(j, out, c, of)
	return out
}

func (g *Gate) best(j *job, cs []place.Candidate) place.Choice {
	if j.Prompt == nil {
		return place.Plain(cs, j.costs)
	}
	w := work(j.Prompt)
	if j.waiting > 0 {
		w.WaitedMs = float64(wire.Boot()-j.waiting) / float64(time.Millisecond)
	}
	return g.rule.Load().Prompt(w, cs, j.costs)
}

func (g *Gate) candidate(j *job, s fleet.Status, look map[string]Holdings) place.Candidate {
	all := s.Flight.Add(s.Others)
	c := place.Candidate{
		ID: s.ID, Distance: g.distance(s.Zone), Calls: all.Calls, Slots: s.Slots, Tokens: all.Tokens,
		Unread: all.Unread, FetchingMs: g.keeper.FetchMs(all.Fetching), Risk: s.Risk, Down: s.Down,
	}
	if j.Prompt == nil {
		return c
	}
	version := s.Versions[j.Prompt.Model]
	since, behind := g.weights.Behind(j.Prompt.Model, version)
	c.Stale = behind && since > staleGrace
	scope := g.keeper.Scope(j.Prompt.Model, version, j.account)
	known, ok := look[scope]
	if !ok {
		known = g.keeper.Look(j.Prompt, scope)
		look[scope] = known
	}
	c.Resident, c.Stored, c.FetchMs = known.Weigh(*s.Target)
	if e := j.service.Engine; e != nil {
		c.Room = e.Tokens
	}
	return c
}

// outdated reports whether an engine's weights are too old to begin a request.
func (g *Gate) outdated(j *job, s fleet.Status) bool {
	limit := time.Duration(g.staleLimit.Load())
	if j.Prompt == nil || limit <= 0 {
		return false
	}
	since, behind := g.weights.Behind(j.Prompt.Model, s.Versions[j.Prompt.Model])
	return behind && since > limit
}

// work sums up a prompt. The subject is the last part that others share.
func work(p *Prompt) place.Work {
	w := place.Work{}
	shared := p.Shared()
	for _, s := range shared {
		w.Shared += s.Tokens
	}
	w.Own = max(p.In-w.Shared, 0)
	if len(shared) > 0 {
		w.Subject = shared[len(shared)-1].ID
	} else if len(p.Parts) > 0 {
		w.Subject = p.Parts[0].ID
	}
	return w
}

func (g *Gate) logPlaced(j *job, c choice, k place.Candidate, n int) {
	if !g.log.Core().Enabled(zap.InfoLevel) {
		return
	}
	fields := []zap.Field{
		zap.String("target", c.ID), zap.Int("of", n), zap.Int("attempt", j.arrivals+1),
		zap.Int("calls", k.Calls), zap.Int("tokens", k.Tokens), zap.Int("unread", k.Unread), zap.Float64("fetching", k.FetchingMs), zap.Float64("fetchms", k.FetchMs), zap.Float64("risk", k.Risk),
		zap.Uint64("site", j.site.Version), zap.Int64("left", (j.end - wire.Boot()).Milliseconds()),
	}
	if c.state != nil {
		w := work(j.Prompt)
		fields = append(
			fields, zap.String("subject", w.Subject), zap.Int("shared", w.Shared), zap.Int("weights", c.state.Version), zap.Int("resident", k.Resident),
			zap.Int("stored", k.Stored), zap.Strings("fetch", c.state.Fetch), zap.Strings("save", c.state.Save),
			zap.Any("again", c.state.Again),
		)
	}
	j.log.Info("placed", fields...)
}

// fingerprint identifies equal requests of one account.
func fingerprint(j *job) poison.Print {
	h := blake3.New()
	name := ""
	if j.account != nil {
		name = j.account.Name
	}
	for _, s := range []string{name, j.Method, strings.ToLower(j.Host), j.URL.RequestURI()} {
		_, _ = h.WriteString(s) // a hash takes every write
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(j.Body)
	return poison.Print(h.Sum(nil)[:16])
}
