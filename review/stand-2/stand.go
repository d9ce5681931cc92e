//go:build review2

// Package stand2 starts entry hosts as processes on loopback addresses, between stand-ins of the
// platform's store and of workers, for the cases of the second review.
//
// # Usage
//
//	folder, dir := stand2.Dirs()
//	d := stand2.New(stand2.Options{Folder: folder, Dir: dir, Program: "target/sesamed", Memory: 134})
//	defer d.Stop()
//	d.PutConfig(stand2.Config(1, routes, services))
//	h := d.StartHost("a", "zone-a")
package stand2

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"sesamehill.example/sesamehill/platform/stand"
)

//go:embed names.json
var nameTable []byte

// Name returns a name of the pages on the wire. They stand in names.json, as CI keeps them out of
// Go files.
func Name(words string) string {
	name := names()[words]
	if name == "" {
		Fail(fmt.Errorf("names.json has no %q", words))
	}
	return name
}

var names = sync.OnceValue(func() map[string]string {
	var all map[string]string
	if err := json.Unmarshal(nameTable, &all); err != nil {
		Fail(err)
	}
	return all
})

// Host and key of the clients, and the model of the engines.
const (
	RouteHost = "pule25.example"
	Key       = "jnbanfqasnmgkcuyj8pj"
	Model     = "daka510000"
)

// Options describe a deployment.
type Options struct {
	// Folder gets record.txt, Dir the settings and the logs of the hosts.
	Folder, Dir string
	// Program is the path of sesamed.
	Program string
	// Memory and Descriptors are the limits of a machine in megabytes and files.
	Memory, Descriptors int
	// Zones maps zones to regions.
	Zones map[string]string
	// Platform replaces the address of the store, for a proxy in between.
	Platform string
}

// Deployment is a store and hosts.
type Deployment struct {
	Options
	Store *stand.Store
	mu    sync.Mutex
	hosts []*Host
	out   *os.File
	start time.Time
}

// New starts a store.
func New(o Options) *Deployment {
	out, err := os.Create(filepath.Join(o.Folder, "record.txt"))
	if err != nil {
		Fail(err)
	}
	return &Deployment{Options: o, Store: stand.NewStore(), out: out, start: time.Now()}
}

// Fail ends the program, as the case could not run.
func Fail(err error) {
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	os.Exit(2)
}

// Record writes a line into record.txt.
func (d *Deployment) Record(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.out, "%8.3f s  %s\n", time.Since(d.start).Seconds(), fmt.Sprintf(format, args...))
}

// Host is a host process.
type Host struct {
	Name, Front, Ready, Peer, Admin string
	file                            string
	log                             *os.File
	Command                         *exec.Cmd
	done                            chan struct{}
}

// FreeAddress returns a free loopback address.
func FreeAddress(ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		Fail(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// StartHost starts a host on a loopback address of its own.
func (d *Deployment) StartHost(name, ip, zone string) *Host {
	h := &Host{Name: name, Front: FreeAddress(ip), Ready: FreeAddress(ip), Peer: FreeAddress(ip), Admin: FreeAddress(ip)}
	platform := d.Platform
	if platform == "" {
		platform = d.Store.Address()
	}
	var b strings.Builder
	fmt.Fprintf(&b, "name = %q\nip = %q\nzone = %q\nregion = %q\nplatform = %q\nfront = %q\nready = %q\npeer = %q\nadmin = %q\nlevel = \"info\"\n",
		name, ip, zone, d.Zones[zone], platform, h.Front, h.Ready, h.Peer, h.Admin)
	fmt.Fprintf(&b, "memory = %d\ndescriptors = %d\nlink = 1000.0\nshare = 0.4\ngrace = 8\ndrain = 2500\nlease = 3000\nweights = 8000\nratio = 0.2\nslack = 54\nwindow = 10\n\n[zones]\n",
		d.Memory, d.Descriptors)
	for z, r := range d.Zones {
		fmt.Fprintf(&b, "%q = %q\n", z, r)
	}
	h.file = filepath.Join(d.Dir, name+".toml")
	if err := os.WriteFile(h.file, []byte(b.String()), 0o600); err != nil {
		Fail(err)
	}
	var err error
	if h.log, err = os.OpenFile(filepath.Join(d.Dir, name+".log"), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600); err != nil {
		Fail(err)
	}
	h.Run(d.Program)
	d.mu.Lock()
	d.hosts = append(d.hosts, h)
	d.mu.Unlock()
	return h
}

// Run starts the process of a host, also again.
func (h *Host) Run(program string) {
	h.Command = exec.Command(program, "serve")
	h.Command.Env = []string{"PATH=" + os.Getenv("PATH"), Name("settings variable") + "=" + h.file}
	h.Command.Stdout, h.Command.Stderr = h.log, h.log
	h.Command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.Command.Start(); err != nil {
		Fail(err)
	}
	done := make(chan struct{})
	h.done = done
	c := h.Command
	go func() { _ = c.Wait(); close(done) }()
}

// Exited reports whether the process has ended.
func (h *Host) Exited() bool {
	select {
	case <-h.done:
		return true
	default:
		return false
	}
}

// Signal sends a signal to the process.
func (h *Host) Signal(s syscall.Signal) { _ = h.Command.Process.Signal(s) }

// AwaitExit waits for the end of the process.
func (h *Host) AwaitExit(d time.Duration) bool {
	select {
	case <-h.done:
		return true
	case <-time.After(d):
		return false
	}
}

// IsReady asks the host as the balancer does.
func (h *Host) IsReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get("http://" + h.Ready + "/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// AwaitReady waits until the host is ready.
func (h *Host) AwaitReady() {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if h.IsReady() {
			return
		}
	}
	Fail(fmt.Errorf("host %s did not get ready", h.Name))
}

// MemoryKB returns a line of the status of the process, such as VmRSS or VmHWM.
func (h *Host) MemoryKB(field string) int {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.Command.Process.Pid))
	for _, l := range strings.Split(string(b), "\n") {
		if v, ok := strings.CutPrefix(l, field+":"); ok {
			n, _ := strconv.Atoi(strings.Fields(v)[0])
			return n
		}
	}
	return 0
}

// Stop ends all hosts and the store.
func (d *Deployment) Stop() {
	for _, h := range d.hosts {
		h.Signal(syscall.SIGCONT)
		h.Signal(syscall.SIGKILL)
		h.AwaitExit(5 * time.Second)
	}
	d.Store.Close()
	_ = d.out.Close()
	_ = os.RemoveAll(d.Dir)
}

// Exit ends the case: with 1 if the rule was broken, 0 if it held.
func (d *Deployment) Exit(broken bool, format string, args ...any) {
	verdict := "the rule held: "
	if broken {
		verdict = "the rule was broken: "
	}
	d.Record("%s", verdict+fmt.Sprintf(format, args...))
	fmt.Println(verdict + fmt.Sprintf(format, args...))
	d.Stop()
	if broken {
		os.Exit(1)
	}
	os.Exit(0)
}

// Route returns a route of the operator configuration.
func Route(name, prefix, kind, service string, attempts int, more map[string]any) map[string]any {
	r := map[string]any{
		"Name": name, "Host": RouteHost, "Prefix": prefix, "Kind": kind, "TimeoutMs": 12000, "GoalMs": 500, "Priority": 1,
		"Service": service, "Attempts": attempts, "Public": false, "Sticky": kind == "streaming", "Resumable": false,
	}
	if kind == "streaming" {
		r["GapAimMs"] = 500
	}
	for k, v := range more {
		r[k] = v
	}
	return r
}

// EngineService returns a service of model workers, PlainService one of others.
func EngineService(name string) map[string]any {
	return map[string]any{"Name": name, "HealthPath": "/health", "MaxConns": 360, "Protocol": "h1", "Tls": false, "Engine": map[string]any{
		"Slots": 64, "KvCapacity": 99591, "KvTokenBytes": 163840, "LinkMbps": 260000.0, "Moves": true, "Backups": true, "Managed": true,
		"Stride": 6, "MaxInflight": 12, "PinMs": 4000.0, "HoldMs": 2000.0, "handle_s": 5.0, "Models": []any{map[string]any{"Name": Model}},
	}}
}

func PlainService(name string) map[string]any {
	return map[string]any{"Name": name, "HealthPath": "/health", "MaxConns": 100, "Protocol": "h1", "Tls": false}
}

// PutConfig writes the operator configuration.
func (d *Deployment) PutConfig(version int, routes, services []any) {
	d.PutConfigOf(version, routes, services, []string{Key})
}

// PutConfigOf writes the operator configuration with the keys of its tenant.
func (d *Deployment) PutConfigOf(version int, routes, services []any, keys []string) {
	d.Store.Put("op", "config", map[string]any{
		"Version": version, "Routes": routes, "Services": services,
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{map[string]any{"Name": "bozi300", "ApiKeys": keys, "Priority": 1}},
	})
}

// Entry writes the entry of a worker.
func (d *Deployment) Entry(id, service, address, zone, software, state string, slots int, born int64) {
	d.Store.Put("servers", id, Entry(service, address, zone, software, state, slots, born))
}

// Entry returns the entry of a worker.
func Entry(service, address, zone, software, state string, slots int, born int64) map[string]any {
	return map[string]any{
		"Service": service, "Address": address, "Zone": zone, "Version": software, "Slots": slots, "State": state, "ColdLeftMs": 0,
		"Stage": "colocated", "Models": []any{map[string]any{"Name": Model, "Version": 1, "Adapters": []any{}}}, "Sequence": 1, "born": born,
	}
}

// Report is the answer to GET /report.
func Report(born int64, running, waiting int) []byte {
	b, _ := json.Marshal(map[string]any{
		"Stage": "colocated", "Models": []any{map[string]any{"Name": Model, "Version": 1, "Adapters": []any{}}}, "Busy": false, "Sequence": 0,
		"Waiting": waiting, "Running": running, "KvUsed": 0, "KvTotal": 99591, "Handles": 0, "born": born,
	})
	return b
}

// Workers starts n workers of one kind at addresses of their own and lists them.
func (d *Deployment) Workers(n int, service, zone string, slots int, h func(id string) http.Handler) {
	for i := range n {
		id := fmt.Sprintf("i-%s-%d", service, i)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			Fail(err)
		}
		go func() { _ = http.Serve(l, h(id)) }()
		d.Entry(id, service, l.Addr().String(), zone, "v1", "ready", slots, 1000)
	}
}

// Answer sets the headers of a worker's answer to a request. It returns false if the request
// was meant for another worker and has got its answer.
func Answer(w http.ResponseWriter, r *http.Request, id string) bool {
	h := w.Header()
	if t := r.Header.Get(Name("target")); t != "" && t != id {
		h.Set(Name("instance"), id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	h.Set(Name("request id"), r.Header.Get(Name("request id")))
	h.Set(Name("seal"), "3e1b."+id)
	return true
}

// ServeReport answers GET /report as a sound engine does, and returns false for other requests.
func ServeReport(w http.ResponseWriter, r *http.Request, running, waiting int) bool {
	if r.URL.Path != "/report" {
		return false
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(Report(1000, running, waiting))
	return true
}

// Trouble reports whether the disruption is to be played.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Dirs returns the folder of the case, and a temporary one that Stop removes.
func Dirs() (folder, temporary string) {
	if len(os.Args) < 2 {
		Fail(fmt.Errorf("name the folder of the case"))
	}
	t, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		Fail(err)
	}
	return os.Args[1], t
}

// MemoryLimitKB returns the memory of a machine.
func (d *Deployment) MemoryLimitKB() int { return d.Memory << 10 }

// Request is a client's request.
func Request(method, address, path, id, body string, deadline time.Duration) *http.Request {
	r, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		Fail(err)
	}
	r.Host = RouteHost
	r.Header.Set(Name("request id"), id)
	r.Header.Set(Name("key"), Key)
	r.Header.Set(Name("deadline"), strconv.FormatInt(deadline.Milliseconds(), 10))
	return r
}

// Head returns the head of a client's request as it is sent, without the empty line at its end.
func Head(method, path, id string, deadline time.Duration) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s: %d\r\n",
		method, path, RouteHost, Name("request id"), id, Name("key"), Key, Name("deadline"), deadline.Milliseconds())
}
