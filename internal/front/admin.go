package front

import (
	"context"
	"encoding/json"
	"expvar"
	"net/http"
	"time"

	"sesamehill.example/sesamehill/internal/wire"
)

// serveAdmin serves calls that are not callers' requests until ctx ends.
func serveAdmin(ctx context.Context, address string, h http.Handler) error {
	l, err := wire.Listen(ctx, address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: defaultIdle}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() }) // ends Serve
	defer stop()
	if err := s.Serve(l); ctx.Err() == nil {
		return err
	}
	return nil
}

// State is the dump of a host.
type State struct {
	Settings Settings       `json:"settings"`
	Time     time.Time      `json:"time"`
	Ready    bool           `json:"ready"`
	Site     uint64         `json:"site"`
	Weights  map[string]int `json:"weights"`
	Targets  any            `json:"targets"`
	Poison   any            `json:"poison"`
	Stores   any            `json:"stores"`
	Hosts    []string       `json:"hosts"`
}

func (h *Host) state() State {
	s := State{
		Settings: h.current(), Time: time.Now(), Ready: h.Ready(), Weights: h.operator.Models(),
		Targets: h.fleet.All(), Poison: h.poison.Stats(time.Now()),
		Stores: h.stash.Stats(), Hosts: h.members.names(),
	}
	if site := h.gate.Site(); site != nil {
		s.Site = site.Version
	}
	return s
}

// admin serves the counters and the state dump.
func (h *Host) admin() http.Handler {
	vars := new(expvar.Map).Init()
	vars.Set("decisions", h.gate.Metrics.Counters)
	vars.Set("milliseconds", expvar.Func(func() any { return h.gate.Metrics.Quantiles() }))
	vars.Set("tables", expvar.Func(func() any {
		platform, hubs := h.tables.Counts()
		return map[string]uint64{"platform": platform, "hubs": hubs}
	}))
	vars.Set("held", expvar.Func(func() any { return h.pool.Held() }))
	mux := http.NewServeMux()
	mux.HandleFunc("GET /debug/vars", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(vars.String())) // the reader has gone away
	})
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(h.state()) // the reader has gone away
	})
	return mux
}
