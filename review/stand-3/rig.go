//go:build review2

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"sesamehill.example/sesamehill/platform/stand"
)

// Names and limits of the deployment, as `fleetbench wire` shows them for sbuc-nappy.
const (
	routeHost   = "pule25.example"
	apiKey      = "jnbanfqasnmgkcuyj8pj"
	tenant      = "bozi300"
	appService  = "kafi81c"
	appSlots    = 6
	drainTime   = 2500 * time.Millisecond
	contactTime = 4 * time.Second
	// heartbeat is the time between two writes of a worker's entry.
	heartbeat = 1200 * time.Millisecond
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
	// trouble is set unless the case is played without the disruption.
	trouble bool
	store   *stand.Store
	// storeAddress is the address of the store as the host knows it.
	storeAddress string
	// front and ready are the addresses of the first host.
	front, ready string
	hosts        []*host

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
	for _, h := range r.hosts {
		h.kill()
	}
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

// host is a process of the deploy file.
type host struct {
	name, front, ready, log string
	command                 *exec.Cmd
	exited                  chan struct{}
}

// startHost starts a host with the command of the deploy file, and waits until it is ready.
func (r *rig) startHost() *host {
	h := &host{name: fmt.Sprintf("front-south-depot-%d", len(r.hosts)+1), front: r.freeAddress(), ready: r.freeAddress()}
	settings := fmt.Sprintf(`name = %q
ip = "127.0.0.1"
zone = "south-depot"
region = "south"
platform = %q
front = %q
ready = %q
peer = %q
admin = %q
level = "info"
memory = 134
descriptors = 4100
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
`, h.name, r.storeAddress, h.front, h.ready, r.freeAddress(), r.freeAddress(), drainTime.Milliseconds())
	r.must(os.WriteFile(filepath.Join(r.dir, h.name+".toml"), []byte(settings), 0o600))
	r.hosts = append(r.hosts, h)
	if len(r.hosts) == 1 {
		r.front, r.ready = h.front, h.ready
	}
	r.startProcess(h)
	return h
}

// startProcess starts the process of a host, and waits until it is ready.
func (r *rig) startProcess(h *host) {
	h.log = filepath.Join(r.dir, h.name+".log")
	log, err := os.OpenFile(h.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	r.must(err)
	h.command = exec.Command(filepath.Join(r.root, "target/sesamed"), "serve")
	h.command.Env = []string{name("settings variable") + "=" + filepath.Join(r.dir, h.name+".toml"), "PATH=" + os.Getenv("PATH"), "HOME=" + r.dir}
	h.command.Stdout, h.command.Stderr = log, log
	r.must(h.command.Start())
	h.exited = make(chan struct{})
	go func(command *exec.Cmd, exited chan struct{}) {
		_ = command.Wait() // the exit itself is the result
		_ = log.Close()
		close(exited)
	}(h.command, h.exited)
	for end := time.Now().Add(15 * time.Second); !h.isReady(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			r.must(fmt.Errorf("the host is not ready after 15 s"))
		}
	}
	r.record("host %s is ready (process %d, front %s)", h.name, h.command.Process.Pid, h.front)
}

// isReady reports whether the host answers the platform's question with 200.
func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + h.ready + "/ready")
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}

// kill ends the process of the host.
func (h *host) kill() {
	if h.exited == nil {
		return
	}
	_ = h.command.Process.Signal(syscall.SIGKILL) // it may have exited
	<-h.exited
}

// logLines copies the first lines of a host's log that hold a text to the record.
func (r *rig) logLines(h *host, text string, limit int) {
	data, err := os.ReadFile(h.log)
	if err != nil {
		return
	}
	for line := range strings.Lines(string(data)) {
		if strings.Contains(line, text) && limit > 0 {
			limit--
			r.record("log of %s: %.400s", h.name, strings.TrimSpace(line))
		}
	}
}

// putConfig writes the operator's configuration with one route to the plain service.
func (r *rig) putConfig(kind, prefix string, attempts int) {
	r.store.Put("op", "config", map[string]any{
		"Version": 7,
		"Routes": []any{map[string]any{
			"Name": "r-" + kind, "Host": routeHost, "Prefix": prefix, "Kind": kind, "TimeoutMs": 4000, "GoalMs": 400, "Priority": 2,
			"Service": appService, "Attempts": attempts, "Public": false, "Sticky": false, "Resumable": false,
		}},
		"Services": []any{map[string]any{"Name": appService, "HealthPath": "/health", "MaxConns": 100, "Protocol": "h1", "Tls": false}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants":  []any{map[string]any{"Name": tenant, "ApiKeys": []any{apiKey}, "Priority": 1}},
	})
}
