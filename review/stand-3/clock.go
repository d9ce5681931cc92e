//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// clockStep is by how much the clock of a worker's machine is ahead when the worker starts.
	clockStep = 2 * time.Second
	// lifeTime is how long the worker runs until it crashes, and downTime how long it is down.
	lifeTime = 500 * time.Millisecond
	downTime = 800 * time.Millisecond
	// lingerTime is how long a worker serves on after DrainMs.
	lingerTime = 1500 * time.Millisecond
	bookEvery  = 17 * time.Millisecond
	bookWork   = 150 * time.Millisecond
)

// playClock restarts a worker of the plain service under its ID, and has it drain and leave later.
// With the disruption, the clock of its machine was ahead when it started first.
func playClock(r *rig) {
	ahead := time.Duration(0)
	if r.trouble {
		ahead = clockStep
	}
	now := time.Now()
	first := r.newWorker("i-a1", "", now.Add(ahead).UnixMilli(), bookWork)
	other := r.newWorker("i-b2", "", now.UnixMilli(), bookWork)
	first.put("ready", 1)
	other.put("ready", 1)
	r.putConfig("non_idempotent", "/bobo563/", 1)
	r.startHost()

	var mu sync.Mutex
	var drainSeen time.Time // when the store acknowledged `draining`
	lateRuns := 0
	var sent, answered, refused, failed, lost atomic.Int64
	stopBooking := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stopBooking:
				return
			case <-time.After(bookEvery):
			}
			id := fmt.Sprintf("%016x", n)
			group.Go(func() {
				sent.Add(1)
				switch status, whole := r.book(id); {
				case status == http.StatusOK && whole:
					answered.Add(1)
				case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
					refused.Add(1)
				default:
					failed.Add(1)
					if ran := first.ran(id) + other.ran(id); ran > 0 {
						lost.Add(1)
					}
				}
			})
		}
	})
	time.Sleep(time.Until(now.Add(lifeTime)))
	r.record("worker i-a1 (born %d) crashes", first.born)
	first.stop()
	time.Sleep(downTime)
	again := r.newWorker("i-a1", first.address, time.Now().UnixMilli(), bookWork)
	again.onRun = func(id, _ string) {
		mu.Lock()
		defer mu.Unlock()
		if !drainSeen.IsZero() && time.Since(drainSeen) > drainTime+300*time.Millisecond {
			lateRuns++
			r.record("worker i-a1 gets request %s %v after the store has acknowledged that it drains", id, time.Since(drainSeen).Round(time.Millisecond))
		}
	}
	again.put("ready", 1)
	r.record("worker i-a1 is back under its ID and address (born %d, %+d ms)", again.born, again.born-first.born)
	time.Sleep(contactTime)
	again.put("draining", 2)
	mu.Lock()
	drainSeen = time.Now()
	mu.Unlock()
	r.record("the store has acknowledged that worker i-a1 drains; it has run %d requests since its start", again.ranCount())
	time.Sleep(drainTime + lingerTime)
	before := failed.Load()
	again.stop()
	r.store.Remove("servers", "i-a1")
	r.record("worker i-a1 has left")
	time.Sleep(time.Second)
	close(stopBooking)
	group.Wait()
	mu.Lock()
	late := lateRuns
	mu.Unlock()
	r.record("bookings: sent %d, answered %d, refused %d, failed %d (%d when the worker left)", sent.Load(), answered.Load(), refused.Load(), failed.Load(), failed.Load()-before)
	r.finish(late > 0, "%d requests reached the worker later than DrainMs + 300 ms after the acknowledgement", late)
}
