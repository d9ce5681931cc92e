package links

import (
	"math"
	"time"
)

const (
	// LoanTerm is how long a lender reduces its own share by a loan. In a region of
	// 7 hosts a borrower receives a given peer's answer about every 2 s, so loans
	// are renewed before they expire.
	LoanTerm = 10 * time.Second
	// LoanMargin is the longest time between granting a loan and its arrival at the
	// borrower. Calls of the control pool time out earlier.
	LoanMargin = 2 * time.Second
	// demandTimeConstant is the time constant of the measured demand.
	demandTimeConstant = 5 * time.Second
)

// budget is a host's share of a link's rate in bytes a second.
type budget struct {
	rate          float64
	hostCount     int
	lent          []loan
	borrowed      []loan
	demand        float64
	demandUpdated time.Time
}

type loan struct {
	rate    float64
	expires time.Time
}

func activeRate(loans []loan, now time.Time) float64 {
	total := 0.0
	for _, l := range loans {
		if now.Before(l.expires) {
			total += l.rate
		}
	}
	return total
}

// unexpired drops the loans that have expired.
func unexpired(loans []loan, now time.Time) []loan {
	active := loans[:0]
	for _, l := range loans {
		if now.Before(l.expires) {
			active = append(active, l)
		}
	}
	return active
}

func (b *budget) equalSplit() float64 { return b.rate / float64(max(1, b.hostCount)) }

func (b *budget) share(now time.Time) float64 {
	return max(0, b.equalSplit()-activeRate(b.lent, now)+activeRate(b.borrowed, now))
}

// minShare returns a lower bound of the share between two times. Loans that
// this host had granted at the first time may last until the second, and loans
// that it holds at the second time it may have held throughout.
func (b *budget) minShare(from, to time.Time) float64 {
	return max(0, b.equalSplit()-activeRate(b.lent, from)+activeRate(b.borrowed, to))
}

// recordDemand adds bytes that this host wants to send to the measured demand.
func (b *budget) recordDemand(bytes int64, now time.Time) {
	b.demand = b.currentDemand(now) + float64(bytes)/demandTimeConstant.Seconds()
	b.demandUpdated = now
}

func (b *budget) currentDemand(now time.Time) float64 {
	return b.demand * math.Exp(-max(0, now.Sub(b.demandUpdated).Seconds())/demandTimeConstant.Seconds())
}

// Borrow adds a loan from a peer, in bytes a second, to this host's share.
func (l *Link) Borrow(rate float64, now time.Time) {
	l.refill(now)
	l.budget.borrowed = unexpired(l.budget.borrowed, now)
	if rate > 0 {
		l.budget.borrowed = append(l.budget.borrowed, loan{rate, now.Add(LoanTerm - LoanMargin)})
	}
}

// Lend grants a loan to a peer that wants more bytes a second, and returns the
// rate that the peer may use; zero means none.
func (l *Link) Lend(wanted float64, now time.Time) float64 {
	l.refill(now)
	b := &l.budget
	b.lent = unexpired(b.lent, now)
	spare := b.equalSplit() - activeRate(b.lent, now) - l.requiredRate(now)
	rate := min(wanted, spare/2)
	if rate <= 0 {
		return 0
	}
	b.lent = append(b.lent, loan{rate, now.Add(LoanTerm)})
	return rate
}

// SetHosts sets the number of live hosts of the region, this one included.
func (l *Link) SetHosts(live int, now time.Time) {
	l.refill(now)
	l.budget.hostCount = live
}

// Share returns the bytes a second that this host may send.
func (l *Link) Share(now time.Time) float64 { return l.budget.share(now) }

// RateShortfall returns the bytes a second that this host needs beyond its equal split
// and its loans from peers.
func (l *Link) RateShortfall(now time.Time) float64 {
	return max(0, l.requiredRate(now)-l.budget.equalSplit()-activeRate(l.budget.borrowed, now))
}

func (l *Link) requiredRate(now time.Time) float64 {
	return l.budget.currentDemand(now) + float64(l.queuedBytes)/LoanTerm.Seconds()
}
