//go:build review

package main

import (
	"fmt"
	"time"
)

// pathPairs are pairs of paths: without the disruption all bytes are percent-encoded, with it one
// byte is sent as it is, as browsers send it in the first three.
var pathPairs = [][2]string{
	{"/wuhu344/hive%7C12", "/wuhu344/hive|12"},
	{"/wuhu344/a%2Fb%7Cc", "/wuhu344/a%2Fb|c"},
	{"/wuhu344/x%2F..%2Fdelete%7C", "/wuhu344/x%2F..%2Fdelete|"},
	{"/wuhu344/caf%C3%A9%2F1", "/wuhu344/caf\xc3\xa9%2F1"},
	{"/wuhu344/q%2F1?k=a%7Cb", "/wuhu344/q%2F1?k=a|b"},
}

// playPath sends requests for paths, and compares them with what the worker gets.
func playPath(r *rig) {
	w := r.newWorker("i-a1", "", time.Now().UnixMilli(), time.Millisecond)
	got := map[string]string{}
	w.onRun = func(id, target string) {
		w.mu.Lock()
		defer w.mu.Unlock()
		got[id] = target
	}
	w.put("ready", 1)
	r.putConfig("idempotent", "/wuhu344/", 2)
	r.startHost()
	changed, ran := 0, 0
	for n, pair := range pathPairs {
		path, id := pair[0], fmt.Sprintf("%016x", n)
		if r.trouble {
			path = pair[1]
		}
		status := r.get(path, id)
		w.mu.Lock()
		at, ok := got[id]
		w.mu.Unlock()
		r.record("client sends GET %s; worker runs %q (%v); client gets %d", path, at, ok, status)
		if ok {
			ran++
		}
		if ok && at != path {
			changed++
		}
	}
	r.finish(changed > 0, "%d of %d requests that ran had another path at the worker than at the client", changed, ran)
}
