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
	// rowsPerPage keeps the HTML of a table under 20 KB.
	rowsPerPage = 50
	// liveRefreshSeconds is the reload interval of the live page. Load reports and
	// heartbeats are already about a second old when a host shows them.
	liveRefreshSeconds = 5
)

// pager is the data of the links to the other pages of a list.
type pager struct {
	Query  string
	Page   int
	Pages  int
	Total  int
	Prev   string
	Next   string
	Target string
}

// paginate returns the bounds of the page that the request's parameter key selects,
// and the links to its neighbors at path.
func paginate(v *pageRequest, key, path string, total int) (from, to int, p pager) {
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

// row is one entry of a list: the link to its form and the cells of the table.
type row struct {
	Link  string
	Label string
	Cells []string
}

// listPage describes a page that lists entries of the document.
type listPage struct {
	path     string
	title    string
	formName string
	intro    string
	columns  []string
	names    func(d *config.Document) []string
	// cells prepares what the whole list needs and returns the function that lists the
	// cells of an entry.
	cells       func(d *config.Document) func(name string) []string
	canAdd      bool
	relatedPath string
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

var listPages = []listPage{
	{
		path: "/accounts", title: "Client accounts", formName: "account", canAdd: true,
		columns: []string{"Name", "Models", "Rate /s", "Concurrency", "Priority", "State may live in"},
		names: func(d *config.Document) []string {
			return entryNames(len(d.Accounts), func(i int) string { return d.Accounts[i].Name })
		},
		cells: cellsPerEntry(func(d *config.Document, name string) []string {
			a := d.Accounts[accountIndex(d, name)]
			locations := strings.Join(slices.Concat(a.Regions, a.Zones, a.Stores), ", ")
			if locations == "" {
				locations = "everywhere"
			}
			return []string{strings.Join(a.Models, ", "), fmt.Sprint(a.Rate), fmt.Sprint(a.Concurrency), fmt.Sprint(a.Priority), locations}
		}),
	},
	{
		path: "/models", title: "Models and versions", formName: "model", canAdd: true,
		columns: []string{"Name", "Version", "Adapters", "Loads at once", "Targets"},
		names: func(d *config.Document) []string {
			return entryNames(len(d.Models), func(i int) string { return d.Models[i].Name })
		},
		cells: cellsPerEntry(func(d *config.Document, name string) []string {
			m := d.Models[modelIndex(d, name)]
			targets := strings.Join(m.Targets, ", ")
			if targets == "" {
				targets = "all"
			}
			return []string{m.Version, strings.Join(m.Adapters, ", "), fmt.Sprint(m.MaxConcurrentLoads), targets}
		}),
	},
	{
		path: "/services", title: "Plain services", formName: "service", canAdd: true,
		columns: []string{"Name", "Calls", "Exceptions"},
		names: func(d *config.Document) []string {
			return entryNames(len(d.Services), func(i int) string { return d.Services[i].Name })
		},
		cells: cellsPerEntry(func(d *config.Document, name string) []string {
			s := d.Services[serviceIndex(d, name)]
			var paths []string
			for _, p := range s.Paths {
				paths = append(paths, p.Prefix+" "+runPolicy(p.Idempotent))
			}
			return []string{runPolicy(s.Idempotent), strings.Join(paths, ", ")}
		}),
	},
	{
		path: "/regions", title: "Regions", formName: "region", canAdd: true, relatedPath: "/links",
		columns: []string{"Name", "Zones"},
		names: func(d *config.Document) []string {
			return entryNames(len(d.Regions), func(i int) string { return d.Regions[i].Name })
		},
		cells: cellsPerEntry(func(d *config.Document, name string) []string {
			return []string{strings.Join(d.Regions[regionIndex(d, name)].Zones, ", ")}
		}),
	},
	{
		path: "/links", title: "Links", formName: "link", canAdd: true,
		columns: []string{"Between", "Rate Mbit/s", "Delay"},
		names: func(d *config.Document) []string {
			return entryNames(len(d.Links), func(i int) string { return linkName(d.Links[i]) })
		},
		cells: cellsPerEntry(func(d *config.Document, name string) []string {
			l := d.Links[linkIndex(d, name)]
			return []string{fmt.Sprint(l.RateMbps), l.Delay.AsDuration().String()}
		}),
	},
	{
		path: "/raw", title: "Document as TOML", formName: "raw", columns: []string{"Part", "Content"},
		intro: "A large document is edited in parts. \"sesamectl config apply\" takes the whole text.",
		names: rawParts,
		cells: func(d *config.Document) func(string) []string {
			sorted := sortedAccounts(d)
			return func(name string) []string { return []string{rawLabel(sorted, name)} }
		},
	},
}

// cellsPerEntry adapts a function that lists the cells of an entry and needs nothing
// prepared for the whole list.
func cellsPerEntry(cells func(d *config.Document, name string) []string) func(d *config.Document) func(name string) []string {
	return func(d *config.Document) func(string) []string {
		return func(name string) []string { return cells(d, name) }
	}
}

func runPolicy(idempotent bool) string {
	if idempotent {
		return "may repeat"
	}
	return "at most once"
}

func entryNames(n int, name func(int) string) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = name(i)
	}
	return out
}

func (f *Forms) entriesPage(l listPage) pageHandler {
	return func(_ context.Context, v *pageRequest) {
		_, d := f.backend.Document()
		q := strings.ToLower(v.Query("q"))
		all := l.names(d)
		if l.formName != "raw" {
			slices.Sort(all)
		}
		matching := slices.DeleteFunc(all, func(n string) bool { return !strings.Contains(strings.ToLower(n), q) })
		from, to, p := paginate(v, "page", l.path, len(matching))
		body := entriesBody{Form: l.formName, Intro: l.intro, Heads: l.columns, Pager: p, Adding: l.canAdd, Also: l.relatedPath}
		cells := l.cells(d)
		for _, n := range matching[from:to] {
			body.Rows = append(body.Rows, row{
				Link: "/edit?" + url.Values{"form": {l.formName}, "entry": {n}}.Encode(), Label: n, Cells: cells(n),
			})
		}
		f.showPage(v, http.StatusOK, "entries", l.title, body)
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

// maxShownItems bounds each list of warnings, faults, effects or changes on a page.
const maxShownItems = 40

func (f *Forms) homePage(ctx context.Context, v *pageRequest) {
	_, d := f.backend.Document()
	b := homeBody{Deployment: d.Deployment.Name, Vars: f.backend.Vars(), Accounts: len(d.Accounts), Models: len(d.Models)}
	warnings := d.Warnings()
	b.Warnings = warnings[:min(maxShownItems, len(warnings))]
	b.More = len(warnings) - len(b.Warnings)
	var err error
	b.Status, err = f.backend.Status(ctx)
	f.showPage(v, http.StatusOK, "home", "Overview", b, withNotice(err))
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

func (f *Forms) livePage(ctx context.Context, v *pageRequest) {
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
	from, to, b.HostsP = paginate(v, "hosts", "/live", len(b.Hosts))
	b.Hosts = b.Hosts[from:to]
	from, to, b.TargetP = paginate(v, "targets", "/live", len(b.Targets))
	b.Targets = b.Targets[from:to]
	seconds := liveRefreshSeconds
	if b.Paused {
		seconds = 0
	}
	f.showPage(v, http.StatusOK, "live", "Live", b, withRefresh(seconds), withNotice(errs[:]...))
}

func (f *Forms) historyPage(ctx context.Context, v *pageRequest) {
	changes, err := f.backend.History(ctx, rowsPerPage)
	f.showPage(v, http.StatusOK, "history", "History", changes, withNotice(err))
}

func (f *Forms) rolloutPage(ctx context.Context, v *pageRequest) {
	r, err := f.backend.Rollout(ctx, v.Query("model"))
	if err != nil {
		f.showError(v, err)
		return
	}
	seconds := liveRefreshSeconds
	if r.Done {
		seconds = 0
	}
	// Targets that are not ready need attention, so they come first.
	slices.SortStableFunc(r.Targets, func(a, b opapi.RolloutTarget) int { return phaseRank(a) - phaseRank(b) })
	r.Targets = r.Targets[:min(2*rowsPerPage, len(r.Targets))]
	f.showPage(v, http.StatusOK, "rollout", "Rollout of "+r.Model, r, withRefresh(seconds))
}

func phaseRank(t opapi.RolloutTarget) int {
	return slices.Index([]string{"failed", "loading", "waiting", "ready"}, t.Phase)
}

func (f *Forms) drainPage(_ context.Context, v *pageRequest) {
	f.showPage(v, http.StatusOK, "drain", "Drain", opapi.DrainOrder{Kind: opapi.DrainKind(v.Query("kind")), Name: v.Query("name")})
}

func (f *Forms) drainPost(ctx context.Context, v *pageRequest) {
	order := opapi.DrainOrder{Kind: opapi.DrainKind(v.PostForm("kind")), Name: v.PostForm("name")}
	if order.Kind != opapi.HostKind && order.Kind != opapi.TargetKind {
		f.showError(v, &inputError{problem: `kind must be "host" or "target"`})
		return
	}
	if err := f.backend.Drain(ctx, order.Kind, order.Name); err != nil {
		f.showError(v, err)
		return
	}
	f.showMessage(v, http.StatusOK, "Draining", fmt.Sprintf("%s %s takes no new work. The live page shows when it is empty.", order.Kind, order.Name))
}

// truncateCell shortens a text to maxCellChars for a table cell.
func truncateCell(s string) string {
	r := []rune(s)
	if len(r) <= maxCellChars {
		return s
	}
	return string(r[:maxCellChars]) + "…"
}

func formatPercent(share float64) string { return fmt.Sprintf("%.1f%%", 100*share) }

func formatTime(t time.Time) string {
	if t.IsZero() {
		return "unknown"
	}
	return t.UTC().Format("2006-01-02 15:04:05 UTC")
}
