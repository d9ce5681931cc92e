package host

import (
	"time"

	"sesamehill.example/sesamehill/internal/table"
)

// TargetState is a target in the state dump.
type TargetState struct {
	Name   string      `json:"name"`
	Kind   table.Kind  `json:"kind"`
	Region string      `json:"region"`
	Zone   string      `json:"zone"`
	State  table.State `json:"state"`
	// Drained is true while an operator drains the target.
	Drained  bool          `json:"drained"`
	Open     bool          `json:"open"`
	Reported time.Time     `json:"reported"`
	Running  int           `json:"running"`
	Waiting  int           `json:"waiting"`
	Flight   int           `json:"flight"`
	Models   []LoadedState `json:"models,omitempty"`
}

// LoadedState is a model version that an engine has loaded.
type LoadedState struct {
	Model   string `json:"model"`
	Version string `json:"version"`
}

// IndexState is this host's shard of the block index in the state dump.
type IndexState struct {
	Pieces  int      `json:"pieces"`
	Suspect []string `json:"suspect,omitempty"`
}

// DocumentState is the active configuration document in the state dump.
type DocumentState struct {
	Revision uint64 `json:"revision"`
	Name     string `json:"name"`
	Accounts int    `json:"accounts"`
	Models   int    `json:"models"`
	Services int    `json:"services"`
}

// addDumpSections registers the sections of GET /state.
func (h *Host) addDumpSections() {
	h.dump.Add("document", func() any { return h.documentState() })
	h.dump.Add("targets", func() any { return h.targetStates() })
	h.dump.Add("hosts", func() any { return h.gossip.Members() })
	h.dump.Add("index", func() any { return IndexState{Pieces: h.blockIndex.size(), Suspect: h.blockIndex.suspects()} })
	h.dump.Add("retries", func() any { return h.retries.Stats() })
	h.dump.Add("poison", func() any { return h.crashes.Stats(time.Now()) })
	h.dump.Add("links", func() any { return h.links.states(time.Now()) })
	h.dump.Add("measures", func() any { return h.measures.state() })
	h.dump.Add("rollout", func() any { return h.rollout.Status() })
	h.dump.Add("claims", func() any { return h.idempotency.Stats() })
	h.dump.Add("queue", func() any { return h.queueState() })
	h.dump.Add("lease", func() any { return h.leaseState() })
	h.dump.Add("parts", func() any { return h.tree.Components() })
	h.dump.Add("callers", func() any { return h.entry.State() })
}

// QueueState is the load of the admission queue in the state dump.
type QueueState struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// LeaseState is the rollout lease in the state dump.
type LeaseState struct {
	Held  bool   `json:"held"`
	Fence uint64 `json:"fence"`
}

func (h *Host) queueState() QueueState {
	r, w := h.admission.load()
	return QueueState{Running: r, Waiting: w}
}

func (h *Host) leaseState() LeaseState {
	f, err := h.lease.FencingToken()
	return LeaseState{Held: err == nil, Fence: f}
}

func (h *Host) documentState() DocumentState {
	f := h.document.Load()
	d := f.document
	return DocumentState{
		Revision: f.revision, Name: d.Deployment.Name,
		Accounts: len(d.Accounts), Models: len(d.Models), Services: len(d.Services),
	}
}

func (h *Host) targetStates() []TargetState {
	now := time.Now()
	var out []TargetState
	for _, k := range []table.Kind{table.Engine, table.Store, table.Service} {
		for _, m := range h.fleet.list(k, nil) {
			s := TargetState{
				Name: m.listed.Name, Kind: k, Region: m.listed.Region, Zone: m.listed.Zone,
				State: m.listed.State, Drained: h.fleet.isDrained(m.listed.Name), Open: h.fleet.isOpen(m.listed.Name, now), Reported: m.reportReceived,
				Running: m.report.Running, Waiting: m.report.Waiting, Flight: m.inFlight,
			}
			for _, l := range m.report.Models {
				s.Models = append(s.Models, LoadedState{Model: l.Model, Version: l.Version})
			}
			out = append(out, s)
		}
	}
	return out
}
