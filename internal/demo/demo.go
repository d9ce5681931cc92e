package demo

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"
	"github.com/pelletier/go-toml/v2"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	sample "sesamehill.example/sesamehill/examples"
	"sesamehill.example/sesamehill/internal/fakes"
	"sesamehill.example/sesamehill/internal/host"
	"sesamehill.example/sesamehill/internal/table"
	"sesamehill.example/sesamehill/internal/target"
	"sesamehill.example/sesamehill/internal/watch"
	"sesamehill.example/sesamehill/pkg/config"
)

const (
	enginesPerZone = 3
	// cacheBlocks is the number of KV blocks in an engine's cache. It is enough for a
	// few prompts of 500 tokens, so that other prompts are imported from a store.
	cacheBlocks  = 256
	hostsPerZone = 2
	storeBytes   = 64 << 20
	// drainTimeout is short so that a demo stops quickly.
	drainTimeout = config.Duration(10 * time.Second)
	// operatorKey is the key for the operator API and the console.
	operatorKey = "operator-key"
)

// Options are the settings of a demo.
type Options struct {
	// Listen and Admin are the caller and operator addresses of the first host.
	Listen string
	Admin  string
	Log    *zap.Logger
	// Split is a directory for the settings files of the hosts. If it is set, the
	// hosts do not run in this process; start each of them with "sesamed run".
	Split string
}

// deployment has the fakes and hosts of a demo.
type deployment struct {
	document *config.Document
	platform *fakes.Platform
	listing  table.Listing
	hosts    []*host.Host
	settings []config.Settings
	closers  []func()
}

// Run runs the demo until ctx is done.
func Run(ctx context.Context, o Options, out io.Writer) error {
	doc, err := config.ParseDocument("demo.toml", sample.Demo)
	if err != nil {
		return errors.Trace(err)
	}
	d := &deployment{document: doc, platform: fakes.NewPlatform("platform")}
	defer d.close()
	if err := d.startTargets(); err != nil {
		return errors.Trace(err)
	}
	if err := d.commitDocument(ctx); err != nil {
		return errors.Trace(err)
	}
	if err := d.addHosts(o); err != nil {
		return errors.Trace(err)
	}
	if o.Split != "" {
		return errors.Trace(d.serveSplit(ctx, o.Split, out))
	}
	g, ctx := errgroup.WithContext(ctx)
	for _, h := range d.hosts {
		g.Go(func() error { return h.Run(ctx) })
	}
	d.printGreeting(out)
	return errors.Trace(g.Wait())
}

// serveSplit writes the settings file of each host and serves the fakes until ctx is
// done.
func (d *deployment) serveSplit(ctx context.Context, dir string, out io.Writer) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Annotatef(err, "create the directory for settings files; give another one with -split")
	}
	for _, s := range d.settings {
		b, err := toml.Marshal(s)
		if err != nil {
			return errors.Trace(err)
		}
		if err := os.WriteFile(filepath.Join(dir, s.Name+".toml"), b, 0o600); err != nil {
			return errors.Annotatef(err, "write the settings of host %s; give another directory with -split", s.Name)
		}
	}
	d.printSplitGreeting(out, dir)
	<-ctx.Done()
	return nil
}

// commitDocument commits the demo's configuration document as revision 1, as an
// operator does with "sesamectl config apply".
func (d *deployment) commitDocument(ctx context.Context) error {
	w := watch.New(d.platform, d.platform, nil)
	_, err := w.Commit(ctx, 0, d.document, "demo", "demo")
	return errors.Annotate(err, "commit the configuration document of the demo")
}

// close stops the fakes in the reverse order of their start.
func (d *deployment) close() {
	for i := len(d.closers) - 1; i >= 0; i-- {
		d.closers[i]()
	}
}

// fakeServer is implemented by all fakes.
type fakeServer interface {
	Serve(address string) error
	Address() string
	Close()
}

func (d *deployment) startFake(f fakeServer) (string, error) {
	if err := f.Serve("127.0.0.1:0"); err != nil {
		return "", errors.Annotate(err, "start a fake server on the loopback interface")
	}
	d.closers = append(d.closers, f.Close)
	return f.Address(), nil
}

func (d *deployment) startTargets() error {
	if _, err := d.startFake(d.platform); err != nil {
		return err
	}
	var loaded []target.Loaded
	for _, m := range d.document.Models {
		loaded = append(loaded, target.Loaded{Model: m.Name, Version: m.Version, Adapters: m.Adapters})
	}
	first := d.document.Regions[0]
	s := fakes.NewService("dispatch-1")
	if err := d.addTarget(s, table.ListedTarget{
		Name: s.Name(), Kind: table.Service, Service: "dispatch", Region: first.Name, Zone: first.Zones[0],
	}); err != nil {
		return err
	}
	weights := fakes.NewWeights(d.document.Models[0].MaxConcurrentLoads, 400*time.Millisecond)
	for _, r := range d.document.Regions {
		for _, z := range r.Zones {
			for i := range enginesPerZone {
				e := fakes.NewEngine(fmt.Sprintf("%s-engine-%d", z, i+1), fakes.WithModels(loaded...),
					fakes.WithWeights(weights), fakes.WithCache(cacheBlocks, d.document.Deployment.BlockTokens, int(d.document.Deployment.BlockBytes)))
				if err := d.addTarget(e, table.ListedTarget{Name: e.Name(), Kind: table.Engine, Region: r.Name, Zone: z, ChecksFencing: true}); err != nil {
					return err
				}
			}
		}
		s := fakes.NewStore(r.Name+"-store-1", fakes.WithCapacity(storeBytes))
		if err := d.addTarget(s, table.ListedTarget{Name: s.Name(), Kind: table.Store, Region: r.Name, Zone: r.Zones[0]}); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) addTarget(f fakeServer, t table.ListedTarget) error {
	address, err := d.startFake(f)
	if err != nil {
		return err
	}
	t.Address, t.State = address, table.Live
	d.listing.Targets = append(d.listing.Targets, t)
	return nil
}

func (d *deployment) addHosts(o Options) error {
	listen, admin := o.Listen, o.Admin
	var listeners []host.Listeners
	for _, r := range d.document.Regions {
		for _, z := range r.Zones {
			for i := range hostsPerZone {
				ls, err := listenAll(listen, admin)
				if err != nil {
					return err
				}
				listen, admin = "127.0.0.1:0", "127.0.0.1:0"
				s := config.Settings{
					Name: fmt.Sprintf("%s-host-%d", z, i+1), Region: r.Name, Zone: z,
					Listen: ls.Callers.Addr().String(), Admin: ls.Admin.Addr().String(), Peer: ls.Peers.Addr().String(),
					Platform: "http://" + d.platform.Address(), DrainTimeout: drainTimeout, LogLevel: config.DefaultLogLevel,
					Operators: []string{config.HashKey(operatorKey)},
				}
				listeners = append(listeners, ls)
				d.settings = append(d.settings, s)
				d.listing.Hosts = append(d.listing.Hosts, table.ListedHost{
					Name: s.Name, Address: s.Peer, Region: r.Name, Zone: z, State: table.Live,
				})
			}
		}
	}
	d.platform.SetList(d.listing)
	if o.Split != "" {
		// Free the addresses for the host processes that will listen on them.
		for _, ls := range listeners {
			for _, l := range []net.Listener{ls.Callers, ls.Admin, ls.Peers} {
				if err := l.Close(); err != nil {
					return errors.Trace(err)
				}
			}
		}
		return nil
	}
	for i, s := range d.settings {
		h, err := host.New(s, host.WithLog(o.Log), host.WithListeners(listeners[i]))
		if err != nil {
			return errors.Trace(err)
		}
		d.hosts = append(d.hosts, h)
	}
	return nil
}

func listenAll(callers, admin string) (host.Listeners, error) {
	var ls host.Listeners
	var err error
	if ls.Callers, err = net.Listen("tcp", callers); err != nil {
		return ls, errors.Annotatef(err, "listen for callers on %s; free the address or set -listen", callers)
	}
	if ls.Admin, err = net.Listen("tcp", admin); err != nil {
		return ls, errors.Annotatef(err, "listen for operators on %s; free the address or set -admin", admin)
	}
	ls.Peers, err = net.Listen("tcp", "127.0.0.1:0")
	return ls, errors.Annotate(err, "listen for other hosts")
}
