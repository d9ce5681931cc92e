package forms

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"sesamehill.example/sesamehill/pkg/config"
	"sesamehill.example/sesamehill/pkg/opapi"
)

const (
	// rowsPerPage keeps a table under 20 KB.
	rowsPerPage = 50
	// liveRefresh is the refresh of the live page in seconds; load reports and
	// heartbeats are about a second old anyway.
	liveRefresh = 5
)

// pager splits a list into pages.
type pager struct {
	Query  string
	Page   int
	Pages  int
	Total  int
	Prev   string
	Next   string
	Target string
}

// window returns the bounds of the page that the request asks for.
func window(v *visit, key, path string, total int) (from, to int, p pager) {
	n, _ := strconv.Atoi(v.Query(key))
	p = pager{Query: v.Query("q"), Total: total, Pages: max(1, (total+rowsPerPage-1)/rowsPerPage), Target: path}
	p.Page = min(max(n, 1), p.Pages)
	link := func(page int) string {
		q := url.Values{"q": {p.Query}, key: {strconv.Itoa(page)}}
		if v.Query("pause") != "" {
			q.Set("pause", "1")
		}
		return path + "?" + q.Encode()
	}
	if p.Page > 1 {
		p.Prev = link(p.Page - 1)
	}
	if p.Page < p.Pages {
		p.Next = link(p.Page + 1)
	}
	from = (p.Page - 1) * rowsPerPage
	return from, min(from+rowsPerPage, total), p
}

// row is one entry of a list: a link to its form, and cells.
type row struct {
	Link  string
	Label string
	Cells []string
}

// list is a page that lists entries of the document.
type list struct {
	path   string
	title  string
	form   string
	intro  string
	heads  []string
	names  func(d *config.Document) []string
	cells  func(d *config.Document) func(name string) []string
	adding bool
	also   string
}

type entriesBody struct {
	Form   string
	Intro  string
	Heads  []string
	Rows   []row
	Pager  pager
	Adding bool
	Also   string
}

var lists = []list{
	{
		path: "/accounts", title: "Client accounts", form: "account", adding: true,
		heads: []string{"Name", "Models", "Rate /s", "Concurrency", "Priority", "State may live in"},
		names: func(d *config.Document) []string {
			return names(len(d.Accounts), func(i int) string { return d.Accounts[i].Name })
		},
		cells: each(func(d *config.Document, name string) []string {
			a := d.Accounts[accountAt(d, name)]
			where := strings.Join(slices.Concat(a.Regions, a.Zones, a.Stores), ", ")
			if where == "" {
				where = "everywhere"
			}
			return []string{strings.Join(a.Models, ", "), fmt.Sprint(a.Rate), fmt.Sprint(a.Concurrency), fmt.Sprint(a.Priority), where}
		}),
	},
	{
		path: "/models", title: "Models and versions", form: "model", adding: true,
		heads: []string{"Name", "Version", "Adapters", "Loads at once", "Targets"},
		names: func(d *config.Document) []string {
			return names(len(d.Models), func(i int) string { return d.Models[i].Name })
		},
		cells: each(func(d *config.Document, name string) []string {
			m := d.Models[modelAt(d, name)]
			targets := strings.Join(m.Targets, ", ")
			if targets == "" {
				targets = "all"
			}
			return []string{m.Version, strings.Join(m.Adapters, ", "), fmt.Sprint(m.MaxConcurrentLoads), targets}
		}),
	},
	{
		path: "/services", title: "Plain services", form: "service", adding: true,
		heads: []string{"Name", "Calls", "Exceptions"},
		names: func(d *config.Document) []string {
			return names(len(d.Services), func(i int) string { return d.Services[i].Name })
		},
		cells: each(func(d *config.Document, name string) []string {
			s := d.Services[serviceAt(d, name)]
			var paths []string
			for _, p := range s.Paths {
				paths = append(paths, p.Prefix+" "+runs(p.Idempotent))
			}
			return []string{runs(s.Idempotent), strings.Join(paths, ", ")}
		}),
	},
	{
		path: "/regions", title: "Regions", form: "region", adding: true, also: "/links",
		heads: []string{"Name", "Zones"},
		names: func(d *config.Document) []string {
			return names(len(d.Regions), func(i int) string { return d.Regions[i].Name })
		},
		cells: each(func(d *config.Document, name string) []string {
			return []string{strings.Join(d.Regions[regionAt(d, name)].Zones, ", ")}
		}),
	},
	{
		path: "/links", title: "Links", form: "link", adding: true,
		heads: []string{"Between", "Rate Mbit/s", "Delay"},
		names: func(d *config.Document) []string {
			return names(len(d.Links), func(i int) string { return linkName(d.Links[i]) })
		},
		cells: each(func(d *config.Document, name string) []string {
			l := d.Links[linkAt(d, name)]
			return []string{fmt.Sprint(l.RateMbps), l.Delay.AsDuration().String()}
		}),
	},
	{
		path: "/raw", title: "Document as TOML", form: "raw", heads: []string{"Part", "Content"},
		intro: "A large document is edited in parts. \"sesamectl config apply\" takes the whole text.",
		names: rawParts,
		cells: func(d *config.Document) func(string) []string {
			sorted := sortedAccounts(d)
			return func(name string) []string { return []string{rawLabel(sorted, name)} }
		},
	},
}

// each adapts cells that need no preparation.
func each(cells func(d *config.Document, name string) []string) func(d *config.Document) func(name string) []string {
	return func(d *config.Document) func(string) []string {
		return func(name string) []string { return cells(d, name) }
	}
}

func runs(idempotent bool) string {
	if idempotent {
		return "may repeat"
	}
	return "at most once"
}

func names(n int, name func(int) string) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = name(i)
	}
	return out
}

func (f *Forms) entriesPage(l list) pageHandler {
	return func(_ context.Context, v *visit) {
		_, d := f.backend.Document()
		q := strings.ToLower(v.Query("q"))
		all := l.names(d)
		if l.form != "raw" {
			slices.Sort(all)
		}
		found := slices.DeleteFunc(all, func(n string) bool { return !strings.Contains(strings.ToLower(n), q) })
		from, to, p := window(v, "page", l.path, len(found))
		body := entriesBody{Form: l.form, Intro: l.intro, Heads: l.heads, Pager: p, Adding: l.adding, Also: l.also}
		cells := l.cells(d)
		for _, n := range found[from:to] {
			body.Rows = append(body.Rows, row{
				Link: "/edit?" + url.Values{"form": {l.form}, "entry": {n}}.Encode(), Label: n, Cells: cells(n),
			})
		}
		f.show(v, http.StatusOK, "entries", l.title, body)
	}
}

type homeBody struct {
	Deployment string
	Status     opapi.Status
	Vars       opapi.Vars
	Accounts   int
	Models     int
	Warnings   []config.Fault
	More       int
}

// maxShown bounds the lists of warnings, faults and effects of one page.
const maxShown = 40

func (f *Forms) homePage(ctx context.Context, v *visit) {
	_, d := f.backend.Document()
	b := homeBody{Deployment: d.Deployment.Name, Vars: f.backend.Vars(), Accounts: len(d.Accounts), Models: len(d.Models)}
	warnings := d.Warnings()
	b.Warnings = warnings[:min(maxShown, len(warnings))]
	b.More = len(warnings) - len(b.Warnings)
	var err error
	b.Status, err = f.backend.Status(ctx)
	f.show(v, http.StatusOK, "home", "Overview", b, notice(err))
}

type liveBody struct {
	Paused  bool
	Query   string
	Status  opapi.Status
	Vars    opapi.Vars
	Hosts   []opapi.Host
	HostsP  pager
	Targets []opapi.Target
	TargetP pager
	Links   []opapi.Link
}

func (f *Forms) livePage(ctx context.Context, v *visit) {
	b := liveBody{Paused: v.Query("pause") != "", Query: v.Query("q"), Vars: f.backend.Vars()}
	var errs [4]error
	b.Status, errs[0] = f.backend.Status(ctx)
	b.Hosts, errs[1] = f.backend.Hosts(ctx)
	b.Targets, errs[2] = f.backend.Targets(ctx)
	b.Links, errs[3] = f.backend.Links(ctx)
	match := func(parts ...string) bool { return strings.Contains(strings.Join(parts, " "), b.Query) }
	b.Hosts = slices.DeleteFunc(slices.Clone(b.Hosts), func(h opapi.Host) bool { return !match(h.Name, h.Zone, string(h.State)) })
	b.Targets = slices.DeleteFunc(slices.Clone(b.Targets), func(t opapi.Target) bool {
		return !match(t.Name, t.Kind, t.Zone, string(t.State))
	})
	var from, to int
	from, to, b.HostsP = window(v, "hosts", "/live", len(b.Hosts))
	b.Hosts = b.Hosts[from:to]
	from, to, b.TargetP = window(v, "targets", "/live", len(b.Targets))
	b.Targets = b.Targets[from:to]
	seconds := liveRefresh
	if b.Paused {
		seconds = 0
	}
	f.show(v, http.StatusOK, "live", "Live", b, refresh(seconds), notice(errs[:]...))
}

func (f *Forms) historyPage(ctx context.Context, v *visit) {
	changes, err := f.backend.History(ctx, rowsPerPage)
	f.show(v, http.StatusOK, "history", "History", changes, notice(err))
}

func (f *Forms) rolloutPage(ctx context.Context, v *visit) {
	r, err := f.backend.Rollout(ctx, v.Query("model"))
	if err != nil {
		f.fail(v, err)
		return
	}
	seconds := liveRefresh
	if r.Done {
		seconds = 0
	}
	// The targets that are not ready are the ones to look at.
	slices.SortStableFunc(r.Targets, func(a, b opapi.RolloutTarget) int { return rank(a) - rank(b) })
	r.Targets = r.Targets[:min(2*rowsPerPage, len(r.Targets))]
	f.show(v, http.StatusOK, "rollout", "Rollout of "+r.Model, r, refresh(seconds))
}

func rank(t opapi.RolloutTarget) int {
	return slices.Index([]string{"failed", "loading", "waiting", "ready"}, t.Phase)
}

func (f *Forms) drainPage(_ context.Context, v *visit) {
	f.show(v, http.StatusOK, "drain", "Drain", opapi.DrainOrder{Kind: opapi.DrainKind(v.Query("kind")), Name: v.Query("name")})
}

func (f *Forms) drainPost(ctx context.Context, v *visit) {
	o := opapi.DrainOrder{Kind: opapi.DrainKind(v.PostForm("kind")), Name: v.PostForm("name")}
	if o.Kind != opapi.HostKind && o.Kind != opapi.TargetKind {
		f.fail(v, &inputError{problem: `kind must be "host" or "target"`})
		return
	}
	if err := f.backend.Drain(ctx, o.Kind, o.Name); err != nil {
		f.fail(v, err)
		return
	}
	f.message(v, http.StatusOK, "Draining", fmt.Sprintf("%s %s takes no new work. The live page shows when it is empty.", o.Kind, o.Name))
}

// cell shortens a text for a table.
func cell(s string) string {
	r := []rune(s)
	if len(r) <= maxCell {
		return s
	}
	return string(r[:maxCell]) + "…"
}

func percent(share float64) string { return fmt.Sprintf("%.1f%%", 100*share) }

func when(t time.Time) string {
	if t.IsZero() {
		return "unknown"
	}
	return t.UTC().Format("2006-01-02 15:04:05 UTC")
}
