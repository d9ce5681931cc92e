//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

const (
	llmService = "huvo11a"
	model      = "daka510000"
	// streamEvents is the number of events of a stream, and eventGap the time between two.
	streamEvents = 40
	eventGap     = 25 * time.Millisecond
)

// engine is a stand-in of a model worker. Its events name its software.
type engine struct {
	id, software, address string
	born                  int64
}

// ServeHTTP answers as PROTOCOL.md says.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	if r.URL.Path == "/report" {
		h.Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{
			"Stage": "colocated", "Models": []any{map[string]any{"Name": model, "Version": 1, "Adapters": []any{}}}, "Busy": false, "Sequence": 0,
			"Waiting": 0, "Running": 0, "KvUsed": 0, "KvTotal": 99591, "Handles": 0, "born": e.born,
		})
		return
	}
	if t := r.Header.Get(name("target")); t != "" && t != e.id {
		h.Set(name("instance"), e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	h.Set(name("request id"), r.Header.Get(name("request id")))
	h.Set(name("seal"), "seal-"+e.id)
	h.Set(name("weights"), "1")
	h.Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // zero at the begin
	for n := last + 1; n <= streamEvents; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, e.software)
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(eventGap):
		case <-r.Context().Done():
			return
		}
	}
}

// putStreamConfig writes a configuration with one route of streams to engines.
func (r *rig) putStreamConfig() {
	r.store.Put("op", "version/"+model, map[string]any{"Model": model, "Version": 1})
	r.store.Put("op", "config", map[string]any{
		"Version": 7,
		"Routes": []any{map[string]any{
			"Name": "r-stream", "Host": routeHost, "Prefix": "/puxa400/", "Kind": "streaming", "TimeoutMs": 15000, "GoalMs": 1000, "Priority": 2,
			"Service": llmService, "Attempts": 2, "Public": false, "Sticky": true, "Resumable": true, "GapAimMs": 500,
		}},
		"Services": []any{map[string]any{
			"Name": llmService, "HealthPath": "/health", "MaxConns": 360, "Protocol": "h1", "Tls": false,
			"Engine": map[string]any{
				"Slots": 64, "KvCapacity": 99591, "KvTokenBytes": 163840, "LinkMbps": 260000.0, "Managed": true, "MaxInflight": 12,
				"Models": []any{map[string]any{"Name": model}},
			},
		}},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{map[string]any{"Name": tenant, "ApiKeys": []any{apiKey}, "Priority": 1}},
	})
}
