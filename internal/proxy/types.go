package proxy

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/homes"
	"sesamehill.example/sesamehill/internal/opconf"
)

// Part is a part of a prompt. Equal parts have equal IDs in all requests.
type Part struct {
	ID     string
	Tokens int
}

// Prompt describes the prompt of a request to a model.
type Prompt struct {
	Model string
	Parts []Part
	// InputTokens is the length of the prompt, MaxOutputTokens the most that the
	// engine may generate.
	InputTokens, MaxOutputTokens int
	// PrefillMs is the measured time to prefill a token; zero if it is not known.
	PrefillMs float64
}

// Shared returns the parts that other requests may have in common: all but the last
// one.
func (p *Prompt) Shared() []Part {
	if len(p.Parts) == 0 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}

// Call is a request as the caller sent it.
type Call struct {
	ID     string
	Method string
	URL    *url.URL
	Host   string
	// Key is the API key of the caller; empty if it sent none.
	Key string
	// Timeout is how long the caller waits for the answer; zero if it did not say.
	Timeout time.Duration
	// LastEventID is the ID of the last event that the caller has received; empty
	// at the start of a stream.
	LastEventID string
	// Resumes is the ID of the caller's request that brought the first event of the
	// stream that this request goes on with; empty if the caller named none.
	Resumes string
	Prompt  *Prompt
	// Header holds the headers that are passed on unchanged.
	Header http.Header
	Body   []byte
	// Arrived is the boot time at which the request arrived.
	Arrived time.Duration
}

// Dispatch is one attempt to run a call at a target.
type Dispatch struct {
	Call    *Call
	Target  fleet.Target
	Account string
	// Remaining is the time left for the target to answer.
	Remaining   time.Duration
	LastEventID string
	Priority    int
	Plan        *CachePlan
}

// CachePlan says which KV cache entries an attempt fetches from and saves to
// stores.
type CachePlan struct {
	// Namespace separates KV cache entries that must not be shared.
	Namespace string
	// Version is the weight version that the target must run.
	Version int
	// Fetch and Save hold one store address for each part of the prompt; empty for
	// no store.
	Fetch []string
	Save  []string
	// FetchDeadlineMs is the deadline of the fetch on the clock of the targets;
	// zero without a fetch.
	FetchDeadlineMs int64
	// FetchMs is the expected duration of the fetch.
	FetchMs float64
	// Recomputed counts the tokens of shared parts that the engine has to prefill,
	// by cause.
	Recomputed RecomputeCounts
}

// Reply is what a target's response says besides its body.
type Reply struct {
	Status int
	// Header holds the headers that are passed back to the caller.
	Header http.Header
	// MatchesRequest is set if the response belongs to the request that was sent.
	// Nothing else that another response states may be used.
	MatchesRequest bool
	// Unidentified is set if the response does not name the request to which it belongs.
	// A second copy of it could be taken for the response to a later request.
	Unidentified bool
	// NotExecuted is set if the target states that it did not run the request.
	NotExecuted bool
	// Sealed is set if the response carries the seal of the target, Encoded if it
	// is not in the encoding that the request asked for.
	Sealed  bool
	Encoded bool
	// TargetReplaced is set if another target, or a restarted one, now has the
	// address.
	TargetReplaced bool
	// WrongTarget is set if another target or a restarted one has the address, or
	// if the weights of the target differ from the planned ones.
	WrongTarget bool
	Load        *fleet.Load
	// RateLimit is the number of requests a second that the target takes from all hosts
	// together; fleet.Unlimited if it names none.
	RateLimit float64
	// RefusalLimit is the number of requests that the target can refuse in a second without
	// crashing; fleet.Unlimited if it names no such limit.
	RefusalLimit float64
	// Pause is the time for which the target wants no requests of this host; zero if it
	// asks for none.
	Pause time.Duration
	// ColdFor is how long the target states that it stays cold; zero if it is not.
	ColdFor time.Duration
	// Leaving is set if the target states that it leaves.
	Leaving bool
	// Version is the weight version that ran the request; zero if the target does
	// not state it.
	Version int
}

// Codec translates calls and replies between HTTP and the types of this package.
type Codec interface {
	// ReadCall reads everything but the body of a request.
	ReadCall(r *http.Request) (Call, error)
	// NewRequest builds the HTTP request of an attempt.
	NewRequest(ctx context.Context, s Dispatch) (*http.Request, error)
	// ReadReply reads the status and the headers of a target's response.
	ReadReply(s Dispatch, resp *http.Response) Reply
}

// CachePlanner decides how an attempt uses the KV cache entries in the stores.
type CachePlanner interface {
	// Lookup returns where the shared parts of a prompt are cached.
	Lookup(p *Prompt, namespace string) CachedParts
	// FetchMs returns the expected time to fetch a number of tokens from a store in
	// the same zone.
	FetchMs(tokens int) float64
	// RecordFetch records the time to the first event of an attempt that fetched
	// parts from addresses.
	RecordFetch(addresses []string, expectedMs float64, took time.Duration)
	// Plan returns the cache plan of an attempt that is about to be sent.
	Plan(p *Prompt, namespace string, version int, t fleet.Target) *CachePlan
	// Namespace returns the cache namespace of an account under a weight version.
	// that may be served in the allowed regions.
	Namespace(model string, version int, account *opconf.Account, allowed homes.Regions) string
}

// CachedParts tells where the shared parts of one prompt are cached.
type CachedParts interface {
	// Estimate returns how many of the shared tokens are probably resident at a
	// target, how many a fetch from stores would supply, and the expected time of
	// this fetch in milliseconds.
	Estimate(t fleet.Target) (resident, stored int, fetchMs float64)
}

// WeightVersions tells which weight versions the platform has announced and which
// engines are loading them.
type WeightVersions interface {
	// OutdatedFor returns for how long weights newer than a version have been
	// announced; false if there are none.
	OutdatedFor(model string, version int) (time.Duration, bool)
	// Loading reports whether a target is loading new weights or about to.
	Loading(target string) bool
}

// CallError says why a caller's request is malformed.
type CallError struct {
	Status  int
	Problem string
}

// Error names the problem and the remedy.
func (e *CallError) Error() string {
	return fmt.Sprintf("request: %s; correct it before sending it again", e.Problem)
}
