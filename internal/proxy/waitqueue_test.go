package proxy

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

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
	v := w.proxy.acquire(context.Background(), j)
	if _, ok := v.(waitExpired); !ok {
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

// Guards against a request that waits to its time limit although the room that was kept for
// more urgent ones is free again: nothing else may happen that starts a dispatch.
func TestKeptRoomIsTriedAgain(t *testing.T) {
	w := reserveWorld(t)
	WithHosts(func() int { return 32 })(w.proxy)
	w.fleet.SetRemoteInFlight("other", map[string]fleet.InFlight{"a": {Calls: 8}, "b": {Calls: 8}}, fleet.Peer)
	j := &job{Call: w.job("first").Call, excluded: map[string]bool{}, log: zap.NewNop()}
	j.Arrived, j.Timeout = wire.BootTime(), 4*time.Second
	if r := w.proxy.findRoute(j, "h", j.URL.Path); r != nil {
		t.Fatal(r)
	}
	j.setDeadline(nil)
	v := w.proxy.acquire(context.Background(), j)
	if _, ok := v.(granted); !ok {
		t.Errorf("the request got %T, want granted", v)
	}
	if j.queueTime < 100*time.Millisecond {
		t.Errorf("the request waited %s, so that this tests nothing", j.queueTime)
	}
}
