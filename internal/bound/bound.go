// Package bound limits the memory for data received from other processes.
//
// A faulty target, store, host or caller may send data without end. A read fails
// with a *LimitError when it exceeds its own limit, or when all reads of the host
// together reach the limit of the pool. The reader then closes the connection and
// counts a failure of the peer.
//
// # Usage
//
//	pool := bound.NewPool(16 << 20)
//	buffer, err := pool.Read(resp.Body, 64<<10)
//	if err != nil {
//		return err
//	}
//	defer buffer.Release()
//	use(buffer.Bytes)
//
// # Units
//
// All limits are in bytes. They apply to the data as received, before decoding.
package bound

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"sync/atomic"
	"time"
)

const (
	// minReadBytes is the minimum free space of a buffer before each read.
	minReadBytes = 4 << 10
	// smallReadBytes is how much a read may hold even if the pool is full, so that
	// peers which send without end do not block small responses of others.
	smallReadBytes = 8 << 10
	// poolDivisor limits a single read to this fraction of the pool's limit.
	poolDivisor = 4
	// reclaimDivisor is the divisor of the pool's limit that gives how much more than
	// needed is reclaimed at once, so that it is not done anew for each read.
	reclaimDivisor = 16
	// reclaimTime is how long a read waits for memory that others release, and
	// reclaimInterval the time between two attempts.
	reclaimTime     = 100 * time.Millisecond
	reclaimInterval = 5 * time.Millisecond
)

// LimitError says that received data exceeds a limit.
type LimitError struct {
	// Limit is the limit in bytes.
	Limit int64
	// PoolFull says that the limit is that of the pool, not of the single read.
	PoolFull bool
}

// Error names the limit and the remedy.
func (e *LimitError) Error() string {
	if e.PoolFull {
		return fmt.Sprintf("the host holds %d bytes of received data, its limit; retry later", e.Limit)
	}
	return fmt.Sprintf("the received data exceeds %d bytes; the sender must send less", e.Limit)
}

// Pool counts the bytes that all reads of a host hold. It is safe for concurrent
// use.
type Pool struct {
	limit int64
	inUse atomic.Int64
	// reclaim is a func(n int) bool, see OnFull.
	reclaim atomic.Value
}

// NewPool returns a pool with a limit; zero or less means no limit.
func NewPool(limit int64) *Pool { return &Pool{limit: limit} }

// InUse returns the number of reserved bytes.
func (p *Pool) InUse() int64 { return p.inUse.Load() }

// OnFull sets a function that makes other reads fail, so that they release at least n bytes
// soon. It returns false if there are none to choose.
func (p *Pool) OnFull(reclaim func(n int) bool) { p.reclaim.Store(reclaim) }

// Reserve reserves n more bytes for a read that has reserved some already. It
// returns a *LimitError and reserves nothing if the pool is full and the read is not
// small. If the pool is full, it may wait for others to release memory.
func (p *Pool) Reserve(reserved, n int) error {
	if p.tryReserve(reserved, n) || p.reserveReclaimed(reserved, n) {
		return nil
	}
	return &LimitError{Limit: p.limit, PoolFull: true}
}

func (p *Pool) tryReserve(reserved, n int) bool {
	total := p.inUse.Add(int64(n))
	if p.limit > 0 && total > p.limit && reserved+n > smallReadBytes {
		p.inUse.Add(-int64(n))
		return false
	}
	return true
}

// reserveReclaimed reserves bytes that other reads release.
func (p *Pool) reserveReclaimed(reserved, n int) bool {
	reclaim, ok := p.reclaim.Load().(func(n int) bool)
	if !ok || !reclaim(n+int(p.limit/reclaimDivisor)) {
		return false
	}
	for end := time.Now().Add(reclaimTime); time.Now().Before(end); time.Sleep(reclaimInterval) {
		if p.tryReserve(reserved, n) {
			return true
		}
	}
	return false
}

// Release returns n reserved bytes to the pool.
func (p *Pool) Release(n int) { p.inUse.Add(-int64(n)) }

// Buffer holds the data of a read. It counts in the pool until Release.
type Buffer struct {
	Bytes    []byte
	pool     *Pool
	reserved int
}

// Release returns the memory to the pool; further calls have no effect. The bytes
// must not be used afterwards.
func (b *Buffer) Release() {
	b.pool.Release(b.reserved)
	b.reserved = 0
}

// grow makes space for at least n more bytes.
func (b *Buffer) grow(n int) error {
	if cap(b.Bytes)-len(b.Bytes) >= n {
		return nil
	}
	more := max(n, cap(b.Bytes))
	if err := b.pool.Reserve(b.reserved, more); err != nil {
		return err
	}
	b.reserved += more
	b.Bytes = slices.Grow(b.Bytes, more)
	return nil
}

// Read reads r until EOF. It returns a *LimitError as soon as there are more than
// limit bytes, or more than a quarter of the pool's limit, or the pool is full.
func (p *Pool) Read(r io.Reader, limit int) (*Buffer, error) {
	if p.limit > 0 {
		limit = min(limit, int(p.limit/poolDivisor))
	}
	b := &Buffer{pool: p}
	for {
		if err := b.grow(min(minReadBytes, limit+1-len(b.Bytes))); err != nil {
			b.Release()
			return nil, err
		}
		n, err := r.Read(b.Bytes[len(b.Bytes):cap(b.Bytes)])
		b.Bytes = b.Bytes[:len(b.Bytes)+n]
		switch {
		case len(b.Bytes) > limit:
			b.Release()
			return nil, &LimitError{Limit: int64(limit)}
		case errors.Is(err, io.EOF):
			return b, nil
		case err != nil:
			b.Release()
			return nil, err
		}
	}
}
