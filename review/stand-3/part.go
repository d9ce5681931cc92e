//go:build review2

package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// engineCount is the number of engines.
	engineCount = 6
	// crashAfter is how long an engine reads a prompt before it begins its answer, and backAfter how long
	// a crashed one is away.
	crashAfter = 300 * time.Millisecond
	backAfter  = 2 * time.Second
	// sessions is the number of sessions with the part, one every sessionEvery. Each sends two requests
	// with it, turnAfter apart, and one without it.
	sessions     = 8
	sessionEvery = 3500 * time.Millisecond
	turnAfter    = time.Second
	soundEvery   = 100 * time.Millisecond
	// contactCrash is the crash from which ContactMs counts, and lateAllowed the number of later requests
	// with the part that the rule allows.
	contactCrash = 5
	lateAllowed  = 3

	headPart   = "10000000:50"
	deadlyPart = "2badbad0:30"
)

// crashes are the requests with the part that reached engines.
type crashes struct {
	mu    sync.Mutex
	count int
	fifth time.Time
	late  int
}

// arrive counts the arrival of a request with the part.
func (c *crashes) arrive(r *rig, engineID, requestID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	late := !c.fifth.IsZero() && time.Since(c.fifth) > contactTime+200*time.Millisecond
	if late {
		c.late++
	}
	r.record("request %s with the part reaches engine %s (late: %v)", requestID, engineID, late)
}

// crash counts a crash.
func (c *crashes) crash(r *rig, engineID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
	if c.count == contactCrash {
		c.fifth = time.Now()
	}
	r.record("engine %s crashes, crash %d", engineID, c.count)
}

// fragileEngine is an engine that the part crashes.
type fragileEngine struct {
	engine
	rig     *rig
	crashes *crashes

	mu     sync.Mutex
	server *http.Server
	starts int
	down   bool
}

// start lists the engine and serves.
func (e *fragileEngine) start() {
	l, err := net.Listen("tcp", e.address)
	e.rig.must(err)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.address, e.born, e.down = l.Addr().String(), time.Now().UnixMilli(), false
	e.starts++
	server := &http.Server{Handler: e}
	e.server = server
	go func() { _ = server.Serve(l) }() // it returns an error after Close
	e.rig.store.Put("servers", e.id, map[string]any{
		"Service": llmService, "Address": e.address, "Zone": "south-depot", "Version": e.software, "Slots": 64, "State": "ready", "ColdLeftMs": 0,
		"Stage": "colocated", "Models": []any{map[string]any{"Name": model, "Version": 1, "Adapters": []any{}}}, "Sequence": e.starts, "born": e.born,
	})
}

// crash closes all connections, and starts the engine again later.
func (e *fragileEngine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return
	}
	e.down = true
	e.crashes.crash(e.rig, e.id)
	_ = e.server.Close()
	time.AfterFunc(backAfter, e.start)
}

// ServeHTTP answers as engine does. With the disruption it crashes as it begins an answer on the part.
func (e *fragileEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.Contains(r.Header.Get(name("parts")), deadlyPart) {
		e.crashes.arrive(e.rig, e.id, r.Header.Get(name("request id")))
		select {
		case <-time.After(crashAfter):
		case <-r.Context().Done():
			return
		}
		if e.rig.trouble {
			e.crash()
			return
		}
	}
	e.engine.ServeHTTP(w, r)
}

// ask sends a request with the given parts and its own last one, and returns the status.
func (r *rig) ask(n int, parts string) (status int, whole bool) {
	ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.front+"/puxa400/2f", strings.NewReader(fmt.Sprint("prompt ", n)))
	r.must(err)
	req.Host = routeHost
	for meaning, value := range map[string]string{
		"request id": fmt.Sprintf("%016x", n), "model": model, "tokens": "120,40", "parts": fmt.Sprintf("%s,%08x:10", parts, 0x70000000+n),
		"deadline": "10000", "key": apiKey,
	} {
		req.Header.Set(name(meaning), value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, false
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, err == nil && strings.Contains(string(body), fmt.Sprintf("id: %d\n", streamEvents))
}

// playPart has sessions send requests with a part that crashes engines, beside sound requests.
func playPart(r *rig) {
	c := &crashes{}
	for n := range engineCount {
		e := &fragileEngine{engine: engine{id: fmt.Sprintf("i-e%d", n), software: "v1", address: "127.0.0.1:0"}, rig: r, crashes: c}
		e.start()
	}
	r.putStreamConfig()
	r.startHost()
	time.Sleep(2 * time.Second)

	var served, failed atomic.Int64
	stopSound := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		for n := 0x1000; ; n++ {
			select {
			case <-stopSound:
				return
			case <-time.After(soundEvery):
			}
			group.Go(func() {
				if status, whole := r.ask(n, fmt.Sprintf("%s,%08x:50", headPart, 0x50000000+n%20)); status == http.StatusOK && whole {
					served.Add(1)
				} else {
					failed.Add(1)
				}
			})
		}
	})
	time.Sleep(2 * time.Second)
	for s := range sessions {
		group.Go(func() {
			own := fmt.Sprintf("%08x:20", 0x60000000+s)
			for turn := range 2 {
				n := 10*s + turn + 1
				group.Go(func() {
					status, whole := r.ask(n, headPart+","+deadlyPart+","+own)
					r.record("session %d: request %016x with the part: %d, whole: %v", s, n, status, whole)
				})
				time.Sleep(turnAfter)
			}
			status, whole := r.ask(10*s+3, headPart+","+own)
			r.record("session %d: its request without the part: %d, whole: %v", s, status, whole)
		})
		time.Sleep(sessionEvery)
	}
	close(stopSound)
	group.Wait()
	r.logLines(r.hosts[0], "a part of prompts is quarantined", sessions)
	c.mu.Lock()
	late, count := c.late, c.count
	c.mu.Unlock()
	r.record("sound requests: %d served, %d not", served.Load(), failed.Load())
	r.finish(late > lateAllowed, "%d requests with the part reached engines later than ContactMs after the fifth crash (%d are allowed), %d crashes", late, lateAllowed, count)
}
