package proxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"sesamehill.example/sesamehill/internal/fleet"
)

// errEndUnconfirmed says that a response which ended with its connection may lack its rest.
var errEndUnconfirmed = errors.New("the response ended with its connection, and its target did not answer as the same start afterwards")

// closeDelimited reports whether the body of a response ends with its connection, as it
// has neither a length nor chunks. A broken connection then looks like the end.
func closeDelimited(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// endConfirmed reports whether the end of a response, as received, is the end that its target
// meant. The kernel closes the connections of a killed process in order, so that a response
// which ends with its connection is whole only if its target still runs.
func (p *Proxy) endConfirmed(ctx context.Context, j *job, c reservation, resp *http.Response) bool {
	return !closeDelimited(resp) || p.stillRuns(ctx, j, c)
}

// stillRuns finds out whether the listed start of a target still runs.
func (p *Proxy) stillRuns(ctx context.Context, j *job, c reservation) bool {
	p.Metrics.Count("end check")
	if !j.statesStart() {
		return p.paths.Reach(ctx, c.Service, c.ID, c.Address) == Reachable && (!j.checksStart() || p.fleet.StartEvidence(c.ID) == fleet.StartConfirmed)
	}
	ctx, cancel := context.WithTimeout(ctx, p.endTimeout(j, c))
	defer cancel()
	return p.checkStart(ctx, j, c) == nil
}

// endTimeout returns how long a target may take to confirm the end of a response. A sound target
// may stop for a second or so; only a response that another target can go on with is not cut if it
// is given up sooner.
func (p *Proxy) endTimeout(j *job, c reservation) time.Duration {
	if j.route.Repeatable() && j.attempts < j.route.Attempts && len(p.alternativesTo(j, c)(true)) > 0 {
		return noDataLimit
	}
	return startTimeout
}

// mayLackEvents reports whether a response without events may be what is left of a stream.
// Nothing shows that for one that breaks off or that names no type.
func (j *job) mayLackEvents(r Reply, resp *http.Response) bool {
	if closeDelimited(resp) {
		return j.order.hasLast && contentType(r.Header) == eventStreamType
	}
	return !j.order.resumed || contentType(r.Header) != ""
}
