package proxy

import (
	"slices"
	"time"

	"sesamehill.example/sesamehill/internal/queue"
)

// ratesOf returns the rates for the requests with a set of allowed regions.
func (q *waitQueue) ratesOf(regionsKey string) *queue.Rates {
	r, ok := q.rates[regionsKey]
	if !ok {
		r = &queue.Rates{}
		q.rates[regionsKey] = r
	}
	return r
}

// recordGrant records that a request has got a target.
func (q *waitQueue) recordGrant(w *waiter, now time.Duration) {
	q.shares.Placed(w.job.accountName(), w.item.Size, now)
	if w.missed {
		q.ratesOf(w.job.allowed.Key()).Granted(w.item, now)
	}
}

// observe records which requests wait for a target from now on.
func (q *waitQueue) observe(now time.Duration) {
	q.observeWaiting(q.workByRegions(), now)
}

// workByRegions returns the work of the waiting requests by the key of their allowed regions.
func (q *waitQueue) workByRegions() map[string]queue.Waiting {
	work := map[string]queue.Waiting{}
	for _, w := range q.waiters {
		if !w.onTrial {
			addWork(work, w)
		}
	}
	return work
}

func addWork(work map[string]queue.Waiting, w *waiter) {
	key := w.job.allowed.Key()
	sum := work[key]
	sum.Add(w.item)
	work[key] = sum
}

func (q *waitQueue) observeWaiting(work map[string]queue.Waiting, now time.Duration) {
	for key, r := range q.rates {
		r.Observe(work[key], now)
	}
}

// refusePredictedLate refuses the waiting requests that would get room too late, by the rate at
// which others with the same allowed regions got it. The waiters are in queue order.
func (p *Proxy) refusePredictedLate(q *waitQueue, now time.Duration) {
	before := map[string]queue.Waiting{}
	q.waiters = slices.DeleteFunc(q.waiters, func(w *waiter) bool {
		if w.onTrial {
			return false
		}
		key := w.job.allowed.Key()
		predicted := q.ratesOf(key).Wait(before[key], w.item, now)
		verdict, refused := queue.Judge(w.item, predicted, now, randomFraction()).(queue.Refuse)
		if refused {
			w.result <- overloaded{verdict}
			return true
		}
		addWork(before, w)
		return false
	})
	q.observeWaiting(before, now)
}
