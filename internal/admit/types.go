package admit

import "time"

// Event is the outcome of a request so far: Queued, Started or Refused.
type Event interface{ event() }

// Queued means that the request waits; a later Next starts or refuses it.
type Queued struct{ ID uint64 }

// Reason is the cause of a refusal.
type Reason string

// Reasons of a refusal. The account itself causes AccountLimit and QueueShare
// (status 429); the host causes Overload and QueueFull (503).
const (
	// AccountLimit means that the account's own limits delay the request beyond
	// its deadline.
	AccountLimit Reason = "account limit"
	// Overload means that the host cannot start the request before its deadline.
	Overload Reason = "overload"
	// QueueFull means that the host's queue is full of other accounts' requests.
	QueueFull Reason = "queue full"
	// QueueShare means that the queue is full and the account holds the largest
	// part of it.
	QueueShare Reason = "largest part of a full queue"
	// UnknownAccount means that the current configuration document has no such
	// account.
	UnknownAccount Reason = "unknown account"
)

// Refused means that the request was rejected and has not run.
type Refused struct {
	ID     uint64
	Reason Reason
	// RetryAfter is the delay before the caller may retry.
	RetryAfter time.Duration
}

// Report is one host's demand by account in requests a second.
type Report struct {
	Host   string             `json:"host" cbor:"host"`
	At     time.Time          `json:"at" cbor:"at"`
	Demand map[string]float64 `json:"demand" cbor:"demand"`
}

// Request describes a request to admit.
type Request struct {
	ID      uint64
	Account string
	// Tokens is the cost of the request in prompt tokens.
	Tokens   int
	Priority int
	// Deadline is the latest acceptable start; every request has one.
	Deadline time.Time
}

// Started means that the request may be dispatched.
type Started struct{ ID uint64 }

func (Queued) event()  {}
func (Refused) event() {}
func (Started) event() {}
