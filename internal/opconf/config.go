package opconf

import (
	"fmt"
	"net"
	"slices"
	"sort"
	"strings"
	"time"
)

// Kind says which requests of a route may run more than once.
type Kind string

// Kinds of routes.
const (
	Idempotent    Kind = "idempotent"
	NonIdempotent Kind = "non_idempotent"
	Streaming     Kind = "streaming"
)

// Share is the weight with which a route sends requests to a service.
type Share struct {
	Service string
	Weight  int
}

// Route sends requests for one HTTP host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds a request, LatencyTarget is the latency up to which a request
	// gets full credit, MaxGap the longest pause of a stream that is still on time.
	Timeout       time.Duration
	LatencyTarget time.Duration
	MaxGap        time.Duration
	// Priority is the urgency of requests; 0 is the most urgent.
	Priority int
	Shares   []Share
	// Attempts is the number of targets to which one request may be sent.
	Attempts int
	// Public is set if the route accepts requests without an API key.
	Public bool
	// HasPrompt is set if requests of the route carry a prompt.
	HasPrompt bool
	// Resumable is set if another target may continue a stream of the route.
	Resumable bool
	// AllowedRegions are the regions in which requests of the route may be served, cached
	// and stored; empty for all.
	AllowedRegions []string
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// PickService returns the service for a random number in [0, 1), by the weights of the
// shares.
func (r *Route) PickService(random float64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	remaining := random * float64(total)
	for _, s := range r.Shares {
		remaining -= float64(s.Weight)
		if remaining < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// LeadsTo reports whether requests of the route may go to a service.
func (r *Route) LeadsTo(service string) bool {
	return slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == service && s.Weight > 0 })
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that one engine runs at once.
	Slots int
	// CapacityTokens is the KV cache capacity of one engine in tokens and TokenBytes
	// the size of a token there.
	CapacityTokens int
	TokenBytes     int
	// LinkMbps is the rate of one engine's link for KV cache transfers.
	LinkMbps float64
	Models   []string
	// MaxEventReaders is the number of concurrent event reads that a target accepts.
	MaxEventReaders int
	// ChecksFencing is set if the engines reject orders with an old fencing token.
	ChecksFencing bool
}

// Store describes a store of KV cache entries.
type Store struct {
	Address string
	Zone    string
	// CapacityTokens is the capacity in tokens.
	CapacityTokens int
	LinkMbps       float64
	// SetupTime is the delay that each transfer adds.
	SetupTime time.Duration
	// MaxEventReaders is the number of concurrent event reads that a store accepts.
	MaxEventReaders int
	// Managed is set if the store evicts nothing on its own, so that hosts free its
	// entries.
	Managed bool
}

// Service is a group of interchangeable targets, or one store.
type Service struct {
	Name   string
	Engine *Engine
	Store  *Store
	// ColdTime is how long a target stays cold after its start. While it is cold, it takes
	// ColdRate requests a second from all hosts together. Zero if targets are never cold.
	ColdTime time.Duration
	ColdRate float64
	// HealthPath is the path of a target's health check; empty if it has none.
	HealthPath string
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Priority overrides the route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
	// Dedicated is set if the account shares no KV cache entries with others.
	Dedicated bool
	// AllowedRegions are the regions in which requests of the account may be served, cached
	// and stored; empty for all. Those of a route bind as well.
	AllowedRegions []string
}

// Limits bounds the requests and connections of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the operator's configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits

	// routesByHost holds the routes of each HTTP host, the longest prefix first.
	routesByHost   map[string][]*Route
	accountsByKey  map[string]*Account
	servicesByName map[string]*Service
}

// InvalidError is returned for a configuration that cannot be used.
type InvalidError struct{ Problem string }

// Error names the problem and the remedy.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("operator configuration: %s; the active version stays in use, write a corrected one", e.Problem)
}

// New checks a configuration and builds its indexes.
func New(c Config) (*Config, error) {
	c.routesByHost = map[string][]*Route{}
	c.accountsByKey = map[string]*Account{}
	c.servicesByName = map[string]*Service{}
	for i := range c.Services {
		c.servicesByName[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		if len(r.Shares) == 0 {
			return nil, &InvalidError{Problem: fmt.Sprintf("route %q names no service", r.Name)}
		}
		host := strings.ToLower(r.Host)
		c.routesByHost[host] = append(c.routesByHost[host], r)
	}
	for _, routes := range c.routesByHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range c.Accounts {
		for _, k := range c.Accounts[i].Keys {
			c.accountsByKey[k] = &c.Accounts[i]
		}
	}
	return &c, nil
}

// Account returns the account to which an API key belongs.
func (c *Config) Account(key string) (*Account, bool) {
	a, ok := c.accountsByKey[key]
	return a, ok
}

// Match returns the route of an HTTP host with the longest prefix of the path.
func (c *Config) Match(host, path string) (*Route, bool) {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range c.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Service returns a service by name.
func (c *Config) Service(name string) (*Service, bool) {
	v, ok := c.servicesByName[name]
	return v, ok
}
