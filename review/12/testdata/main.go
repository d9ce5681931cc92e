// Command testdata shows that two hosts order the same engines after the platform's store has
// returned from an older copy.
//
// Seven hosts share the engines. The store gives the holder of the lease no answer for some seconds,
// and another host acquires the lease. The store then returns from a copy that was made before
// that. It answers the former holder again, and turns the present one away with 503 for a moment.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	"sesamehill.example/sesamehill/platform"
	"sesamehill.example/sesamehill/platform/stand"
)

const (
	playTime  = 105 * time.Second
	readyTime = 20 * time.Second
	engines   = 4
	// loadTime is how long an engine takes to load weights.
	loadTime = 100 * time.Millisecond
	// leaseMs is LeaseMs of the deployment: the least time between orders of two holders.
	leaseMs    = 3000
	leaseTable = "sesame_lease"
	model      = "m"
	// A lease lasts for leaseTTL after its last write. Another holder gives its first order
	// takeover after its acquisition.
	leaseTTL, takeover = 1600 * time.Millisecond, 3 * time.Second
	// quietTime is the time between two named versions.
	quietTime, busyTime = time.Second, 150 * time.Millisecond
	// latestAcquisition is the time after the end of a lease up to which the next one is of use.
	// The store turns its holder away after a renewal that comes turnAwayTime before its first
	// order at the earliest. It is away for awayTime, and what the operator and the engines have
	// written is back rewriteTime later.
	latestAcquisition = 500 * time.Millisecond
	turnAwayTime      = 550 * time.Millisecond
	awayTime          = 20 * time.Millisecond
	rewriteTime       = 200 * time.Millisecond
)

// Exit codes of a script.
const (
	held, broken, notRun = 0, 1, 2
)

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

// order is an order that reached an engine.
type order struct {
	at      time.Time
	holder  string
	token   uint64
	version int
	status  int
}

// engine is a model worker that carries out orders. It checks no fencing tokens.
type engine struct {
	id      string
	address string
	log     *record

	mu       sync.Mutex
	version  int
	named    int
	busy     bool
	sequence uint64
	orders   []order
}

func newEngine(id string, log *record) (*engine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{id: id, address: l.Addr().String(), log: log, version: 1, named: 1}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", e.report)
	mux.HandleFunc("POST /order", e.order)
	go func() { _ = http.Serve(l, mux) }()
	return e, nil
}

func (e *engine) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	stand.WriteJSON(w, http.StatusOK, map[string]any{
		"Stage": "colocated", "Models": []any{map[string]any{"Name": model, "Version": e.version, "Adapters": []any{}}},
		"Busy": e.busy, "Sequence": e.sequence, "Waiting": 0, "Running": 0, "KvUsed": 0, "KvTotal": 90000, "Handles": 0, "born": 1000,
	})
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation, Model, Holder string
		Version                  int
		FencingToken             uint64
		Expected                 *uint64
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Holder == "" || o.FencingToken == 0 || o.Operation != "Version" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	status := http.StatusAccepted
	switch {
	case o.Version > e.named:
		status = http.StatusBadRequest
	case o.Version == e.version && !e.busy:
		status = http.StatusOK
	case e.busy || o.Expected != nil && *o.Expected != e.sequence:
		status = http.StatusConflict
	default:
		e.busy = true
		e.sequence++
		time.AfterFunc(loadTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.version, e.busy = o.Version, false
		})
	}
	e.orders = append(e.orders, order{at: time.Now(), holder: o.Holder, token: o.FencingToken, version: o.Version, status: status})
	e.log.printf("%s: order of %s, fencing token %d, version %d: %d", e.id, o.Holder, o.FencingToken, o.Version, status)
	w.WriteHeader(status)
}

// door is the store as one host sees it. While it is silent, it holds calls and answers them only
// when it no longer is, if the caller still waits.
type door struct {
	host, address string

	mu       sync.Mutex
	released chan struct{}
	// wroteAt and confirmedAt are when the last successful write of the lease came and was
	// answered, writes their number in a row.
	wroteAt, confirmedAt time.Time
	writes               int
	// waiting is the number of reads of the lease that are held.
	waiting int
	// busy makes the store answer with 503.
	busy bool
}

func newDoor(host, store string) (*door, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &door{host: host, address: l.Addr().String()}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: store})
	proxy.FlushInterval = -1
	proxy.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				panic(http.ErrAbortHandler)
			}
			r.Body = io.NopCloser(bytes.NewReader(body))
			write := bytes.Contains(body, []byte(leaseTable))
			read := strings.Contains(r.URL.RawQuery, leaseTable)
			came := time.Now()
			if !d.pass(r, read) {
				panic(http.ErrAbortHandler)
			}
			if d.isBusy() {
				r = httptest.NewRequest(http.MethodGet, "/refused", nil) // for the headers of all answers
				refusal := httptest.NewRecorder()
				proxy.ServeHTTP(refusal, r)
				for name, values := range refusal.Result().Header {
					if strings.HasPrefix(name, "Store") {
						w.Header()[name] = values
					}
				}
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			answer := &statusWriter{ResponseWriter: w}
			proxy.ServeHTTP(answer, r)
			if write {
				d.wrote(came, answer.status == http.StatusOK)
			}
		}))
	}()
	return d, nil
}

type statusWriter struct {
	http.ResponseWriter
	status int
}

func (s *statusWriter) WriteHeader(status int) {
	s.status = status
	s.ResponseWriter.WriteHeader(status)
}

func (s *statusWriter) Unwrap() http.ResponseWriter { return s.ResponseWriter }

// pass waits while the store is silent. It returns false if the caller has left.
func (d *door) pass(r *http.Request, read bool) bool {
	d.mu.Lock()
	released := d.released
	if released != nil && read {
		d.waiting++
	}
	d.mu.Unlock()
	if released == nil {
		return true
	}
	passes := false
	select {
	case <-released:
		passes = r.Context().Err() == nil
	case <-r.Context().Done():
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if read {
		d.waiting--
	}
	return passes
}

func (d *door) wrote(came time.Time, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !ok {
		d.writes = 0
		return
	}
	if time.Since(d.confirmedAt) > leaseTTL {
		d.writes = 0
	}
	d.wroteAt, d.confirmedAt = came, time.Now()
	d.writes++
}

func (d *door) setBusy(busy bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.busy = busy
}

func (d *door) isBusy() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.busy
}

func (d *door) silence() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.released = make(chan struct{})
}

func (d *door) answerAgain() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.released != nil {
		close(d.released)
		d.released = nil
	}
}

func (d *door) lease() (wroteAt, confirmedAt time.Time, writes int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.wroteAt, d.confirmedAt, d.writes
}

func (d *door) readWaits() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.waiting > 0
}

// play is the deployment.
type play struct {
	*record
	store   *stand.Store
	engines []*engine
	doors   []*door

	mu      sync.Mutex
	version int
	spacing time.Duration
	end     time.Time
}

func main() { os.Exit(run()) }

func run() int {
	program, folder, temporary := os.Args[1], os.Args[2], os.Args[3]
	trouble := os.Getenv("TROUBLE") != "0"
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return notRun
	}
	defer func() { _ = file.Close() }()
	p := &play{record: &record{file: file, start: time.Now()}, store: stand.NewStore(), version: 1, spacing: quietTime, end: time.Now().Add(playTime)}
	p.printf("trouble: %t", trouble)
	defer p.store.Close()
	p.store.PutConfig(1, 64, 99591, "key", []stand.Route{{Kind: "tag", FirstEventTarget: 600 * time.Millisecond, EventGapTarget: 500 * time.Millisecond, Timeout: 3 * time.Second}})
	p.store.Put(platform.OperatorTable, "version/"+model, map[string]any{"Model": model, "Version": 1})
	for i := range engines {
		e, err := newEngine(fmt.Sprintf("i-%d", i+1), p.record)
		if err != nil {
			return notRun
		}
		p.engines = append(p.engines, e)
		p.register(e)
	}
	var ready []string
	for i, zone := range []string{"south-depot", "south-hall", "north-office", "south-depot", "south-hall", "north-office", "south-hall"} {
		name := fmt.Sprintf("front-%s-%d", zone, 1+i/3)
		d, err := newDoor(name, p.store.Address())
		if err != nil {
			return notRun
		}
		p.doors = append(p.doors, d)
		path := filepath.Join(temporary, fmt.Sprintf("settings-%d.toml", i))
		address, err := writeSettings(path, name, zone, d.address)
		if err != nil {
			return notRun
		}
		ready = append(ready, address)
		command := exec.Command(program, "serve")
		for _, v := range os.Environ() {
			if name, _, _ := strings.Cut(v, "="); name == os.Args[4] {
				v = name + "=" + path
			}
			command.Env = append(command.Env, v)
		}
		log, err := os.Create(filepath.Join(temporary, name+".log"))
		if err != nil {
			return notRun
		}
		command.Stdout, command.Stderr = log, log
		command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := command.Start(); err != nil {
			p.printf("the host did not start: %v", err)
			return notRun
		}
		defer func() {
			_ = command.Process.Kill()
			_ = command.Wait()
		}()
	}
	for _, address := range ready {
		if !awaitReady(address) {
			p.printf("a host is not ready")
			return notRun
		}
	}
	go p.nameVersions()
	if trouble {
		for p.left() > 12*time.Second && len(p.violations()) == 0 {
			p.round()
		}
		time.Sleep(time.Second)
	} else {
		time.Sleep(p.left())
	}
	found := p.violations()
	for _, v := range found {
		p.printf("broken: %s", v)
	}
	total := 0
	for _, e := range p.engines {
		e.mu.Lock()
		total += len(e.orders)
		e.mu.Unlock()
	}
	p.printf("orders: %d, broken: %d", total, len(found))
	switch {
	case len(found) > 0:
		return broken
	case total == 0:
		return notRun
	}
	return held
}

func (p *play) left() time.Duration { return time.Until(p.end) }

func (p *play) register(e *engine) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p.store.Put(platform.TargetTable, e.id, map[string]any{
		"Service": "llm", "Address": e.address, "Zone": "south-hall", "Version": "v1", "Slots": 64, "State": "ready", "ColdLeftMs": 0,
		"Sequence": 1, "born": 1000, "Models": []any{map[string]any{"Name": model, "Version": e.version}},
	})
}

// nameVersions names new weights again and again, as the operator.
func (p *play) nameVersions() {
	for p.left() > 0 {
		p.mu.Lock()
		p.version++
		version, spacing := p.version, p.spacing
		p.mu.Unlock()
		for _, e := range p.engines {
			e.mu.Lock()
			e.named = version
			e.mu.Unlock()
		}
		p.store.Put(platform.OperatorTable, "version/"+model, map[string]any{"Model": model, "Version": version})
		time.Sleep(spacing)
	}
}

func (p *play) setSpacing(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.spacing = d
}

// holder returns the door of the host that has held the lease for long enough to give orders.
func (p *play) holder() *door {
	for _, d := range p.doors {
		if _, confirmed, writes := d.lease(); writes >= 8 && time.Since(confirmed) < 450*time.Millisecond {
			return d
		}
	}
	return nil
}

// round turns the holder away and lets the store return from a copy, if another host has acquired
// the lease by then as soon as it could.
func (p *play) round() {
	p.setSpacing(quietTime)
	var former *door
	for former == nil && p.left() > 12*time.Second {
		former = p.holder()
		time.Sleep(5 * time.Millisecond)
	}
	if former == nil {
		return
	}
	before, _, _ := former.lease()
	for {
		if at, _, _ := former.lease(); at.After(before) {
			break
		}
		if time.Since(before) > leaseTTL {
			return
		}
		time.Sleep(time.Millisecond)
	}
	wroteAt, _, _ := former.lease()
	older := p.store.Copy()
	former.silence()
	defer former.answerAgain()
	deadline := wroteAt.Add(leaseTTL)
	p.printf("the store gives no answer to %s any more; its lease ends in %d ms", former.host, time.Until(deadline).Milliseconds())
	next, acquired := p.successor(former, wroteAt)
	if next == nil {
		return
	}
	p.printf("%s has acquired the lease %d ms after that end", next.host, acquired.Sub(deadline).Milliseconds())
	if acquired.Sub(deadline) > latestAcquisition {
		return
	}
	p.setSpacing(busyTime)
	defer next.setBusy(false)
	for {
		now := time.Now()
		if now.After(deadline.Add(takeover - 20*time.Millisecond)) {
			p.printf("the former holder has not come in time: next try")
			return
		}
		if _, renewed, _ := next.lease(); renewed.After(deadline.Add(takeover - turnAwayTime)) {
			if !next.isBusy() {
				next.setBusy(true)
				p.printf("the store turns %s away", next.host)
			}
			if former.readWaits() {
				break
			}
		}
		time.Sleep(time.Millisecond)
	}
	newest := p.store.Copy()
	p.store.Fail(true, false)
	time.Sleep(awayTime)
	p.store.Restore(older)
	p.store.Fail(false, false)
	former.answerAgain()
	p.printf("the store has returned from a copy of %d ms ago, and answers %s again", time.Since(wroteAt).Milliseconds(), former.host)
	time.Sleep(rewriteTime)
	p.store.Rewrite(newest, platform.OperatorTable, platform.TargetTable)
	time.Sleep(time.Second)
	next.setBusy(false)
	p.printf("the store answers %s again", next.host)
	time.Sleep(2 * time.Second)
}

// successor waits for another host to acquire the lease after a last write of the former one.
func (p *play) successor(former *door, wroteAt time.Time) (next *door, acquired time.Time) {
	for time.Since(wroteAt) < 2*leaseTTL+2*time.Second {
		for _, d := range p.doors {
			if at, confirmed, _ := d.lease(); d != former && at.After(wroteAt) {
				return d, confirmed
			}
		}
		time.Sleep(time.Millisecond)
	}
	return nil, time.Time{}
}

// violations returns the orders that break the rule: a second holder with a fencing token, a lower
// fencing token after a higher one, or two holders within LeaseMs.
func (p *play) violations() []string {
	var out []string
	holders := map[uint64]string{}
	for _, e := range p.engines {
		e.mu.Lock()
		orders := append([]order{}, e.orders...)
		e.mu.Unlock()
		sort.Slice(orders, func(i, j int) bool { return orders[i].at.Before(orders[j].at) })
		for i, o := range orders {
			if h, ok := holders[o.token]; ok && h != o.holder {
				out = append(out, fmt.Sprintf("%s: fencing token %d of %s and of %s", e.id, o.token, h, o.holder))
			}
			holders[o.token] = o.holder
			if i == 0 {
				continue
			}
			last := orders[i-1]
			gap := o.at.Sub(last.at)
			switch {
			case o.token < last.token:
				out = append(out, fmt.Sprintf("%s: order of %s with fencing token %d came %d ms after one of %s with %d", e.id, o.holder, o.token, gap.Milliseconds(), last.holder, last.token))
			case o.holder != last.holder && gap < leaseMs*time.Millisecond:
				out = append(out, fmt.Sprintf("%s: order of %s came %d ms after one of %s", e.id, o.holder, gap.Milliseconds(), last.holder))
			}
		}
	}
	return out
}

// writeSettings writes settings like those of sbuc-nappy, with free ports.
func writeSettings(path, name, zone, store string) (ready string, err error) {
	addresses := make([]string, 4)
	for i := range addresses {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		defer func() { _ = l.Close() }()
		addresses[i] = l.Addr().String()
	}
	region := strings.SplitN(zone, "-", 2)[0]
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
lease = %d
weights = 8000
ratio = 0.2
slack = 54
window = 10

[zones]
"south-depot" = "south"
"south-hall" = "south"
"north-office" = "north"
`, name, zone, region, store, addresses[0], addresses[1], addresses[2], addresses[3], leaseMs)
	return addresses[1], os.WriteFile(path, []byte(settings), 0o600)
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
