package server

import (
	"context"
	"encoding/json"
	"expvar"
	"net/http"
	"time"

	"sesamehill.example/sesamehill/internal/caller"
	"sesamehill.example/sesamehill/internal/wire"
)

// serveAdmin serves HTTP calls other than those of callers until ctx is cancelled.
func serveAdmin(ctx context.Context, address string, g *caller.Guard, h http.Handler) error {
	l, err := wire.Listen(ctx, address, wire.WithReceiveBuffer(callerReceiveBytes), wire.WithUnsentLimit(callerUnsentBytes))
	if err != nil {
		return err
	}
	s := &http.Server{
		Handler: g.Handler(h), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxAdminHeaderBytes, ConnState: g.Track, ConnContext: g.Context,
	}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() }) // makes Serve return
	defer stop()
	if err := s.Serve(g.Listener(l)); ctx.Err() == nil {
		return err
	}
	return nil
}

// ignoreBody answers requests without reading what the handler leaves of their bodies.
func ignoreBody(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			w.Header().Set("Connection", "close") // else net/http reads the body before it answers
		}
		h.ServeHTTP(w, r)
	})
}

// State is the state dump of a host for operators.
type State struct {
	Settings      Settings       `json:"settings"`
	Time          time.Time      `json:"time"`
	Ready         bool           `json:"ready"`
	ConfigVersion uint64         `json:"site"`
	Weights       map[string]int `json:"weights"`
	Targets       any            `json:"targets"`
	Crashes       any            `json:"poison"`
	Stores        any            `json:"stores"`
	Hosts         []string       `json:"hosts"`
	// Evacuated are the zones to which nothing is sent.
	Evacuated []string `json:"evacuated"`
}

// dumpState returns the current state of the host.
func (h *Host) dumpState() State {
	s := State{
		Settings: h.currentSettings(), Time: time.Now(), Ready: h.Ready(), Weights: h.config.latestVersions(),
		Targets: h.fleet.All(), Crashes: h.crashes.Stats(time.Now()),
		Stores: h.catalog.Stats(), Hosts: h.members.hostNames(),
		Evacuated: h.evacuations.Zones(wire.BootTime()),
	}
	if config := h.proxy.Config(); config != nil {
		s.ConfigVersion = config.Version
	}
	return s
}

// adminHandler serves the counters, the state dump and explanations of requests.
func (h *Host) adminHandler() http.Handler {
	vars := new(expvar.Map).Init()
	vars.Set("decisions", h.proxy.Metrics.Counters)
	vars.Set("milliseconds", expvar.Func(func() any { return h.proxy.Metrics.Quantiles() }))
	vars.Set("tables", expvar.Func(func() any {
		platform, hubs := h.tables.CallCounts()
		return map[string]uint64{"platform": platform, "hubs": hubs, "era": h.tables.Era()}
	}))
	vars.Set("reads", expvar.Func(func() any { return h.tables.ReadStats() }))
	vars.Set("outdated", expvar.Func(func() any { return h.leasedTask.roller.Outdated() }))
	vars.Set("held", expvar.Func(func() any { return h.pool.InUse() }))
	vars.Set("callers", expvar.Func(func() any { return h.guards.stats() }))
	mux := http.NewServeMux()
	mux.HandleFunc("GET /debug/vars", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(vars.String())) // the client has disconnected
	})
	mux.HandleFunc("POST "+ExplainPath, h.serveExplain)
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(h.dumpState()) // the client has disconnected
	})
	return ignoreBody(mux)
}
