package speed

import (
	"math"
	"time"
)

const (
	// minReports is the weight of reports from which on it is known how often they change.
	minReports = 20
	// defaultPersistence is the mean time for which a report holds before that is known.
	defaultPersistence = 500 * time.Millisecond
	// maxPairAge is the longest time between two reports of a target that show whether its
	// state has changed: after a longer one it may have changed and changed back.
	maxPairAge = time.Second
)

// report is the newest report of a target.
type report struct {
	slowdown float64
	at       time.Duration
	known    bool
}

// reports holds how slow the targets of a service are on average and how long they stay
// slower or faster than that.
type reports struct {
	mean           mean
	slower, faster persistence
}

// persistence is how often a state has ended in the time for which it was observed.
type persistence struct {
	ended, observed mean
}

// add adds a report of a target that came after an earlier one.
func (r *reports) add(before report, slowdown float64, now time.Duration) {
	typical, known := r.mean.value(minReports)
	if age := now - before.at; known && before.known && age > 0 && age <= maxPairAge {
		p := &r.faster
		if before.slowdown > typical {
			p = &r.slower
		}
		ended := 0.0
		if (slowdown > typical) != (before.slowdown > typical) {
			ended = 1
		}
		p.ended.add(ended, serviceHalfLife, now)
		p.observed.add(age.Seconds(), serviceHalfLife, now)
	}
	r.mean.add(slowdown, serviceHalfLife, now)
}

// left returns the share of targets that are still in the state of a report of some age.
func (p *persistence) left(age time.Duration) float64 {
	ended, known := p.ended.value(minReports)
	observed, _ := p.observed.value(minReports)
	if !known || observed <= 0 {
		return math.Exp(-age.Seconds() / defaultPersistence.Seconds())
	}
	return math.Exp(-age.Seconds() * ended / observed)
}

// expected returns the expected slowdown of a target: what its newest report says, and the
// average of its service the more the older the report is.
func (r report) expected(all *reports, now time.Duration) float64 {
	typical, known := all.mean.value(minReports)
	if !known {
		typical = 1
	}
	if !r.known {
		return typical
	}
	p := &all.faster
	if r.slowdown > typical {
		p = &all.slower
	}
	return typical + (r.slowdown-typical)*p.left(max(now-r.at, 0))
}
