//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// slowClients is the size of the crowd, slowTime the time for which it is observed.
	slowClients = 700
	slowTime    = 20 * time.Second
	// ordinaryClients try a new connection each ordinaryPause.
	ordinaryClients = 12
	ordinaryPause   = 250 * time.Millisecond
)

// playSlow has ordinary clients open new connections for short reads beside a crowd.
func playSlow(r *rig) {
	r.newWorker("i-a1", appService, "", time.Now().UnixMilli(), 5*time.Millisecond).put("ready", 1)
	r.newWorker("i-7f3a91c2", llmService, "", time.Now().UnixMilli(), 0).put("ready", 1)
	r.putConfig(streamRoute(), appRoute("idempotent", "/wuhu344/", 2))
	r.startHost()

	ctx, stop := context.WithCancel(context.Background())
	c := r.startCrowd(ctx, slowClients)
	time.Sleep(time.Second)
	var tried, served, refused, unread, other atomic.Int64
	observed, done := context.WithTimeout(ctx, slowTime)
	defer done()
	var group sync.WaitGroup
	for client := range ordinaryClients {
		group.Go(func() {
			for n := 0; observed.Err() == nil; n++ {
				tried.Add(1)
				openedAt := time.Now()
				switch status := r.get("/wuhu344/2f", fmt.Sprintf("%08x%08x", client, n)); status {
				case 0:
					unread.Add(1)
				case http.StatusOK:
					served.Add(1)
					c.taken.add(openedAt)
				case http.StatusServiceUnavailable, http.StatusTooManyRequests:
					refused.Add(1)
					c.taken.add(openedAt)
				default:
					other.Add(1)
				}
				time.Sleep(ordinaryPause)
			}
		})
	}
	notReady := 0
	for observed.Err() == nil {
		ready := r.isReady()
		if !ready {
			notReady++
		}
		r.record("ready %v, resident %d MB; ordinary clients: tried %d, served %d, refused %d, closed without an answer %d; crowd: begun %d, ended %d", ready, r.resident(), tried.Load(), served.Load(), refused.Load(), unread.Load(), c.begun.Load(), c.ended.Load())
		time.Sleep(time.Second)
	}
	group.Wait()
	gap := c.taken.longestGap()
	stop()
	c.group.Wait()
	r.finish(gap > contactTime && notReady == 0, "the longest time in which the host, ready all the while (%d misses), took no new connection of %d ordinary clients or of the crowd was %v; ordinary clients: tried %d, served %d, refused %d, closed without an answer %d, other %d",
		notReady, ordinaryClients, gap.Round(time.Millisecond), tried.Load(), served.Load(), refused.Load(), unread.Load(), other.Load())
}
