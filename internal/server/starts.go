package server

import (
	"context"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/pause"
	"sesamehill.example/sesamehill/internal/wire"
)

const (
	// startPath is the path of queries for the starts of targets that do not state them.
	startPath = "/starts"
	// startQueryInterval is the time between two queries, each to another host.
	startQueryInterval = 200 * time.Millisecond
	startQueryTimeout  = 300 * time.Millisecond
	// startListAge is the age of the list of targets from which other hosts are queried. Below
	// it, the list will show the starts by itself.
	startListAge     = fleet.LateEntryTime / 2
	maxStartsQueried = 16
	// maxStartQueryBytes bounds the names of targets in a query, with textHeaderBytes each, so that
	// the query stays below maxQueryBytes.
	maxStartQueryBytes = maxQueryBytes - 16
	textHeaderBytes    = 3
)

// startQuery is a query for the starts of some targets.
type startQuery struct {
	Targets []string `cbor:"1,keyasint"`
}

// newStartQuery returns a query for as many of some starts as it can hold.
func newStartQuery(starts []fleet.LinkedStart) startQuery {
	var q startQuery
	free := maxStartQueryBytes
	for _, s := range starts {
		if size := len(s.Target) + textHeaderBytes; size <= free {
			free -= size
			q.Targets = append(q.Targets, s.Target)
		}
	}
	return q
}

// startReply holds the starts that the list of the host confirms.
type startReply struct {
	Confirmed []fleet.ConfirmedStart `cbor:"1,keyasint,omitempty"`
}

// startVerifier queries other hosts for the starts of targets while the list of this host is too
// old to show them. Streams that begin without that evidence cannot be resumed.
type startVerifier struct {
	host *Host
	// queries is the number of queries until now.
	queries int
}

// Run queries other hosts until ctx is cancelled.
func (v *startVerifier) Run(ctx context.Context) error {
	for pause.For(ctx, startQueryInterval) == nil {
		if v.host.fleet.ListAge() < startListAge {
			continue
		}
		if asked := v.host.fleet.UnconfirmedStarts(maxStartsQueried); len(asked) > 0 {
			v.query(ctx, asked)
		}
	}
	return nil
}

// query queries the next host of this region for some starts.
func (v *startVerifier) query(ctx context.Context, asked []fleet.LinkedStart) {
	peers := v.host.members.regionPeers()
	if len(peers) == 0 {
		return
	}
	peer := peers[v.queries%len(peers)]
	v.queries++
	q := newStartQuery(asked)
	ctx, cancel := context.WithTimeout(ctx, startQueryTimeout)
	defer cancel()
	var reply startReply
	sentAt := wire.BootTime()
	if err := v.host.peerClient.call(ctx, peer, startPath, q, &reply); err != nil {
		v.host.log.Debug("starts of targets not received", zap.String("peer", peer), zap.Error(err))
		return
	}
	for _, c := range reply.Confirmed {
		i := slices.IndexFunc(asked, func(a fleet.LinkedStart) bool { return a.Target == c.Target })
		if i >= 0 && v.host.fleet.ConfirmStart(asked[i], c, sentAt) {
			v.host.proxy.Metrics.Count("start confirmed")
			v.host.log.Info("start of a target confirmed by another host", zap.String("target", c.Target), zap.Int64("born", c.StartedAtMs), zap.String("peer", peer))
		}
	}
}

// regionPeers returns the addresses of the other hosts of the region, which have connections to
// the same targets.
func (m *members) regionPeers() []string {
	settings := m.host.currentSettings()
	return peersOf(slices.DeleteFunc(m.others(), func(h observedRow) bool { return settings.Zones[h.Zone] != settings.Region }))
}

// serveStarts answers queries for the starts of targets.
func (h *Host) serveStarts(w http.ResponseWriter, r *http.Request) {
	var q startQuery
	if readQuery(w, r, &q) {
		writeReply(w, startReply{Confirmed: h.fleet.ConfirmedStarts(q.Targets)})
	}
}
