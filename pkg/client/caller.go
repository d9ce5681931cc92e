package client

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/google/uuid"
	jerrors "github.com/juju/errors"

	"sesamehill.example/sesamehill/internal/calls"
)

// Caller sends requests of one client account. It is safe for concurrent use.
type Caller struct {
	*hostSet
}

// NewCaller returns a Caller that uses the hosts at the given addresses, as
// host:port, with the API key of a client account.
func NewCaller(addresses []string, key string, opts ...Option) *Caller {
	return &Caller{hostSet: newHostSet(addresses, key, opts)}
}

// Completion is a request for generated text. Exactly one of Prompt, Tokens and
// Messages is set.
type Completion struct {
	// Model is the name of a model, or of a model and an adapter as
	// "model:adapter".
	Model    string
	Prompt   string
	Tokens   []uint32
	Messages []Message
	// MaxTokens is the largest number of generated tokens; with 0 the host decides.
	MaxTokens int
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionBody struct {
	Model     string        `json:"model"`
	Prompt    any           `json:"prompt,omitempty"`
	Messages  []Message     `json:"messages,omitempty"`
	MaxTokens int           `json:"max_tokens,omitempty"`
	Stream    bool          `json:"stream"`
	Options   streamOptions `json:"stream_options"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Complete opens the stream of an answer. The error is a *RefusalError, or an
// *UnreachableError if no host answered. The context applies to the whole stream.
func (c *Caller) Complete(ctx context.Context, r Completion) (*Stream, error) {
	b := completionBody{Model: r.Model, Messages: r.Messages, MaxTokens: r.MaxTokens, Stream: true, Options: streamOptions{IncludeUsage: true}}
	path := "/v1/completions"
	switch {
	case r.Messages != nil:
		path = "/v1/chat/completions"
	case r.Tokens != nil:
		b.Prompt = r.Tokens
	default:
		b.Prompt = r.Prompt
	}
	body, err := json.Marshal(b)
	if err != nil {
		return nil, jerrors.Annotate(err, "encode the request")
	}
	s := &Stream{caller: c, ctx: ctx, path: path, body: body, max: r.MaxTokens, retrier: c.newRetrier(), lastOffset: offsetBeforeFirst}
	return s, s.open()
}

// Answer is a complete generated answer.
type Answer struct {
	RunID        string
	Text         string
	FinishReason string
	Usage        Usage
	// Resumes is the number of times that the stream was resumed.
	Resumes int
}

// Collect streams an answer and returns it when it is complete.
func (c *Caller) Collect(ctx context.Context, r Completion) (Answer, error) {
	s, err := c.Complete(ctx, r)
	if err != nil {
		return Answer{}, err
	}
	defer s.Close()
	return s.Collect()
}

// Models returns the models that the account may use.
func (c *Caller) Models(ctx context.Context) ([]string, error) {
	reply, err := c.send(ctx, calls.Request{Method: http.MethodGet, Path: "/v1/models", Header: c.header(nil)})
	if err != nil {
		return nil, err
	}
	var response struct {
		Data []struct {
			ID string `json:"id"`
		} `json:"data"`
	}
	if err := json.Unmarshal(reply.Body, &response); err != nil {
		return nil, jerrors.Annotate(err, "decode the list of models")
	}
	names := make([]string, 0, len(response.Data))
	for _, d := range response.Data {
		names = append(names, d.ID)
	}
	return names, nil
}

// ServiceCall is a call of a plain service.
type ServiceCall struct {
	Service string
	Method  string
	// Path starts with a slash; Query is encoded.
	Path        string
	Query       string
	ContentType string
	Body        []byte
	// IdempotencyKey is the idempotency key. If it is empty, a random key is used. A
	// program that repeats the call after a restart sets a key that it can restore.
	IdempotencyKey string
}

// ServiceAnswer is the answer of a plain service, with the idempotency key of the
// call.
type ServiceAnswer struct {
	Status         int
	Header         map[string]string
	Body           []byte
	IdempotencyKey string
}

// Call calls a plain service. All attempts carry the same idempotency key, so a
// non-idempotent call runs at most once. The error is a *RefusalError of the host,
// or an *UnreachableError. To get the outcome of a call that may have run, repeat
// the call with the same key and body.
func (c *Caller) Call(ctx context.Context, r ServiceCall) (ServiceAnswer, error) {
	if r.IdempotencyKey == "" {
		r.IdempotencyKey = uuid.NewString()
	}
	reply, err := c.send(ctx, calls.Request{
		Method: r.Method, Path: "/svc/" + r.Service + r.Path, Query: r.Query, ContentType: r.ContentType, Body: r.Body,
		Header: c.header(map[string]string{"Idempotency-Key": r.IdempotencyKey}),
	})
	return ServiceAnswer{Status: reply.Status, Header: reply.Header, Body: reply.Body, IdempotencyKey: r.IdempotencyKey}, err
}

// send sends a request to one host after another until one answers it. A rejected
// request is retried only if the host states that it did not run and when to retry.
func (c *Caller) send(ctx context.Context, r calls.Request) (calls.Reply, error) {
	retries := c.newRetrier()
	mayHaveRun := false
	for {
		pool, err := c.nextPool()
		if err != nil {
			return calls.Reply{}, err
		}
		reply, err := pool.Do(ctx, r)
		if err != nil {
			mayHaveRun = mayHaveRun || maybeSent(err)
			if ctx.Err() == nil && retries.wait(ctx, 0) {
				continue
			}
			return reply, &UnreachableError{MaybeSent: mayHaveRun, Err: err}
		}
		refused := hostRefusal(reply)
		if refused == nil {
			return reply, nil
		}
		if refused.retryable() && retries.wait(ctx, refused.RetryAfter) {
			continue
		}
		// An earlier attempt that received no answer may have run.
		refused.NotRun = refused.NotRun && !mayHaveRun
		return reply, refused
	}
}

// hostRefusal returns the error with which a host rejected the request, or nil.
// If a plain service answered with an error status, the body has no field run, and
// the response is the answer of the service.
func hostRefusal(r calls.Reply) *RefusalError {
	if r.Status < http.StatusBadRequest {
		return nil
	}
	var b errorBody
	if err := json.Unmarshal(r.Body, &b); err == nil && b.Error.Run != "" {
		return newRefusalError(r)
	}
	return nil
}

// retryable reports whether the request did not run and may succeed later.
func (e *RefusalError) retryable() bool {
	return e.NotRun && e.RetryAfter > 0 &&
		(e.Status == http.StatusTooManyRequests || e.Status == http.StatusServiceUnavailable)
}

// asRefusal returns the *RefusalError that err wraps, if there is one.
func asRefusal(err error) (*RefusalError, bool) {
	var r *RefusalError
	ok := errors.As(err, &r)
	return r, ok
}
