package host

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Bounds and precision of the histogram of the time to the first token.
	minFirstTokenMicros = 1
	maxFirstTokenMicros = 600_000_000
	histogramDigits     = 3
)

// measures holds the time to the first token and the share of recomputed tokens
// since the start of a host. linkSet counts the third measure, the use of links.
type measures struct {
	mu          sync.Mutex
	firstTokens *hdrhistogram.Histogram
	// returning and recomputed count the prompt tokens of returning prompts.
	returning  int64
	recomputed int64
}

func newMeasures() *measures {
	return &measures{firstTokens: hdrhistogram.New(minFirstTokenMicros, maxFirstTokenMicros, histogramDigits)}
}

// recordFirstToken records a time to the first token.
func (m *measures) recordFirstToken(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.firstTokens.RecordValue(min(max(d.Microseconds(), minFirstTokenMicros), maxFirstTokenMicros)) // the value is in range
}

// recordPrompt records the prompt tokens of a returning prompt and how many of them
// were recomputed.
func (m *measures) recordPrompt(tokens, cached int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.returning += int64(tokens)
	m.recomputed += int64(max(0, tokens-cached))
}

// MeasureState is the measures of a host in the state dump; times are in
// milliseconds.
type MeasureState struct {
	Count      int64   `json:"count"`
	P50        float64 `json:"p50"`
	P95        float64 `json:"p95"`
	P99        float64 `json:"p99"`
	Returning  int64   `json:"returning"`
	Recomputed int64   `json:"recomputed"`
}

func (m *measures) state() MeasureState {
	m.mu.Lock()
	defer m.mu.Unlock()
	ms := func(q float64) float64 { return float64(m.firstTokens.ValueAtQuantile(q)) / 1000 }
	return MeasureState{
		Count: m.firstTokens.TotalCount(), P50: ms(50), P95: ms(95), P99: ms(99),
		Returning: m.returning, Recomputed: m.recomputed,
	}
}
