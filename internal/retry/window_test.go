package retry_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sesamehill.example/sesamehill/internal/retry"
)

// Guards against hosts that together send more repeated requests than the platform
// allows.
var _ = Describe("Window", func() {
	allow := retry.Allowance{Ratio: 0.2, Fixed: 52, Window: 10 * time.Second}

	It("stays within the allowance in every window, for all hosts together", func() {
		const hosts = 6
		windows := make([]*retry.Window, hosts)
		for i := range windows {
			windows[i] = retry.NewWindow(allow)
		}
		type tick struct{ requests, repeats int }
		var ticks []tick
		for i := range 600 {
			now := time.Minute + time.Duration(i)*100*time.Millisecond
			t := tick{}
			for _, w := range windows {
				if i < 300 {
					w.AddRequest(now)
					t.requests++
				}
				for range 5 {
					if w.TryRepeat(now, hosts) {
						t.repeats++
					}
				}
			}
			ticks = append(ticks, t)
		}
		for end := 100; end <= len(ticks); end++ {
			requests, requestsBefore, repeats := 0, 0, 0
			for _, t := range ticks[end-100 : end] {
				requests += t.requests
				repeats += t.repeats
			}
			for _, t := range ticks[max(end-200, 0):max(end-100, 0)] {
				requestsBefore += t.requests
			}
			Expect(float64(repeats)).To(BeNumerically("<=", 0.2*float64(max(requests, requestsBefore))+52))
		}
	})

	// Guards against processes that start again and again, and each use the fixed part of
	// which their predecessors have used their share.
	It("stays within the allowance while hosts start again", func() {
		const hosts, restart, ticksPerWindow = 6, 21, 100
		windows := make([]*retry.Window, hosts)
		requests, repeats := make([]int, 600), make([]int, 600)
		for i := range requests {
			now := time.Minute + time.Duration(i)*100*time.Millisecond
			for h := range windows {
				switch {
				case i == 0:
					windows[h] = retry.NewWindow(allow)
				case i%restart == 0:
					a := allow
					a.FixedFrom = now + allow.Window
					windows[h] = retry.NewWindow(a)
				}
				if (i+h)%4 == 0 {
					windows[h].AddRequest(now)
					requests[i]++
				}
				for range 5 {
					if windows[h].TryRepeat(now, hosts) {
						repeats[i]++
					}
				}
			}
		}
		for end := ticksPerWindow; end <= len(requests); end++ {
			n, r := 0, 0
			for i := end - ticksPerWindow; i < end; i++ {
				n, r = n+requests[i], r+repeats[i]
			}
			Expect(float64(r)).To(BeNumerically("<=", 0.2*float64(n)+52))
		}
	})

	It("allows a host that has counted no requests its part of the fixed number of repeats that all hosts share", func() {
		w := retry.NewWindow(allow)
		Expect(w.TryRepeat(time.Second, 6)).To(BeTrue())
		Expect(w.Remaining(time.Second, 6)).To(Equal(5))
	})
})
