//go:build review2

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// worker is a stand-in of a worker of the plain service: it answers each request after some time.
type worker struct {
	rig     *rig
	id      string
	address string
	// born is the start that the worker states, in Unix milliseconds.
	born    int64
	work    time.Duration
	server  *http.Server
	running atomic.Int64

	mu   sync.Mutex
	runs map[string]int
}

// newWorker starts a worker at a free address, or at a given one.
func (r *rig) newWorker(id, address string, born int64, work time.Duration) *worker {
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	r.must(err)
	w := &worker{
		rig: r, id: id, address: l.Addr().String(), born: born, work: work, runs: map[string]int{},
	}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(l) }() // it returns an error after stop
	r.cleanups = append(r.cleanups, w.stop)
	return w
}

// stop closes all connections, as the end of the worker's process does.
func (w *worker) stop() { _ = w.server.Close() }

// put writes the worker's entry.
func (w *worker) put(state string, sequence int) {
	w.rig.store.Put("servers", w.id, map[string]any{
		"Service": appService, "Address": w.address, "Zone": "south-depot", "Version": "v1", "Slots": appSlots, "State": state, "ColdLeftMs": 0,
		"Sequence": sequence, "born": w.born,
	})
}

// ServeHTTP answers as PROTOCOL.md says.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	h := rw.Header()
	if r.URL.Path == "/health" {
		h.Set(name("instance"), w.id)
		return
	}
	if t := r.Header.Get(name("target")); t != "" && t != w.id {
		h.Set(name("instance"), w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body) // a caller that has left is noticed below
	id := r.Header.Get(name("request id"))
	h.Set(name("request id"), id)
	w.mu.Lock()
	w.runs[id]++
	w.mu.Unlock()
	w.running.Add(1)
	defer w.running.Add(-1)
	select {
	case <-time.After(w.work):
	case <-r.Context().Done():
		return
	}
	h.Set(name("seal"), "seal-"+w.id)
	h.Set(name("load"), fmt.Sprintf("%d,0,%d", w.running.Load(), appSlots))
	_, _ = fmt.Fprintf(rw, "done %s", id)
}

// ran returns how often the worker has run a request.
func (w *worker) ran(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id]
}

// ranCount returns how many requests the worker has run.
func (w *worker) ranCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs)
}
