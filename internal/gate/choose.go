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

// choice is a target with what was believed about it.
type choice struct {
	fleet.Status
	state *State
}

// choose returns the target of the next attempt.
func (g *Gate) choose(j *job) (choice, bool) {
	serving := g.fleet.Serving(j.service.Name)
	open := serving[:0]
	for _, s := range serving {
		if !j.tried[s.ID] && !g.weights.Loading(s.ID) && !g.outdated(j, s) {
			open = append(open, s)
		}
	}
	if len(open) == 0 {
		return choice{}, false
	}
	cs := make([]place.Candidate, len(open))
	for i, s := range open {
		cs[i] = g.candidate(j, s)
	}
	i, ok := g.best(j, cs)
	if !ok {
		return choice{}, false
	}
	c := choice{Status: open[i]}
	if j.Prompt != nil {
		version := c.Versions[j.Prompt.Model]
		scope := g.keeper.Scope(j.Prompt.Model, version, j.account)
		c.state = g.keeper.Plan(j.Prompt, scope, version, c.Target)
	}
	g.logPlaced(j, c, cs[i], len(cs))
	return c, true
}

func (g *Gate) best(j *job, cs []place.Candidate) (int, bool) {
	if j.Prompt == nil {
		return place.Plain(cs, g.costs)
	}
	return place.Prompt(work(j.Prompt), cs, g.costs)
}

func (g *Gate) candidate(j *job, s fleet.Status) place.Candidate {
	c := place.Candidate{
		ID: s.ID, Distance: g.distance(s.Zone), Calls: float64(s.Calls) + s.Others,
		Waiting: float64(s.Waiting), Slots: s.Slots, Tokens: s.Tokens, Risk: s.Risk, Down: s.Down,
	}
	if j.Prompt == nil {
		return c
	}
	version := s.Versions[j.Prompt.Model]
	named, since := g.weights.Named(j.Prompt.Model)
	c.Stale = version < named && since > staleGrace
	scope := g.keeper.Scope(j.Prompt.Model, version, j.account)
	c.Resident, c.Stored, c.FetchMs = g.keeper.Weigh(j.Prompt, scope, s.Target)
	if e := j.service.Engine; e != nil {
		c.Room = e.Tokens
	}
	return c
}

// outdated reports whether an engine's weights are too old to begin a request.
func (g *Gate) outdated(j *job, s fleet.Status) bool {
	if j.Prompt == nil || g.staleLimit <= 0 {
		return false
	}
	named, since := g.weights.Named(j.Prompt.Model)
	return s.Versions[j.Prompt.Model] < named && since > g.staleLimit
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
		zap.Float64("calls", k.Calls), zap.Float64("waiting", k.Waiting), zap.Float64("risk", k.Risk),
		zap.Uint64("site", j.site.Version), zap.Int64("left", (j.end - wire.Boot()).Milliseconds()),
	}
	if c.state != nil {
		fields = append(
			fields, zap.Int("weights", c.state.Version), zap.Int("resident", k.Resident),
			zap.Int("stored", k.Stored), zap.Strings("fetch", c.state.Fetch), zap.Strings("save", c.state.Save),
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
