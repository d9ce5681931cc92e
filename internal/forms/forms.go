package forms

import (
	"context"
	"crypto/rand"
	"net/http"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/route"

	"sesamehill.example/sesamehill/pkg/config"
)

const (
	bearerPrefix = "Bearer "
	// callTimeout bounds one backend call, so that an operator gets a response
	// even while the platform hangs.
	callTimeout = 10 * time.Second
	// authorDigits is the number of hexadecimal digits of a key hash in an author
	// name: enough to distinguish a few hundred keys.
	authorDigits = 8
)

// Option configures Forms.
type Option func(*Forms)

// WithClock sets the clock that decides when sessions expire.
func WithClock(now func() time.Time) Option {
	return func(f *Forms) { f.now = now }
}

// WithOperators sets the hashes of the operators' keys, as config.HashKey
// returns them. Without any, every request is rejected.
func WithOperators(hashes []string) Option {
	return func(f *Forms) {
		for _, h := range hashes {
			f.operators[h] = authorName(h)
		}
	}
}

// Forms serves the operators' API and the console.
type Forms struct {
	backend Backend
	// operators maps the hash of an operator's key to the author name recorded
	// with that operator's changes.
	operators map[string]string
	now       func() time.Time
	// secret signs sessions. It exists only in this process, so a restart of the
	// host ends all sessions.
	secret []byte
}

// New returns forms that read and change the deployment through the backend.
func New(b Backend, opts ...Option) *Forms {
	f := &Forms{backend: b, operators: map[string]string{}, now: time.Now, secret: make([]byte, 32)}
	// rand.Read never returns an error.
	_, _ = rand.Read(f.secret)
	for _, o := range opts {
		o(f)
	}
	return f
}

// Routes adds the routes of the API and the console.
func (f *Forms) Routes(r route.IRouter) {
	f.apiRoutes(r)
	f.consoleRoutes(r)
}

// authorName returns the author name recorded with the changes of the operator
// whose key has this hash.
func authorName(hash string) string {
	digits := strings.TrimPrefix(hash, "blake3:")
	return "op-" + digits[:min(authorDigits, len(digits))]
}

// authenticate returns the author name for an operator's key.
func (f *Forms) authenticate(key string) (string, bool) {
	if key == "" {
		return "", false
	}
	author, ok := f.operators[config.HashKey(key)]
	return author, ok
}

// apiAuthor returns the author name for the request's bearer key. It ignores
// cookies, so a page of another origin cannot use the API with an operator's
// session.
func (f *Forms) apiAuthor(c *app.RequestContext) (string, bool) {
	key, ok := strings.CutPrefix(string(c.GetHeader("Authorization")), bearerPrefix)
	if !ok {
		return "", false
	}
	return f.authenticate(key)
}

// withCallTimeout returns a context that bounds a backend call to callTimeout.
func withCallTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, callTimeout)
}

// setSecurityHeaders sets the security headers of every response of the forms.
func setSecurityHeaders(c *app.RequestContext) {
	h := &c.Response.Header
	h.Set("Cache-Control", "no-store")
	h.Set("Content-Security-Policy", "default-src 'none'; style-src 'self'; form-action 'self'; "+
		"base-uri 'none'; frame-ancestors 'none'")
	h.Set("Cross-Origin-Opener-Policy", "same-origin")
	h.Set("Referrer-Policy", "same-origin")
	h.Set("X-Content-Type-Options", "nosniff")
	h.Set("X-Frame-Options", "DENY")
}

// sameOrigin reports whether a request comes from a page of this server.
// Browsers send Origin with every POST; other clients may omit it.
func sameOrigin(c *app.RequestContext) bool {
	if site := string(c.GetHeader("Sec-Fetch-Site")); site != "" && site != "same-origin" && site != "none" {
		return false
	}
	origin := string(c.GetHeader("Origin"))
	if origin == "" {
		return true
	}
	_, host, ok := strings.Cut(origin, "://")
	return ok && host == string(c.Host())
}

// isPost reports whether the request uses POST, the only method that changes
// state.
func isPost(c *app.RequestContext) bool {
	return string(c.Method()) == http.MethodPost
}
