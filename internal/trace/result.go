package trace

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// histogramMax is the longest time to the first token in the histograms; longer
	// ones are recorded as histogramMax.
	histogramMax    = 2 * time.Hour
	histogramDigits = 3
)

// Result has the results of a policy in the measured part of a trace.
type Result struct {
	Policy   string
	Requests int
	Refused  int
	// RecomputedTokens and ReturningTokens count tokens of returning prompts: those
	// that were prefilled again, and all that were prefilled at the previous visit.
	RecomputedTokens int64
	ReturningTokens  int64
	// LinkBytes is the traffic on the link between the regions in both directions.
	LinkBytes int64
	// Busy is the share of time that the engines spent on prefill.
	Busy float64

	// Handovers counts the requests forwarded to the other region, AttachedBytes the
	// bytes attached to them, and Lookups the index lookups of the receiving hosts.
	Handovers     int
	AttachedBytes int64
	Lookups       int

	linkBytesBefore int64
	forwardedTimes  *hdrhistogram.Histogram
	firstTokenTimes *hdrhistogram.Histogram
	accountTimes    []*hdrhistogram.Histogram
	slowdown        []float64
	counts          []int
}

func newResult(policy string, accounts int) *Result {
	r := &Result{Policy: policy, firstTokenTimes: newHistogram(), forwardedTimes: newHistogram(), slowdown: make([]float64, accounts), counts: make([]int, accounts)}
	for range accounts {
		r.accountTimes = append(r.accountTimes, newHistogram())
	}
	return r
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax.Microseconds(), histogramDigits)
}

func (r *Result) add(c *call, first time.Duration, j *job) {
	if !c.measured {
		return
	}
	r.Requests++
	us := min(first, histogramMax).Microseconds()
	// RecordValue fails only for values out of range, and us is within the range.
	_ = r.firstTokenTimes.RecordValue(us)
	_ = r.accountTimes[c.account].RecordValue(us)
	if c.forwardedTo != nil {
		r.Handovers++
		r.AttachedBytes += c.attachedBytes
		r.Lookups += c.lookups
		_ = r.forwardedTimes.RecordValue(us)
	}
	r.counts[c.account]++
	r.slowdown[c.account] += first.Seconds() / (float64(c.tokens) / prefillTokensPerSecond)
	if c.previousTokens > 0 {
		r.ReturningTokens += int64(c.previousTokens)
		r.RecomputedTokens += int64(max(0, c.previousTokens-j.matched))
	}
}

// FirstTokenTime returns a quantile, given in percent, of the time to the first token.
func (r *Result) FirstTokenTime(quantile float64) time.Duration {
	return time.Duration(r.firstTokenTimes.ValueAtQuantile(quantile)) * time.Microsecond
}

// OthersFirstTokenTime returns a quantile, given in percent, of the time to the first
// token over all accounts except the given one.
func (r *Result) OthersFirstTokenTime(account int, quantile float64) time.Duration {
	h := newHistogram()
	for i, a := range r.accountTimes {
		if i != account {
			h.Merge(a)
		}
	}
	return time.Duration(h.ValueAtQuantile(quantile)) * time.Microsecond
}

// Jain returns Jain's fairness index over the accounts' mean slowdowns. A slowdown is
// the time to the first token divided by the time to prefill the whole prompt on an
// idle engine.
func (r *Result) Jain() float64 {
	sum, squares, n := 0.0, 0.0, 0.0
	for i, s := range r.slowdown {
		if r.counts[i] > 0 {
			x := s / float64(r.counts[i])
			sum, squares, n = sum+x, squares+x*x, n+1
		}
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (n * squares)
}

// RecomputedShare returns the share of ReturningTokens that were recomputed.
func (r *Result) RecomputedShare() float64 {
	if r.ReturningTokens == 0 {
		return 0
	}
	return float64(r.RecomputedTokens) / float64(r.ReturningTokens)
}

// Row is one row of the results table.
type Row struct {
	Deployment string `json:"deployment"`
	Scenario   string `json:"scenario"`
	Policy     string `json:"policy"`
	Requests   int    `json:"requests"`
	Refused    int    `json:"refused"`
	// P50 and P95 are quantiles of the time to the first token in seconds; Others is
	// the P95 over all accounts except Setup.FloodingAccount.
	P50    float64 `json:"p50"`
	P95    float64 `json:"p95"`
	Others float64 `json:"others"`
	// Recomputed is the recomputed share of the tokens of returning prompts.
	Recomputed float64 `json:"recomputed"`
	// Bytes is the traffic on the link between the regions in both directions.
	Bytes int64 `json:"bytes"`
	// Handovers counts the requests forwarded to the other region, Attached the bytes
	// attached to them and Lookups the index lookups of the receiving hosts. Handed is
	// the mean time to the first token of forwarded requests in seconds.
	Handovers int     `json:"handovers"`
	Attached  int64   `json:"attached"`
	Lookups   int     `json:"lookups"`
	Handed    float64 `json:"handed"`
	Jain      float64 `json:"jain"`
	// Busy is the share of time that the engines spent on prefill.
	Busy float64 `json:"busy"`
}

// Row returns the result as a row of the results table.
func (r *Result) Row(s *Setup) Row {
	return Row{
		Deployment: s.Document.Deployment.Name, Scenario: string(s.Scenario), Policy: r.Policy,
		Requests: r.Requests, Refused: r.Refused, P50: r.FirstTokenTime(50).Seconds(), P95: r.FirstTokenTime(95).Seconds(),
		Others: r.OthersFirstTokenTime(s.FloodingAccount(), 95).Seconds(), Recomputed: r.RecomputedShare(), Bytes: r.LinkBytes,
		Handovers: r.Handovers, Attached: r.AttachedBytes, Lookups: r.Lookups, Handed: r.forwardedTimes.Mean() / 1e6, Jain: r.Jain(), Busy: r.Busy,
	}
}
