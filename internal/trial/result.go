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

// lateWorth is what a late answer counts, where one in time counts 1.
const lateWorth = 0.2

// Report is what the callers of a trial got.
type Report struct {
	Pattern string `json:"pattern"`
	Policy  string `json:"policy"`
	Seed    uint64 `json:"seed"`
	Counts
	// RefusedFree counts the refusals while under half of all slots were taken.
	RefusedFree int `json:"refused_free"`
	// First are the times to the first event and Gap the longest pauses of whole
	// answers, in milliseconds.
	First Times `json:"first_ms"`
	Gap   Times `json:"gap_ms"`
	// Read is the number of shared tokens that engines read, ReadAgain that of those
	// which some engine had read shortly before.
	Read      int `json:"read_tokens"`
	ReadAgain int `json:"read_again_tokens"`
	// ZoneBytes passed from engines to hosts of other zones, RegionBytes of those to
	// other regions.
	ZoneBytes   int `json:"zone_bytes"`
	RegionBytes int `json:"region_bytes"`
	// Busiest is the largest number of arrivals at an engine for the mean.
	Busiest float64 `json:"busiest"`
	// Series counts requests by the second in which they were due.
	Series []Counts `json:"series"`
}

// Counts are numbers of requests.
type Counts struct {
	Asked   int `json:"asked"`
	InTime  int `json:"in_time"`
	Late    int `json:"late"`
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
}

// Worth is the share of requests that were served, late ones counting less.
func (c Counts) Worth() float64 {
	return (float64(c.InTime) + lateWorth*float64(c.Late)) / float64(max(c.Asked, 1))
}

// Times are quantiles in milliseconds.
type Times struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// outcome is what became of a request.
type outcome struct {
	arrival
	answer stand.Response
	first  time.Duration
	gap    time.Duration
	free   bool
}

func (o outcome) refused() bool {
	return o.answer.Status == http.StatusServiceUnavailable || o.answer.Status == http.StatusTooManyRequests
}

func (o outcome) whole() bool {
	return o.answer.Status == http.StatusOK && o.answer.Complete && o.answer.Events == o.kind.Out
}

func (o outcome) inTime() bool {
	return o.whole() && o.first <= o.kind.Goal.AsDuration() && o.gap <= o.kind.Gap.AsDuration()
}

// result collects outcomes.
type result struct {
	mu          sync.Mutex
	sum         Report
	firsts      []time.Duration
	gaps        []time.Duration
	arrivals    []int64
	zoneBytes   int
	regionBytes int
}

func newResult(p Pattern) *result {
	return &result{sum: Report{Pattern: p.Name, Series: make([]Counts, int(p.Seconds)+1)}}
}

func (r *result) add(o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range []*Counts{&r.sum.Counts, &r.sum.Series[int(o.at/time.Second)]} {
		c.add(o)
	}
	if o.refused() && o.free {
		r.sum.RefusedFree++
	}
	if o.whole() {
		r.firsts = append(r.firsts, o.first)
		r.gaps = append(r.gaps, o.gap)
	}
}

func (c *Counts) add(o outcome) {
	c.Asked++
	switch {
	case o.inTime():
		c.InTime++
	case o.whole():
		c.Late++
	case o.refused():
		c.Refused++
	default:
		c.Failed++
	}
}

// sent counts the bytes of an answer; those of a host's own stay in its zone.
func (r *result) sent(to, from Zone, bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if from.Name != "" && from.Name != to.Name {
		r.zoneBytes += bytes
	}
	if from.Region != "" && from.Region != to.Region {
		r.regionBytes += bytes
	}
}

// retire notes the arrivals at an engine that takes no more.
func (r *result) retire(e *placed) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, e.model.arrivals.Load())
}

func (r *result) busiest() float64 {
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
	out := r.sum
	out.First, out.Gap = quantiles(r.firsts), quantiles(r.gaps)
	out.ZoneBytes, out.RegionBytes = r.zoneBytes, r.regionBytes
	return &out
}

func quantiles(d []time.Duration) Times {
	if len(d) == 0 {
		return Times{}
	}
	slices.SortFunc(d, cmp.Compare)
	at := func(q float64) float64 {
		return float64(d[int(q*float64(len(d)-1))].Microseconds()) / 1000
	}
	return Times{P50: at(0.50), P95: at(0.95), P99: at(0.99)}
}

// Print writes reports as a table, one line each.
func Print(w io.Writer, reports []*Report) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	row := func(cells ...any) {
		for _, c := range cells {
			_, _ = fmt.Fprint(t, c, "\t") // errors come back from Flush
		}
		_, _ = fmt.Fprintln(t)
	}
	row("policy", "asked", "in time", "late", "refused", "with free slots", "failed", "worth", "first p50 ms",
		"p95", "p99", "gap p99 ms", "read again", "zone MB", "region MB", "busiest")
	for _, r := range reports {
		row(
			r.Policy, r.Asked, r.InTime, r.Late, r.Refused, r.RefusedFree, r.Failed, number(r.Worth(), 3),
			number(r.First.P50, 0), number(r.First.P95, 0), number(r.First.P99, 0), number(r.Gap.P99, 0),
			r.ReadAgain, number(float64(r.ZoneBytes)/1e6, 2), number(float64(r.RegionBytes)/1e6, 2), number(r.Busiest, 2),
		)
	}
	return t.Flush()
}

func number(v float64, digits int) string { return fmt.Sprintf("%.*f", digits, v) }
