package queue

import "time"

const (
	// usefulShare is the share of the time of a request after which its run has to start, so
	// that it can end in time and a caller that is refused can still retry.
	usefulShare = 0.4
	// minRetryAfter is the shortest time after which a refused caller returns.
	minRetryAfter = 300 * time.Millisecond
	// retryShare is the largest share of the remaining time that a caller waits before it
	// retries.
	retryShare = 1.0 / 3
	// retrySpread is the share of the predicted wait over which callers of the same urgency
	// return.
	retrySpread = 0.5
)

// Verdict says what becomes of a request without room: Wait or Refuse.
type Verdict interface{ verdict() }

// Wait says that the request stays in the queue.
type Wait struct{ Predicted time.Duration }

// Refuse says that the request would start too late to be of use. The caller may return
// after RetryAfter.
type Refuse struct{ Predicted, RetryAfter time.Duration }

func (Wait) verdict()   {}
func (Refuse) verdict() {}

// Judge decides whether a request with a predicted wait stays in the queue.
func Judge(i Item, predicted, now time.Duration, random float64) Verdict {
	if i.First || i.Began || now+predicted <= i.Latest {
		return Wait{predicted}
	}
	return Refuse{Predicted: predicted, RetryAfter: RetryAfter(i, predicted, now, random)}
}

// Latest is the latest useful start of a request that is queued now.
func Latest(now, deadline time.Duration) time.Duration {
	return now + time.Duration(usefulShare*float64(max(deadline-now, 0)))
}

// RetryAfter is the time after which a refused caller should return: when it is expected to
// get room, more urgent ones first, and within the time that it has left.
func RetryAfter(i Item, predicted, now time.Duration, random float64) time.Duration {
	steps := 1 + slackPerStep*float64(i.Priority) + retrySpread*random
	after := max(time.Duration(steps*float64(predicted)), time.Duration((1+random)*float64(minRetryAfter)))
	longest := retryShare * float64(max(i.Deadline-now, 0))
	if float64(after) > longest {
		after = time.Duration(longest * (1 - retrySpread/2*random))
	}
	return after
}
