package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"sesamehill.example/sesamehill/internal/target"
)

// Ran tells the caller whether a refused request may have run.
type Ran string

// Values of Ran. RanNo guarantees that no part of the request ran or will run.
const (
	RanNo      Ran = "no"
	RanUnknown Ran = "unknown"
)

// Kind is the type of an error in the OpenAI error format.
type Kind string

// Kinds of errors.
const (
	KindAuthentication Kind = "authentication_error"
	KindBroken         Kind = "broken_error"
	KindConflict       Kind = "conflict_error"
	KindInternal       Kind = "server_error"
	KindInvalid        Kind = "invalid_request_error"
	KindNotFound       Kind = "not_found_error"
	KindOverloaded     Kind = "overloaded_error"
	KindRateLimit      Kind = "rate_limit_error"
)

// RefusalError is an error that is sent to the caller unchanged.
type RefusalError struct {
	// Status is the HTTP status.
	Status  int
	Kind    Kind
	Message string
	// Param names the request option that caused the error, if there is one.
	Param string
	Run   Ran
	// Retry is the delay after which the caller should retry. Zero omits the
	// Retry-After header.
	Retry time.Duration
}

// Error returns the status, the reason and whether the request may have run.
func (e *RefusalError) Error() string {
	return fmt.Sprintf("refused with status %d (run %q): %s", e.Status, e.Run, e.Message)
}

// Invalid returns the refusal of a malformed request.
func Invalid(param, format string, args ...any) *RefusalError {
	return &RefusalError{
		Status: http.StatusBadRequest, Kind: KindInvalid, Param: param,
		Message: fmt.Sprintf(format, args...), Run: RanNo,
	}
}

// NotFound returns the refusal of a request for an object that does not exist for
// the account.
func NotFound(param, format string, args ...any) *RefusalError {
	return &RefusalError{
		Status: http.StatusNotFound, Kind: KindNotFound, Param: param,
		Message: fmt.Sprintf(format, args...), Run: RanNo,
	}
}

// refusal converts any error to the refusal that is sent to the caller. Only a
// RefusalError keeps its text, because other texts may quote a prompt.
func refusal(err error) *RefusalError {
	var r *RefusalError
	if errors.As(err, &r) {
		return r
	}
	var (
		broken  *target.BrokenError
		notRun  *target.NotRunError
		missing *target.MissingError
	)
	switch {
	case errors.As(err, &broken), errors.As(err, &notRun), errors.As(err, &missing):
		return &RefusalError{
			Status: http.StatusBadGateway, Kind: KindBroken, Run: RanUnknown,
			Message: "the target failed before the response was complete; retry the request if it is idempotent",
		}
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return &RefusalError{
			Status: http.StatusBadGateway, Kind: KindBroken, Run: RanUnknown,
			Message: "the response was aborted by a deadline or a shutdown; retry the request if it is idempotent",
		}
	}
	return &RefusalError{
		Status: http.StatusInternalServerError, Kind: KindInternal, Run: RanUnknown,
		Message: "the host failed to handle the request; retry the request if it is idempotent",
	}
}

// errorBody is an error in the OpenAI format with the additional field run.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string  `json:"message"`
	Type    Kind    `json:"type"`
	Param   *string `json:"param"`
	Code    *string `json:"code"`
	Run     Ran     `json:"run"`
}

func (e *RefusalError) body() errorBody {
	d := errorDetail{Message: e.Message, Type: e.Kind, Run: e.Run}
	if d.Run != RanNo {
		d.Run = RanUnknown
	}
	if e.Param != "" {
		d.Param = &e.Param
	}
	return errorBody{Error: d}
}
