package target

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/cloudwego/hertz/pkg/common/json"

	"sesamehill.example/sesamehill/internal/calls"
)

const contentTypeJSON = "application/json"

// caller makes JSON calls to one target and converts failures to typed errors.
type caller struct {
	pool *calls.Pool
}

// Address returns host and port of the target.
func (c caller) Address() string { return c.pool.Address() }

// Close closes idle connections.
func (c caller) Close() { c.pool.Close() }

// call sends in as JSON, if it is not nil, and decodes the reply to out, if that
// is not nil.
func (c caller) call(ctx context.Context, r calls.Request, in, out any) error {
	if in != nil {
		body, err := json.Marshal(in)
		if err != nil {
			return &NotRunError{Target: c.Address(), Reason: err.Error()}
		}
		r.Body, r.ContentType = body, contentTypeJSON
	}
	reply, err := c.pool.Do(ctx, r)
	if err != nil {
		return c.failure(err)
	}
	if reply.Status >= http.StatusMultipleChoices {
		return refusal(c.Address(), reply.Status, reply.Body)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(reply.Body, out); err != nil {
		return &BrokenError{Target: c.Address(), Reason: fmt.Sprintf("decoding the reply: %v", err)}
	}
	return nil
}

// failure converts an error of the connection to a NotRunError or a BrokenError.
func (c caller) failure(err error) error {
	var failed *calls.Error
	if errors.As(err, &failed) && !failed.MaybeSent {
		return &NotRunError{Target: c.Address(), Reason: err.Error()}
	}
	return &BrokenError{Target: c.Address(), Reason: err.Error()}
}
