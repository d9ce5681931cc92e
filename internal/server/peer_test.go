package server

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
	"sesamehill.example/sesamehill/internal/kvcat"
	"sesamehill.example/sesamehill/internal/opconf"
	"sesamehill.example/sesamehill/internal/proxy"
	"sesamehill.example/sesamehill/internal/wire"
)

// Guards against hosts that receive no changes of the stores because they do not poll
// them, and against calls to the peer address that make a host fail.
var _ = Describe("the store inventory", func() {
	const store = "10.0.0.9:80"
	newCatalog := func() *kvcat.Catalog {
		s, err := opconf.New(opconf.Config{Services: []opconf.Service{
			{Name: "s", Store: &opconf.Store{Address: store, Zone: "z", CapacityTokens: 10000, Managed: true}},
		}})
		Expect(err).NotTo(HaveOccurred())
		c := kvcat.NewCatalog(map[string]string{"z": "r"})
		c.SetStores(s)
		return c
	}
	var hub *Host
	var server *httptest.Server
	BeforeEach(func() {
		hub = &Host{log: zap.NewNop(), catalog: newCatalog()}
		server = httptest.NewServer(hub.peerHandler())
		DeferCleanup(server.Close)
	})

	It("is sent from host to host, first whole and then as changes", func() {
		entry := func(part string) kvcat.StoredPart {
			return kvcat.StoredPart{Key: kvcat.Key{Namespace: "m/1", Part: part}, Tokens: 10}
		}
		hub.catalog.RecordListing(store, kvcat.Listing{Epoch: 4, Next: 1, Parts: []kvcat.StoredPart{entry("aa"), entry("bb")}}, wire.BootTime())
		follower := &Host{log: zap.NewNop(), catalog: newCatalog(), peerClient: newPeerClient(bound.NewPool(1 << 20))}
		w := &storeWatcher{host: follower}
		d, err := w.queryHub(context.Background(), strings.TrimPrefix(server.URL, "http://"))
		Expect(err).NotTo(HaveOccurred())
		follower.catalog.ApplyUpdate(d, wire.BootTime())
		Expect(follower.catalog.Stats()[0].Parts).To(Equal(2))
		event := kvcat.Event{StoredPart: entry("cc"), Added: true}
		hub.catalog.RecordEvents(store, kvcat.Events{Epoch: 4, Next: 2, Events: []kvcat.Event{event}}, wire.BootTime())
		d, err = w.queryHub(context.Background(), strings.TrimPrefix(server.URL, "http://"))
		Expect(err).NotTo(HaveOccurred())
		Expect(d.Updates[0].Full).To(BeFalse())
		follower.catalog.ApplyUpdate(d, wire.BootTime())
		Expect(follower.catalog.Stats()[0].Parts).To(Equal(3))
	})

	It("is not sent to callers whose query cannot be decoded", func() {
		resp, err := http.Post(server.URL+storesPath, cborType, strings.NewReader("\xff\xff"))
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = resp.Body.Close() }()
		Expect(resp.StatusCode).To(Equal(http.StatusBadRequest))
	})
})

// Guards against a host that SIGHUP terminates, and against one that keeps old
// settings after the file has changed.
var _ = Describe("changed settings", func() {
	var h *Host
	var file string
	var level atomic.Value
	BeforeEach(func() {
		file = filepath.Join(GinkgoT().TempDir(), "settings.toml")
		Expect(os.WriteFile(file, []byte(validSettings), 0o600)).To(Succeed())
		s, err := LoadSettings(file)
		Expect(err).NotTo(HaveOccurred())
		h = &Host{settings: s, log: zap.NewNop(), settingsFile: file, proxy: proxy.New(nil, fleet.New())}
		h.setLevel = func(name string) error {
			level.Store(name)
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
		Expect(os.WriteFile(file, []byte(strings.Replace(validSettings, old, replacement, 1)), 0o600)).To(Succeed())
	}

	It("are applied after SIGHUP", func() {
		write("slack = 52", "slack = 20")
		Expect(syscall.Kill(os.Getpid(), syscall.SIGHUP)).To(Succeed())
		Eventually(func() float64 { return h.currentSettings().Slack }, "400ms", "5ms").Should(Equal(20.0))
	})

	It("are applied without a signal", func() {
		write(`level = "info"`, `level = "warn"`)
		Eventually(func() string { return h.currentSettings().Level }, "3s", "20ms").Should(Equal("warn"))
		Eventually(level.Load, "1s").Should(Equal("warn"))
	})

	It("are ignored if the file is invalid", func() {
		write("grace = 8", "grace = 0")
		Consistently(func() float64 { return h.currentSettings().Grace }, "1200ms", "50ms").Should(Equal(8.0))
	})
})
