package host_test

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"sesamehill.example/sesamehill/internal/watch"
	"sesamehill.example/sesamehill/pkg/client"
	"sesamehill.example/sesamehill/pkg/config"
	"sesamehill.example/sesamehill/pkg/opapi"
)

const operatorKey = "operator-key"

// backgroundCommit is a commit of the document in the background; its outcome is the
// revision or the kind of error that the operator receives.
type backgroundCommit struct {
	done    chan struct{}
	outcome string
}

// value waits for the outcome; the timeout of the operator's client bounds the wait.
func (c *backgroundCommit) value(name string) (string, error) {
	<-c.done
	if name != "outcome" {
		return "", fmt.Errorf("a commit has no property %q", name)
	}
	return c.outcome, nil
}

// commitInitialDocument commits the document of the scenario as revision 1.
func (w *world) commitInitialDocument() error {
	if w.committed {
		return nil
	}
	w.committed = true
	doc, err := config.ParseDocument("scenario.toml", []byte(w.document))
	if err != nil {
		return err
	}
	_, err = watch.New(w.platform, w.platform, nil).Commit(context.Background(), 0, doc, "first", "test")
	return err
}

// commit changes the document on a base revision through a host's API.
func (w *world) commit(args []string) error {
	e := w.hosts[args[1]]
	base, err := strconv.ParseUint(args[2], 10, 64)
	if e == nil || err != nil || len(args)%2 == 0 {
		return fmt.Errorf("want: commit ID HOST BASE OLD NEW...")
	}
	if err := w.setDocument(args[3:]); err != nil {
		return err
	}
	c, text := &backgroundCommit{done: make(chan struct{})}, w.document
	w.changes[args[0]] = c
	go func() {
		defer close(c.done)
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		v, err := w.operatorClient(e).Commit(ctx, opapi.Commit{Base: base, Text: text, ID: "change-" + args[0]}, nil)
		var conflict *opapi.ConflictError
		switch {
		case err == nil:
			c.outcome = strconv.FormatUint(v.Revision, 10)
		case errors.As(err, &conflict):
			c.outcome = "conflict:" + conflict.Other.ID
		case errors.As(err, new(*opapi.UnknownOutcomeError)):
			c.outcome = "unknown"
		case errors.As(err, new(*opapi.UnavailableError)):
			c.outcome = "unavailable"
		default:
			c.outcome = err.Error()
		}
	}()
	return nil
}

func (w *world) operatorClient(e *entry) *client.Operator {
	return client.NewOperator([]string{e.settings.Admin}, operatorKey, client.WithMaxAttempts(1))
}

// drain drains a host or target through the API of a host.
func (w *world) drain(args []string) error {
	e, kind := w.hosts[args[0]], opapi.TargetKind
	if e == nil {
		return fmt.Errorf("there is no host %q", args[0])
	}
	if w.hosts[args[1]] != nil {
		kind = opapi.HostKind
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	return w.operatorClient(e).Drain(ctx, kind, args[1])
}

// untilWithin checks that conditions hold within a time that the design requires.
func (w *world) untilWithin(args []string) error {
	limit, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	start := time.Now()
	if err := w.until(args[1:]); err != nil {
		return err
	}
	if d := time.Since(start); d > limit {
		return fmt.Errorf("%s: took %s, not %s", strings.Join(args[1:], " "), d, limit)
	}
	return nil
}
