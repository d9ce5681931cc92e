package tree

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"
)

const (
	// defaultMinDelay and defaultMaxDelay bound the delay before a restart. The first
	// is short, so that a transient fault has little effect; the second keeps a
	// component that cannot start from filling the log.
	defaultMinDelay = 100 * time.Millisecond
	defaultMaxDelay = 15 * time.Second
	// defaultStopTimeout is how long a cancelled component may take to return.
	defaultStopTimeout = 10 * time.Second
	// stableRunTime is how long a component must run for its back-off to start anew.
	stableRunTime = time.Minute
	// failureThreshold is below the failure count of a single failure, so that suture
	// waits for the back-off of this package after each one.
	failureThreshold = 0.5
)

// restarts counts restarts by component over all trees of the process.
var restarts = expvar.NewMap("restarts")

// Option changes a default of New.
type Option func(*Tree)

// WithBackoff sets the first and the longest delay before a restart.
func WithBackoff(minDelay, maxDelay time.Duration) Option {
	return func(t *Tree) { t.minDelay, t.maxDelay = minDelay, maxDelay }
}

// WithLog sets the logger for changes of state.
func WithLog(l *zap.Logger) Option {
	return func(t *Tree) { t.log = l }
}

// WithStopTimeout sets how long Run waits for cancelled components to return.
func WithStopTimeout(d time.Duration) Option {
	return func(t *Tree) { t.stopTimeout = d }
}

// Tree supervises the components of one host.
type Tree struct {
	log                *zap.Logger
	minDelay, maxDelay time.Duration
	stopTimeout        time.Duration
	root               *suture.Supervisor

	mu         sync.Mutex
	components []*component
	fatalErr   error
}

// New returns a tree without components.
func New(name string, opts ...Option) *Tree {
	t := &Tree{log: zap.NewNop(), minDelay: defaultMinDelay, maxDelay: defaultMaxDelay, stopTimeout: defaultStopTimeout}
	for _, o := range opts {
		o(t)
	}
	t.root = suture.New(name, t.supervisorSpec(nil))
	return t
}

// Add adds a component. It starts with Run, or at once if the tree is running.
func (t *Tree) Add(name string, serve func(ctx context.Context) error) {
	c := newComponent(t, name, serve)
	t.mu.Lock()
	t.components = append(t.components, c)
	t.mu.Unlock()
	s := suture.New(name, t.supervisorSpec(c))
	s.Add(c)
	t.root.Add(s)
}

// Components returns the status of each component, in the order of Add.
func (t *Tree) Components() []Component {
	t.mu.Lock()
	defer t.mu.Unlock()
	statuses := make([]Component, 0, len(t.components))
	for _, c := range t.components {
		statuses = append(statuses, c.currentStatus())
	}
	return statuses
}

// Run runs the components until ctx is cancelled, and then returns nil, or until a
// component returns a Fatal error, which Run returns.
func (t *Tree) Run(ctx context.Context) error {
	err := t.root.Serve(ctx)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fatalErr != nil {
		return t.fatalErr
	}
	if ctx.Err() != nil {
		return nil
	}
	return errors.Trace(err)
}

func (t *Tree) supervisorSpec(c *component) suture.Spec {
	s := suture.Spec{EventHook: t.logStopTimeout, FailureThreshold: failureThreshold, FailureBackoff: t.minDelay, Timeout: t.stopTimeout}
	if c != nil {
		s.BackoffJitter = c
	}
	return s
}

// logStopTimeout logs that a component does not stop, which the component cannot
// report itself.
func (t *Tree) logStopTimeout(e suture.Event) {
	if e, ok := e.(suture.EventStopTimeout); ok {
		t.log.Error("component did not stop in time", zap.String("part", e.ServiceName), zap.Duration("limit", t.stopTimeout))
	}
}

func (t *Tree) fail(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fatalErr == nil {
		t.fatalErr = err
	}
}
