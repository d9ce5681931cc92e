package retry

import (
	"sync"
	"time"
)

const (
	// windowParts is the number of parts in which a window is counted.
	windowParts = 20
	// windowMargin leaves room for hosts that count the same requests at slightly
	// different times.
	windowMargin = 0.8
)

// Allowance bounds the repeats that all hosts together send to one service
// within any window: a ratio of the requests and a fixed number.
type Allowance struct {
	Ratio  float64
	Fixed  float64
	Window time.Duration
}

// Window is one host's share of an allowance for one service. The ratio counts
// the host's own requests; the fixed number is divided by the number of hosts.
type Window struct {
	mu       sync.Mutex
	allow    Allowance
	requests [windowParts]int
	repeats  [windowParts]int
	at       int64
}

// NewWindow returns an empty window.
func NewWindow(a Allowance) *Window { return &Window{allow: a} }

// SetAllowance changes the allowance. What was counted stays if the window is as
// long as before.
func (w *Window) SetAllowance(a Allowance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if a.Window != w.allow.Window {
		w.requests, w.repeats, w.at = [windowParts]int{}, [windowParts]int{}, 0
	}
	w.allow = a
}

// Request counts a first arrival.
func (w *Window) Request(now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.requests[w.at%windowParts]++
}

// Repeat counts one more arrival of a request if the share allows it.
func (w *Window) Repeat(now time.Duration, hosts int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	if float64(sum(w.repeats)+1) > w.share(hosts) {
		return false
	}
	w.repeats[w.at%windowParts]++
	return true
}

// Left returns the number of repeats that the share still allows.
func (w *Window) Left(now time.Duration, hosts int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	return max(int(w.share(hosts))-sum(w.repeats), 0)
}

func (w *Window) share(hosts int) float64 {
	own := w.allow.Ratio * float64(sum(w.requests))
	return windowMargin * (own + w.allow.Fixed/float64(max(hosts, 1)))
}

// advance clears the parts between the last call and now.
func (w *Window) advance(now time.Duration) {
	part := int64(now / (w.allow.Window / (windowParts - 1)))
	if part-w.at >= windowParts {
		w.requests, w.repeats = [windowParts]int{}, [windowParts]int{}
		w.at = part
		return
	}
	for w.at < part {
		w.at++
		w.requests[w.at%windowParts], w.repeats[w.at%windowParts] = 0, 0
	}
}

func sum(parts [windowParts]int) int {
	n := 0
	for _, p := range parts {
		n += p
	}
	return n
}
