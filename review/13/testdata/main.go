// Command testdata shows that streams go on at another software version after all hosts have been
// killed while the platform's store came back from an older copy.
//
// Three hosts serve streams at engines of two software versions. Clients take broken streams up
// again, as the protocol says. TROUBLE=kill kills the hosts and leaves the store alone.
package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
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

	"sesamehill.example/sesamehill/platform"
	"sesamehill.example/sesamehill/platform/stand"
)

const (
	readyTime = 20 * time.Second
	clients   = 60
	// A stream has streamEvents events, one each eventGap.
	streamEvents = 40
	eventGap     = 100 * time.Millisecond
	// The second version joins at joinAt, the copy of the store is made at copyAt. The hosts are
	// killed at killAt, when the store goes away for awayTime, and are started again
	// restartTime later. Clients begin new streams until lastAt.
	joinAt, copyAt, killAt, lastAt = 6 * time.Second, 11 * time.Second, 14 * time.Second, 20 * time.Second
	awayTime, restartTime          = 100 * time.Millisecond, 500 * time.Millisecond
	rewriteTime                    = 500 * time.Millisecond
	deadline                       = 15 * time.Second
	// A client takes a broken stream up again a few times, at different hosts.
	tries, tryGap = 6, 700 * time.Millisecond
	service       = "llm"
	model         = "m"
	apiKey        = "key-of-the-client"
	// allowed is the number of streams that the rule allows to hold events of two versions.
	allowed = 2
)

// Exit codes of a script.
const (
	held, broken, notRun = 0, 1, 2
)

// names holds the headers of the protocol.
var names = map[string]string{}

// record is the file with what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%7.3f s  ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintln(r.file, line)
}

// engine is a model worker of one software version.
type engine struct {
	id, software, address string
	born                  int64
	log                   *record
	mu                    sync.Mutex
	running               int
}

func newEngine(id, software string, log *record) (*engine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{id: id, software: software, address: l.Addr().String(), born: time.Now().UnixMilli(), log: log}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", func(w http.ResponseWriter, _ *http.Request) {
		stand.WriteJSON(w, http.StatusOK, map[string]any{
			"Stage": "colocated", "Models": []any{map[string]any{"Name": model, "Version": 1, "Adapters": []any{}}},
			"Busy": false, "Sequence": 0, "Waiting": 0, "Running": e.add(0), "KvUsed": 0, "KvTotal": 99591, "Handles": 0, "born": e.born,
		})
	})
	mux.HandleFunc("/", e.serve)
	go func() { _ = http.Serve(l, mux) }()
	return e, nil
}

func (e *engine) add(n int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running += n
	return e.running
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set(names["instance"], e.id)
	if target := r.Header.Get(names["target"]); target != "" && target != e.id {
		h.Set(names["refused"], "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	id := r.Header.Get(names["id"])
	e.log.printf("%s (software %s): runs %s after event %d", e.id, e.software, id, after)
	running := e.add(1)
	defer e.add(-1)
	h.Set("Content-Type", "text/event-stream")
	h.Set(names["id"], id)
	h.Set(names["seal"], "seal-"+e.id)
	h.Set(names["weights"], "1")
	h.Set(names["load"], fmt.Sprintf("%d,0,64", running))
	for n := after + 1; n <= streamEvents; n++ {
		select {
		case <-time.After(eventGap):
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s event %d\n\n", n, e.software, n); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}

// host is an entry host as a process.
type host struct {
	name, front, ready, settings, program, variable, log string
	command                                              *exec.Cmd
	ended                                                chan struct{}
}

func (h *host) start() error {
	log, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.command = exec.Command(h.program, "serve")
	for _, v := range os.Environ() {
		if name, _, _ := strings.Cut(v, "="); name == h.variable {
			v = name + "=" + h.settings
		}
		h.command.Env = append(h.command.Env, v)
	}
	h.command.Stdout, h.command.Stderr = log, log
	h.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	h.ended = ended
	go func() {
		_ = h.command.Wait()
		close(ended)
	}()
	return nil
}

func (h *host) kill() {
	_ = h.command.Process.Kill()
	<-h.ended
}

// stream is a stream of a client over all its tries.
type stream struct {
	id string
	// first is the ID of the try that brought the first event, last the last event.
	first string
	last  int
	// versions are the software versions whose events it holds, in order.
	versions []string
	resumed  int
	done     bool
}

// try makes one attempt at a host.
func (s *stream) try(front, id string, log *record) {
	c, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(deadline))
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST /digest/ HTTP/1.1\r\nHost: trial.example\r\n%s: %s\r\n%s: %s\r\n%s: %s\r\n%s: %d\r\n%s: 820,%d\r\n%s: 5c1e07a2:800,%s:20\r\n",
		names["id"], id, names["key"], apiKey, names["model"], model, names["deadline"], deadline.Milliseconds(),
		names["usage"], streamEvents, names["parts"], s.id)
	if s.last > 0 {
		fmt.Fprintf(&b, "Last-Event-Id: %d\r\nResumes: %s\r\n", s.last, s.first)
	}
	fmt.Fprintf(&b, "Content-Length: 4\r\n\r\nbody")
	if _, err := c.Write(b.Bytes()); err != nil {
		return
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return
	}
	if resp.StatusCode != http.StatusOK {
		log.printf("client: %s, try %s: status %d", s.id, id, resp.StatusCode)
		return
	}
	events, before := bufio.NewReader(resp.Body), s.last
	var number int
	for {
		line, err := events.ReadString('\n')
		if err != nil {
			s.done = errors.Is(err, io.EOF) && s.last == streamEvents
			return
		}
		line = strings.TrimSuffix(line, "\n")
		if text, ok := strings.CutPrefix(line, "id: "); ok {
			number, _ = strconv.Atoi(text)
		}
		if text, ok := strings.CutPrefix(line, "data: "); ok {
			version, _, _ := strings.Cut(text, " ")
			if s.last == 0 {
				s.first = id
			}
			if s.last == before && before > 0 {
				s.resumed++
				log.printf("client: %s (begun at %s) goes on after event %d with events of %s", s.id, s.versions[0], s.last, version)
			}
			s.last = number
			if len(s.versions) == 0 || s.versions[len(s.versions)-1] != version {
				s.versions = append(s.versions, version)
			}
		}
	}
}

func main() { os.Exit(run()) }

func run() int {
	program, folder, temporary, variable := os.Args[1], os.Args[2], os.Args[3], os.Args[4]
	trouble := os.Getenv("TROUBLE")
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil || readNames(filepath.Join(folder, "names.txt")) != nil {
		return notRun
	}
	defer func() { _ = file.Close() }()
	log := &record{file: file, start: time.Now()}
	kills, goesDown, restores := trouble != "0", trouble != "0" && trouble != "kill" && trouble != "copy", trouble == "copy"
	log.printf("hosts are killed: %t, the store is down before: %t, the store returns from a copy: %t", kills, goesDown, restores)
	store := stand.NewStore()
	defer store.Close()
	store.PutConfig(1, 64, 99591, apiKey, []stand.Route{{Kind: "digest", FirstEventTarget: time.Second, EventGapTarget: 500 * time.Millisecond, Timeout: deadline}})
	join := func(software string) bool {
		for n := range 2 {
			e, err := newEngine(fmt.Sprintf("i-%s-%d", software, n+1), software, log)
			if err != nil {
				return false
			}
			store.Put(platform.TargetTable, e.id, map[string]any{
				"Service": service, "Address": e.address, "Zone": "south-hall", "Version": software, "Slots": 64, "State": "ready", "ColdLeftMs": 0,
				"Sequence": 1, "born": e.born, "Models": []any{map[string]any{"Name": model, "Version": 1}},
			})
		}
		log.printf("two workers with software %s have joined", software)
		return true
	}
	if !join("v1") {
		return notRun
	}
	var hosts []*host
	for i, zone := range []string{"south-depot", "south-hall", "north-office"} {
		h := &host{name: "front-" + zone + "-1", program: program, variable: variable, settings: filepath.Join(temporary, fmt.Sprintf("settings-%d.toml", i))}
		h.log = filepath.Join(temporary, h.name+".log")
		if err := h.writeSettings(zone, store.Address()); err != nil || h.start() != nil {
			return notRun
		}
		defer func() { h.kill() }()
		hosts = append(hosts, h)
	}
	for _, h := range hosts {
		if !awaitReady(h.ready) {
			log.printf("%s is not ready", h.name)
			return notRun
		}
	}
	began := time.Now()
	until := func(d time.Duration) { time.Sleep(time.Until(began.Add(d))) }
	var mu sync.Mutex
	var streams []*stream
	var wait sync.WaitGroup
	for c := range clients {
		wait.Go(func() {
			until(time.Duration(c) * streamEvents * eventGap / clients)
			for n := 0; time.Since(began) < lastAt; n++ {
				s := &stream{id: fmt.Sprintf("%04x%04x", c, n)}
				mu.Lock()
				streams = append(streams, s)
				mu.Unlock()
				for t := range tries {
					s.try(hosts[(c+t)%len(hosts)].front, fmt.Sprintf("%s-%d", s.id, t), log)
					if s.done {
						break
					}
					time.Sleep(tryGap)
				}
			}
		})
	}
	until(joinAt)
	if !join("v2") {
		return notRun
	}
	until(copyAt)
	older := store.Copy()
	if goesDown {
		store.Fail(true, false)
		log.printf("the store is down")
	}
	until(killAt)
	if kills {
		newest := store.Copy()
		if restores {
			store.Fail(true, false)
		}
		for _, h := range hosts {
			_ = h.command.Process.Kill()
		}
		for _, h := range hosts {
			<-h.ended
		}
		log.printf("all hosts were killed")
		if goesDown {
			time.Sleep(awayTime)
			store.Fail(false, false)
			log.printf("the store is back")
		}
		if restores {
			time.Sleep(awayTime)
			store.Restore(older)
			store.Fail(false, false)
			log.printf("the store has returned from a copy of %d ms ago", (killAt - copyAt + awayTime).Milliseconds())
		}
		until(killAt + restartTime)
		for _, h := range hosts {
			if h.start() != nil {
				return notRun
			}
		}
		log.printf("all hosts were started again")
		if restores {
			until(killAt + rewriteTime)
			store.Rewrite(newest, platform.OperatorTable, platform.TargetTable)
			log.printf("what the operator and the workers wrote was written again")
		}
	}
	wait.Wait()
	mixed, resumed, whole := 0, 0, 0
	for _, s := range streams {
		resumed += min(s.resumed, 1)
		if s.done {
			whole++
		}
		if len(s.versions) > 1 {
			mixed++
			log.printf("broken: stream %s, begun by %s, holds events of %s", s.id, s.first, strings.Join(s.versions, " and "))
		}
	}
	log.printf("streams: %d, whole %d, taken up again %d, with events of two software versions %d", len(streams), whole, resumed, mixed)
	switch {
	case mixed > allowed:
		return broken
	case whole < len(streams)/3 || kills && resumed == 0:
		return notRun
	}
	return held
}

func readNames(path string) error {
	b, err := os.ReadFile(path)
	for line := range strings.Lines(string(b)) {
		if name, header, ok := strings.Cut(strings.TrimSpace(line), " = "); ok {
			names[name] = header
		}
	}
	return err
}

// writeSettings writes settings like those of sbuc-nappy, with free ports.
func (h *host) writeSettings(zone, store string) error {
	addresses := make([]string, 4)
	for i := range addresses {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		defer func() { _ = l.Close() }()
		addresses[i] = l.Addr().String()
	}
	h.front, h.ready = addresses[0], addresses[1]
	settings := fmt.Sprintf(`name = %q
ip = "127.0.0.1"
zone = %q
region = %q
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
drain = 2500
lease = 3000
weights = 8000
ratio = 0.2
slack = 54
window = 10

[zones]
"south-depot" = "south"
"south-hall" = "south"
"north-office" = "north"
`, h.name, zone, strings.SplitN(zone, "-", 2)[0], store, h.front, h.ready, addresses[2], addresses[3])
	return os.WriteFile(h.settings, []byte(settings), 0o600)
}

func awaitReady(address string) bool {
	for end := time.Now().Add(readyTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if r, err := http.Get("http://" + address + "/ready"); err == nil {
			_ = r.Body.Close()
			if r.StatusCode == http.StatusOK {
				return true
			}
		}
	}
	return false
}
