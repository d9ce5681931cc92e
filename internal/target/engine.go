package target

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/cloudwego/hertz/pkg/common/json"

	"sesamehill.example/sesamehill/internal/calls"
)

var _ Engine = (*EngineClient)(nil)

// EngineClient is the HTTP client of an engine.
type EngineClient struct{ caller }

// NewEngine returns a client for the engine at an address.
func NewEngine(address string) *EngineClient {
	return &EngineClient{caller{calls.NewPool(address)}}
}

// Cancel ends a run and frees its resources.
func (e *EngineClient) Cancel(ctx context.Context, attempt string) error {
	return e.call(ctx, calls.Request{Method: http.MethodDelete, Path: runPath(attempt)}, nil, nil)
}

// Events returns cache events with a sequence number above after.
func (e *EngineClient) Events(ctx context.Context, after uint64) (EventBatch, error) {
	var b EventBatch
	q := "after=" + strconv.FormatUint(after, 10)
	err := e.call(ctx, calls.Request{Method: http.MethodGet, Path: "/events", Query: q}, nil, &b)
	return b, err
}

// Export copies resident KV blocks to a store.
func (e *EngineClient) Export(ctx context.Context, o ExportOrder) (ExportResult, error) {
	var r ExportResult
	err := e.call(ctx, calls.Request{Method: http.MethodPost, Path: "/export"}, o, &r)
	return r, err
}

// Generate starts a run. It returns when the engine has accepted the run.
func (e *EngineClient) Generate(ctx context.Context, r GenerateRequest) (Stream, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return nil, &NotRunError{Target: e.Address(), Reason: err.Error()}
	}
	return e.open(ctx, calls.Request{
		Method: http.MethodPost, Path: "/v1/completions", ContentType: contentTypeJSON, Body: body,
	})
}

// Import copies a pinned KV block from a store into the engine's cache.
func (e *EngineClient) Import(ctx context.Context, o ImportOrder) error {
	return e.call(ctx, calls.Request{Method: http.MethodPost, Path: "/import"}, o, nil)
}

// Inventory returns all resident KV blocks.
func (e *EngineClient) Inventory(ctx context.Context) (Inventory, error) {
	var v Inventory
	err := e.call(ctx, calls.Request{Method: http.MethodGet, Path: "/inventory"}, nil, &v)
	return v, err
}

// Load returns the latest load report.
func (e *EngineClient) Load(ctx context.Context) (LoadReport, error) {
	var r LoadReport
	err := e.call(ctx, calls.Request{Method: http.MethodGet, Path: "/load"}, nil, &r)
	return r, err
}

// Order sets the desired state of the engine's weights and role.
func (e *EngineClient) Order(ctx context.Context, o Order) (OrderResult, error) {
	var r OrderResult
	err := e.call(ctx, calls.Request{Method: http.MethodPost, Path: "/order"}, o, &r)
	return r, err
}

// Resume streams a run of the account, starting at a token offset.
func (e *EngineClient) Resume(ctx context.Context, account, attempt string, offset int) (Stream, error) {
	return e.open(ctx, calls.Request{
		Method: http.MethodGet,
		Path:   runPath(attempt),
		Query:  "offset=" + strconv.Itoa(offset),
		Header: map[string]string{HeaderAccount: account},
	})
}

func (e *EngineClient) open(ctx context.Context, r calls.Request) (Stream, error) {
	s, reply, err := e.pool.Open(ctx, r)
	switch {
	case err != nil:
		return nil, e.failure(err)
	case s == nil:
		return nil, refusal(e.Address(), reply.Status, reply.Body)
	}
	return &engineStream{name: e.Address(), stream: s}, nil
}

func runPath(attempt string) string { return "/runs/" + url.PathEscape(attempt) }

// engineStream decodes the chunks of a run.
type engineStream struct {
	name   string
	stream *calls.Stream
	done   bool
}

// Next returns the next chunk, and io.EOF only after a chunk with Done set.
func (s *engineStream) Next() (Chunk, error) {
	if s.done {
		return Chunk{}, io.EOF
	}
	data, err := s.stream.Next()
	if err != nil {
		return Chunk{}, &BrokenError{Target: s.name, Reason: fmt.Sprintf("the stream ended early: %v", err)}
	}
	var c Chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return Chunk{}, &BrokenError{Target: s.name, Reason: fmt.Sprintf("decoding a chunk: %v", err)}
	}
	if c.Done {
		s.done = true
		s.stream.AwaitEnd()
	}
	return c, nil
}

// Close closes the stream. The run continues at the engine until it is canceled.
func (s *engineStream) Close() error { return s.stream.Close() }
