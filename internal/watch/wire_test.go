package watch_test

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sesamehill.example/sesamehill/internal/member"
	"sesamehill.example/sesamehill/internal/table"
	"sesamehill.example/sesamehill/internal/watch"
	"sesamehill.example/sesamehill/pkg/config"
)

// unreachablePlatform is a platform that the host cannot reach, as in a partition.
type unreachablePlatform struct{}

func (unreachablePlatform) Read(context.Context, ...string) ([]table.Row, error) {
	return nil, &table.DownError{Reason: "partition"}
}

func (unreachablePlatform) Scan(context.Context, string, string, int) ([]table.Row, error) {
	return nil, &table.DownError{Reason: "partition"}
}

func (unreachablePlatform) Write(context.Context, []table.Op) error {
	return &table.DownError{Reason: "partition"}
}

func (unreachablePlatform) Get(context.Context, string) ([]byte, error) {
	return nil, &table.DownError{Reason: "partition"}
}

func (unreachablePlatform) Put(context.Context, string, []byte) error {
	return &table.DownError{Reason: "partition"}
}

// memoryPlatform is a platform that keeps rows and objects in memory, without faults.
type memoryPlatform struct {
	unreachablePlatform
	mu      sync.Mutex
	rows    map[string]table.Row
	objects map[string][]byte
}

func (o *memoryPlatform) Read(_ context.Context, keys ...string) ([]table.Row, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make([]table.Row, len(keys))
	for i, k := range keys {
		out[i] = o.rows[k]
	}
	return out, nil
}

func (o *memoryPlatform) Write(_ context.Context, ops []table.Op) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, op := range ops {
		if o.rows[op.Key].Version != op.Version {
			return &table.ConflictError{Key: op.Key}
		}
	}
	for _, op := range ops {
		o.rows[op.Key] = table.Row{Key: op.Key, Version: op.Version + 1, Value: op.Value}
	}
	return nil
}

func (o *memoryPlatform) Get(_ context.Context, name string) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if data, ok := o.objects[name]; ok {
		return data, nil
	}
	return nil, &table.MissingError{Name: name}
}

func (o *memoryPlatform) Put(_ context.Context, name string, data []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.objects[name] = data
	return nil
}

// Guards against code that works only in the simulation: this test uses real clocks,
// connections and goroutines.
var _ = Describe("hosts on loopback", func() {
	It("put a change in force within 11 s although only one host reaches the platform", func(ctx SpecContext) {
		run, stop := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		defer wg.Wait()
		defer stop()
		platform := &memoryPlatform{rows: map[string]table.Row{}, objects: map[string][]byte{}}
		var hosts []*watch.Watch
		var gossips []*member.Gossip
		var list []table.ListedHost
		for i := range 5 {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			client := member.NewClient()
			DeferCleanup(client.Close)
			w := watch.New(unreachablePlatform{}, unreachablePlatform{}, client)
			if i == 0 {
				w = watch.New(platform, platform, client)
			}
			self := member.Member{Name: fmt.Sprint("h", i), Address: l.Addr().String(), Region: "sul", Zone: fmt.Sprint("z", i%3)}
			g, err := member.NewGossip(member.NewTable(self), client, member.WithExtensions(w.Extension()))
			Expect(err).NotTo(HaveOccurred())
			w.Follow(g)
			s, err := member.NewServer(member.HandleControl(g), member.HandleSections(w))
			Expect(err).NotTo(HaveOccurred())
			list = append(list, table.ListedHost{Name: self.Name, Address: self.Address, Region: self.Region, Zone: self.Zone})
			hosts, gossips = append(hosts, w), append(gossips, g)
			wg.Go(func() { _ = s.Serve(run, l) })
		}
		for i := range hosts {
			gossips[i].Seed(list)
			wg.Go(func() { _ = gossips[i].Run(run) })
			wg.Go(func() { _ = hosts[i].Run(run) })
		}
		Eventually(func() int { return len(gossips[4].Live()) }, 8, 0.05).Should(Equal(5))
		data, err := os.ReadFile("../../examples/borough.toml")
		Expect(err).NotTo(HaveOccurred())
		d, err := config.ParseDocument("borough.toml", data)
		Expect(err).NotTo(HaveOccurred())
		for revision := range uint64(2) {
			d.Accounts[0].Rate++
			Eventually(func() error {
				_, err := hosts[0].Commit(ctx, revision, d, fmt.Sprint("c", revision), "maria")
				return err
			}, 8, 0.1).Should(Succeed())
			start := time.Now()
			for _, w := range hosts {
				Eventually(func() uint64 {
					if r := w.Current(); r != nil {
						return r.Head.Revision
					}
					return 0
				}, 11, 0.01).Should(Equal(revision + 1))
			}
			fmt.Fprintf(GinkgoWriter, "revision %d in force at 5 hosts after %v\n", revision+1, time.Since(start))
		}
	}, SpecTimeout(60*time.Second))
})
