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
	jsonType            = "application/json"
)

// changeIDPattern matches valid change IDs. An ID becomes part of a table row's key.
var changeIDPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9-]{7,63}$`)

// apiHandler handles an API request. Its value is sent as the JSON response.
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

// api admits only requests with an operator's key and encodes the handler's value
// or error as JSON.
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
	var commit opapi.Commit
	if err := readJSON(c, &commit); err != nil {
		return nil, err
	}
	if !changeIDPattern.MatchString(commit.ID) {
		return nil, &inputError{problem: "id must have 8 to 64 letters, digits and hyphens; send a UUID"}
	}
	d, err := config.ParseDocument("document", []byte(commit.Text))
	if err != nil {
		return nil, err
	}
	revision, err := f.commit(ctx, commit.Base, d, commit.ID, author)
	if err != nil {
		return nil, err
	}
	return opapi.CommitResult{Revision: revision, ID: commit.ID}, nil
}

// apiPreview returns faults in the document as part of the preview, not as an
// error, because the caller asked for them.
func (f *Forms) apiPreview(_ context.Context, c *app.RequestContext, _ string) (any, error) {
	var preview opapi.Document
	if err := readJSON(c, &preview); err != nil {
		return nil, err
	}
	revision, current := f.backend.Document()
	p := opapi.Preview{Revision: revision, Faults: []config.Fault{}, Warnings: []config.Fault{}, Effects: []config.Effect{}}
	d, err := config.ParseDocument("document", []byte(preview.Text))
	var faults *config.FaultsError
	if errors.As(err, &faults) {
		p.Faults = faults.Faults
		return p, nil
	}
	if err != nil {
		return nil, errors.Trace(err)
	}
	p.Warnings = append(p.Warnings, d.Warnings()...)
	p.Effects = append(p.Effects, config.Diff(current, d)...)
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
	var order opapi.DrainOrder
	if err := readJSON(c, &order); err != nil {
		return nil, err
	}
	if order.Kind != opapi.HostKind && order.Kind != opapi.TargetKind {
		return nil, &inputError{problem: `kind must be "host" or "target"`}
	}
	return order, f.backend.Drain(ctx, order.Kind, order.Name)
}

func readJSON(c *app.RequestContext, v any) error {
	if err := json.Unmarshal(c.Request.Body(), v); err != nil {
		return &inputError{problem: "the request body is not the JSON object that this call expects; see docs/http.md"}
	}
	return nil
}

func writeJSON(c *app.RequestContext, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		status, b = http.StatusInternalServerError, []byte(`{"error":{"kind":"internal","message":"the response cannot be encoded as JSON"}}`)
	}
	c.Data(status, jsonType, append(b, '\n'))
}
