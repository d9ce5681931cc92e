package admit

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// ReportTTL is how long a demand report stays in use. With 3 heartbeats a second
// among 7 hosts, one in a thousand gaps between two reports is longer.
const ReportTTL = 10 * time.Second

const (
	// demandTimeConstant is the time constant of the demand average. With shorter
	// ones, shares would follow single requests.
	demandTimeConstant = 5 * time.Second
	// equalSplitRatio is the part of each limit that is split equally.
	equalSplitRatio = 0.1
)

// Share returns one host's share of an account's limits from its own demand,
// the demand and number of the peers with a current report, and the number of
// live hosts. Given the
// same input everywhere, the shares of all hosts add up to 1.
func Share(own, peers float64, reporting, live int) float64 {
	known := reporting + 1
	live = max(live, known)
	total := own + peers
	if total <= 0 {
		return 1 / float64(live)
	}
	group := float64(known) / float64(live)
	return group * ((1-equalSplitRatio)*own/total + equalSplitRatio/float64(known))
}

type demand struct {
	rate    float64
	updated time.Time
}

func (d *demand) add(now time.Time) {
	d.rate = d.current(now) + 1/demandTimeConstant.Seconds()
	d.updated = now
}

func (d *demand) current(now time.Time) float64 {
	if d.rate == 0 {
		return 0 // most accounts send nothing to this host
	}
	return d.rate * math.Exp(-max(0, now.Sub(d.updated).Seconds())/demandTimeConstant.Seconds())
}

// demandReports holds the latest report of each peer and their sum by account.
type demandReports struct {
	liveHosts int
	byHost    map[string]Report
	byAccount map[string]demandSum
}

type demandSum struct {
	rate  float64
	count int
}

func (x *demandReports) remove(host string) {
	for account, v := range x.byHost[host].Demand {
		s := x.byAccount[account]
		s.rate, s.count = s.rate-v, s.count-1
		if s.count == 0 {
			delete(x.byAccount, account)
		} else {
			x.byAccount[account] = s
		}
	}
	delete(x.byHost, host)
}

func (x *demandReports) record(r Report) bool {
	if old, ok := x.byHost[r.Host]; ok && !r.At.After(old.At) {
		return false
	}
	x.remove(r.Host)
	x.byHost[r.Host] = r
	for account, v := range r.Demand {
		s := x.byAccount[account]
		x.byAccount[account] = demandSum{rate: s.rate + v, count: s.count + 1}
	}
	return true
}

func (x *demandReports) share(account string, own float64) float64 {
	return Share(own, max(0, x.byAccount[account].rate), len(x.byHost), x.liveHosts)
}

// expire removes reports older than ReportTTL.
func (x *demandReports) expire(now time.Time) {
	for host, r := range x.byHost {
		if now.Sub(r.At) > ReportTTL {
			x.remove(host)
		}
	}
}

// RecordReport records the demand report of a peer. A report that is not newer than the
// last one of that host is ignored, so reports may be relayed.
func (c *Controller) RecordReport(r Report) { c.reports.record(r) }

// Report returns this host's demand for the accounts with the largest demand,
// at most limit of them.
func (c *Controller) Report(host string, limit int, now time.Time) Report {
	type row struct {
		name string
		rate float64
	}
	var rows []row
	for name, a := range c.accounts {
		if v := a.demand.current(now); v >= minReportedRate {
			rows = append(rows, row{name, v})
		}
	}
	slices.SortFunc(rows, func(a, b row) int {
		return cmp.Or(cmp.Compare(b.rate, a.rate), cmp.Compare(a.name, b.name))
	})
	r := Report{Host: host, At: now, Demand: map[string]float64{}}
	for _, w := range rows[:min(limit, len(rows))] {
		r.Demand[w.name] = w.rate
	}
	return r
}

// SetHosts sets the number of live hosts, this one included. Without contact to
// the others, the caller keeps the last known number.
func (c *Controller) SetHosts(live int) { c.reports.liveHosts = live }
