package fakes

import (
	"context"
	"fmt"
	"slices"
	"time"

	"sesamehill.example/sesamehill/internal/target"
	"sesamehill.example/sesamehill/pkg/chain"
)

// maxLoggedEvents bounds the event log, as real engines do. Readers that request
// older events see a gap in the sequence numbers.
const maxLoggedEvents = 8192

// block is a resident KV block: the simulated model state after its tokens, and
// the namespace and the shard key of the prompt it was computed for.
type block struct {
	Namespace  chain.Namespace `json:"scope"`
	ShardKey   chain.Key       `json:"first"`
	ModelState uint64          `json:"state"`
}

// loggedEvent is a cache event. A dropped one only advances the sequence number.
type loggedEvent struct {
	target.Event
	loggedAt time.Time
	dropped  bool
}

// eventLog holds the latest cache events.
type eventLog struct {
	lastSequence uint64
	logged       []loggedEvent
}

// Clear empties the cache and publishes a single event, as engines do under
// memory pressure.
func (e *Engine) Clear() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.clearCache()
}

// Events returns the cache events with a sequence number above after, except
// those that are dropped or younger than the event delay.
func (e *Engine) Events(ctx context.Context, after uint64) (target.EventBatch, error) {
	if err := e.admit(ctx); err != nil {
		return target.EventBatch{}, err
	}
	e.mu.Lock()
	var b target.EventBatch
	for _, v := range e.events.logged {
		if time.Since(v.loggedAt) < e.options.eventDelay {
			break
		}
		b.LastSequence = v.Sequence
		if v.Sequence > after && !v.dropped {
			b.Events = append(b.Events, v.Event)
		}
	}
	e.mu.Unlock()
	return b, e.reply("events")
}

// Inventory returns all resident blocks.
func (e *Engine) Inventory(ctx context.Context) (target.Inventory, error) {
	if err := e.admit(ctx); err != nil {
		return target.Inventory{}, err
	}
	e.mu.Lock()
	v := target.Inventory{Sequence: e.events.lastSequence}
	for _, k := range e.cache.Keys() {
		b, _ := e.cache.Peek(k)
		v.Blocks = append(v.Blocks, target.ResidentBlock{Key: k, ShardKey: b.ShardKey})
	}
	e.mu.Unlock()
	return v, e.reply("inventory")
}

// clearCache empties the cache and logs one event in place of an event per
// evicted block; the caller holds the lock.
func (e *Engine) clearCache() {
	eventsBefore := e.events
	e.cache.Purge()
	e.events = eventsBefore
	e.logEvent(target.AllBlocksCleared, chain.Key{}, chain.Key{})
}

// logEvent appends a cache event to the log; the caller holds the lock.
func (e *Engine) logEvent(kind target.EventKind, key, shardKey chain.Key) {
	e.events.lastSequence++
	v := target.Event{Sequence: e.events.lastSequence, Kind: kind, Key: key, ShardKey: shardKey}
	dropped := e.options.dropEvent != nil && e.options.dropEvent(v)
	e.events.logged = append(e.events.logged, loggedEvent{v, time.Now(), dropped})
	if n := len(e.events.logged); n > 2*maxLoggedEvents {
		e.events.logged = append([]loggedEvent(nil), e.events.logged[n-maxLoggedEvents:]...)
	}
}

// matchPrefix returns the number of leading prompt tokens that resident blocks
// cover and the model state after them. It records a violation for each block that
// doesn't belong to the prompt. The caller holds the lock.
func (e *Engine) matchPrefix(r target.GenerateRequest) (int, uint64) {
	namespace, size := namespaceOf(r), e.options.blockTokens
	var state, expected uint64
	for i, k := range r.Keys {
		b, ok := e.cache.Peek(k)
		if !ok {
			e.markUsed(r.Keys[:i])
			return i * size, state
		}
		expected = modelState(expected, r.Tokens[i*size:(i+1)*size])
		if b.Namespace != namespace || b.ModelState != expected {
			e.violations = append(e.violations, fmt.Sprintf(
				"attempt %s of %+v used block %s of %+v (correct state: %t)",
				r.Attempt, namespace, k, b.Namespace, b.ModelState == expected))
		}
		state = b.ModelState
	}
	e.markUsed(r.Keys)
	return len(r.Keys) * size, state
}

// markUsed marks the blocks of a chain as recently used, from tail to head, so that
// the tail is evicted first: a block is useless without those before it.
func (e *Engine) markUsed(keys []chain.Key) {
	for _, k := range slices.Backward(keys) {
		e.cache.Get(k)
	}
}

// cachePrompt adds the complete blocks of a prefilled prompt to the cache, starting
// at the token from, before which the model state is state. The caller holds the
// lock.
func (e *Engine) cachePrompt(r target.GenerateRequest, from int, state uint64) {
	size := e.options.blockTokens
	first := from / size
	// Blocks that do not fit in the cache beside the head of the chain are not cached.
	end := min(len(r.Keys), e.options.cacheBlocks)
	var blocks []block
	for i := first; i < end; i++ {
		state = modelState(state, r.Tokens[i*size:(i+1)*size])
		blocks = append(blocks, block{Namespace: namespaceOf(r), ShardKey: r.Keys[0], ModelState: state})
	}
	e.markUsed(r.Keys[:min(first, end)])
	for i, b := range slices.Backward(blocks) {
		e.cacheBlock(r.Keys[first+i], b)
	}
	e.markUsed(r.Keys[:min(first, end)])
}

// cacheBlock adds or replaces a block and logs an event for a new one; the caller
// holds the lock.
func (e *Engine) cacheBlock(k chain.Key, b block) {
	if e.cache.Contains(k) {
		e.cache.Add(k, b)
		return
	}
	e.cache.Add(k, b)
	e.logEvent(target.BlockStored, k, b.ShardKey)
}

// namespaceOf returns the cache namespace of a request.
func namespaceOf(r target.GenerateRequest) chain.Namespace {
	return chain.Namespace{Account: r.Account, Model: r.Model, Adapter: r.Adapter, Version: r.Version}
}
