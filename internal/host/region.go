package host

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"sesamehill.example/sesamehill/internal/index"
	"sesamehill.example/sesamehill/internal/member"
	"sesamehill.example/sesamehill/internal/route"
	"sesamehill.example/sesamehill/internal/table"
)

const (
	// filterFetchInterval is the interval between two fetches of Bloom filters from
	// hosts of other regions. With 330 hosts in 7 regions each filter is then at
	// most 57 s old and takes about 1 KB.
	filterFetchInterval = 200 * time.Millisecond
	// minFilterAge is the shortest time between two filters of the same host.
	minFilterAge  = 2 * time.Second
	filterTimeout = time.Second
	// summaryAge is the mean age of the data in a region summary: a load report that
	// is up to 1 s old, and a heartbeat of one of the region's hosts each second.
	summaryAge    = 2 * time.Second
	bytesPerToken = 4
	// replyBytes is the mean size of one token in a forwarded stream, with its
	// framing.
	replyBytes   = 120
	bytesPerMbit = 1e6 / 8
)

// regionSummary is the load of the engine with the shortest queue of a region, in
// the view of one of the region's hosts.
type regionSummary struct {
	_ struct{} `cbor:",toarray"`
	// Wait is the queueing time of the engine in milliseconds, Prefill its rate in
	// tokens a second; a Prefill of 0 means that no engine accepts work.
	Wait    int64
	Prefill int64
}

// regions holds the summaries and filters of the hosts of other regions.
type regions struct {
	mu    sync.Mutex
	hosts map[string]*regionHost
	// sent holds the requests that this host forwarded recently, by region.
	sent map[string][]dispatch
}

// recordForwarded records a forwarded request that summaries do not include yet.
func (r *regions) recordForwarded(region string, tokens int, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sent == nil {
		r.sent = map[string][]dispatch{}
	}
	r.sent[region] = append(r.recentlySent(region, now), dispatch{at: now, tokens: tokens})
}

// recentlySent returns the requests forwarded within summaryAge. The caller holds
// the lock.
func (r *regions) recentlySent(region string, now time.Time) []dispatch {
	return slices.DeleteFunc(r.sent[region], func(d dispatch) bool { return now.Sub(d.at) > summaryAge })
}

// regionHost is a host of another region.
type regionHost struct {
	member          member.Member
	summary         regionSummary
	summaryReceived time.Time
	filter          index.Filter
	filterFetched   time.Time
}

func (r *regions) host(m member.Member) *regionHost {
	if r.hosts == nil {
		r.hosts = map[string]*regionHost{}
	}
	g := r.hosts[m.Name]
	if g == nil || g.member.Incarnation != m.Incarnation {
		g = &regionHost{}
		r.hosts[m.Name] = g
	}
	g.member = m
	return g
}

// regionExtension sends the load summary of this region to the hosts of other
// regions.
func (h *Host) regionExtension() member.Extension {
	return member.Extension{
		Name: "s", Budget: summaryBudget, Replies: true,
		Build: func(to member.Member, _ int) []byte {
			if to.Region == h.settings.Region {
				return nil
			}
			b, err := member.Encode(h.summary(time.Now()))
			if err != nil {
				return nil
			}
			return b
		},
		Take: func(from member.Member, data []byte) error {
			var s regionSummary
			if err := member.Decode(data, &s); err != nil {
				return err
			}
			h.regions.mu.Lock()
			defer h.regions.mu.Unlock()
			g := h.regions.host(from)
			g.summary, g.summaryReceived = s, time.Now()
			return nil
		},
	}
}

// summary returns the load of the engine with the shortest queue in the region.
func (h *Host) summary(now time.Time) regionSummary {
	best := regionSummary{Wait: math.MaxInt64}
	for _, m := range h.fleet.list(table.Engine, func(m *targetView) bool {
		return m.listed.Region == h.settings.Region && h.fleet.open(m, now) && now.Sub(m.reportReceived) < reportStaleAfter
	}) {
		if m.report.PrefillRate <= 0 {
			continue
		}
		wait := int64(float64(m.report.Tokens+totalTokens(m.dispatches)) / m.report.PrefillRate * 1000)
		if wait < best.Wait {
			best = regionSummary{Wait: wait, Prefill: int64(m.report.PrefillRate)}
		}
	}
	if best.Prefill == 0 {
		best.Wait = 0
	}
	return best
}

// fetchOldestFilter fetches the filter of the host whose stored filter is the oldest.
func (h *Host) fetchOldestFilter(ctx context.Context) {
	var oldest *regionHost
	h.regions.mu.Lock()
	seen := map[string]bool{}
	for _, m := range h.gossip.Live() {
		if m.Region == h.settings.Region {
			continue
		}
		seen[m.Name] = true
		g := h.regions.host(m)
		if time.Since(g.filterFetched) > minFilterAge && (oldest == nil || g.filterFetched.Before(oldest.filterFetched)) {
			oldest = g
		}
	}
	for name := range h.regions.hosts {
		if !seen[name] {
			delete(h.regions.hosts, name)
		}
	}
	if oldest == nil {
		h.regions.mu.Unlock()
		return
	}
	oldest.filterFetched = time.Now()
	address := oldest.member.Address
	h.regions.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, filterTimeout)
	defer cancel()
	r, err := h.client.Filter(ctx, address)
	if err != nil {
		counters.Add("filter_errors", 1)
		return
	}
	h.regions.mu.Lock()
	defer h.regions.mu.Unlock()
	oldest.filter = r.Filter
}

// forwardPeers returns the hosts of other regions to which the request may be
// forwarded.
func (h *Host) forwardPeers(q *request) []route.Peer {
	if q.localOnly {
		return nil
	}
	now := time.Now()
	h.regions.mu.Lock()
	defer h.regions.mu.Unlock()
	matched := map[string]int{}
	for _, g := range h.regions.hosts {
		if len(q.keys) > 0 && g.filter.MayContain(q.keys[0]) {
			matched[g.member.Region] = len(q.keys)
		}
	}
	sentTokens := map[string]int{}
	for region := range h.regions.sent {
		h.regions.sent[region] = h.regions.recentlySent(region, now)
		sentTokens[region] = totalTokens(h.regions.sent[region])
	}
	engines := map[string]int{}
	if len(sentTokens) > 0 {
		for _, m := range h.fleet.list(table.Engine, nil) {
			engines[m.listed.Region]++
		}
	}
	var out []route.Peer
	for _, g := range h.regions.hosts {
		m := g.member
		link, ok := h.links.path(m.Region, now)
		if !ok || !m.Usable() || g.summary.Prefill == 0 || !regionAllowed(q.account, m.Region) {
			continue
		}
		// The region spreads the requests that this host forwarded over its engines.
		ownWait := time.Duration(float64(sentTokens[m.Region]) / float64(max(1, engines[m.Region])) /
			float64(g.summary.Prefill) * float64(time.Second))
		out = append(out, route.Peer{
			Host: m.Name, Region: m.Region, Reported: g.summaryReceived,
			Wait:    time.Duration(g.summary.Wait)*time.Millisecond + ownWait,
			Prefill: float64(g.summary.Prefill), Matched: matched[m.Region], Link: link,
			Import: route.Link{Rate: initialStoreRate},
		})
	}
	return out
}
