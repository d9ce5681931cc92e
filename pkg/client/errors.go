package client

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"sesamehill.example/sesamehill/internal/calls"
)

// IncompleteError reports that an answer ended before it was complete. The tokens
// that Next returned before this error are valid.
type IncompleteError struct {
	// RunID is the ID of the run, as in the event IDs, or empty if no event was
	// received.
	RunID  string
	Reason string
	Err    error
}

// Error names the run and the reason.
func (e *IncompleteError) Error() string {
	subject := "the answer"
	if e.RunID != "" {
		subject = "the answer of run " + e.RunID
	}
	return fmt.Sprintf("%s is incomplete (%s); repeat the request if it is safe to run twice", subject, e.Reason)
}

// Unwrap returns the error of the last attempt, if there is one.
func (e *IncompleteError) Unwrap() error { return e.Err }

// UnreachableError reports that no host answered the request.
type UnreachableError struct {
	// MaybeSent reports whether a host may have received the request.
	MaybeSent bool
	Err       error
}

// Error names the last error and whether the request may have run.
func (e *UnreachableError) Error() string {
	execution := "it did not run"
	if e.MaybeSent {
		execution = "it may have run"
	}
	return fmt.Sprintf("no host answered the request, so %s (%v); check the addresses of the hosts", execution, e.Err)
}

// Unwrap returns the error of the last attempt.
func (e *UnreachableError) Unwrap() error { return e.Err }

// RefusalError is a response with an error status.
type RefusalError struct {
	Status  int
	Kind    string
	Message string
	// NotRun is true if the host states that the request did not run.
	NotRun bool
	// RetryAfter is the time after which a retry may succeed; 0 means never.
	RetryAfter time.Duration
}

// Error names the status, the reason and whether the request ran.
func (e *RefusalError) Error() string {
	execution := "outcome unknown"
	if e.NotRun {
		execution = "not run"
	}
	return fmt.Sprintf("rejected with status %d (%s): %s", e.Status, execution, e.Message)
}

// errorBody is the error body of the OpenAI API with the additional field run.
type errorBody struct {
	Error struct {
		Message string `json:"message"`
		Type    string `json:"type"`
		Run     string `json:"run"`
	} `json:"error"`
}

// newRefusalError decodes a response with an error status.
func newRefusalError(r calls.Reply) *RefusalError {
	e := &RefusalError{Status: r.Status, Message: "the response has no error message"}
	var b errorBody
	if json.Unmarshal(r.Body, &b) == nil && b.Error.Message != "" {
		e.Kind, e.Message, e.NotRun = b.Error.Type, b.Error.Message, b.Error.Run == "no"
	}
	if n, err := strconv.Atoi(r.Header["Retry-After"]); err == nil && n >= 0 {
		e.RetryAfter = time.Duration(n) * time.Second
	}
	return e
}

// retryDelay returns the time to wait before a retry; e may be nil.
func (e *RefusalError) retryDelay() time.Duration {
	if e == nil {
		return 0
	}
	return e.RetryAfter
}
