package kvcat

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/pause"
	"sesamehill.example/sesamehill/internal/wire"
)

const (
	// pollWait is the length of a long poll. With the round trip it stays well
	// below maxStateAge, so that the state of a store without events never expires.
	// pollMargin is the time for the round trip, and the longest time without data of a
	// response.
	pollWait   = 400 * time.Millisecond
	pollMargin = 400 * time.Millisecond
	// listInterval limits for how long a lost event stays unnoticed.
	listInterval = 12 * time.Second
	// retryDelay is the minimum delay after a failed poll; jitter adds up to the same.
	retryDelay = 150 * time.Millisecond
)

// Reader reads the events and the contents of a store.
type Reader interface {
	// Events returns the events since a number. It waits for one if there are none.
	Events(ctx context.Context, address string, since uint64, wait time.Duration) (Events, error)
	// List returns all parts in a store.
	List(ctx context.Context, address string) (Listing, error)
}

// Poller keeps the state of one store in a catalog up to date.
type Poller struct {
	catalog *Catalog
	reader  Reader
	address string
	log     *zap.Logger
	// nextList is the boot time at which the store is listed again.
	nextList time.Duration
	// failing is set while polls fail.
	failing bool
}

// NewPoller returns a poller of the store at an address.
func NewPoller(c *Catalog, r Reader, address string, log *zap.Logger) *Poller {
	return &Poller{catalog: c, reader: r, address: address, log: log}
}

// Run polls the store until ctx ends.
func (p *Poller) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := p.poll(ctx)
		if ctx.Err() != nil {
			break
		}
		p.logTransition(err)
		if err == nil {
			continue
		}
		if pause.For(ctx, retryDelay+time.Duration(rand.Int64N(int64(retryDelay)))) != nil {
			break
		}
	}
	return nil //nolint:nilerr // the poller ends only with ctx
}

// logTransition logs the first failed poll and the first successful one after it.
func (p *Poller) logTransition(err error) {
	switch {
	case err != nil && !p.failing:
		p.log.Warn("polling the store failed", zap.String("store", p.address), zap.Error(err))
	case err == nil && p.failing:
		p.log.Info("polling the store succeeded again", zap.String("store", p.address))
	}
	p.failing = err != nil
}

// poll lists the store if this is due, and otherwise long-polls its events.
func (p *Poller) poll(ctx context.Context) error {
	began := wire.BootTime()
	ctx, cancel := wire.WithStallTimeout(ctx, pollWait+pollMargin, pollMargin)
	defer cancel()
	since, ok := p.catalog.Since(p.address)
	if !ok || began > p.nextList {
		l, err := p.reader.List(ctx, p.address)
		if err != nil {
			return err
		}
		p.catalog.RecordListing(p.address, l, began)
		p.nextList = began + listInterval + time.Duration(rand.Int64N(int64(listInterval/4)))
		return nil
	}
	e, err := p.reader.Events(ctx, p.address, since, pollWait)
	if err != nil {
		return err
	}
	if !p.catalog.RecordEvents(p.address, e, began) {
		p.nextList = 0
	}
	return nil
}
