package fakes

import (
	"container/heap"
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"sesamehill.example/sesamehill/internal/pause"
	"sesamehill.example/sesamehill/internal/target"
)

// run is a run with the chunks of its answer so far.
type run struct {
	request target.GenerateRequest
	// software is the version of the engine's software.
	software string
	arrival  uint64
	ctx      context.Context
	cancel   context.CancelFunc

	mu      sync.Mutex
	chunks  []target.Chunk
	failure string
	// updated is closed and replaced when chunks or failure change.
	updated     chan struct{}
	expiryTimer *time.Timer
}

// maxRecordedAttempts bounds EngineCounts.Attempts of a long-running engine.
const maxRecordedAttempts = 10000

// runQueue is a heap of waiting runs, ordered by priority, then arrival.
type runQueue []*run

// Len implements heap.Interface.
func (q runQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q runQueue) Less(i, j int) bool {
	if q[i].request.Priority != q[j].request.Priority {
		return q[i].request.Priority > q[j].request.Priority
	}
	return q[i].arrival < q[j].arrival
}

// Swap implements heap.Interface.
func (q runQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *runQueue) Push(x any) { *q = append(*q, x.(*run)) }

// Pop implements heap.Interface.
func (q *runQueue) Pop() any {
	n := len(*q) - 1
	r := (*q)[n]
	*q = (*q)[:n]
	return r
}

// Cancel ends a run and releases its resources.
func (e *Engine) Cancel(ctx context.Context, attempt string) error {
	if err := e.admit(ctx); err != nil {
		return err
	}
	e.mu.Lock()
	r, ok := e.runs[attempt]
	if ok {
		delete(e.runs, attempt)
		if i := slices.Index(e.waiting, r); i >= 0 {
			heap.Remove(&e.waiting, i)
		}
		e.counts.Canceled++
		e.recordLoad()
	}
	e.mu.Unlock()
	if !ok {
		return &target.MissingError{Target: e.name, What: "run " + attempt}
	}
	r.fail("run canceled")
	return e.reply("cancel")
}

// Generate queues a run and streams its answer.
func (e *Engine) Generate(ctx context.Context, r target.GenerateRequest) (target.Stream, error) {
	if err := e.admit(ctx); err != nil {
		return nil, err
	}
	e.mu.Lock()
	accepted, err := e.accept(r)
	if err == nil {
		e.dispatch()
		e.recordLoad()
	}
	e.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if err := e.reply("generate"); err != nil {
		return nil, err
	}
	return e.stream(ctx, accepted, 0), nil
}

// Resume streams a run of the account from a token offset.
func (e *Engine) Resume(ctx context.Context, account, attempt string, offset int) (target.Stream, error) {
	if err := e.admit(ctx); err != nil {
		return nil, err
	}
	e.mu.Lock()
	r, ok := e.runs[attempt]
	e.mu.Unlock()
	if !ok || r.request.Account != account {
		return nil, &target.MissingError{Target: e.name, What: "run " + attempt + " of the account"}
	}
	skip := offset - len(r.request.Emitted)
	if skip < 0 || offset > r.request.MaxTokens {
		return nil, &target.MissingError{
			Target: e.name, What: fmt.Sprintf("token %d of run %s", offset, attempt),
		}
	}
	if err := e.reply("resume"); err != nil {
		return nil, err
	}
	return e.stream(ctx, r, skip), nil
}

// accept checks a request and queues it; the caller holds the lock.
func (e *Engine) accept(r target.GenerateRequest) (*run, error) {
	if _, ok := e.runs[r.Attempt]; ok {
		return nil, &target.BrokenError{Target: e.name, Reason: "the attempt already exists; resume it"}
	}
	reason := ""
	switch {
	case r.Attempt == "" || r.Account == "" || len(r.Tokens) == 0 || r.MaxTokens <= 0:
		reason = "attempt, account, tokens and a positive max are required"
	case len(r.Emitted) > r.MaxTokens:
		reason = "the number of emitted tokens exceeds max"
	case len(r.Keys)*e.options.blockTokens > len(r.Tokens):
		reason = fmt.Sprintf("%d block keys need more than the %d tokens of the prompt", len(r.Keys), len(r.Tokens))
	case !e.isLoaded(r):
		reason = fmt.Sprintf("version %s of model %s is not loaded", r.Version, r.Model)
	case r.Software != "" && r.Software != e.options.software && !e.options.ignoreSoftware:
		reason = fmt.Sprintf("the tokens were emitted by software version %s", r.Software)
	case len(e.waiting) >= e.options.maxWaiting:
		reason = "the queue is full"
	}
	if reason != "" {
		return nil, &target.NotRunError{Target: e.name, Reason: reason}
	}
	e.arrivals++
	queued := &run{request: r, software: e.options.software, arrival: e.arrivals, updated: make(chan struct{})}
	queued.ctx, queued.cancel = context.WithCancel(e.lifetime)
	e.runs[r.Attempt] = queued
	heap.Push(&e.waiting, queued)
	e.counts.Runs++
	e.counts.Attempts = append(e.counts.Attempts, r.Attempt)
	if n := len(e.counts.Attempts); n > 2*maxRecordedAttempts {
		e.counts.Attempts = slices.Clone(e.counts.Attempts[n-maxRecordedAttempts:])
	}
	return queued, nil
}

// dispatch starts the next waiting run if no other is prefilled and the batch has
// room; the caller holds the lock.
func (e *Engine) dispatch() {
	if e.prefilling || e.running >= e.options.maxRunning || len(e.waiting) == 0 {
		return
	}
	r := heap.Pop(&e.waiting).(*run)
	e.prefilling = true
	e.running++
	go e.execute(e.lifetime, r)
}

// execute prefills and decodes a run. It doesn't change the engine after lifetime
// is done, since the engine was reset then.
func (e *Engine) execute(lifetime context.Context, r *run) {
	if e.options.crashOn != nil && e.options.crashOn(r.request) {
		e.mu.Lock()
		e.counts.Crashes++
		e.mu.Unlock()
		e.Kill()
		return
	}
	cached, state, err := e.prefill(r)
	e.mu.Lock()
	if lifetime.Err() != nil {
		e.mu.Unlock()
		return
	}
	e.prefilling = false
	if err == nil {
		e.counts.Prompt += len(r.request.Tokens)
		e.counts.Prefilled += len(r.request.Tokens) - cached
	}
	e.dispatch()
	e.mu.Unlock()
	complete := err == nil && e.decode(r, state)

	e.mu.Lock()
	defer e.mu.Unlock()
	if lifetime.Err() != nil {
		return
	}
	e.running--
	if complete {
		e.counts.Finished++
		r.emit(target.Chunk{Offset: r.request.MaxTokens, Done: true, Reason: "length", Usage: &target.RunUsage{
			Prompt: len(r.request.Tokens), CachedTokens: cached, GeneratedTokens: r.request.MaxTokens,
		}})
		r.mu.Lock()
		r.expiryTimer = time.AfterFunc(e.options.runRetention, func() { e.expireRun(r) })
		r.mu.Unlock()
	}
	e.dispatch()
	e.recordLoad()
}

// expireRun removes a finished run at the end of its retention.
func (e *Engine) expireRun(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.runs[r.request.Attempt] == r {
		delete(e.runs, r.request.Attempt)
	}
	r.cancel()
}

// prefill waits for the prefill time of a run and caches its prompt. It returns the
// number of cached prompt tokens and the model state after prompt and emitted
// tokens.
func (e *Engine) prefill(r *run) (int, uint64, error) {
	e.mu.Lock()
	cached, start := e.matchPrefix(r.request)
	rate := e.options.prefillRate
	e.mu.Unlock()
	uncached := len(r.request.Tokens) - cached + len(r.request.Emitted)
	if err := pause.For(r.ctx, time.Duration(float64(uncached)/rate*float64(time.Second))); err != nil {
		return 0, 0, err
	}
	if _, err := e.waitWhilePaused(r.ctx); err != nil {
		return 0, 0, err
	}
	state := modelState(start, r.request.Tokens[cached:])
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.ctx.Err() == nil {
		e.cachePrompt(r.request, cached, start)
	}
	return cached, modelState(state, r.request.Emitted), r.ctx.Err()
}

// decode emits the tokens of the answer and reports whether it emitted all. The
// caller emits the final chunk after it has counted the run.
func (e *Engine) decode(r *run, state uint64) bool {
	tokenDue := time.Now()
	for i := len(r.request.Emitted); i < r.request.MaxTokens; i++ {
		e.mu.Lock()
		tokenDue = tokenDue.Add(time.Duration(float64(time.Second) / e.options.decodeRate))
		e.mu.Unlock()
		if d := time.Until(tokenDue); d > 0 {
			if pause.For(r.ctx, d) != nil {
				return false
			}
		}
		paused, err := e.waitWhilePaused(r.ctx)
		if err != nil || r.ctx.Err() != nil {
			return false
		}
		if paused {
			tokenDue = time.Now()
		}
		t := sampleToken(state)
		state = nextState(state, t)
		r.emit(target.Chunk{Offset: i, Token: t, Text: Text(t)})
	}
	return true
}

// isLoaded reports whether the model version and the adapter of a request are loaded;
// the caller holds the lock.
func (e *Engine) isLoaded(r target.GenerateRequest) bool {
	return slices.ContainsFunc(e.loaded, func(l target.Loaded) bool {
		return l.Model == r.Model && l.Version == r.Version &&
			(r.Adapter == "" || slices.Contains(l.Adapters, r.Adapter))
	})
}

// emit appends a chunk to the answer, unless the run failed.
func (r *run) emit(c target.Chunk) {
	c.Attempt, c.Version, c.Software = r.request.Attempt, r.request.Version, r.software
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failure != "" {
		return
	}
	r.chunks = append(r.chunks, c)
	close(r.updated)
	r.updated = make(chan struct{})
}

// fail cancels the run and breaks its streams.
func (r *run) fail(reason string) {
	r.cancel()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.expiryTimer != nil {
		r.expiryTimer.Stop()
	}
	r.failure = reason
	close(r.updated)
	r.updated = make(chan struct{})
}

// stream returns a stream of a run without its first skip chunks.
func (e *Engine) stream(ctx context.Context, r *run, skip int) *runStream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return &runStream{
		name: e.name, ctx: ctx, run: r, nextChunk: skip, closed: make(chan struct{}),
		breakAfterChunks: e.breakAfterChunks, endAfterChunks: e.endAfterChunks, mixStreams: e.mixStreams, connectionBroken: e.breakSignal(),
	}
}

// runStream reads the chunks of a run.
type runStream struct {
	name             string
	ctx              context.Context
	run              *run
	nextChunk        int
	sentChunks       int
	done             bool
	breakAfterChunks int
	endAfterChunks   int
	mixStreams       bool
	strayChunks      []target.Chunk
	closeOnce        sync.Once
	closed           chan struct{}
	connectionBroken <-chan struct{}
}

// Next returns the next chunk, and io.EOF only after a chunk with Done set.
func (s *runStream) Next() (target.Chunk, error) {
	if s.done {
		return target.Chunk{}, io.EOF
	}
	if s.breakAfterChunks > 0 && s.sentChunks >= s.breakAfterChunks || s.endsEarly() {
		return target.Chunk{}, s.fail("stream ended before the last chunk")
	}
	if n := len(s.strayChunks); n > 0 {
		c := s.strayChunks[n-1]
		s.strayChunks = s.strayChunks[:n-1]
		return c, nil
	}
	for {
		s.run.mu.Lock()
		chunks, failure, updated := s.run.chunks, s.run.failure, s.run.updated
		s.run.mu.Unlock()
		if s.nextChunk < len(chunks) {
			c := chunks[s.nextChunk]
			s.nextChunk++
			s.sentChunks++
			s.done = c.Done
			if s.mixStreams && !c.Done {
				foreign := c
				foreign.Attempt, foreign.Text = "of-another-run", " foreign"
				s.strayChunks = []target.Chunk{c, foreign}
			}
			return c, nil
		}
		if failure != "" {
			return target.Chunk{}, s.fail(failure)
		}
		select {
		case <-updated:
		case <-s.closed:
			return target.Chunk{}, s.fail("stream closed")
		case <-s.connectionBroken:
			return target.Chunk{}, s.fail("connection broken")
		case <-s.ctx.Done():
			return target.Chunk{}, s.fail(s.ctx.Err().Error())
		}
	}
}

// Close ends the stream; the run continues.
func (s *runStream) Close() error {
	s.closeOnce.Do(func() { close(s.closed) })
	return nil
}

func (s *runStream) fail(reason string) error {
	return &target.BrokenError{Target: s.name, Reason: reason}
}

// endsEarly reports whether EndStreamsAfter ends the stream now, before its final
// chunk.
func (s *runStream) endsEarly() bool {
	return s.endAfterChunks > 0 && s.sentChunks >= s.endAfterChunks && !s.done
}
