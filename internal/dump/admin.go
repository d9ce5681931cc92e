package dump

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/middlewares/server/recovery"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/adaptor"
	"github.com/cloudwego/hertz/pkg/route"
	"github.com/juju/errors"
)

const (
	// maxAdminBodyBytes is several times the size of a configuration document with
	// 10,000 accounts.
	maxAdminBodyBytes = 32 << 20
	// adminShutdownTimeout is how long a cancelled server waits for requests in progress.
	adminShutdownTimeout = time.Second
	jsonContentType      = "application/json"
	textContentType      = "text/plain; charset=utf-8"
)

// Option configures an Admin.
type Option func(*Admin)

// WithAddress sets the address to listen on.
func WithAddress(address string) Option {
	return func(a *Admin) { a.address = address }
}

// WithListener sets the listener to accept from, instead of an address.
func WithListener(l net.Listener) Option {
	return func(a *Admin) { a.listener = l }
}

// WithReady sets the readiness check of /readyz. Its error is shown as the reason
// why the host is not ready.
func WithReady(ready func() error) Option {
	return func(a *Admin) { a.ready = ready }
}

// Admin serves the admin port: /state, /debug/vars, /healthz, /readyz and the
// routes that other packages mount.
type Admin struct {
	registry *Registry
	address  string
	listener net.Listener
	ready    func() error
	mounted  []func(r route.IRouter)
}

// NewAdmin returns an admin server for the registry.
func NewAdmin(r *Registry, opts ...Option) *Admin {
	a := &Admin{registry: r, address: "127.0.0.1:0", ready: func() error { return nil }}
	for _, o := range opts {
		o(a)
	}
	return a
}

// Mount adds a function that registers routes of another package. It must be
// called before Serve.
func (a *Admin) Mount(routes func(r route.IRouter)) {
	a.mounted = append(a.mounted, routes)
}

// Serve listens and serves until ctx is cancelled, and then waits up to a second
// for requests in progress.
func (a *Admin) Serve(ctx context.Context) error {
	l := a.listener
	if l == nil {
		var err error
		if l, err = net.Listen("tcp", a.address); err != nil {
			return errors.Annotatef(err, "listen for admin requests on %s; free the address or set another one", a.address)
		}
	}
	h := server.New(
		server.WithDisablePrintRoute(true),
		server.WithExitWaitTime(adminShutdownTimeout),
		server.WithListener(l),
		server.WithMaxRequestBodySize(maxAdminBodyBytes),
		server.WithSenseClientDisconnection(true),
	)
	a.register(h)
	served := make(chan error, 1)
	go func() { served <- h.Run() }()
	select {
	case err := <-served:
		return errors.Trace(err)
	case <-ctx.Done():
	}
	// Shutdown has no effect on a server that is still starting, hence Close.
	_ = h.Shutdown(context.WithoutCancel(ctx))
	_ = h.Close()
	return nil
}

func (a *Admin) register(h *server.Hertz) {
	h.Use(recovery.Recovery())
	h.GET("/debug/vars", adaptor.HertzHandler(expvar.Handler()))
	h.GET("/state", a.state)
	h.GET("/healthz", func(_ context.Context, c *app.RequestContext) {
		c.Data(http.StatusOK, textContentType, []byte("ok\n"))
	})
	h.GET("/readyz", a.readyz)
	for _, m := range a.mounted {
		m(h)
	}
}

func (a *Admin) state(_ context.Context, c *app.RequestContext) {
	b, err := a.registry.JSON()
	if err != nil {
		c.Data(http.StatusInternalServerError, textContentType, []byte("the state cannot be encoded as JSON; see /debug/vars\n"))
		return
	}
	c.Data(http.StatusOK, jsonContentType, append(b, '\n'))
}

func (a *Admin) readyz(_ context.Context, c *app.RequestContext) {
	if err := a.ready(); err != nil {
		c.Data(http.StatusServiceUnavailable, textContentType, []byte("not ready: "+err.Error()+"\n"))
		return
	}
	c.Data(http.StatusOK, textContentType, []byte("ready\n"))
}
