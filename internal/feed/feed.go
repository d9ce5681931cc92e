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
	// pollWait is the length of a long poll. The keep-alive probes detect a dead
	// connection sooner.
	pollWait = 6 * time.Second
	// transferTimeout bounds the time in which the rows of a call are received. A source
	// notices sooner that no data arrives.
	transferTimeout = 8 * time.Second
	// minRetryDelay and maxRetryDelay bound the delay after a failed call.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 600 * time.Millisecond
)

// Row is a row of a table, or the removal of one.
type Row struct {
	Key     string `cbor:"1,keyasint"`
	Value   []byte `cbor:"2,keyasint,omitempty"`
	Version uint64 `cbor:"3,keyasint"`
	Removed bool   `cbor:"4,keyasint,omitempty"`
	// Era is the era of the platform in which the row was read.
	Era uint64 `cbor:"5,keyasint,omitempty"`
	// AtMs is the time on the platform's clock at which the change was received, if the
	// table was followed without a gap until then; zero if it may have happened earlier.
	AtMs int64 `cbor:"6,keyasint,omitempty"`
}

// Position returns the position of the change that wrote or removed the row.
func (r Row) Position() Position { return Position{Era: r.Era, Version: r.Version} }

// Source reads tables.
type Source interface {
	// List returns all rows and the position at which they were read.
	List(ctx context.Context, table string) ([]Row, Position, error)
	// Changes returns the rows changed after a position and the position to pass to
	// the next call. It waits if there are none yet. It returns a
	// *HistoryExpiredError if the source does not have all changes since the position, as
	// in another era.
	Changes(ctx context.Context, table string, after Position, wait time.Duration) ([]Row, Position, error)
}

// HistoryExpiredError says that the source no longer has the changes after a position.
type HistoryExpiredError struct {
	Table string
	After Position
}

// Error names the table and the remedy.
func (e *HistoryExpiredError) Error() string {
	return fmt.Sprintf("changes of table %q after position %s are no longer available; list the table again", e.Table, e.After)
}

// Handler receives the rows of a table. Its methods are called one at a time.
type Handler interface {
	// Listed receives all rows and replaces those received before.
	Listed(rows []Row)
	// Changed receives the rows that were changed or removed.
	Changed(rows []Row)
	// Unavailable is called when the table can no longer be read, Recovered when it
	// can be read again after that time. Recovered is also called, before Listed, when
	// the platform has returned from an older copy and no call had failed.
	Unavailable(err error)
	Recovered(after time.Duration)
}

// Watch follows one table.
type Watch struct {
	source  Source
	table   string
	handler Handler

	interval  func() time.Duration
	onSuccess func(Position)
	position  Position
	listed    bool
	// failingSince is the boot time at which calls began to fail; zero while they
	// succeed.
	failingSince time.Duration
	retryDelay   time.Duration
}

// Option changes a default of NewWatch.
type Option func(*Watch)

// WithInterval sets the time between a successful call and the next one, so that
// several changes arrive together.
func WithInterval(f func() time.Duration) Option { return func(w *Watch) { w.interval = f } }

// WithOnSuccess sets a function that is called after each successful call, with the
// position up to which the handler has received the table.
func WithOnSuccess(f func(Position)) Option { return func(w *Watch) { w.onSuccess = f } }

// NewWatch returns a watch of a table.
func NewWatch(s Source, table string, h Handler, opts ...Option) *Watch {
	w := &Watch{source: s, table: table, handler: h, interval: func() time.Duration { return 0 }, onSuccess: func(Position) {}}
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
			w.markAvailable()
			w.onSuccess(w.position)
			if pause.For(ctx, w.interval()) != nil {
				break
			}
			continue
		}
		var expired *HistoryExpiredError
		if errors.As(err, &expired) {
			w.listed = false
			continue
		}
		w.markUnavailable(err)
		if err := pause.For(ctx, w.nextRetryDelay()); err != nil {
			break
		}
	}
	return nil //nolint:nilerr // the end of ctx is the normal end
}

// step makes one call to the source and passes the rows to the handler.
func (w *Watch) step(ctx context.Context) error {
	if !w.listed {
		return w.list(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, pollWait+transferTimeout)
	defer cancel()
	rows, position, err := w.source.Changes(ctx, w.table, w.position, pollWait)
	if err != nil {
		return err
	}
	switch {
	case position.Era > w.position.Era:
		return &HistoryExpiredError{Table: w.table, After: w.position}
	case position.Before(w.position):
		return fmt.Errorf("table %q is at position %s, older than the known position %s; retry the call", w.table, position, w.position)
	}
	w.position = position
	if len(rows) > 0 {
		w.markAvailable()
		w.handler.Changed(rows)
	}
	return nil
}

func (w *Watch) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	rows, position, err := w.source.List(ctx, w.table)
	if err != nil {
		return err
	}
	if position.Before(w.position) {
		return fmt.Errorf("table %q was listed at position %s, older than the known position %s; list it again", w.table, position, w.position)
	}
	returned := w.position.Version != 0 && position.Era > w.position.Era && w.failingSince == 0
	w.position, w.listed = position, true
	w.markAvailable()
	if returned {
		w.handler.Recovered(0)
	}
	w.handler.Listed(rows)
	return nil
}

// markUnavailable records a failed call. It notifies the handler of the first one.
func (w *Watch) markUnavailable(err error) {
	if w.failingSince == 0 {
		w.failingSince = wire.BootTime()
		w.handler.Unavailable(err)
	}
}

// markAvailable records a successful call. It notifies the handler if calls failed
// before.
func (w *Watch) markAvailable() {
	w.retryDelay = 0
	if w.failingSince == 0 {
		return
	}
	after := wire.BootTime() - w.failingSince
	w.failingSince = 0
	w.handler.Recovered(after)
}

// nextRetryDelay doubles the delay between retries and returns it with jitter.
func (w *Watch) nextRetryDelay() time.Duration {
	w.retryDelay = min(max(2*w.retryDelay, minRetryDelay), maxRetryDelay)
	return w.retryDelay/2 + time.Duration(rand.Int64N(int64(w.retryDelay)/2+1))
}
