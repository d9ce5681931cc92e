package proxy

import (
	"context"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/opconf"
	"sesamehill.example/sesamehill/internal/origin"
	"sesamehill.example/sesamehill/internal/wire"
)

// Origins records which software version began each stream. A stream may go on only at that
// version.
type Origins interface {
	// Begin records that requests bring the first events of a stream, or go on with one
	// of that origin. It returns when the caller may get the events.
	Begin(ctx context.Context, o origin.Origin, requests ...string)
	// Find looks for the origin of a stream of a service, which a request began.
	Find(ctx context.Context, service, request string) OriginResult
	// Settled reports whether a version of a service may get new streams.
	Settled(service, software string) bool
}

// OriginResult is the result of a search for the origin of a stream: OriginFound or
// OriginUnknown.
type OriginResult interface{ originResult() }

// OriginFound carries the origin of a stream, which is known or the only one possible.
type OriginFound struct {
	origin.Origin
	// Evidence says what shows the origin, for the log.
	Evidence string
	// EvidenceAge is the time for which that may have been out of date, for the log: the time
	// since the list of targets was known to be current where it shows the only version.
	EvidenceAge time.Duration
}

// OriginUnknown says that no record shows which software version began the stream, and nothing
// that there is only one that can have.
type OriginUnknown struct {
	// Reason says why a missing record does not show the origin, for the log; empty if nothing is
	// known of the records.
	Reason string
}

func (OriginFound) originResult()   {}
func (OriginUnknown) originResult() {}

// binding is the software version at which a stream has to go on. The zero value binds it
// to none.
type binding struct {
	software string
	bound    bool
}

// boundElsewhere reports whether a stream may not go on at a target. A stream that an unlisted
// start began may go on at all targets of its version once that is listed.
func (p *Proxy) boundElsewhere(b binding, t *fleet.Target) bool {
	return b.bound && b.software != t.Software && p.fleet.ListedSoftware(b.software) != t.Software
}

// continues reports whether the caller already has events of the stream.
func (j *job) continues() bool {
	if j.route.Kind != opconf.Streaming {
		return false
	}
	_, err := strconv.ParseInt(j.LastEventID, 10, 64)
	return err == nil || j.Resumes != ""
}

// bindToOrigin binds a request that resumes a stream to the software version that began
// it. It returns false if that version is unknown.
func (p *Proxy) bindToOrigin(ctx context.Context, j *job) bool {
	if !j.continues() {
		return true
	}
	started := wire.BootTime()
	result := p.origins.Find(ctx, j.service.Name, j.Resumes)
	found, known := result.(OriginFound)
	if known {
		p.fleet.RecordLabel(found.Software)
		j.bindTo(found.Origin)
	}
	unknown, _ := result.(OriginUnknown)
	p.Metrics.Count("resumed")
	j.log.Info(
		"stream resumed by its caller", zap.String("resumes", j.Resumes), zap.String("lastevent", j.LastEventID), zap.String("service", j.service.Name),
		zap.Bool("known", known), zap.String("software", found.Software), zap.String("evidence", found.Evidence), zap.String("reason", unknown.Reason),
		zap.Int64("evidenceage", found.EvidenceAge.Milliseconds()), zap.Int64("took", (wire.BootTime()-started).Milliseconds()),
	)
	return known
}

// bindTo binds a request to an origin. If the route leads to the service of the origin
// too, the request goes there. Another service did not begin the stream, so that its
// versions do not matter.
func (j *job) bindTo(o origin.Origin) {
	if o.Service != j.service.Name {
		s, ok := j.config.Service(o.Service)
		if !ok || !j.route.LeadsTo(o.Service) {
			return
		}
		j.service = s
	}
	j.binding = binding{software: o.Software, bound: true}
}

// recordBegin binds a stream to the target that sends its first events, and records its
// origin before the caller gets them.
func (p *Proxy) recordBegin(ctx context.Context, j *job, c reservation) {
	if j.begun {
		return
	}
	j.begun = true
	software := c.Software
	if j.unlisted {
		software = origin.UnlistedVersion
	}
	j.binding = binding{software: software, bound: true}
	o := origin.Origin{Service: j.service.Name, Software: software}
	requests := []string{j.ID}
	if j.Resumes != "" {
		requests = append(requests, j.Resumes)
	}
	p.origins.Begin(ctx, o, requests...)
}

// beginUnlisted makes a new stream begin at a software version of its own, with which no other target
// can go on. It returns false if the stream has begun already.
func (j *job) beginUnlisted() bool {
	if j.binding.bound {
		return false
	}
	j.unlisted = true
	return true
}

// preferSettled returns the targets whose software version may get new streams; all targets
// if no such version serves.
func (p *Proxy) preferSettled(j *job, targets []fleet.Status) []fleet.Status {
	if j.route.Kind != opconf.Streaming || j.binding.bound || len(targets) == 0 {
		return targets
	}
	if sameSoftware(targets) && p.origins.Settled(j.service.Name, targets[0].Software) {
		return targets
	}
	settledVersions := map[string]bool{}
	settled := make([]fleet.Status, 0, len(targets))
	for _, s := range targets {
		ok, checked := settledVersions[s.Software]
		if !checked {
			ok = p.origins.Settled(j.service.Name, s.Software)
			settledVersions[s.Software] = ok
		}
		if ok {
			settled = append(settled, s)
		}
	}
	if len(settled) == 0 && !p.servesSettled(j) {
		return targets
	}
	return settled
}

// servesSettled reports whether a software version that may get new streams serves where the
// request may be served, whether or not its targets can take a request now.
func (p *Proxy) servesSettled(j *job) bool {
	service := j.service.Name
	return slices.ContainsFunc(p.fleet.Serving(service), func(s fleet.Status) bool {
		return p.mayServe(j, s) && p.origins.Settled(service, s.Software)
	})
}

// sameSoftware reports whether all targets have one software version, as on most days.
func sameSoftware(targets []fleet.Status) bool {
	for _, s := range targets {
		if s.Software != targets[0].Software {
			return false
		}
	}
	return true
}

// noOrigins is an Origins for services with one software version.
type noOrigins struct{}

func (noOrigins) Begin(context.Context, origin.Origin, ...string) {}
func (noOrigins) Find(_ context.Context, service, _ string) OriginResult {
	return OriginFound{Origin: origin.Origin{Service: service}}
}
func (noOrigins) Settled(string, string) bool { return true }
