package fakes

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"sesamehill.example/sesamehill/internal/target"
	"sesamehill.example/sesamehill/pkg/chain"
)

// commitTimeout is the time for which a store reserves space for an uncommitted
// block.
const commitTimeout = 30 * time.Second

var _ target.Store = (*Store)(nil)

// StoreOption configures a fake store.
type StoreOption func(*Store)

// WithCapacity sets the capacity in bytes; the default is 1 MiB.
func WithCapacity(n int64) StoreOption {
	return func(s *Store) { s.capacity = n }
}

// Store is a fake store. It lists and serves a block only after its commit.
type Store struct {
	node

	stateMu    sync.Mutex
	capacity   int64
	used       int64
	generation uint64
	blocks     map[chain.Key][]*blockGeneration
	counts     StoreCounts
}

// StoreCounts holds the counters of a store since it was created.
type StoreCounts struct {
	// Sealed counts committed blocks.
	Sealed int
	// Fetched counts transfers to engines, Bytes the transferred bytes.
	Fetched int
	Bytes   int64
	Freed   int
}

// blockGeneration is one generation of a block; pins maps pin IDs to their expiry
// times.
type blockGeneration struct {
	target.StoredBlock
	data       []byte
	committed  bool
	reservedAt time.Time
	pins       map[string]time.Time
}

// NewStore returns an empty store.
func NewStore(name string, opts ...StoreOption) *Store {
	s := &Store{capacity: 1 << 20, blocks: make(map[chain.Key][]*blockGeneration)}
	s.node = newNode(name, s.route)
	for _, o := range opts {
		o(s)
	}
	return s
}

// Corrupt changes a byte of each stored block, as a disk fault does.
func (s *Store) Corrupt() {
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	for _, generations := range s.blocks {
		for _, p := range generations {
			if len(p.data) > 0 {
				p.data = bytes.Clone(p.data)
				p.data[0] ^= 0xff
			}
		}
	}
}

// Counts returns the counters.
func (s *Store) Counts() StoreCounts {
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	return s.counts
}

// Free removes a generation of a block. It refuses a pinned one.
func (s *Store) Free(ctx context.Context, key chain.Key, generation uint64) error {
	if err := s.admit(ctx); err != nil {
		return err
	}
	s.stateMu.Lock()
	err := s.free(key, generation)
	s.stateMu.Unlock()
	return s.reply("free", err)
}

// Kill simulates a crash of the store: all blocks are lost and its connections break.
func (s *Store) Kill() {
	s.setDown(true)
	s.stateMu.Lock()
	s.blocks, s.used = make(map[chain.Key][]*blockGeneration), 0
	s.stateMu.Unlock()
	s.stop()
}

// List returns the newest committed generation of each block, sorted by key.
func (s *Store) List(ctx context.Context) ([]target.StoredBlock, error) {
	if err := s.admit(ctx); err != nil {
		return nil, err
	}
	s.stateMu.Lock()
	list := []target.StoredBlock{}
	for k := range s.blocks {
		if p := s.newest(k); p != nil {
			v := p.StoredBlock
			v.Pins = p.pinned()
			list = append(list, v)
		}
	}
	s.stateMu.Unlock()
	slices.SortFunc(list, func(a, b target.StoredBlock) int { return bytes.Compare(a.Key[:], b.Key[:]) })
	return list, s.reply("list", nil)
}

// Pin protects the newest committed generation of a block from removal until ttl has
// passed.
func (s *Store) Pin(ctx context.Context, key chain.Key, ttl time.Duration) (target.Pin, error) {
	if err := s.admit(ctx); err != nil {
		return target.Pin{}, err
	}
	s.stateMu.Lock()
	p := s.newest(key)
	if p == nil {
		s.stateMu.Unlock()
		return target.Pin{}, s.missing(key)
	}
	pin := target.Pin{
		ID: uuid.NewString(), Generation: p.Generation, Length: p.Length,
		Checksum: p.Checksum, Expires: time.Now().Add(ttl),
	}
	p.pins[pin.ID] = pin.Expires
	s.stateMu.Unlock()
	return pin, s.reply("pin", nil)
}

// Restart starts a killed store, which is empty.
func (s *Store) Restart() error { return s.Up() }

// SetCapacity changes the capacity. A store that uses more is full.
func (s *Store) SetCapacity(n int64) {
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	s.capacity = n
}

// Unpin removes a pin. A missing pin is not an error, because it may have expired.
func (s *Store) Unpin(ctx context.Context, key chain.Key, id string) error {
	if err := s.admit(ctx); err != nil {
		return err
	}
	s.stateMu.Lock()
	for _, p := range s.blocks[key] {
		delete(p.pins, id)
	}
	s.stateMu.Unlock()
	return s.reply("unpin", nil)
}

// Usage returns the used space, including that reserved for uncommitted blocks, and
// the capacity.
func (s *Store) Usage(ctx context.Context) (target.Usage, error) {
	if err := s.admit(ctx); err != nil {
		return target.Usage{}, err
	}
	s.stateMu.Lock()
	s.expireReservations()
	u := target.Usage{Used: s.used, Capacity: s.capacity}
	s.stateMu.Unlock()
	return u, s.reply("usage", nil)
}

// admit applies the faults that act before an operation.
func (s *Store) admit(ctx context.Context) error {
	if err := s.beforeRequest(ctx); err != nil {
		return &target.NotRunError{Target: s.name, Reason: err.Error()}
	}
	return nil
}

// reserve reserves space for a new generation of a block.
func (s *Store) reserve(ctx context.Context, key chain.Key, in target.BlockAnnouncement) (target.WriteStarted, error) {
	if err := s.admit(ctx); err != nil {
		return target.WriteStarted{}, err
	}
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	s.expireReservations()
	if in.Length <= 0 || s.used+in.Length > s.capacity {
		return target.WriteStarted{}, &target.NotRunError{Target: s.name, Reason: fmt.Sprintf(
			"no space for %d bytes: %d of %d bytes are used", in.Length, s.used, s.capacity)}
	}
	s.generation++
	s.used += in.Length
	s.blocks[key] = append(s.blocks[key], &blockGeneration{
		StoredBlock: target.StoredBlock{
			Key: key, ShardKey: in.ShardKey, Account: in.Account, Generation: s.generation, Length: in.Length,
		},
		reservedAt: time.Now(),
		pins:       make(map[string]time.Time),
	})
	if s.loseReply("begin") {
		return target.WriteStarted{}, newLostReplyError(s.name)
	}
	return target.WriteStarted{Generation: s.generation}, nil
}

// fetch returns the bytes of a committed generation. The pin must be valid.
func (s *Store) fetch(ctx context.Context, key chain.Key, generation uint64, pin string) ([]byte, error) {
	if err := s.admit(ctx); err != nil {
		return nil, err
	}
	s.stateMu.Lock()
	p := s.find(key, generation)
	if p == nil || !p.committed || !time.Now().Before(p.pins[pin]) {
		s.stateMu.Unlock()
		return nil, s.missing(key)
	}
	data := p.data
	s.counts.Fetched++
	s.counts.Bytes += int64(len(data))
	s.stateMu.Unlock()
	return data, s.reply("fetch", nil)
}

// commit verifies a written generation and makes it visible. It removes the other
// committed generations that are not pinned.
func (s *Store) commit(ctx context.Context, key chain.Key, in target.CommitRequest) error {
	if err := s.admit(ctx); err != nil {
		return err
	}
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	p := s.find(key, in.Generation)
	switch {
	case p == nil:
		return s.missing(key)
	case p.committed && p.Checksum == in.Checksum:
		return s.reply("seal", nil)
	case p.committed:
		return &target.NotRunError{Target: s.name, Reason: "the generation was committed with another checksum"}
	case int64(len(p.data)) != in.Length || in.Length != p.Length || checksum(p.data) != in.Checksum:
		return &target.NotRunError{Target: s.name, Reason: errChecksum.Error()}
	}
	p.committed, p.Checksum = true, in.Checksum
	s.counts.Sealed++
	for _, o := range slices.Clone(s.blocks[key]) {
		if o != p && o.committed && o.pinned() == 0 {
			s.remove(o)
		}
	}
	return s.reply("seal", nil)
}

// write sets the bytes of an uncommitted generation.
func (s *Store) write(ctx context.Context, key chain.Key, generation uint64, data []byte) error {
	if err := s.admit(ctx); err != nil {
		return err
	}
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	p := s.find(key, generation)
	if p == nil {
		return s.missing(key)
	}
	if p.committed || int64(len(data)) > p.Length {
		return &target.NotRunError{Target: s.name, Reason: "the generation is already committed, or the data exceeds its reserved length"}
	}
	p.data = bytes.Clone(data)
	return s.reply("write", nil)
}

// expireReservations removes generations that were not committed within
// commitTimeout of their reservation; the caller holds the lock.
func (s *Store) expireReservations() {
	for _, generations := range s.blocks {
		for _, p := range slices.Clone(generations) {
			if !p.committed && time.Since(p.reservedAt) > commitTimeout {
				s.remove(p)
			}
		}
	}
}

// find returns a generation of a block, or nil; the caller holds the lock.
func (s *Store) find(key chain.Key, generation uint64) *blockGeneration {
	for _, p := range s.blocks[key] {
		if p.Generation == generation {
			return p
		}
	}
	return nil
}

// free implements Free; the caller holds the lock.
func (s *Store) free(key chain.Key, generation uint64) error {
	p := s.find(key, generation)
	switch {
	case p == nil:
		return s.missing(key)
	case p.pinned() > 0:
		return &target.PinnedError{Target: s.name, Key: key.String()}
	}
	s.remove(p)
	s.counts.Freed++
	return nil
}

// missing returns the error for a block that the store doesn't contain.
func (s *Store) missing(key chain.Key) error {
	return &target.MissingError{Target: s.name, What: "block " + key.String()}
}

// newest returns the newest committed generation of a block, or nil; the caller holds
// the lock.
func (s *Store) newest(key chain.Key) *blockGeneration {
	var newest *blockGeneration
	for _, p := range s.blocks[key] {
		if p.committed {
			newest = p
		}
	}
	return newest
}

// remove removes a generation and releases its space; the caller holds the lock.
func (s *Store) remove(p *blockGeneration) {
	generations := s.blocks[p.Key]
	if i := slices.Index(generations, p); i >= 0 {
		s.blocks[p.Key] = slices.Delete(slices.Clone(generations), i, i+1)
		s.used -= p.Length
	}
	if len(s.blocks[p.Key]) == 0 {
		delete(s.blocks, p.Key)
	}
}

// reply applies the faults that act after an operation, and otherwise returns err.
func (s *Store) reply(operation string, err error) error {
	if s.loseReply(operation) {
		return newLostReplyError(s.name)
	}
	return err
}

// pinned removes expired pins and returns the number of the others.
func (p *blockGeneration) pinned() int {
	n := 0
	for id, expires := range p.pins {
		if !time.Now().Before(expires) {
			delete(p.pins, id)
			continue
		}
		n++
	}
	return n
}
