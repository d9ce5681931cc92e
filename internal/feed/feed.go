package feed

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"sesamehill.example/sesamehill/internal/pause"
	"sesamehill.example/sesamehill/internal/wire"
)

const (
	// wait is the length of a long poll. A silent connection is noticed sooner, by
	// its keep-alive probes.
	wait = 6 * time.Second
	// slack is added to the wait before a call counts as failed.
	slack       = 700 * time.Millisecond
	listTimeout = 1500 * time.Millisecond
	// firstDelay and maxDelay bound the delay after a failed call.
	firstDelay = 100 * time.Millisecond
	maxDelay   = 600 * time.Millisecond
)

// Row is a row of a table or its removal.
type Row struct {
	Key     string `cbor:"1,keyasint"`
	Value   []byte `cbor:"2,keyasint,omitempty"`
	Version uint64 `cbor:"3,keyasint"`
	Removed bool   `cbor:"4,keyasint,omitempty"`
}

// Source reads tables.
type Source interface {
	// List returns all rows and the version at which they were read.
	List(ctx context.Context, table string) ([]Row, uint64, error)
	// Changes returns the rows changed after a version and the version to go on
	// from. It returns a *GoneError if the history no longer reaches back.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]Row, uint64, error)
}

// GoneError says that the history after a version is no longer kept.
type GoneError struct {
	Table string
	After uint64
}

// Error names the table and the remedy.
func (e *GoneError) Error() string {
	return fmt.Sprintf("history of table %q after version %d is gone; list the table anew", e.Table, e.After)
}

// Handler learns what a table says. Calls come one at a time.
type Handler interface {
	// Listed replaces everything known.
	Listed(rows []Row)
	// Changed adds to what is known.
	Changed(rows []Row)
	// Lost says that the table cannot be read, Regained that it can be again
	// after it was lost for a time.
	Lost(err error)
	Regained(after time.Duration)
}

// Watch follows one table.
type Watch struct {
	source  Source
	table   string
	handler Handler

	pace    func() time.Duration
	seen    func(version uint64)
	version uint64
	listed  bool
	// lost is the boot time at which calls began to fail; zero while they work.
	lost  time.Duration
	delay time.Duration
}

// Option changes a default of NewWatch.
type Option func(*Watch)

// WithPace sets the time between a change and the next call, in which further
// changes gather.
func WithPace(f func() time.Duration) Option { return func(w *Watch) { w.pace = f } }

// WithSeen sets a function that is called after each answered call, with the
// version up to which the handler knows the table.
func WithSeen(f func(version uint64)) Option { return func(w *Watch) { w.seen = f } }

// NewWatch returns a watch of a table.
func NewWatch(s Source, table string, h Handler, opts ...Option) *Watch {
	w := &Watch{source: s, table: table, handler: h, pace: func() time.Duration { return 0 }, seen: func(uint64) {}}
	for _, o := range opts {
		o(w)
	}
	return w
}

// Run follows the table until ctx ends.
func (w *Watch) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := w.step(ctx)
		if ctx.Err() != nil {
			break
		}
		if err == nil {
			w.regain()
			w.seen(w.version)
			if pause.For(ctx, w.pace()) != nil {
				break
			}
			continue
		}
		var gone *GoneError
		if errors.As(err, &gone) {
			w.listed = false
			continue
		}
		w.lose(err)
		if err := pause.For(ctx, w.backoff()); err != nil {
			break
		}
	}
	return nil //nolint:nilerr // the end of ctx is the normal end
}

func (w *Watch) step(ctx context.Context) error {
	if !w.listed {
		return w.list(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+slack)
	defer cancel()
	rows, version, err := w.source.Changes(ctx, w.table, w.version, wait)
	if err != nil {
		return err
	}
	if version < w.version {
		return fmt.Errorf("table %q was at version %d after %d; ask again", w.table, version, w.version)
	}
	w.version = version
	if len(rows) > 0 {
		w.regain()
		w.handler.Changed(rows)
	}
	return nil
}

func (w *Watch) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	rows, version, err := w.source.List(ctx, w.table)
	if err != nil {
		return err
	}
	if version < w.version {
		return fmt.Errorf("table %q was listed at version %d after %d; list it again", w.table, version, w.version)
	}
	w.version, w.listed = version, true
	w.regain()
	w.handler.Listed(rows)
	return nil
}

func (w *Watch) lose(err error) {
	if w.lost == 0 {
		w.lost = wire.Boot()
		w.handler.Lost(err)
	}
}

func (w *Watch) regain() {
	w.delay = 0
	if w.lost == 0 {
		return
	}
	after := wire.Boot() - w.lost
	w.lost = 0
	w.handler.Regained(after)
}

func (w *Watch) backoff() time.Duration {
	w.delay = min(max(2*w.delay, firstDelay), maxDelay)
	return w.delay/2 + time.Duration(rand.Int64N(int64(w.delay)/2+1))
}
