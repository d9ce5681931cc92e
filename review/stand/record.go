package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file with what was sent, answered and run. Its lines begin with the
// milliseconds since the start of the case.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the record of a case in a folder.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	return &Record{file: f, start: time.Now()}, err
}

// Add adds a line.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%7d %s\n", time.Since(r.start).Milliseconds(), fmt.Sprintf(format, args...))
}

// Now returns the time since the start of the case.
func (r *Record) Now() time.Duration { return time.Since(r.start) }

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }
