package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sesamehill.example/sesamehill/pkg/client"
)

const (
	// maxRecordedMicros is the longest recorded time in microseconds; longer times are
	// recorded as this value.
	maxRecordedMicros = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// result collects the results of the requests.
type result struct {
	mu              sync.Mutex
	command         *loadCommand
	firstTokenTimes *hdrhistogram.Histogram
	tokenGaps       *hdrhistogram.Histogram
	accounts        []accountResult
	errors          map[string]int
	returning       returning
	resumes         int
	elapsed         time.Duration
}

// accountResult collects the results of one account.
type accountResult struct {
	complete, failed int
	firstTokenTimes  *hdrhistogram.Histogram
}

// report is the outcome of a load; times are in milliseconds.
type report struct {
	Seed     uint64  `json:"seed"`
	Requests int     `json:"requests"`
	Complete int     `json:"complete"`
	Seconds  float64 `json:"seconds"`
	// Rate is the number of complete answers a second.
	Rate       float64       `json:"rate"`
	FirstToken timeQuantiles `json:"first"`
	TokenGap   timeQuantiles `json:"gap"`
	Returning  returning     `json:"returning"`
	Resumes    int           `json:"resumed"`
	// LinkBytes is the number of bytes sent over links between regions, or nil if it
	// was not read.
	LinkBytes *uint64         `json:"cross,omitempty"`
	Errors    map[string]int  `json:"errors"`
	Accounts  []accountReport `json:"accounts"`
}

// returning counts the answers to returning prompts, of which an earlier turn was
// answered.
type returning struct {
	Requests int `json:"requests"`
	// Tokens is the number of prompt tokens of the earlier turns, and Recomputed the
	// number of those that were not served from KV cache.
	Tokens     int     `json:"tokens"`
	Recomputed int     `json:"recomputed"`
	Share      float64 `json:"share"`
}

// timeQuantiles holds quantiles of a time in milliseconds.
type timeQuantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// accountReport is the outcome for one account; Number counts the keys from 1.
type accountReport struct {
	Number     int           `json:"number"`
	Complete   int           `json:"complete"`
	Failed     int           `json:"failed"`
	FirstToken timeQuantiles `json:"first"`
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecordedMicros, significantDigits)
}

func newResult(c *loadCommand, accounts int) *result {
	r := &result{command: c, firstTokenTimes: newHistogram(), tokenGaps: newHistogram(), errors: map[string]int{}}
	for range accounts {
		r.accounts = append(r.accounts, accountResult{firstTokenTimes: newHistogram()})
	}
	return r
}

// record adds a time to a histogram in microseconds.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	// RecordValue fails only for values outside the range of the histogram.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxRecordedMicros))
}

func (r *result) recordFirstToken(account int, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record(r.firstTokenTimes, d)
	record(r.accounts[account].firstTokenTimes, d)
}

func (r *result) recordTokenGap(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record(r.tokenGaps, d)
}

func (r *result) recordFailure(account int, kind string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.accounts[account].failed++
	r.errors[kind]++
}

func (r *result) recordAnswer(account, earlierTokens int, u client.Usage, resumes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.accounts[account].complete++
	r.resumes += resumes
	if earlierTokens == 0 {
		return
	}
	r.returning.Requests++
	r.returning.Tokens += earlierTokens
	r.returning.Recomputed += max(0, earlierTokens-u.CachedTokens)
}

func (r *result) setElapsed(elapsed time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.elapsed = elapsed
}

func (r *result) progress() (complete, failed int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.accounts {
		complete, failed = complete+a.complete, failed+a.failed
	}
	return complete, failed
}

func (r *result) report() report {
	complete, failed := r.progress()
	r.mu.Lock()
	defer r.mu.Unlock()
	out := report{
		Seed: r.command.Seed, Requests: complete + failed, Complete: complete, Seconds: r.elapsed.Seconds(),
		FirstToken: quantilesOf(r.firstTokenTimes), TokenGap: quantilesOf(r.tokenGaps), Returning: r.returning, Resumes: r.resumes, Errors: r.errors,
	}
	if r.elapsed > 0 {
		out.Rate = float64(complete) / r.elapsed.Seconds()
	}
	if r.returning.Tokens > 0 {
		out.Returning.Share = float64(r.returning.Recomputed) / float64(r.returning.Tokens)
	}
	for i, a := range r.accounts {
		out.Accounts = append(out.Accounts, accountReport{
			Number: i + 1, Complete: a.complete, Failed: a.failed, FirstToken: quantilesOf(a.firstTokenTimes),
		})
	}
	return out
}

func quantilesOf(h *hdrhistogram.Histogram) timeQuantiles {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return timeQuantiles{
		Count: h.TotalCount(), P50: ms(h.ValueAtQuantile(50)), P95: ms(h.ValueAtQuantile(95)),
		P99: ms(h.ValueAtQuantile(99)), Max: ms(h.Max()),
	}
}

func (r report) print() {
	row := func(name string, t timeQuantiles) []string {
		cells := []string{name, fmt.Sprint(t.Count)}
		for _, v := range []float64{t.P50, t.P95, t.P99, t.Max} {
			cells = append(cells, fmt.Sprintf("%.2f", v))
		}
		return cells
	}
	rows := [][]string{row("first token", r.FirstToken), row("gap between tokens", r.TokenGap)}
	for _, a := range r.Accounts {
		rows = append(rows, row(fmt.Sprintf("first token, account %d", a.Number), a.FirstToken))
	}
	printTable([]string{"MILLISECONDS", "COUNT", "P50", "P95", "P99", "MAX"}, rows)
	fmt.Printf("\n%d of %d requests complete in %.1f s: %.1f/s, seed %d, %d resumes\n",
		r.Complete, r.Requests, r.Seconds, r.Rate, r.Seed, r.Resumes)
	fmt.Printf("recomputed share of returning prompts: %.1f%% of %d tokens in %d answers\n",
		100*r.Returning.Share, r.Returning.Tokens, r.Returning.Requests)
	if r.LinkBytes != nil {
		fmt.Printf("bytes between regions: %d\n", *r.LinkBytes)
	}
	if len(r.Errors) > 0 {
		fmt.Println()
		rows = nil
		for _, k := range sortedKinds(r.Errors) {
			rows = append(rows, []string{k, fmt.Sprint(r.Errors[k])})
		}
		printTable([]string{"ERROR", "COUNT"}, rows)
	}
}
