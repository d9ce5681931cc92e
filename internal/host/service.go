package host

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"sesamehill.example/sesamehill/internal/entry"
	"sesamehill.example/sesamehill/internal/idem"
	"sesamehill.example/sesamehill/internal/pause"
	"sesamehill.example/sesamehill/internal/retry"
	"sesamehill.example/sesamehill/internal/table"
	"sesamehill.example/sesamehill/internal/target"
	"sesamehill.example/sesamehill/pkg/config"
)

// callRetryTimeout bounds the retries of an idempotent call of a plain service.
const callRetryTimeout = 10 * time.Second

// Call calls a plain service. A non-idempotent call runs at most once.
func (h *Host) Call(ctx context.Context, c entry.ServiceCall) (target.Answer, error) {
	f := h.document.Load()
	if f.revision == 0 {
		return target.Answer{}, notReady()
	}
	s := f.service(c.Account, c.Service)
	if s == nil {
		return target.Answer{}, entry.NotFound("", "service %q is not available to this account", c.Service)
	}
	call := target.Call{
		Attempt: newAttempt(), Account: c.Account, Method: c.Method, Path: c.Path,
		Query: c.Query, Header: c.Header, Body: c.Body,
	}
	if idempotent(s, c) {
		return h.callIdempotent(ctx, s.Name, call)
	}
	if c.Key == "" {
		return target.Answer{}, entry.Invalid("Idempotency-Key",
			"service %q is non-idempotent; send an Idempotency-Key header that is unique to this request", s.Name)
	}
	return h.callOnce(ctx, s.Name, c.Key, call)
}

// idempotent reports whether the configuration document marks a call as idempotent.
// The longest matching path prefix decides. The method is ignored, because a GET may
// change the state of a service.
func idempotent(s *config.Service, c entry.ServiceCall) bool {
	longest, result := -1, s.Idempotent
	for _, p := range s.Paths {
		if len(p.Prefix) > longest && strings.HasPrefix(c.Path, p.Prefix) {
			longest, result = len(p.Prefix), p.Idempotent
		}
	}
	return result
}

// callIdempotent makes an idempotent call, and retries it at another target if the
// retry policy allows it.
func (h *Host) callIdempotent(ctx context.Context, service string, c target.Call) (target.Answer, error) {
	h.retries.AddRequest(c.Account)
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	input := retry.Input{Idempotent: true, Deadline: time.Now().Add(callRetryTimeout)}
	var excluded []string
	for {
		m, ok := h.pickService(service, excluded)
		if !ok {
			return target.Answer{}, noService(input.BrokenAttempts > 0)
		}
		a, err := m.service.Call(ctx, c)
		if err == nil || ctx.Err() != nil {
			return a, errors.Trace(err)
		}
		h.fleet.markFailed(m.listed.Name, time.Now())
		excluded = append(excluded, m.listed.Name)
		input = input.WithOutcome(retry.Classify(err), 0)
		switch d := h.retries.Next(c.Account, input, time.Now(), random).(type) {
		case retry.Retry:
			if err := pause.For(ctx, d.Delay); err != nil {
				return target.Answer{}, err
			}
		case retry.GiveUp:
			return target.Answer{}, giveUpRefusal(d)
		case retry.Resume: // a call emits no tokens
		}
	}
}

// noService returns the refusal of a call for which no target remains.
func noService(ran bool) *entry.RefusalError {
	r := overloaded(time.Second)
	if ran {
		r.Run = entry.RanUnknown
	}
	return r
}

// callOnce makes a non-idempotent call under an idempotency record.
func (h *Host) callOnce(ctx context.Context, service, key string, c target.Call) (target.Answer, error) {
	q := idem.Request{Account: c.Account, Key: key, Fingerprint: idem.Fingerprint(c)}
	outcome, err := h.idempotency.Do(ctx, q, func(ctx context.Context) (target.Answer, error) {
		m, ok := h.pickService(service, nil)
		if !ok {
			return target.Answer{}, &target.NotRunError{Target: service, Reason: "no target of the service is live"}
		}
		a, err := m.service.Call(ctx, c)
		if err != nil {
			h.fleet.markFailed(m.listed.Name, time.Now())
		}
		return a, err
	})
	if err != nil {
		var invalid *idem.RequestError
		if errors.As(err, &invalid) {
			return target.Answer{}, entry.Invalid("Idempotency-Key", "%s", invalid.Error())
		}
		return target.Answer{}, errors.Trace(err)
	}
	switch o := outcome.(type) {
	case idem.Answered:
		return o.Answer, nil
	case idem.NotRun:
		return target.Answer{}, &entry.RefusalError{
			Status: http.StatusServiceUnavailable, Kind: entry.KindOverloaded, Run: entry.RanNo,
			Retry: o.Retry, Message: "the request was not run: " + o.Reason + "; retry with the same Idempotency-Key",
		}
	case idem.Unknown:
		return target.Answer{}, &entry.RefusalError{
			Status: http.StatusBadGateway, Kind: entry.KindBroken, Run: entry.RanUnknown,
			Message: "the outcome of the request is unknown: " + o.Reason +
				"; it is never run again under this Idempotency-Key, so check at the service",
		}
	case idem.Conflict:
		return target.Answer{}, &entry.RefusalError{
			Status: http.StatusUnprocessableEntity, Kind: entry.KindConflict, Run: entry.RanNo,
			Message: o.Reason + "; use a new Idempotency-Key for a different request",
		}
	default:
		return target.Answer{}, errors.Errorf("unexpected outcome of an idempotent request %T", outcome)
	}
}

// pickService returns the nearest available target of a service: in the zone, then
// in the region, then anywhere. It chooses randomly among equally near targets.
func (h *Host) pickService(service string, excluded []string) (targetView, bool) {
	now := time.Now()
	ms := h.fleet.list(table.Service, func(m *targetView) bool {
		return m.listed.Service == service && h.fleet.open(m, now)
	})
	best, found, ties := targetView{}, false, 0
	for _, m := range ms {
		switch d := h.distance(m.listed) - h.distance(best.listed); {
		case slices.Contains(excluded, m.listed.Name):
		case !found || d < 0:
			best, found, ties = m, true, 1
		case d == 0:
			ties++
			if rand.IntN(ties) == 0 {
				best = m
			}
		}
	}
	return best, found
}

// distance is 0 in the host's zone, 1 in its region and 2 elsewhere.
func (h *Host) distance(t table.ListedTarget) int {
	switch {
	case t.Zone == h.settings.Zone:
		return 0
	case t.Region == h.settings.Region:
		return 1
	default:
		return 2
	}
}
