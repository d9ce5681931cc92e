//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"sesamehill.example/sesamehill/platform/stand"
)

// Names and limits of the deployment, as `fleetbench wire` shows them for sbuc-nappy.
const (
	routeHost   = "pule25.example"
	apiKey      = "jnbanfqasnmgkcuyj8pj"
	tenant      = "bozi300"
	model       = "daka510000"
	llmService  = "huvo11a"
	appService  = "kafi81c"
	memoryMB    = 134
	descriptors = 4100
	// memoryTokens is the memory of a worker.
	memoryTokens = 99591
	drainTime    = 2500 * time.Millisecond
	contactTime  = 4 * time.Second
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// rig is one entry host of the deploy file between stand-ins, and the record of a case.
type rig struct {
	root, dir string
	trouble   bool
	store     *stand.Store
	// storeAddress is the address of the store as the host knows it.
	storeAddress string
	front        string
	ready        string
	cmd          *exec.Cmd
	exited       chan struct{}

	mu        sync.Mutex
	file      *os.File
	startedAt time.Time
	cleanups  []func()
}

// newRig prepares a case: the record, a temporary folder and the platform's store.
func newRig(root, recordFile string) *rig {
	f, err := os.Create(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(exitNotRun)
	}
	r := &rig{root: root, file: f, startedAt: time.Now(), trouble: os.Getenv("TROUBLE") != "0"}
	r.dir, err = os.MkdirTemp("", "sesamehill-case")
	r.must(err)
	r.store = stand.NewStore()
	r.storeAddress = r.store.Address()
	r.cleanups = append(r.cleanups, r.store.Close)
	r.record("disruption: %v", r.trouble)
	return r
}

// record writes a line to the record.
func (r *rig) record(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// must ends the case as one that could not run if there is an error.
func (r *rig) must(err error) {
	if err != nil {
		r.record("the case could not run: %v", err)
		r.end(exitNotRun)
	}
}

// finish ends the case with its verdict.
func (r *rig) finish(broken bool, format string, args ...any) {
	verdict, code := "held", exitHeld
	if broken {
		verdict, code = "BROKEN", exitBroken
	}
	r.record("the rule %s: %s", verdict, fmt.Sprintf(format, args...))
	r.end(code)
}

// end ends all that the case has started, and the case.
func (r *rig) end(code int) {
	r.killHost()
	for _, f := range r.cleanups {
		f()
	}
	_ = os.RemoveAll(r.dir)
	_ = r.file.Close()
	os.Exit(code)
}

// freeAddress returns a loopback address on which nothing listens.
func (r *rig) freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	r.must(err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// startHost names the first weights and starts the host with the command of the deploy file, and waits until it is ready.
func (r *rig) startHost() {
	r.store.Put("op", "version/"+model, map[string]any{"Model": model, "Version": 1})
	r.front, r.ready = r.freeAddress(), r.freeAddress()
	settings := fmt.Sprintf(`name = "front-south-depot-1"
ip = "127.0.0.1"
zone = "south-depot"
region = "south"
platform = %q
front = %q
ready = %q
peer = %q
admin = %q
level = "info"
memory = %d
descriptors = %d
link = 1000.0
share = 0.4
grace = 8
drain = %d
lease = 3000
weights = 8000
ratio = 0.2
slack = 54
window = 10

[zones]
"south-depot" = "south"
"north-office" = "north"
"south-hall" = "south"
`, r.storeAddress, r.front, r.ready, r.freeAddress(), r.freeAddress(), memoryMB, descriptors, drainTime.Milliseconds())
	file := filepath.Join(r.dir, "settings.toml")
	r.must(os.WriteFile(file, []byte(settings), 0o600))
	log, err := os.Create(filepath.Join(r.dir, "host.log"))
	r.must(err)
	r.cmd = exec.Command(filepath.Join(r.root, "target/sesamed"), "serve")
	r.cmd.Env = []string{"SESAMEHILL_BOOT=" + file, "PATH=" + os.Getenv("PATH"), "HOME=" + r.dir}
	r.cmd.Stdout, r.cmd.Stderr = log, log
	r.must(r.cmd.Start())
	r.exited = make(chan struct{})
	go func() {
		_ = r.cmd.Wait()
		_ = log.Close()
		close(r.exited)
	}()
	for end := time.Now().Add(15 * time.Second); !r.isReady(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			r.must(fmt.Errorf("the host is not ready after 15 s"))
		}
	}
	r.record("the host is ready (process %d, front %s, resident memory %d MB)", r.cmd.Process.Pid, r.front, r.resident())
}

// isReady reports whether the host answers the platform's question with 200.
func (r *rig) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + r.ready + "/ready")
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}

// hasExited reports whether the process of the host has ended.
func (r *rig) hasExited() bool {
	select {
	case <-r.exited:
		return true
	default:
		return false
	}
}

// killHost ends the process of the host.
func (r *rig) killHost() {
	if r.cmd == nil || r.cmd.Process == nil {
		return
	}
	_ = r.cmd.Process.Signal(syscall.SIGKILL) // it may have exited
	<-r.exited
}

var residentLine = regexp.MustCompile(`RssAnon:\s+(\d+) kB`)

// resident returns the resident memory of the host in megabytes, without the pages of its program
// file; zero if it has exited.
func (r *rig) resident() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.cmd.Process.Pid))
	match := residentLine.FindSubmatch(status)
	if err != nil || match == nil {
		return 0
	}
	kb, _ := strconv.Atoi(string(match[1]))
	return kb >> 10
}

// logLines copies the first lines of the host's log that hold a text to the record.
func (r *rig) logLines(text string, limit int) {
	data, err := os.ReadFile(filepath.Join(r.dir, "host.log"))
	if err != nil {
		return
	}
	for _, line := range regexp.MustCompile(`(?m)^.*`+regexp.QuoteMeta(text)+`.*$`).FindAllString(string(data), limit) {
		r.record("log of the host: %.400s", line)
	}
}

// putConfig writes the operator's configuration with the given routes.
func (r *rig) putConfig(routes ...map[string]any) { r.putConfigVersion(7, []any{apiKey}, routes...) }

// putConfigVersion writes a version of the operator's configuration with the given keys and routes.
func (r *rig) putConfigVersion(version int, keys []any, routes ...map[string]any) {
	r.store.Put("op", "config", map[string]any{
		"Version": version, "Routes": routes,
		"Services": []any{
			map[string]any{
				"Name": llmService, "HealthPath": "/health", "MaxConns": 360, "Protocol": "h1", "Tls": false,
				"Engine": map[string]any{
					"Slots": 64, "KvCapacity": 99591, "KvTokenBytes": 163840, "LinkMbps": 260000.0, "Managed": true, "MaxInflight": 12,
					"Models": []any{map[string]any{"Name": model}},
				},
			},
			map[string]any{"Name": appService, "HealthPath": "/health", "MaxConns": 100, "Protocol": "h1", "Tls": false},
		},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{map[string]any{"Name": tenant, "ApiKeys": keys, "Priority": 1}},
	})
}

// streamRoute returns a route for streams that may be resumed.
func streamRoute() map[string]any {
	return map[string]any{
		"Name": "r-stream", "Host": routeHost, "Prefix": "/puxa400/", "Kind": "streaming", "TimeoutMs": 15000, "GoalMs": 1000, "Priority": 2,
		"Service": llmService, "Attempts": 2, "Public": false, "Sticky": true, "Resumable": true, "GapAimMs": 500,
	}
}

// appRoute returns a route of the plain service.
func appRoute(kind, prefix string, attempts int) map[string]any {
	return map[string]any{
		"Name": "r-" + kind, "Host": routeHost, "Prefix": prefix, "Kind": kind, "TimeoutMs": 4000, "GoalMs": 400, "Priority": 2,
		"Service": appService, "Attempts": attempts, "Public": false, "Sticky": false, "Resumable": false,
	}
}

// worker is a stand-in of a worker: it answers each request after some time.
type worker struct {
	rig      *rig
	id       string
	service  string
	address  string
	born     int64
	work     time.Duration
	slots    int
	server   *http.Server
	listener net.Listener
	// onRun is called when a request begins to run.
	onRun func(r *http.Request)

	running atomic.Int64
	mu      sync.Mutex
	runs    map[string]int
}

// newWorker starts a worker on a free address, or on a given one.
func (r *rig) newWorker(id, service, address string, born int64, work time.Duration) *worker {
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	r.must(err)
	w := &worker{rig: r, id: id, service: service, address: l.Addr().String(), born: born, work: work, listener: l, runs: map[string]int{}, onRun: func(*http.Request) {}}
	w.slots = 64
	if service == appService {
		w.slots = 6
	}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(l) }()
	r.cleanups = append(r.cleanups, w.stop)
	return w
}

// stop ends the worker as the end of its process does: all connections are closed.
func (w *worker) stop() { _ = w.server.Close() }

// put writes the worker's entry.
func (w *worker) put(state string, sequence int) {
	entry := map[string]any{
		"Service": w.service, "Address": w.address, "Zone": "south-depot", "Version": "v1", "Slots": w.slots, "State": state, "ColdLeftMs": 0,
		"Sequence": sequence, "born": w.born,
	}
	if w.service == llmService {
		entry["Stage"], entry["Models"] = "colocated", []any{map[string]any{"Name": model, "Version": 1, "Adapters": []any{}}}
	}
	w.rig.store.Put("servers", w.id, entry)
}

func (w *worker) report(rw http.ResponseWriter) {
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{
		"Stage": "colocated", "Models": []any{map[string]any{"Name": model, "Version": 1, "Adapters": []any{}}}, "Busy": false, "Sequence": 0,
		"Waiting": 0, "Running": 0, "KvUsed": 0, "KvTotal": 99591, "Handles": 0, "born": w.born, "clock_ms": time.Now().UnixMilli(),
	})
}

// ServeHTTP answers as PROTOCOL.md says.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	h := rw.Header()
	if r.URL.Path == "/report" && w.service == llmService {
		w.report(rw)
		return
	}
	if r.URL.Path == "/health" {
		h.Set("X-Instance-Id", w.id)
		return
	}
	if t := r.Header.Get("X-Target-Instance"); t != "" && t != w.id {
		h.Set("X-Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if w.exceedsMemory(r) {
		h.Set("X-Not-Executed", "1")
		h.Set("X-Server-Load", fmt.Sprintf("%d,0,%d", w.running.Load(), w.slots))
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Request-Id")
	w.mu.Lock()
	w.runs[id]++
	w.mu.Unlock()
	w.running.Add(1)
	defer w.running.Add(-1)
	w.onRun(r)
	select {
	case <-time.After(w.work):
	case <-r.Context().Done():
		return
	}
	h.Set("X-Request-Id", id)
	h.Set("X-Response-Seal", "seal-"+w.id)
	h.Set("X-Server-Load", fmt.Sprintf("%d,0,%d", w.running.Load(), w.slots))
	if w.service == appService {
		_, _ = fmt.Fprintf(rw, "done %s", id)
		return
	}
	h.Set("Content-Type", "text/event-stream")
	h.Set("X-Weight-Versions", "1")
	for i := 1; i <= 4; i++ {
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: token\n\n", i)
	}
}

// exceedsMemory reports whether a request is larger than the worker's memory.
func (w *worker) exceedsMemory(r *http.Request) bool {
	total := 0
	for entry := range strings.SplitSeq(r.Header.Get("X-Prompt-Prefix"), ",") {
		_, tokens, _ := strings.Cut(entry, ":")
		n, _ := strconv.Atoi(tokens)
		total += n
	}
	return w.service == llmService && total > memoryTokens
}

// ranCount returns how many requests the worker has run.
func (w *worker) ranCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs)
}
