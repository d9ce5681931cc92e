package proxy

import (
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"
	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/opconf"
	"sesamehill.example/sesamehill/internal/queue"
	"sesamehill.example/sesamehill/internal/room"
	"sesamehill.example/sesamehill/internal/wire"
)

// explainWorld returns a host whose configuration has a route to the service.
func explainWorld(t *testing.T) *zoneWorld {
	t.Helper()
	config, err := opconf.New(opconf.Config{
		Version: 1, Services: []opconf.Service{{Name: "app"}},
		Routes: []opconf.Route{{Name: "r", Host: "h", Prefix: "/app/", LatencyTarget: time.Second, Shares: []opconf.Share{{Service: "app", Weight: 1}}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	w := newZoneWorld()
	w.proxy.SetConfig(config)
	return w
}

// check compares the explanation of a request with what the request does at this moment.
func (w *zoneWorld) check(t *testing.T, id string) Explanation {
	t.Helper()
	call := w.job(id).Call
	e := w.proxy.Explain(call)
	j := w.job(id)
	if r := w.proxy.findRoute(j, "h", call.URL.Path); r != nil {
		t.Fatal(r)
	}
	outcome, target := Rejected, ""
	switch v := w.proxy.choose(j).(type) {
	case granted:
		outcome, target = Sent, v.ID
		defer v.attempt.End(fleet.ClientDisconnected)
	case nil:
		outcome = Waits
	}
	if e.Outcome != outcome || e.Target != target {
		t.Errorf("explained as %s %s, the request is %s %s", e.Outcome, e.Target, outcome, target)
	}
	if outcome != Sent && (e.Refusal == nil || e.Refusal.Reason == "") {
		t.Error("the explanation names no refusal")
	}
	return e
}

// Guards against explanations that differ from what a request does at that moment.
func TestExplain(t *testing.T) {
	for _, file := range []string{"testdata/explain.txtar", "testdata/zones.txtar"} {
		archive, err := txtar.ParseFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, script := range archive.Files {
			t.Run(script.Name, func(t *testing.T) { playExplanation(t, string(script.Data)) })
		}
	}
}

func playExplanation(t *testing.T, script string) {
	t.Helper()
	w := explainWorld(t)
	reasons, explained := map[string]string{}, Explanation{}
	for line := range strings.Lines(script) {
		f := strings.Fields(line)
		switch {
		case f[0] == "=>":
			w.fleet.SetRemoteInFlight("other", w.calls, fleet.Peer)
			explained = w.check(t, "first")
			for i := range 50 {
				w.check(t, fmt.Sprint("request-", i))
			}
			for _, target := range explained.Targets {
				reasons[target.ID] = target.Reason
			}
			if len(f) == 2 && string(explained.Outcome) != f[1] {
				t.Errorf("explained as %s, want %s", explained.Outcome, f[1])
			}
		case len(explained.Targets) > 0:
			if want := strings.TrimPrefix(strings.TrimSpace(strings.TrimPrefix(line, f[0])), "-"); reasons[f[0]] != want {
				t.Errorf("target %s: %q, want %q", f[0], reasons[f[0]], want)
			}
		default:
			w.set(t, f)
		}
	}
}

// reserveWorld returns one of many hosts that share two engines. Each engine has one free
// slot, which more urgent requests are expected to take.
func reserveWorld(t *testing.T) *zoneWorld {
	t.Helper()
	config, err := opconf.New(opconf.Config{
		Version:  1,
		Services: []opconf.Service{{Name: "app", Engine: &opconf.Engine{Slots: 10, CapacityTokens: 100_000}}},
		Routes:   []opconf.Route{{Name: "r", Host: "h", Prefix: "/app/", LatencyTarget: time.Second, Priority: 2, Shares: []opconf.Share{{Service: "app", Weight: 1}}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	w := newZoneWorld()
	WithHosts(func() int { return 330 })(w.proxy)
	w.proxy.SetConfig(config)
	w.set(t, []string{"target", "a", "own", "9"})
	w.set(t, []string{"target", "b", "own", "9"})
	w.set(t, []string{"prompt", "400"})
	w.fleet.SetRemoteInFlight("other", w.calls, fleet.Peer)
	demand := &w.proxy.waitQueue("app").demand
	demand.Arrived(room.Kind{Target: time.Second}, room.Load{Calls: 1, Tokens: 400}, wire.BootTime())
	return w
}

// Guards against an explanation that sends a request to an engine whose room is kept for more
// urgent ones.
func TestExplainReserve(t *testing.T) {
	w := reserveWorld(t)
	e := w.proxy.Explain(w.job("first").Call)
	if e.Outcome != Waits {
		t.Errorf("explained as %s, want waits", e.Outcome)
	}
	for _, target := range e.Targets {
		if target.Reason != littleRoomReason {
			t.Errorf("target %s: %q, want %q", target.ID, target.Reason, littleRoomReason)
		}
	}
	call := w.job("first").Call
	call.Arrived = wire.BootTime()
	j := &job{Call: call, excluded: map[string]bool{}, log: zap.NewNop()}
	if r := w.proxy.findRoute(j, "h", call.URL.Path); r != nil {
		t.Fatal(r)
	}
	j.setDeadline(nil)
	j.costs = w.proxy.costsOf(j)
	if wt := (&waiter{job: j, item: j.queueItem(call.Arrived), result: make(chan waitOutcome, 1)}); !w.proxy.enqueue(wt) || len(wt.result) > 0 {
		t.Error("the request itself does not wait")
	}
}

// Guards against an explanation that lets a request wait which is refused at once, as it
// would get a target too late.
func TestExplainPredictedWait(t *testing.T) {
	w := explainWorld(t)
	w.set(t, []string{"target", "a", "own", "13"})
	w.fleet.SetRemoteInFlight("other", w.calls, fleet.Peer)
	now := wire.BootTime()
	first := w.job("first")
	first.Arrived = now
	q := w.proxy.waitQueue("app")
	q.waiters = []*waiter{{job: first, item: first.queueItem(now), result: make(chan waitOutcome, 1)}}
	var waiting queue.Waiting
	waiting.Add(q.waiters[0].item)
	q.ratesOf("").Observe(waiting, now-time.Minute)
	call := w.job("second").Call
	call.Timeout = time.Second
	e := w.proxy.Explain(call)
	if e.Outcome != Rejected || !strings.HasPrefix(e.Refusal.Reason, "the predicted wait") || e.Place != 2 {
		t.Errorf("explained as %+v, refusal %+v", e, e.Refusal)
	}
}

// Guards against an explanation of a request that finds the queue full, and a refusal that
// names a wait which did not take place.
func TestExplainFullQueue(t *testing.T) {
	w := explainWorld(t)
	w.set(t, []string{"target", "a", "own", "0"})
	w.proxy.waitQueue("app").waiters = make([]*waiter, maxWaitingPerService)
	if e := w.proxy.Explain(w.job("first").Call); e.Outcome != Rejected || e.Refusal.Reason != queueFullReason {
		t.Errorf("explained as %+v", e)
	}
	v := w.proxy.acquire(t.Context(), w.job("first"))
	if _, ok := v.(queueFull); !ok {
		t.Errorf("the request got %T, want queueFull", v)
	}
}

// Guards against an explanation of a request whose body is refused unread.
func TestExplainLargeBody(t *testing.T) {
	w := explainWorld(t)
	w.set(t, []string{"target", "a", "own", "0"})
	call := w.job("x").Call
	call.Body = make([]byte, defaultMaxBodyBytes+1)
	if e := w.proxy.Explain(call); e.Outcome != Rejected || e.Refusal.Status != http.StatusRequestEntityTooLarge {
		t.Errorf("explained as %+v", e)
	}
}

// Guards against an explanation of a request that the configuration does not allow.
func TestExplainUnknownRoute(t *testing.T) {
	w := explainWorld(t)
	call := w.job("x").Call
	call.URL = &url.URL{Path: "/none"}
	if e := w.proxy.Explain(call); e.Outcome != Rejected || e.Refusal.Status != 404 {
		t.Errorf("explained as %+v", e)
	}
}
