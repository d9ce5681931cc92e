package fakes

import (
	"context"
	"fmt"
	"slices"
	"time"

	"sesamehill.example/sesamehill/internal/target"
	"sesamehill.example/sesamehill/pkg/chain"
)

// maxLoggedEvents bounds the event log, as engines do; older events show as a gap.
const maxLoggedEvents = 8192

// block is a resident piece: the simulated model state after the piece and what
// it was computed from.
type block struct {
	Namespace  chain.Namespace `json:"scope"`
	ShardKey   chain.Key       `json:"first"`
	ModelState uint64          `json:"state"`
}

// loggedEvent is a cache event; a lost one only moves the sequence on.
type loggedEvent struct {
	target.Event
	loggedAt time.Time
	dropped  bool
}

type eventLog struct {
	lastSequence uint64
	logged       []loggedEvent
}

// Clear empties the cache with one event, as engines do under memory pressure.
func (e *Engine) Clear() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.clearCache()
}

// Events returns the visible cache events with a sequence number above after.
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
		b.Last = v.Sequence
		if v.Sequence > after && !v.dropped {
			b.Events = append(b.Events, v.Event)
		}
	}
	e.mu.Unlock()
	return b, e.reply("events")
}

// Inventory returns every resident piece.
func (e *Engine) Inventory(ctx context.Context) (target.Inventory, error) {
	if err := e.admit(ctx); err != nil {
		return target.Inventory{}, err
	}
	e.mu.Lock()
	v := target.Inventory{Sequence: e.events.lastSequence}
	for _, k := range e.cache.Keys() {
		b, _ := e.cache.Peek(k)
		v.Pieces = append(v.Pieces, target.ResidentPiece{Key: k, First: b.ShardKey})
	}
	e.mu.Unlock()
	return v, e.reply("inventory")
}

// clearCache empties the cache; the caller holds the lock.
func (e *Engine) clearCache() {
	before := e.events
	e.cache.Purge()
	e.events = before
	e.logEvent(target.AllBlocksCleared, chain.Key{}, chain.Key{})
}

// logEvent logs a cache logEvent; the caller holds the lock.
func (e *Engine) logEvent(kind target.EventKind, key, first chain.Key) {
	e.events.lastSequence++
	v := target.Event{Sequence: e.events.lastSequence, Kind: kind, Key: key, First: first}
	lost := e.options.dropEvent != nil && e.options.dropEvent(v)
	e.events.logged = append(e.events.logged, loggedEvent{v, time.Now(), lost})
	if n := len(e.events.logged); n > 2*maxLoggedEvents {
		e.events.logged = append([]loggedEvent(nil), e.events.logged[n-maxLoggedEvents:]...)
	}
}

// matchPrefix returns the number of leading prompt tokens that resident pieces cover
// and the model state after them; the caller holds the lock.
func (e *Engine) matchPrefix(r target.GenerateRequest) (int, uint64) {
	scope, size := namespaceOf(r), e.options.blockTokens
	var state, right uint64
	for i, k := range r.Keys {
		b, ok := e.cache.Peek(k)
		if !ok {
			e.markUsed(r.Keys[:i])
			return i * size, state
		}
		right = modelState(right, r.Tokens[i*size:(i+1)*size])
		if b.Namespace != scope || b.ModelState != right {
			e.violations = append(e.violations, fmt.Sprintf(
				"attempt %s of %+v used piece %s of %+v (right state: %t)",
				r.Attempt, scope, k, b.Namespace, b.ModelState == right))
		}
		state = b.ModelState
	}
	e.markUsed(r.Keys)
	return len(r.Keys) * size, state
}

// markUsed marks the pieces of a chain as used, the tail before the head: a chain
// loses its tail first, since no piece is of use without those before it.
func (e *Engine) markUsed(keys []chain.Key) {
	for _, k := range slices.Backward(keys) {
		e.cache.Get(k)
	}
}

// cachePrompt makes the whole pieces of a prefilled prompt resident; the caller holds
// the lock.
func (e *Engine) cachePrompt(r target.GenerateRequest, from int, state uint64) {
	size := e.options.blockTokens
	first := from / size
	// What does not fit beside the head of the chain is not kept.
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

func (e *Engine) cacheBlock(k chain.Key, b block) {
	if e.cache.Contains(k) {
		e.cache.Add(k, b)
		return
	}
	e.cache.Add(k, b)
	e.logEvent(target.BlockStored, k, b.ShardKey)
}

func namespaceOf(r target.GenerateRequest) chain.Namespace {
	return chain.Namespace{Account: r.Account, Model: r.Model, Adapter: r.Adapter, Version: r.Version}
}
