package proxy

import (
	"fmt"
	"testing"
	"time"

	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/homes"
	"sesamehill.example/sesamehill/internal/queue"
	"sesamehill.example/sesamehill/internal/wire"
)

// Guards against requests that wait although a region has room for them, behind requests that
// may be served only in a region that is full.
func TestFullRegionHoldsUpNoOtherRequests(t *testing.T) {
	f := fleet.New()
	f.Put(fleet.Target{ID: "full", Service: "s", Zone: "oslo", Address: "10.0.0.1:80", Slots: 1})
	f.Put(fleet.Target{ID: "idle", Service: "s", Zone: "bergen", Address: "10.0.0.2:80", Slots: 100})
	f.SetRemoteInFlight("other", map[string]fleet.InFlight{"full": {Calls: 1000}}, fleet.Peer)
	p := New(nil, f, WithRegions(func(zone string) string { return zone }))
	enqueue := func(id string, allowed homes.Regions) *waiter {
		w := &waiter{job: plainJob(id), result: make(chan waitOutcome, 1)}
		w.job.allowed, w.job.Arrived = allowed, wire.BootTime()
		w.item = w.job.queueItem(w.job.Arrived)
		if !p.enqueue(w) {
			t.Fatalf("%s was not queued", id)
		}
		return w
	}
	for n := range 8 {
		if w := enqueue(fmt.Sprint("oslo-", n), homes.Of([]string{"oslo"})); len(w.result) > 0 {
			t.Fatalf("a request for the full region got %#v", <-w.result)
		}
	}
	for n := range 8 {
		w := enqueue(fmt.Sprint("any-", n), homes.Regions{})
		select {
		case v := <-w.result:
			if g, ok := v.(granted); !ok || g.ID != "idle" {
				t.Errorf("request %d got %#v, want the idle target", n, v)
			}
		default:
			t.Errorf("request %d waits although a region has room", n)
		}
	}
}

// Guards against requests that are refused because others wait long for a region that is full.
func TestFullRegionPredictsNoOtherWaits(t *testing.T) {
	p := New(nil, fleet.New())
	q := p.waitQueue("s")
	now := wire.BootTime()
	add := func(id string, allowed homes.Regions, at, timeout time.Duration) *waiter {
		w := &waiter{job: plainJob(id), result: make(chan waitOutcome, 1), missed: true}
		w.job.allowed, w.job.Arrived, w.job.deadline = allowed, at, at+timeout
		w.item = w.job.queueItem(at)
		q.waiters = append(q.waiters, w)
		return w
	}
	for n := range 20 {
		add(fmt.Sprint("oslo-", n), homes.Of([]string{"oslo"}), now, time.Minute)
	}
	p.refusePredictedLate(q, now)
	now += 5 * time.Second
	w := add("any", homes.Regions{}, now, 10*time.Second)
	p.refusePredictedLate(q, now)
	if len(w.result) > 0 {
		t.Errorf("the request got %#v", <-w.result)
	}
}

// Guards against a large request with allowed regions that small ones of other sets overtake
// forever in its regions, and against the work in other regions counting as that.
func TestOvertakingInAllowedRegions(t *testing.T) {
	oslo := homes.Of([]string{"oslo"})
	large, small := queue.Item{Size: 10}, queue.Item{Size: 10}
	all := passes{}
	all.of(oslo).Missed(&large)
	steps := []struct {
		region string
		kept   bool
	}{{"bergen", false}, {"bergen", false}, {"bergen", false}, {"oslo", false}, {"oslo", true}}
	for _, s := range steps {
		all.granted(small, homes.Regions{}, s.region)
		if kept := len(all.keptRegions(small, homes.Regions{})) > 0; kept != s.kept {
			t.Fatalf("after a grant in %s: room kept %t, want %t", s.region, kept, s.kept)
		}
	}
	if len(all.keptRegions(small, oslo)) > 0 {
		t.Error("the rooms of its own regions are kept from a request")
	}
}
