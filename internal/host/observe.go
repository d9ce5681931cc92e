package host

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/table"
)

const (
	// listPeriod bounds the time until a host notices a leaving target. 330 hosts
	// make 165 of the 2,000 reads a second that the platform allows.
	listPeriod = 2 * time.Second
	loadPeriod = time.Second
	// pollTimeout is shorter than loadPeriod so that polls do not pile up.
	pollTimeout = 800 * time.Millisecond
)

// invalidEntries describes the entries of a list that name no host or target.
type invalidEntries struct {
	number int
	// first is the error of the first.
	first string
}

func (h *Host) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listPeriod)
	defer cancel()
	l, err := h.platform.List(ctx)
	h.reach.update(err, time.Now())
	if err != nil {
		counters.Add("list_errors", 1)
		return
	}
	h.logInvalidEntries(l.Invalid)
	for _, name := range h.fleet.apply(l) {
		h.blockIndex.dropTarget(name)
	}
	h.gossip.Seed(append(l.Hosts, h.seeds...))
}

// logInvalidEntries logs the listed entries that name no host or target, once for each
// change of their number or of the first.
func (h *Host) logInvalidEntries(invalid []error) {
	state := invalidEntries{number: len(invalid)}
	if len(invalid) > 0 {
		state.first = invalid[0].Error()
	}
	before := h.invalidEntries.Swap(&state)
	if state.number > 0 && (before == nil || *before != state) {
		h.log.Warn("listed entries are invalid; they name no host or target", zap.Int("entries", state.number), zap.String("first", state.first))
	}
}

// pollLoads polls the load of the engines that this host observes.
func (h *Host) pollLoads(ctx context.Context) { h.pollEngines(ctx, h.observes) }

// refreshReports polls the load of engines whose report is stale, such as those of
// other regions. Operator requests and the rollout need it.
func (h *Host) refreshReports(ctx context.Context) {
	now := time.Now()
	h.pollEngines(ctx, func(m *targetView) bool { return now.Sub(m.reportReceived) > reportStaleAfter })
}

func (h *Host) pollEngines(ctx context.Context, keep func(*targetView) bool) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var g sync.WaitGroup
	for _, m := range h.fleet.list(table.Engine, keep) {
		g.Go(func() {
			r, err := m.engine.Load(ctx)
			if err != nil {
				counters.Add("load_errors", 1)
				if ctx.Err() == nil {
					h.fleet.markFailed(m.listed.Name, time.Now())
				}
				return
			}
			h.fleet.updateReport(m.listed.Name, r, time.Now())
		})
	}
	g.Wait()
}

// observes reports whether this host polls a target. Two hosts of the target's zone
// poll it; if the zone has no hosts, every host of the region does.
func (h *Host) observes(m *targetView) bool {
	if m.listed.Region != h.settings.Region {
		return false
	}
	o := h.blockIndex.observers(m.listed.Zone, m.listed.Name)
	return len(o) == 0 || slices.Contains(o, h.settings.Name)
}
