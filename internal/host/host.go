package host

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"

	"sesamehill.example/sesamehill/internal/crash"
	"sesamehill.example/sesamehill/internal/dump"
	"sesamehill.example/sesamehill/internal/entry"
	"sesamehill.example/sesamehill/internal/forms"
	"sesamehill.example/sesamehill/internal/idem"
	"sesamehill.example/sesamehill/internal/lease"
	"sesamehill.example/sesamehill/internal/member"
	"sesamehill.example/sesamehill/internal/retry"
	"sesamehill.example/sesamehill/internal/table"
	"sesamehill.example/sesamehill/internal/tree"
	"sesamehill.example/sesamehill/internal/watch"
	"sesamehill.example/sesamehill/internal/weight"
	"sesamehill.example/sesamehill/pkg/config"
)

// Option configures a Host.
type Option func(*Host)

// Listeners are open listeners for callers, the admin port and other hosts.
type Listeners struct {
	Callers net.Listener
	Admin   net.Listener
	Peers   net.Listener
}

// WithDocument activates a document before the host reads the platform. A host with
// peers and operators takes its document from the platform.
func WithDocument(revision uint64, d *config.Document) Option {
	return func(h *Host) { h.activate(revision, d) }
}

// WithListeners sets open listeners; without it the host listens on the
// addresses of its settings.
func WithListeners(l Listeners) Option {
	return func(h *Host) { h.listeners = l }
}

// WithLog sets the logger.
func WithLog(l *zap.Logger) Option {
	return func(h *Host) { h.log = l }
}

// Host is one entry host.
type Host struct {
	settings  config.Settings
	log       *zap.Logger
	listeners Listeners

	platform *table.Client
	reach    platformStatus
	document atomic.Pointer[activeDocument]
	watch    *watch.Watch

	client *member.Client
	gossip *member.Gossip
	server *member.Server
	seeds  []table.ListedHost
	// invalidEntries describes the invalid entries of the list that was read last.
	invalidEntries atomic.Pointer[invalidEntries]
	membersChanged chan struct{}
	heartbeatNow   chan struct{}

	fleet      *fleet
	drains     drains
	regions    regions
	links      *linkSet
	blockIndex *blockIndex
	observer   *observer
	cache      *cacheManager
	storeRates rates
	// transfers lets requests share the import of a block.
	transfers singleflight.Group

	lease   *lease.Lease
	rollout *weight.Rollout

	admission   *admissionQueue
	idempotency *idem.Claims
	retries     *retry.Policy
	crashes     *crash.Tracker
	measures    *measures

	entry          *entry.Server
	dump           *dump.Registry
	admin          *dump.Admin
	tree           *tree.Tree
	draining       atomic.Bool
	drainRequested chan struct{}
	drain          func()
}

// New returns a host that has not started.
func New(s config.Settings, opts ...Option) (*Host, error) {
	h := &Host{
		settings: s, log: zap.NewNop(), fleet: newFleet(), admission: newAdmissionQueue(),
		blockIndex: newBlockIndex(s.Name, s.Region, s.Zone),
		dump:       dump.New(), drainRequested: make(chan struct{}), membersChanged: make(chan struct{}, 1),
		heartbeatNow: make(chan struct{}, 1),
	}
	h.links, h.measures, h.cache = newLinkSet(), newMeasures(), newCacheManager(h)
	h.observer = &observer{host: h, cursors: map[string]*cursor{}}
	h.drain = sync.OnceFunc(func() { close(h.drainRequested) })
	h.document.Store(newActiveDocument(0, &config.Document{}))
	for _, o := range opts {
		o(h)
	}
	h.tree = tree.New(s.Name, tree.WithLog(h.log))
	h.platform = table.NewClient(s.Platform)
	h.idempotency = idem.New(h.platform)
	h.newRollout()
	h.retries = retry.New()
	h.crashes = crash.New(crash.WithOnChange(h.requestHeartbeats))
	if err := h.newCluster(); err != nil {
		return nil, errors.Trace(err)
	}
	h.newServers()
	h.addDumpSections()
	h.addComponents()
	return h, nil
}

func (h *Host) newServers() {
	s := h.settings
	entryOptions := []entry.Option{entry.WithAddress(s.Listen), entry.WithDrain(s.DrainDelay.AsDuration(), s.DrainTimeout.AsDuration())}
	if l := h.listeners.Callers; l != nil {
		entryOptions = append(entryOptions, entry.WithListener(l))
	}
	h.entry = entry.New(h, entryOptions...)
	adminOptions := []dump.Option{dump.WithAddress(s.Admin), dump.WithReady(h.Ready)}
	if l := h.listeners.Admin; l != nil {
		adminOptions = append(adminOptions, dump.WithListener(l))
	}
	h.admin = dump.NewAdmin(h.dump, adminOptions...)
	h.admin.Mount(forms.New(&backend{host: h}, forms.WithOperators(s.Operators)).Routes)
}

// Run serves until ctx ends or Drain is called, and then drains: it accepts calls
// until the load balancer has removed the host, and finishes the responses in flight.
func (h *Host) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	h.publish()
	defer h.unpublish()
	treeDone := make(chan error, 1)
	go func() { treeDone <- h.tree.Run(work) }()
	h.log.Info("host started", zap.String("listen", h.settings.Listen), zap.String("admin", h.settings.Admin))
	select {
	case err := <-treeDone:
		return errors.Trace(err)
	case <-ctx.Done():
	case <-h.drainRequested:
	}
	h.announceLeave(work)
	h.log.Info("draining host", zap.Duration("lag", h.settings.DrainDelay.AsDuration()), zap.Duration("limit", h.settings.DrainTimeout.AsDuration()))
	err := h.entry.Drain(work)
	if e := h.idempotency.Close(work); e != nil && err == nil {
		err = e
	}
	stop()
	if e := <-treeDone; e != nil && err == nil {
		err = e
	}
	h.close()
	h.log.Info("host stopped")
	return errors.Trace(err)
}

// close releases the workers and connections of a stopped host.
func (h *Host) close() {
	h.cache.workers.Release()
	h.fleet.closeIdle()
	h.platform.Close()
	if err := h.client.Close(); err != nil {
		h.log.Warn("failed to close the connections to other hosts", zap.Error(err))
	}
}

// Drain makes Run drain and return, as if its context had ended.
func (h *Host) Drain() { h.drain() }

// announceLeave announces to the load balancer and to the other hosts that this host
// leaves.
func (h *Host) announceLeave(ctx context.Context) {
	h.draining.Store(true)
	h.gossip.Leave(ctx)
}

// Ready returns nil if the host may get calls, or the reason why it may not.
func (h *Host) Ready() error {
	switch {
	case h.draining.Load():
		return errors.New("the host is draining; send calls to another host")
	case h.document.Load().revision == 0:
		return errors.New("no configuration document is active yet; wait for the platform or another host")
	}
	return nil
}

// addComponents adds the components of the host to the supervisor tree.
func (h *Host) addComponents() {
	h.tree.Add("callers", h.serveCallers)
	h.tree.Add("admin", h.admin.Serve)
	h.tree.Add("gate", h.admission.run)
	h.tree.Add("document", h.followDocument)
	h.tree.Add("list", every(listPeriod, h.readList))
	h.tree.Add("load", every(loadPeriod, h.pollLoads))
	h.tree.Add("peers", h.servePeers)
	h.tree.Add("gossip", h.gossip.Run)
	h.tree.Add("urgent", h.sendUrgentHeartbeats)
	h.tree.Add("resize", h.followMembership)
	h.tree.Add("drains", every(listPeriod, h.readDrains))
	h.tree.Add("events", h.observer.run)
	h.tree.Add("stores", every(storePeriod, h.observer.listStores))
	h.tree.Add("lease", h.holdLease)
	h.tree.Add("rollout", every(rolloutPeriod, h.stepRollout))
	h.tree.Add("keeper", every(cachePeriod, h.cache.manage))
	h.tree.Add("filters", every(filterFetchInterval, h.fetchOldestFilter))
}

// serveCallers serves until Drain stops the server. A failure is fatal, because a
// stopped server cannot be restarted.
func (h *Host) serveCallers(ctx context.Context) error {
	if err := h.entry.Serve(); err != nil {
		return tree.Fatal(err)
	}
	<-ctx.Done()
	return ctx.Err()
}

// every returns a component that calls f at once and then once per period.
func every(period time.Duration, f func(context.Context)) func(context.Context) error {
	return func(ctx context.Context) error {
		t := time.NewTicker(period)
		defer t.Stop()
		for {
			f(ctx)
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-t.C:
			}
		}
	}
}
