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
	// pauseSeconds is the Retry-After of the worker that wants a rest.
	pauseSeconds = 20
	// lapseAfter is how long after its last write a worker's entry is removed, and cutTime how long
	// the worker can't reach the store.
	lapseAfter = 3 * heartbeat
	cutTime    = 5 * time.Second
	readPause  = 20 * time.Millisecond
	readWork   = 150 * time.Millisecond
)

// playPause has a worker ask for a rest. With the disruption its entry lapses, as it can't reach the
// store, and is back, of the same start.
func playPause(r *rig) {
	now := time.Now().UnixMilli()
	tired, other := r.newWorker("i-a1", "", now, readWork), r.newWorker("i-b2", "", now, readWork)
	var mu sync.Mutex
	var askedAt time.Time
	within, before := 0, 0
	tired.onArrival = func(id string) int {
		mu.Lock()
		defer mu.Unlock()
		before++
		switch since := time.Since(askedAt); {
		case before < 20:
			return 0
		case askedAt.IsZero():
			askedAt = time.Now()
			r.record("worker i-a1 answers request %s with 503 and Retry-After: %d", id, pauseSeconds)
			return pauseSeconds
		case since > time.Second/2 && since < pauseSeconds*time.Second:
			within++
			if within <= 5 {
				r.record("request %s reaches worker i-a1 %v after it has asked for the rest", id, since.Round(time.Millisecond))
			}
		}
		return 0
	}
	var cut atomic.Bool
	beat := func(n int) {
		if !cut.Load() {
			tired.put("ready", n)
		}
		other.put("ready", n)
	}
	beat(1)
	go func() {
		for n := 2; ; n++ {
			time.Sleep(heartbeat)
			beat(n)
		}
	}()
	r.putConfig("idempotent", "/wuhu344/", 2)
	r.startHost()

	var sent, served atomic.Int64
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(readPause):
			}
			group.Go(func() {
				sent.Add(1)
				if r.get("/wuhu344/2f", fmt.Sprintf("%016x", n)) == http.StatusOK {
					served.Add(1)
				}
			})
		}
	})
	time.Sleep(contactTime)
	if r.trouble {
		cut.Store(true)
		r.record("worker i-a1 can't reach the store")
		time.Sleep(lapseAfter)
		r.store.Remove("servers", tired.id)
		r.record("its entry is removed after three heartbeat intervals of silence")
		time.Sleep(cutTime - lapseAfter)
		cut.Store(false)
		tired.put("ready", 1000)
		r.record("it reaches the store again and writes its entry")
	} else {
		time.Sleep(cutTime)
	}
	time.Sleep(contactTime + 2*time.Second)
	close(stop)
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	r.record("reads: sent %d, served %d", sent.Load(), served.Load())
	r.finish(within > 2, "%d requests reached the worker between half a second after it had asked for %d s of rest and the end of that time", within, pauseSeconds)
}
