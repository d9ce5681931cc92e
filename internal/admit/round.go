package admit

import (
	"container/heap"
	"time"
)

func seconds(s float64) time.Duration {
	return time.Duration(min(s*float64(time.Second), float64(infiniteWait)))
}

// setState moves an account to the list of its new state.
func (c *Controller) setState(a *account, to schedulingState) {
	if a.state == to {
		return
	}
	switch a.state {
	case inRoundRobin:
		c.roundRobin.Remove(a.element)
	case atRateLimit:
		heap.Remove(&c.byReadyTime, a.index)
	case idle, atConcurrencyLimit:
	}
	a.state = to
	switch to {
	case inRoundRobin:
		a.element = c.roundRobin.PushBack(a)
	case atRateLimit:
		heap.Push(&c.byReadyTime, a)
	case idle, atConcurrencyLimit:
	}
}

// serveNext serves the account at the front of the round robin: it starts one
// request if the deficit covers it. Otherwise the account earns its quantum and
// moves to the back.
func (c *Controller) serveNext(now time.Time) {
	a := c.roundRobin.Front().Value.(*account)
	i := a.queue[0]
	if a.deficit < i.Tokens {
		a.deficit += quantumTokens * a.weight
		c.roundRobin.MoveToBack(a.element)
		return
	}
	a.refresh(&c.reports, now)
	if a.running >= a.limit || !a.limiter.AllowN(now, 1) {
		c.reschedule(a, now)
		return
	}
	deficit := a.deficit - i.Tokens
	c.dequeue(i)
	a.running++
	c.running[i.ID] = runningRequest{account: a, tokens: i.Tokens, started: now}
	c.events = append(c.events, Started{ID: i.ID})
	if len(a.queue) > 0 {
		a.deficit = deficit
		c.reschedule(a, now)
	}
}
