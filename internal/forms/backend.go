package forms

import (
	"context"

	"sesamehill.example/sesamehill/pkg/config"
	"sesamehill.example/sesamehill/pkg/opapi"
)

// Backend is the host that the forms read from and write to. Its methods must be
// safe for concurrent use.
type Backend interface {
	// Document returns the configuration document in force at this host and its
	// revision. The document must not be modified after it has been returned.
	Document() (revision uint64, d *config.Document)
	// Commit makes d the next revision, if base is the newest one. The caller has
	// validated d. A repeated id returns the revision of the first commit with
	// that id. The error is an *opapi.ConflictError, an
	// *opapi.UnknownOutcomeError if the commit may have taken effect, or an
	// *opapi.UnavailableError if it certainly did not.
	Commit(ctx context.Context, base uint64, d *config.Document, id, author string) (revision uint64, err error)
	// History returns up to limit changes, newest first.
	History(ctx context.Context, limit int) ([]opapi.Change, error)
	Status(ctx context.Context) (opapi.Status, error)
	Hosts(ctx context.Context) ([]opapi.Host, error)
	Targets(ctx context.Context) ([]opapi.Target, error)
	Links(ctx context.Context) ([]opapi.Link, error)
	// Drain orders a host or target to accept no new work. It returns once the
	// order is accepted. The error for an unknown name is an *opapi.MissingError.
	Drain(ctx context.Context, kind opapi.DrainKind, name string) error
	// Rollout returns how many targets have loaded the model version that the
	// document in force requires. The error for an unknown model is an *opapi.MissingError.
	Rollout(ctx context.Context, model string) (opapi.Rollout, error)
	// Vars returns the three metrics that this host measures: time to first token,
	// recomputed share and use of the busiest link.
	Vars() opapi.Vars
}
