package route

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"sesamehill.example/sesamehill/pkg/config"
)

// StaleAfter is the age above which a load report no longer counts as the load of
// an engine. It is five times the polling interval of the observer hosts.
const StaleAfter = 5 * time.Second

const (
	// bytesPerTrafficUnit and tokensPerRecomputeUnit are the units of config.Weights.
	bytesPerTrafficUnit    = 1e6
	tokensPerRecomputeUnit = 1000
	// fallbackTokensPerSecond is the prefill rate of an engine when no
	// candidate reports one. It is the same for all, so it cancels out of the
	// comparison.
	fallbackTokensPerSecond = 5000
	// nearEqualRatio and nearEqualSeconds bound the difference between near-equal
	// costs. Because reports lag, a queue changes by more than this before the
	// dispatch arrives.
	nearEqualRatio   = 0.05
	nearEqualSeconds = 0.025
	// noSource is the source of a score without an import.
	noSource = -1
	// noTargetRetryAfter is the shortest retry delay when no engine serves the
	// model. A new engine appears in the load summaries within this time.
	noTargetRetryAfter = 3 * time.Second
	// scoreBufferLen lets the scores of typical candidate lists stay on the stack.
	scoreBufferLen = 128
	// unknownLoadSeconds is added to the longest queue in a fresh report to
	// estimate the queue of an engine whose load is unknown.
	unknownLoadSeconds = 1.0
)

// Place decides where the request runs. The random source breaks ties and
// spreads the retry delays.
func Place(
	q Request, engines []Candidate, peers []Peer, w config.Weights, now time.Time, r *rand.Rand,
) Decision {
	p := newPlacer(&q, engines, w, now)
	var buffer [scoreBufferLen]score
	scores := buffer[:0]
	for i := range engines {
		if s, ok := p.scoreEngine(&engines[i]); ok {
			s.index = i
			scores = append(scores, s)
		}
	}
	local, found := choose(scores, p.nearEqualLimit, r)
	if !q.NoForward {
		scores = scores[:0]
		for i := range peers {
			if s, ok := p.scorePeer(&peers[i]); ok {
				s.index = i
				scores = append(scores, s)
			}
		}
		remote, ok := choose(scores, p.nearEqualLimit, r)
		// The summary of another region is older than local reports, so a
		// forwarding must be cheaper by more than a near-equal cost.
		if ok && (!found || p.nearEqualLimit(remote.cost) < local.cost) {
			peer := &peers[remote.index]
			return Forward{Host: peer.Host, Region: peer.Region, Estimate: remote.estimate()}
		}
	}
	if !found {
		return p.refuse(r)
	}
	return local.decide(&engines[local.index])
}

// engineState holds the values that all ways to run on one engine share.
// knownQueueSeconds is the part of the queue that is certain even if the load
// report is stale.
type engineState struct {
	queueSeconds      float64
	knownQueueSeconds float64
	prefillRate       float64
	residentBlocks    int
}

type placer struct {
	request *Request
	weights config.Weights
	now     time.Time
	// engines are all candidates; longestFreshQueue is the longest queue in
	// seconds among the eligible ones with a fresh report, or negative until
	// longestQueue has computed it.
	engines           []Candidate
	longestFreshQueue float64
	// slowestPrefill is the lowest prefill rate that a candidate reports.
	slowestPrefill float64
	// maxWaitSeconds and deadlineSeconds are the request's limits in seconds.
	maxWaitSeconds  float64
	deadlineSeconds float64
	// smallestExcess is the smallest time in seconds by which a way to run
	// the request exceeds a limit of the request.
	smallestExcess float64
}

type score struct {
	index             int
	source            int
	from, to          int
	cost              float64
	firstTokenSeconds float64
	recomputed        int
	linkBytes         int64
	stale             bool
}

func newPlacer(q *Request, engines []Candidate, w config.Weights, now time.Time) *placer {
	p := &placer{
		request: q, weights: w, now: now, engines: engines, longestFreshQueue: -1, slowestPrefill: math.Inf(1),
		maxWaitSeconds: math.Inf(1), deadlineSeconds: math.Inf(1), smallestExcess: math.Inf(1),
	}
	if q.MaxWait > 0 {
		p.maxWaitSeconds = q.MaxWait.Seconds()
	}
	if !q.Deadline.IsZero() {
		p.deadlineSeconds = q.Deadline.Sub(now).Seconds()
	}
	for i := range engines {
		if v := engines[i].Prefill; v > 0 {
			p.slowestPrefill = min(p.slowestPrefill, v)
		}
	}
	if math.IsInf(p.slowestPrefill, 1) {
		p.slowestPrefill = fallbackTokensPerSecond
	}
	return p
}

// choose returns the cheaper of two random scores that are near-equal to the
// best and recompute no more tokens than it. Engines with a stale report are
// considered only if the best score has one too.
func choose(scores []score, nearEqualLimit func(float64) float64, r *rand.Rand) (score, bool) {
	if len(scores) == 0 {
		return score{}, false
	}
	best := &scores[0]
	for i := range scores {
		if s := &scores[i]; s.cost < best.cost || (s.cost == best.cost && best.stale && !s.stale) {
			best = s
		}
	}
	limit, maxRecomputed, stale := nearEqualLimit(best.cost), best.recomputed, best.stale
	near := 0
	for i := range scores {
		s := &scores[i]
		if s.cost <= limit && s.recomputed <= maxRecomputed && (stale || !s.stale) {
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

// transferSeconds returns the seconds until bytes have crossed the link, including
// the bytes queued before them.
func transferSeconds(l *Link, bytes int64) float64 {
	return float64(l.Delay)/float64(time.Second) + float64(l.Queued+bytes)/l.Rate
}

func (p *placer) nearEqualLimit(cost float64) float64 {
	return cost + nearEqualRatio*math.Abs(cost) + nearEqualSeconds*p.weights.FirstToken
}

// setCost sets the cost of a score from its other fields.
func (p *placer) setCost(s *score) {
	s.cost = s.firstTokenSeconds*p.weights.FirstToken +
		float64(s.recomputed)/tokensPerRecomputeUnit*p.weights.Recompute +
		float64(s.linkBytes)/bytesPerTrafficUnit*p.weights.LinkTraffic
}

func (p *placer) eligible(c *Candidate) bool {
	if c.Leaving || slices.Contains(p.request.Excluded, c.Target) {
		return false
	}
	for i := range c.Loaded {
		l := &c.Loaded[i]
		if l.Model == p.request.Model && l.Version == p.request.Version &&
			(p.request.Adapter == "" || slices.Contains(l.Adapters, p.request.Adapter)) {
			return true
		}
	}
	return false
}

// scoreEngine returns the cheapest way to run on c. The cost is linear in the
// number of imported blocks, so importing either all or none of a source's
// blocks is cheapest unless a limit of the request excludes it.
func (p *placer) scoreEngine(c *Candidate) (score, bool) {
	if !p.eligible(c) {
		return score{}, false
	}
	e := engineState{queueSeconds: p.queueSeconds(c), prefillRate: p.prefillRate(c.Prefill), residentBlocks: p.clampBlocks(c.Resident)}
	e.knownQueueSeconds = e.queueSeconds
	stale := p.stale(c.Reported)
	if stale {
		// Only the caller's own dispatches are certain; limits apply to these.
		e.knownQueueSeconds = float64(c.SentTokens) / e.prefillRate
		e.queueSeconds = max(e.queueSeconds, p.longestQueue()) + unknownLoadSeconds
	}
	var best, s score
	withoutImport := p.scoreWithoutImport(&e, &best)
	found := withoutImport
	for i := range c.Sources {
		src := &c.Sources[i]
		end := p.clampBlocks(src.End)
		if !usable(src.Link) || src.First > c.Resident {
			continue
		}
		for n := end; n > e.residentBlocks && e.knownQueueSeconds <= p.maxWaitSeconds; n-- {
			ok := p.scoreImport(&e, src, n, &s)
			if ok && (!found || s.cost < best.cost) {
				best, found = s, true
				best.source = i
			}
			if ok && n == end && withoutImport {
				break
			}
		}
	}
	best.stale = stale
	return best, found
}

// scoreImport scores a run after an import of the blocks before n.
func (p *placer) scoreImport(e *engineState, src *Source, n int, s *score) bool {
	bytes := int64(n-e.residentBlocks) * p.request.BlockBytes
	*s = score{from: e.residentBlocks, to: n, recomputed: p.request.Tokens - n*p.request.BlockTokens}
	if src.Reach == OverLink {
		s.linkBytes = bytes
	}
	wait := transferSeconds(&src.Link, bytes)
	prefill := float64(s.recomputed) / e.prefillRate
	s.firstTokenSeconds = e.queueSeconds + wait + prefill
	p.setCost(s)
	return p.meetsLimits(e.knownQueueSeconds+wait, prefill)
}

// longestQueue returns the longest queue in seconds among the eligible engines
// with a fresh report.
func (p *placer) longestQueue() float64 {
	if p.longestFreshQueue < 0 {
		p.longestFreshQueue = 0
		for i := range p.engines {
			if c := &p.engines[i]; !p.stale(c.Reported) && p.eligible(c) {
				p.longestFreshQueue = max(p.longestFreshQueue, p.queueSeconds(c))
			}
		}
	}
	return p.longestFreshQueue
}

func (p *placer) scorePeer(h *Peer) (score, bool) {
	if h.Leaving || p.stale(h.Reported) || !usable(h.Link) || slices.Contains(p.request.Excluded, h.Host) {
		return score{}, false
	}
	matched := p.clampBlocks(h.Matched)
	s := score{recomputed: p.request.Tokens - matched*p.request.BlockTokens, linkBytes: p.request.Text + p.request.ReplyBytes}
	// The request crosses the link behind its queue; the first token returns
	// after one more delay.
	wait := h.Wait.Seconds() + transferSeconds(&h.Link, p.request.Text) + h.Link.Delay.Seconds()
	// Without the import time, a false positive in the peer's Bloom filter of
	// shard keys would forward requests although the local region stores their
	// KV cache.
	if matched > 0 && usable(h.Import) {
		wait += transferSeconds(&h.Import, int64(matched)*p.request.BlockBytes)
	}
	prefill := float64(s.recomputed) / p.prefillRate(h.Prefill)
	s.firstTokenSeconds = wait + prefill
	p.setCost(&s)
	return s, p.meetsLimits(wait, prefill)
}

// clampBlocks limits a number of leading blocks to the whole blocks of the prompt.
func (p *placer) clampBlocks(n int) int {
	if p.request.BlockTokens <= 0 {
		return 0
	}
	return max(0, min(n, p.request.Tokens/p.request.BlockTokens))
}

// queueSeconds returns the seconds until c would start the prefill: the prefill
// of the queued prompt tokens, and one decoding step of every run.
func (p *placer) queueSeconds(c *Candidate) float64 {
	s := float64(c.Tokens+c.SentTokens) / p.prefillRate(c.Prefill)
	if c.Decode > 0 {
		s += float64(c.Running+c.Waiting+c.Sent) / c.Decode
	}
	return s
}

// prefillRate returns v, or the slowest known rate if v is unknown.
func (p *placer) prefillRate(v float64) float64 {
	if v > 0 {
		return v
	}
	return p.slowestPrefill
}

func (p *placer) refuse(r *rand.Rand) Decision {
	d := Refuse{Reason: NoTarget, RetryAfter: noTargetRetryAfter}
	if !math.IsInf(p.smallestExcess, 1) {
		d = Refuse{Reason: Overloaded, RetryAfter: max(time.Second, toDuration(p.smallestExcess))}
	}
	// Spreads the retries of callers that were refused at the same time.
	d.RetryAfter += time.Duration(r.Int64N(int64(d.RetryAfter)/2 + 1))
	return d
}

func (p *placer) stale(at time.Time) bool { return at.IsZero() || p.now.Sub(at) > StaleAfter }

// meetsLimits reports whether the limits of the request are met, and otherwise
// records the smallest excess.
func (p *placer) meetsLimits(wait, prefill float64) bool {
	excess := max(wait-p.maxWaitSeconds, wait+prefill-p.deadlineSeconds)
	if excess > 0 {
		p.smallestExcess = min(p.smallestExcess, excess)
	}
	return excess <= 0
}

// scoreWithoutImport scores a run that imports nothing.
func (p *placer) scoreWithoutImport(e *engineState, s *score) bool {
	*s = score{source: noSource, from: e.residentBlocks, to: e.residentBlocks, recomputed: p.request.Tokens - e.residentBlocks*p.request.BlockTokens}
	prefill := float64(s.recomputed) / e.prefillRate
	s.firstTokenSeconds = e.queueSeconds + prefill
	p.setCost(s)
	return p.meetsLimits(e.knownQueueSeconds, prefill)
}

func (s *score) decide(c *Candidate) Decision {
	switch {
	case s.source >= 0:
		return Import{
			Target: c.Target, Store: c.Sources[s.source].Store, From: s.from, To: s.to, Estimate: s.estimate(),
		}
	case s.to > 0:
		return Resident{Target: c.Target, Blocks: s.to, Estimate: s.estimate()}
	default:
		return Recompute{Target: c.Target, Estimate: s.estimate()}
	}
}

func (s *score) estimate() Estimate {
	return Estimate{Cost: s.cost, FirstToken: toDuration(s.firstTokenSeconds), Recomputed: s.recomputed, LinkBytes: s.linkBytes}
}

func toDuration(s float64) time.Duration {
	return time.Duration(min(s*float64(time.Second), math.MaxInt64/4))
}
