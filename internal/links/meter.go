package links

import (
	"math"
	"time"
)

const (
	// rateTimeConstant is the time constant of the measured rate. The measured rate
	// of a link that drops to a tenth of its rate is down to a fifth after 2.2 s.
	rateTimeConstant = time.Second
	// minObservation is the shortest duration used as the weight of an
	// observation, so that short transfers count.
	minObservation = 250 * time.Millisecond
	// minMeteredBytes excludes smaller transfers, whose duration is mostly delay.
	minMeteredBytes = 64 << 10
	// recoveryTimeConstant is the time constant at which the rate of a link without
	// transfers returns to the configured rate. Hosts avoid a slow link, so no
	// transfer would measure that it has recovered.
	recoveryTimeConstant = time.Minute
)

// meter measures the rate of a link while transfers run.
type meter struct {
	configuredRate float64
	measuredRate   float64
	updated        time.Time
}

func (m *meter) observe(bytes int64, elapsed time.Duration, now time.Time) {
	if elapsed <= 0 {
		return
	}
	previous := m.current(now)
	weight := 1 - math.Exp(-max(elapsed, minObservation).Seconds()/rateTimeConstant.Seconds())
	m.measuredRate = previous + weight*(min(m.configuredRate, float64(bytes)/elapsed.Seconds())-previous)
	m.updated = now
}

func (m *meter) current(now time.Time) float64 {
	weight := math.Exp(-max(0, now.Sub(m.updated).Seconds()) / recoveryTimeConstant.Seconds())
	return m.configuredRate + weight*(m.measuredRate-m.configuredRate)
}
