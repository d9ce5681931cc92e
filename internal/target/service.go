package target

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strings"

	"sesamehill.example/sesamehill/internal/calls"
)

var _ Service = (*ServiceClient)(nil)

// ServiceClient is the HTTP client of a plain service.
type ServiceClient struct{ caller }

// NewService returns a client for the plain service at an address.
func NewService(address string) *ServiceClient {
	return &ServiceClient{caller{calls.NewPool(address)}}
}

// Call sends the call once. An answer with any status counts as a run, unless its
// status is 400 or above and its HeaderRan states that nothing ran.
func (s *ServiceClient) Call(ctx context.Context, c Call) (Answer, error) {
	path, err := requestPath(c)
	if err != nil {
		return Answer{}, &NotRunError{Target: s.Address(), Reason: err.Error()}
	}
	header := endToEnd(c.Header)
	header[HeaderAttempt], header[HeaderAccount] = c.Attempt, c.Account
	reply, err := s.pool.Do(ctx, calls.Request{
		Method: c.Method, Path: path, Query: c.Query, Header: header, Body: c.Body,
	})
	if err != nil {
		return Answer{}, s.failure(err)
	}
	if reply.Status >= http.StatusBadRequest && reply.Header[HeaderRan] == "no" {
		return Answer{}, refusal(s.Address(), reply.Status, reply.Body)
	}
	return Answer{Status: reply.Status, Header: endToEnd(reply.Header), Body: reply.Body}, nil
}

// endToEnd returns the header fields without those that apply only to one
// connection or to the framing of one message.
func endToEnd(header map[string]string) map[string]string {
	out := make(map[string]string, len(header))
	for k, v := range header {
		switch http.CanonicalHeaderKey(k) {
		case "Connection", "Content-Length", "Host", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade":
		default:
			out[k] = v
		}
	}
	return out
}

// requestPath returns the escaped path for the request line. A path that is
// already escaped is returned unchanged.
func requestPath(c Call) (string, error) {
	if strings.ContainsFunc(c.Query+c.Method, func(r rune) bool { return r <= ' ' || r == 0x7f }) {
		return "", errors.New("method or query contains a space or control character")
	}
	raw := "/" + strings.TrimPrefix(c.Path, "/")
	path, err := url.PathUnescape(raw)
	if err != nil {
		path = raw
	}
	u := url.URL{Path: path, RawPath: raw}
	return u.EscapedPath(), nil
}
