package opapi

import (
	"fmt"
	"time"

	"sesamehill.example/sesamehill/pkg/config"
)

// ErrorKind is the kind of an error response.
type ErrorKind string

// Kinds of error responses.
const (
	KindAuthentication ErrorKind = "authentication"
	KindConflict       ErrorKind = "conflict"
	KindFaults         ErrorKind = "faults"
	KindInternal       ErrorKind = "internal"
	KindInvalid        ErrorKind = "invalid"
	KindMissing        ErrorKind = "missing"
	KindUnavailable    ErrorKind = "unavailable"
	KindUnknown        ErrorKind = "unknown"
)

// ErrorBody is the body of every response with an error status.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is one error. Change is set for a conflict, ID for an unknown
// outcome, and Faults for an invalid configuration document. Reason is set for an
// unknown outcome and for an unavailable platform or host; Message contains it.
type ErrorDetail struct {
	Kind    ErrorKind      `json:"kind"`
	Message string         `json:"message"`
	Reason  string         `json:"reason,omitempty"`
	Change  *Change        `json:"change,omitempty"`
	ID      string         `json:"id,omitempty"`
	Faults  []config.Fault `json:"faults,omitempty"`
}

// ConflictError reports that another change was accepted after the base revision
// of this one. Nothing was changed.
type ConflictError struct {
	Base  uint64
	Other Change
}

// Error names the other change and the remedy.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the change is based on revision %d, but %s committed revision %d at %s (change %s); "+
		"review the difference and apply the change again to revision %d",
		e.Base, e.Other.Author, e.Other.Revision, e.Other.Time.UTC().Format(time.RFC3339), e.Other.ID, e.Other.Revision)
}

// UnknownOutcomeError reports that a change may or may not have been accepted.
type UnknownOutcomeError struct {
	ID     string
	Reason string
}

// Error names the reason and the remedy.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("the outcome of change %s is unknown (%s); resend it with the same ID, "+
		"which applies it at most once", e.ID, e.Reason)
}

// UnavailableError reports that the operation had no effect, because the platform
// or a host cannot be reached.
type UnavailableError struct {
	Reason string
}

// Error names the reason and the remedy.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("nothing was changed (%s); try again later", e.Reason)
}

// MissingError reports that a host, target or model does not exist.
type MissingError struct {
	Kind string
	Name string
}

// Error names the missing object and the remedy.
func (e *MissingError) Error() string {
	return fmt.Sprintf("%s %q does not exist; list the existing names first", e.Kind, e.Name)
}
