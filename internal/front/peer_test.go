package front

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/bound"
	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/gate"
	"sesamehill.example/sesamehill/internal/site"
	"sesamehill.example/sesamehill/internal/stash"
	"sesamehill.example/sesamehill/internal/wire"
)

// Guards against hosts that learn nothing of the stores because they don't ask
// them, and against callers of the address that can end a host.
var _ = Describe("what stores hold", func() {
	const store = "10.0.0.9:80"
	described := func() *stash.Catalog {
		s, err := site.New(site.Site{Services: []site.Service{
			{Name: "s", Store: &site.Store{Address: store, Zone: "z", Tokens: 10000, Managed: true}},
		}})
		Expect(err).NotTo(HaveOccurred())
		c := stash.NewCatalog(map[string]string{"z": "r"})
		c.Describe(s)
		return c
	}
	var hub *Host
	var server *httptest.Server
	BeforeEach(func() {
		hub = &Host{log: zap.NewNop(), stash: described()}
		server = httptest.NewServer(hub.peerHandler())
		DeferCleanup(server.Close)
	})

	It("is told from host to host, and then only what changed", func() {
		held := func(part string) stash.Held {
			return stash.Held{Key: stash.Key{Scope: "m/1", Part: part}, Tokens: 10}
		}
		hub.stash.Listed(store, stash.Listing{Epoch: 4, Next: 1, Held: []stash.Held{held("aa"), held("bb")}}, wire.Boot())
		asking := &Host{log: zap.NewNop(), stash: described(), peers: newPeers(bound.NewPool(1 << 20))}
		p := &pollers{host: asking}
		d, err := p.ask(context.Background(), strings.TrimPrefix(server.URL, "http://"))
		Expect(err).NotTo(HaveOccurred())
		asking.stash.Import(d, wire.Boot())
		Expect(asking.stash.Stats()[0].Parts).To(Equal(2))
		e := stash.Event{Held: held("cc"), Added: true}
		hub.stash.Heard(store, stash.Events{Epoch: 4, Next: 2, Events: []stash.Event{e}}, wire.Boot())
		d, err = p.ask(context.Background(), strings.TrimPrefix(server.URL, "http://"))
		Expect(err).NotTo(HaveOccurred())
		Expect(d.Updates[0].Full).To(BeFalse())
		asking.stash.Import(d, wire.Boot())
		Expect(asking.stash.Stats()[0].Parts).To(Equal(3))
	})

	It("is refused to callers that send something else", func() {
		resp, err := http.Post(server.URL+peerPath, cborType, strings.NewReader("\xff\xff"))
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = resp.Body.Close() }()
		Expect(resp.StatusCode).To(Equal(http.StatusBadRequest))
	})
})

// Guards against a host that SIGHUP ends, and against one that goes on with old
// settings after the file has changed.
var _ = Describe("changed settings", func() {
	var h *Host
	var file string
	var level atomic.Value
	BeforeEach(func() {
		file = filepath.Join(GinkgoT().TempDir(), "settings.toml")
		Expect(os.WriteFile(file, []byte(goodSettings), 0o600)).To(Succeed())
		s, err := LoadSettings(file)
		Expect(err).NotTo(HaveOccurred())
		h = &Host{settings: s, log: zap.NewNop(), file: file, gate: gate.New(nil, fleet.New())}
		h.level = func(l string) error {
			level.Store(l)
			return nil
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			defer GinkgoRecover()
			Expect(h.reload(ctx)).To(Succeed())
		}()
		DeferCleanup(func() {
			cancel()
			<-done
		})
		time.Sleep(100 * time.Millisecond)
	})
	write := func(old, replacement string) {
		Expect(os.WriteFile(file, []byte(strings.Replace(goodSettings, old, replacement, 1)), 0o600)).To(Succeed())
	}

	It("are in force after SIGHUP", func() {
		write("slack = 52", "slack = 20")
		Expect(syscall.Kill(os.Getpid(), syscall.SIGHUP)).To(Succeed())
		Eventually(func() float64 { return h.current().Slack }, "400ms", "5ms").Should(Equal(20.0))
	})

	It("are in force without a signal", func() {
		write(`level = "info"`, `level = "warn"`)
		Eventually(func() string { return h.current().Level }, "3s", "20ms").Should(Equal("warn"))
		Eventually(level.Load, "1s").Should(Equal("warn"))
	})

	It("stay as they were if the file is faulty", func() {
		write("grace = 8", "grace = 0")
		Consistently(func() float64 { return h.current().Grace }, "1200ms", "50ms").Should(Equal(8.0))
	})
})
