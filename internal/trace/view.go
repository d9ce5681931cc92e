package trace

import (
	"time"

	"sesamehill.example/sesamehill/internal/target"
)

// view is the state of the engines as one host has received it.
type view struct {
	engines map[*engine]*engineView
}

// engineView is the state of one engine in the view of a host.
type engineView struct {
	report target.LoadReport
	// dispatches are the host's own dispatches that the report may not include.
	dispatches []*dispatch
}

// dispatch is a request that the host has sent to an engine.
type dispatch struct {
	at     time.Time
	tokens int
	// arrived is when the engine received the request, and zero before that.
	arrived time.Time
}

func (m *engineView) pendingTokens() int {
	n := 0
	for _, s := range m.dispatches {
		n += s.tokens
	}
	return n
}

// applyReport stores a load report and drops the dispatches that it includes.
func (m *engineView) applyReport(r target.LoadReport) {
	m.report = r
	remaining := m.dispatches[:0]
	for _, s := range m.dispatches {
		if s.arrived.IsZero() || s.arrived.After(r.ReportedAt) {
			remaining = append(remaining, s)
		}
	}
	m.dispatches = remaining
}

// views updates the hosts' views with load reports.
type views struct{}

func (views) start(w *world) {
	for _, h := range w.hosts {
		h.view = &view{engines: map[*engine]*engineView{}}
		for _, e := range w.engines {
			h.view.engines[e] = &engineView{report: e.report(w.loaded)}
		}
	}
	end := w.setup.WarmUp + w.setup.Measured
	for i, e := range w.engines {
		// Observer hosts poll the engines at different times.
		offset := reportInterval * time.Duration(i) / time.Duration(len(w.engines))
		w.every(offset, reportInterval, end, func() {
			r := e.report(w.loaded)
			w.after(reportLag, func() {
				for _, h := range w.hosts {
					h.view.engines[e].applyReport(r)
				}
			})
		})
	}
}

// forward sends a request that may not run in its region to the other region.
func (views) forward(c *call, place func(*call)) {
	c.forwardedTo = c.world.randomHost(1 - c.host.region)
	c.sendToOtherRegion(func() { place(c) })
}

// recordDispatch adds a dispatch to the view of the host that places the request.
func (c *call) recordDispatch(e *engine, tokens int) {
	m := c.placingHost().view.engines[e]
	c.dispatched = &dispatch{at: c.world.time(), tokens: tokens}
	m.dispatches = append(m.dispatches, c.dispatched)
}
