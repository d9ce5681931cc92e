package host

import (
	"expvar"
	"time"

	"sesamehill.example/sesamehill/internal/crash"
	"sesamehill.example/sesamehill/internal/idem"
	"sesamehill.example/sesamehill/internal/retry"
)

// counters counts events of all hosts of the process.
var counters = expvar.NewMap("host")

// hostVars holds the variables of each host of the process by its name.
var hostVars = expvar.NewMap("hosts")

// Vars is what a host publishes in expvar: the three measures, and the counters
// behind the guarantees on retries, idempotency records and crashing requests.
type Vars struct {
	Revision uint64       `json:"revision"`
	Measures MeasureState `json:"measures"`
	Links    []LinkState  `json:"links"`
	Queue    QueueState   `json:"queue"`
	Retries  retry.Stats  `json:"retries"`
	Claims   idem.Stats   `json:"claims"`
	Poison   crash.Stats  `json:"poison"`
}

// publish registers the host's variables in expvar; unpublish removes them.
func (h *Host) publish() {
	hostVars.Set(h.settings.Name, expvar.Func(func() any {
		now := time.Now()
		return Vars{
			Revision: h.document.Load().revision, Measures: h.measures.state(), Links: h.links.states(now),
			Queue: h.queueState(), Retries: h.retries.Stats(), Claims: h.idempotency.Stats(), Poison: h.crashes.Stats(now),
		}
	}))
}

func (h *Host) unpublish() { hostVars.Delete(h.settings.Name) }
