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

// Runner answers the requests of entry servers without targets. Several servers
// may share one, as hosts share their engines.
type Runner struct {
	mu   sync.Mutex
	keys map[string]string
	runs map[string]entry.Prompt
	// seen is the longest prompt of each first token: later prompts that start
	// like it count its tokens as cached.
	seen    map[uint32][]uint32
	cuts    int
	refused int
	gap     time.Duration
	done    map[string]int
	count   int
}

// NewRunner returns a runner that knows accounts by their keys.
func NewRunner(keys map[string]string) *Runner {
	return &Runner{keys: keys, runs: map[string]entry.Prompt{}, seen: map[uint32][]uint32{}, done: map[string]int{}}
}

// Cut breaks each of the next n streams after two tokens.
func (r *Runner) Cut(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cuts = n
}

// Refuse refuses the next n requests with status 503, not run.
func (r *Runner) Refuse(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused = n
}

// SetGap sets the time before each token.
func (r *Runner) SetGap(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gap = d
}

// Calls returns the number of service calls that ran.
func (r *Runner) Calls() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

// Authenticate looks the key up.
func (r *Runner) Authenticate(key string) (entry.Account, error) {
	if a, ok := r.keys[key]; ok {
		return entry.Account{Name: a}, nil
	}
	return entry.Account{}, &entry.RefusalError{
		Status: http.StatusUnauthorized, Kind: entry.KindAuthentication, Message: "the API key is unknown", Run: entry.RanNo,
	}
}

// Complete starts a run.
func (r *Runner) Complete(ctx context.Context, p entry.Prompt) (entry.Run, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.refused > 0 {
		r.refused--
		return nil, &entry.RefusalError{
			Status: http.StatusServiceUnavailable, Kind: entry.KindOverloaded, Message: "busy", Run: entry.RanNo, Retry: time.Second,
		}
	}
	id := fmt.Sprintf("run-%d", len(r.runs)+1)
	r.runs[id] = p
	cached := 0
	for old := r.seen[p.Tokens[0]]; cached < min(len(old), len(p.Tokens)) && old[cached] == p.Tokens[cached]; {
		cached++
	}
	if len(p.Tokens) > len(r.seen[p.Tokens[0]]) {
		r.seen[p.Tokens[0]] = p.Tokens
	}
	return r.run(ctx, id, 0, cached), nil
}

// Resume continues a run of the account.
func (r *Runner) Resume(ctx context.Context, account, id string, offset int) (entry.Run, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p, ok := r.runs[id]; !ok || p.Account != account {
		return nil, entry.NotFound("Last-Event-ID", "run %q does not exist", id)
	}
	return r.run(ctx, id, offset, 0), nil
}

func (r *Runner) run(ctx context.Context, id string, offset, cached int) *scripted {
	p := r.runs[id]
	n := &scripted{ctx: ctx, id: id, text: Answer(p.Tokens, p.Max), at: offset, cut: -1, gap: r.gap, usage: target.RunUsage{
		Prompt: len(p.Tokens), Cached: cached, Generated: p.Max,
	}}
	if r.cuts > 0 {
		r.cuts--
		n.cut = offset + 2
	}
	return n
}

// Call counts the calls that ran; a repeated key does not run again.
func (r *Runner) Call(_ context.Context, c entry.ServiceCall) (target.Answer, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.refused > 0 {
		r.refused--
		return target.Answer{}, &entry.RefusalError{
			Status: http.StatusServiceUnavailable, Kind: entry.KindOverloaded, Message: "busy", Run: entry.RanNo, Retry: time.Second,
		}
	}
	n, ran := r.done[c.Key]
	if !ran {
		r.count++
		n = r.count
		r.done[c.Key] = n
	}
	return target.Answer{Status: http.StatusOK, Body: fmt.Appendf(nil, `{"run":%d}`, n)}, nil
}

// Models returns one model.
func (r *Runner) Models(string) []string { return []string{"advisor"} }

// Limits returns wide limits.
func (r *Runner) Limits() config.Limits {
	return config.Limits{Body: 4 << 20, Prompt: 1 << 17, QueueLength: 100, MaxWait: config.Duration(time.Minute)}
}

type scripted struct {
	ctx   context.Context
	id    string
	text  []uint32
	at    int
	cut   int
	gap   time.Duration
	usage target.RunUsage
	done  bool
}

func (r *scripted) ID() string   { return r.id }
func (r *scripted) Close() error { return nil }

func (r *scripted) Next() (target.Chunk, error) {
	if r.done {
		return target.Chunk{}, io.EOF
	}
	if r.at == r.cut {
		return target.Chunk{}, &target.BrokenError{Target: "engine-1", Reason: "it was cut"}
	}
	if r.at == len(r.text) {
		r.done = true
		return target.Chunk{Offset: r.at, Done: true, Reason: "length", Usage: &r.usage}, nil
	}
	select {
	case <-r.ctx.Done():
		return target.Chunk{}, r.ctx.Err()
	case <-time.After(r.gap):
	}
	t := r.text[r.at]
	r.at++
	return target.Chunk{Offset: r.at - 1, Token: t, Text: Text(t)}, nil
}
