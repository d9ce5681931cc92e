package tree

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	jerrors "github.com/juju/errors"
	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"
)

// State is the state of a component.
type State string

// States of a component. Waiting is the state before the first start.
const (
	Waiting State = "waiting"
	Running State = "running"
	Failed  State = "failed"
	Stopped State = "stopped"
)

// Component is the status of one component.
type Component struct {
	Name     string    `json:"name"`
	State    State     `json:"state"`
	Since    time.Time `json:"since"`
	Restarts int       `json:"restarts"`
}

// PanicError is the failure of a component that panicked.
type PanicError struct {
	Component string
	Value     string
	Stack     string
}

// Error names the component and the value of the panic.
func (e *PanicError) Error() string {
	return fmt.Sprintf("component %s panicked: %s; it is restarted alone", e.Component, e.Value)
}

// EndedError is the failure of a component that returned without an error before its
// context was cancelled.
type EndedError struct {
	Component string
}

// Error names the component.
func (e *EndedError) Error() string {
	return fmt.Sprintf("component %s returned early; it is restarted alone", e.Component)
}

type fatalError struct{ err error }

func (e *fatalError) Error() string { return e.err.Error() }
func (e *fatalError) Unwrap() error { return e.err }

// Fatal marks an error that a restart cannot fix. A component that returns it stops
// the whole tree.
func Fatal(err error) error { return &fatalError{err: err} }

// component is a suture service that keeps its own status and back-off.
type component struct {
	tree  *Tree
	serve func(ctx context.Context) error

	mu      sync.Mutex
	status  Component
	backoff *backoff.ExponentialBackOff
	delay   time.Duration
}

func newComponent(t *Tree, name string, serve func(ctx context.Context) error) *component {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval, b.Multiplier = t.minDelay, t.maxDelay, 2
	return &component{tree: t, serve: serve, backoff: b, status: Component{Name: name, State: Waiting, Since: time.Now()}}
}

// Jitter returns the delay before the restart after the last failure. suture calls it
// in place of its own jitter.
func (c *component) Jitter(time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.delay
}

// Serve runs the component once.
func (c *component) Serve(ctx context.Context) error {
	startedAt := c.setState(Running)
	err := c.serveRecovered(ctx)
	var fatal *fatalError
	switch {
	case errors.As(err, &fatal):
		c.setState(Failed)
		err = jerrors.Annotatef(fatal.err, "component %s failed with a fatal error", c.status.Name)
		c.tree.log.Error("component failed with a fatal error; stopping the tree", zap.String("part", c.status.Name), zap.Error(fatal.err))
		c.tree.fail(err)
		return suture.ErrTerminateSupervisorTree
	case ctx.Err() != nil:
		c.setState(Stopped)
		c.tree.log.Info("component stopped", zap.String("part", c.status.Name))
		return ctx.Err()
	case err == nil:
		err = &EndedError{Component: c.status.Name}
	}
	c.recordFailure(err, startedAt)
	// Only the text is returned: suture would take an error such as a context error,
	// which the component's own work may return, for a request to stop the component
	// or the tree.
	return errors.New(err.Error())
}

func (c *component) String() string { return c.status.Name }

func (c *component) serveRecovered(ctx context.Context) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = &PanicError{Component: c.status.Name, Value: fmt.Sprint(v), Stack: string(debug.Stack())}
		}
	}()
	return c.serve(ctx)
}

func (c *component) setState(s State) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s == Running && c.status.State == Failed {
		c.status.Restarts++
		restarts.Add(c.status.Name, 1)
		c.tree.log.Info("component restarted", zap.String("part", c.status.Name), zap.Int("restarts", c.status.Restarts))
	}
	c.status.State, c.status.Since = s, time.Now()
	return c.status.Since
}

func (c *component) recordFailure(err error, startedAt time.Time) {
	failedAt := c.setState(Failed)
	c.mu.Lock()
	if failedAt.Sub(startedAt) >= stableRunTime {
		c.backoff.Reset()
	}
	c.delay = c.backoff.NextBackOff()
	delay := c.delay
	c.mu.Unlock()
	fields := []zap.Field{zap.String("part", c.status.Name), zap.Duration("delay", delay), zap.Error(err)}
	var panicked *PanicError
	if errors.As(err, &panicked) {
		fields = append(fields, zap.String("stack", panicked.Stack))
	}
	c.tree.log.Error("component failed", fields...)
}

func (c *component) currentStatus() Component {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.status
}
