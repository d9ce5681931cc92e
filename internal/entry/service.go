package entry

import (
	"context"
	"strings"

	"sesamehill.example/sesamehill/internal/target"
)

// strippedRequestFields are the fields of a request's header that are not
// forwarded to a plain service: the API key, the idempotency key, and the fields
// that apply only to the connection.
var strippedRequestFields = headerFields(
	"Authorization", "Connection", "Content-Length", "Expect", "Host", "Idempotency-Key", "Keep-Alive",
	"Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
)

// strippedAnswerFields are the fields of a service's answer that apply only to
// the connection to the service.
var strippedAnswerFields = headerFields(
	"Connection", "Content-Length", "Keep-Alive", "Proxy-Connection", "Trailer", "Transfer-Encoding", "Upgrade",
)

// headerFields returns the set of the names in lower case.
func headerFields(names ...string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, n := range names {
		set[strings.ToLower(n)] = true
	}
	return set
}

func (s *Server) service(ctx context.Context, c *call) error {
	body, err := s.readBody(c)
	if err != nil {
		return err
	}
	deadline, err := c.deadline()
	if err != nil {
		return err
	}
	path := c.Param("path")
	if !strings.HasPrefix(path, "/") {
		path = "/" + path
	}
	answer, err := s.runner.Call(ctx, ServiceCall{
		Account: c.account.Name, Service: c.Param("service"), Method: string(c.Method()), Path: path,
		Query: string(c.Request.QueryString()), Header: forwardedHeader(c), Body: body,
		Key: string(c.GetHeader("Idempotency-Key")), Priority: c.account.Priority,
		Arrived: c.arrived, Deadline: deadline,
	})
	if err != nil {
		return err
	}
	return writeAnswer(c, answer)
}

// forwardedHeader returns the header that is forwarded to a plain service.
// Repeated fields are joined with a comma.
func forwardedHeader(c *call) map[string]string {
	header := make(map[string]string, c.Request.Header.Len())
	c.Request.Header.VisitAll(func(k, v []byte) {
		name := string(k)
		if strippedRequestFields[strings.ToLower(name)] {
			return
		}
		value := string(v)
		if first, repeated := header[name]; repeated {
			value = first + ", " + value
		}
		header[name] = value
	})
	return header
}

// writeAnswer sends the answer of a plain service to the caller.
func writeAnswer(c *call, answer target.Answer) error {
	if answer.Status < 200 || answer.Status > 599 {
		return &target.BrokenError{Target: c.Param("service"), Reason: "the status of the answer is not between 200 and 599"}
	}
	for k, v := range answer.Header {
		if !strippedAnswerFields[strings.ToLower(k)] {
			c.Response.Header.Set(k, v)
		}
	}
	c.SetStatusCode(answer.Status)
	c.Response.SetBody(answer.Body)
	return nil
}
