//go:build review

package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	llmService = "huvo11a"
	model      = "daka510000"
	// streamEvents is the number of events of a stream, and eventGap the time between two.
	streamEvents = 40
	eventGap     = 25 * time.Millisecond
	// takenClients is the number of streams that begin at once. The host is killed once minBegun of
	// those that the newer software runs have brought an event.
	takenClients = 24
	minBegun     = 8
	// leaveAfter is how long after its request a client leaves the host at which it takes its stream up.
	leaveAfter = 50 * time.Millisecond
)

// engine is a stand-in of a model worker. Its events name its software.
type engine struct {
	id, software, address string
	born                  int64
}

func (r *rig) newEngine(id, software string) *engine {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	r.must(err)
	e := &engine{id: id, software: software, address: l.Addr().String(), born: time.Now().UnixMilli()}
	server := &http.Server{Handler: e}
	go func() { _ = server.Serve(l) }() // it returns an error after Close
	r.cleanups = append(r.cleanups, func() { _ = server.Close() })
	r.store.Put("servers", id, map[string]any{
		"Service": llmService, "Address": e.address, "Zone": "south-depot", "Version": software, "Slots": 64, "State": "ready", "ColdLeftMs": 0,
		"Stage": "colocated", "Models": []any{map[string]any{"Name": model, "Version": 1, "Adapters": []any{}}}, "Sequence": 1, "born": e.born,
	})
	return e
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

// stream is what a client has of a stream, over all its tries.
type stream struct {
	n        int
	first    string
	last     int
	software []string
	tries    int
}

// mixed reports whether the stream holds events of two software versions.
func (s *stream) mixed() bool {
	for _, v := range s.software {
		if v != s.software[0] {
			return true
		}
	}
	return false
}

// try asks a host for the rest of the stream until ctx ends. It calls onEvent after each event.
func (s *stream) try(ctx context.Context, h *host, onEvent func()) (status int) {
	id := fmt.Sprintf("%08x%08x", s.n, s.tries)
	s.tries++
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.front+"/puxa400/2f", strings.NewReader("prompt"))
	if err != nil {
		return 0
	}
	req.Host = routeHost
	for meaning, value := range map[string]string{
		"request id": id, "model": model, "tokens": "60,40", "parts": fmt.Sprintf("%08x:50,%08x:10", 0x10000000+s.n, 0x20000000+s.n),
		"deadline": "15000", "key": apiKey,
	} {
		req.Header.Set(name(meaning), value)
	}
	if s.last > 0 {
		req.Header.Set("Last-Event-Id", strconv.Itoa(s.last))
		req.Header.Set("Resumes", s.first)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode
	}
	lines, last := bufio.NewScanner(resp.Body), 0
	for lines.Scan() {
		if v, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			last, _ = strconv.Atoi(v)
		}
		if v, ok := strings.CutPrefix(lines.Text(), "data: "); ok && last > s.last {
			if s.first == "" {
				s.first = id
			}
			s.last, s.software = last, append(s.software, v)
			onEvent()
		}
	}
	return resp.StatusCode
}

// playTaken has clients begin streams at one host and take them up at two others, where they leave
// once before an answer and come again. With the disruption the first host is killed as it has brought
// the first events; without it the clients leave it.
func playTaken(r *rig) {
	r.newEngine("i-a1", "v1")
	r.newEngine("i-b2", "v1")
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
	for range 3 {
		r.startHost()
	}
	time.Sleep(2 * contactTime)
	r.newEngine("i-c3", "v2")
	r.newEngine("i-d4", "v2")
	r.record("two workers of another software version are listed")
	time.Sleep(contactTime + time.Second)

	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var begun atomic.Int64
	lost := make(chan struct{})
	var once sync.Once
	streams := make([]*stream, takenClients)
	var group sync.WaitGroup
	for n := range streams {
		s := &stream{n: n + 1}
		streams[n] = s
		group.Go(func() {
			first, leave := context.WithCancel(ctx)
			defer leave()
			s.try(first, r.hosts[0], func() {
				if s.last == 1 && s.software[0] == "v2" && begun.Add(1) == minBegun {
					once.Do(func() {
						if r.trouble {
							_ = r.hosts[0].command.Process.Kill()
						}
						close(lost)
					})
				}
				select {
				case <-lost:
					leave()
				default:
				}
			})
			<-lost
			if s.last == 0 || s.last >= streamEvents {
				return
			}
			time.Sleep(20 * time.Millisecond)
			short, cancel := context.WithTimeout(ctx, leaveAfter)
			defer cancel()
			s.try(short, r.hosts[1+s.n%2], func() {})
			for try := 0; try < 3 && s.last < streamEvents; try++ {
				time.Sleep(300 * time.Millisecond)
				patient, end := context.WithTimeout(ctx, 5*time.Second)
				s.try(patient, r.hosts[1+(s.n+try+1)%2], func() {})
				end()
			}
		})
	}
	group.Wait()
	mixed, taken, whole := 0, 0, 0
	for _, s := range streams {
		if s.tries > 1 {
			taken++
		}
		if s.last == streamEvents {
			whole++
		}
		if s.mixed() {
			mixed++
			r.record("stream %d: tries %d, events %v", s.n, s.tries, s.software)
		}
	}
	for _, h := range r.hosts[1:] {
		r.logLines(h, "stream resumed by its caller", 8)
	}
	r.finish(mixed > 2, "%d streams hold events of two software versions (2 are allowed), of %d, of which %d were taken up and %d came to their end", mixed, len(streams), taken, whole)
}
