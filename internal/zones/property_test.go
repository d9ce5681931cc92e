package zones_test

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sesamehill.example/sesamehill/internal/zones"
)

// Guards against hosts that together send a zone more than it can take, however many they
// are and however old their view is.
func TestNoZoneOverfilled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"))
		w.Hosts = rapid.SampledFrom([]int{6, 24, 73, 330}).Draw(t, "hosts")
		w.Age = time.Duration(rapid.IntRange(100, 2000).Draw(t, "age")) * time.Millisecond
		w.WayMs["a-b"] = rapid.Float64Range(1, 60).Draw(t, "way")
		a, b := w.zone("a"), w.zone("b")
		a.Slots, b.Slots = 100, rapid.IntRange(40, 200).Draw(t, "slots")
		a.Rate = rapid.Float64Range(300, 1000).Draw(t, "rate")
		b.Rate = rapid.Float64Range(0, 0.5).Draw(t, "use") * float64(b.Slots) * 1000 / w.Service
		w.play(5 * time.Second) // the hosts find out what fits
		b.most = 0
		w.play(6 * time.Second)
		// A zone may be filled to its slots, and by chance by some calls more.
		if limit := float64(b.Slots) + 3*math.Sqrt(float64(b.Slots)); float64(b.most) > limit {
			t.Fatalf("%d calls at %d slots", b.most, b.Slots)
		}
		if a.running > 2*a.Slots && w.goes("a", "b", 5) == 0 && b.Rate < 200 {
			t.Fatal("nothing goes to a zone with room")
		}
	})
}

// randomView draws the loads of an own zone, a near one with room and a far one that costs
// more than the near one.
func randomView(t *rapid.T) zones.View {
	zone := func(name string, way float64, most int) zones.Zone {
		return zones.Zone{Name: name, Targets: 4, Slots: 100, ServiceMs: 200, Calls: rapid.IntRange(0, most).Draw(t, name), RoundTripMs: way}
	}
	v := zones.View{Hosts: rapid.SampledFrom([]int{6, 73, 330}).Draw(t, "hosts"), Age: time.Duration(rapid.IntRange(100, 2000).Draw(t, "age")) * time.Millisecond}
	v.Zones = []zones.Zone{zone("own", 0, 150), zone("near", 4, 80), zone("far", 40, 150)}
	return v
}

// Guards against requests that go far although a nearer zone has room and is as fast.
func TestNearZoneFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, v, now := zones.NewPlanner("own"), randomView(t), time.Duration(0)
		key := rapid.Uint64().Draw(t, "key")
		for range 100 {
			p.Update(now, v)
			for _, verdict := range []zones.Verdict{p.Verdict(now, zones.Kind{}, key, "far"), p.Overflow(now, zones.Kind{}, key, "far")} {
				if verdict.Reason.Open() {
					t.Fatalf("a request goes far: %+v", verdict)
				}
			}
			now += updateEvery
		}
	})
}

// Guards against shares that never settle while nothing changes.
func TestSharesSettle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, v, now := zones.NewPlanner("own"), randomView(t), time.Duration(0)
		k := zones.Kind{Bytes: rapid.IntRange(0, 1<<20).Draw(t, "bytes"), KeptMs: rapid.Float64Range(0, 500).Draw(t, "kept")}
		last := 0.0
		for i := range 3000 {
			p.Update(now, v)
			share := p.Verdict(now, k, 0, "near").Share
			if i > 2500 && share != last {
				t.Fatalf("the share changes from %g to %g", last, share)
			}
			last, now = share, now+updateEvery
		}
	})
}
