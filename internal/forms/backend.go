package forms

import (
	"context"

	"sesamehill.example/sesamehill/pkg/config"
	"sesamehill.example/sesamehill/pkg/opapi"
)

// Backend is the host behind the forms. Its methods are called from any
// goroutine.
type Backend interface {
	// Document returns the document in force at this host and its revision.
	// Nobody changes the document any more.
	Document() (revision uint64, d *config.Document)
	// Commit makes d the next revision, if base is the newest one. The document
	// has been checked. A repeated id returns the revision of the first commit
	// with that id. The error is an *opapi.ConflictError, an
	// *opapi.UnknownOutcomeError if the commit may have taken effect, or an
	// *opapi.UnavailableError if it certainly did not.
	Commit(ctx context.Context, base uint64, d *config.Document, id, author string) (revision uint64, err error)
	// History returns the newest changes first.
	History(ctx context.Context, limit int) ([]opapi.Change, error)
	Status(ctx context.Context) (opapi.Status, error)
	Hosts(ctx context.Context) ([]opapi.Host, error)
	Targets(ctx context.Context) ([]opapi.Target, error)
	Links(ctx context.Context) ([]opapi.Link, error)
	// Drain tells a host or target to take no new work. It returns once the order
	// is accepted; the error for an unknown name is an *opapi.MissingError.
	Drain(ctx context.Context, kind opapi.DrainKind, name string) error
	// Rollout returns the progress of a model's version, as the document in force
	// states it; the error for an unknown model is an *opapi.MissingError.
	Rollout(ctx context.Context, model string) (opapi.Rollout, error)
	// Vars returns the three measures of this host.
	Vars() opapi.Vars
}
