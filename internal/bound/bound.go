// Package bound limits the memory that bytes from outside take.
//
// A target, a store, another host or a caller in trouble may send without end. A
// read ends with a *LimitError at the limit of its call, or when everything that
// the host holds for such reads reaches the limit of the pool. The reader then
// closes the connection and counts the failure of its peer.
//
// # Usage
//
//	pool := bound.NewPool(16 << 20)
//	held, err := pool.Read(resp.Body, 64<<10)
//	if err != nil {
//		return err
//	}
//	defer held.Release()
//	use(held.Bytes)
//
// # Units
//
// All limits are bytes. A limit counts what has been received, before it is
// decoded.
package bound

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"sync/atomic"
)

const (
	// minRead is the least space for a read.
	minRead = 4 << 10
	// smallRead is what a read may hold although the pool is full, so that peers
	// which send without end do not keep small answers of others from being read.
	smallRead = 8 << 10
	// readShare is the divisor of the pool's limit for one read.
	readShare = 4
)

// LimitError says that bytes from outside exceed a limit.
type LimitError struct {
	// Limit is the limit in bytes.
	Limit int64
	// Total says that the limit is that of all reads of the host together.
	Total bool
}

// Error names the limit and the remedy.
func (e *LimitError) Error() string {
	if e.Total {
		return fmt.Sprintf("the host holds %d bytes from outside, its limit; send again later", e.Limit)
	}
	return fmt.Sprintf("the answer exceeds %d bytes; its sender must send less", e.Limit)
}

// Pool counts the bytes that are held for all reads of a host. It is safe for
// concurrent use.
type Pool struct {
	limit int64
	held  atomic.Int64
}

// NewPool returns a pool with a limit; zero or less stands for no limit.
func NewPool(limit int64) *Pool { return &Pool{limit: limit} }

// Held returns the bytes that are held.
func (p *Pool) Held() int64 { return p.held.Load() }

// Take notes that a read that holds some bytes is to hold n more. It returns a
// *LimitError, and notes nothing, if the pool is full and the read is not small.
func (p *Pool) Take(holds, n int) error {
	now := p.held.Add(int64(n))
	if p.limit > 0 && now > p.limit && holds+n > smallRead {
		p.held.Add(-int64(n))
		return &LimitError{Limit: p.limit, Total: true}
	}
	return nil
}

// Give notes that n bytes are no longer held.
func (p *Pool) Give(n int) { p.held.Add(-int64(n)) }

// Held is what a read has brought. Its bytes count in the pool until Release.
type Held struct {
	Bytes []byte
	pool  *Pool
	taken int
}

// Release ends the use of the bytes; further calls change nothing.
func (h *Held) Release() {
	h.pool.Give(h.taken)
	h.taken = 0
}

// grow makes room for at least n more bytes.
func (h *Held) grow(n int) error {
	if cap(h.Bytes)-len(h.Bytes) >= n {
		return nil
	}
	more := max(n, cap(h.Bytes))
	if err := h.pool.Take(h.taken, more); err != nil {
		return err
	}
	h.taken += more
	h.Bytes = slices.Grow(h.Bytes, more)
	return nil
}

// Read reads r to its end. It returns a *LimitError as soon as there are more
// than limit bytes, or more than a quarter of the pool's limit, or the pool is
// full.
func (p *Pool) Read(r io.Reader, limit int) (*Held, error) {
	if p.limit > 0 {
		limit = min(limit, int(p.limit/readShare))
	}
	h := &Held{pool: p}
	for {
		if err := h.grow(min(minRead, limit+1-len(h.Bytes))); err != nil {
			h.Release()
			return nil, err
		}
		n, err := r.Read(h.Bytes[len(h.Bytes):cap(h.Bytes)])
		h.Bytes = h.Bytes[:len(h.Bytes)+n]
		switch {
		case len(h.Bytes) > limit:
			h.Release()
			return nil, &LimitError{Limit: int64(limit)}
		case errors.Is(err, io.EOF):
			return h, nil
		case err != nil:
			h.Release()
			return nil, err
		}
	}
}
