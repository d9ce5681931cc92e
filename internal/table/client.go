package table

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"

	"github.com/cloudwego/hertz/pkg/common/json"

	"sesamehill.example/sesamehill/internal/calls"
)

const (
	typeJSON  = "application/json"
	typeBytes = "application/octet-stream"
)

var (
	_ Table   = (*Client)(nil)
	_ Objects = (*Client)(nil)
	_ Lister  = (*Client)(nil)
)

// Client is the HTTP client of the platform.
type Client struct {
	pool *calls.Pool
}

// NewClient returns a client for the platform at an address.
func NewClient(address string) *Client { return &Client{pool: calls.NewPool(address)} }

// Close closes idle connections.
func (c *Client) Close() { c.pool.Close() }

// Get returns an object.
func (c *Client) Get(ctx context.Context, name string) ([]byte, error) {
	reply, err := c.do(ctx, calls.Request{Method: http.MethodGet, Path: objectPath(name)}, false)
	return reply.Body, err
}

// List reads the platform's list of hosts and targets. It leaves out entries that name none.
func (c *Client) List(ctx context.Context) (Listing, error) {
	reply, err := c.do(ctx, calls.Request{Method: http.MethodGet, Path: "/list"}, false)
	if err != nil {
		return Listing{}, err
	}
	l, err := UnmarshalListing(reply.Body)
	if err != nil {
		return Listing{}, &DownError{Reason: fmt.Sprintf("decode the list: %v", err)}
	}
	return l, nil
}

// Put stores an object. It is idempotent.
func (c *Client) Put(ctx context.Context, name string, data []byte) error {
	if data == nil {
		data = []byte{}
	}
	r := calls.Request{Method: http.MethodPut, Path: objectPath(name), ContentType: typeBytes, Body: data}
	_, err := c.do(ctx, r, true)
	return err
}

// Read returns the rows of the keys, in order.
func (c *Client) Read(ctx context.Context, keys ...string) ([]Row, error) {
	return c.rows(ctx, "/table/read", ReadRequest{Keys: keys})
}

// Scan returns up to limit rows whose key starts with prefix and sorts after the
// key after, in key order.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	return c.rows(ctx, "/table/scan", ScanRequest{Prefix: prefix, After: after, Limit: limit})
}

// Write applies all ops or none. After an UnknownOutcomeError either may be the case.
func (c *Client) Write(ctx context.Context, ops []Op) error {
	_, err := c.post(ctx, "/table/write", WriteRequest{Ops: ops}, true)
	return err
}

func (c *Client) rows(ctx context.Context, path string, request any) ([]Row, error) {
	reply, err := c.post(ctx, path, request, false)
	if err != nil {
		return nil, err
	}
	var r Rows
	if err := decode(reply, &r); err != nil {
		return nil, err
	}
	return r.Rows, nil
}

func (c *Client) post(ctx context.Context, path string, request any, isWrite bool) (calls.Reply, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return calls.Reply{}, &DownError{Reason: err.Error()}
	}
	return c.do(ctx, calls.Request{Method: http.MethodPost, Path: path, ContentType: typeJSON, Body: body}, isWrite)
}

// do sends a request and maps failures to typed errors. Only a write can have an
// unknown outcome.
func (c *Client) do(ctx context.Context, r calls.Request, isWrite bool) (calls.Reply, error) {
	reply, err := c.pool.Do(ctx, r)
	if err != nil {
		var failed *calls.Error
		if isWrite && (!errors.As(err, &failed) || failed.MaybeSent) {
			return reply, &UnknownOutcomeError{Reason: err.Error()}
		}
		return reply, &DownError{Reason: err.Error()}
	}
	if reply.Status < http.StatusMultipleChoices {
		return reply, nil
	}
	return reply, errorFromReply(reply, isWrite)
}

func errorFromReply(reply calls.Reply, isWrite bool) error {
	var r ErrorReply
	if err := json.Unmarshal(reply.Body, &r); err != nil {
		r = ErrorReply{}
	}
	switch r.Code {
	case CodeConflict:
		return &ConflictError{Key: r.Key, Version: r.Version}
	case CodeMissing:
		return &MissingError{Name: r.Key}
	}
	reason := fmt.Sprintf("status %d %s", reply.Status, r.Reason)
	outcomeUnknown := reply.Status < http.StatusBadRequest
	switch reply.Status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout:
		outcomeUnknown = true
	}
	if isWrite && outcomeUnknown {
		return &UnknownOutcomeError{Reason: reason}
	}
	return &DownError{Reason: reason}
}

func decode(reply calls.Reply, out any) error {
	if err := json.Unmarshal(reply.Body, out); err != nil {
		return &DownError{Reason: fmt.Sprintf("decode the reply: %v", err)}
	}
	return nil
}

func objectPath(name string) string { return "/objects/" + url.PathEscape(name) }
