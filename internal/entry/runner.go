package entry

import (
	"context"
	"time"

	"sesamehill.example/sesamehill/internal/target"
	"sesamehill.example/sesamehill/pkg/config"
)

// Runner runs the requests that the server accepts. Its methods return a
// *RefusalError for each error that is sent to the caller unchanged. Any other
// error is sent with status 500 or 502 and run "unknown".
type Runner interface {
	// Authenticate returns the account of an API key.
	Authenticate(key string) (Account, error)
	// Complete starts a run. The run ends when ctx is canceled.
	Complete(ctx context.Context, r Prompt) (Run, error)
	// Resume continues a run of the account from the token at offset.
	Resume(ctx context.Context, account, run string, offset int) (Run, error)
	// Call calls a plain service.
	Call(ctx context.Context, c ServiceCall) (target.Answer, error)
	// Models returns the names of the models that the account may use.
	Models(account string) []string
	// Limits returns the configured limits.
	Limits() config.Limits
}

// Run is the execution of one completion request, whose response is relayed to
// the caller.
type Run interface {
	// ID returns the run's ID, with which any host can resume the run. It must be
	// printable ASCII without spaces.
	ID() string
	// Next returns the next chunk. It returns io.EOF only after a chunk with
	// Done set.
	Next() (target.Chunk, error)
	// Close releases the run, and cancels it if it has not ended.
	Close() error
}

// Account is an authenticated client account.
type Account struct {
	Name string
	// Priority is copied to the account's prompts.
	Priority int
}

// Prompt is a validated completion request.
type Prompt struct {
	Account string
	Model   string
	// Adapter is the substring of the requested model name after the first colon.
	Adapter string
	Tokens  []uint32
	// Max is the largest number of tokens to generate.
	Max      int
	Priority int
	// Arrived is the time at which the server had read the request's header.
	Arrived time.Time
	// Deadline is the time by which the caller needs the first token. The zero
	// time means that there is no deadline.
	Deadline time.Time
}

// ServiceCall is a call of a plain service.
type ServiceCall struct {
	Account string
	Service string
	Method  string
	// Path starts with a slash.
	Path  string
	Query string
	// Header contains the caller's header fields without the API key, the
	// Idempotency-Key and the fields that apply only to the connection.
	Header map[string]string
	Body   []byte
	// Key is the caller's Idempotency-Key, or empty.
	Key      string
	Priority int
	Arrived  time.Time
	Deadline time.Time
}
