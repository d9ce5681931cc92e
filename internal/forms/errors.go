package forms

import (
	"context"
	"errors"
	"net/http"

	"sesamehill.example/sesamehill/pkg/config"
	"sesamehill.example/sesamehill/pkg/opapi"
)

// inputError reports a malformed request to the API or the console.
type inputError struct {
	problem string
}

func (e *inputError) Error() string { return e.problem }

// errorResponse returns the response status and body for an error. Only typed errors
// keep their message.
func errorResponse(err error) (int, opapi.ErrorDetail) {
	var (
		conflict    *opapi.ConflictError
		unknown     *opapi.UnknownOutcomeError
		unavailable *opapi.UnavailableError
		missing     *opapi.MissingError
		faults      *config.FaultsError
		input       *inputError
	)
	switch {
	case errors.As(err, &conflict):
		return http.StatusConflict, opapi.ErrorDetail{
			Kind: opapi.KindConflict, Message: conflict.Error(), Change: &conflict.Other,
		}
	case errors.As(err, &unknown):
		return http.StatusGatewayTimeout, opapi.ErrorDetail{
			Kind: opapi.KindUnknown, Message: unknown.Error(), Reason: unknown.Reason, ID: unknown.ID,
		}
	case errors.As(err, &unavailable):
		return http.StatusServiceUnavailable, opapi.ErrorDetail{
			Kind: opapi.KindUnavailable, Message: unavailable.Error(), Reason: unavailable.Reason,
		}
	case errors.As(err, &missing):
		return http.StatusNotFound, opapi.ErrorDetail{Kind: opapi.KindMissing, Message: missing.Error()}
	case errors.As(err, &faults):
		return http.StatusUnprocessableEntity, opapi.ErrorDetail{
			Kind: opapi.KindFaults, Message: "the document has faults", Faults: faults.Faults,
		}
	case errors.As(err, &input):
		return http.StatusBadRequest, opapi.ErrorDetail{Kind: opapi.KindInvalid, Message: input.problem}
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return http.StatusServiceUnavailable, opapi.ErrorDetail{
			Kind: opapi.KindUnavailable, Message: "the platform or another host did not answer in time; try again later",
			Reason: "the platform or another host did not answer in time",
		}
	}
	return http.StatusInternalServerError, opapi.ErrorDetail{
		Kind: opapi.KindInternal, Message: "the host failed to handle the call; see the host's log",
	}
}

// commit commits a document through the backend. It reports any error that does
// not state the outcome as an unknown outcome, because the change may have been
// accepted.
func (f *Forms) commit(ctx context.Context, base uint64, d *config.Document, id, author string) (uint64, error) {
	ctx, cancel := withCallTimeout(ctx)
	defer cancel()
	revision, err := f.backend.Commit(ctx, base, d, id, author)
	if err == nil {
		return revision, nil
	}
	var (
		conflict    *opapi.ConflictError
		unknown     *opapi.UnknownOutcomeError
		unavailable *opapi.UnavailableError
		faults      *config.FaultsError
	)
	if errors.As(err, &conflict) || errors.As(err, &unknown) || errors.As(err, &unavailable) || errors.As(err, &faults) {
		return 0, err
	}
	return 0, &opapi.UnknownOutcomeError{ID: id, Reason: "the host reported no outcome of the commit"}
}
