package gate

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/site"
)

// Part is a part of a prompt, known by its ID.
type Part struct {
	ID     string
	Tokens int
}

// Prompt is what a request asks of a model.
type Prompt struct {
	Model string
	Parts []Part
	// In and Out are the tokens of the prompt and the most that may be generated.
	In, Out int
}

// Shared returns the parts that other requests may have in common.
func (p *Prompt) Shared() []Part {
	if len(p.Parts) == 0 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}

// Call is a caller's request.
type Call struct {
	ID     string
	Method string
	URL    *url.URL
	Host   string
	// Key is the caller's key; empty if there is none.
	Key string
	// Wait is how long the caller waits; zero if it did not say.
	Wait time.Duration
	// LastEvent is the last event that the caller has; empty at the start.
	LastEvent string
	Prompt    *Prompt
	// Header holds what is passed on as it came.
	Header http.Header
	Body   []byte
	// Arrived is the boot time of arrival.
	Arrived time.Duration
}

// Send is one attempt of a call at a target.
type Send struct {
	Call    *Call
	Target  fleet.Target
	Account string
	// Left is how long the target may take.
	Left      time.Duration
	LastEvent string
	Priority  int
	State     *State
}

// State says how an attempt uses kept prompt state.
type State struct {
	// Scope separates kept state that must not be shared.
	Scope string
	// Version is the weight version that the target must have.
	Version int
	// Fetch and Save name a store for each part of the prompt; empty for none.
	Fetch []string
	Save  []string
	// Until is the end of the fetch on the targets' clock; zero without a fetch.
	Until int64
	// FetchMs is the expected time of the fetch.
	FetchMs float64
	// Again counts the shared tokens that are read.
	Again Again
}

// Reply is what a target's answer says besides its body.
type Reply struct {
	Status int
	// Header holds what is passed back to the caller.
	Header http.Header
	// Own tells that the answer belongs to the request that was sent.
	Own bool
	// NotRun is the target's word that it did not run the request.
	NotRun bool
	// Sealed answers carry the target's signature, Encoded ones are not in the
	// form that was asked for.
	Sealed  bool
	Encoded bool
	// Replaced tells that another target, or another start of it, has the address.
	Replaced bool
	// Elsewhere tells that another target, or another start, has the address or
	// that the weights differ.
	Elsewhere bool
	Load      *fleet.Load
	// Version is the weight version that ran; zero if it is not stated.
	Version int
}

// Codec translates calls and replies.
type Codec interface {
	// ReadCall reads everything but the body.
	ReadCall(r *http.Request) (Call, error)
	// Request makes the request of an attempt.
	Request(ctx context.Context, s Send) (*http.Request, error)
	ReadReply(s Send, resp *http.Response) Reply
}

// Keeper decides how an attempt uses kept prompt state.
type Keeper interface {
	// Look returns what is known about the shared parts of a prompt.
	Look(p *Prompt, scope string) Holdings
	// FetchMs returns the time to fetch a number of tokens from a near store.
	FetchMs(tokens int) float64
	// Fetched notes the time to the first event after a fetch from addresses.
	Fetched(addresses []string, expectedMs float64, took time.Duration)
	// Plan returns the state of an attempt that is about to be sent.
	Plan(p *Prompt, scope string, version int, t fleet.Target) *State
	// Scope returns the scope of an account's state under a weight version.
	Scope(model string, version int, account *site.Account) string
}

// Holdings is what is known about the shared parts of one prompt.
type Holdings interface {
	// Weigh returns how many of the shared tokens a target is expected to hold, how
	// many a fetch brings, and how long the fetch takes in milliseconds.
	Weigh(t fleet.Target) (resident, stored int, fetchMs float64)
}

// Weights tells which weights have been named and which engines load them.
type Weights interface {
	// Behind returns how long weights newer than a version have been named; false if
	// none have.
	Behind(model string, version int) (time.Duration, bool)
	// Loading reports whether a target is about to change its weights.
	Loading(target string) bool
}

// CallError says why a caller's request cannot be used.
type CallError struct {
	Status  int
	Problem string
}

// Error names the problem and the remedy.
func (e *CallError) Error() string {
	return fmt.Sprintf("request: %s; correct it before sending it again", e.Problem)
}
