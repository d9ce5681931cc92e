package server

import (
	"context"
	"math/rand/v2"
	"time"

	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/pause"
	"sesamehill.example/sesamehill/internal/wire"
)

// tripCheckInterval is the time between two checks for zones without a recent round trip.
const tripCheckInterval = 2 * time.Second

// measureTrips connects to a target of each zone to which no request has opened a
// connection lately, while prices of traffic between zones are set.
func (h *Host) measureTrips(ctx context.Context) error {
	dialer := wire.Dialer()
	for pause.For(ctx, tripCheckInterval) == nil {
		if h.currentSettings().Away == nil {
			continue
		}
		for zone, targets := range h.targetsByZone() {
			if !h.trips.Due(zone, wire.BootTime()) {
				continue
			}
			started := wire.BootTime()
			if wire.CheckReachable(ctx, dialer, targets[rand.IntN(len(targets))].Address) == nil {
				h.recordTrip(zone, started)
			}
		}
	}
	return nil
}

// targetsByZone returns the targets that are not known to be down.
func (h *Host) targetsByZone() map[string][]fleet.Status {
	out := map[string][]fleet.Status{}
	for _, s := range h.fleet.All() {
		if !s.Down && !s.Leaving {
			out[s.Zone] = append(out[s.Zone], s)
		}
	}
	return out
}

// recordTrip records a connection to a zone that was started at a boot time.
func (h *Host) recordTrip(zone string, started time.Duration) {
	if now := wire.BootTime(); zone != "" {
		h.trips.Record(zone, now-started, now)
	}
}
