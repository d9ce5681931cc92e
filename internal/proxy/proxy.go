package proxy

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/bound"
	"sesamehill.example/sesamehill/internal/crash"
	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/homes"
	"sesamehill.example/sesamehill/internal/opconf"
	"sesamehill.example/sesamehill/internal/place"
	"sesamehill.example/sesamehill/internal/rates"
	"sesamehill.example/sesamehill/internal/retry"
	"sesamehill.example/sesamehill/internal/speed"
	"sesamehill.example/sesamehill/internal/wire"
)

// Option changes a default of New.
type Option func(*Proxy)

// WithAllowance sets the retry budget that all hosts share.
func WithAllowance(a retry.Allowance) Option { return func(p *Proxy) { p.allowance = a } }

// WithDistance sets the function that returns the distance of a zone from this
// host.
func WithDistance(f func(zone string) place.Distance) Option {
	return func(p *Proxy) { p.distance = f }
}

// WithRegions sets the function that returns the region of a zone; empty for an unknown zone.
func WithRegions(f func(zone string) string) Option { return func(p *Proxy) { p.region = f } }

// WithEvacuated sets the function that reports whether nothing may be sent to the targets of
// a zone.
func WithEvacuated(f func(zone string) bool) Option { return func(p *Proxy) { p.evacuated = f } }

// WithHosts sets the function that returns the number of hosts that share the retry
// budget.
func WithHosts(f func() int) Option { return func(p *Proxy) { p.hosts = f } }

// WithShare sets the function that returns this host's share of the limits of a target.
func WithShare(f func(t *fleet.Target) rates.Share) Option { return func(p *Proxy) { p.share = f } }

// WithCachePlanner sets the policy for fetching and saving KV cache entries.
func WithCachePlanner(k CachePlanner) Option { return func(p *Proxy) { p.planner = k } }

// WithPaths sets how targets are connected to.
func WithPaths(paths Paths) Option {
	return func(p *Proxy) {
		p.paths = paths
		p.pooledTransport = wire.NewTransport(wire.KeepAlive, wire.WithDialContext(paths.DialContext))
		p.freshTransport = wire.NewTransport(wire.SingleUse, wire.WithDialContext(paths.DialContext))
	}
}

// WithStarts sets how the start of a target is found out to which a connection leads.
func WithStarts(s Starts) Option { return func(p *Proxy) { p.starts = s } }

// WithOrigins sets the record of the software versions that began streams.
func WithOrigins(o Origins) Option { return func(p *Proxy) { p.origins = o } }

// WithLog sets the logger.
func WithLog(l *zap.Logger) Option { return func(p *Proxy) { p.log = l } }

// WithPolicy sets the placement policy for requests with a prompt.
func WithPolicy(policy place.Policy) Option { return func(p *Proxy) { p.SetPolicy(policy) } }

// WithPool sets the memory pool for buffered request and response bodies.
func WithPool(pool *bound.Pool) Option { return func(p *Proxy) { p.pool = pool } }

// WithCrashTracker sets the tracker of requests that crash their targets.
func WithCrashTracker(t *crash.Tracker) Option { return func(p *Proxy) { p.crashes = t } }

// WithStaleLimits sets what engines with older weights may get after the announcement of
// new ones.
func WithStaleLimits(l StaleLimits) Option { return func(p *Proxy) { p.SetStaleLimits(l) } }

// WithWeights sets the source of the announced weight versions.
func WithWeights(w WeightVersions) Option { return func(p *Proxy) { p.weights = w } }

// Proxy is the HTTP handler that forwards requests from callers to targets.
type Proxy struct {
	codec       Codec
	fleet       *fleet.Fleet
	planner     CachePlanner
	weights     WeightVersions
	origins     Origins
	crashes     *crash.Tracker
	log         *zap.Logger
	pool        *bound.Pool
	allowance   retry.Allowance
	distance    func(zone string) place.Distance
	region      func(zone string) string
	evacuated   func(zone string) bool
	hosts       func() int
	share       func(t *fleet.Target) rates.Share
	costs       place.Costs
	speeds      *speed.Tracker
	numberings  numberings
	placement   atomic.Pointer[place.Rule]
	staleLimits atomic.Pointer[StaleLimits]

	config          atomic.Pointer[opconf.Config]
	pooledTransport http.RoundTripper
	freshTransport  http.RoundTripper
	// streamTransport checks on each new connection to which start of a target it leads.
	streamTransport http.RoundTripper
	// linkUses holds the boot time of the last stream of each service whose targets do not
	// state their start.
	linkUses         sync.Map
	paths            Paths
	starts           Starts
	closeConnections atomic.Bool
	// draining is the plan of a stop; nil if there is none. drained ends at the end of it,
	// by endDrain.
	draining atomic.Pointer[drain]
	drained  context.Context //nolint:containedctx // it is no context of a call
	endDrain context.CancelCauseFunc
	// Metrics holds the counters and latencies of the proxy.
	Metrics *Metrics

	mu      sync.Mutex
	windows map[string]*retry.Window

	// placementMu makes the choice of a target and its reservation one atomic step.
	// It also guards waitQueues, the requests that wait for capacity, by service.
	placementMu sync.Mutex
	waitQueues  map[string]*waitQueue
	// leaving decides when a request leaves the zone.
	leaving leaving
	// buckets hold what this host may still send to targets with a limit, by target.
	// placementMu guards them too.
	buckets map[string]*limitShare
	// dispatchPending is set while a dispatch of the waiting requests is scheduled.
	dispatchPending atomic.Bool
	// limitPollPending is set while a dispatch is scheduled for requests that wait for
	// targets with a rate limit.
	limitPollPending atomic.Bool
}

// New returns a proxy that answers 503 until it gets its first configuration.
func New(c Codec, f *fleet.Fleet, opts ...Option) *Proxy {
	p := &Proxy{
		codec: c, fleet: f, log: zap.NewNop(), planner: noCachePlanner{}, weights: noWeightVersions{}, origins: noOrigins{}, pool: bound.NewPool(defaultPoolBytes),
		allowance: retry.Allowance{Ratio: 0.1, Fixed: 10, Window: 10 * time.Second},
		distance:  func(string) place.Distance { return place.SameZone }, region: func(string) string { return "" },
		evacuated: func(string) bool { return false },
		hosts:     func() int { return 1 }, costs: place.DefaultCosts(), speeds: speed.New(),
		share: func(*fleet.Target) rates.Share { return rates.Share{Hosts: 1} }, buckets: map[string]*limitShare{},
		pooledTransport: wire.NewTransport(wire.KeepAlive), freshTransport: wire.NewTransport(wire.SingleUse), paths: directPaths{wire.Dialer()}, starts: unstatedStarts{},
		windows: map[string]*retry.Window{}, waitQueues: map[string]*waitQueue{}, Metrics: newMetrics(), crashes: crash.New(),
	}
	p.drained, p.endDrain = context.WithCancelCause(context.Background())
	p.SetPolicy(place.Cost)
	p.SetStaleLimits(StaleLimits{})
	for _, o := range opts {
		o(p)
	}
	p.streamTransport = wire.NewTransport(wire.KeepAlive, wire.WithDialContext(p.dialStart))
	return p
}

// CloseConnections makes the proxy close each connection after its current
// response.
func (p *Proxy) CloseConnections() { p.closeConnections.Store(true) }

// SetAllowance changes the retry budget that all hosts share.
func (p *Proxy) SetAllowance(a retry.Allowance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.allowance = a
	for _, w := range p.windows {
		w.SetAllowance(a)
	}
}

// SetPolicy changes the placement policy for requests with a prompt.
func (p *Proxy) SetPolicy(policy place.Policy) { p.placement.Store(place.NewRule(policy)) }

// SetStaleLimits changes what engines with older weights may get after the announcement of
// new ones.
func (p *Proxy) SetStaleLimits(l StaleLimits) { p.staleLimits.Store(&l) }

// SetConfig activates a configuration. It returns false and changes nothing unless
// the version is newer than the current one.
func (p *Proxy) SetConfig(s *opconf.Config) bool {
	for {
		old := p.config.Load()
		if old != nil && old.Version >= s.Version {
			return false
		}
		if p.config.CompareAndSwap(old, s) {
			return true
		}
	}
}

// Config returns the current configuration; nil before the first.
func (p *Proxy) Config() *opconf.Config { return p.config.Load() }

// window returns the retry budget of a service.
func (p *Proxy) window(service string) *retry.Window {
	p.mu.Lock()
	defer p.mu.Unlock()
	w, ok := p.windows[service]
	if !ok {
		w = retry.NewWindow(p.allowance)
		p.windows[service] = w
	}
	return w
}

// randomFraction returns a random number in [0, 1).
func randomFraction() float64 { return rand.Float64() }

// noCachePlanner is a CachePlanner that never fetches or saves.
type noCachePlanner struct{}

func (noCachePlanner) Lookup(*Prompt, string) CachedParts                 { return noCachePlanner{} }
func (noCachePlanner) Estimate(fleet.Target) (int, int, float64)          { return 0, 0, 0 }
func (noCachePlanner) RecordFetch([]string, float64, time.Duration)       {}
func (noCachePlanner) FetchMs(int) float64                                { return 0 }
func (noCachePlanner) Plan(*Prompt, string, int, fleet.Target) *CachePlan { return nil }
func (noCachePlanner) Namespace(string, int, *opconf.Account, homes.Regions) string {
	return ""
}

// noWeightVersions is a WeightVersions for platforms without weight updates.
type noWeightVersions struct{}

func (noWeightVersions) OutdatedFor(string, int) (time.Duration, bool) { return 0, false }
func (noWeightVersions) Loading(string) bool                           { return false }
