package host

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"sesamehill.example/sesamehill/internal/member"
	"sesamehill.example/sesamehill/internal/table"
	"sesamehill.example/sesamehill/internal/target"
)

// engineLoad is the load report of one engine in a heartbeat.
type engineLoad struct {
	_      struct{} `cbor:",toarray"`
	Target string
	// At is the time of the report by the engine's clock, in Unix milliseconds.
	// Age is the time since this host received the report, in milliseconds, when
	// the heartbeat was built.
	At      int64
	Age     int64
	Running int
	Waiting int
	Tokens  int
	Prefill int
	Decode  int
	Free    int
	Models  []engineModel
}

type engineModel struct {
	_        struct{} `cbor:",toarray"`
	Model    string
	Version  string
	Adapters []string
}

// loadSummary is a list of load reports that a heartbeat carries.
type loadSummary []engineLoad

// Check rejects entries without a target name or with a negative age.
func (d loadSummary) Check() error {
	for _, e := range d {
		if e.Target == "" || e.Age < 0 {
			return fmt.Errorf("load summary has an entry without a target name or with a negative age")
		}
	}
	return nil
}

// loadExtension gossips load reports within a region: those of the engines that
// this host observes and, if they fit, those received from other hosts.
func (h *Host) loadExtension() member.Extension {
	return member.Extension{
		Name: "l", Budget: loadSummaryBudget, Replies: true,
		Build: func(to member.Member, budget int) []byte {
			if to.Region != h.settings.Region {
				return nil
			}
			return h.buildLoadSummary(budget, time.Now())
		},
		Take: func(_ member.Member, data []byte) error {
			var d loadSummary
			if err := member.Decode(data, &d); err != nil {
				return err
			}
			now := time.Now()
			for _, e := range d {
				h.fleet.updateReport(e.Target, e.report(), now.Add(-time.Duration(e.Age)*time.Millisecond))
			}
			return nil
		},
	}
}

// buildLoadSummary encodes as many entries as fit into the budget: first the engines
// that this host observes, then the others, each group in random order.
func (h *Host) buildLoadSummary(budget int, now time.Time) []byte {
	ms := h.fleet.list(table.Engine, func(m *targetView) bool {
		return m.listed.Region == h.settings.Region && !m.reportReceived.IsZero() && now.Sub(m.reportReceived) < reportStaleAfter
	})
	rand.Shuffle(len(ms), func(i, j int) { ms[i], ms[j] = ms[j], ms[i] })
	slices.SortStableFunc(ms, func(a, b targetView) int { return compareTrueFirst(h.observes(&a), h.observes(&b)) })
	var d loadSummary
	var out []byte
	for _, m := range ms {
		d = append(d, newEngineLoad(&m, now))
		b, err := member.Encode(d)
		if err != nil || len(b) > budget {
			break
		}
		out = b
	}
	return out
}

func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

func newEngineLoad(m *targetView, now time.Time) engineLoad {
	r := m.report
	e := engineLoad{
		Target: m.listed.Name, At: r.ReportedAt.UnixMilli(), Age: now.Sub(m.reportReceived).Milliseconds(),
		Running: r.Running, Waiting: r.Waiting, Tokens: r.Tokens,
		Prefill: int(r.PrefillRate), Decode: int(r.DecodeRate), Free: r.FreeBlocks,
	}
	for _, l := range r.Models {
		e.Models = append(e.Models, engineModel{Model: l.Model, Version: l.Version, Adapters: l.Adapters})
	}
	return e
}

func (e *engineLoad) report() target.LoadReport {
	r := target.LoadReport{
		Target: e.Target, ReportedAt: time.UnixMilli(e.At), Running: e.Running, Waiting: e.Waiting, Tokens: e.Tokens,
		PrefillRate: float64(e.Prefill), DecodeRate: float64(e.Decode), FreeBlocks: e.Free,
	}
	for _, l := range e.Models {
		r.Models = append(r.Models, target.Loaded{Model: l.Model, Version: l.Version, Adapters: l.Adapters})
	}
	return r
}
