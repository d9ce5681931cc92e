package front

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/bound"
	"sesamehill.example/sesamehill/internal/feed"
	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/gate"
	"sesamehill.example/sesamehill/internal/hail"
	"sesamehill.example/sesamehill/internal/pause"
	"sesamehill.example/sesamehill/internal/poison"
	"sesamehill.example/sesamehill/internal/relay"
	"sesamehill.example/sesamehill/internal/roll"
	"sesamehill.example/sesamehill/internal/site"
	"sesamehill.example/sesamehill/internal/stash"
	"sesamehill.example/sesamehill/internal/table"
	"sesamehill.example/sesamehill/internal/tree"
)

const (
	// balancerLag is how long the balancer may go on sending new connections to a
	// host that has stopped being ready: it asks once a second and waits for two
	// misses.
	balancerLag = 2500 * time.Millisecond
	// fetchReplaced is how long state of replaced weights is fetched after newer
	// ones were named.
	fetchReplaced = time.Second
	// fastListPace and slowListPace are the times between two looks at the list of
	// targets of few and of many hosts. Neither exceeds a leavingShare of the time
	// for which a leaving target takes requests.
	fastListPace   = 300 * time.Millisecond
	leaderListPace = 500 * time.Millisecond
	slowListPace   = time.Second
	leavingShare   = 0.4
	// exitMargin is left between the end of the drain and SIGKILL; the parts of the
	// host may take a second to stop.
	exitMargin = 1200 * time.Millisecond
)

// Platform is what a host needs of its platform.
type Platform interface {
	Decoder
	feed.Source
	Codec() gate.Codec
	// Targets makes the calls to targets that are not callers' requests.
	Targets() Targets
	// Table returns one of the product's own tables.
	Table(name string) Table
	// OperatorTable and TargetTable are the tables that the platform writes.
	OperatorTable() string
	TargetTable() string
}

// Targets makes calls to engines and stores.
type Targets interface {
	roll.Engines
	stash.Reader
	// Free frees parts of a store of a known epoch, until a time on its clock.
	Free(ctx context.Context, address string, epoch uint64, until int64, keys []stash.Key) error
}

// Table is a table of the product's own on the platform.
type Table interface {
	table.Table
	// Put writes a row without a condition.
	Put(ctx context.Context, key string, value []byte) error
}

// Option changes a default of New.
type Option func(*Host)

// WithLog sets the log.
func WithLog(l *zap.Logger) Option { return func(h *Host) { h.log = l } }

// WithPool sets the pool for what the host holds of bytes from outside.
func WithPool(p *bound.Pool) Option { return func(h *Host) { h.pool = p } }

// Host is one entry host.
type Host struct {
	mu       sync.Mutex // settings
	settings Settings
	file     string
	level    func(string) error
	platform Platform
	log      *zap.Logger
	pool     *bound.Pool
	fleet    *fleet.Fleet
	gate     *gate.Gate
	operator *operator
	lister   *lister
	server   *server
	stash    *stash.Catalog
	pollers  *pollers
	duty     *duty
	members  *members
	poison   *poison.Tracker
	peers    *peers
	tables   *relay.Relay
	// doubt is filled when a belief about a target has changed.
	doubt   chan struct{}
	leaving atomic.Bool
}

// New returns a host that has not started.
func New(s Settings, p Platform, opts ...Option) (*Host, error) {
	if err := s.Check(); err != nil {
		return nil, errors.Trace(err)
	}
	h := &Host{
		settings: s, platform: p, log: zap.NewNop(), level: func(string) error { return nil }, pool: s.Pool(),
		doubt: make(chan struct{}, 1),
	}
	for _, o := range opts {
		o(h)
	}
	h.fleet = fleet.New(fleet.WithChanged(h.targetChanged))
	h.poison = poison.New()
	h.stash = stash.NewCatalog(s.Zones, stash.WithLog(h.log), stash.WithUse(h.use))
	h.pollers = newPollers(h)
	h.operator = &operator{decode: p, log: h.log, named: map[string][]named{}, onSite: h.siteChanged}
	h.lister = &lister{decode: p, fleet: h.fleet, log: h.log}
	h.gate = gate.New(
		p.Codec(), h.fleet, gate.WithLog(h.log), gate.WithAllowance(s.allowance()),
		gate.WithDistance(s.distance), gate.WithPoison(h.poison), gate.WithHosts(h.hosts),
		gate.WithWeights(h), gate.WithKeeper(h.stash),
		gate.WithStaleLimit(s.staleLimit()), gate.WithPolicy(s.policy()), gate.WithPool(h.pool),
	)
	h.duty = newDuty(h)
	h.members = newMembers(h)
	h.peers = newPeers(h.pool)
	h.tables = relay.New(p, h.askTable, relay.WithLeader(h.members.leads), relay.WithHub(h.members.hub),
		relay.WithSlow(memberTable, dutyTable))
	h.operator.gate = h.gate
	h.server = newServer(h.gate)
	return h, nil
}

// Run serves until ctx ends, then drains.
func (h *Host) Run(ctx context.Context) error {
	h.log.Info("started", zap.String("front", h.settings.Front), zap.String("platform", h.settings.Platform))
	parts, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	context.AfterFunc(ctx, func() { h.drain(stop) })
	t := tree.New("host", tree.WithLog(h.log), tree.WithStop(time.Second))
	t.Add("operator", feed.NewWatch(h.tables, h.platform.OperatorTable(), h.operator).Run)
	t.Add("targets", feed.NewWatch(h.tables, h.platform.TargetTable(), h.lister, feed.WithPace(h.listPace)).Run)
	t.Add("hosts", feed.NewWatch(
		h.tables, memberTable, h.members, feed.WithPace(h.members.pace), feed.WithSeen(h.members.current),
	).Run)
	t.Add("front", func(ctx context.Context) error { return h.server.Serve(ctx, h.settings.Front) })
	t.Add("ready", func(ctx context.Context) error { return serveAdmin(ctx, h.settings.Ready, h.readiness()) })
	t.Add("admin", func(ctx context.Context) error { return serveAdmin(ctx, h.settings.Admin, h.admin()) })
	t.Add("peers", func(ctx context.Context) error { return serveAdmin(ctx, h.settings.Peer, h.peerHandler()) })
	t.Add("reload", h.reload)
	t.Add("idle", h.sweepIdle)
	t.Add("probes", h.probe)
	t.Add("stores", h.pollers.Run)
	t.Add("members", h.members.Run)
	t.Add("hail", hail.New(
		h.settings.Peer, h.settings.Name, h.fleet, h.members.topology, hail.WithLog(h.log),
		hail.WithChanged(h.gate.Kick), hail.WithWeights(h), hail.WithRoster(h.members), hail.WithTables(h.tables),
	).Run)
	h.duty.add(t)
	return errors.Trace(t.Run(parts))
}

// drain stops being ready, lets the balancer notice, and waits for the requests
// that were accepted.
func (h *Host) drain(stop context.CancelFunc) {
	defer stop()
	h.leaving.Store(true)
	h.gate.End()
	grace := time.Duration(h.current().Grace * float64(time.Second))
	h.log.Info("stopping", zap.Duration("grace", grace))
	ctx, cancel := context.WithTimeout(context.Background(), grace-exitMargin)
	defer cancel()
	if err := pause.For(ctx, min(balancerLag, grace/2)); err != nil {
		return
	}
	if err := h.server.drain(ctx); err != nil {
		h.log.Warn("requests left at the end", zap.Error(err))
		return
	}
	h.log.Info("stopped")
}

// use says whether state of a weight version may be fetched and saved. State of
// replaced weights is saved no more, and is fetched only for a moment, so that it
// can be freed soon. A host that has not written its row for long and hears no host
// that has fetches nothing: the others may have stopped waiting for its word.
func (h *Host) use(model string, version int) (fetch, save bool) {
	age, behind := h.operator.Behind(model, version)
	return (!behind || age < fetchReplaced) && h.members.informed(), !behind
}

// listPace is the time between two looks at the list of targets. Entries change
// often, and each change would otherwise wake every host. A leader, on which the
// others depend, looks more often.
func (h *Host) listPace() time.Duration {
	pace := fastListPace
	switch {
	case h.members.leads():
		pace = leaderListPace
	case h.members.count() > fewHosts:
		pace = slowListPace
	}
	if drain := h.current().Drain; drain > 0 {
		pace = min(pace, time.Duration(leavingShare*drain*float64(time.Millisecond)))
	}
	return pace
}

// Ready reports whether the host should get new connections.
func (h *Host) Ready() bool {
	return !h.leaving.Load() && h.operator.known.Load() && h.lister.known.Load() && h.fleet.Len() > 0
}

func (h *Host) readiness() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !h.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

func (h *Host) sweepIdle(ctx context.Context) error {
	for {
		if err := pause.For(ctx, sweepPeriod); err != nil {
			return nil //nolint:nilerr // the end of ctx is the normal end
		}
		limit := defaultIdle
		if s := h.gate.Site(); s != nil && s.Limits.IdleTimeout > 0 {
			limit = s.Limits.IdleTimeout
		}
		h.server.sweep(limit)
	}
}

func (h *Host) targetChanged(c fleet.Change) {
	select {
	case h.doubt <- struct{}{}:
	default:
	}
	h.log.Info(
		"target "+c.What, zap.String("target", c.Target.ID), zap.String("service", c.Target.Service),
		zap.String("address", c.Target.Address), zap.String("zone", c.Target.Zone), zap.Int64("born", c.Target.Born),
		zap.Any("weights", c.Target.Versions),
	)
}

func (h *Host) siteChanged(s *site.Site) { h.pollers.set(h.stash.Describe(s)) }

func (h *Host) hosts() int { return h.members.count() }

// Behind returns how long weights newer than a version have been named.
func (h *Host) Behind(model string, version int) (time.Duration, bool) {
	return h.operator.Behind(model, version)
}

// Ages returns the named versions whose age this host knows.
func (h *Host) Ages() map[string]hail.Named { return h.operator.Ages() }

// Heard takes over what another host knows about named weights.
func (h *Host) Heard(host, model string, n hail.Named) {
	h.operator.Heard(model, n)
	h.duty.acknowledged(host, model, n)
}

// Leads reports whether this host gives orders.
func (h *Host) Leads() bool { return h.duty.leads() }

// Known returns what hosts know of weights that were named lately.
func (h *Host) Known(hosts []string) map[string]map[string]hail.Named { return h.duty.known(hosts) }

// Acknowledged notes what another host knows, by the word of a hub.
func (h *Host) Acknowledged(host, model string, n hail.Named) { h.duty.acknowledged(host, model, n) }

// Progress returns the progress of this host's orders; nil if it gives none.
func (h *Host) Progress() *roll.Progress { return h.duty.roller.Progress() }

// Learn takes over the progress of the host that gives orders.
func (h *Host) Learn(p roll.Progress) { h.duty.learn(p) }

// Loading reports whether a target is about to change its weights.
func (h *Host) Loading(target string) bool { return h.duty.loading(target) }
