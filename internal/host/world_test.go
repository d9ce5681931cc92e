package host_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	sample "sesamehill.example/sesamehill/examples"
	"sesamehill.example/sesamehill/internal/fakes"
	"sesamehill.example/sesamehill/internal/host"
	"sesamehill.example/sesamehill/internal/table"
	"sesamehill.example/sesamehill/internal/target"
	"sesamehill.example/sesamehill/pkg/config"
)

// fake is the interface that the fakes of all kinds implement.
type fake interface {
	Serve(address string) error
	Address() string
	Close()
	Down()
	Up() error
	Pause()
	Continue()
	Slow(d time.Duration)
	LoseReplies(operation string, n int)
	RepeatRefusals(on bool)
}

// entry is one entry host of a scenario. Pipes carry the connections to its
// listeners and its connections to the platform.
type entry struct {
	settings                 config.Settings
	callers, peers, platform *pipe
	host                     *host.Host
	crash                    chan struct{}
	stop                     context.CancelFunc
	runResult                chan error
	started                  bool
}

// world is the deployment of one scenario.
type world struct {
	document string
	zones    map[string]string
	platform *fakes.Platform
	fakes    map[string]fake
	hosts    map[string]*entry
	requests map[string]*clientRequest
	listing  table.Listing
	snapshot fakes.Snapshot
	changes  map[string]*backgroundCommit
	// committed is true once the document is revision 1 at the platform.
	committed bool
}

func newWorld() (*world, error) {
	w := &world{
		document: string(sample.Demo), zones: map[string]string{"sul-a": "sul", "sul-b": "sul", "sudeste-a": "sudeste"},
		platform: fakes.NewPlatform("platform"), hosts: map[string]*entry{}, requests: map[string]*clientRequest{},
		changes: map[string]*backgroundCommit{},
	}
	w.fakes = map[string]fake{"platform": w.platform}
	return w, w.platform.Serve("127.0.0.1:0")
}

func (w *world) close() {
	for _, e := range w.hosts {
		if e.started {
			e.kill()
		}
	}
	for _, f := range w.fakes {
		f.Close()
	}
}

func (w *world) setDocument(args []string) error {
	for i := 0; i+1 < len(args); i += 2 {
		if !strings.Contains(w.document, args[i]) {
			return fmt.Errorf("the document does not contain %q", args[i])
		}
		w.document = strings.ReplaceAll(w.document, args[i], args[i+1])
	}
	return nil
}

func (w *world) addEngine(args []string) error {
	o := parseOptions(args[2:])
	number := func(name string, standard float64) float64 {
		if v, err := strconv.ParseFloat(o[name], 64); err == nil {
			return v
		}
		return standard
	}
	opts := []fakes.EngineOption{
		fakes.WithCache(int(number("pieces", 64)), 16, 4096), fakes.WithBatch(int(number("batch", 32))),
		fakes.WithDecode(number("decode", 100)), fakes.WithPrefill(number("prefill", 20000)),
		fakes.WithQueue(int(number("queue", 1000))),
	}
	if v := o["version"]; v != "" {
		var models []target.Loaded
		for n := range strings.SplitSeq(v, ",") {
			models = append(models, target.Loaded{Model: "advisor", Version: n})
		}
		opts = append(opts, fakes.WithModels(models...))
	}
	if v := o["poison"]; v != "" {
		first, err := parsePrompt(v)
		if err != nil {
			return err
		}
		opts = append(opts, fakes.WithCrash(func(r target.GenerateRequest) bool { return r.Tokens[0] == first[0] }))
	}
	opts = append(opts, fakes.WithSoftware(o["software"]))
	if o["lenient"] != "" {
		opts = append(opts, fakes.WithIgnoredSoftware())
	}
	return w.add(args, fakes.NewEngine(args[0], opts...), table.Engine, "")
}

func (w *world) addStore(args []string) error {
	var opts []fakes.StoreOption
	if n, err := strconv.ParseInt(parseOptions(args[2:])["capacity"], 10, 64); err == nil {
		opts = append(opts, fakes.WithCapacity(n))
	}
	return w.add(args, fakes.NewStore(args[0], opts...), table.Store, "")
}

func (w *world) addService(args []string) error {
	return w.add(args, fakes.NewService(args[0]), table.Service, "dispatch")
}

// add serves a fake and lists it as a target.
func (w *world) add(args []string, f fake, k table.Kind, service string) error {
	w.fakes[args[0]] = f
	if err := f.Serve("127.0.0.1:0"); err != nil {
		return err
	}
	w.listing.Targets = append(w.listing.Targets, table.ListedTarget{
		Name: args[0], Kind: k, Service: service, Region: w.zones[args[1]], Zone: args[1],
		Address: f.Address(), State: table.Live, ChecksFencing: true, Software: parseOptions(args[2:])["software"],
	})
	w.platform.SetList(w.listing)
	return nil
}

func (w *world) addHost(args []string) error {
	o := parseOptions(args[2:])
	e := &entry{crash: make(chan struct{}), runResult: make(chan error, 1)}
	var listeners host.Listeners
	var err error
	for _, l := range []*net.Listener{&listeners.Callers, &listeners.Admin, &listeners.Peers} {
		if *l, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return err
		}
	}
	for p, to := range map[**pipe]string{
		&e.callers: listeners.Callers.Addr().String(), &e.peers: listeners.Peers.Addr().String(), &e.platform: w.platform.Address(),
	} {
		if *p, err = newPipe(to); err != nil {
			return err
		}
	}
	drainDelay, _ := time.ParseDuration(o["lag"])
	drainTimeout, err := time.ParseDuration(o["limit"])
	if err != nil {
		drainTimeout = 30 * time.Second
	}
	e.settings = config.Settings{
		Name: args[0], Region: w.zones[args[1]], Zone: args[1], Listen: e.callers.address, Admin: listeners.Admin.Addr().String(),
		Peer: e.peers.address, Platform: e.platform.address, DrainDelay: config.Duration(drainDelay), DrainTimeout: config.Duration(drainTimeout),
		LogLevel: config.DefaultLogLevel, Operators: []string{config.HashKey(operatorKey)},
	}
	if e.host, err = host.New(e.settings, host.WithListeners(listeners)); err != nil {
		return err
	}
	e.host.CrashOn(e.crash)
	w.hosts[args[0]] = e
	w.listing.Hosts = append(w.listing.Hosts, table.ListedHost{
		Name: args[0], Address: e.settings.Peer, Region: e.settings.Region, Zone: args[1], State: table.Live,
	})
	w.platform.SetList(w.listing)
	return nil
}

// start starts the added hosts and waits until each of them lists the others as
// alive and has the load of its region's engines and of the other regions.
func (w *world) start([]string) error {
	if err := w.commitInitialDocument(); err != nil {
		return err
	}
	for _, e := range w.hosts {
		if !e.started {
			var ctx context.Context
			ctx, e.stop = context.WithCancel(context.Background())
			e.started = true
			go func() { e.runResult <- e.host.Run(ctx) }()
		}
	}
	return eventually(func() error {
		for name, e := range w.hosts {
			if v, err := e.value("ready"); err != nil || v != "200" {
				return fmt.Errorf("host %s is not ready: %s, %w", name, v, err)
			}
			for other, o := range w.hosts {
				otherRegion := slices.ContainsFunc(w.listing.Targets, func(t table.ListedTarget) bool {
					return t.Kind == table.Engine && t.Region == o.settings.Region && t.Region != e.settings.Region
				})
				if otherRegion && !e.host.HasLoadSummary(other) {
					return fmt.Errorf("host %s has no load summary of the region of %s", name, other)
				}
				if v, err := e.value("hosts." + other + ".state"); err != nil || v != "alive" {
					return fmt.Errorf("host %s holds %s for %q: %w", name, other, v, err)
				}
			}
			for _, t := range w.listing.Targets {
				if t.Kind != table.Engine || t.Region != e.settings.Region {
					continue
				}
				if v, err := e.value("targets." + t.Name + ".models"); err != nil || v == "" {
					return fmt.Errorf("host %s has no report of %s: %w", name, t.Name, err)
				}
			}
		}
		return nil
	})
}

// kill breaks the connections of the host, then stops it. Its targets see broken
// connections but no cancelled runs.
func (e *entry) kill() {
	e.platform.cut()
	e.host.ForgetTargets()
	e.callers.cut()
	e.peers.cut()
	select {
	case <-e.crash:
	default:
		close(e.crash)
	}
	e.stop()
}

// value returns a value of the state dump by its path; the path selects list elements
// by name. The property ready is the status of /readyz.
func (e *entry) value(path string) (string, error) {
	endpoint := "/state"
	if path == "ready" {
		endpoint = "/readyz"
	}
	resp, err := (&http.Client{Timeout: waitTimeout}).Get("http://" + e.settings.Admin + endpoint)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	if path == "ready" {
		return strconv.Itoa(resp.StatusCode), nil
	}
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", err
	}
	var v any
	if err := json.Unmarshal(b, &v); err != nil {
		return "", err
	}
	for name := range strings.SplitSeq(path, ".") {
		switch t := v.(type) {
		case map[string]any:
			v = t[name]
		case []any:
			i := slices.IndexFunc(t, func(x any) bool { m, ok := x.(map[string]any); return ok && m["name"] == name })
			if i < 0 {
				return "", nil
			}
			v = t[i]
		default:
			return "", nil
		}
	}
	if v == nil {
		return "", nil
	}
	return fmt.Sprint(v), nil
}

// eventually repeats f until it returns nil or waitTimeout has passed.
func eventually(f func() error) error {
	var err error
	for start := time.Now(); time.Since(start) < waitTimeout; time.Sleep(10 * time.Millisecond) {
		if err = f(); err == nil {
			return nil
		}
	}
	return err
}
