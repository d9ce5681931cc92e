package retry

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"

	"sesamehill.example/sesamehill/internal/target"
)

const (
	// maxAttempts bounds the attempts of a request. More would only add load to
	// targets that are full.
	maxAttempts = 4
	// maxBrokenAttempts is the number of broken attempts after which a request fails.
	// It limits a request that crashes its targets to two of them.
	maxBrokenAttempts = 2
	// initialDelay is roughly the duration of one step of an engine with a full batch.
	initialDelay = 25 * time.Millisecond
	maxDelay     = time.Second
	// maxJitterRatio is the maximum relative deviation of a delay.
	maxJitterRatio = 0.5
	// minAttemptTime is the minimum time that an attempt needs for a response.
	minAttemptTime = 50 * time.Millisecond
	// meanGiveUpRetryAfter is the mean delay before a client may retry a request that
	// has failed.
	meanGiveUpRetryAfter = 2 * time.Second
)

// Run is the answer to the client whether any part of its request ran.
type Run string

// Values of Run.
const (
	RunNo      Run = "no"
	RunUnknown Run = "unknown"
)

// Outcome is the outcome of a failed attempt: Refused, Broken or Disconnected.
type Outcome interface{ outcome() }

// Refused means that the target certainly ran nothing.
type Refused struct {
	// RetryAfter is the delay that the target asked for; zero if it asked for none.
	RetryAfter time.Duration
}

// Broken means that the target may have run the request.
type Broken struct{}

// Disconnected means that the client has disconnected.
type Disconnected struct{}

func (Refused) outcome()      {}
func (Broken) outcome()       {}
func (Disconnected) outcome() {}

// Classify returns the outcome of an attempt that failed with err. It returns
// Broken for every error except a *target.NotRunError.
func Classify(err error) Outcome {
	var notRun *target.NotRunError
	if errors.As(err, &notRun) {
		return Refused{}
	}
	return Broken{}
}

// Input is the state of a request after a failed attempt.
type Input struct {
	Outcome    Outcome
	Idempotent bool
	// Emitted is the number of tokens that the client has received.
	Emitted int
	// Attempts counts the failed attempts, BrokenAttempts the broken ones among
	// them. Both include the latest attempt.
	Attempts       int
	BrokenAttempts int
	Deadline       time.Time
	// HasBudget reports whether both buckets hold a retry.
	HasBudget bool
}

// WithOutcome returns the input after one more failed attempt.
func (i Input) WithOutcome(o Outcome, emitted int) Input {
	i.Outcome, i.Emitted = o, emitted
	i.Attempts++
	if _, ok := o.(Broken); ok {
		i.BrokenAttempts++
	}
	return i
}

// Decision is one of Retry, Resume and GiveUp.
type Decision interface{ decision() }

// Retry means to restart the request on another target after a delay.
type Retry struct{ Delay time.Duration }

// Resume means to continue the response after the emitted tokens, on another
// target with the same weight version.
type Resume struct {
	Delay   time.Duration
	Emitted int
}

// GiveUp means that the request fails at once.
type GiveUp struct {
	Run Run
	// RetryAfter is the delay after which the client may retry.
	RetryAfter time.Duration
	Reason     string
}

func (Retry) decision()  {}
func (Resume) decision() {}
func (GiveUp) decision() {}

// Decide decides what follows a failed attempt. It never retries a non-idempotent
// request that may have run, and sets Run to "no" only if every attempt was
// refused.
func Decide(i Input, now time.Time, r *rand.Rand) Decision {
	wait := addJitter(meanDelay(i.Attempts), r)
	if o, ok := i.Outcome.(Refused); ok {
		wait = max(wait, o.RetryAfter)
	}
	_, disconnected := i.Outcome.(Disconnected)
	switch {
	case disconnected:
		return giveUp(i, "the client has disconnected", r)
	case !i.Idempotent && i.BrokenAttempts > 0:
		return giveUp(i, "the request is not idempotent and may have run", r)
	case i.BrokenAttempts >= maxBrokenAttempts:
		return giveUp(i, "two attempts failed while the request may have been running", r)
	case i.Attempts >= maxAttempts:
		return giveUp(i, "too many attempts failed", r)
	case now.Add(wait + minAttemptTime).After(i.Deadline):
		return giveUp(i, "another attempt cannot complete before the deadline", r)
	case !i.HasBudget:
		return giveUp(i, "the retry budget is exhausted", r)
	case i.Emitted > 0:
		return Resume{Delay: wait, Emitted: i.Emitted}
	}
	return Retry{Delay: wait}
}

// giveUp returns the decision for a request that fails. The client may retry after
// a random delay, or after the target's own delay if that is longer.
func giveUp(i Input, reason string, r *rand.Rand) GiveUp {
	g := GiveUp{Run: RunNo, Reason: reason, RetryAfter: addJitter(meanGiveUpRetryAfter, r)}
	_, disconnected := i.Outcome.(Disconnected)
	if disconnected || i.BrokenAttempts > 0 || i.Emitted > 0 {
		g.Run = RunUnknown
	}
	if o, ok := i.Outcome.(Refused); ok {
		g.RetryAfter = max(g.RetryAfter, o.RetryAfter)
	}
	return g
}

// meanDelay returns the mean delay before the next attempt after n failed ones.
func meanDelay(n int) time.Duration {
	b := backoff.ExponentialBackOff{InitialInterval: initialDelay, Multiplier: 2, MaxInterval: maxDelay}
	d := b.NextBackOff()
	for range min(n, maxAttempts) - 1 {
		d = b.NextBackOff()
	}
	return d
}

// addJitter randomizes d by up to maxJitterRatio. It draws from r, so that tests
// are reproducible.
func addJitter(d time.Duration, r *rand.Rand) time.Duration {
	return time.Duration(float64(d) * (1 - maxJitterRatio + 2*maxJitterRatio*r.Float64()))
}
