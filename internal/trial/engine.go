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
	// prefillChunkTokens is the number of prompt tokens that are prefilled between two
	// decode steps of the other prompts.
	prefillChunkTokens = 1024
	// maxCachedParts limits the number of prompt parts in an engine's cache.
	maxCachedParts = 1 << 16
)

var errEngineKilled = errors.New("the engine was killed; send the request to another engine")

// engine is a model of an engine: it prefills one prompt at a time, which pauses
// the decoding of the others, and caches prefilled prompt parts with LRU eviction.
type engine struct {
	model    Engines
	prefills *prefillStats
	// killed is done when the engine is killed.
	killed           context.Context //nolint:containedctx // the lifetime of the engine, not of a call
	slots            chan struct{}
	prefillLock      sync.RWMutex
	slowdownPermille atomic.Int64 // 1000 is normal speed
	arrivals         atomic.Int64

	mu           sync.Mutex
	waiting      int
	cachedTokens int
	parts        *simplelru.LRU[string, int]
}

func newEngine(killed context.Context, m Engines, r *prefillStats) *engine {
	e := &engine{model: m, prefills: r, killed: killed, slots: make(chan struct{}, m.Slots)}
	parts, err := simplelru.NewLRU(maxCachedParts, func(_ string, tokens int) { e.cachedTokens -= tokens })
	if err != nil {
		panic(err) // the size is positive
	}
	e.parts = parts
	e.slowdownPermille.Store(1000)
	return e
}

// Load returns the numbers of running and waiting prompts and of slots.
func (e *engine) Load() (running, waiting, slots int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.slots), e.waiting, e.model.Slots
}

// Run prefills a prompt and generates its tokens.
func (e *engine) Run(ctx context.Context, p stand.Prompt, event func(n int)) error {
	e.arrivals.Add(1)
	if err := e.acquireSlot(ctx); err != nil {
		return err
	}
	defer func() { <-e.slots }()
	if err := e.prefill(ctx, e.missingTokens(p)); err != nil {
		return err
	}
	e.storeParts(p)
	for n := p.DeliveredTokens + 1; n <= p.OutputTokens; n++ {
		e.prefillLock.RLock()
		runningPrompts := len(e.slots)
		e.prefillLock.RUnlock()
		if err := e.sleep(ctx, e.model.StepMillis*(1+e.model.Slowdown*float64(runningPrompts-1))); err != nil {
			return err
		}
		event(n)
	}
	return nil
}

// acquireSlot waits for a slot. It returns a *stand.FullError if the queue is full.
func (e *engine) acquireSlot(ctx context.Context) error {
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
	case <-e.killed.Done():
		return errEngineKilled
	}
}

// missingTokens returns the number of tokens that must be prefilled. A cached part
// is reused only if all parts before it are cached too.
func (e *engine) missingTokens(p stand.Prompt) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	missing, prefixCached := 0, true
	for i, part := range p.Parts {
		key := prefixKey(p, i)
		if _, ok := e.parts.Get(key); ok && prefixCached {
			e.prefills.recordHit(key)
			continue
		}
		prefixCached = false
		missing += part.Tokens
		if i < len(p.Parts)-1 {
			e.prefills.recordPrefill(key, part.Tokens)
		}
	}
	return missing
}

// prefill waits for the time to prefill a number of tokens, in chunks.
func (e *engine) prefill(ctx context.Context, tokens int) error {
	for tokens > 0 {
		n := min(tokens, prefillChunkTokens)
		e.prefillLock.Lock()
		err := e.sleep(ctx, float64(n)/e.model.PrefillRate)
		e.prefillLock.Unlock()
		if err != nil {
			return err
		}
		tokens -= n
	}
	return nil
}

// storeParts adds the parts of a prompt to the cache and evicts the least recently
// used parts above its capacity.
func (e *engine) storeParts(p stand.Prompt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, part := range p.Parts {
		key := prefixKey(p, i)
		if _, ok := e.parts.Get(key); !ok {
			e.parts.Add(key, part.Tokens)
			e.cachedTokens += part.Tokens
		}
	}
	for e.cachedTokens > e.model.CacheTokens {
		if _, _, ok := e.parts.RemoveOldest(); !ok {
			return
		}
	}
}

func (e *engine) sleep(ctx context.Context, ms float64) error {
	t := time.NewTimer(time.Duration(ms * float64(e.slowdownPermille.Load()) / 1000 * float64(time.Millisecond)))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-e.killed.Done():
		return errEngineKilled
	}
}

// prefixKey returns the cache key of a part together with all parts before it.
func prefixKey(p stand.Prompt, n int) string {
	key := p.Namespace
	for _, part := range p.Parts[:n+1] {
		key += "/" + part.ID
	}
	return key
}

// reuseWindow is the time after its last use in which the prefill of a shared part
// counts as repeated.
const reuseWindow = 20 * time.Second

// prefillStats counts the prefilled tokens of shared parts, and those of parts that
// some engine had used recently.
type prefillStats struct {
	mu                          sync.Mutex
	lastUse                     map[string]time.Time
	totalTokens, repeatedTokens int
}

func newPrefillStats() *prefillStats { return &prefillStats{lastUse: map[string]time.Time{}} }

func (r *prefillStats) recordHit(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastUse[key] = time.Now()
}

func (r *prefillStats) recordPrefill(key string, tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.totalTokens += tokens
	if lastUse, ok := r.lastUse[key]; ok && time.Since(lastUse) < reuseWindow {
		r.repeatedTokens += tokens
	}
	r.lastUse[key] = time.Now()
}
