//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// playLeaving has a worker say in its answers that it leaves, as one does that never reports it. With
// the disruption, another writer overwrites its entry once with bytes that can't be read; the worker's
// next heartbeat corrects that.
func playLeaving(r *rig) {
	now := time.Now().UnixMilli()
	leaver, other := r.newWorker("i-a1", "", now, bookWork), r.newWorker("i-b2", "", now, bookWork)
	var gone atomic.Bool
	beat := func(n int) {
		if !gone.Load() {
			leaver.put("ready", n)
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
	r.putConfig("non_idempotent", "/bobo563/", 1)
	r.startHost()

	var sent, answered, refused, failed, lost atomic.Int64
	var mu sync.Mutex
	var passedAt time.Time // when the host had passed on the first answer that says it
	late := 0
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(bookEvery):
			}
			group.Go(func() {
				id, sentAt := fmt.Sprintf("%016x", n), time.Now()
				sent.Add(1)
				status, whole, leaving := r.bookAt(id)
				ran := leaver.ran(id) > 0
				switch {
				case status == http.StatusOK && whole:
					answered.Add(1)
				case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
					refused.Add(1)
				default:
					failed.Add(1)
					if ran {
						lost.Add(1)
					}
				}
				mu.Lock()
				defer mu.Unlock()
				if leaving && passedAt.IsZero() {
					passedAt = time.Now()
					r.record("the host has passed on an answer of worker i-a1 that says that it leaves")
				}
				if after := sentAt.Sub(passedAt); ran && !passedAt.IsZero() && after > drainTime {
					late++
					r.record("request %s, sent %v after that, has reached worker i-a1 (answer %d)", id, after.Round(time.Millisecond), status)
				}
			})
		}
	})
	time.Sleep(contactTime)
	leaver.leaving.Store(true)
	time.Sleep(drainTime + 2*heartbeat)
	if r.trouble {
		r.store.PutBytes("servers", leaver.id, []byte("\xff not an entry"))
		r.record("another writer overwrites the entry of worker i-a1 with bytes that can't be read")
	}
	time.Sleep(heartbeat + 100*time.Millisecond)
	gone.Store(true)
	leaver.stop()
	r.store.Remove("servers", leaver.id)
	r.record("worker i-a1 has left")
	time.Sleep(time.Second)
	close(stop)
	group.Wait()
	r.record("bookings: sent %d, answered %d, refused %d, failed %d, of these run by worker i-a1 %d", sent.Load(), answered.Load(), refused.Load(), failed.Load(), lost.Load())
	r.finish(late > 0, "%d requests that clients sent later than DrainMs after such an answer reached the worker", late)
}
