package host

import (
	"context"
	"io"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"sesamehill.example/sesamehill/internal/crash"
	"sesamehill.example/sesamehill/internal/links"
	"sesamehill.example/sesamehill/internal/pause"
	"sesamehill.example/sesamehill/internal/retry"
	"sesamehill.example/sesamehill/internal/target"
)

const (
	// runIDSeparator separates the attempt from the target name in a run ID.
	runIDSeparator = "@"
	// cancelTimeout bounds the cancellation of a run whose client disconnected.
	cancelTimeout = 2 * time.Second
	// reattachTimeout bounds the attempt to continue a stream at the same engine
	// after its connection broke; a live engine answers within a round trip.
	reattachTimeout = 500 * time.Millisecond
	// reattachInterval is the time between two such attempts. A dying engine breaks
	// connections for a short time before it refuses them, and only a refused
	// connection shows that it died.
	reattachInterval = 20 * time.Millisecond
	// survivalTime is the time after its first token from which a run shows that its
	// prompt does not crash the engine, as a crash may reach this host late.
	survivalTime = 100 * time.Millisecond
)

func newAttempt() string { return uuid.NewString() }

func runID(attempt, name string) string { return attempt + runIDSeparator + name }

func splitRunID(id string) (attempt, name string, ok bool) {
	attempt, name, ok = strings.Cut(id, runIDSeparator)
	return attempt, name, ok && attempt != "" && name != ""
}

// run relays the response to one request, over several attempts if targets fail.
type run struct {
	host    *Host
	ctx     context.Context
	account string
	// request is nil for a resumed run, which has no prompt and so cannot move to
	// another target.
	request     *request
	stream      target.Stream
	target      string
	attempt     string
	id          string
	streamState retry.Stream
	emitted     []uint32
	// firstTokenAt is when the first token of the current attempt arrived. answered is
	// true once its engine has survived it for survivalTime.
	firstTokenAt time.Time
	answered     bool
	// reattached is true if this attempt was resumed at the same engine since the
	// last token.
	reattached bool
	// remote is true if a host of another region runs the request; this host does
	// not dispatch to its engine.
	remote bool
	// peerOwned is true if a host of another region forwarded the request and has
	// received the run ID: it cancels the run if its client disconnects. If that
	// host dies, the client resumes the run at another host.
	peerOwned bool
	// region is the region of the host that runs a remote request, and
	// chargedTokens the number of tokens already charged to the link to it.
	region        string
	chargedTokens int
	// admitted holds the request's admission slot; it is nil for a resumed run.
	admitted *admittedRequest
}

// newResumed returns a run that resumes its stream at offset.
func newResumed(ctx context.Context, h *Host, account string, s target.Stream, name, attempt string, offset int) *run {
	return &run{
		host: h, ctx: ctx, account: account, stream: s, target: name, attempt: attempt,
		id: runID(attempt, name), streamState: retry.Stream{Attempt: attempt, Next: offset},
	}
}

// ID returns the run ID of the current attempt.
func (r *run) ID() string { return r.id }

// Next returns the next chunk. If the stream of the target breaks, the run
// continues on another target of the same weight version.
func (r *run) Next() (target.Chunk, error) {
	for {
		c, err := r.stream.Next()
		if err == nil {
			if r.streamState.Version == "" {
				r.streamState.Version = c.Version
			}
			var v retry.Verdict
			r.streamState, v = r.streamState.Accept(c)
			switch v := v.(type) {
			case retry.Deliver:
				r.delivered(c)
				return c, nil
			case retry.End:
				r.ended(c)
				return c, nil
			case retry.Drop:
				counters.Add("chunks_dropped", 1)
				continue
			case retry.Reject:
				counters.Add("chunks_rejected", 1)
				err = v.Err
			}
		}
		if r.streamState.Ended && errors.Is(err, io.EOF) {
			return target.Chunk{}, io.EOF
		}
		if err := r.recover(err); err != nil {
			return target.Chunk{}, err
		}
	}
}

func (r *run) delivered(c target.Chunk) {
	if len(r.emitted) == 0 && r.admitted != nil {
		r.admitted.releaseSlot()
	}
	if len(r.emitted) == 0 && r.request != nil && !r.request.arrived.IsZero() {
		r.host.measures.recordFirstToken(time.Since(r.request.arrived))
	}
	r.emitted = append(r.emitted, c.Token)
	if r.request != nil {
		r.request.software = r.streamState.Software
	}
	r.recordAnswered()
	r.reattached = false
}

// recordAnswered records that the engine has survived the start of the attempt, once it
// has streamed tokens for survivalTime.
func (r *run) recordAnswered() {
	switch now := time.Now(); {
	case r.firstTokenAt.IsZero():
		r.firstTokenAt = now
	case !r.remote && !r.answered && now.Sub(r.firstTokenAt) >= survivalTime:
		r.answered = true
		r.host.crashes.Answered(r.attempt, now)
	}
}

// ended records a complete response.
func (r *run) ended(c target.Chunk) {
	q := r.request
	if q == nil {
		return
	}
	now := time.Now()
	if !r.remote {
		r.host.cache.recordServed(q, r.target, now)
	}
	if q.returning && c.Usage != nil {
		r.host.measures.recordPrompt(c.Usage.Prompt, c.Usage.CachedTokens)
	}
}

// chargeReply charges the tokens that crossed a link to the account.
func (r *run) chargeReply() {
	if !r.remote || len(r.emitted) == r.chargedTokens {
		return
	}
	bytes := int64(len(r.emitted)-r.chargedTokens) * replyBytes
	r.chargedTokens = len(r.emitted)
	r.host.links.charge(r.region, bytes, links.Charge{Account: r.account, Purpose: links.Handover}, time.Now())
}

// recover continues the run after its stream broke: at the same engine if it still
// holds the run, otherwise on another target.
func (r *run) recover(cause error) error {
	_ = r.stream.Close() // the stream is already broken
	if r.ctx.Err() != nil {
		return cause
	}
	var result crash.Result
	if result = r.reattach(cause); result == crash.Survived {
		counters.Add("runs_reattached", 1)
		return nil
	}
	if r.request == nil {
		return cause
	}
	h, q := r.host, r.request
	if !r.remote {
		h.crashes.End(r.attempt, result, time.Now())
	}
	h.recordBrokenAttempt(q, r.target, r.remote)
	r.chargeReply()
	n, err := h.start(r.ctx, q, r.emitted, cause)
	if err != nil {
		r.request = nil
		return err
	}
	counters.Add("runs_moved", 1)
	r.stream, r.target, r.attempt, r.id = n.stream, n.target, n.attempt, n.id
	r.streamState, r.remote, r.region, r.reattached = n.streamState, n.remote, n.region, false
	r.firstTokenAt, r.answered = time.Time{}, false
	return nil
}

// reattach resumes the stream at the same engine, at most once per token. It returns
// Survived on success, Crashed if the engine lost the run, and Inconclusive if the
// state of the engine is unknown.
func (r *run) reattach(cause error) crash.Result {
	e := r.host.fleet.engine(r.target)
	if e == nil || r.reattached {
		return crash.Inconclusive
	}
	r.reattached = true
	s, err := resume(r.ctx, e, r.account, r.attempt, r.streamState.Next)
	if err == nil {
		r.stream = s
		return crash.Survived
	}
	var rejected *retry.StreamError
	var notRun *target.NotRunError
	var missing *target.MissingError
	if !errors.As(cause, &rejected) && (errors.As(err, &notRun) || errors.As(err, &missing)) {
		return crash.Crashed
	}
	return crash.Inconclusive
}

// resume resumes a run at its engine. It retries for reattachTimeout, until the
// engine streams the run, does not hold it or refuses connections.
func resume(ctx context.Context, e target.Engine, account, attempt string, next int) (target.Stream, error) {
	deadline := time.Now().Add(reattachTimeout)
	for {
		s, err := resumeOnce(ctx, e, account, attempt, next, time.Until(deadline))
		var notRun *target.NotRunError
		var missing *target.MissingError
		if err == nil || errors.As(err, &notRun) || errors.As(err, &missing) || time.Until(deadline) < 2*reattachInterval {
			return s, err
		}
		if pause.For(ctx, reattachInterval) != nil {
			return nil, err
		}
	}
}

// resumeOnce resumes a run at its engine, which must respond within the limit; the
// stream itself may last as long as ctx.
func resumeOnce(
	ctx context.Context, e target.Engine, account, attempt string, next int, limit time.Duration,
) (target.Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	t := time.AfterFunc(limit, cancel)
	s, err := e.Resume(ctx, account, attempt, next)
	if err == nil && !t.Stop() {
		_ = s.Close() // the timer cancelled its context
		err = context.DeadlineExceeded
	}
	if err != nil {
		cancel()
		return nil, err
	}
	return &cancelStream{Stream: s, cancel: cancel}, nil
}

// cancelStream cancels its context when it is closed.
type cancelStream struct {
	target.Stream
	cancel context.CancelFunc
}

// Close closes the stream.
func (s *cancelStream) Close() error {
	defer s.cancel()
	return s.Stream.Close()
}

// Close releases the run, and cancels it at its engine if it has not ended.
func (r *run) Close() error {
	if r.admitted != nil {
		r.admitted.finish()
	}
	r.chargeReply()
	err := r.stream.Close()
	if r.request == nil {
		return err
	}
	if !r.remote {
		r.host.fleet.removeRun(r.target, r.request.versionUse())
		result := crash.Inconclusive
		if r.streamState.Ended || len(r.emitted) > 0 {
			result = crash.Survived
		}
		r.host.crashes.End(r.attempt, result, time.Now())
	}
	if r.streamState.Ended || r.peerOwned {
		return err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), cancelTimeout)
	defer cancel()
	if e := r.host.fleet.engine(r.target); e != nil {
		return e.Cancel(ctx, r.attempt)
	}
	return err
}
