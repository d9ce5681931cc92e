package proxy

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/place"
	"sesamehill.example/sesamehill/internal/speed"
	"sesamehill.example/sesamehill/internal/wire"
)

// measure is what an attempt was expected to wait for when it was sent, so that its duration
// shows the speed of its target.
type measure struct {
	// tokens is what the engine had to prefill before the first event; zero if the attempt
	// also waited for a slot. fetch is the expected time of the fetches before it.
	tokens int
	fetch  time.Duration
	// queued is the number of calls that had to end before the attempt began.
	queued int
	// speed is how the target differed from the others.
	speed speed.Target
}

// newMeasure returns the measure of an attempt at a candidate that has to prefill tokens.
func (p *Proxy) newMeasure(j *job, c place.Candidate, prefill int) measure {
	m := measure{queued: max(c.Calls+1-c.Slots, 0), speed: p.speeds.Target(j.service.Name, c.ID, wire.BootTime())}
	if c.Slots <= 0 {
		m.queued = 0
	}
	if m.queued == 0 {
		m.tokens = c.Unread + prefill
	}
	fetchMs := c.FetchingMs
	if c.Stored > c.Resident {
		fetchMs += c.FetchMs
	}
	m.fetch = time.Duration(fetchMs * float64(time.Millisecond))
	return m
}

// costsOf returns the cost model for requests to the service of a job.
func (p *Proxy) costsOf(j *job) place.Costs {
	s := p.speeds.Service(j.service.Name, wire.BootTime())
	if j.Prompt != nil {
		j.Prompt.PrefillMs = s.PrefillMs
	}
	return p.costs.For(p.hosts()).WithSpeed(s.PrefillMs, s.PlainMs)
}

// recordFirstEvent records the time to the first event of an attempt.
func (p *Proxy) recordFirstEvent(j *job, c reservation) {
	if c.measure.tokens > 0 {
		now := wire.BootTime()
		p.speeds.RecordPrefill(speed.Prefill{Service: j.service.Name, Target: c.ID, Tokens: c.measure.tokens, Took: max(now-c.sent-c.measure.fetch, 0)}, now)
	}
}

// recordPlain records the time of an attempt without a prompt that was answered. An error may
// have taken no work.
func (p *Proxy) recordPlain(j *job, c reservation, status int) {
	if j.Prompt == nil && status < http.StatusBadRequest {
		now := wire.BootTime()
		p.speeds.RecordPlain(speed.Plain{Service: j.service.Name, Target: c.ID, Queued: c.measure.queued, Took: now - c.sent}, now)
	}
}

// fields returns the fields of log lines on the speed by which a target was chosen.
func (m measure) fields(k place.Costs) []zap.Field {
	fields := []zap.Field{zap.Float64("prefillms", k.PrefillMs)}
	if m.speed.Age > 0 {
		fields = append(fields, zap.Float64("slow", m.speed.Slowdown), zap.Float64("slowlong", m.speed.Long), zap.Int64("speedage", m.speed.Age.Milliseconds()))
	}
	return fields
}

// slowdown returns how long work takes at a target, in multiples of the usual time.
func (p *Proxy) slowdown(j *job, id string, now time.Duration) float64 {
	return p.speeds.Target(j.service.Name, id, now).Slowdown
}
