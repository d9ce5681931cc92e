package fleet

import (
	"fmt"
	"math"
)

// Unlimited is the rate limit of a target that names none.
var Unlimited = math.Inf(1)

// RecordRateLimit records how many requests a second a target takes from all hosts
// together, as it says in an answer.
func (f *Fleet) RecordRateLimit(id string, perSecond float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.targets[id]
	if !ok || s.rateLimit == perSecond {
		return
	}
	s.rateLimit = perSecond
	f.onChange(Change{Target: *s.Target, Event: fmt.Sprintf("names a limit of %g requests per second", perSecond)})
}
