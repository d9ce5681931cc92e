package fakes

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"sesamehill.example/sesamehill/internal/entry"
	"sesamehill.example/sesamehill/internal/target"
	"sesamehill.example/sesamehill/pkg/config"
)

// Runner runs the requests of entry servers without targets. Several servers may
// share one, as hosts share their engines.
type Runner struct {
	mu sync.Mutex
	// keys maps API keys to accounts.
	keys map[string]string
	runs map[string]entry.Prompt
	// longestPrompts maps the first token of a prompt to the longest prompt so far
	// that starts with it. The tokens that a later prompt shares with it count as
	// cached.
	longestPrompts   map[uint32][]uint32
	streamsToBreak   int
	requestsToRefuse int
	tokenInterval    time.Duration
	// callNumbers maps idempotency keys to the numbers of the calls that ran.
	callNumbers map[string]int
	callCount   int
}

// NewRunner returns a runner that authenticates accounts by keys, which maps API
// keys to accounts.
func NewRunner(keys map[string]string) *Runner {
	return &Runner{keys: keys, runs: map[string]entry.Prompt{}, longestPrompts: map[uint32][]uint32{}, callNumbers: map[string]int{}}
}

// BreakStreams breaks each of the next n streams after two tokens.
func (r *Runner) BreakStreams(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.streamsToBreak = n
}

// Refuse refuses the next n requests with status 503 without running them.
func (r *Runner) Refuse(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requestsToRefuse = n
}

// SetTokenInterval sets the time before each token.
func (r *Runner) SetTokenInterval(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokenInterval = d
}

// Calls returns the number of service calls that ran.
func (r *Runner) Calls() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.callCount
}

// Authenticate returns the account of an API key.
func (r *Runner) Authenticate(key string) (entry.Account, error) {
	if a, ok := r.keys[key]; ok {
		return entry.Account{Name: a}, nil
	}
	return entry.Account{}, &entry.RefusalError{
		Status: http.StatusUnauthorized, Kind: entry.KindAuthentication, Message: "the API key is unknown", Run: entry.RanNo,
	}
}

// Complete starts a run of a prompt.
func (r *Runner) Complete(ctx context.Context, p entry.Prompt) (entry.Run, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.requestsToRefuse > 0 {
		r.requestsToRefuse--
		return nil, &entry.RefusalError{
			Status: http.StatusServiceUnavailable, Kind: entry.KindOverloaded, Message: "busy", Run: entry.RanNo, Retry: time.Second,
		}
	}
	id := fmt.Sprintf("run-%d", len(r.runs)+1)
	r.runs[id] = p
	cached := 0
	for longest := r.longestPrompts[p.Tokens[0]]; cached < min(len(longest), len(p.Tokens)) && longest[cached] == p.Tokens[cached]; {
		cached++
	}
	if len(p.Tokens) > len(r.longestPrompts[p.Tokens[0]]) {
		r.longestPrompts[p.Tokens[0]] = p.Tokens
	}
	return r.run(ctx, id, 0, cached), nil
}

// Resume streams a run of the account from a token offset.
func (r *Runner) Resume(ctx context.Context, account, id string, offset int) (entry.Run, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p, ok := r.runs[id]; !ok || p.Account != account {
		return nil, entry.NotFound("Last-Event-ID", "run %q does not exist", id)
	}
	return r.run(ctx, id, offset, 0), nil
}

// run returns the run id from a token offset; the caller holds the lock.
func (r *Runner) run(ctx context.Context, id string, offset, cached int) *scriptedRun {
	p := r.runs[id]
	scripted := &scriptedRun{ctx: ctx, id: id, answer: Answer(p.Tokens, p.Max), offset: offset, breakAt: -1, tokenInterval: r.tokenInterval, usage: target.RunUsage{
		Prompt: len(p.Tokens), CachedTokens: cached, GeneratedTokens: p.Max,
	}}
	if r.streamsToBreak > 0 {
		r.streamsToBreak--
		scripted.breakAt = offset + 2
	}
	return scripted
}

// Call runs a service call and counts it. A call with the idempotency key of an
// earlier one does not run; it gets the earlier answer.
func (r *Runner) Call(_ context.Context, c entry.ServiceCall) (target.Answer, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.requestsToRefuse > 0 {
		r.requestsToRefuse--
		return target.Answer{}, &entry.RefusalError{
			Status: http.StatusServiceUnavailable, Kind: entry.KindOverloaded, Message: "busy", Run: entry.RanNo, Retry: time.Second,
		}
	}
	n, ran := r.callNumbers[c.Key]
	if !ran {
		r.callCount++
		n = r.callCount
		r.callNumbers[c.Key] = n
	}
	return target.Answer{Status: http.StatusOK, Body: fmt.Appendf(nil, `{"run":%d}`, n)}, nil
}

// Models returns the model advisor for every account.
func (r *Runner) Models(string) []string { return []string{"advisor"} }

// Limits returns limits that are large enough for the tests.
func (r *Runner) Limits() config.Limits {
	return config.Limits{Body: 4 << 20, Prompt: 1 << 17, QueueLength: 100, MaxWait: config.Duration(time.Minute)}
}

// scriptedRun streams the correct answer to a prompt.
type scriptedRun struct {
	ctx    context.Context
	id     string
	answer []uint32
	offset int
	// breakAt is the offset at which the stream breaks, or -1.
	breakAt       int
	tokenInterval time.Duration
	usage         target.RunUsage
	done          bool
}

func (r *scriptedRun) ID() string   { return r.id }
func (r *scriptedRun) Close() error { return nil }

func (r *scriptedRun) Next() (target.Chunk, error) {
	if r.done {
		return target.Chunk{}, io.EOF
	}
	if r.offset == r.breakAt {
		return target.Chunk{}, &target.BrokenError{Target: "engine-1", Reason: "stream broken by the test"}
	}
	if r.offset == len(r.answer) {
		r.done = true
		return target.Chunk{Offset: r.offset, Done: true, Reason: "length", Usage: &r.usage}, nil
	}
	select {
	case <-r.ctx.Done():
		return target.Chunk{}, r.ctx.Err()
	case <-time.After(r.tokenInterval):
	}
	t := r.answer[r.offset]
	r.offset++
	return target.Chunk{Offset: r.offset - 1, Token: t, Text: Text(t)}, nil
}
