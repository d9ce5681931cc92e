// Package logs writes structured log lines without ever blocking the caller.
//
// Lines are queued in a bounded buffer. A single goroutine writes them in batches,
// at most one each tenth of a second. A line is dropped and counted if the buffer is
// full; the count is logged with the next batch.
//
// # Usage
//
//	log, err := logs.New(os.Stdout, "info")
//	defer log.Flush()
package logs

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	maxQueuedLines = 4096
	// batchInterval is the time between two batches, maxBatchBytes the size from which
	// a batch is written at once.
	batchInterval = 100 * time.Millisecond
	maxBatchBytes = 64 << 10
	flushTimeout  = 500 * time.Millisecond
)

// writer is a zapcore.WriteSyncer that queues lines and never blocks.
type writer struct {
	lines   chan []byte
	flush   chan chan struct{}
	dropped atomic.Int64
	out     io.Writer
}

// Log is a logger whose level can be changed and whose lines can be flushed.
type Log struct {
	*zap.Logger
	level zap.AtomicLevel
	out   *writer
}

// SetLevel changes the level, for example to "debug".
func (l *Log) SetLevel(level string) error {
	return errors.Trace(l.level.UnmarshalText([]byte(level)))
}

// Flush waits until the lines logged so far are written, but not longer than half a
// second.
func (l *Log) Flush() { l.out.waitFlushed() }

// New returns a logger that writes JSON lines to out.
func New(out io.Writer, level string) (*Log, error) {
	l, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, errors.Trace(err)
	}
	w := &writer{lines: make(chan []byte, maxQueuedLines), flush: make(chan chan struct{}), out: out}
	go w.run()
	e := zap.NewProductionEncoderConfig()
	e.EncodeTime = zapcore.ISO8601TimeEncoder
	log := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(e), w, l))
	return &Log{Logger: log, level: l, out: w}, nil
}

// Write queues a line, or drops it if the queue is full.
func (w *writer) Write(b []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), b...):
	default:
		w.dropped.Add(1)
	}
	return len(b), nil
}

// Sync does nothing; the goroutine of the writer writes the lines.
func (*writer) Sync() error { return nil }

// run writes the queued lines in batches. It never returns.
func (w *writer) run() {
	for {
		select {
		case b := <-w.lines:
			w.writeQueued(b)
		case done := <-w.flush:
			w.writeQueued(nil)
			close(done)
			continue
		}
		t := time.NewTimer(batchInterval)
		select {
		case <-t.C:
		case done := <-w.flush:
			w.writeQueued(nil)
			close(done)
		}
		t.Stop()
	}
}

// writeQueued writes b and all queued lines.
func (w *writer) writeQueued(b []byte) {
	for {
		select {
		case line := <-w.lines:
			b = append(b, line...)
		default:
			w.write(b)
			return
		}
		if len(b) >= maxBatchBytes {
			w.write(b)
			b = b[:0]
		}
	}
}

// write writes a batch of lines and the number of dropped ones. Errors are ignored,
// as there is no other place to report them.
func (w *writer) write(b []byte) {
	if len(b) > 0 {
		_, _ = w.out.Write(b)
	}
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w.out, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", n)
	}
}

func (w *writer) waitFlushed() {
	t := time.NewTimer(flushTimeout)
	defer t.Stop()
	done := make(chan struct{})
	select {
	case w.flush <- done:
	case <-t.C:
		return
	}
	select {
	case <-done:
	case <-t.C:
	}
}
