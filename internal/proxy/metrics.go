package proxy

import (
	"expvar"
	"sync"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxLatencyMicros  = int64(60 * time.Second / time.Microsecond)
	significantDigits = 2
)

// Metrics counts decisions and measures latencies.
type Metrics struct {
	// Counters holds a counter for each decision and reason.
	Counters   *expvar.Map
	mu         sync.Mutex
	histograms map[string]*hdr.Histogram
}

func newMetrics() *Metrics {
	return &Metrics{Counters: new(expvar.Map).Init(), histograms: map[string]*hdr.Histogram{}}
}

// Count adds one to a counter.
func (m *Metrics) Count(name string) { m.Counters.Add(name, 1) }

// Observe records a latency.
func (m *Metrics) Observe(name string, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h, ok := m.histograms[name]
	if !ok {
		h = hdr.New(1, maxLatencyMicros, significantDigits)
		m.histograms[name] = h
	}
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxLatencyMicros)) // cannot fail: the value is in range
}

// Quantiles holds latency quantiles in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
}

// Quantiles returns the latency quantiles by name.
func (m *Metrics) Quantiles() map[string]Quantiles {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]Quantiles, len(m.histograms))
	for name, h := range m.histograms {
		quantileMs := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
		out[name] = Quantiles{Count: h.TotalCount(), P50: quantileMs(50), P95: quantileMs(95), P99: quantileMs(99)}
	}
	return out
}
