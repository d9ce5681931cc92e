package forms_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/cookiejar"
	"net/url"
	"os"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	sample "sesamehill.example/sesamehill/examples"
	"sesamehill.example/sesamehill/internal/dump"
	"sesamehill.example/sesamehill/internal/fakes"
	"sesamehill.example/sesamehill/internal/forms"
	"sesamehill.example/sesamehill/pkg/config"
	"sesamehill.example/sesamehill/pkg/opapi"
)

const operatorKey = "operator-key"

func TestForms(t *testing.T) {
	RegisterFailHandler(Fail)
	hlog.SetLevel(hlog.LevelFatal)
	RunSpecs(t, "forms")
}

// testServer is an admin server that serves the forms with a fake backend.
type testServer struct {
	url     string
	backend *fakes.Backend
	client  *http.Client
	// now is the time of the sessions' clock in Unix seconds.
	now atomic.Int64
}

func newTestServer(d *config.Document) *testServer {
	b := &testServer{backend: fakes.NewBackend(d)}
	b.now.Store(1700000000)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	b.url = "http://" + l.Addr().String()
	a := dump.NewAdmin(dump.New(), dump.WithListener(l))
	a.Mount(forms.New(b.backend, forms.WithOperators([]string{config.HashKey(operatorKey)}),
		forms.WithClock(func() time.Time { return time.Unix(b.now.Load(), 0) })).Routes)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- a.Serve(ctx) }()
	DeferCleanup(func() {
		b.client.CloseIdleConnections()
		cancel()
		Eventually(served, "5s").Should(Receive())
	})
	jar, _ := cookiejar.New(nil)
	b.client = &http.Client{Jar: jar, Transport: &http.Transport{}}
	return b
}

func (b *testServer) do(r *http.Request) (int, string) {
	a, err := b.client.Do(r)
	Expect(err).NotTo(HaveOccurred())
	defer a.Body.Close()
	body, err := io.ReadAll(a.Body)
	Expect(err).NotTo(HaveOccurred())
	return a.StatusCode, string(body)
}

func (b *testServer) get(path string) (int, string) {
	r, err := http.NewRequest(http.MethodGet, b.url+path, nil)
	Expect(err).NotTo(HaveOccurred())
	return b.do(r)
}

func (b *testServer) post(path string, v url.Values, header ...string) (int, string) {
	r, err := http.NewRequest(http.MethodPost, b.url+path, strings.NewReader(v.Encode()))
	Expect(err).NotTo(HaveOccurred())
	r.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	return b.do(r)
}

func (b *testServer) api(method, path, key string, body any) (int, string) {
	j, err := json.Marshal(body)
	Expect(err).NotTo(HaveOccurred())
	r, err := http.NewRequest(method, b.url+path, strings.NewReader(string(j)))
	Expect(err).NotTo(HaveOccurred())
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	return b.do(r)
}

func (b *testServer) login() {
	s, body := b.post("/login", url.Values{"key": {operatorKey}, "next": {"/"}})
	Expect(s).To(Equal(200), body)
	Expect(body).To(ContainSubstring("Overview"))
}

var (
	hiddenInputTag = regexp.MustCompile(`<input type="hidden" name="([^"]+)" value="([^"]*)">`)
	checkedBoxTag  = regexp.MustCompile(`<input type="checkbox" name="([^"]+)" value="([^"]*)" checked`)
	textInputTag   = regexp.MustCompile(`<input id="[^"]+" name="([^"]+)" value="([^"]*)"`)
	textAreaTag    = regexp.MustCompile(`(?s)<textarea id="[^"]+" name="([^"]+)"[^>]*>\n?(.*?)</textarea>`)
)

// formValues returns the fields that a browser would send from a page.
func formValues(page string) url.Values {
	v := url.Values{}
	_, page, _ = strings.Cut(page, "<main")
	for _, t := range []*regexp.Regexp{hiddenInputTag, checkedBoxTag, textInputTag, textAreaTag} {
		for _, m := range t.FindAllStringSubmatch(page, -1) {
			v.Add(m[1], htmlUnescaper.Replace(m[2]))
		}
	}
	return v
}

var htmlUnescaper = strings.NewReplacer("&#34;", `"`, "&#39;", "'", "&lt;", "<", "&gt;", ">", "&#43;", "+", "&amp;", "&")

func demoDocument() *config.Document {
	d, err := config.ParseDocument("demo.toml", sample.Demo)
	Expect(err).NotTo(HaveOccurred())
	return d
}

// largeDocument returns a document with 10,000 accounts.
func largeDocument() *config.Document {
	d := demoDocument()
	d.Accounts = nil
	for i := range 10000 {
		d.Accounts = append(d.Accounts, config.Account{
			Name: fmt.Sprintf("account-%05d", i), Keys: []string{config.HashKey(fmt.Sprint(i))},
			Models: []string{"advisor"}, Services: []string{"dispatch"}, Rate: 5, Concurrency: 8,
		})
	}
	return d
}

var _ = Describe("authentication", func() {
	// Guards against an API without authentication, and against a page of another
	// origin that uses an operator's session cookie.
	It("admits only operators' keys to the API, never a session", func() {
		b := newTestServer(demoDocument())
		b.login()
		for _, key := range []string{"", "wrong", "keeper-key"} {
			s, body := b.api("GET", "/api/document", key, nil)
			Expect(s).To(Equal(401))
			Expect(body).To(ContainSubstring(`"kind":"authentication"`))
		}
		s, _ := b.api("GET", "/api/document", operatorKey, nil)
		Expect(s).To(Equal(200))
	})

	It("requires a login, and rejects a session that is forged, idle for too long or logged out", func() {
		b := newTestServer(demoDocument())
		_, body := b.get("/accounts?q=k")
		Expect(body).To(ContainSubstring(`name="next" value="/accounts?q=k"`))
		s, _ := b.post("/login", url.Values{"key": {"wrong"}})
		Expect(s).To(Equal(401))
		b.login()
		_, body = b.get("/accounts")
		Expect(body).To(ContainSubstring("keeper"))
		u, _ := url.Parse(b.url)
		cookie := b.client.Jar.Cookies(u)[0].Value
		b.client.Jar.SetCookies(u, []*http.Cookie{{Name: "sesamehill", Value: "op-ffffffff" + cookie[11:], Path: "/"}})
		_, body = b.get("/accounts")
		Expect(body).To(ContainSubstring("Operator key"))
		b.login()
		b.now.Add(31 * 60)
		_, body = b.get("/accounts")
		Expect(body).To(ContainSubstring("Operator key"))
		b.login()
		_, body = b.get("/")
		_, token, _ := strings.Cut(body, `name="csrf" value="`)
		token, _, _ = strings.Cut(token, `"`)
		_, _ = b.post("/logout", url.Values{"csrf": {token}})
		_, body = b.get("/accounts")
		Expect(body).To(ContainSubstring("Operator key"))
	})

	// Guards against a login page that redirects operators to another site.
	DescribeTable("redirects only within the console", func(next string) {
		b := newTestServer(demoDocument())
		b.client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
		a, err := b.client.PostForm(b.url+"/login", url.Values{"key": {operatorKey}, "next": {next}})
		Expect(err).NotTo(HaveOccurred())
		defer a.Body.Close()
		Expect(a.Header.Get("Location")).To(Or(Equal("/"), Equal(b.url+"/")))
		Expect(a.Header.Get("Set-Cookie")).To(And(ContainSubstring("HttpOnly"), ContainSubstring("SameSite=Strict")))
	},
		Entry("full URL", "http://evil.example/"), Entry("no scheme", "//evil.example"),
		Entry("backslash", `/\evil.example`), Entry("nothing", ""),
	)

	It("rejects forms without the session's token or from another origin", func() {
		b := newTestServer(demoDocument())
		b.login()
		_, page := b.get("/edit?form=account&entry=keeper")
		v := formValues(page)
		v.Set("rate", "7")
		for _, path := range []string{"/preview", "/commit", "/drain", "/logout", "/edit"} {
			forged := url.Values{}
			for k, list := range v {
				forged[k] = list
			}
			forged.Set("csrf", "forged")
			s, _ := b.post(path, forged)
			Expect(s).To(Equal(403), path)
			s, _ = b.post(path, v, "Origin", "http://evil.example")
			Expect(s).To(Equal(403), path)
		}
		revision, _ := b.backend.Document()
		Expect(revision).To(Equal(uint64(1)))
	})

	It("sends a content security policy that allows no scripts or external resources", func() {
		b := newTestServer(demoDocument())
		a, err := b.client.Get(b.url + "/login")
		Expect(err).NotTo(HaveOccurred())
		defer a.Body.Close()
		Expect(a.Header.Get("Content-Security-Policy")).To(HavePrefix("default-src 'none'; style-src 'self'; form-action 'self'"))
		body, _ := io.ReadAll(a.Body)
		Expect(string(body)).NotTo(Or(ContainSubstring("<script"), ContainSubstring("style="), ContainSubstring("http://")))
	})
})

var _ = Describe("changes", func() {
	var b *testServer
	BeforeEach(func() {
		b = newTestServer(demoDocument())
		b.login()
	})
	// previewEdit opens a form, sets fields and returns its preview.
	previewEdit := func(query string, set ...string) (int, string) {
		_, page := b.get("/edit?" + query)
		v := formValues(page)
		for i := 0; i+1 < len(set); i += 2 {
			v.Set(set[i], set[i+1])
		}
		return b.post("/preview", v)
	}
	commitPreview := func(page string) (int, string) { return b.post("/commit", formValues(page)) }

	// Guards against a form that drops or alters fields that were not edited.
	DescribeTable("changes only the edited field", func(query, field, value, effect string) {
		if query != "form=account" {
			_, unchanged := previewEdit(query)
			Expect(unchanged).To(ContainSubstring("This changes nothing"))
		}
		_, page := previewEdit(query, field, value)
		Expect(page).To(ContainSubstring(effect))
		_, before := b.backend.Document()
		s, body := commitPreview(page)
		Expect(s).To(Equal(200), body)
		Expect(body).To(ContainSubstring("Revision 2 accepted"))
		_, after := b.backend.Document()
		Expect(config.Diff(before, after)).To(HaveLen(1))
	},
		Entry("account", "form=account&entry=keeper", "rate", "7.5", "account keeper: rate: 100 -&gt; 7.5"),
		Entry("where state may live", "form=account&entry=keeper", "regions", "sul", "account keeper: regions: (none) -&gt; sul"),
		Entry("version", "form=model&entry=advisor", "version", "2", "model advisor: version: 1 -&gt; 2 (accounts touched: 2)"),
		Entry("non-idempotent paths", "form=service&entry=dispatch", "repeat", "/status", "service dispatch: path"),
		Entry("limits", "form=limits", "wait", "10s", "limits: wait: 20s -&gt; 10s"),
		Entry("zones", "form=region&entry=sul", "zones", "sul-a\nsul-b\nsul-c", "region sul: zones"),
		Entry("link", "form=link&entry=sul%2fsudeste", "rate", "60", "rate: 30 -&gt; 60"),
		Entry("new account", "form=account", "name", "ana", "account ana: added"),
		Entry("removal", "form=account&entry=keeper", "op", "remove", "account keeper: removed"),
	)

	It("shows faults with the posted values and commits nothing", func() {
		s, page := previewEdit("form=account&entry=keeper", "rate", "many", "keys", "plain-key")
		Expect(s).To(Equal(422))
		Expect(page).To(And(ContainSubstring("give a number"), ContainSubstring(`value="many"`)))
		s, page = previewEdit("form=account&entry=keeper", "rate", "-1")
		Expect(s).To(Equal(422))
		Expect(page).To(ContainSubstring("account keeper.rate"))
	})

	// Guards against a commit that silently overwrites another operator's change.
	It("shows the other operator's change on a conflict and keeps it", func() {
		_, mine := previewEdit("form=account&entry=keeper", "rate", "7")
		_, theirs := previewEdit("form=account&entry=keeper", "priority", "9")
		s, _ := commitPreview(theirs)
		Expect(s).To(Equal(200))
		s, page := commitPreview(mine)
		Expect(s).To(Equal(409))
		author := "op-" + config.HashKey(operatorKey)[len("blake3:"):][:8]
		Expect(page).To(And(ContainSubstring("Nothing was changed"), ContainSubstring(author+" committed revision 2"),
			ContainSubstring("priority: 9 -&gt; 0"), ContainSubstring("Commit on revision 2")))
		_, d := b.backend.Document()
		Expect(d.Accounts[0].Priority).To(Equal(9))
	})

	// Guards against a commit that is applied twice because its response was lost.
	It("retries a commit of unknown outcome with the same ID", func() {
		b.backend.LoseReplies(1)
		_, page := previewEdit("form=account&entry=keeper", "rate", "7")
		s, page := commitPreview(page)
		Expect(s).To(Equal(504))
		s, page = commitPreview(page)
		Expect(s).To(Equal(200), page)
		Expect(page).To(ContainSubstring("Revision 2 accepted"))
		revision, _ := b.backend.Document()
		Expect(revision).To(Equal(uint64(2)))
	})

	It("edits the TOML text and keeps accounts that another operator added to the same part", func() {
		_, page := previewEdit("form=raw&entry=whole", "toml", "[deployment]\nname = 3\n")
		Expect(page).To(ContainSubstring("line 2"))
		b = newTestServer(largeDocument())
		b.login()
		_, part := b.get("/edit?form=raw&entry=accounts:3")
		v := formValues(part)
		revision, d := b.backend.Document()
		other := *d
		other.Accounts = append([]config.Account{{Name: "account-00061b", Models: []string{"advisor"}, Rate: 1, Concurrency: 1}}, d.Accounts...)
		_, err := b.backend.Commit(context.Background(), revision, &other, "other-change", "op-other")
		Expect(err).NotTo(HaveOccurred())
		v.Set("toml", strings.Replace(v.Get("toml"), "rate = 5.0", "rate = 6.0", 1))
		_, page = b.post("/preview", v)
		Expect(page).To(And(ContainSubstring("op-other"), ContainSubstring("account account-00060: rate: 5 -&gt; 6")))
		Expect(page).NotTo(ContainSubstring("removed"))
	})

	// Guards against a part of the document that silently drops tables of another
	// part.
	DescribeTable("rejects tables of another part", func(part, text, fault string) {
		b = newTestServer(largeDocument())
		b.login()
		_, page := b.get("/edit?form=raw&entry=" + part)
		v := formValues(page)
		Expect(strings.Contains(v.Get("toml"), "[deployment]")).To(Equal(part == "base"))
		v.Set("toml", v.Get("toml")+text)
		s, page := b.post("/preview", v)
		Expect(s).To(Equal(422))
		Expect(page).To(ContainSubstring(fault))
	},
		Entry("limits among accounts", "accounts:0", "\n[limits]\nqueue = 1\n", "the key is not part of this text"),
		Entry("unknown key", "base", "\n[colours]\nred = 1\n", "the key is not part of this text"),
		Entry("syntax", "accounts:0", "\n[[account]\n", "correct the text at this line"),
	)

	// Guards against reporting a commit as failed although it may have been applied.
	It("reports a commit without an outcome as unknown, not as failed", func() {
		_, page := previewEdit("form=account&entry=keeper", "rate", "7")
		b.backend.FailCommits(context.DeadlineExceeded)
		s, page := commitPreview(page)
		Expect(s).To(Equal(504))
		Expect(page).To(And(ContainSubstring("Outcome unknown"), ContainSubstring("Send again with the same ID")))
	})
})

var _ = Describe("pages", func() {
	// Guards against pages whose size or load time grows with the number of accounts
	// or targets.
	It("stays under 50 KB and 100 ms with 10,000 accounts and 1,300 targets", func() {
		b := newTestServer(largeDocument())
		var hosts []opapi.Host
		var targets []opapi.Target
		for i := range 330 {
			hosts = append(hosts, opapi.Host{Name: fmt.Sprintf("host-%03d", i), Zone: "sul-a", State: opapi.Live})
		}
		for i := range 1300 {
			targets = append(targets, opapi.Target{
				Name: fmt.Sprintf("engine-%04d", i), Kind: "engine", Zone: "sul-a", State: opapi.Live,
				Models: []string{"advisor@1", "second@3", "third@2"},
			})
		}
		b.backend.SetFleet(hosts, targets, nil)
		b.login()
		for _, path := range []string{
			"/", "/live", "/live?targets=9", "/accounts", "/accounts?page=200", "/accounts?q=0999", "/models", "/raw", "/raw?page=10",
			"/edit?form=raw&entry=base", "/edit?form=raw&entry=accounts:499", "/edit?form=account&entry=account-05000",
			"/rollout?model=advisor", "/history",
		} {
			b.loadWithinBounds(path, func() (int, string) { return b.get(path) })
		}
		_, page := b.get("/edit?form=model&entry=advisor")
		v := formValues(page)
		v.Set("version", "2")
		v.Set("loads", "1")
		preview := b.loadWithinBounds("preview", func() (int, string) { return b.post("/preview", v) })
		Expect(preview).To(ContainSubstring("accounts touched: 10000"))
		s, _ := b.post("/commit", formValues(preview))
		Expect(s).To(Equal(200))
	})

	// Guards against previews whose size grows with the text of the change.
	It("stays under 50 KB when every account of the largest document edited as a whole changes", func() {
		d := demoDocument()
		for text := []byte{}; len(text) < 15<<10; text, _ = d.Format() {
			d.Accounts = append(d.Accounts, config.Account{
				Name: fmt.Sprintf("account-%d", len(d.Accounts)), Models: []string{"advisor"}, Services: []string{"dispatch"},
				Zones: []string{"sul-a", "sul-b", "sudeste-a"}, Rate: 5, Concurrency: 8,
			})
		}
		b := newTestServer(d)
		b.login()
		v := formValues(b.loadWithinBounds("edit", func() (int, string) { return b.get("/edit?form=raw&entry=whole") }))
		v.Set("toml", strings.ReplaceAll(strings.ReplaceAll(v.Get("toml"), "concurrency = 8", "concurrency = 9"), "rate = 5", "rate = 6"))
		page := b.loadWithinBounds("preview", func() (int, string) { return b.post("/preview", v) })
		Expect(page).To(And(ContainSubstring("more effects"), ContainSubstring("longer than shown")))
		s, page := b.post("/commit", formValues(page))
		Expect(s).To(Equal(200), page)
		_, after := b.backend.Document()
		Expect(after.Accounts[len(after.Accounts)-1]).To(And(HaveField("Rate", 6.0), HaveField("Concurrency", 9)))
	})

	// Guards against fields that a screen reader cannot name, and against controls
	// that cannot be reached with the keyboard.
	It("labels every field and uses only native controls", func() {
		b := newTestServer(demoDocument())
		b.login()
		control := regexp.MustCompile(`<(?:input|textarea) id="([^"]+)"`)
		for _, path := range []string{
			"/login", "/live", "/accounts", "/edit?form=account&entry=keeper", "/edit?form=model&entry=advisor",
			"/edit?form=service&entry=dispatch", "/edit?form=region&entry=sul", "/edit?form=link&entry=sul%2fsudeste",
			"/edit?form=limits", "/edit?form=raw&entry=whole",
		} {
			_, page := b.get(path)
			Expect(page).To(ContainSubstring(`<meta name="viewport"`))
			controls := control.FindAllStringSubmatch(page, -1)
			Expect(controls).NotTo(BeEmpty(), path)
			for _, m := range controls {
				Expect(strings.Count(page, `id="`+m[1]+`"`)).To(Equal(1), path)
				Expect(page).To(ContainSubstring(`<label for="`+m[1]+`">`), path)
			}
			unlabelled := regexp.MustCompile(`<(input|textarea|select)[ >]`).FindAllString(page, -1)
			known := len(controls) + strings.Count(page, `type="hidden"`) + strings.Count(page, `<label class="option"><input type="checkbox"`)
			Expect(unlabelled).To(HaveLen(known), path)
			Expect(page).NotTo(MatchRegexp(`\son[a-z]+=|tabindex="[1-9-]|<script`), path)
		}
	})

	It("paginates and searches accounts", func() {
		b := newTestServer(largeDocument())
		b.login()
		_, page := b.get("/accounts?page=2")
		Expect(page).To(And(ContainSubstring("account-00050"), ContainSubstring("Page 2 of 200, 10000 in all")))
		_, page = b.get("/accounts?q=0999&page=7")
		Expect(page).To(And(ContainSubstring("account-09990"), ContainSubstring("Page 1 of 1, 11 in all")))
	})

	It("drains a host that exists and reports an error for an unknown one", func() {
		b := newTestServer(demoDocument())
		b.backend.SetFleet([]opapi.Host{{Name: "h1", State: opapi.Live}}, nil, nil)
		b.login()
		_, page := b.get("/drain?kind=host&name=h1")
		s, _ := b.post("/drain", formValues(page))
		Expect(s).To(Equal(200))
		Expect(b.backend.Drained()).To(ConsistOf(opapi.DrainOrder{Kind: opapi.HostKind, Name: "h1"}))
		_, page = b.get("/drain?kind=host&name=h2")
		s, page = b.post("/drain", formValues(page))
		Expect(s).To(Equal(404))
		Expect(page).To(ContainSubstring("does not exist"))
	})
})

// loadWithinBounds checks the size of a page and the shortest of three load times. A
// single load could exceed the bound on a busy machine.
func (b *testServer) loadWithinBounds(name string, load func() (int, string)) string {
	best := time.Hour
	var body string
	for range 3 {
		start := time.Now()
		s, page := load()
		best, body = min(best, time.Since(start)), page
		Expect(s).To(Equal(200), name)
	}
	GinkgoWriter.Printf("%s: %d bytes, %s\n", name, len(body), best)
	Expect(len(body)).To(BeNumerically("<", 50<<10), name)
	Expect(best).To(BeNumerically("<", maxPageDuration), name)
	return body
}

var _ = Describe("API", func() {
	It("responds with typed errors", func() {
		b := newTestServer(demoDocument())
		_, d := b.backend.Document()
		text, _ := d.Format()
		check := func(status int, kind, path string, body any) string {
			s, a := b.api("POST", path, operatorKey, body)
			Expect(s).To(Equal(status), a)
			Expect(a).To(ContainSubstring(`"kind":"` + kind + `"`))
			return a
		}
		check(400, "invalid", "/api/document", opapi.Commit{Base: 1, Text: string(text), ID: "x"})
		check(422, "faults", "/api/document", opapi.Commit{Base: 1, Text: "[deployment]", ID: "change-001"})
		a := check(409, "conflict", "/api/document", opapi.Commit{Base: 9, Text: string(text), ID: "change-001"})
		Expect(a).To(ContainSubstring(`"id":"first-change"`))
		check(404, "missing", "/api/drain", opapi.DrainOrder{Kind: opapi.HostKind, Name: "none"})
		check(400, "invalid", "/api/drain", opapi.DrainOrder{Kind: "zone", Name: "none"})
		b.backend.LoseReplies(1)
		check(504, "unknown", "/api/document", opapi.Commit{Base: 1, Text: string(text), ID: "change-001"})
		s, body := b.api("POST", "/api/document", operatorKey, opapi.Commit{Base: 1, Text: string(text), ID: "change-001"})
		Expect(s).To(Equal(200))
		Expect(body).To(ContainSubstring(`"revision":2`))
		b.backend.SetDown(true)
		check(503, "unavailable", "/api/document", opapi.Commit{Base: 2, Text: string(text), ID: "change-002"})
	})
})

// Guards against API calls and kinds of errors that docs/http.md does not list.
var _ = Describe("docs/http.md", func() {
	It("lists every call and kind of error", func() {
		page, err := os.ReadFile("../../docs/http.md")
		Expect(err).NotTo(HaveOccurred())
		h := server.New(server.WithHostPorts("127.0.0.1:0"))
		forms.New(fakes.NewBackend(demoDocument())).Routes(h)
		calls := 0
		for _, r := range h.Routes() {
			if strings.HasPrefix(r.Path, "/api/") {
				calls++
				Expect(string(page)).To(MatchRegexp("`"+r.Method+" "+r.Path+"[`?]"), r.Path)
			}
		}
		Expect(calls).To(BeNumerically(">", 9))
		for _, k := range []opapi.ErrorKind{
			opapi.KindAuthentication, opapi.KindConflict, opapi.KindFaults, opapi.KindInternal, opapi.KindInvalid,
			opapi.KindMissing, opapi.KindUnavailable, opapi.KindUnknown,
		} {
			Expect(string(page)).To(ContainSubstring("| `" + string(k) + "` |"))
		}
	})
})
