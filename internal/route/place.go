package route

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"sesamehill.example/sesamehill/pkg/config"
)

// StaleAfter is the age at which a report stops telling the load; five of the
// observers' polling intervals fit in it.
const StaleAfter = 5 * time.Second

const (
	// bytesPerMB and tokensPerUnit are the units of config.Weights.
	bytesPerMB    = 1e6
	tokensPerUnit = 1000
	// fallbackRate is the tokens a second of an engine when no candidate reports
	// a rate; it cancels out of the comparison.
	fallbackRate = 5000
	// nearShare and nearSeconds bound near-equal costs. The report lag lets a
	// queue move by more than this before the dispatch arrives.
	nearShare   = 0.05
	nearSeconds = 0.025
	// noSource is the source of a score without an import.
	noSource = -1
	// noTargetAfter is the time to come back when no engine serves the model; a
	// new engine shows up in the load digests within it.
	noTargetAfter = 3 * time.Second
	// scoreRoom keeps the scores of usual candidate lists off the heap.
	scoreRoom = 128
	// unknownWait is added to the longest fresh queue for an engine of unknown
	// load.
	unknownWait = 1.0
)

// Place decides where the request runs. The random source breaks ties and
// spreads the times to come back.
func Place(
	q Request, engines []Candidate, peers []Peer, w config.Weights, now time.Time, r *rand.Rand,
) Decision {
	p := newPlacer(&q, engines, w, now)
	var room [scoreRoom]score
	scores := room[:0]
	for i := range engines {
		if s, ok := p.engine(&engines[i]); ok {
			s.index = i
			scores = append(scores, s)
		}
	}
	local, found := choose(scores, p.band, r)
	if !q.Local {
		scores = scores[:0]
		for i := range peers {
			if s, ok := p.peer(&peers[i]); ok {
				s.index = i
				scores = append(scores, s)
			}
		}
		remote, ok := choose(scores, p.band, r)
		// The summary of another region is older than local reports, so a
		// handover has to win by more than a near-tie.
		if ok && (!found || p.band(remote.cost) < local.cost) {
			peer := &peers[remote.index]
			return Handover{Host: peer.Host, Region: peer.Region, Estimate: remote.estimate()}
		}
	}
	if !found {
		return p.refuse(r)
	}
	return local.decide(&engines[local.index])
}

// option is what all ways to run on one engine share: the queue in seconds, the
// part of it that is known, the prefill rate and the resident pieces.
type option struct {
	queue float64
	known float64
	rate  float64
	from  int
}

type placer struct {
	q   *Request
	w   config.Weights
	now time.Time
	// engines are all candidates; worst is the longest queue in seconds among
	// the eligible ones with a fresh report, or negative before it is needed.
	engines []Candidate
	worst   float64
	// slowest is the lowest prefill rate that is known.
	slowest float64
	// wait and left are the request's limits in seconds.
	wait float64
	left float64
	// late is the shortest time in seconds by which an option missed a limit.
	late float64
}

type score struct {
	index      int
	source     int
	from, to   int
	cost       float64
	first      float64
	recomputed int
	paid       int64
	stale      bool
}

func newPlacer(q *Request, engines []Candidate, w config.Weights, now time.Time) *placer {
	p := &placer{
		q: q, w: w, now: now, engines: engines, worst: -1, slowest: math.Inf(1),
		wait: math.Inf(1), left: math.Inf(1), late: math.Inf(1),
	}
	if q.Wait > 0 {
		p.wait = q.Wait.Seconds()
	}
	if !q.Deadline.IsZero() {
		p.left = q.Deadline.Sub(now).Seconds()
	}
	for i := range engines {
		if v := engines[i].Prefill; v > 0 {
			p.slowest = min(p.slowest, v)
		}
	}
	if math.IsInf(p.slowest, 1) {
		p.slowest = fallbackRate
	}
	return p
}

// choose returns the cheaper of two random scores that are near-equal to the
// best and recompute no more. An engine of unknown load takes part only if the
// best is one.
func choose(scores []score, band func(float64) float64, r *rand.Rand) (score, bool) {
	if len(scores) == 0 {
		return score{}, false
	}
	best := &scores[0]
	for i := range scores {
		if s := &scores[i]; s.cost < best.cost || (s.cost == best.cost && best.stale && !s.stale) {
			best = s
		}
	}
	limit, most, stale := band(best.cost), best.recomputed, best.stale
	near := 0
	for i := range scores {
		s := &scores[i]
		if s.cost <= limit && s.recomputed <= most && (stale || !s.stale) {
			scores[near], scores[i] = scores[i], scores[near]
			near++
		}
	}
	if near == 1 {
		return scores[0], true
	}
	i, j := r.IntN(near), r.IntN(near-1)
	if j >= i {
		j++
	}
	if scores[j].cost < scores[i].cost {
		i = j
	}
	return scores[i], true
}

func usable(l Link) bool { return l.Rate > 0 }

// transfer returns the seconds that bytes take behind the link's queue.
func transfer(l *Link, bytes int64) float64 {
	return float64(l.Delay)/float64(time.Second) + float64(l.Queued+bytes)/l.Rate
}

func (p *placer) band(cost float64) float64 {
	return cost + nearShare*math.Abs(cost) + nearSeconds*p.w.FirstToken
}

// cost sets the cost of a score from its parts.
func (p *placer) cost(s *score) {
	s.cost = s.first*p.w.FirstToken +
		float64(s.recomputed)/tokensPerUnit*p.w.Recompute +
		float64(s.paid)/bytesPerMB*p.w.LinkTraffic
}

func (p *placer) eligible(c *Candidate) bool {
	if c.Leaving || slices.Contains(p.q.Excluded, c.Target) {
		return false
	}
	for i := range c.Loaded {
		l := &c.Loaded[i]
		if l.Model == p.q.Model && l.Version == p.q.Version &&
			(p.q.Adapter == "" || slices.Contains(l.Adapters, p.q.Adapter)) {
			return true
		}
	}
	return false
}

// engine returns the cheapest way to run on c. The cost is linear in the number
// of imported pieces, so either all or none of a source's pieces are best unless
// a limit of the request rules one of these out.
func (p *placer) engine(c *Candidate) (score, bool) {
	if !p.eligible(c) {
		return score{}, false
	}
	e := option{queue: p.queue(c), rate: p.rate(c.Prefill), from: p.pieces(c.Resident)}
	e.known = e.queue
	stale := p.stale(c.Reported)
	if stale {
		// Only the caller's own dispatches are certain; limits apply to these.
		e.known = float64(c.SentTokens) / e.rate
		e.queue = max(e.queue, p.longest()) + unknownWait
	}
	var best, s score
	bare := p.without(&e, &best)
	found := bare
	for i := range c.Sources {
		src := &c.Sources[i]
		end := p.pieces(src.End)
		if !usable(src.Link) || src.First > c.Resident {
			continue
		}
		for n := end; n > e.from && e.known <= p.wait; n-- {
			ok := p.imported(&e, src, n, &s)
			if ok && (!found || s.cost < best.cost) {
				best, found = s, true
				best.source = i
			}
			if ok && n == end && bare {
				break
			}
		}
	}
	best.stale = stale
	return best, found
}

// imported scores a run after an import of the pieces up to n.
func (p *placer) imported(e *option, src *Source, n int, s *score) bool {
	bytes := int64(n-e.from) * p.q.Block
	*s = score{from: e.from, to: n, recomputed: p.q.Tokens - n*p.q.Piece}
	if src.Reach == OverLink {
		s.paid = bytes
	}
	wait := transfer(&src.Link, bytes)
	prefill := float64(s.recomputed) / e.rate
	s.first = e.queue + wait + prefill
	p.cost(s)
	return p.timely(e.known+wait, prefill)
}

// longest returns the longest queue that a fresh report tells.
func (p *placer) longest() float64 {
	if p.worst < 0 {
		p.worst = 0
		for i := range p.engines {
			if c := &p.engines[i]; !p.stale(c.Reported) && p.eligible(c) {
				p.worst = max(p.worst, p.queue(c))
			}
		}
	}
	return p.worst
}

func (p *placer) peer(h *Peer) (score, bool) {
	if h.Leaving || p.stale(h.Reported) || !usable(h.Link) || slices.Contains(p.q.Excluded, h.Host) {
		return score{}, false
	}
	matched := p.pieces(h.Matched)
	s := score{recomputed: p.q.Tokens - matched*p.q.Piece, paid: p.q.Text + p.q.Reply}
	// The request crosses the link behind its queue; the first token returns
	// after one more delay.
	wait := h.Wait.Seconds() + transfer(&h.Link, p.q.Text) + h.Link.Delay.Seconds()
	// Without the import, a false positive in the peer's filter of first keys
	// would draw requests away from state that is at hand.
	if matched > 0 && usable(h.Import) {
		wait += transfer(&h.Import, int64(matched)*p.q.Block)
	}
	prefill := float64(s.recomputed) / p.rate(h.Prefill)
	s.first = wait + prefill
	p.cost(&s)
	return s, p.timely(wait, prefill)
}

// pieces bounds a number of leading pieces by the whole pieces of the prompt.
func (p *placer) pieces(n int) int {
	if p.q.Piece <= 0 {
		return 0
	}
	return max(0, min(n, p.q.Tokens/p.q.Piece))
}

// queue returns the seconds until c would start the prefill: the prompt tokens
// in front, and one decoding step of every run.
func (p *placer) queue(c *Candidate) float64 {
	s := float64(c.Tokens+c.SentTokens) / p.rate(c.Prefill)
	if c.Decode > 0 {
		s += float64(c.Running+c.Waiting+c.Sent) / c.Decode
	}
	return s
}

// rate replaces an unknown prefill rate by the slowest known one.
func (p *placer) rate(v float64) float64 {
	if v > 0 {
		return v
	}
	return p.slowest
}

func (p *placer) refuse(r *rand.Rand) Decision {
	d := Refuse{Reason: NoTarget, After: noTargetAfter}
	if !math.IsInf(p.late, 1) {
		d = Refuse{Reason: Overloaded, After: max(time.Second, seconds(p.late))}
	}
	// Callers that were refused together must not come back together.
	d.After += time.Duration(r.Int64N(int64(d.After)/2 + 1))
	return d
}

func (p *placer) stale(at time.Time) bool { return at.IsZero() || p.now.Sub(at) > StaleAfter }

// timely reports whether the limits of the request are kept and records by how
// much they were missed.
func (p *placer) timely(wait, prefill float64) bool {
	late := max(wait-p.wait, wait+prefill-p.left)
	if late > 0 {
		p.late = min(p.late, late)
	}
	return late <= 0
}

// without scores a run that imports nothing.
func (p *placer) without(e *option, s *score) bool {
	*s = score{source: noSource, from: e.from, to: e.from, recomputed: p.q.Tokens - e.from*p.q.Piece}
	prefill := float64(s.recomputed) / e.rate
	s.first = e.queue + prefill
	p.cost(s)
	return p.timely(e.known, prefill)
}

func (s *score) decide(c *Candidate) Decision {
	switch {
	case s.source >= 0:
		return Import{
			Target: c.Target, Store: c.Sources[s.source].Store, From: s.from, To: s.to, Estimate: s.estimate(),
		}
	case s.to > 0:
		return Resident{Target: c.Target, Pieces: s.to, Estimate: s.estimate()}
	default:
		return Recompute{Target: c.Target, Estimate: s.estimate()}
	}
}

func (s *score) estimate() Estimate {
	return Estimate{Cost: s.cost, First: seconds(s.first), Recomputed: s.recomputed, Paid: s.paid}
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s*float64(time.Second), math.MaxInt64/4))
}
