package dump_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/route"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sesamehill.example/sesamehill/internal/dump"
	"sesamehill.example/sesamehill/pkg/chain"
	"sesamehill.example/sesamehill/pkg/config"
)

func TestDump(t *testing.T) {
	RegisterFailHandler(Fail)
	hlog.SetLevel(hlog.LevelFatal)
	RunSpecs(t, "dump")
}

type queue struct {
	Name   string      `json:"name"`
	Tokens int         `json:"tokens"`
	At     time.Time   `json:"at"`
	Keys   []chain.Key `json:"keys"`
	Next   *queue      `json:"next,omitempty"`
}

var _ = Describe("Registry", func() {
	section := func(fill func() any) string {
		r := dump.New()
		r.Add("part", fill)
		r.Add("other", func() any { return []queue{{Name: "visible"}} })
		b, err := r.JSON()
		Expect(err).NotTo(HaveOccurred())
		var all map[string]json.RawMessage
		Expect(json.Unmarshal(b, &all)).To(Succeed())
		Expect(string(all["other"])).To(ContainSubstring("visible"))
		return string(all["part"])
	}

	// Guards against an API key or prompt text in the dump, and against a rejected
	// section that removes the others.
	DescribeTable("leaves out a section that could hold secrets", func(v any, reason string) {
		s := section(func() any { return v })
		Expect(s).To(ContainSubstring("left out"))
		Expect(s).To(ContainSubstring(reason))
		Expect(s).NotTo(ContainSubstring("hidden"))
	},
		Entry("a prompt", struct{ Prompt string }{"hidden"}, "section.Prompt"),
		Entry("token IDs", []struct{ Tokens []uint32 }{{[]uint32{7}}}, "section[].Tokens"),
		Entry("a secret JSON name", struct {
			A string `json:"authorization"`
		}{"hidden"}, "section.A"),
		Entry("an account's keys", map[string]*config.Account{"a": {Keys: []string{"hidden"}}}, "Keys"),
		Entry("a field of type any", struct{ Value any }{"hidden"}, "section.Value"),
		Entry("raw bytes", struct{ Data []byte }{[]byte("hidden")}, "section.Data"),
		Entry("raw JSON", struct{ Data json.RawMessage }{json.RawMessage(`"hidden"`)}, "section.Data"),
		Entry("a nested struct", struct {
			Inner struct{ Header map[string]string }
		}{}, "section.Inner.Header"),
		Entry("a nil section", nil, "nil"),
	)

	It("leaves out a section whose snapshot function panics", func() {
		s := section(func() any { panic("hidden") })
		Expect(s).To(ContainSubstring("panicked"))
		Expect(s).NotTo(ContainSubstring("hidden"))
	})

	// Guards against a type check that rejects state without secrets.
	It("shows counts, times and block keys, and settings without key hashes", func() {
		q := queue{Name: "a", Tokens: 5, Keys: []chain.Key{{1}}, Next: &queue{Name: "b"}}
		Expect(section(func() any { return q })).To(And(ContainSubstring(`"tokens": 5`), ContainSubstring(`"0100`)))
		s := section(func() any { return config.Settings{Name: "h", Operators: []string{"hidden"}} })
		Expect(s).To(ContainSubstring(`"name": "h"`))
		Expect(s).NotTo(ContainSubstring("hidden"))
	})
})

var _ = Describe("Admin", func() {
	// Guards against a host that reports ready too early, and against mounted routes
	// that are not served.
	It("serves state, counters, health and mounted routes until it is cancelled", func() {
		r := dump.New()
		r.Add("queue", func() any { return queue{Name: "visible"} })
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		notReady := errors.New("no document yet")
		a := dump.NewAdmin(r, dump.WithListener(l), dump.WithReady(func() error { return notReady }))
		a.Mount(func(r route.IRouter) {
			r.Group("/api").GET("/status", func(_ context.Context, c *app.RequestContext) { c.String(http.StatusTeapot, "mounted") })
			r.GET("/panic", func(context.Context, *app.RequestContext) { panic("handler") })
		})
		ctx, cancel := context.WithCancel(context.Background())
		served := make(chan error, 1)
		go func() { served <- a.Serve(ctx) }()
		get := func(path string) (int, string) {
			a, err := http.Get("http://" + l.Addr().String() + path)
			Expect(err).NotTo(HaveOccurred())
			defer a.Body.Close()
			b, err := io.ReadAll(a.Body)
			Expect(err).NotTo(HaveOccurred())
			return a.StatusCode, string(b)
		}
		expect := func(path string, status int, body string) {
			s, b := get(path)
			Expect(s).To(Equal(status), path)
			Expect(b).To(ContainSubstring(body), path)
		}
		expect("/state", 200, `"name": "visible"`)
		expect("/debug/vars", 200, `"memstats"`)
		expect("/healthz", 200, "ok")
		expect("/readyz", 503, "no document yet")
		expect("/api/status", 418, "mounted")
		expect("/panic", 500, "")
		cancel()
		Eventually(served, "3s").Should(Receive(BeNil()))
	})
})
