package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	defaultSlots = 48
	heartbeat    = 1200 * time.Millisecond
	loadTime     = 430 * time.Millisecond
)

// Worker is an engine, whose answers are streams.
type Worker struct {
	store  *Store
	record *Record
	ID     string
	// service, zone and slots stand in its entry.
	service, zone string
	slots         int
	// events and gap are those of a stream, loadTime is the time that new weights take.
	events   int
	gap      time.Duration
	loadTime time.Duration
	address  string
	// onOrder is called with each order, onCached with each use of a cached part.
	onOrder  func(k *Worker, order map[string]any)
	onCached func(k *Worker, request, tenant, part, madeBy string)

	mu sync.Mutex // guards the fields below
	// software and born are those of the present start, state is that in the entry, and
	// leaving says that answers name it.
	software string
	born     int64
	state    string
	leaving  bool
	// left is set once the worker writes no more entries.
	left bool
	// weights is the version of the weights, sequence the number of orders accepted.
	weights  int
	sequence int
	busy     bool
	beats    int
	running  int
	// cache holds the tenant that made each cached part, by salt and part.
	cache   map[[2]string]string
	server  *http.Server
	conns   map[net.Conn]bool
	stopped chan struct{}
}

// Start starts the worker at its address, after it has registered.
func (k *Worker) Start(software string) {
	l, err := net.Listen("tcp", k.listenAddress())
	if err != nil {
		fail("worker %s cannot listen: %v", k.ID, err)
	}
	k.mu.Lock()
	k.address = l.Addr().String()
	k.software, k.born, k.state, k.leaving = software, time.Now().UnixMilli(), "ready", false
	k.weights = max(k.weights, 1)
	k.sequence, k.busy, k.cache, k.conns = 0, false, map[[2]string]string{}, map[net.Conn]bool{}
	k.stopped = make(chan struct{})
	k.server = &http.Server{Handler: http.HandlerFunc(k.serve), ConnState: k.track}
	server, stopped := k.server, k.stopped
	k.mu.Unlock()
	k.register()
	k.record.Add("worker %s starts, software %s", k.ID, software)
	go k.beat(stopped)
	go func() { _ = server.Serve(l) }()
}

func (k *Worker) listenAddress() string {
	if k.address == "" {
		return "127.0.0.3:0"
	}
	return k.address
}

func (k *Worker) track(c net.Conn, s http.ConnState) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch s {
	case http.StateNew:
		k.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(k.conns, c)
	}
}

// Exit ends the worker: its connections are reset.
func (k *Worker) Exit(remove bool) {
	k.mu.Lock()
	server, conns := k.server, k.conns
	close(k.stopped)
	for c := range conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
	}
	k.mu.Unlock()
	_ = server.Close()
	k.record.Add("worker %s exits", k.ID)
	if remove {
		k.store.Remove("servers", k.ID)
	}
}

// Leave makes the worker write no more entries. It goes on serving.
func (k *Worker) Leave() {
	k.mu.Lock()
	k.left = true
	k.mu.Unlock()
	k.record.Add("worker %s leaves without a report, its entry is removed", k.ID)
}

// Drain reports that the worker leaves, which it says in its answers too.
func (k *Worker) Drain() {
	k.mu.Lock()
	k.state, k.leaving = "draining", true
	k.mu.Unlock()
	k.register()
	k.record.Add("worker %s reports draining, acknowledged by the store", k.ID)
}

func (k *Worker) beat(stopped chan struct{}) {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for {
		select {
		case <-stopped:
			return
		case <-t.C:
			k.register()
		}
	}
}

func (k *Worker) register() {
	k.mu.Lock()
	if k.left {
		k.mu.Unlock()
		return
	}
	k.beats++
	v := map[string]any{
		"Service": k.service, "Address": k.address, "Zone": k.zone, "Version": k.software, "Slots": k.slots,
		"State": k.state, "ColdLeftMs": 0, "Sequence": k.beats, "born": k.born,
	}
	v["Stage"] = "colocated"
	v["Models"] = []any{map[string]any{"Name": modelName, "Version": k.weights, "Adapters": []any{}}}
	k.mu.Unlock()
	k.store.Put("servers", k.ID, v)
}

func (k *Worker) serve(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/report":
		k.report(w)
		return
	case "/order":
		k.order(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	h := w.Header()
	id := r.Header.Get(name["request"])
	h.Set(name["request"], id)
	k.mu.Lock()
	weights, leaving, software := k.weights, k.leaving, k.software
	k.mu.Unlock()
	if leaving {
		h.Set(name["leaving"], "1")
	}
	expect := r.Header.Get(name["expect"])
	if t := r.Header.Get(name["instance"]); t != "" && t != k.ID || expect != "" && expect != strconv.Itoa(weights) {
		k.record.Add("worker %s rejects %s with 421", k.ID, id)
		h.Set(name["worker"], k.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	k.count(1)
	defer k.count(-1)
	from, _ := strconv.Atoi(r.Header.Get(name["last"]))
	k.record.Add("worker %s (software %s) runs %s %s %s, tenant %q, after event %d, body %d bytes", k.ID, software, id, r.Method, r.URL.Path, r.Header.Get(name["tenant"]), from, len(body))
	h.Set(name["seal"], "seal-"+id+"-"+k.ID)
	h.Set(name["load"], fmt.Sprintf("%d,0,%d", k.running, k.slots))
	k.readPrompt(r, id)
	h.Set(name["weights"], strconv.Itoa(weights))
	h.Set("Content-Type", "text/event-stream")
	k.stream(w, r, from, software)
}

func (k *Worker) count(d int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.running += d
}

// readPrompt finds the parts of the prompt in the cache under the salt, and keeps them.
func (k *Worker) readPrompt(r *http.Request, id string) {
	salt, tenant := r.Header.Get(name["salt"]), r.Header.Get(name["tenant"])
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, entry := range strings.Split(r.Header.Get(name["prefix"]), ",") {
		part, _, ok := strings.Cut(entry, ":")
		if !ok {
			return
		}
		key := [2]string{salt, part}
		if by, cached := k.cache[key]; cached {
			k.record.Add("worker %s: %s of tenant %s uses part %s under salt %q that tenant %s has made", k.ID, id, tenant, part, salt, by)
			if k.onCached != nil {
				k.onCached(k, id, tenant, part, by)
			}
			continue
		}
		k.cache[key] = tenant
		k.record.Add("worker %s: %s of tenant %s makes part %s under salt %q", k.ID, id, tenant, part, salt)
	}
}

// stream sends the events after one of them.
func (k *Worker) stream(w http.ResponseWriter, r *http.Request, from int, software string) {
	for i := from + 1; i <= k.events; i++ {
		select {
		case <-time.After(k.gap):
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s\n\n", i, k.ID, software); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}

func (k *Worker) report(w http.ResponseWriter) {
	k.mu.Lock()
	defer k.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{
		"Stage": "colocated", "Models": []any{map[string]any{"Name": modelName, "Version": k.weights, "Adapters": []any{}}},
		"Busy": k.busy, "Sequence": k.sequence, "Waiting": 0, "Running": k.running, "KvUsed": 0, "KvTotal": 119587, "Handles": 0, "born": k.born,
	})
}

func (k *Worker) order(w http.ResponseWriter, r *http.Request) {
	var o map[string]any
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	version := int(o["Version"].(float64))
	k.mu.Lock()
	status := http.StatusAccepted
	expected, stated := o["Expected"].(float64)
	switch {
	case r.Header.Get(name["instance"]) != "" && r.Header.Get(name["instance"]) != k.ID:
		status = http.StatusMisdirectedRequest
	case k.busy || stated && int(expected) != k.sequence:
		status = http.StatusConflict
	case k.weights == version:
		status = http.StatusOK
	default:
		k.busy = true
		k.sequence++
		time.AfterFunc(k.loadTime, func() {
			k.mu.Lock()
			k.weights, k.busy = version, false
			k.mu.Unlock()
			k.register()
		})
	}
	k.mu.Unlock()
	k.record.Add("worker %s gets an order from holder %v, fencing token %v, version %d: %d", k.ID, o["Holder"], o["FencingToken"], version, status)
	if k.onOrder != nil {
		k.onOrder(k, o)
	}
	w.WriteHeader(status)
}
