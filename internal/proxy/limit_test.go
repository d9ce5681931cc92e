package proxy

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/opconf"
	"sesamehill.example/sesamehill/internal/place"
	"sesamehill.example/sesamehill/internal/rates"
	"sesamehill.example/sesamehill/internal/wire"
)

// Guards against hosts that together make a target with a refusal limit refuse more than it
// can, as no host pauses for longer than maxRefusalPause. The target stays full and refuses
// each request.
func TestRefusalLimitAtManyHosts(t *testing.T) {
	const playTime = 40 * time.Second
	for _, limit := range []float64{1, 6, 40} {
		for _, hosts := range []int{1, 6, 60, 82, 330} {
			refusals := 0
			for rank := range hosts {
				p := hostOfRank(rank, hosts)
				s := fleet.Status{Target: &fleet.Target{ID: "a"}, RateLimit: fleet.Unlimited, RefusalLimit: limit}
				if p.sendWait(s) == 0 {
					refusals += int((playTime + refusalPause(limit, hosts) - 1) / refusalPause(limit, hosts))
				}
			}
			if perSecond := float64(refusals) / playTime.Seconds(); refusals == 0 || perSecond > limit {
				t.Errorf("%d hosts cause %.1f refusals a second, limit %g", hosts, perSecond, limit)
			}
		}
	}
}

// hostOfRank returns a proxy that is at a rank among all hosts for each target.
func hostOfRank(rank, hosts int) *Proxy {
	return New(
		nil, fleet.New(), WithHosts(func() int { return hosts }),
		WithShare(func(*fleet.Target) rates.Share { return rates.Share{Rank: rank, Hosts: hosts} }),
	)
}

// Guards against requests that wait for a cold target while a warm one has capacity, or that
// wait for one for longer than they may.
func TestColdTargetKeepsNobodyWaiting(t *testing.T) {
	now := wire.BootTime()
	cold := func(string) fleet.Coldness { return fleet.Coldness{Time: 3 * time.Second, PerSecond: 10} }
	f := fleet.New(fleet.WithClock(func() time.Duration { return now }), fleet.WithColdness(cold))
	f.Replace([]fleet.Target{{ID: "cold", Service: "s", WarmupLeft: 3 * time.Second}, {ID: "warm", Service: "s"}})
	for _, rank := range []int{0, 3, 4, 329} {
		p := hostOfRank(rank, 330)
		p.fleet = f
		sent := map[string]int{}
		for n := range 10 {
			g, ok := p.choose(plainJob(fmt.Sprint(rank, "-", n))).(granted)
			if !ok {
				t.Fatalf("rank %d: a request was not placed although a target is warm", rank)
			}
			sent[g.ID]++
		}
		if sent["cold"] > 1 {
			t.Errorf("rank %d: %d requests were sent to the cold target at once", rank, sent["cold"])
		}
	}
}

// Guards against a Retry-After of an hour, as only other hosts send to
// the target, or as this host has no data on the others yet.
func TestRetryAfterWithoutTurn(t *testing.T) {
	f := fleet.New()
	f.Replace([]fleet.Target{{ID: "a", Service: "s"}})
	f.RecordRefusalLimit("a", 0, 1)
	unknown := hostOfRank(0, 0)
	unknown.fleet = fleet.New(fleet.WithColdness(func(string) fleet.Coldness { return fleet.Coldness{Time: time.Minute, PerSecond: 10} }))
	unknown.fleet.Replace([]fleet.Target{{ID: "cold", Service: "s", WarmupLeft: time.Minute}})
	last := hostOfRank(329, 330)
	last.fleet = f
	for name, p := range map[string]*Proxy{"last host": last, "unknown hosts": unknown} {
		j := plainJob(name)
		if _, ok := p.choose(j).(noTarget); !ok {
			t.Errorf("%s: the request was not refused", name)
		}
		if got := p.retryAfter(j); got > time.Second {
			t.Errorf("%s: the caller may retry after %s", name, got)
		}
	}
}

// Guards against a Retry-After that lasts until a cold target takes requests of this
// host again, though another target only has no room at the moment.
func TestRetryAfterOfFullTarget(t *testing.T) {
	p := hostOfRank(329, 330)
	p.fleet = fleet.New(fleet.WithColdness(func(string) fleet.Coldness { return fleet.Coldness{Time: time.Minute, PerSecond: 10} }))
	p.fleet.Replace([]fleet.Target{{ID: "cold", Service: "s", WarmupLeft: time.Minute}, {ID: "full", Service: "s", Slots: 1}})
	p.fleet.SetRemoteInFlight("other", map[string]fleet.InFlight{"full": {Calls: 1000}}, fleet.Peer)
	j := plainJob("a")
	for n := range 2 { // the first one may be sent to the cold target
		j = plainJob(fmt.Sprint(n))
		p.choose(j)
	}
	if got := p.retryAfter(j); got > time.Second {
		t.Errorf("the caller may retry after %s", got)
	}
}

// plainJob returns a request of its own kind that carries no prompt.
func plainJob(id string) *job {
	return &job{
		Call: &Call{ID: id}, config: &opconf.Config{}, route: &opconf.Route{LatencyTarget: time.Second},
		service: &opconf.Service{Name: "s"}, deadline: wire.BootTime() + time.Minute, log: zap.NewNop(), excluded: map[string]bool{},
		costs: place.DefaultCosts(),
	}
}
