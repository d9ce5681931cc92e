package idem

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/zeebo/blake3"

	"sesamehill.example/sesamehill/internal/target"
)

const (
	rowPrefix = "claim/"
	// maxKeyBytes bounds the idempotency key; common clients send a UUID.
	maxKeyBytes = 255
)

// Request identifies a non-idempotent request.
type Request struct {
	Account string
	// Key is the caller's idempotency key.
	Key string
	// Fingerprint is a hash of the whole content of the request; see the function
	// Fingerprint.
	Fingerprint string
}

// Check returns a *RequestError if the request is invalid.
func (r Request) Check() error {
	switch {
	case r.Account == "":
		return &RequestError{Field: "account", Problem: "is empty", Remedy: "authenticate the caller first"}
	case r.Key == "":
		return &RequestError{Field: "key", Problem: "is empty", Remedy: "send an Idempotency-Key header"}
	case len(r.Key) > maxKeyBytes:
		return &RequestError{
			Field:   "key",
			Problem: fmt.Sprintf("has %d bytes, more than %d", len(r.Key), maxKeyBytes),
			Remedy:  "send a shorter Idempotency-Key header, such as a UUID",
		}
	case r.Fingerprint == "":
		return &RequestError{Field: "fingerprint", Problem: "is empty", Remedy: "set it to idem.Fingerprint(call)"}
	}
	return nil
}

// RequestError reports an invalid request; nothing ran.
type RequestError struct {
	Field   string
	Problem string
	Remedy  string
}

// Error names the field, the problem and the remedy.
func (e *RequestError) Error() string {
	return fmt.Sprintf("request with idempotency key: %s %s; %s", e.Field, e.Problem, e.Remedy)
}

// Outcome is one of Answered, NotRun, Unknown and Conflict.
type Outcome interface{ outcome() }

// Answered carries the answer of the only run of the request.
type Answered struct {
	Answer target.Answer
	// Replayed is true if an earlier call caused the run.
	Replayed bool
}

// NotRun reports that this call ran nothing and never will.
type NotRun struct {
	Reason string
	// Retry is the time after which a retry may succeed.
	Retry time.Duration
}

// Unknown reports that the request may have run.
type Unknown struct {
	Reason string
}

// Conflict reports that the key was used for a request with different content.
type Conflict struct {
	Reason string
}

func (Answered) outcome() {}
func (NotRun) outcome()   {}
func (Unknown) outcome()  {}
func (Conflict) outcome() {}

// Fingerprint hashes what makes two calls the same request: account, method,
// path, query and body.
func Fingerprint(c target.Call) string {
	return hash([]byte(c.Account), []byte(c.Method), []byte(c.Path), []byte(c.Query), c.Body)
}

// rowKey hashes account and key with length prefixes, so that no two accounts
// share a row, whatever characters their names and keys contain.
func rowKey(r Request) string {
	return rowPrefix + hash([]byte(r.Account), []byte(r.Key))
}

func hash(fields ...[]byte) string {
	h := blake3.New()
	var n [8]byte
	for _, f := range fields {
		binary.BigEndian.PutUint64(n[:], uint64(len(f)))
		_, _ = h.Write(n[:])
		_, _ = h.Write(f)
	}
	return hex.EncodeToString(h.Sum(nil))
}
