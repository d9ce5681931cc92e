package host

import (
	"cmp"
	"context"
	"maps"
	"net"
	"slices"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/admit"
	"sesamehill.example/sesamehill/internal/crash"
	"sesamehill.example/sesamehill/internal/member"
	"sesamehill.example/sesamehill/internal/table"
	"sesamehill.example/sesamehill/internal/tree"
	"sesamehill.example/sesamehill/internal/watch"
)

// Budgets of the heartbeat extensions of this package, in bytes.
const (
	loadSummaryBudget = 340
	demandBudget      = 140
	drainBudget       = 90
	summaryBudget     = 30
	crashBudget       = 200
)

// maxCrashRecords is the number of crash records that a heartbeat carries.
const maxCrashRecords = 2

// maxDemands is the number of accounts in a demand report; five long names fit
// the budget.
const maxDemands = 8

// idempotencyWriteRate is the number of idempotency record writes a second over all
// hosts. The platform takes several hundred writes a second, and other writes need
// some of them.
const idempotencyWriteRate = 250

// urgentHeartbeatInterval limits extra rounds of heartbeats to four a second.
const urgentHeartbeatInterval = 250 * time.Millisecond

// newCluster creates the membership and the messages between hosts.
func (h *Host) newCluster() error {
	s := h.settings
	h.client = member.NewClient()
	h.watch = watch.New(h.platform, h.platform, h.client, watch.WithOnChange(h.documentChanged))
	self := member.NewTable(member.Member{
		Name: s.Name, Address: s.Peer, Region: s.Region, Zone: s.Zone,
		Incarnation: uint64(time.Now().UnixMilli()),
	})
	var err error
	h.gossip, err = member.NewGossip(self, h.client,
		member.WithExtensions(h.loadExtension(), h.demandExtension(), h.drainExtension(), h.regionExtension(), h.crashExtension(),
			h.linkExtension(), h.watch.Extension()),
		member.WithOnChange(h.memberChanged))
	if err != nil {
		return errors.Trace(err)
	}
	var seeds []table.ListedHost
	for _, a := range s.Seeds {
		seeds = append(seeds, table.ListedHost{Name: a, Address: a, Region: s.Region, Zone: s.Zone, State: table.Live})
	}
	h.seeds = seeds
	h.gossip.Seed(seeds)
	h.watch.Follow(h.gossip)
	h.server, err = member.NewServer(
		member.HandleControl(h.gossip), member.HandleLookups(h.blockIndex),
		member.HandleRecords(h.blockIndex), member.HandleHandovers(h), member.HandleSections(h.watch),
	)
	return errors.Trace(err)
}

// followDocument activates the newest revision of the configuration document. It
// reads the platform's list first, because a host without known peers accepts the
// platform's revision at once.
func (h *Host) followDocument(ctx context.Context) error {
	h.readList(ctx)
	return h.watch.Run(ctx)
}

// documentChanged activates a revision for new requests.
func (h *Host) documentChanged(r *watch.Revision) {
	h.activate(r.Head.Revision, r.Document)
	h.gossip.SetRevision(r.Head.Revision)
	h.log.Info("configuration document activated", zap.Uint64("revision", r.Head.Revision),
		zap.String("author", r.Head.Author), zap.String("change", r.Head.Change))
	h.requestHeartbeats()
}

func (h *Host) servePeers(ctx context.Context) error {
	l := h.listeners.Peers
	if l == nil {
		var err error
		if l, err = net.Listen("tcp", h.settings.Peer); err != nil {
			return tree.Fatal(errors.Annotatef(err, "listen for other hosts on %s; free the address or set another one", h.settings.Peer))
		}
	}
	return h.server.Serve(ctx, l)
}

// memberChanged logs a change of membership. It must not call h.gossip.
func (h *Host) memberChanged(c member.Change) {
	select {
	case h.membersChanged <- struct{}{}:
	default:
	}
	switch c := c.(type) {
	case member.Joined:
		h.log.Info("host joined", zap.String("peer", c.Member.Name))
	case member.Suspected:
		h.log.Info("host is suspected dead", zap.String("peer", c.Member.Name))
	case member.Refuted:
		h.log.Info("suspected host is alive", zap.String("peer", c.Member.Name))
	case member.Left:
		h.log.Info("host leaves", zap.String("peer", c.Member.Name))
	case member.Died:
		h.log.Warn("host died", zap.String("peer", c.Member.Name))
	case member.Forgotten:
		h.log.Info("host removed from the member table", zap.String("peer", c.Member.Name))
	case member.Shared:
		h.log.Error("two hosts share a name; give each its own", zap.String("peer", c.Other.Name), zap.String("address", c.Other.Address))
	}
}

// followMembership applies changes of the member list to the owners of the index, the
// host's share of the limits and the admission slots.
func (h *Host) followMembership(ctx context.Context) error {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		live := h.gossip.Live()
		h.blockIndex.setHosts(live)
		region := 0
		for _, m := range live {
			if m.Region == h.settings.Region && !m.Leaving {
				region++
			}
		}
		now := time.Now()
		engines := len(h.fleet.list(table.Engine, func(m *targetView) bool {
			return m.listed.Region == h.settings.Region && h.fleet.open(m, now)
		}))
		h.links.setHosts(max(1, region), now)
		h.idempotency.SetWriteRate(idempotencyWriteRate / float64(max(1, len(live))))
		h.admission.setSize(len(live), slotsFor(engines, region))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-h.membersChanged:
		case <-t.C:
		}
	}
}

// slotsFor returns a host's share of the requests that may wait for a first token at
// the region's engines. A host gets twice its equal share, because demand is uneven.
func slotsFor(engines, hosts int) int {
	return max(slotsPerEngine, 2*engines*slotsPerEngine/max(1, hosts))
}

// demandExtension gossips the demand of accounts, so that each host enforces its
// share of their limits.
func (h *Host) demandExtension() member.Extension {
	return member.Extension{
		Name: "a", Budget: demandBudget, Replies: true,
		Build: func(_ member.Member, budget int) []byte {
			// The report is built only once, because it scans every account.
			r := h.admission.report(h.settings.Name, maxDemands)
			for len(r.Demand) > 0 {
				if b, err := member.Encode(r); err == nil && len(b) <= budget {
					return b
				}
				delete(r.Demand, leastDemand(r.Demand))
			}
			return nil
		},
		Take: func(_ member.Member, data []byte) error {
			var r admit.Report
			if err := member.Decode(data, &r); err != nil {
				return err
			}
			h.admission.addReport(r)
			return nil
		},
	}
}

// leastDemand returns the account with the least demand.
func leastDemand(demand map[string]float64) string {
	names := slices.Collect(maps.Keys(demand))
	return slices.MinFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(demand[a], demand[b]), cmp.Compare(b, a))
	})
}

// livePeer returns the member entry of a live host.
func (h *Host) livePeer(name string) (member.Member, bool) {
	live := h.gossip.Live()
	if i := slices.IndexFunc(live, func(m member.Member) bool { return m.Name == name }); i >= 0 {
		return live[i], true
	}
	return member.Member{}, false
}

// crashExtension gossips suspect and quarantined requests.
func (h *Host) crashExtension() member.Extension {
	return member.Extension{
		Name: "q", Budget: crashBudget, Replies: true,
		Build: func(_ member.Member, budget int) []byte {
			for n := maxCrashRecords; n > 0; n-- {
				r := h.crashes.Export(n, time.Now())
				if len(r) == 0 {
					return nil
				}
				if b, err := member.Encode(r); err == nil && len(b) <= budget {
					return b
				}
			}
			return nil
		},
		Take: func(_ member.Member, data []byte) error {
			var r []crash.Record
			if err := member.Decode(data, &r); err != nil {
				return err
			}
			return h.crashes.Import(r, time.Now())
		},
	}
}

// requestHeartbeats requests an extra round of heartbeats.
func (h *Host) requestHeartbeats() {
	select {
	case h.heartbeatNow <- struct{}{}:
	default:
	}
}

// sendUrgentHeartbeats sends an extra round of heartbeats on request. A minimum
// interval between rounds keeps many changes from flooding the peers.
func (h *Host) sendUrgentHeartbeats(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-h.heartbeatNow:
		}
		h.gossip.Round(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(urgentHeartbeatInterval):
		}
	}
}
