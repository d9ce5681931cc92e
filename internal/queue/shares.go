package queue

import (
	"math"
	"time"
)

const (
	// shareHalfLife is the time after which placed work counts half in the share of an
	// account.
	shareHalfLife = 5 * time.Second
	// minShareWork is the share of all work below which an account counts no more.
	minShareWork = 0.001
)

// Shares measures the work that was placed for each client account, with less weight for
// what is longer ago. The zero value has measured nothing.
type Shares struct {
	work  map[string]float64
	total float64
	at    time.Duration
}

// Placed records that work of an account was placed.
func (s *Shares) Placed(account string, size int, now time.Duration) {
	if s.work == nil {
		s.work = map[string]float64{}
	}
	s.advance(now)
	s.work[account] += float64(size)
	s.total += float64(size)
}

// Overuse is how far an account is above an equal share of the work, from 0 to 1, which
// stands for twice the share or more.
func (s *Shares) Overuse(account string) float64 {
	if s.total == 0 {
		return 0
	}
	return min(max(s.work[account]/s.total*float64(len(s.work))-1, 0), 1)
}

// advance lets the recorded work count less, at most once in an eighth of the half-life.
func (s *Shares) advance(now time.Duration) {
	elapsed := now - s.at
	if elapsed < shareHalfLife/8 {
		return
	}
	decay := math.Exp2(-float64(elapsed) / float64(shareHalfLife))
	s.total = 0
	for account, work := range s.work {
		s.work[account] = work * decay
		s.total += work * decay
	}
	for account, work := range s.work {
		if work < minShareWork*s.total {
			delete(s.work, account)
		}
	}
	s.at = now
}
