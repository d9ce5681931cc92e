package trial

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"sesamehill.example/sesamehill/platform/stand"
)

const (
	// chunkTokens is the number of prompt tokens that are read between two tokens of
	// the other prompts.
	chunkTokens = 1024
	// maxParts bounds the parts that an engine keeps.
	maxParts = 1 << 16
)

var errLost = errors.New("the engine was ended; send the request to another one")

// engine is a model of an engine: prompts are read one after the other, pausing
// what is generated; parts that were read stay in memory while there is room.
type engine struct {
	model Engines
	reads *reads
	// lost ends when the engine is taken away.
	lost     context.Context //nolint:containedctx // the life of the engine, not of a call
	slots    chan struct{}
	reading  sync.RWMutex
	factor   atomic.Int64 // thousandths
	arrivals atomic.Int64

	mu      sync.Mutex
	waiting int
	used    int
	parts   *simplelru.LRU[string, int]
}

func newEngine(lost context.Context, m Engines, r *reads) *engine {
	e := &engine{model: m, reads: r, lost: lost, slots: make(chan struct{}, m.Slots)}
	parts, err := simplelru.NewLRU(maxParts, func(_ string, tokens int) { e.used -= tokens })
	if err != nil {
		panic(err) // the size is positive
	}
	e.parts = parts
	e.factor.Store(1000)
	return e
}

// Load returns how many prompts run and wait, and the number of slots.
func (e *engine) Load() (running, waiting, slots int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.slots), e.waiting, e.model.Slots
}

// Run reads a prompt and generates its tokens.
func (e *engine) Run(ctx context.Context, p stand.Prompt, event func(n int)) error {
	e.arrivals.Add(1)
	if err := e.enter(ctx); err != nil {
		return err
	}
	defer func() { <-e.slots }()
	if err := e.read(ctx, e.unread(p)); err != nil {
		return err
	}
	e.keep(p)
	for n := p.DeliveredTokens + 1; n <= p.OutputTokens; n++ {
		e.reading.RLock()
		running := len(e.slots)
		e.reading.RUnlock()
		if err := e.sleep(ctx, e.model.Step*(1+e.model.Slowdown*float64(running-1))); err != nil {
			return err
		}
		event(n)
	}
	return nil
}

// enter waits for a slot.
func (e *engine) enter(ctx context.Context) error {
	e.mu.Lock()
	if e.waiting > e.model.Queue {
		defer e.mu.Unlock()
		return &stand.FullError{Waiting: e.waiting}
	}
	e.waiting++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.waiting--
		e.mu.Unlock()
	}()
	select {
	case e.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-e.lost.Done():
		return errLost
	}
}

// unread returns the number of tokens that must be read. A part in memory counts
// only if all parts before it are there too.
func (e *engine) unread(p stand.Prompt) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	missing, kept := 0, true
	for i, part := range p.Parts {
		key := partKey(p, i)
		if _, ok := e.parts.Get(key); ok && kept {
			e.reads.used(key)
			continue
		}
		kept = false
		missing += part.Tokens
		if i < len(p.Parts)-1 {
			e.reads.read(key, part.Tokens)
		}
	}
	return missing
}

// read takes the time to read a number of tokens, in chunks.
func (e *engine) read(ctx context.Context, tokens int) error {
	for tokens > 0 {
		n := min(tokens, chunkTokens)
		e.reading.Lock()
		err := e.sleep(ctx, float64(n)/e.model.Read)
		e.reading.Unlock()
		if err != nil {
			return err
		}
		tokens -= n
	}
	return nil
}

// keep puts the parts of a prompt into memory; the least recently used yield.
func (e *engine) keep(p stand.Prompt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, part := range p.Parts {
		key := partKey(p, i)
		if _, ok := e.parts.Get(key); !ok {
			e.parts.Add(key, part.Tokens)
			e.used += part.Tokens
		}
	}
	for e.used > e.model.Tokens {
		if _, _, ok := e.parts.RemoveOldest(); !ok {
			return
		}
	}
}

func (e *engine) sleep(ctx context.Context, ms float64) error {
	t := time.NewTimer(time.Duration(ms * float64(e.factor.Load()) / 1000 * float64(time.Millisecond)))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-e.lost.Done():
		return errLost
	}
}

// partKey names a part together with all parts before it.
func partKey(p stand.Prompt, n int) string {
	key := p.Namespace
	for _, part := range p.Parts[:n+1] {
		key += "/" + part.ID
	}
	return key
}

// reuseTime is how long after its last use a shared part that is read counts as
// read again.
const reuseTime = 20 * time.Second

// reads counts the shared parts that engines read although some engine had.
type reads struct {
	mu           sync.Mutex
	last         map[string]time.Time
	total, again int
}

func newReads() *reads { return &reads{last: map[string]time.Time{}} }

func (r *reads) used(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last[key] = time.Now()
}

func (r *reads) read(key string, tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total += tokens
	if at, ok := r.last[key]; ok && time.Since(at) < reuseTime {
		r.again += tokens
	}
	r.last[key] = time.Now()
}
