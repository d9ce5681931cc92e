package forms

import (
	"context"
	"encoding/json"
	"net/http"
	"regexp"
	"strconv"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/route"
	"github.com/juju/errors"

	"sesamehill.example/sesamehill/pkg/config"
	"sesamehill.example/sesamehill/pkg/opapi"
)

const (
	defaultHistoryLimit = 50
	maxHistoryLimit     = 1000
	jsonType       = "application/json"
)

// changeIDPattern is the form of a change ID; it becomes part of a row's key.
var changeIDPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9-]{7,63}$`)

// apiHandler returns the value that is answered as JSON.
type apiHandler func(ctx context.Context, c *app.RequestContext, author string) (any, error)

func (f *Forms) apiRoutes(r route.IRouter) {
	g := r.Group("/api")
	g.GET("/document", f.api(f.apiDocument))
	g.POST("/document", f.api(f.apiCommit))
	g.POST("/preview", f.api(f.apiPreview))
	g.GET("/history", f.api(f.apiHistory))
	g.GET("/status", f.api(func(ctx context.Context, _ *app.RequestContext, _ string) (any, error) {
		return f.backend.Status(ctx)
	}))
	g.GET("/hosts", f.api(func(ctx context.Context, _ *app.RequestContext, _ string) (any, error) {
		hosts, err := f.backend.Hosts(ctx)
		return append([]opapi.Host{}, hosts...), err
	}))
	g.GET("/targets", f.api(func(ctx context.Context, _ *app.RequestContext, _ string) (any, error) {
		targets, err := f.backend.Targets(ctx)
		return append([]opapi.Target{}, targets...), err
	}))
	g.GET("/links", f.api(func(ctx context.Context, _ *app.RequestContext, _ string) (any, error) {
		links, err := f.backend.Links(ctx)
		return append([]opapi.Link{}, links...), err
	}))
	g.GET("/vars", f.api(func(context.Context, *app.RequestContext, string) (any, error) {
		return f.backend.Vars(), nil
	}))
	g.GET("/rollout", f.api(func(ctx context.Context, c *app.RequestContext, _ string) (any, error) {
		return f.backend.Rollout(ctx, c.Query("model"))
	}))
	g.POST("/drain", f.api(f.apiDrain))
}

func (f *Forms) api(h apiHandler) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		setSecurityHeaders(c)
		author, ok := f.apiAuthor(c)
		if !ok {
			c.Response.Header.Set("WWW-Authenticate", "Bearer")
			writeJSON(c, http.StatusUnauthorized, opapi.ErrorBody{Error: opapi.ErrorDetail{
				Kind:    opapi.KindAuthentication,
				Message: "the operator's key is missing or unknown; send \"Authorization: Bearer KEY\"",
			}})
			return
		}
		ctx, cancel := withCallTimeout(ctx)
		defer cancel()
		v, err := h(ctx, c, author)
		if err != nil {
			status, detail := errorResponse(err)
			writeJSON(c, status, opapi.ErrorBody{Error: detail})
			return
		}
		writeJSON(c, http.StatusOK, v)
	}
}

func (f *Forms) apiDocument(context.Context, *app.RequestContext, string) (any, error) {
	revision, d := f.backend.Document()
	text, err := d.Format()
	if err != nil {
		return nil, errors.Trace(err)
	}
	return opapi.Document{Revision: revision, Text: string(text)}, nil
}

func (f *Forms) apiCommit(ctx context.Context, c *app.RequestContext, author string) (any, error) {
	var r opapi.Commit
	if err := readJSON(c, &r); err != nil {
		return nil, err
	}
	if !changeIDPattern.MatchString(r.ID) {
		return nil, &inputError{problem: "id must have 8 to 64 letters, digits and hyphens; send a UUID"}
	}
	d, err := config.ParseDocument("document", []byte(r.Text))
	if err != nil {
		return nil, err
	}
	revision, err := f.commit(ctx, r.Base, d, r.ID, author)
	if err != nil {
		return nil, err
	}
	return opapi.CommitResult{Revision: revision, ID: r.ID}, nil
}

// apiPreview answers faults as part of the preview, because they are what the
// caller asks for.
func (f *Forms) apiPreview(_ context.Context, c *app.RequestContext, _ string) (any, error) {
	var r opapi.Document
	if err := readJSON(c, &r); err != nil {
		return nil, err
	}
	revision, now := f.backend.Document()
	p := opapi.Preview{Revision: revision, Faults: []config.Fault{}, Warnings: []config.Fault{}, Effects: []config.Effect{}}
	d, err := config.ParseDocument("document", []byte(r.Text))
	var faults *config.FaultsError
	if errors.As(err, &faults) {
		p.Faults = faults.Faults
		return p, nil
	}
	if err != nil {
		return nil, errors.Trace(err)
	}
	p.Warnings = append(p.Warnings, d.Warnings()...)
	p.Effects = append(p.Effects, config.Diff(now, d)...)
	return p, nil
}

func (f *Forms) apiHistory(ctx context.Context, c *app.RequestContext, _ string) (any, error) {
	limit := defaultHistoryLimit
	if q := c.Query("limit"); q != "" {
		n, err := strconv.Atoi(q)
		if err != nil || n < 1 || n > maxHistoryLimit {
			return nil, &inputError{problem: "limit must be a whole number from 1 to " + strconv.Itoa(maxHistoryLimit)}
		}
		limit = n
	}
	changes, err := f.backend.History(ctx, limit)
	return append([]opapi.Change{}, changes...), err
}

func (f *Forms) apiDrain(ctx context.Context, c *app.RequestContext, _ string) (any, error) {
	var o opapi.DrainOrder
	if err := readJSON(c, &o); err != nil {
		return nil, err
	}
	if o.Kind != opapi.HostKind && o.Kind != opapi.TargetKind {
		return nil, &inputError{problem: `kind must be "host" or "target"`}
	}
	return o, f.backend.Drain(ctx, o.Kind, o.Name)
}

func readJSON(c *app.RequestContext, v any) error {
	if err := json.Unmarshal(c.Request.Body(), v); err != nil {
		return &inputError{problem: "the body is not the JSON object that this call takes; see docs/http.md"}
	}
	return nil
}

func writeJSON(c *app.RequestContext, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		status, b = http.StatusInternalServerError, []byte(`{"error":{"kind":"internal","message":"the answer has no JSON form"}}`)
	}
	c.Data(status, jsonType, append(b, '\n'))
}
