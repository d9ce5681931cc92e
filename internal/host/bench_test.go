package host_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sesamehill.example/sesamehill/internal/fakes"
	"sesamehill.example/sesamehill/internal/host"
	"sesamehill.example/sesamehill/internal/table"
	"sesamehill.example/sesamehill/internal/target"
	"sesamehill.example/sesamehill/pkg/config"
)

const (
	benchTokens = 50
	benchKey    = "bench-key"
	// benchRate is the request rate, per second, for which the limit of the added
	// latency is defined.
	benchRate = 200
	// fastRate makes the engine's own time negligible.
	fastRate = 1e9
)

// benchSetup is one engine with and without a host in front of it.
type benchSetup struct {
	client *http.Client
	engine string
	host   string
}

func newBenchSetup(b *testing.B) *benchSetup {
	b.Helper()
	loaded := target.Loaded{Model: "advisor", Version: "1"}
	engine := fakes.NewEngine("engine-1", fakes.WithModels(loaded), fakes.WithPrefill(fastRate),
		fakes.WithDecode(fastRate), fakes.WithBatch(1024), fakes.WithQueue(100_000))
	platform := fakes.NewPlatform("platform")
	for _, s := range []interface {
		Serve(string) error
		Close()
	}{engine, platform} {
		if err := s.Serve("127.0.0.1:0"); err != nil {
			b.Fatal(err)
		}
		b.Cleanup(s.Close)
	}
	platform.SetList(table.Listing{Targets: []table.ListedTarget{{
		Name: "engine-1", Kind: table.Engine, Address: engine.Address(), Region: "sul", Zone: "sul-a", State: table.Live,
	}}})
	var listeners host.Listeners
	for _, l := range []*net.Listener{&listeners.Callers, &listeners.Admin, &listeners.Peers} {
		var err error
		if *l, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			b.Fatal(err)
		}
	}
	doc := &config.Document{
		Deployment: config.Deployment{Name: "bench", BlockTokens: 4096, BlockBytes: 1 << 20},
		Weights:    config.Weights{FirstToken: 1, Recompute: 1},
		Limits:     config.Limits{Body: 1 << 22, Prompt: 1 << 17, QueueLength: 10_000, MaxWait: config.Duration(10 * time.Second)},
		Regions:    []config.Region{{Name: "sul", Zones: []string{"sul-a"}}},
		Models:     []config.Model{{Name: "advisor", Version: "1", MaxConcurrentLoads: 1}},
		Accounts: []config.Account{{
			Name: "keeper", Keys: []string{config.HashKey(benchKey)}, Models: []string{"advisor"},
			Rate: 1e6, Concurrency: 1e6,
		}},
	}
	h, err := host.New(config.Settings{
		Name: "host-1", Region: "sul", Zone: "sul-a", Listen: listeners.Callers.Addr().String(), Admin: listeners.Admin.Addr().String(),
		Peer: listeners.Peers.Addr().String(), Platform: platform.Address(), DrainTimeout: config.Duration(time.Second),
	}, host.WithListeners(listeners), host.WithDocument(1, doc))
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- h.Run(ctx) }()
	b.Cleanup(func() {
		cancel()
		<-done
	})
	s := &benchSetup{
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}},
		engine: engine.Address(), host: "http://" + listeners.Callers.Addr().String(),
	}
	for range 100 {
		if _, _, err := s.viaHost(1); err == nil {
			return s
		}
		time.Sleep(100 * time.Millisecond)
	}
	b.Fatal("the host does not become ready")
	return nil
}

// viaHost and direct return the times to the first token and to the end of the
// response.
func (s *benchSetup) viaHost(tokens int) (first, whole time.Duration, err error) {
	return s.stream(s.host+"/v1/completions",
		fmt.Sprintf(`{"model":"advisor","prompt":"the hive by the old mill","max_tokens":%d,"stream":true}`, tokens))
}

func (s *benchSetup) direct(tokens int) (first, whole time.Duration, err error) {
	body, err := json.Marshal(target.GenerateRequest{
		Attempt: fmt.Sprint(time.Now().UnixNano()), Account: "keeper", Model: "advisor", Version: "1",
		Tokens: []uint32{1, 2, 3, 4, 5, 6}, MaxTokens: tokens,
	})
	if err != nil {
		return 0, 0, err
	}
	return s.stream(s.engine+"/v1/completions", string(body))
}

func (s *benchSetup) stream(url, body string) (first, whole time.Duration, err error) {
	if !strings.HasPrefix(url, "http") {
		url = "http://" + url
	}
	r, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return 0, 0, err
	}
	r.Header.Set("Authorization", "Bearer "+benchKey)
	r.Header.Set("Content-Type", "application/json")
	start := time.Now()
	a, err := s.client.Do(r)
	if err != nil {
		return 0, 0, err
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		return 0, 0, fmt.Errorf("status %d", a.StatusCode)
	}
	for l := bufio.NewScanner(a.Body); l.Scan(); {
		if first == 0 && bytes.HasPrefix(l.Bytes(), []byte("data:")) {
			first = time.Since(start)
		}
	}
	_, err = io.Copy(io.Discard, a.Body)
	return first, time.Since(start), err
}

// BenchmarkFirstToken measures the time to the first token at 200 requests a
// second, open loop, through a host and directly.
func BenchmarkFirstToken(b *testing.B) {
	s := newBenchSetup(b)
	for _, v := range []struct {
		name string
		call func(int) (time.Duration, time.Duration, error)
	}{{"direct", s.direct}, {"host", s.viaHost}} {
		b.Run(v.name, func(b *testing.B) {
			h := hdrhistogram.New(1, 60_000_000, 3)
			var mu sync.Mutex
			var g sync.WaitGroup
			failed := 0
			next := time.Now()
			for b.Loop() {
				time.Sleep(time.Until(next))
				due := next
				next = next.Add(time.Second / benchRate)
				g.Go(func() {
					late := time.Since(due)
					first, _, err := v.call(1)
					mu.Lock()
					defer mu.Unlock()
					if err != nil {
						failed++
						return
					}
					_ = h.RecordValue((late + first).Microseconds())
				})
			}
			g.Wait()
			b.ReportMetric(float64(h.ValueAtQuantile(50)), "p50-µs")
			b.ReportMetric(float64(h.ValueAtQuantile(95)), "p95-µs")
			b.ReportMetric(float64(h.ValueAtQuantile(99)), "p99-µs")
			b.ReportMetric(float64(failed), "failed")
		})
	}
}

// BenchmarkToken measures the time for each streamed token.
func BenchmarkToken(b *testing.B) {
	s := newBenchSetup(b)
	for _, v := range []struct {
		name string
		call func(int) (time.Duration, time.Duration, error)
	}{{"direct", s.direct}, {"host", s.viaHost}} {
		b.Run(v.name, func(b *testing.B) {
			b.ReportAllocs()
			var sum time.Duration
			for b.Loop() {
				first, whole, err := v.call(benchTokens)
				if err != nil {
					b.Fatal(err)
				}
				sum += whole - first
			}
			b.ReportMetric(float64(sum.Microseconds())/float64(b.N)/(benchTokens-1), "µs/token")
		})
	}
}

// BenchmarkRequests measures the requests a second by the number of clients.
func BenchmarkRequests(b *testing.B) {
	s := newBenchSetup(b)
	for _, n := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("callers=%d", n), func(b *testing.B) {
			work := make(chan struct{})
			var g sync.WaitGroup
			var mu sync.Mutex
			h := hdrhistogram.New(1, 60_000_000, 3)
			for range n {
				g.Go(func() {
					for range work {
						_, whole, err := s.viaHost(1)
						mu.Lock()
						if err == nil {
							_ = h.RecordValue(whole.Microseconds())
						} else {
							b.Error(err)
						}
						mu.Unlock()
					}
				})
			}
			start := time.Now()
			for b.Loop() {
				work <- struct{}{}
			}
			close(work)
			g.Wait()
			b.ReportMetric(float64(b.N)/time.Since(start).Seconds(), "requests/s")
			b.ReportMetric(float64(h.ValueAtQuantile(50)), "p50-µs")
			b.ReportMetric(float64(h.ValueAtQuantile(95)), "p95-µs")
			b.ReportMetric(float64(h.ValueAtQuantile(99)), "p99-µs")
		})
	}
}
