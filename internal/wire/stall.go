package wire

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"
)

// ErrStalled is the cause of a context that ended because no progress was reported.
var ErrStalled = errors.New("no data was received for too long; retry the call")

type stallKey struct{}

// stallTimer ends a context unless it is reset.
type stallTimer struct {
	timer      *time.Timer
	timeout    time.Duration
	progressed atomic.Bool
}

// WithStallTimeout returns a context that ends after first, or, once progress was
// reported, timeout after the last report. A large response on a slow link is then
// received to its end, while a call without a response ends soon.
func WithStallTimeout(ctx context.Context, first, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := &stallTimer{timer: time.AfterFunc(first, func() { cancel(ErrStalled) }), timeout: timeout}
	return context.WithValue(ctx, stallKey{}, t), func() {
		t.timer.Stop()
		cancel(nil)
	}
}

// ReportProgress postpones the end of a context of WithStallTimeout.
func ReportProgress(ctx context.Context) {
	t, ok := ctx.Value(stallKey{}).(*stallTimer)
	if !ok {
		return
	}
	t.progressed.Store(true)
	if t.timer.Stop() {
		t.timer.Reset(t.timeout)
	}
}

// Progressed reports whether progress was reported to a context of WithStallTimeout.
func Progressed(ctx context.Context) bool {
	t, ok := ctx.Value(stallKey{}).(*stallTimer)
	return ok && t.progressed.Load()
}

// ProgressReader returns a reader of r that reports each read as progress.
func ProgressReader(ctx context.Context, r io.Reader) io.Reader {
	return &progressReader{ctx: ctx, reader: r}
}

type progressReader struct {
	ctx    context.Context //nolint:containedctx // the context of the call that the reader belongs to
	reader io.Reader
}

// Read reads from the underlying reader.
func (p *progressReader) Read(b []byte) (int, error) {
	n, err := p.reader.Read(b)
	if n > 0 {
		ReportProgress(p.ctx)
	}
	return n, err
}
