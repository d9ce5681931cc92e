package idem

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"sesamehill.example/sesamehill/internal/target"
)

// State is the state of an idempotency record.
type State string

// States of an idempotency record.
const (
	// Dispatched means that the host may have dispatched the request.
	Dispatched State = "dispatched"
	// Completed means that the request ran; Record.Answer holds its answer
	// unless Record.Large is set.
	Completed State = "answered"
	// Released means that the host never ran the request and never will.
	Released State = "released"
)

// Record is an idempotency record, the value of a row.
type Record struct {
	State       State  `cbor:"state" json:"state"`
	Fence       string `cbor:"fence" json:"fence"`
	Fingerprint string `cbor:"print" json:"print"`
	// At is the wall-clock time of the write in milliseconds since 1970.
	At     int64         `cbor:"at" json:"at"`
	Answer target.Answer `cbor:"answer,omitzero" json:"answer,omitzero"`
	// Large is true if the answer was too large to be recorded.
	Large bool `cbor:"large,omitempty" json:"large,omitempty"`
}

// RecordError reports a row that does not hold a valid record.
type RecordError struct {
	Problem string
}

// Error names the problem and the remedy.
func (e *RecordError) Error() string {
	return fmt.Sprintf("idempotency record: %s; treat the outcome as unknown", e.Problem)
}

// Check returns a *RecordError if the record is invalid.
func (r Record) Check() error {
	switch r.State {
	case Dispatched, Completed, Released:
	default:
		return &RecordError{Problem: fmt.Sprintf("state %q is not defined", r.State)}
	}
	if r.Fence == "" || r.Fingerprint == "" {
		return &RecordError{Problem: "fencing token or fingerprint is missing"}
	}
	return nil
}

// Encode returns the row value of the record.
func (r Record) Encode() []byte {
	b, err := cbor.Marshal(r)
	if err != nil {
		// Strings, numbers, byte slices and a map of strings always encode.
		panic(err)
	}
	return b
}

// DecodeRecord decodes and checks a row value.
func DecodeRecord(b []byte) (Record, error) {
	var r Record
	if err := cbor.Unmarshal(b, &r); err != nil {
		return Record{}, errors.Annotate(&RecordError{Problem: err.Error()}, "decode")
	}
	return r, errors.Trace(r.Check())
}

// Expired reports whether the row may be deleted. The retention has then passed
// even if the clock that gave now is ahead by up to clockSlack.
func (r Record) Expired(now time.Time, retention time.Duration) bool {
	return now.Sub(time.UnixMilli(r.At)) > retention+clockSlack
}
