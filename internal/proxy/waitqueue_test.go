package proxy

import (
	"context"
	"testing"
	"time"

	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/queue"
	"sesamehill.example/sesamehill/internal/wire"
)

// Guards against a queue that counts time as waited after its last request has left it
// without a target.
func TestEmptyQueueDoesNotWait(t *testing.T) {
	w := newZoneWorld()
	w.set(t, []string{"target", "a", "own", "13"})
	w.fleet.SetRemoteInFlight("other", w.calls, fleet.Peer)
	j := w.job("first")
	j.Arrived = wire.BootTime()
	j.deadline = j.Arrived + 100*time.Millisecond
	if v, ok := w.proxy.acquire(context.Background(), j).(waitExpired); !ok {
		t.Fatalf("the request got %T, want waitExpired", v)
	}
	item := j.queueItem(wire.BootTime())
	var before queue.Waiting
	before.Add(item)
	wait := w.proxy.waitQueue("app").ratesOf("").Wait(before, item, wire.BootTime()+10*time.Minute)
	if wait > time.Second {
		t.Errorf("ten minutes after the queue was empty, the predicted wait is %s", wait)
	}
}
