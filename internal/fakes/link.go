package fakes

import (
	"context"
	"sync"
	"time"

	"sesamehill.example/sesamehill/internal/pause"
)

// Link is a simulated network link with a fixed rate. Transfers over it run one
// after another.
type Link struct {
	mu     sync.Mutex
	rate   float64
	freeAt time.Time
	bytes  int64
}

// NewLink returns a link with a rate in bytes per second.
func NewLink(rate float64) *Link { return &Link{rate: rate} }

// Bytes returns the number of bytes that were sent over the link.
func (l *Link) Bytes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes
}

// SetRate changes the rate of later transfers.
func (l *Link) SetRate(rate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rate = rate
}

// transfer waits until the link has carried n bytes. A nil link has no limit.
func (l *Link) transfer(ctx context.Context, n int) error {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(n) / l.rate * float64(time.Second)))
	l.bytes += int64(n)
	wait := l.freeAt.Sub(now)
	l.mu.Unlock()
	return pause.For(ctx, wait)
}
