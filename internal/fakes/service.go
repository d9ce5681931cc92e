package fakes

import (
	"context"
	"maps"
	"net/http"
	"sync"

	"github.com/cloudwego/hertz/pkg/common/json"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"sesamehill.example/sesamehill/internal/target"
)

var _ target.Service = (*Service)(nil)

// ServiceOption configures a fake plain service.
type ServiceOption func(*Service)

// WithStatus sets the HTTP status of answers; the default is 200.
func WithStatus(status int) ServiceOption {
	return func(s *Service) { s.status = status }
}

// Service is a fake plain service. A call counts as a run unless its method is GET or
// HEAD. Answers are JSON; their field run is the number of runs so far.
type Service struct {
	node

	stateMu       sync.Mutex
	status        int
	callsToRefuse int
	runs          []ServiceRun
}

// ServiceRun is one run of a plain service.
type ServiceRun struct {
	Number  int
	Attempt string
	Account string
	Method  string
	Path    string
	Body    string
}

// serviceAnswer is the JSON body of an answer.
type serviceAnswer struct {
	Run     int    `json:"run"`
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Account string `json:"account"`
	Attempt string `json:"attempt"`
}

// NewService returns a plain service without runs.
func NewService(name string, opts ...ServiceOption) *Service {
	s := &Service{status: http.StatusOK}
	s.node = newNode(name, s.route)
	for _, o := range opts {
		o(s)
	}
	return s
}

// Call answers a call and records it as a run, unless its method is GET or HEAD.
func (s *Service) Call(ctx context.Context, c target.Call) (target.Answer, error) {
	if err := s.beforeRequest(ctx); err != nil {
		return target.Answer{}, &target.NotRunError{Target: s.name, Reason: err.Error()}
	}
	s.stateMu.Lock()
	if s.callsToRefuse > 0 {
		s.callsToRefuse--
		s.stateMu.Unlock()
		return target.Answer{}, &target.NotRunError{Target: s.name, Reason: "the service is busy"}
	}
	if c.Method != http.MethodGet && c.Method != http.MethodHead {
		s.runs = append(s.runs, ServiceRun{
			Number: len(s.runs) + 1, Attempt: c.Attempt, Account: c.Account,
			Method: c.Method, Path: c.Path, Body: string(c.Body),
		})
	}
	run, status := len(s.runs), s.status
	s.stateMu.Unlock()
	if s.loseReply("call") {
		return target.Answer{}, newLostReplyError(s.name)
	}
	body, err := json.Marshal(serviceAnswer{run, s.name, c.Method, c.Path, c.Account, c.Attempt})
	if err != nil {
		return target.Answer{}, &target.BrokenError{Target: s.name, Reason: err.Error()}
	}
	return target.Answer{
		Status: status, Header: map[string]string{"Content-Type": typeJSON}, Body: body,
	}, nil
}

// Kill stops the service and breaks its connections. The recorded runs remain, so
// that tests can check them.
func (s *Service) Kill() { s.Down() }

// Refuse refuses the next n calls without running them.
func (s *Service) Refuse(n int) {
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	s.callsToRefuse = n
}

// Restart starts a killed service.
func (s *Service) Restart() error { return s.Up() }

// Runs returns all runs in order.
func (s *Service) Runs() []ServiceRun {
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	return append([]ServiceRun(nil), s.runs...)
}

// route registers a handler that passes all requests to Call.
func (s *Service) route(h *server.Hertz) {
	h.Any("/*path", func(ctx context.Context, c *app.RequestContext) {
		header := make(map[string]string)
		c.Request.Header.VisitAll(func(k, v []byte) { header[string(k)] = string(v) })
		a, err := s.Call(ctx, target.Call{
			Attempt: header[target.HeaderAttempt], Account: header[target.HeaderAccount],
			Method: string(c.Method()), Path: string(c.Path()), Query: string(c.URI().QueryString()),
			Header: maps.Clone(header), Body: c.Request.Body(),
		})
		if err != nil {
			writeError(c, err)
			return
		}
		c.Data(a.Status, a.Header["Content-Type"], a.Body)
	})
}
