package entry

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	jerrors "github.com/juju/errors"
)

const (
	defaultDrainDelay   = 3 * time.Second
	defaultDrainTimeout = 60 * time.Second
	// readTimeout and writeTimeout bound each read and each write, so that a
	// caller that stops sending or reading does not occupy a connection and a run.
	readTimeout  = 30 * time.Second
	writeTimeout = 30 * time.Second
	// idleTimeout is longer than the idle timeouts of common load balancers
	// (60 s), so that the balancer closes an idle connection first.
	idleTimeout = 90 * time.Second
	// maxDiscardedBytes bounds what is read of a body after its limit, so that its caller
	// gets the refusal.
	maxDiscardedBytes = 1 << 20
	// bodyPrefetchBytes is the size of the part of a request body that is read
	// before the handler runs. The handler reads the remaining body, up to the
	// configured limit.
	bodyPrefetchBytes = 16 << 10
	bearerPrefix      = "Bearer "
)

// Option configures a Server.
type Option func(*Server)

// WithAddress sets the address to listen on.
func WithAddress(address string) Option {
	return func(s *Server) { s.address = address }
}

// WithListener sets the listener to accept connections from, instead of an
// address.
func WithListener(l net.Listener) Option {
	return func(s *Server) { s.listener = l }
}

// WithDrain sets how long a draining server still accepts connections, which
// covers the time until the load balancer stops routing to it, and how long it
// then waits for responses in progress.
func WithDrain(delay, timeout time.Duration) Option {
	return func(s *Server) { s.drainDelay, s.drainTimeout = delay, timeout }
}

// Server serves the callers' HTTP API.
type Server struct {
	runner       Runner
	address      string
	listener     net.Listener
	drainDelay   time.Duration
	drainTimeout time.Duration

	conns    *connTable
	draining atomic.Bool
	// started reports whether Serve was called before Drain.
	mu      sync.Mutex
	started bool
	hertz   atomic.Pointer[server.Hertz]
	// served is closed when Serve returns.
	served chan struct{}
	// baseContext is canceled when the drain timeout expires, which cancels the
	// requests that are still in progress.
	baseContext context.Context
	cancel      context.CancelFunc
}

// New returns a server that passes requests to the runner.
func New(runner Runner, opts ...Option) *Server {
	s := &Server{
		runner: runner, address: "127.0.0.1:0", drainDelay: defaultDrainDelay, drainTimeout: defaultDrainTimeout,
		conns: newConnTable(), served: make(chan struct{}),
	}
	for _, o := range opts {
		o(s)
	}
	s.baseContext, s.cancel = context.WithCancel(context.Background())
	return s
}

// Serve listens and serves until Drain has shut the server down. It can be
// called only once. If Drain was called before, it returns immediately.
func (s *Server) Serve() error {
	defer close(s.served)
	if !s.start() {
		return nil
	}
	l := s.listener
	if l == nil {
		var err error
		if l, err = net.Listen("tcp", s.address); err != nil {
			return jerrors.Annotatef(err, "listen for callers on %s; free the address or set another one", s.address)
		}
	}
	h := server.New(
		server.WithDisablePreParseMultipartForm(true),
		server.WithDisablePrintRoute(true),
		server.WithExitWaitTime(s.drainTimeout),
		server.WithHandleMethodNotAllowed(true),
		server.WithIdleTimeout(idleTimeout),
		server.WithListener(l),
		server.WithMaxRequestBodySize(bodyPrefetchBytes),
		server.WithOnConnect(s.conns.onConnect),
		server.WithReadTimeout(readTimeout),
		server.WithRedirectTrailingSlash(false),
		server.WithSenseClientDisconnection(true),
		server.WithStreamBody(true),
		server.WithTracer(s.conns),
		server.WithWriteTimeout(writeTimeout),
	)
	s.routes(h)
	s.hertz.Store(h)
	return jerrors.Trace(h.Run())
}

func (s *Server) start() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started = !s.draining.Load()
	return s.started
}

func (s *Server) routes(h *server.Hertz) {
	h.Use(s.middleware)
	h.POST("/v1/completions", s.handle(s.completion))
	h.POST("/v1/chat/completions", s.handle(s.chatCompletion))
	h.GET("/v1/models", s.handle(s.models))
	h.GET("/v1/models/*model", s.handle(s.model))
	h.Any("/svc/:service", s.handle(s.service))
	h.Any("/svc/:service/*path", s.handle(s.service))
	h.NoRoute(func(_ context.Context, c *app.RequestContext) {
		writeRefusal(c, NotFound("", "no endpoint has the path %q; see GET /v1/models, POST /v1/completions", c.Path()))
	})
	h.NoMethod(func(_ context.Context, c *app.RequestContext) {
		writeRefusal(c, &RefusalError{
			Status: http.StatusMethodNotAllowed, Kind: KindInvalid, Run: RanNo,
			Message: "the endpoint does not support method " + string(c.Method()) + "; see the API's documentation",
		})
	})
}

// middleware marks connections to be closed after the response while the server
// drains, and sends an error response when a handler panics.
func (s *Server) middleware(ctx context.Context, c *app.RequestContext) {
	defer func() {
		if p := recover(); p != nil {
			counters.Add("panics", 1)
			writeRefusal(c, refusal(jerrors.Errorf("handler panicked: %v", p)))
		}
	}()
	s.closeWhenDraining(c)
	c.Next(ctx)
	// The drain may have started while the handler ran.
	s.closeWhenDraining(c)
}

func (s *Server) closeWhenDraining(c *app.RequestContext) {
	if s.draining.Load() {
		c.Response.Header.SetConnectionClose(true)
	}
}

// call is one authenticated request.
type call struct {
	*app.RequestContext
	account Account
	arrived time.Time
}

// handle authenticates the caller and converts the handler's error to an error
// response. The handler's context is canceled when the caller disconnects and
// when the drain timeout expires.
func (s *Server) handle(handler func(ctx context.Context, c *call) error) app.HandlerFunc {
	return func(ctx context.Context, requestContext *app.RequestContext) {
		arrived := time.Now()
		counters.Add("requests", 1)
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		defer context.AfterFunc(s.baseContext, cancel)()
		account, err := s.authenticate(requestContext)
		if err == nil {
			err = handler(ctx, &call{RequestContext: requestContext, account: account, arrived: arrived})
		}
		if err != nil {
			counters.Add("refusals", 1)
			writeRefusal(requestContext, refusal(err))
		}
	}
}

func (s *Server) authenticate(c *app.RequestContext) (Account, error) {
	key, ok := strings.CutPrefix(string(c.GetHeader("Authorization")), bearerPrefix)
	if !ok || key == "" {
		return Account{}, &RefusalError{
			Status: http.StatusUnauthorized, Kind: KindAuthentication, Run: RanNo,
			Message: "the API key is missing; send the header \"Authorization: Bearer KEY\"",
		}
	}
	return s.runner.Authenticate(key)
}

// readBody reads the body, up to the configured limit.
func (s *Server) readBody(c *call) ([]byte, error) {
	limit := s.runner.Limits().Body
	if c.Request.Header.ContentLength() > limit {
		return nil, tooLarge(limit)
	}
	var body bytes.Buffer
	if n := c.Request.Header.ContentLength(); n > 0 {
		body.Grow(n + bytes.MinRead)
	}
	if _, err := body.ReadFrom(io.LimitReader(c.RequestBodyStream(), int64(limit)+1)); err != nil {
		return nil, Invalid("", "the body ended early; send as many bytes as the header Content-Length states")
	}
	if body.Len() > limit {
		// A caller that is still sending when the connection closes may lose the answer.
		_, _ = io.CopyN(io.Discard, c.RequestBodyStream(), maxDiscardedBytes) // an incomplete body is refused too
		return nil, tooLarge(limit)
	}
	return body.Bytes(), nil
}

func tooLarge(limit int) error {
	return &RefusalError{
		Status: http.StatusRequestEntityTooLarge, Kind: KindInvalid, Run: RanNo,
		Message: "the body is larger than " + formatBytes(limit) + "; shorten it",
	}
}

// deadline returns the deadline that the X-Timeout header sets, in seconds after
// the arrival of the request. Without the header it returns the zero time.
func (c *call) deadline() (time.Time, error) {
	header := string(c.GetHeader("X-Timeout"))
	if header == "" {
		return time.Time{}, nil
	}
	timeout, err := time.ParseDuration(header + "s")
	if err != nil || timeout <= 0 {
		return time.Time{}, Invalid("X-Timeout", "header X-Timeout is %q; send a positive number of seconds", header)
	}
	return c.arrived.Add(timeout), nil
}
