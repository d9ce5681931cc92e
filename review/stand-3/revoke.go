//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	// bodyClients is the size of the crowd.
	bodyClients = 500
	// moreRoutes is the number of routes besides those that are used.
	moreRoutes = 120
	// configTime is ConfigApplyMs.
	configTime = 2500 * time.Millisecond
	// keyPause is the time between two requests with the key that is taken away, and keyTime how long
	// they go on after that.
	keyPause = 50 * time.Millisecond
	keyTime  = 9 * time.Second
	lostKey  = "bvk9m68k7b2ex5wa5xwy"
)

// playRevoke takes a key away beside a crowd.
func playRevoke(r *rig) {
	app := r.newWorker("i-a1", appService, "", time.Now().UnixMilli(), time.Millisecond)
	app.put("ready", 1)
	r.newWorker("i-7f3a91c2", llmService, "", time.Now().UnixMilli(), 0).put("ready", 1)
	routes := []map[string]any{streamRoute(), appRoute("idempotent", "/wuhu344/", 2)}
	for i := range moreRoutes {
		more := appRoute("idempotent", fmt.Sprintf("/idle%03d/", i), 2)
		more["Name"] = fmt.Sprintf("r-idle-%03d", i)
		routes = append(routes, more)
	}
	r.putConfigVersion(7, []any{apiKey, lostKey}, routes...)
	r.startHost()
	if status := r.getWith(lostKey, "/wuhu344/2f", "before"); status != http.StatusOK {
		r.must(fmt.Errorf("a request with the key is answered %d before it is taken away", status))
	}

	ctx, stop := context.WithCancel(context.Background())
	c := r.startCrowd(ctx, bodyClients)
	time.Sleep(2 * time.Second)
	r.record("crowd: %d requests begun, %d ended; resident %d MB, ready %v", c.begun.Load(), c.ended.Load(), r.resident(), r.isReady())
	r.putConfigVersion(8, []any{apiKey}, routes...)
	acknowledged := time.Now()
	r.record("the store has acknowledged version 8, which takes the key away")
	late, tried, other := 0, 0, 0
	for n := 0; time.Since(acknowledged) < keyTime; n++ {
		sentAfter := time.Since(acknowledged)
		id := fmt.Sprintf("%016x", 0x5000+n)
		status := r.getWith(lostKey, "/wuhu344/2f", id)
		if r.getWith(apiKey, "/wuhu344/2f", "o"+id) == http.StatusOK {
			other++
		}
		tried++
		if app.ran(id) > 0 && sentAfter > configTime {
			late++
		}
		if n%20 == 0 {
			r.record("%v after the acknowledgement: a request with the key is answered %d; crowd: begun %d, ended %d", sentAfter.Round(time.Millisecond), status, c.begun.Load(), c.ended.Load())
		}
		time.Sleep(keyPause)
	}
	r.record("requests with the other key: %d of %d served; resident %d MB, ready %v", other, tried, r.resident(), r.isReady())
	stop()
	c.group.Wait()
	r.logLines("platform table cannot be read", 2)
	r.finish(late > 0, "%d of %d requests with a key that was taken away ran, sent later than ConfigApplyMs after the acknowledgement", late, tried)
}
