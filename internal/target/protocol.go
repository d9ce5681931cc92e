package target

import (
	"fmt"
	"net/http"

	"github.com/cloudwego/hertz/pkg/common/json"

	"sesamehill.example/sesamehill/pkg/chain"
)

// Headers of the protocols of engines and plain services.
const (
	// HeaderAccount carries the client account of a call or a resumed run.
	HeaderAccount = "X-Account"
	// HeaderAttempt carries the attempt ID of a call of a plain service.
	HeaderAttempt = "X-Attempt"
	// HeaderRan is set to "no" by a plain service that rejects a call before it
	// runs anything. Without it every answer counts as a run.
	HeaderRan = "X-Ran"
)

// Code states why a target refused a request.
type Code string

// Codes of refusals.
const (
	CodeFencingToken Code = "fence"
	CodeMissing      Code = "missing"
	CodePinned       Code = "pinned"
	CodeRefused      Code = "refused"
)

// Refusal is the body of a reply with a status of 400 or above, except 500, 502
// and 504, after which the outcome of the request is unknown.
type Refusal struct {
	Code          Code   `json:"code"`
	Reason        string `json:"reason,omitempty"`
	Key           string `json:"key,omitempty"`
	SentToken     uint64 `json:"sent,omitempty"`
	AcceptedToken uint64 `json:"accepted,omitempty"`
}

// PinRequest is the body of a request for a pin at a store.
type PinRequest struct {
	// TTLMillis is the time to live in milliseconds.
	TTLMillis int64 `json:"millis"`
}

// BlockAnnouncement announces to a store that a KV block will be written.
type BlockAnnouncement struct {
	Account  string    `json:"account"`
	ShardKey chain.Key `json:"first"`
	// Length is the number of bytes that the store reserves.
	Length int64 `json:"length"`
}

// WriteStarted is a store's reply to a BlockAnnouncement.
type WriteStarted struct {
	Generation uint64 `json:"generation"`
}

// CommitRequest commits a KV block after its last byte was written. The store
// verifies length and checksum.
type CommitRequest struct {
	Generation uint64 `json:"generation"`
	Length     int64  `json:"length"`
	// Checksum is the BLAKE3 hash of the bytes in hexadecimal.
	Checksum string `json:"checksum"`
}

// refusal converts an unsuccessful reply to a typed error.
func refusal(name string, status int, body []byte) error {
	var r Refusal
	if err := json.Unmarshal(body, &r); err != nil {
		r = Refusal{Code: CodeRefused}
	}
	reason := fmt.Sprintf("status %d", status)
	if r.Reason != "" {
		reason += ": " + r.Reason
	}
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout:
		return &BrokenError{Target: name, Reason: reason}
	}
	if status < http.StatusBadRequest {
		return &BrokenError{Target: name, Reason: reason}
	}
	switch r.Code {
	case CodeFencingToken:
		return &FencingTokenError{Target: name, Sent: r.SentToken, Accepted: r.AcceptedToken}
	case CodeMissing:
		return &MissingError{Target: name, What: r.Reason}
	case CodePinned:
		return &PinnedError{Target: name, Key: r.Key}
	}
	return &NotRunError{Target: name, Reason: reason}
}
