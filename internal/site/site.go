package site

import (
	"fmt"
	"net"
	"sort"
	"strings"
	"time"
)

// Kind says what may be repeated on a route.
type Kind string

// Kinds of routes.
const (
	Idempotent    Kind = "idempotent"
	NonIdempotent Kind = "non_idempotent"
	Streaming     Kind = "streaming"
)

// Share is the part of a route's requests that a service gets.
type Share struct {
	Service string
	Weight  int
}

// Route leads requests of one host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds a request, Goal is the time for full credit, Gap the longest
	// pause of a stream that is still on time.
	Timeout time.Duration
	Goal    time.Duration
	Gap     time.Duration
	// Priority 0 is the most urgent.
	Priority int
	Shares   []Share
	// Attempts is the number of targets that one request may reach.
	Attempts int
	// Public routes take requests without a key.
	Public bool
	// Prompted routes carry requests with a prompt.
	Prompted bool
	// Resumable streams may be continued on another target.
	Resumable bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Pick returns the service for a draw in [0, 1).
func (r *Route) Pick(draw float64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	left := draw * float64(total)
	for _, s := range r.Shares {
		left -= float64(s.Weight)
		if left < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots int
	// Tokens is the memory of one engine and TokenBytes the size of a token there.
	Tokens     int
	TokenBytes int
	// LinkMbps is the rate of one engine's link for prompt state.
	LinkMbps float64
	Models   []string
	// Observers is the number of event reads that a target takes at once.
	Observers int
	// Fenced engines refuse orders with an old fence.
	Fenced bool
}

// Store describes a store of kept prompt state.
type Store struct {
	Address string
	Zone    string
	// Tokens is the capacity.
	Tokens   int
	LinkMbps float64
	// Setup is the delay that each transfer adds.
	Setup     time.Duration
	Observers int
	// Managed stores drop nothing on their own.
	Managed bool
}

// Service is a group of equal targets, or one store.
type Service struct {
	Name   string
	Engine *Engine
	Store  *Store
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Priority goes before the route's where HasPriority is set.
	Priority    int
	HasPriority bool
	// Dedicated accounts share no kept state with others.
	Dedicated bool
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Site is one version of the operator's statement.
type Site struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits

	hosts    map[string][]*Route
	keys     map[string]*Account
	services map[string]*Service
}

// InvalidError says what makes a statement unusable.
type InvalidError struct{ Problem string }

// Error names the problem and the remedy.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("site: %s; the version in force stays, write a corrected one", e.Problem)
}

// New checks a site and builds its indexes.
func New(s Site) (*Site, error) {
	s.hosts = map[string][]*Route{}
	s.keys = map[string]*Account{}
	s.services = map[string]*Service{}
	for i := range s.Services {
		s.services[s.Services[i].Name] = &s.Services[i]
	}
	for i := range s.Routes {
		r := &s.Routes[i]
		if len(r.Shares) == 0 {
			return nil, &InvalidError{Problem: fmt.Sprintf("route %q names no service", r.Name)}
		}
		host := strings.ToLower(r.Host)
		s.hosts[host] = append(s.hosts[host], r)
	}
	for _, routes := range s.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range s.Accounts {
		for _, k := range s.Accounts[i].Keys {
			s.keys[k] = &s.Accounts[i]
		}
	}
	return &s, nil
}

// Account returns the account that holds a key.
func (s *Site) Account(key string) (*Account, bool) {
	a, ok := s.keys[key]
	return a, ok
}

// Match returns the route with the longest prefix of the path on a host.
func (s *Site) Match(host, path string) (*Route, bool) {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range s.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Service returns a service by name.
func (s *Site) Service(name string) (*Service, bool) {
	v, ok := s.services[name]
	return v, ok
}
