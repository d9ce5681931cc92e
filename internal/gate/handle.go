package gate

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/bound"
	"sesamehill.example/sesamehill/internal/place"
	"sesamehill.example/sesamehill/internal/poison"
	"sesamehill.example/sesamehill/internal/site"
	"sesamehill.example/sesamehill/internal/wire"
)

const (
	// defaultWait bounds a request whose caller states no deadline on a route
	// without a timeout.
	defaultWait = 30 * time.Second
	// maxArrivals bounds the targets that one request reaches, run or not; a host
	// whose beliefs are old would otherwise ask every target.
	maxArrivals = 4
	// defaultBody bounds a caller's body where the site does not, defaultHeld what is
	// held of all requests and answers where no pool is set.
	defaultBody = 16 << 20
	defaultHeld = 64 << 20
	// fullFor is after how long a caller comes back to a host that holds too much.
	fullFor = time.Second
	// answerMargin is kept back from a request's time for its way to the caller.
	answerMargin = 20 * time.Millisecond
)

// errTimeout ends the context of a request.
var errTimeout = errors.New("the time of the request has passed")

// job is a request on its way.
type job struct {
	*Call
	site    *site.Site
	route   *site.Route
	account *site.Account
	service *site.Service
	// end is the boot time at which the request gets its final answer.
	end   time.Duration
	print poison.Print
	log   *zap.Logger
	// held is the body in the pool.
	held *bound.Held

	w http.ResponseWriter
	// tried holds the targets that failed or refused.
	tried map[string]bool
	// attempts counts the sends that may have run, arrivals all that reached a
	// target.
	attempts, arrivals int
	// begun is set once the caller has the head of an answer.
	begun bool
	last  string
	// waited is the time spent without room, first the time to the first event.
	waited, first time.Duration
	// costs weigh the targets; they depend on the number of hosts.
	costs place.Weights
	// waiting is the boot time since which the request has waited; zero if it has
	// not been without room.
	waiting time.Duration
	// heard is the boot time of the last event of the attempt under way.
	heard atomic.Int64
}

// ServeHTTP serves a caller's request.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := wire.Boot()
	if g.ending.Load() {
		w.Header().Set("Connection", "close")
	}
	call, err := g.codec.ReadCall(r)
	if err != nil {
		g.deny(w, nil, http.StatusBadRequest, err.Error())
		return
	}
	call.Arrived = arrived
	j := &job{Call: &call, w: w, tried: map[string]bool{}}
	j.log = g.log.With(zap.String("request", call.ID))
	if !g.admit(j, r) {
		return
	}
	defer j.held.Release()
	ctx, cancel := context.WithTimeoutCause(r.Context(), j.end-wire.Boot(), errTimeout)
	defer cancel()
	g.serve(ctx, j)
}

// admit finds the route and the account of a request and reads its body. It
// answers the request itself if it returns false.
func (g *Gate) admit(j *job, r *http.Request) bool {
	j.site = g.site.Load()
	if j.site == nil {
		g.refuse(j, "no site is known yet", time.Second)
		return false
	}
	route, ok := j.site.Match(r.Host, r.URL.Path)
	if !ok {
		g.deny(j.w, j, http.StatusNotFound, "no route leads there")
		return false
	}
	j.route = route
	if !route.Public && len(j.site.Accounts) > 0 {
		if j.account, ok = j.site.Account(j.Key); !ok {
			g.deny(j.w, j, http.StatusUnauthorized, "the key is unknown")
			return false
		}
	}
	if j.service, ok = j.site.Service(route.Pick(draw())); !ok {
		g.refuse(j, "the route's service is not described", time.Second)
		return false
	}
	if !g.readBody(j, r) {
		return false
	}
	j.setEnd()
	j.print = fingerprint(j)
	return true
}

// setEnd sets the time of the final answer from the route and the caller.
func (j *job) setEnd() {
	wait := j.route.Timeout
	if wait <= 0 {
		wait = defaultWait
	}
	if j.Wait > 0 {
		wait = min(wait, j.Wait)
	}
	j.end = j.Arrived + wait - answerMargin
}

// priority returns the rank of a request; 0 is the most urgent.
func (j *job) priority() int {
	if j.account != nil && j.account.HasPriority {
		return j.account.Priority
	}
	return j.route.Priority
}

// readBody reads a request's body. It answers the request itself if it returns
// false.
func (g *Gate) readBody(j *job, r *http.Request) bool {
	if r.Body == nil {
		r.Body = http.NoBody
	}
	limit := j.site.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBody
	}
	held, err := g.pool.Read(r.Body, limit)
	var over *bound.LimitError
	switch {
	case err == nil:
		j.held, j.Body = held, held.Bytes
		return true
	case errors.As(err, &over) && over.Total:
		j.w.Header().Set("Connection", "close") // the rest of the body is not read
		g.refuse(j, err.Error(), fullFor)
	case errors.As(err, &over):
		g.deny(j.w, j, http.StatusRequestEntityTooLarge, "the body is too large")
	default:
		j.log.Info("left", zap.String("reason", "the body broke off"), zap.Error(err))
		panic(http.ErrAbortHandler)
	}
	return false
}

// serve tries targets until the request has its final answer.
func (g *Gate) serve(ctx context.Context, j *job) {
	g.Metrics.Count("requests")
	g.window(j.service.Name).Request(wire.Boot())
	if refuse, ok := g.poison.Admit(j.print, time.Now()).(poison.Refuse); ok {
		g.refuse(j, "earlier runs of this request crashed their targets", refuse.Retry)
		return
	}
	for {
		if j.arrivals >= maxArrivals {
			g.exhausted(j, "too many targets did not run it")
			return
		}
		if j.arrivals > 0 && !g.window(j.service.Name).Repeat(wire.Boot(), g.hosts()) {
			g.exhausted(j, "the share of repeats is used up")
			return
		}
		switch v := g.acquire(ctx, j).(type) {
		case unplaced:
			g.exhausted(j, "no target is left")
			return
		case expired:
			g.waitedOut(ctx, j, v.waited)
			return
		case granted:
			out := g.attempt(ctx, j, v.choice)
			if _, again := out.(again); !again {
				g.finish(ctx, j, out)
				return
			}
		}
	}
}

// waitedOut ends a request that found no room in time.
func (g *Gate) waitedOut(ctx context.Context, j *job, waited time.Duration) {
	if ctx.Err() != nil {
		g.timedOut(ctx, j, context.Cause(ctx))
		return
	}
	g.exhausted(j, "no target had room for "+waited.Round(time.Millisecond).String())
}

// exhausted ends a request for which no further attempt is possible.
func (g *Gate) exhausted(j *job, reason string) {
	switch {
	case j.begun:
		g.cut(j, reason)
	case j.attempts > 0:
		g.fail(j, http.StatusBadGateway, reason)
	default:
		g.refuse(j, reason, g.comeBack(j))
	}
}
