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

// commitTimeout is how long a store reserves space for a block that is not committed.
const commitTimeout = 30 * time.Second

var _ target.Store = (*Store)(nil)

// StoreOption configures a fake store.
type StoreOption func(*Store)

// WithCapacity sets the capacity in bytes; the default is 1 MiB.
func WithCapacity(n int64) StoreOption {
	return func(s *Store) { s.capacity = n }
}

// Store is a fake store. A piece is listed and served only once it is sealed.
type Store struct {
	node

	stateMu    sync.Mutex
	capacity   int64
	used       int64
	generation uint64
	pieces     map[chain.Key][]*blockGeneration
	counts     StoreCounts
}

// StoreCounts counts what a store did since it was made.
type StoreCounts struct {
	Sealed int
	// Fetched counts transfers to engines and Bytes their length.
	Fetched int
	Bytes   int64
	Freed   int
}

// blockGeneration is one generation of a piece.
type blockGeneration struct {
	target.StoredPiece
	data       []byte
	committed  bool
	reservedAt time.Time
	pins       map[string]time.Time
}

// NewStore returns an empty store.
func NewStore(name string, opts ...StoreOption) *Store {
	s := &Store{capacity: 1 << 20, pieces: make(map[chain.Key][]*blockGeneration)}
	s.node = newNode(name, s.route)
	for _, o := range opts {
		o(s)
	}
	return s
}

// Corrupt changes a byte of every stored piece, as a disk fault does.
func (s *Store) Corrupt() {
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	for _, gens := range s.pieces {
		for _, p := range gens {
			if len(p.data) > 0 {
				p.data = bytes.Clone(p.data)
				p.data[0] ^= 0xff
			}
		}
	}
}

// Counts returns what the store did.
func (s *Store) Counts() StoreCounts {
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	return s.counts
}

// Free removes a sealed generation of a piece; a pinned one is refused.
func (s *Store) Free(ctx context.Context, key chain.Key, generation uint64) error {
	if err := s.admit(ctx); err != nil {
		return err
	}
	s.stateMu.Lock()
	err := s.free(key, generation)
	s.stateMu.Unlock()
	return s.reply("free", err)
}

// Kill ends the store: all pieces are lost and connections break.
func (s *Store) Kill() {
	s.setDown(true)
	s.stateMu.Lock()
	s.pieces, s.used = make(map[chain.Key][]*blockGeneration), 0
	s.stateMu.Unlock()
	s.stop()
}

// List returns the newest sealed generation of each piece.
func (s *Store) List(ctx context.Context) ([]target.StoredPiece, error) {
	if err := s.admit(ctx); err != nil {
		return nil, err
	}
	s.stateMu.Lock()
	list := []target.StoredPiece{}
	for k := range s.pieces {
		if p := s.newest(k); p != nil {
			v := p.StoredPiece
			v.Pins = p.pinned()
			list = append(list, v)
		}
	}
	s.stateMu.Unlock()
	slices.SortFunc(list, func(a, b target.StoredPiece) int { return bytes.Compare(a.Key[:], b.Key[:]) })
	return list, s.reply("list", nil)
}

// Pin keeps the newest sealed generation of a piece until ttl has passed.
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

// Restart brings a killed store back, empty.
func (s *Store) Restart() error { return s.Up() }

// SetCapacity changes the capacity; one below the use makes the store full.
func (s *Store) SetCapacity(n int64) {
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	s.capacity = n
}

// Unpin ends a pin. A pin that does not exist is no error, because it may have
// expired.
func (s *Store) Unpin(ctx context.Context, key chain.Key, id string) error {
	if err := s.admit(ctx); err != nil {
		return err
	}
	s.stateMu.Lock()
	for _, p := range s.pieces[key] {
		delete(p.pins, id)
	}
	s.stateMu.Unlock()
	return s.reply("unpin", nil)
}

// Usage returns the fill of the store, with the space of unsealed pieces.
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

func (s *Store) admit(ctx context.Context) error {
	if err := s.beforeRequest(ctx); err != nil {
		return &target.NotRunError{Target: s.name, Reason: err.Error()}
	}
	return nil
}

// reserve reserves space for a new generation of a piece.
func (s *Store) reserve(ctx context.Context, key chain.Key, in target.Piece) (target.Begun, error) {
	if err := s.admit(ctx); err != nil {
		return target.Begun{}, err
	}
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	s.expireReservations()
	if in.Length <= 0 || s.used+in.Length > s.capacity {
		return target.Begun{}, &target.NotRunError{Target: s.name, Reason: fmt.Sprintf(
			"no space for %d bytes: %d of %d are used", in.Length, s.used, s.capacity)}
	}
	s.generation++
	s.used += in.Length
	s.pieces[key] = append(s.pieces[key], &blockGeneration{
		StoredPiece: target.StoredPiece{
			Key: key, First: in.First, Account: in.Account, Generation: s.generation, Length: in.Length,
		},
		reservedAt: time.Now(),
		pins:       make(map[string]time.Time),
	})
	if s.loseReply("begin") {
		return target.Begun{}, newLostReplyError(s.name)
	}
	return target.Begun{Generation: s.generation}, nil
}

// fetch returns the bytes of a sealed generation to the holder of a pin.
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

// commit verifies a written generation and makes it visible. Older generations
// that are not pinned are dropped.
func (s *Store) commit(ctx context.Context, key chain.Key, in target.Seal) error {
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
		return &target.NotRunError{Target: s.name, Reason: "the generation is sealed with another checksum"}
	case int64(len(p.data)) != in.Length || in.Length != p.Length || checksum(p.data) != in.Checksum:
		return &target.NotRunError{Target: s.name, Reason: errChecksum.Error()}
	}
	p.committed, p.Checksum = true, in.Checksum
	s.counts.Sealed++
	for _, o := range slices.Clone(s.pieces[key]) {
		if o != p && o.committed && o.pinned() == 0 {
			s.remove(o)
		}
	}
	return s.reply("seal", nil)
}

// write sets the bytes of a generation that is not sealed.
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
		return &target.NotRunError{Target: s.name, Reason: "the generation is sealed or too small"}
	}
	p.data = bytes.Clone(data)
	return s.reply("write", nil)
}

// expireReservations drops generations that were begun and not sealed in time; the caller
// holds the lock.
func (s *Store) expireReservations() {
	for _, gens := range s.pieces {
		for _, p := range slices.Clone(gens) {
			if !p.committed && time.Since(p.reservedAt) > commitTimeout {
				s.remove(p)
			}
		}
	}
}

func (s *Store) find(key chain.Key, generation uint64) *blockGeneration {
	for _, p := range s.pieces[key] {
		if p.Generation == generation {
			return p
		}
	}
	return nil
}

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

func (s *Store) missing(key chain.Key) error {
	return &target.MissingError{Target: s.name, What: "piece " + key.String()}
}

// newest returns the newest sealed generation of a piece.
func (s *Store) newest(key chain.Key) *blockGeneration {
	var found *blockGeneration
	for _, p := range s.pieces[key] {
		if p.committed {
			found = p
		}
	}
	return found
}

func (s *Store) remove(p *blockGeneration) {
	gens := s.pieces[p.Key]
	if i := slices.Index(gens, p); i >= 0 {
		s.pieces[p.Key] = slices.Delete(slices.Clone(gens), i, i+1)
		s.used -= p.Length
	}
	if len(s.pieces[p.Key]) == 0 {
		delete(s.pieces, p.Key)
	}
}

// reply applies the faults after an operation that ended with err.
func (s *Store) reply(operation string, err error) error {
	if s.loseReply(operation) {
		return newLostReplyError(s.name)
	}
	return err
}

// pinned returns the number of pins that have not expired.
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
