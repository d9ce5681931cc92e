package server

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/kvcat"
	"sesamehill.example/sesamehill/internal/opconf"
	"sesamehill.example/sesamehill/internal/wire"
)

// listCounter counts the lists of each store.
type listCounter struct {
	TargetClient
	mu    sync.Mutex
	lists map[string]int
}

func (l *listCounter) List(_ context.Context, address string) (kvcat.Listing, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lists[address]++
	return kvcat.Listing{Epoch: 1, Next: 1}, nil
}

func (*listCounter) Events(ctx context.Context, _ string, _ uint64, _ time.Duration) (kvcat.Events, error) {
	<-ctx.Done()
	return kvcat.Events{}, ctx.Err()
}

func (l *listCounter) count(address string) func() int {
	return func() int {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.lists[address]
	}
}

// storePlatform is a platform that only has the client of the stores.
type storePlatform struct {
	Platform
	client TargetClient
}

func (s *storePlatform) TargetClient() TargetClient { return s.client }

const (
	localStore  = "10.0.0.8:80"
	remoteStore = "10.0.0.9:80"
)

// newStoreHost returns a host among several, in the first of two regions.
func newStoreHost(t *testing.T) (*Host, *listCounter) {
	t.Helper()
	counter := &listCounter{lists: map[string]int{}}
	zones := map[string]string{"sul-a": "sul", "leste-a": "leste"}
	h := &Host{
		settings: Settings{Name: "host-z", Zone: "sul-a", Region: "sul", Zones: zones},
		log:      zap.NewNop(), platform: &storePlatform{client: counter}, catalog: kvcat.NewCatalog(zones),
	}
	h.members = &members{host: h, rows: map[string]observedRow{}}
	h.stores = newStoreWatcher(h)
	config, err := opconf.New(opconf.Config{Services: []opconf.Service{
		{Name: "local", Store: &opconf.Store{Address: localStore, Zone: "sul-a", CapacityTokens: 1000, Managed: true}},
		{Name: "remote", Store: &opconf.Store{Address: remoteStore, Zone: "leste-a", CapacityTokens: 1000, Managed: true}},
	}})
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	h.configChanged(config)
	return h, counter
}

// readRows lets the host know as many hosts of each region.
func (m *members) readRows(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.readAt = wire.BootTime()
	for i := range n {
		for zone := range m.host.settings.Zones {
			row := memberRow{Host: fmt.Sprint(zone, "-", i), Zone: zone, Peer: "127.0.0.1:1", Capacity: 1}
			m.rows[row.Host] = observedRow{memberRow: row, firstSeen: m.readAt}
		}
	}
	own := m.host.settings
	m.rows[own.Name] = observedRow{memberRow: memberRow{Host: own.Name, Zone: own.Zone}, firstSeen: m.readAt}
}

func run(t *testing.T, w *storeWatcher) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = w.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

// Guards against hosts that all list every store after they were started at once,
// because they do not know yet that others poll the stores.
func TestStoresListedByEveryHostAtStart(t *testing.T) {
	g := gomega.NewWithT(t)
	h, counter := newStoreHost(t)
	h.peerClient = newPeerClient(h.settings.Pool())
	run(t, h.stores)
	g.Consistently(counter.count(localStore), "200ms", "20ms").Should(gomega.BeZero())
	h.members.readRows(10)
	g.Consistently(counter.count(remoteStore), "1s", "20ms").Should(gomega.BeZero())
}

// Guards against a host that never polls the stores because it cannot read the rows.
func TestStoresPolledWithoutRows(t *testing.T) {
	g := gomega.NewWithT(t)
	h, counter := newStoreHost(t)
	run(t, h.stores)
	g.Eventually(counter.count(remoteStore), maxRoleWait+500*time.Millisecond, "20ms").Should(gomega.Equal(1))
	g.Expect(counter.count(localStore)()).To(gomega.Equal(1))
}

// Guards against hosts of a region that all list the stores of another region over the
// link between them, because none of their hubs replies.
func TestStoresOfOtherRegionListedWithoutHubs(t *testing.T) {
	g := gomega.NewWithT(t)
	h, counter := newStoreHost(t)
	h.members.readRows(10)
	h.stores.hubFailures = 2 * storeHubs
	h.peerClient = newPeerClient(h.settings.Pool())
	run(t, h.stores)
	g.Eventually(counter.count(localStore), "1s", "20ms").Should(gomega.Equal(1))
	g.Consistently(counter.count(remoteStore), "500ms", "20ms").Should(gomega.BeZero())
}
