package speed

import (
	"math"
	"time"
)

const (
	// outlierFactor bounds the deviation of a duration from the expected one, in multiples
	// of the usual deviation. Waits for other work make single durations long.
	outlierFactor = 3
	// minSpread is the standard deviation of prompt lengths from which on a slope is known.
	minSpread = 200
	// minPrefillMs and maxPrefillMs bound the time to prefill a token.
	minPrefillMs = 1.0 / 2000
	maxPrefillMs = 1.0
)

// decay returns the weight that is left after a time.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-max(float64(age), 0) / float64(halfLife))
}

// mean is the mean of values that lose their weight.
type mean struct {
	weight, sum float64
	at          time.Duration
}

func (m *mean) add(v float64, halfLife, now time.Duration) {
	left := decay(now-m.at, halfLife)
	m.weight, m.sum = m.weight*left+1, m.sum*left+v
	m.at = max(m.at, now)
}

// value returns the mean; false if the weight is below a least one.
func (m *mean) value(least float64) (float64, bool) {
	if m.weight < least {
		return 0, false
	}
	return m.sum / m.weight, true
}

// line is a least-squares line through points that lose their weight.
type line struct {
	weight       float64
	x, y, xx, xy float64
	deviation    mean
	newest       time.Duration
}

// add adds a point. Once the line is known, points that are far above it count as less far:
// they have waited for something else.
func (l *line) add(x, y float64, now time.Duration) {
	if usual, known := l.at(x); known {
		deviation := math.Abs(y - usual)
		if typical, ok := l.deviation.value(minPrefills); ok {
			y = min(y, usual+outlierFactor*typical)
			deviation = min(deviation, outlierFactor*typical)
		}
		l.deviation.add(deviation, serviceHalfLife, now)
	}
	left := decay(now-l.newest, serviceHalfLife)
	l.weight = l.weight*left + 1
	l.x, l.y = l.x*left+x, l.y*left+y
	l.xx, l.xy = l.xx*left+x*x, l.xy*left+x*y
	l.newest = max(l.newest, now)
}

// slope returns the slope of the line and its value at zero; zeros if they are not known.
func (l *line) slope() (slope, base float64) {
	if l.weight < minPrefills {
		return 0, 0
	}
	variance := l.xx/l.weight - l.x*l.x/(l.weight*l.weight)
	if variance < minSpread*minSpread {
		return 0, 0
	}
	slope = (l.xy/l.weight - l.x*l.y/(l.weight*l.weight)) / variance
	slope = min(max(slope, minPrefillMs), maxPrefillMs)
	return slope, max(l.y/l.weight-slope*l.x/l.weight, 0)
}

// at returns the value of the line at a point; false if it is not known.
func (l *line) at(x float64) (float64, bool) {
	slope, base := l.slope()
	return base + slope*x, slope > 0
}
