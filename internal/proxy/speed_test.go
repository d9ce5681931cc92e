package proxy

import (
	"math"
	"net/http"
	"testing"
	"time"

	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/wire"
)

// Guards against a target that answers at once with errors and seems to be fast by that, so
// that it gets more requests.
func TestErrorsDoNotShowSpeed(t *testing.T) {
	w := newZoneWorld()
	answer := func(target string, status int, took time.Duration) {
		c := reservation{sent: wire.BootTime() - took}
		c.Status = fleet.Status{Target: &fleet.Target{ID: target, Service: "app"}}
		w.proxy.recordPlain(w.job(""), c, status)
	}
	for range 40 {
		answer("sound", http.StatusOK, 100*time.Millisecond)
	}
	for range 40 {
		answer("broken", http.StatusInternalServerError, time.Millisecond)
	}
	if got := w.proxy.slowdown(w.job(""), "broken", wire.BootTime()); math.Abs(got-1) > 0.01 {
		t.Errorf("slowdown of the target that answers with errors is %.2f, want 1", got)
	}
}
