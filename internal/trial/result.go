package trial

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"sesamehill.example/sesamehill/platform/stand"
)

// lateValue is the value of a late answer; one in time has the value 1.
const lateValue = 0.2

// Report has the results of the callers in a trial.
type Report struct {
	Pattern string `json:"pattern"`
	Policy  string `json:"policy"`
	Seed    uint64 `json:"seed"`
	Counts
	// RefusedWithFreeSlots counts the refusals while less than half of all slots were
	// in use.
	RefusedWithFreeSlots int `json:"refused_free"`
	// First has the times to the first event, and Gap the longest pauses between
	// events, of complete answers, in milliseconds.
	First Times `json:"first_ms"`
	Gap   Times `json:"gap_ms"`
	// PrefilledTokens is the number of tokens of shared parts that engines prefilled.
	// RepeatedTokens is the number of those that some engine had used within
	// reuseWindow before.
	PrefilledTokens int `json:"read_tokens"`
	RepeatedTokens  int `json:"read_again_tokens"`
	// ZoneBytes is the traffic from engines to hosts in other zones, and RegionBytes
	// the part of it that went to other regions.
	ZoneBytes   int `json:"zone_bytes"`
	RegionBytes int `json:"region_bytes"`
	// MaxArrivalRatio is the largest number of arrivals at an engine divided by the
	// mean over all engines.
	MaxArrivalRatio float64 `json:"busiest"`
	// Series counts requests by the second in which they were due.
	Series []Counts `json:"series"`
}

// Counts has the numbers of requests by result.
type Counts struct {
	Requests int `json:"asked"`
	InTime   int `json:"in_time"`
	Late     int `json:"late"`
	Refused  int `json:"refused"`
	Failed   int `json:"failed"`
}

// Value returns the share of requests that were served, with late ones weighted by
// lateValue.
func (c Counts) Value() float64 {
	return (float64(c.InTime) + lateValue*float64(c.Late)) / float64(max(c.Requests, 1))
}

// Times has quantiles in milliseconds.
type Times struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// outcome is the result of one request.
type outcome struct {
	arrival
	answer       stand.Response
	firstEvent   time.Duration
	maxGap       time.Duration
	hadFreeSlots bool
}

func (o outcome) refused() bool {
	return o.answer.Status == http.StatusServiceUnavailable || o.answer.Status == http.StatusTooManyRequests
}

func (o outcome) complete() bool {
	return o.answer.Status == http.StatusOK && o.answer.Complete && o.answer.Events == o.kind.OutputTokens
}

func (o outcome) inTime() bool {
	return o.complete() && o.firstEvent <= o.kind.FirstEventTarget.AsDuration() && o.maxGap <= o.kind.EventGapTarget.AsDuration()
}

// result collects outcomes.
type result struct {
	mu              sync.Mutex
	totals          Report
	firstEventTimes []time.Duration
	gaps            []time.Duration
	arrivals        []int64
	zoneBytes       int
	regionBytes     int
}

func newResult(p Pattern) *result {
	return &result{totals: Report{Pattern: p.Name, Series: make([]Counts, int(p.Seconds)+1)}}
}

func (r *result) add(o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range []*Counts{&r.totals.Counts, &r.totals.Series[int(o.at/time.Second)]} {
		c.add(o)
	}
	if o.refused() && o.hadFreeSlots {
		r.totals.RefusedWithFreeSlots++
	}
	if o.complete() {
		r.firstEventTimes = append(r.firstEventTimes, o.firstEvent)
		r.gaps = append(r.gaps, o.maxGap)
	}
}

func (c *Counts) add(o outcome) {
	c.Requests++
	switch {
	case o.inTime():
		c.InTime++
	case o.complete():
		c.Late++
	case o.refused():
		c.Refused++
	default:
		c.Failed++
	}
}

// addTraffic adds the bytes of an answer that crossed zones or regions. An answer that
// the host made itself has no source zone and is not counted.
func (r *result) addTraffic(to, from Zone, bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if from.Name != "" && from.Name != to.Name {
		r.zoneBytes += bytes
	}
	if from.Region != "" && from.Region != to.Region {
		r.regionBytes += bytes
	}
}

// recordArrivals records the arrivals at an engine that receives no more requests.
func (r *result) recordArrivals(e *runningEngine) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, e.model.arrivals.Load())
}

func (r *result) maxArrivalRatio() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	sum := int64(0)
	for _, n := range r.arrivals {
		sum += n
	}
	if sum == 0 {
		return 0
	}
	return float64(slices.Max(r.arrivals)) * float64(len(r.arrivals)) / float64(sum)
}

func (r *result) report() *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.totals
	out.First, out.Gap = quantiles(r.firstEventTimes), quantiles(r.gaps)
	out.ZoneBytes, out.RegionBytes = r.zoneBytes, r.regionBytes
	return &out
}

func quantiles(d []time.Duration) Times {
	if len(d) == 0 {
		return Times{}
	}
	slices.SortFunc(d, cmp.Compare)
	quantile := func(q float64) float64 {
		return float64(d[int(q*float64(len(d)-1))].Microseconds()) / 1000
	}
	return Times{P50: quantile(0.50), P95: quantile(0.95), P99: quantile(0.99)}
}

// Print writes reports as a table with one line per report.
func Print(w io.Writer, reports []*Report) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	row := func(cells ...any) {
		for _, c := range cells {
			_, _ = fmt.Fprint(t, c, "\t") // Flush returns the write errors
		}
		_, _ = fmt.Fprintln(t)
	}
	row("policy", "asked", "in time", "late", "refused", "with free slots", "failed", "worth", "first p50 ms",
		"p95", "p99", "gap p99 ms", "read again", "zone MB", "region MB", "busiest")
	for _, r := range reports {
		row(
			r.Policy, r.Requests, r.InTime, r.Late, r.Refused, r.RefusedWithFreeSlots, r.Failed, formatNumber(r.Value(), 3),
			formatNumber(r.First.P50, 0), formatNumber(r.First.P95, 0), formatNumber(r.First.P99, 0), formatNumber(r.Gap.P99, 0),
			r.RepeatedTokens, formatNumber(float64(r.ZoneBytes)/1e6, 2), formatNumber(float64(r.RegionBytes)/1e6, 2), formatNumber(r.MaxArrivalRatio, 2),
		)
	}
	return t.Flush()
}

func formatNumber(v float64, digits int) string { return fmt.Sprintf("%.*f", digits, v) }
