package retry

import (
	"sync"
	"time"
)

const (
	// windowBuckets is the number of time buckets in which a window is counted.
	windowBuckets = 20
	// windowSafetyFactor reduces the allowance, because hosts count the same requests
	// at slightly different times.
	windowSafetyFactor = 0.8
)

// Allowance bounds the repeated requests that all hosts together send to one
// service within any window: Ratio times the number of first requests, plus Fixed. A host whose
// process has ended has counted none of what that one sent: Fixed counts for it from
// FixedFrom on, when no window reaches back to the end of that process.
type Allowance struct {
	Ratio     float64
	Fixed     float64
	Window    time.Duration
	FixedFrom time.Duration
}

// Window enforces one host's share of an allowance for one service. The ratio
// applies to the host's own requests, and the fixed number is divided by the number
// of hosts. A window is safe for concurrent use.
type Window struct {
	mu            sync.Mutex
	allowance     Allowance
	requests      [windowBuckets]int
	repeats       [windowBuckets]int
	currentBucket int64
}

// NewWindow returns an empty window.
func NewWindow(a Allowance) *Window { return &Window{allowance: a} }

// SetAllowance changes the allowance. It keeps the counts unless the length of the
// window changes.
func (w *Window) SetAllowance(a Allowance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if a.Window != w.allowance.Window {
		w.requests, w.repeats, w.currentBucket = [windowBuckets]int{}, [windowBuckets]int{}, 0
	}
	w.allowance = a
}

// AddRequest counts the first arrival of a request at a target.
func (w *Window) AddRequest(now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.requests[w.currentBucket%windowBuckets]++
}

// TryRepeat counts a repeated arrival of a request and returns true, provided that
// the host's share allows it. Otherwise it counts nothing.
func (w *Window) TryRepeat(now time.Duration, hosts int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	if float64(sum(w.repeats)+1) > w.share(now, hosts) {
		return false
	}
	w.repeats[w.currentBucket%windowBuckets]++
	return true
}

// Remaining returns the number of repeats that the host's share still allows.
func (w *Window) Remaining(now time.Duration, hosts int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	return max(int(w.share(now, hosts))-sum(w.repeats), 0)
}

// share returns the number of repeats that this host may send within the window.
func (w *Window) share(now time.Duration, hosts int) float64 {
	repeats := w.allowance.Ratio * float64(sum(w.requests))
	if now >= w.allowance.FixedFrom {
		repeats += w.allowance.Fixed / float64(max(hosts, 1))
	}
	return windowSafetyFactor * repeats
}

// advance clears the buckets between the last call and now.
func (w *Window) advance(now time.Duration) {
	bucket := int64(now / (w.allowance.Window / (windowBuckets - 1)))
	if bucket-w.currentBucket >= windowBuckets {
		w.requests, w.repeats = [windowBuckets]int{}, [windowBuckets]int{}
		w.currentBucket = bucket
		return
	}
	for w.currentBucket < bucket {
		w.currentBucket++
		w.requests[w.currentBucket%windowBuckets], w.repeats[w.currentBucket%windowBuckets] = 0, 0
	}
}

func sum(counts [windowBuckets]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}
