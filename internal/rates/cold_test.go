package rates

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sesamehill.example/sesamehill/internal/place"
)

const (
	// coldWindow is the span in which a cold target may get coldOvershoot times its rate, and
	// slack requests more.
	coldWindow    = time.Second
	coldOvershoot = 1.5
	coldLoadTime  = 6 * time.Second
	coldStep      = 20 * time.Millisecond
)

// coldHost is a host in the model of a cold target: what it has data on, and when it
// sends.
type coldHost struct {
	Host
	bucket    Bucket
	unsettled bool
	unknown   map[string]bool
	skew      time.Duration
	// from and until bound the time for which the host sends; learns is when it has data on all
	// others.
	from, until, learns time.Duration
	// before and after are its shares before and after that.
	before, after Share
}

// rank sets the shares of the host among all.
func (h *coldHost) rank(all []Host) {
	known := slices.DeleteFunc(slices.Clone(all), func(o Host) bool { return h.unknown[o.Name] })
	h.before = Share{Rank: Rank(h.Host, known, "target"), Hosts: len(known), Unsettled: h.unsettled}
	h.after = Share{Rank: Rank(h.Host, all, "target"), Hosts: len(all)}
}

func (h *coldHost) share(now time.Duration) Share {
	if now < h.learns {
		return h.before
	}
	return h.after
}

// Guards against hosts that end a cold target with more requests than it takes, while some
// of them start, end, have data on fewer hosts or have another time.
func TestColdTargetGetsNoMoreThanItTakes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{1, 6, 60, 82, 330}).Draw(t, "hosts")
		perSecond := rapid.Float64Range(3, 20).Draw(t, "rate")
		hosts, all := drawColdHosts(t, n)
		sent := playCold(hosts, all, ColdLimit(perSecond))
		if got, allowed := mostIn(sent, coldWindow), int(coldOvershoot*perSecond)+slack; got > allowed {
			t.Fatalf("%d hosts sent %d requests in %s to a target that takes %g a second, allowed %d", n, got, coldWindow, perSecond, allowed)
		}
	})
}

// drawColdHosts draws hosts in three zones. Up to a tenth of them have started a short time
// ago, which the others have no data on yet, and up to half end meanwhile unnoticed.
func drawColdHosts(t *rapid.T, n int) ([]*coldHost, []Host) {
	hosts, all := make([]*coldHost, n), make([]Host, n)
	newcomers, ended := map[string]bool{}, 0
	for i := range hosts {
		all[i] = Host{Name: fmt.Sprintf("host-%d", i), Distance: place.Distance(i % 3)}
		hosts[i] = &coldHost{Host: all[i], until: coldLoadTime, unknown: newcomers}
		hosts[i].skew = time.Duration(rapid.IntRange(-30, 30).Draw(t, "skew")) * time.Millisecond
		hosts[i].from = time.Duration(rapid.IntRange(0, 1000).Draw(t, "from")) * time.Millisecond
		hosts[i].learns = time.Duration(rapid.IntRange(0, 4000).Draw(t, "learns")) * time.Millisecond
		switch fate := rapid.IntRange(0, 9).Draw(t, "fate"); {
		case fate < 5 && n > 1 && len(newcomers) < (n+9)/10:
			newcomers[all[i].Name] = true
			hosts[i].unsettled, hosts[i].learns = true, 4*time.Second
		case fate < 8 && ended < n/2:
			hosts[i].until = time.Duration(rapid.IntRange(0, 4000).Draw(t, "until")) * time.Millisecond
			ended++
		}
	}
	return hosts, all
}

// playCold lets all hosts send as much as they may and returns when they sent.
func playCold(hosts []*coldHost, all []Host, limit float64) []time.Duration {
	for _, h := range hosts {
		h.rank(all)
	}
	var sent []time.Duration
	for now := time.Duration(0); now < coldLoadTime; now += coldStep {
		for _, h := range hosts {
			if now < h.from || now >= h.until {
				continue
			}
			s := h.share(now)
			for h.bucket.Wait(limit, s, start.Add(now+h.skew)) == 0 {
				h.bucket.Take()
				sent = append(sent, now)
			}
		}
	}
	return sent
}

// mostIn returns the most of the sorted times that lie in a window.
func mostIn(sent []time.Duration, window time.Duration) int {
	most, first := 0, 0
	for last := range sent {
		for sent[last]-sent[first] >= window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// Guards against shares too small to serve with: with the demand of only the
// hosts near a cold target it gets most of what it takes, at any number of hosts.
func TestNearHostsUseMostOfTheRate(t *testing.T) {
	const perSecond = 8
	for _, n := range []int{1, 6, 60, 82, 330} {
		hosts, all := make([]*coldHost, 0, n), make([]Host, n)
		for i := range all {
			all[i] = Host{Name: fmt.Sprintf("host-%d", i), Distance: place.Distance(i % 3)}
			if all[i].Distance == place.SameZone {
				hosts = append(hosts, &coldHost{Host: all[i], until: coldLoadTime})
			}
		}
		if n == 6 {
			hosts = append(hosts, &coldHost{Host: all[1], until: coldLoadTime}, &coldHost{Host: all[4], until: coldLoadTime})
		}
		sent := playCold(hosts, all, ColdLimit(perSecond))
		if least := int(0.5 * perSecond * coldLoadTime.Seconds()); len(sent) < least {
			t.Errorf("%d hosts sent %d requests in %s to a target that takes %d a second, want at least %d", n, len(sent), coldLoadTime, perSecond, least)
		}
	}
}

// Guards against a host that sends before it has data on the others, as all of them may have just
// started.
func TestUnknownHostsSendNothing(t *testing.T) {
	var b Bucket
	if got := b.Wait(8, Share{}, start); got != MaxWait {
		t.Errorf("wait while the hosts are unknown is %s, want %s", got, MaxWait)
	}
}
