package fleet

import (
	"math"
	"time"
)

// currentFailureRate returns the failure rate, which halves in failureRateHalfLife.
func (s *state) currentFailureRate(now time.Duration) float64 {
	if s.failureRate == 0 {
		return 0
	}
	return s.failureRate * math.Exp2(-float64(now-s.failureRateAt)/float64(failureRateHalfLife))
}

// updateFailureRate adds an outcome to the failure rate: 1 for a failure, else 0.
func (s *state) updateFailureRate(failure float64, now time.Duration) {
	s.failureRate = s.currentFailureRate(now)*(1-failureRateSmoothing) + failure*failureRateSmoothing
	s.failureRateAt = now
}
