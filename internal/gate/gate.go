package gate

import (
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/bound"
	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/place"
	"sesamehill.example/sesamehill/internal/poison"
	"sesamehill.example/sesamehill/internal/retry"
	"sesamehill.example/sesamehill/internal/site"
	"sesamehill.example/sesamehill/internal/wire"
)

// Option changes a default of New.
type Option func(*Gate)

// WithAllowance sets the bound on repeats of all hosts together.
func WithAllowance(a retry.Allowance) Option { return func(g *Gate) { g.allowance = a } }

// WithDistance sets how far a zone is from this host.
func WithDistance(f func(zone string) place.Distance) Option {
	return func(g *Gate) { g.distance = f }
}

// WithHosts sets the number of hosts that share the allowance.
func WithHosts(f func() int) Option { return func(g *Gate) { g.hosts = f } }

// WithKeeper sets the policy for kept prompt state.
func WithKeeper(k Keeper) Option { return func(g *Gate) { g.keeper = k } }

// WithLog sets the log of decisions.
func WithLog(l *zap.Logger) Option { return func(g *Gate) { g.log = l } }

// WithPolicy sets the rule that places requests with a prompt.
func WithPolicy(p place.Policy) Option { return func(g *Gate) { g.SetPolicy(p) } }

// WithPool sets the pool for what is held of requests and answers.
func WithPool(p *bound.Pool) Option { return func(g *Gate) { g.pool = p } }

// WithPoison sets the tracker of requests that crash their targets.
func WithPoison(t *poison.Tracker) Option { return func(g *Gate) { g.poison = t } }

// WithStaleLimit sets how long after new weights were named a request may begin
// on older ones.
func WithStaleLimit(d time.Duration) Option { return func(g *Gate) { g.SetStaleLimit(d) } }

// WithWeights sets the source of named weight versions.
func WithWeights(w Weights) Option { return func(g *Gate) { g.weights = w } }

// Gate is the handler of callers' requests.
type Gate struct {
	codec     Codec
	fleet     *fleet.Fleet
	keeper    Keeper
	weights   Weights
	poison    *poison.Tracker
	log       *zap.Logger
	pool      *bound.Pool
	allowance retry.Allowance
	distance  func(zone string) place.Distance
	hosts     func() int
	costs     place.Weights
	rule      atomic.Pointer[place.Rule]
	// staleLimit is the time from the naming of weights after which nothing is
	// sent to engines with older ones.
	staleLimit atomic.Int64

	site   atomic.Pointer[site.Site]
	kept   http.RoundTripper
	fresh  http.RoundTripper
	dialer *net.Dialer
	ending atomic.Bool
	// Metrics are the counters of the gate.
	Metrics *Metrics

	mu      sync.Mutex
	windows map[string]*retry.Window

	// placing makes the choice of a target and its reservation one step; waiting
	// holds the requests without room by service.
	placing sync.Mutex
	waiting map[string][]*waiter
	// kicked is set while a look at the waiting requests is due.
	kicked atomic.Bool
}

// New returns a gate that knows no site yet and answers 503.
func New(c Codec, f *fleet.Fleet, opts ...Option) *Gate {
	g := &Gate{
		codec: c, fleet: f, log: zap.NewNop(), keeper: noKeeper{}, weights: noWeights{}, pool: bound.NewPool(defaultHeld),
		allowance: retry.Allowance{Ratio: 0.1, Fixed: 10, Window: 10 * time.Second},
		distance:  func(string) place.Distance { return place.SameZone },
		hosts:     func() int { return 1 }, costs: place.Defaults(),
		kept: wire.NewTransport(wire.Kept), fresh: wire.NewTransport(wire.Fresh), dialer: wire.Dialer(),
		windows: map[string]*retry.Window{}, waiting: map[string][]*waiter{}, Metrics: newMetrics(), poison: poison.New(),
	}
	g.SetPolicy(place.Cost)
	for _, o := range opts {
		o(g)
	}
	return g
}

// End makes the gate close each connection after its answer.
func (g *Gate) End() { g.ending.Store(true) }

// SetAllowance changes the bound on repeats of all hosts together.
func (g *Gate) SetAllowance(a retry.Allowance) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.allowance = a
	for _, w := range g.windows {
		w.SetAllowance(a)
	}
}

// SetPolicy changes the rule that places requests with a prompt.
func (g *Gate) SetPolicy(p place.Policy) { g.rule.Store(place.NewRule(p)) }

// SetStaleLimit changes how long requests may begin on older weights.
func (g *Gate) SetStaleLimit(d time.Duration) { g.staleLimit.Store(int64(d)) }

// SetSite puts a site in force. An older version is ignored.
func (g *Gate) SetSite(s *site.Site) bool {
	for {
		old := g.site.Load()
		if old != nil && old.Version >= s.Version {
			return false
		}
		if g.site.CompareAndSwap(old, s) {
			return true
		}
	}
}

// Site returns the site in force; nil before the first.
func (g *Gate) Site() *site.Site { return g.site.Load() }

func (g *Gate) window(service string) *retry.Window {
	g.mu.Lock()
	defer g.mu.Unlock()
	w, ok := g.windows[service]
	if !ok {
		w = retry.NewWindow(g.allowance)
		g.windows[service] = w
	}
	return w
}

func draw() float64 { return rand.Float64() }

type noKeeper struct{}

func (noKeeper) Look(*Prompt, string) Holdings                  { return noKeeper{} }
func (noKeeper) Weigh(fleet.Target) (int, int, float64)         { return 0, 0, 0 }
func (noKeeper) Fetched([]string, float64, time.Duration)       {}
func (noKeeper) FetchMs(int) float64                            { return 0 }
func (noKeeper) Plan(*Prompt, string, int, fleet.Target) *State { return nil }
func (noKeeper) Scope(string, int, *site.Account) string        { return "" }

type noWeights struct{}

func (noWeights) Behind(string, int) (time.Duration, bool) { return 0, false }
func (noWeights) Loading(string) bool                      { return false }
