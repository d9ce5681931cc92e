package trace

import (
	"time"

	"sesamehill.example/sesamehill/internal/retain"
	"sesamehill.example/sesamehill/internal/target"
	"sesamehill.example/sesamehill/pkg/chain"
)

// evictShare is the part of a full store that is evicted at once, which keeps the
// ranking of all pieces rare.
const evictShare = 0.01

// store holds sealed pieces behind one pipe in each direction.
type store struct {
	name    string
	zone    int
	region  int
	dead    bool
	returns *retain.Returns
	// pieces are the sealed pieces, and sealing those on their way.
	pieces  map[chain.Key]*held
	sealing map[chain.Key]bool
	// ended holds the first keys of prompts that were counted as given up.
	ended    map[chain.Key]bool
	in       pipe
	out      pipe
	changed  func(target.Event)
	sequence uint64
}

// held is a piece at a store with the first key of its chain.
type held struct {
	retain.Block
	first chain.Key
}

func newStore(s *Setup, name string, zone, region int, r *retain.Returns) *store {
	p := pipe{rate: storeRate, delay: s.Local}
	return &store{
		name: name, zone: zone, region: region, returns: r,
		pieces: map[chain.Key]*held{}, sealing: map[chain.Key]bool{}, ended: map[chain.Key]bool{}, in: p, out: p,
	}
}

func (t *store) emit(kind target.EventKind, k, first chain.Key) {
	t.sequence++
	if t.changed != nil {
		t.changed(target.Event{Sequence: t.sequence, Kind: kind, Key: k, ShardKey: first})
	}
}

// holds returns the end of the pieces from the given one that the store has.
func (t *store) holds(keys []chain.Key, from int) int {
	if t.dead {
		return 0
	}
	for i := from; i < len(keys); i++ {
		if t.pieces[keys[i]] == nil {
			return i
		}
	}
	return len(keys)
}

// export writes the pieces of a prompt that the store lacks and seals each when
// it has arrived.
func (t *store) export(w *world, c *call) {
	t.touch(c.keys, w.time())
	for i, k := range c.keys {
		if t.dead || t.pieces[k] != nil || t.sealing[k] {
			continue
		}
		t.sealing[k] = true
		w.at(t.in.send(w.now, w.doc.Deployment.BlockBytes), func() {
			delete(t.sealing, k)
			if t.dead {
				return
			}
			if len(t.pieces) >= storePieces {
				t.evict(w.time())
			}
			t.pieces[k] = &held{first: c.keys[0], Block: retain.Block{
				Key: k, Account: w.doc.Accounts[c.account].Name, Depth: i, Tokens: w.doc.Deployment.BlockTokens,
				Bytes: w.doc.Deployment.BlockBytes, LastUsed: w.time(), Committed: true,
			}}
			t.emit(target.BlockStored, k, c.keys[0])
		})
	}
}

// evict frees a part of the store. A prompt whose first piece goes counts as
// given up.
func (t *store) evict(now time.Time) {
	stored := make([]retain.Block, 0, len(t.pieces))
	// Evict breaks ties by key, so the order of the map does not matter.
	var idle time.Duration
	for _, p := range t.pieces {
		stored = append(stored, p.Block)
		idle += now.Sub(p.LastUsed)
	}
	// A piece is evicted at about twice the mean age.
	t.returns.SetWindow(2 * idle / time.Duration(len(stored)))
	need := int64(evictShare*storePieces) * stored[0].Bytes
	for _, p := range retain.Evict(stored, need, t.returns, now) {
		if p.Depth == 0 {
			t.returns.RecordAbandoned(p.Account)
			t.ended[p.Key] = true
		}
		t.emit(target.BlockRemoved, p.Key, t.pieces[p.Key].first)
		delete(t.pieces, p.Key)
	}
}

// revive takes back that a prompt was given up.
func (t *store) revive(account string, keys []chain.Key) {
	if len(keys) > 0 && t.ended[keys[0]] {
		delete(t.ended, keys[0])
		t.returns.UndoAbandoned(account)
	}
}

// touch marks the pieces of a prompt as used.
func (t *store) touch(keys []chain.Key, now time.Time) {
	for _, k := range keys {
		if p := t.pieces[k]; p != nil {
			p.LastUsed = now
		}
	}
}
