// Package logs writes structured lines without ever holding up their writers.
//
// Lines wait in a bounded buffer for a single goroutine, which writes those that
// gathered in a tenth of a second together. A line that finds the buffer full is
// dropped and counted; the count is logged once there is room.
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
	maxLines = 4096
	// gather is the time in which lines gather after one was written, and maxBatch
	// the bytes that are written together at most.
	gather    = 100 * time.Millisecond
	maxBatch  = 64 << 10
	syncLimit = 500 * time.Millisecond
)

// writer is a zapcore.WriteSyncer that never blocks.
type writer struct {
	lines   chan []byte
	flush   chan chan struct{}
	dropped atomic.Int64
	out     io.Writer
}

// Log is a logger with its controls.
type Log struct {
	*zap.Logger
	level zap.AtomicLevel
	out   *writer
}

// SetLevel changes the level.
func (l *Log) SetLevel(level string) error {
	return errors.Trace(l.level.UnmarshalText([]byte(level)))
}

// Flush waits for the lines written so far, but not for long.
func (l *Log) Flush() { l.out.wait() }

// New returns a logger of JSON lines.
func New(out io.Writer, level string) (*Log, error) {
	l, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, errors.Trace(err)
	}
	w := &writer{lines: make(chan []byte, maxLines), flush: make(chan chan struct{}), out: out}
	go w.run()
	e := zap.NewProductionEncoderConfig()
	e.EncodeTime = zapcore.ISO8601TimeEncoder
	log := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(e), w, l))
	return &Log{Logger: log, level: l, out: w}, nil
}

// Write queues a line or drops it.
func (w *writer) Write(b []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), b...):
	default:
		w.dropped.Add(1)
	}
	return len(b), nil
}

// Sync does nothing; lines are written as they come.
func (*writer) Sync() error { return nil }

func (w *writer) run() {
	for {
		select {
		case b := <-w.lines:
			w.rest(b)
		case reply := <-w.flush:
			w.rest(nil)
			close(reply)
			continue
		}
		t := time.NewTimer(gather)
		select {
		case <-t.C:
		case reply := <-w.flush:
			w.rest(nil)
			close(reply)
		}
		t.Stop()
	}
}

// rest writes b and the lines that wait.
func (w *writer) rest(b []byte) {
	for {
		select {
		case line := <-w.lines:
			b = append(b, line...)
		default:
			w.write(b)
			return
		}
		if len(b) >= maxBatch {
			w.write(b)
			b = b[:0]
		}
	}
}

// write writes lines. A reader that is gone leaves nobody to tell.
func (w *writer) write(b []byte) {
	if len(b) > 0 {
		_, _ = w.out.Write(b)
	}
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w.out, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", n)
	}
}

func (w *writer) wait() {
	t := time.NewTimer(syncLimit)
	defer t.Stop()
	reply := make(chan struct{})
	select {
	case w.flush <- reply:
	case <-t.C:
		return
	}
	select {
	case <-reply:
	case <-t.C:
	}
}
