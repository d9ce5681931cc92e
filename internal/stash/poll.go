package stash

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/pause"
	"sesamehill.example/sesamehill/internal/wire"
)

const (
	// pollWait is the length of a long poll; with the way it stays well below
	// belief, so that a quiet store is believed all the time.
	pollWait  = 400 * time.Millisecond
	pollSlack = 400 * time.Millisecond
	// listPeriod bounds how long a lost event goes unnoticed.
	listPeriod = 12 * time.Second
	retryPause = 150 * time.Millisecond
)

// Reader reads the state of a store.
type Reader interface {
	Events(ctx context.Context, address string, since uint64, wait time.Duration) (Events, error)
	List(ctx context.Context, address string) (Listing, error)
}

// Poller keeps a catalog up to date about one store.
type Poller struct {
	catalog *Catalog
	reader  Reader
	address string
	log     *zap.Logger
	listAt  time.Duration
	lost    bool
}

// NewPoller returns a poller of the store at an address.
func NewPoller(c *Catalog, r Reader, address string, log *zap.Logger) *Poller {
	return &Poller{catalog: c, reader: r, address: address, log: log}
}

// Run polls until ctx ends.
func (p *Poller) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := p.step(ctx)
		if ctx.Err() != nil {
			break
		}
		p.note(err)
		if err == nil {
			continue
		}
		if pause.For(ctx, retryPause+time.Duration(rand.Int64N(int64(retryPause)))) != nil {
			break
		}
	}
	return nil //nolint:nilerr // the end of ctx is the normal end
}

func (p *Poller) note(err error) {
	switch {
	case err != nil && !p.lost:
		p.log.Warn("dependency lost", zap.String("store", p.address), zap.Error(err))
	case err == nil && p.lost:
		p.log.Info("dependency regained", zap.String("store", p.address))
	}
	p.lost = err != nil
}

func (p *Poller) step(ctx context.Context) error {
	began := wire.Boot()
	ctx, cancel := context.WithTimeout(ctx, pollWait+pollSlack)
	defer cancel()
	since, ok := p.catalog.Since(p.address)
	if !ok || began > p.listAt {
		l, err := p.reader.List(ctx, p.address)
		if err != nil {
			return err
		}
		p.catalog.Listed(p.address, l, began)
		p.listAt = began + listPeriod + time.Duration(rand.Int64N(int64(listPeriod/4)))
		return nil
	}
	e, err := p.reader.Events(ctx, p.address, since, pollWait)
	if err != nil {
		return err
	}
	if !p.catalog.Heard(p.address, e, began) {
		p.listAt = 0
	}
	return nil
}
