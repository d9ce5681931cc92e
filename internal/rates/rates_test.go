package rates

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	// window is the span in which a target may get tolerance times what its limit allows,
	// and slack requests more.
	window    = 4 * time.Second
	tolerance = 1.5
	slack     = 5
	step      = 50 * time.Millisecond
	// loadTime is the time for which all hosts send as much as they may.
	loadTime = 15 * time.Second
)

// Guards against hosts that together exceed the limit of a target, however many they
// are, whether they have been idle or not, and although their clocks differ.
func TestHostsTogetherKeepLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.SampledFrom([]int{1, 2, 6, 7, 23, 77, 195, 330}).Draw(t, "hosts")
		limit := rapid.Float64Range(0.2, 60).Draw(t, "limit")
		idleUntil := time.Duration(rapid.IntRange(0, 300).Draw(t, "idle")) * time.Second
		buckets, skew := make([]Bucket, hosts), make([]time.Duration, hosts)
		for i := range skew {
			skew[i] = time.Duration(rapid.IntRange(-20, 20).Draw(t, "skew")) * time.Millisecond
		}
		for i := range buckets {
			buckets[i].Wait(limit, Share{Rank: i, Hosts: hosts}, start.Add(skew[i]))
		}
		var sent []time.Duration
		for now := idleUntil; now < idleUntil+loadTime; now += step {
			for i := range buckets {
				for buckets[i].Wait(limit, Share{Rank: i, Hosts: hosts}, start.Add(now+skew[i])) == 0 {
					buckets[i].Take()
					sent = append(sent, now)
				}
			}
		}
		allowed := int(tolerance*limit*window.Seconds()) + slack
		first := 0
		for last := range sent {
			for sent[last]-sent[first] > window {
				first++
			}
			if n := last - first + 1; n > allowed {
				t.Fatalf("%d hosts sent %d requests in %s under a limit of %g, allowed %d", hosts, n, window, limit, allowed)
			}
		}
		if least := int(0.7*limit*loadTime.Seconds()) - 1; len(sent) < least {
			t.Fatalf("%d hosts sent %d requests in %s under a limit of %g, want at least %d", hosts, len(sent), loadTime, limit, least)
		}
	})
}

// Guards against a wait after which the request still may not be sent.
func TestWaitEndsInTurn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Share{Hosts: rapid.IntRange(1, 330).Draw(t, "hosts")}
		s.Rank = rapid.IntRange(0, s.Hosts-1).Draw(t, "rank")
		limit := rapid.Float64Range(0.2, 60).Draw(t, "limit")
		now := start.Add(time.Duration(rapid.IntRange(0, 1_000_000).Draw(t, "ms")) * time.Millisecond)
		var b Bucket
		wait := b.Wait(limit, s, now)
		rounding := 2 * time.Millisecond
		if wait == 0 {
			rounding = 0 // the turn of the host may end right after now
		}
		if again := b.Wait(limit, s, now.Add(wait+rounding)); again > 0 && wait < MaxWait {
			t.Fatalf("after a wait of %s the request has to wait for another %s", wait, again)
		}
	})
}

// Guards against a limit that allows nothing, or has no bound, and stops the host.
func TestExtremeLimits(t *testing.T) {
	var b Bucket
	s := Share{Rank: 0, Hosts: 6}
	if got := b.Wait(0, s, start); got != MaxWait {
		t.Errorf("wait under a limit of 0 is %s, want %s", got, MaxWait)
	}
	for i := range 1000 {
		if got := b.Wait(math.MaxFloat64, s, start.Add(time.Duration(i)*time.Microsecond)); i > 0 && got != 0 {
			t.Fatalf("request %d has to wait for %s without a limit", i, got)
		}
		b.Take()
	}
	if got := b.Wait(2, Share{}, start.Add(time.Minute)); got < 0 {
		t.Errorf("wait without live hosts is %s", got)
	}
}
