package gate

import (
	"expvar"
	"sync"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxMicros = int64(60 * time.Second / time.Microsecond)
	digits    = 2
)

// Metrics counts decisions and measures latencies.
type Metrics struct {
	// Counters by decision and reason.
	Counters *expvar.Map
	mu       sync.Mutex
	times    map[string]*hdr.Histogram
}

func newMetrics() *Metrics {
	return &Metrics{Counters: new(expvar.Map).Init(), times: map[string]*hdr.Histogram{}}
}

// Count adds one to a counter.
func (m *Metrics) Count(name string) { m.Counters.Add(name, 1) }

// Time records a latency.
func (m *Metrics) Time(name string, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h, ok := m.times[name]
	if !ok {
		h = hdr.New(1, maxMicros, digits)
		m.times[name] = h
	}
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxMicros)) // the value is in range
}

// Quantiles are latencies in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
}

// Quantiles returns the latencies by name.
func (m *Metrics) Quantiles() map[string]Quantiles {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]Quantiles, len(m.times))
	for name, h := range m.times {
		at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
		out[name] = Quantiles{Count: h.TotalCount(), P50: at(50), P95: at(95), P99: at(99)}
	}
	return out
}
