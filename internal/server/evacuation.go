package server

import (
	"time"

	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/evac"
	"sesamehill.example/sesamehill/internal/feed"
	"sesamehill.example/sesamehill/internal/gossip"
	"sesamehill.example/sesamehill/internal/wire"
)

var _ gossip.Evacuations = (*Host)(nil)

// unreadEvacuations are the evacuations of one read of the operator's table. They are applied
// with the position of the read: the rows of a list alone do not show which removals it has.
type unreadEvacuations struct {
	// listed is set if the rows are all rows of the table.
	listed  bool
	changes []evac.Change
}

func (u *unreadEvacuations) add(zone string, r feed.Row) {
	u.changes = append(u.changes, evac.Change{Zone: zone, Evacuated: !r.Removed, At: r.Position()})
}

// zones returns the zones of a list.
func (u *unreadEvacuations) zones() []string {
	var zones []string
	for _, c := range u.changes {
		if c.Evacuated {
			zones = append(zones, c.Zone)
		}
	}
	return zones
}

// recordEvacuations records the evacuations of a read of the operator's table up to a
// position.
func (h *Host) recordEvacuations(p feed.Position) {
	u := h.config.unread
	h.config.unread = unreadEvacuations{}
	h.updateEvacuations("table", func(now time.Duration) bool {
		if u.listed {
			return h.evacuations.ApplyList(u.zones(), p, now)
		}
		return h.evacuations.ApplyChanges(u.changes, p, now)
	})
}

// updateEvacuations logs what a source, the table or another host, changes of the evacuated
// zones, and places waiting requests again.
func (h *Host) updateEvacuations(source string, update func(now time.Duration) bool) {
	now := wire.BootTime()
	if !update(now) {
		return
	}
	zones := h.evacuations.Zones(now)
	h.proxy.Metrics.Count("evacuations changed")
	h.log.Info("evacuated zones changed", zap.Strings("zones", zones), zap.String("source", source))
	h.proxy.DispatchSoon()
}

// evacuated reports whether nothing may be sent to the targets of a zone.
func (h *Host) evacuated(zone string) bool { return h.evacuations.Evacuated(zone, wire.BootTime()) }

// EvacuationView returns the view of this host for other hosts; nil as long as no zone was
// evacuated.
func (h *Host) EvacuationView() *evac.View { return h.evacuations.View(wire.BootTime()) }

// RecordEvacuationView records the view of another host.
func (h *Host) RecordEvacuationView(host string, v evac.View) {
	h.updateEvacuations("host "+host, func(now time.Duration) bool { return h.evacuations.Merge(v, now) })
}
