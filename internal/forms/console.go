package forms

import (
	"bytes"
	"context"
	"embed"
	"html/template"
	"net/http"
	"net/url"
	"strings"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/route"
)

//go:embed page
var pageFiles embed.FS

const (
	htmlType = "text/html; charset=utf-8"
	cssType  = "text/css; charset=utf-8"
	// maxCellChars is the number of characters that a table cell shows.
	maxCellChars = 60
)

var pageTemplates = parsePages("change", "drain", "edit", "entries", "history", "home", "live", "login", "message", "preview", "rollout")

func parsePages(names ...string) map[string]*template.Template {
	layout := template.Must(template.New("layout.html").Funcs(template.FuncMap{
		"cell": truncateCell, "join": strings.Join, "percent": formatPercent, "when": formatTime,
	}).ParseFS(pageFiles, "page/layout.html"))
	all := make(map[string]*template.Template, len(names))
	for _, n := range names {
		all[n] = template.Must(template.Must(layout.Clone()).ParseFS(pageFiles, "page/"+n+".html"))
	}
	return all
}

// pageData is the data of the page layout, which every page shows.
type pageData struct {
	Title    string
	Path     string
	Author   string
	Token    string
	Revision uint64
	// Refresh is the number of seconds after which the page reloads itself; 0
	// disables it.
	Refresh int
	// Notice describes the errors that left a part of the page empty.
	Notice string
	Body   any
}

// pageRequest is a request with the session of its signed-in operator.
type pageRequest struct {
	*app.RequestContext
	session session
}

type pageHandler func(ctx context.Context, v *pageRequest)

func (f *Forms) consoleRoutes(r route.IRouter) {
	r.GET("/style.css", func(_ context.Context, c *app.RequestContext) {
		setSecurityHeaders(c)
		b, _ := pageFiles.ReadFile("page/style.css")
		c.Response.Header.Set("Cache-Control", "max-age=3600")
		c.Data(http.StatusOK, cssType, b)
	})
	r.GET("/login", f.loginPage)
	r.POST("/login", f.loginPost)
	r.POST("/logout", f.requireSession(f.logoutPost))
	r.GET("/", f.requireSession(f.homePage))
	r.GET("/live", f.requireSession(f.livePage))
	r.GET("/history", f.requireSession(f.historyPage))
	r.GET("/rollout", f.requireSession(f.rolloutPage))
	for _, l := range listPages {
		r.GET(l.path, f.requireSession(f.entriesPage(l)))
	}
	r.GET("/edit", f.requireSession(f.editPage))
	r.POST("/edit", f.requireSession(f.editPost))
	r.POST("/preview", f.requireSession(f.previewPost))
	r.POST("/commit", f.requireSession(f.commitPost))
	r.GET("/drain", f.requireSession(f.drainPage))
	r.POST("/drain", f.requireSession(f.drainPost))
}

// requireSession admits only operators with a session. A request that changes state
// must also come from the same origin and carry the session's form token.
func (f *Forms) requireSession(h pageHandler) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		setSecurityHeaders(c)
		s, ok := f.session(c)
		v := &pageRequest{RequestContext: c, session: s}
		switch {
		case !ok && isPost(c):
			f.showMessage(v, http.StatusUnauthorized, "Signed out", "The session has ended and nothing was changed. Sign in again.")
			return
		case !ok:
			c.Redirect(http.StatusSeeOther, []byte("/login?next="+url.QueryEscape(string(c.Request.RequestURI()))))
			return
		case isPost(c) && (!sameOrigin(c) || !s.validToken(c)):
			f.showMessage(v, http.StatusForbidden, "Form refused",
				"The form does not belong to this session, so nothing was changed. Open the form again.")
			return
		}
		ctx, cancel := withCallTimeout(ctx)
		defer cancel()
		h(ctx, v)
	}
}

func (f *Forms) loginPage(_ context.Context, c *app.RequestContext) {
	setSecurityHeaders(c)
	f.renderLogin(c, http.StatusOK, c.Query("next"), "")
}

func (f *Forms) loginPost(_ context.Context, c *app.RequestContext) {
	setSecurityHeaders(c)
	next := c.PostForm("next")
	if !sameOrigin(c) {
		f.renderLogin(c, http.StatusForbidden, next, "The form was sent from another site. Sign in here.")
		return
	}
	s, ok := f.login(strings.TrimSpace(c.PostForm("key")))
	if !ok {
		f.renderLogin(c, http.StatusUnauthorized, next, "The key is unknown. Give one whose hash is in the host's settings.")
		return
	}
	f.setSessionCookie(c, s)
	c.Redirect(http.StatusSeeOther, []byte(localPath(next)))
}

// localPath returns next if it is a path on this server, and "/" otherwise. A full
// URL would redirect the operator to another site after the login.
func localPath(next string) string {
	u, err := url.Parse(next)
	if err != nil || u.Host != "" || u.Scheme != "" || !strings.HasPrefix(u.Path, "/") ||
		strings.HasPrefix(u.Path, "//") || strings.ContainsAny(next, "\\\r\n\t") {
		return "/"
	}
	return u.String()
}

func (f *Forms) renderLogin(c *app.RequestContext, status int, next, problem string) {
	render(c, status, "login", pageData{Title: "Sign in", Notice: problem, Body: localPath(next)})
}

func (f *Forms) logoutPost(_ context.Context, v *pageRequest) {
	f.clearSessionCookie(v.RequestContext)
	v.Redirect(http.StatusSeeOther, []byte("/login"))
}

// showPage renders a page for a signed-in operator and renews the session, unless the
// page refreshes itself.
func (f *Forms) showPage(v *pageRequest, status int, name, title string, body any, options ...func(*pageData)) {
	revision, _ := f.backend.Document()
	data := pageData{
		Title: title, Path: string(v.Path()), Author: v.session.author, Token: v.session.formToken,
		Revision: revision, Body: body,
	}
	for _, o := range options {
		o(&data)
	}
	if data.Refresh == 0 && v.session.author != "" {
		f.renewSession(v.RequestContext, v.session)
	}
	render(v.RequestContext, status, name, data)
}

func withRefresh(seconds int) func(*pageData) { return func(v *pageData) { v.Refresh = seconds } }

// withNotice adds the messages of errors to the page.
func withNotice(errs ...error) func(*pageData) {
	return func(v *pageData) {
		for _, err := range errs {
			if err != nil {
				_, d := errorResponse(err)
				v.Notice = strings.TrimSpace(v.Notice + " " + d.Message + ".")
			}
		}
	}
}

func (f *Forms) showMessage(v *pageRequest, status int, title, text string) {
	f.showPage(v, status, "message", title, text)
}

func (f *Forms) showError(v *pageRequest, err error) {
	status, d := errorResponse(err)
	f.showMessage(v, status, "Failed", d.Message)
}

func render(c *app.RequestContext, status int, name string, v pageData) {
	var b bytes.Buffer
	if err := pageTemplates[name].Execute(&b, v); err != nil {
		c.Data(http.StatusInternalServerError, htmlType, []byte("<p>The page cannot be rendered.</p>"))
		return
	}
	c.Data(status, htmlType, b.Bytes())
}
