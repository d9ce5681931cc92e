package server

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/bound"
	"sesamehill.example/sesamehill/internal/crash"
	"sesamehill.example/sesamehill/internal/evac"
	"sesamehill.example/sesamehill/internal/feed"
	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/gossip"
	"sesamehill.example/sesamehill/internal/homes"
	"sesamehill.example/sesamehill/internal/kvcat"
	"sesamehill.example/sesamehill/internal/opconf"
	"sesamehill.example/sesamehill/internal/pause"
	"sesamehill.example/sesamehill/internal/proxy"
	"sesamehill.example/sesamehill/internal/rates"
	"sesamehill.example/sesamehill/internal/relay"
	"sesamehill.example/sesamehill/internal/roll"
	"sesamehill.example/sesamehill/internal/table"
	"sesamehill.example/sesamehill/internal/tree"
	"sesamehill.example/sesamehill/internal/tunnel"
	"sesamehill.example/sesamehill/internal/verlog"
	"sesamehill.example/sesamehill/internal/wire"
	"sesamehill.example/sesamehill/internal/zones"
)

const (
	// balancerDetectTime is how long the load balancer may go on sending new
	// connections to a host that has stopped being ready: it polls once a second and
	// waits for two failed polls.
	balancerDetectTime = 2500 * time.Millisecond
	// replacedFetchWindow is how long KV cache entries of replaced weights are still
	// fetched after newer weights were announced.
	replacedFetchWindow = time.Second
	// The list intervals are the times between two polls of the list of targets, by a
	// host among few, by a leader and by a host among many. None exceeds
	// maxListDrainShare of the time for which a leaving target accepts requests.
	listIntervalFewHosts  = 300 * time.Millisecond
	listIntervalLeader    = 500 * time.Millisecond
	listIntervalManyHosts = time.Second
	maxListDrainShare     = 0.4
	// exitMargin is the time left between the end of the drain and SIGKILL; the
	// components of the host may take a second to stop. Final answers are sent in the first
	// answerTime of it.
	exitMargin = 1200 * time.Millisecond
	answerTime = 150 * time.Millisecond
)

// Platform is what a host needs from the shared platform: its tables, its encodings
// and calls to targets.
type Platform interface {
	Decoder
	feed.Source
	Codec() proxy.Codec
	// TargetClient returns the client for calls to targets other than those for
	// callers.
	TargetClient() TargetClient
	// Table returns one of the project's own tables.
	Table(name string) Table
	// OperatorTable and TargetTable return the names of the tables that the platform
	// writes.
	OperatorTable() string
	TargetTable() string
	// Clock returns the estimate of the clock of the platform's store.
	Clock() *table.Clock
}

// TargetClient makes calls to engines and stores.
type TargetClient interface {
	roll.Engines
	kvcat.Reader
	proxy.Starts
	// ColdFor queries the health check of a target for how long it stays cold.
	ColdFor(ctx context.Context, id, address, path string) (time.Duration, error)
	// Free asks a store with the given epoch to free entries. The store frees nothing
	// after the time until, in milliseconds on its own clock.
	Free(ctx context.Context, address string, epoch uint64, until int64, keys []kvcat.Key) error
}

// Table is one of the project's own tables on the platform.
type Table interface {
	table.Table
	// Put writes a row unconditionally.
	Put(ctx context.Context, key string, value []byte) error
}

// Option changes a default of New.
type Option func(*Host)

// WithLog sets the log.
func WithLog(l *zap.Logger) Option { return func(h *Host) { h.log = l } }

// WithPool sets the memory pool for received data that the host buffers until it has
// passed it on.
func WithPool(p *bound.Pool) Option { return func(h *Host) { h.pool = p } }

// Host is one entry host.
type Host struct {
	mu           sync.Mutex // guards settings
	settings     Settings
	settingsFile string
	setLevel     func(string) error
	platform     Platform
	log          *zap.Logger
	pool         *bound.Pool
	fleet        *fleet.Fleet
	proxy        *proxy.Proxy
	config       *configWatcher
	configs      *configExchange
	targets      *targetWatcher
	callers      *callerServer
	guards       *guards
	catalog      *kvcat.Catalog
	stores       *storeWatcher
	leasedTask   *leasedTask
	members      *members
	crashes      *crash.Tracker
	origins      *streamOrigins
	evacuations  *evac.Log
	paths        *pathFinder
	trips        *zones.Trips
	tunnels      *tunnel.Server
	clock        *table.Clock
	versions     *verlog.Log
	versionRow   *versionRow
	peerClient   *peerClient
	tables       *relay.Relay
	// repeatsFrom is the boot time from which the fixed part of the retry budget counts,
	// guarded by mu.
	repeatsFrom time.Duration
	// fleetChanged receives a value when the state of a target has changed.
	fleetChanged chan struct{}
	draining     atomic.Bool
}

// New returns a host that has not started.
func New(s Settings, p Platform, opts ...Option) (*Host, error) {
	if err := s.Check(); err != nil {
		return nil, errors.Trace(err)
	}
	h := &Host{
		settings: s, platform: p, log: zap.NewNop(), setLevel: func(string) error { return nil }, pool: s.Pool(),
		fleetChanged: make(chan struct{}, 1), trips: zones.NewTrips(),
	}
	for _, o := range opts {
		o(h)
	}
	h.paths = newPathFinder(h)
	h.tunnels = tunnel.NewServer(h.paths.connect)
	h.fleet = fleet.New(fleet.WithOnChange(h.targetChanged), fleet.WithTunnels(h.paths.available), fleet.WithColdness(h.coldness))
	h.crashes = crash.New(crash.WithOnVerdict(h.logPartVerdict))
	h.origins = newStreamOrigins(h)
	h.evacuations = evac.New()
	h.catalog = kvcat.NewCatalog(s.Zones, kvcat.WithLog(h.log), kvcat.WithPermissions(h.allowKVTransfer))
	h.stores = newStoreWatcher(h)
	h.clock = p.Clock()
	h.versions = verlog.New(h.clock.Now)
	h.config = &configWatcher{
		decoder: p, log: h.log, versions: h.versions, clock: h.clock, onConfig: h.configChanged,
	}
	h.versionRow = newVersionRow(h)
	h.config.onVersion = h.versionRow.notify
	h.configs = newConfigExchange(h)
	h.targets = &targetWatcher{decoder: p, fleet: h.fleet, log: h.log, platformEra: h.platformEra}
	h.proxy = proxy.New(
		p.Codec(), h.fleet, proxy.WithLog(h.log), proxy.WithAllowance(s.retryAllowance()),
		proxy.WithDistance(s.distance), proxy.WithRegions(s.regionOf), proxy.WithEvacuated(h.evacuated), proxy.WithCrashTracker(h.crashes), proxy.WithHosts(h.hostCount), proxy.WithShare(h.share),
		proxy.WithWeights(h), proxy.WithZone(s.Zone, h.trips), proxy.WithCachePlanner(h.catalog), proxy.WithOrigins(h.origins), proxy.WithPaths(h.paths), proxy.WithStarts(p.TargetClient()),
		proxy.WithStaleLimits(s.staleLimits()), proxy.WithPolicy(s.placementPolicy()), proxy.WithPool(h.pool),
	)
	h.proxy.SetPrices(s.Away)
	h.leasedTask = newLeasedTask(h)
	h.members = newMembers(h)
	h.peerClient = newPeerClient(h.pool)
	h.tables = relay.New(p, h.queryTable, relay.WithLeader(h.members.isLeader), relay.WithHub(h.members.isHub),
		relay.WithSlowTables(memberTable, taskTable), relay.WithPresentRows(p.OperatorTable(), memberTable, taskTable),
		relay.WithRegionHosts(h.members.regionHostCount), relay.WithPlatformClock(h.clock), relay.WithLog(h.log))
	h.config.proxy = h.proxy
	h.config.failedAt = func() time.Duration { return h.tables.FailedAt(p.OperatorTable()) }
	h.guards = newGuards(s)
	h.pool.OnFull(h.guards.callers.ShedBodies)
	h.callers = newCallerServer(h.proxy, h.guards.callers)
	return h, nil
}

// Run serves callers until ctx is cancelled, then drains.
func (h *Host) Run(ctx context.Context) error {
	h.log.Info("host started", zap.String("front", h.settings.Front), zap.String("platform", h.settings.Platform))
	componentCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	context.AfterFunc(ctx, func() { h.drain(stop) })
	t := tree.New("host", tree.WithLog(h.log), tree.WithStopTimeout(time.Second))
	t.Add("operator", feed.NewWatch(h.tables, h.platform.OperatorTable(), h.config, feed.WithOnSuccess(h.operatorTableRead)).Run)
	t.Add("targets", feed.NewWatch(h.tables, h.platform.TargetTable(), h.targets, feed.WithInterval(h.listInterval), feed.WithOnSuccess(h.origins.recordListRead)).Run)
	t.Add("hosts", feed.NewWatch(
		h.tables, memberTable, h.members, feed.WithInterval(h.members.pollInterval), feed.WithOnSuccess(h.members.recordRead),
	).Run)
	t.Add("front", func(ctx context.Context) error { return h.callers.Serve(ctx, h.settings.Front) })
	t.Add("ready", func(ctx context.Context) error {
		return serveAdmin(ctx, h.settings.Ready, h.guards.ready, h.readyHandler())
	})
	t.Add("admin", func(ctx context.Context) error {
		return serveAdmin(ctx, h.settings.Admin, h.guards.admin, h.adminHandler())
	})
	t.Add("peers", func(ctx context.Context) error {
		return serveAdmin(ctx, h.settings.Peer, h.guards.peers, h.peerHandler())
	})
	t.Add("reload", h.reload)
	t.Add("callers", h.sweepCallers)
	t.Add("probes", h.probeTargets)
	t.Add("links", (&linkKeeper{host: h}).Run)
	t.Add("starts", (&startVerifier{host: h}).Run)
	t.Add("trips", h.measureTrips)
	t.Add("stores", h.stores.Run)
	t.Add("members", h.members.Run)
	t.Add("configs", h.configs.Run)
	t.Add("hail", gossip.New(
		h.settings.Peer, h.settings.Name, h.fleet, h.members.topology, gossip.WithLog(h.log),
		gossip.WithOnMessage(h.proxy.DispatchSoon), gossip.WithWeights(h), gossip.WithRoster(h.members), gossip.WithTables(h.tables),
		gossip.WithCrashes(h.crashes), gossip.WithPlatformClock(h.clock), gossip.WithConfigs(h), gossip.WithOrigins(h.origins), gossip.WithLink(h.settings.Link),
		gossip.WithEvacuations(h),
	).Run)
	h.leasedTask.addComponents(t)
	return errors.Trace(t.Run(componentCtx))
}

// drainTime returns the time that requests have until the host gives their final answers.
// The platform's rules excuse a request that is cut if its target was still at work in the
// last sixth of the grace time, so that the drain must not end before.
func drainTime(grace time.Duration) time.Duration { return grace - exitMargin }

// drain makes the host not ready, waits until the load balancer has noticed, and waits
// for the requests that were accepted.
func (h *Host) drain(stop context.CancelFunc) {
	defer stop()
	h.draining.Store(true)
	h.proxy.CloseConnections()
	grace := time.Duration(h.currentSettings().Grace * float64(time.Second))
	h.log.Info("draining requests before shutdown", zap.Duration("grace", grace))
	ctx, cancel := context.WithTimeout(context.Background(), drainTime(grace)+answerTime)
	defer cancel()
	listenFor := min(balancerDetectTime, grace/2)
	now := wire.BootTime()
	h.proxy.Drain(now+listenFor, now+drainTime(grace))
	if err := pause.For(ctx, listenFor); err != nil {
		return
	}
	if err := h.callers.drain(ctx); err != nil {
		h.log.Warn("requests still running at the end of the drain", zap.Error(err))
		return
	}
	h.log.Info("drain complete")
}

// allowKVTransfer reports whether KV cache entries of a weight version may be fetched
// and saved. Entries of replaced weights are not saved any more, and are fetched only
// for replacedFetchWindow, so that the lease holder can free them soon. A host that has not
// written its row for long, and receives no events from a host that has, fetches
// nothing: the other hosts may have stopped waiting for its acknowledgement.
func (h *Host) allowKVTransfer(model string, version int) (fetch, save bool) {
	age, superseded := h.OutdatedFor(model, version)
	return (!superseded || age < replacedFetchWindow) && h.members.receivesWeightUpdates(), !superseded
}

// platformEra returns the highest number of restores that the platform has stated to
// this host, or to a hub that this host follows.
func (h *Host) platformEra() uint64 {
	era := h.tables.Era()
	if t, ok := h.platform.Table(memberTable).(table.Restorable); ok {
		era = max(era, t.Era())
	}
	return era
}

// listInterval returns the time between two polls of the list of targets. Entries
// change often, and each change would otherwise wake every host. A leader polls more
// often than other hosts among many, as they depend on it.
func (h *Host) listInterval() time.Duration {
	interval := listIntervalFewHosts
	switch {
	case h.members.isLeader():
		interval = listIntervalLeader
	case h.members.hostCount() > fewHosts:
		interval = listIntervalManyHosts
	}
	if drain := h.currentSettings().Drain; drain > 0 {
		interval = min(interval, time.Duration(maxListDrainShare*drain*float64(time.Millisecond)))
	}
	return interval
}

// Ready reports whether the host should receive new connections.
func (h *Host) Ready() bool {
	return !h.draining.Load() && h.callers.listening.Load() && h.config.received.Load() && h.targets.received.Load() &&
		h.fleet.Len() > 0 && h.configs.upToDate()
}

// readyHandler answers the readiness checks of the load balancer.
func (h *Host) readyHandler() http.Handler {
	return ignoreBody(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !h.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
}

// targetChanged logs a change of a target and wakes probeTargets.
func (h *Host) targetChanged(c fleet.Change) {
	select {
	case h.fleetChanged <- struct{}{}:
	default:
	}
	h.log.Info(
		"target "+c.Event, zap.String("target", c.Target.ID), zap.String("service", c.Target.Service),
		zap.String("address", c.Target.Address), zap.String("zone", c.Target.Zone), zap.Int64("born", c.Target.StartedAtMs), zap.String("software", c.Target.Software),
		zap.Any("weights", c.Target.Versions),
	)
}

// configChanged updates the catalog and the stores to poll after a change of the
// operator configuration.
func (h *Host) configChanged(s *opconf.Config) {
	h.stores.setAddresses(h.catalog.SetStores(s))
	h.logConflicts(s)
}

// maxLoggedConflicts bounds the lines about conflicting regions of one configuration.
const maxLoggedConflicts = 8

// logConflicts logs which routes and accounts leave no region for their requests.
func (h *Host) logConflicts(s *opconf.Config) {
	conflicts := homes.Conflicts(s, slices.Collect(maps.Values(h.currentSettings().Zones)))
	for _, c := range conflicts[:min(len(conflicts), maxLoggedConflicts)] {
		h.log.Warn("allowed regions exclude each other; refusing such requests", zap.Uint64("site", s.Version), zap.Int("conflicts", len(conflicts)), zap.Error(c))
	}
}

// operatorTableRead records that the operator's table was received up to a position.
func (h *Host) operatorTableRead(p feed.Position) {
	h.recordEvacuations(p)
	h.config.recordRead(h.tables.CurrentAt(h.platform.OperatorTable(), p))
}

// logPartVerdict logs that a part of prompts was quarantined, or is not any more.
func (h *Host) logPartVerdict(v crash.PartVerdict) {
	message := "a part of prompts is quarantined"
	if !v.Quarantined {
		message = "a part of prompts is no longer quarantined"
	}
	h.log.Info(
		message, zap.Stringer("print", v.Part), zap.Int("crashes", v.Counted), zap.Durations("ages", v.Ages), zap.Int("required", v.Required),
		zap.Int("depth", v.Depth), zap.Int("others", v.Others), zap.Int("explained", v.Explained), zap.Int64("sincesurvived", v.SinceSurvived.Milliseconds()),
	)
}

func (h *Host) hostCount() int { return h.members.hostCount() }

func (h *Host) share(t *fleet.Target) rates.Share { return h.members.share(t) }

// coldness returns how long targets of a service are cold, as the operator configuration
// says.
func (h *Host) coldness(service string) fleet.Coldness {
	if c := h.proxy.Config(); c != nil {
		if s, ok := c.Service(service); ok {
			return fleet.Coldness{Time: s.ColdTime, PerSecond: s.ColdRate}
		}
	}
	return fleet.Coldness{}
}

// IssuesOrders reports whether this host holds the lease and gives orders to engines.
func (h *Host) IssuesOrders() bool { return h.leasedTask.holdsLease() }

// DesiredByHost returns the recently announced weight versions that the given hosts have
// acknowledged.
func (h *Host) DesiredByHost(hosts []string) map[string]map[string]gossip.DesiredVersion {
	return h.leasedTask.recentAcks(hosts)
}

// RecordRelayedDesired records that another host knows a weight version, as reported by a hub.
func (h *Host) RecordRelayedDesired(host, model string, n gossip.DesiredVersion) {
	h.leasedTask.recordAck(host, model, n)
}

// Progress returns the progress of this host's orders, or nil if it gives none.
func (h *Host) Progress() *roll.Progress { return h.leasedTask.roller.Progress() }

// RecordProgress records the progress of the host that gives orders.
func (h *Host) RecordProgress(p roll.Progress) { h.leasedTask.applyProgress(p) }

// Loading reports whether a target is about to load other weights.
func (h *Host) Loading(target string) bool { return h.leasedTask.loading(target) }
