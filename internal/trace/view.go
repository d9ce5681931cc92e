package trace

import (
	"time"

	"sesamehill.example/sesamehill/internal/target"
)

// view is what one host knows of the engines.
type view struct {
	engines map[*engine]*member
}

// member is one engine in the view of a host.
type member struct {
	report target.LoadReport
	// sent are the host's own dispatches that the report may not contain.
	sent []*sent
}

type sent struct {
	at     time.Time
	tokens int
	// arrived is when the engine got the request, zero before that.
	arrived time.Time
}

func (m *member) sentTokens() int {
	n := 0
	for _, s := range m.sent {
		n += s.tokens
	}
	return n
}

// hear takes a report and forgets the dispatches that it contains.
func (m *member) hear(r target.LoadReport) {
	m.report = r
	kept := m.sent[:0]
	for _, s := range m.sent {
		if s.arrived.IsZero() || s.arrived.After(r.ReportedAt) {
			kept = append(kept, s)
		}
	}
	m.sent = kept
}

// views feeds the hosts' views with load reports.
type views struct{}

func (views) start(w *world) {
	for _, h := range w.hosts {
		h.view = &view{engines: map[*engine]*member{}}
		for _, e := range w.engines {
			h.view.engines[e] = &member{report: e.report(w.loaded)}
		}
	}
	end := w.setup.Warm + w.setup.Measured
	for i, e := range w.engines {
		// Observers poll the engines at different times.
		phase := reportEvery * time.Duration(i) / time.Duration(len(w.engines))
		w.every(phase, reportEvery, end, func() {
			r := e.report(w.loaded)
			w.after(reportLag, func() {
				for _, h := range w.hosts {
					h.view.engines[e].hear(r)
				}
			})
		})
	}
}

// away sends a request that may not run in its region to the other one.
func (views) away(c *call, place func(*call)) {
	c.handed = c.world.hostOf(1 - c.host.region)
	c.cross(func() { place(c) })
}

// sent counts a dispatch in the host's view.
func (c *call) sent(e *engine, tokens int) {
	m := c.at().view.engines[e]
	c.mark = &sent{at: c.world.time(), tokens: tokens}
	m.sent = append(m.sent, c.mark)
}
