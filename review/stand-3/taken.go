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
	"time"
)

const (
	llmService = "huvo11a"
	model      = "daka510000"
	// streamEvents is the number of events of a stream, and eventGap the time between two.
	streamEvents = 40
	eventGap     = 25 * time.Millisecond
	// takenHosts is the number of hosts, of which the first lostHosts are killed. At each of these
	// takenClients streams begin.
	takenHosts   = 6
	lostHosts    = 3
	takenClients = 20
	rounds       = 6
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

// playTaken has clients begin streams at some hosts and take them up at the others, where they leave
// once before an answer and come again. With the disruption the first hosts are killed as they have
// brought the first events; without it the clients leave them.
func playTaken(r *rig) {
	r.newEngine("i-a1", "v1")
	r.newEngine("i-b2", "v1")
	r.putStreamConfig()
	for range takenHosts {
		r.startHost()
	}
	time.Sleep(2 * contactTime)
	r.newEngine("i-c3", "v2")
	r.newEngine("i-d4", "v2")
	r.record("two workers of another software version are listed")
	time.Sleep(contactTime + time.Second)

	var streams []*stream
	for round := range rounds {
		streams = append(streams, r.playRound(round)...)
	}
	mixed, newer, taken, whole := 0, 0, 0, 0
	for _, s := range streams {
		if len(s.software) > 0 && s.software[0] == "v2" && s.tries > 1 {
			newer++
		}
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
	for _, h := range r.hosts[lostHosts:] {
		r.logLines(h, "no record, so the base", 2)
	}
	r.finish(
		mixed > 2, "%d streams hold events of two software versions (2 are allowed), of %d that were taken up, %d of which the newer version began; %d of %d came to their end",
		mixed, taken, newer, whole, len(streams),
	)
}

// playRound has clients begin streams at the first hosts, each of which is killed as it has brought the
// first event of the newer software, and started again at the end.
func (r *rig) playRound(round int) []*stream {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	losing, others := r.hosts[:lostHosts], r.hosts[lostHosts:]
	streams := make([]*stream, lostHosts*takenClients)
	lost, once := make([]chan struct{}, lostHosts), make([]sync.Once, lostHosts)
	for i := range lost {
		lost[i] = make(chan struct{})
	}
	var group sync.WaitGroup
	for n := range streams {
		s := &stream{n: round*len(streams) + n + 1}
		streams[n] = s
		h := n % lostHosts
		group.Go(func() {
			first, leave := context.WithCancel(ctx)
			defer leave()
			go func() {
				<-lost[h]
				time.Sleep(eventGap)
				leave()
			}()
			s.try(first, losing[h], func() {
				if s.software[0] == "v2" {
					once[h].Do(func() {
						if r.trouble {
							_ = losing[h].command.Process.Kill() // it is running
						}
						close(lost[h])
					})
				}
			})
			<-lost[h]
			if s.last > 0 && s.last < streamEvents {
				s.takeUp(ctx, others, n)
			}
		})
	}
	group.Wait()
	r.record("round %d has ended", round+1)
	for _, h := range losing {
		if r.trouble {
			<-h.exited
			r.startProcess(h)
		}
	}
	time.Sleep(contactTime)
	return streams
}

// takeUp takes a stream up at some hosts: at the first the client leaves before it has an answer, and
// comes again.
func (s *stream) takeUp(ctx context.Context, hosts []*host, n int) {
	time.Sleep(20 * time.Millisecond)
	short, cancel := context.WithTimeout(ctx, leaveAfter)
	defer cancel()
	s.try(short, hosts[n%len(hosts)], func() {})
	for try := 1; try < 4 && s.last < streamEvents; try++ {
		time.Sleep(300 * time.Millisecond)
		patient, end := context.WithTimeout(ctx, 5*time.Second)
		s.try(patient, hosts[(n+try)%len(hosts)], func() {})
		end()
	}
}
