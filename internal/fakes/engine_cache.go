package fakes

import (
	"context"
	"fmt"
	"slices"
	"time"

	"sesamehill.example/sesamehill/internal/target"
	"sesamehill.example/sesamehill/pkg/chain"
)

// maxEvents bounds the event log, as engines do; older events show as a gap.
const maxEvents = 8192

// block is a resident piece: the simulated model state after the piece and what
// it was computed from.
type block struct {
	Scope chain.Namespace `json:"scope"`
	First chain.Key       `json:"first"`
	State uint64          `json:"state"`
}

// loggedEvent is a cache event; a lost one only moves the sequence on.
type loggedEvent struct {
	target.Event
	at   time.Time
	lost bool
}

type eventLog struct {
	last   uint64
	logged []loggedEvent
}

// Clear empties the cache with one event, as engines do under memory pressure.
func (e *Engine) Clear() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.clear()
}

// Events returns the visible cache events with a sequence number above after.
func (e *Engine) Events(ctx context.Context, after uint64) (target.EventBatch, error) {
	if err := e.admit(ctx); err != nil {
		return target.EventBatch{}, err
	}
	e.mu.Lock()
	var b target.EventBatch
	for _, v := range e.events.logged {
		if time.Since(v.at) < e.options.eventDelay {
			break
		}
		b.Last = v.Sequence
		if v.Sequence > after && !v.lost {
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
	v := target.Inventory{Sequence: e.events.last}
	for _, k := range e.cache.Keys() {
		b, _ := e.cache.Peek(k)
		v.Pieces = append(v.Pieces, target.ResidentPiece{Key: k, First: b.First})
	}
	e.mu.Unlock()
	return v, e.reply("inventory")
}

// clear empties the cache; the caller holds the lock.
func (e *Engine) clear() {
	before := e.events
	e.cache.Purge()
	e.events = before
	e.event(target.AllBlocksCleared, chain.Key{}, chain.Key{})
}

// event logs a cache event; the caller holds the lock.
func (e *Engine) event(kind target.EventKind, key, first chain.Key) {
	e.events.last++
	v := target.Event{Sequence: e.events.last, Kind: kind, Key: key, First: first}
	lost := e.options.dropEvent != nil && e.options.dropEvent(v)
	e.events.logged = append(e.events.logged, loggedEvent{v, time.Now(), lost})
	if n := len(e.events.logged); n > 2*maxEvents {
		e.events.logged = append([]loggedEvent(nil), e.events.logged[n-maxEvents:]...)
	}
}

// match returns the number of leading prompt tokens that resident pieces cover
// and the model state after them; the caller holds the lock.
func (e *Engine) match(r target.GenerateRequest) (int, uint64) {
	scope, size := scopeOf(r), e.options.pieceTokens
	var state, right uint64
	for i, k := range r.Keys {
		b, ok := e.cache.Peek(k)
		if !ok {
			e.touch(r.Keys[:i])
			return i * size, state
		}
		right = digest(right, r.Tokens[i*size:(i+1)*size])
		if b.Scope != scope || b.State != right {
			e.violations = append(e.violations, fmt.Sprintf(
				"attempt %s of %+v used piece %s of %+v (right state: %t)",
				r.Attempt, scope, k, b.Scope, b.State == right))
		}
		state = b.State
	}
	e.touch(r.Keys)
	return len(r.Keys) * size, state
}

// touch marks the pieces of a chain as used, the tail before the head: a chain
// loses its tail first, since no piece is of use without those before it.
func (e *Engine) touch(keys []chain.Key) {
	for _, k := range slices.Backward(keys) {
		e.cache.Get(k)
	}
}

// keep makes the whole pieces of a prefilled prompt resident; the caller holds
// the lock.
func (e *Engine) keep(r target.GenerateRequest, from int, state uint64) {
	size := e.options.pieceTokens
	first := from / size
	// What does not fit beside the head of the chain is not kept.
	end := min(len(r.Keys), e.options.pieces)
	var blocks []block
	for i := first; i < end; i++ {
		state = digest(state, r.Tokens[i*size:(i+1)*size])
		blocks = append(blocks, block{Scope: scopeOf(r), First: r.Keys[0], State: state})
	}
	e.touch(r.Keys[:min(first, end)])
	for i, b := range slices.Backward(blocks) {
		e.insert(r.Keys[first+i], b)
	}
	e.touch(r.Keys[:min(first, end)])
}

func (e *Engine) insert(k chain.Key, b block) {
	if e.cache.Contains(k) {
		e.cache.Add(k, b)
		return
	}
	e.cache.Add(k, b)
	e.event(target.BlockStored, k, b.First)
}

func scopeOf(r target.GenerateRequest) chain.Namespace {
	return chain.Namespace{Account: r.Account, Model: r.Model, Adapter: r.Adapter, Version: r.Version}
}
