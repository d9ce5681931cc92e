package server

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/bound"
	"sesamehill.example/sesamehill/internal/feed"
	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/opconf"
	"sesamehill.example/sesamehill/internal/proxy"
)

// configDecoder decodes configurations that are only a version.
type configDecoder struct{ Decoder }

func (configDecoder) ConfigKey() string { return "config" }

func (configDecoder) EvacuatedZone(string) (string, bool) { return "", false }

func (configDecoder) Config(value []byte) (*opconf.Config, error) {
	c := opconf.Config{}
	if _, err := fmt.Sscan(string(value), &c.Version); err != nil {
		return nil, err
	}
	return opconf.New(c)
}

// Guards against hosts that stay behind, or go back, because the platform shows an older
// operator configuration than other hosts have in force.
var _ = Describe("the exchange of operator configurations", func() {
	var now time.Duration
	newHost := func() *Host {
		h := &Host{log: zap.NewNop(), peerClient: newPeerClient(bound.NewPool(1 << 20)), settings: Settings{Name: "own", Zone: "z"}}
		h.members = &members{host: h, rows: map[string]observedRow{}}
		h.proxy = proxy.New(nil, fleet.New())
		h.config = &configWatcher{decoder: configDecoder{}, proxy: h.proxy, log: zap.NewNop(), onConfig: func(*opconf.Config) {}}
		h.configs = &configExchange{host: h, now: func() time.Duration { return now }}
		return h
	}
	var own, other *Host
	var peer string
	apply := func(h *Host, document string) {
		h.config.Changed([]feed.Row{{Key: "config", Value: []byte(document), Version: 1, Era: 2}})
	}
	BeforeEach(func() {
		now = time.Minute
		own, other = newHost(), newHost()
		server := httptest.NewServer(other.peerHandler())
		DeferCleanup(server.Close)
		peer = strings.TrimPrefix(server.URL, "http://")
	})
	isBehind := func() bool {
		_, _, behind := own.configs.behind()
		return behind
	}

	It("keeps the newest configuration, whatever the platform shows", func() {
		for _, document := range []string{"7", "5", "not a configuration", "7"} {
			apply(own, document)
			Expect(own.ConfigVersion()).To(Equal(uint64(7)))
			Expect(string(own.config.newerDocument(6))).To(Equal("7"))
			Expect(own.config.newerDocument(7)).To(BeNil())
		}
	})

	It("fetches a newer configuration from another host, and none that is older", func() {
		apply(own, "5")
		apply(other, "7")
		Expect(own.configs.fetch(GinkgoT().Context(), peer, 7)).To(Succeed())
		Expect(own.ConfigVersion()).To(Equal(uint64(7)))
		apply(own, "9")
		Expect(own.configs.fetch(GinkgoT().Context(), peer, 7)).To(MatchError(ContainSubstring("no newer configuration")))
		Expect(own.ConfigVersion()).To(Equal(uint64(9)))
	})

	It("does not fetch a document again that cannot be used", func() {
		apply(own, "5")
		own.configs.record(peer, 7)
		other.config.document, other.config.documentVersion = []byte("not a configuration"), 7
		now += configFetchDelay
		Expect(isBehind()).To(BeTrue())
		Expect(own.configs.fetch(GinkgoT().Context(), peer, 7)).NotTo(Succeed())
		Expect(own.ConfigVersion()).To(Equal(uint64(5)))
		Expect(isBehind()).To(BeFalse())
		own.configs.record(peer, 8)
		now += configFetchDelay
		Expect(isBehind()).To(BeTrue())
	})

	It("leaves a ready host the time to receive a change from the platform", func() {
		apply(own, "5")
		own.configs.record(peer, 5)
		Expect(own.configs.upToDate()).To(BeTrue())
		own.configs.record(peer, 7)
		Expect(isBehind()).To(BeFalse())
		Expect(own.configs.upToDate()).To(BeTrue(), "a change does not take hosts out of use")
		now += configFetchDelay
		own.configs.record(peer, 7)
		Expect(isBehind()).To(BeTrue())
		apply(own, "7")
		Expect(isBehind()).To(BeFalse())
	})

	It("does not put off a fetch because of further changes", func() {
		apply(own, "5")
		own.configs.record(peer, 5)
		Expect(own.configs.upToDate()).To(BeTrue())
		for version := uint64(6); version < 11; version++ {
			own.configs.record(peer, version)
			now += configFetchDelay / 4
		}
		Expect(isBehind()).To(BeTrue())
	})

	It("counts a starting host as up to date once it has what other hosts have", func() {
		Expect(own.configs.upToDate()).To(BeFalse())
		apply(own, "5")
		Expect(own.configs.upToDate()).To(BeFalse(), "no other host is known yet")
		own.configs.record(peer, 7)
		Expect(isBehind()).To(BeTrue(), "a starting host fetches at once")
		Expect(own.configs.upToDate()).To(BeFalse())
		apply(other, "7")
		Expect(own.configs.fetch(GinkgoT().Context(), peer, 7)).To(Succeed())
		Expect(own.configs.upToDate()).To(BeTrue())
	})

	It("does not keep a host out of use that no other host answers", func() {
		apply(own, "5")
		Expect(own.configs.upToDate()).To(BeFalse())
		now += maxConfigWait
		Expect(own.configs.upToDate()).To(BeTrue())
	})

	It("does not wait for other hosts where there are none", func() {
		own.members.readAt = time.Second
		apply(own, "5")
		Expect(own.configs.upToDate()).To(BeTrue())
	})
})
