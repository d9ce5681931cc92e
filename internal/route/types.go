package route

import (
	"time"

	"sesamehill.example/sesamehill/internal/target"
)

// Candidate is an engine that may run the request.
type Candidate struct {
	Target  string
	Leaving bool
	// Loaded lists the model versions that the engine serves.
	Loaded []target.Loaded
	// Reported is the time of the load report; zero means that there is none.
	Reported time.Time
	// Running and Waiting count runs at the time of the report; Tokens counts
	// prompt tokens that waited for prefill.
	Running int
	Waiting int
	Tokens  int
	// Sent and SentTokens count the caller's own dispatches since the report and
	// their unmatched prompt tokens.
	Sent       int
	SentTokens int
	// Prefill and Decode are the engine's rates in tokens a second.
	Prefill float64
	Decode  float64
	// Resident is the number of leading blocks in the engine's cache.
	Resident int
	// Sources are the stores that the engine can import from. Candidates of the
	// same availability zone may share the slice.
	Sources []Source
}

// Decision is the outcome of Place: Resident, Recompute, Import, Forward or
// Refuse.
type Decision interface{ decision() }

// Estimate is the expected outcome of a placement.
type Estimate struct {
	// Cost is the weighted cost that Place compared.
	Cost float64
	// FirstToken is the expected time to the first token.
	FirstToken time.Duration
	// Recomputed is the number of prompt tokens that the target computes.
	Recomputed int
	// LinkBytes is the number of bytes that cross links between regions.
	LinkBytes int64
}

// Forward sends the request to a host of another region.
type Forward struct {
	Host   string
	Region string
	Estimate
}

// Import copies the blocks [From, To) from a store to the engine before the
// dispatch.
type Import struct {
	Target string
	Store  string
	From   int
	To     int
	Estimate
}

// Link describes a network path as the caller has measured it.
type Link struct {
	// Rate is the measured rate in bytes a second; a path without a positive
	// rate is not used.
	Rate float64
	// Queued is the number of bytes that are sent before a new transfer.
	Queued int64
	// Delay is the one-way delay.
	Delay time.Duration
}

// Peer is a host of another region that accepts forwarded requests.
type Peer struct {
	Host    string
	Region  string
	Leaving bool
	// Reported is the time of the region's summary.
	Reported time.Time
	// Wait is the region's best estimate of the queue at the engine that it
	// would choose, Prefill is that engine's rate in tokens a second, and
	// Matched is the number of leading blocks that the engine need not compute.
	Wait    time.Duration
	Prefill float64
	Matched int
	// Link is the path to the peer, and Import the path from its region's stores
	// to its engines. If Import has no rate, the matched blocks count as resident.
	Link   Link
	Import Link
}

// Reach is the network distance between a store and an engine.
type Reach uint8

// Reach values, nearest first.
const (
	InZone Reach = iota
	OtherZone
	OverLink
)

// Reason is the cause of a refusal.
type Reason string

// Reasons of a refusal.
const (
	// NoTarget means that no engine serves the model version.
	NoTarget Reason = "no target"
	// Overloaded means that every engine's queue exceeds the request's limit.
	Overloaded Reason = "overloaded"
)

// Recompute dispatches to an engine that holds no block of the prompt.
type Recompute struct {
	Target string
	Estimate
}

// Refuse rejects the request; no part of it has run.
type Refuse struct {
	Reason Reason
	// RetryAfter is the delay before the caller may retry.
	RetryAfter time.Duration
}

// Request holds the properties of a request that Place compares.
type Request struct {
	Model   string
	Version string
	Adapter string
	// Tokens is the length of the prompt, BlockTokens the number of tokens in a
	// block, and BlockBytes the size of a block's KV cache.
	Tokens      int
	BlockTokens int
	BlockBytes  int64
	// Text and ReplyBytes are the sizes in bytes of the request and of its expected
	// response, both of which cross the link when the request is forwarded.
	Text       int64
	ReplyBytes int64
	// MaxWait is the longest acceptable time before the prefill starts; zero means
	// no limit.
	MaxWait time.Duration
	// Deadline is the latest acceptable time of the first token; zero means none.
	Deadline time.Time
	// Excluded names targets and hosts that must not get the request.
	Excluded []string
	// NoForward keeps the request in this region. It is set for a request that was
	// already forwarded.
	NoForward bool
}

// Resident dispatches to an engine that holds the leading blocks.
type Resident struct {
	Target string
	Blocks int
	Estimate
}

// Source is a store that holds the blocks [First, End) of the prompt.
type Source struct {
	Store string
	First int
	End   int
	Reach Reach
	Link  Link
}

func (Forward) decision()   {}
func (Import) decision()    {}
func (Recompute) decision() {}
func (Refuse) decision()    {}
func (Resident) decision()  {}
