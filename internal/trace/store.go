package trace

import (
	"time"

	"sesamehill.example/sesamehill/internal/retain"
	"sesamehill.example/sesamehill/internal/target"
	"sesamehill.example/sesamehill/pkg/chain"
)

// evictShare is the share of a full store that is evicted at once. Evicting in
// batches limits how often all blocks are ranked.
const evictShare = 0.01

// store holds committed KV blocks behind one pipe in each direction.
type store struct {
	name    string
	zone    int
	region  int
	dead    bool
	returns *retain.Returns
	// blocks are the committed blocks, and committing those still in transfer.
	blocks     map[chain.Key]*storedBlock
	committing map[chain.Key]bool
	// abandoned holds the shard keys of prompts that were counted as abandoned.
	abandoned map[chain.Key]bool
	in        pipe
	out       pipe
	onEvent   func(target.Event)
	sequence  uint64
}

// storedBlock is a block at a store with the shard key of its chain.
type storedBlock struct {
	retain.Block
	shardKey chain.Key
}

func newStore(s *Setup, name string, zone, region int, r *retain.Returns) *store {
	p := pipe{rate: storeBytesPerSecond, delay: s.ZoneDelay}
	return &store{
		name: name, zone: zone, region: region, returns: r,
		blocks: map[chain.Key]*storedBlock{}, committing: map[chain.Key]bool{}, abandoned: map[chain.Key]bool{}, in: p, out: p,
	}
}

func (t *store) emit(kind target.EventKind, k, first chain.Key) {
	t.sequence++
	if t.onEvent != nil {
		t.onEvent(target.Event{Sequence: t.sequence, Kind: kind, Key: k, ShardKey: first})
	}
}

// storedUntil returns the end of the contiguous blocks, starting at from, that the
// store has.
func (t *store) storedUntil(keys []chain.Key, from int) int {
	if t.dead {
		return 0
	}
	for i := from; i < len(keys); i++ {
		if t.blocks[keys[i]] == nil {
			return i
		}
	}
	return len(keys)
}

// export writes the blocks of a prompt that the store lacks and commits each block
// when it has arrived.
func (t *store) export(w *world, c *call) {
	t.touch(c.keys, w.time())
	for i, k := range c.keys {
		if t.dead || t.blocks[k] != nil || t.committing[k] {
			continue
		}
		t.committing[k] = true
		w.at(t.in.send(w.now, w.doc.Deployment.BlockBytes), func() {
			delete(t.committing, k)
			if t.dead {
				return
			}
			if len(t.blocks) >= storeBlocks {
				t.evict(w.time())
			}
			t.blocks[k] = &storedBlock{shardKey: c.keys[0], Block: retain.Block{
				Key: k, Account: w.doc.Accounts[c.account].Name, Depth: i, Tokens: w.doc.Deployment.BlockTokens,
				Bytes: w.doc.Deployment.BlockBytes, LastUsed: w.time(), Committed: true,
			}}
			t.emit(target.BlockStored, k, c.keys[0])
		})
	}
}

// evict frees a part of the store. A prompt whose first block is evicted counts as
// abandoned.
func (t *store) evict(now time.Time) {
	stored := make([]retain.Block, 0, len(t.blocks))
	// Evict breaks ties by key, so the order of the map does not matter.
	var idle time.Duration
	for _, p := range t.blocks {
		stored = append(stored, p.Block)
		idle += now.Sub(p.LastUsed)
	}
	// A block is evicted at about twice the mean age.
	t.returns.SetWindow(2 * idle / time.Duration(len(stored)))
	need := int64(evictShare*storeBlocks) * stored[0].Bytes
	for _, p := range retain.Evict(stored, need, t.returns, now) {
		if p.Depth == 0 {
			t.returns.RecordAbandoned(p.Account)
			t.abandoned[p.Key] = true
		}
		t.emit(target.BlockRemoved, p.Key, t.blocks[p.Key].shardKey)
		delete(t.blocks, p.Key)
	}
}

// restore reverts the count of a prompt as abandoned when the prompt returns.
func (t *store) restore(account string, keys []chain.Key) {
	if len(keys) > 0 && t.abandoned[keys[0]] {
		delete(t.abandoned, keys[0])
		t.returns.UndoAbandoned(account)
	}
}

// touch marks the blocks of a prompt as used.
func (t *store) touch(keys []chain.Key, now time.Time) {
	for _, k := range keys {
		if p := t.blocks[k]; p != nil {
			p.LastUsed = now
		}
	}
}
