package client

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strconv"

	jerrors "github.com/juju/errors"

	"sesamehill.example/sesamehill/internal/calls"
	"sesamehill.example/sesamehill/pkg/config"
	"sesamehill.example/sesamehill/pkg/opapi"
)

// Operator is a client of the operators' API. It is safe for concurrent use. Its
// errors are those of package opapi, *config.FaultsError, *RefusalError and
// *UnreachableError.
type Operator struct {
	*hostSet
}

// NewOperator returns an Operator that uses the hosts at the given admin
// addresses, with an operator's key.
func NewOperator(addresses []string, key string, opts ...Option) *Operator {
	return &Operator{hostSet: newHostSet(addresses, key, opts)}
}

// Document returns the configuration document that is in force at one host.
func (o *Operator) Document(ctx context.Context) (opapi.Document, error) {
	var v opapi.Document
	return v, o.get(ctx, "/api/document", nil, &v)
}

// Preview checks a document and compares it with the one in force.
func (o *Operator) Preview(ctx context.Context, text string) (opapi.Preview, error) {
	var v opapi.Preview
	return v, o.post(ctx, "/api/preview", opapi.Document{Text: text}, &v)
}

// Commit commits a configuration document. If the outcome is unknown, it resends
// the change with the same ID, which applies it at most once. It returns an
// *opapi.UnknownOutcomeError only if no attempt had a known outcome. Before each
// retry it calls onRetry, which may be nil, with the error of the last attempt.
func (o *Operator) Commit(ctx context.Context, c opapi.Commit, onRetry func(error)) (opapi.CommitResult, error) {
	retries := o.newRetrier()
	mayBeAccepted := false
	for {
		var v opapi.CommitResult
		err := o.attempt(ctx, http.MethodPost, "/api/document", nil, c, &v)
		if err == nil {
			return v, nil
		}
		var unknown *opapi.UnknownOutcomeError
		var unavailable *opapi.UnavailableError
		var unreachable *UnreachableError
		switch {
		case errors.As(err, &unknown):
			mayBeAccepted = true
		case errors.As(err, &unreachable):
			mayBeAccepted = mayBeAccepted || unreachable.MaybeSent
		case errors.As(err, &unavailable):
		default:
			return v, err
		}
		if !retries.wait(ctx, 0) {
			if mayBeAccepted && unknown == nil {
				return v, &opapi.UnknownOutcomeError{ID: c.ID, Reason: err.Error()}
			}
			return v, err
		}
		if onRetry != nil {
			onRetry(err)
		}
	}
}

// History returns up to limit changes, the newest first.
func (o *Operator) History(ctx context.Context, limit int) ([]opapi.Change, error) {
	var v []opapi.Change
	return v, o.get(ctx, "/api/history", url.Values{"limit": {strconv.Itoa(limit)}}, &v)
}

// Status returns the revisions in force and whether the platform is reachable.
func (o *Operator) Status(ctx context.Context) (opapi.Status, error) {
	var v opapi.Status
	return v, o.get(ctx, "/api/status", nil, &v)
}

// Hosts returns the known hosts.
func (o *Operator) Hosts(ctx context.Context) ([]opapi.Host, error) {
	var v []opapi.Host
	return v, o.get(ctx, "/api/hosts", nil, &v)
}

// Targets returns the known targets.
func (o *Operator) Targets(ctx context.Context) ([]opapi.Target, error) {
	var v []opapi.Target
	return v, o.get(ctx, "/api/targets", nil, &v)
}

// Links returns the links between regions.
func (o *Operator) Links(ctx context.Context) ([]opapi.Link, error) {
	var v []opapi.Link
	return v, o.get(ctx, "/api/links", nil, &v)
}

// Vars returns the metrics of one host.
func (o *Operator) Vars(ctx context.Context) (opapi.Vars, error) {
	var v opapi.Vars
	return v, o.get(ctx, "/api/vars", nil, &v)
}

// Rollout returns the progress of a model towards its configured version.
func (o *Operator) Rollout(ctx context.Context, model string) (opapi.Rollout, error) {
	var v opapi.Rollout
	return v, o.get(ctx, "/api/rollout", url.Values{"model": {model}}, &v)
}

// Drain drains a host or target: it gets no new work.
func (o *Operator) Drain(ctx context.Context, kind opapi.DrainKind, name string) error {
	return o.post(ctx, "/api/drain", opapi.DrainOrder{Kind: kind, Name: name}, nil)
}

// State returns the state dump of one host as JSON.
func (o *Operator) State(ctx context.Context) (json.RawMessage, error) {
	var v json.RawMessage
	return v, o.get(ctx, "/state", nil, &v)
}

func (o *Operator) get(ctx context.Context, path string, q url.Values, v any) error {
	return o.retry(ctx, http.MethodGet, path, q, nil, v)
}

func (o *Operator) post(ctx context.Context, path string, body, v any) error {
	return o.retry(ctx, http.MethodPost, path, nil, body, v)
}

// retry makes a call that any host can answer and that is safe to repeat.
func (o *Operator) retry(ctx context.Context, method, path string, q url.Values, body, v any) error {
	retries := o.newRetrier()
	for {
		err := o.attempt(ctx, method, path, q, body, v)
		var unreachable *UnreachableError
		if !errors.As(err, &unreachable) || !retries.wait(ctx, 0) {
			return err
		}
	}
}

func (o *Operator) attempt(ctx context.Context, method, path string, q url.Values, body, v any) error {
	pool, err := o.nextPool()
	if err != nil {
		return err
	}
	request := calls.Request{Method: method, Path: path, Query: q.Encode(), Header: o.header(nil)}
	if body != nil {
		request.ContentType = jsonContentType
		if request.Body, err = json.Marshal(body); err != nil {
			return jerrors.Annotate(err, "encode the request body")
		}
	}
	reply, err := pool.Do(ctx, request)
	if err != nil {
		return &UnreachableError{MaybeSent: maybeSent(err), Err: err}
	}
	if reply.Status != http.StatusOK {
		return operatorError(reply, body)
	}
	if v == nil {
		return nil
	}
	return jerrors.Annotatef(json.Unmarshal(reply.Body, v), "decode the response of %s", path)
}

// operatorError returns the typed error of a response with an error status.
func operatorError(r calls.Reply, body any) error {
	var b opapi.ErrorBody
	if json.Unmarshal(r.Body, &b) != nil || b.Error.Message == "" {
		return newRefusalError(r)
	}
	d := b.Error
	switch d.Kind {
	case opapi.KindConflict:
		e := &opapi.ConflictError{}
		if d.Change != nil {
			e.Other = *d.Change
		}
		if c, ok := body.(opapi.Commit); ok {
			e.Base = c.Base
		}
		return e
	case opapi.KindUnknown:
		return &opapi.UnknownOutcomeError{ID: d.ID, Reason: d.Reason}
	case opapi.KindUnavailable:
		return &opapi.UnavailableError{Reason: d.Reason}
	case opapi.KindFaults:
		return &config.FaultsError{File: "document", Faults: d.Faults}
	}
	return &RefusalError{Status: r.Status, Kind: string(d.Kind), Message: d.Message}
}
