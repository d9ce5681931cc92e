package admit

import (
	"container/heap"
	"container/list"
	"math"
	"time"

	"sesamehill.example/sesamehill/pkg/config"
)

const (
	defaultQueueSize = 1000
	defaultSlots     = 64
	// maxWeight limits the factor by which a priority multiplies an account's
	// quantum.
	maxWeight = 10
	// infiniteWait is the wait of a request that can never start.
	infiniteWait = time.Duration(math.MaxInt64 / 4)
	// quantumTokens is the number of tokens that an account earns in a round. It is
	// about one block, so that short prompts do not wait behind a whole long one of
	// another account.
	quantumTokens = 4000
	// refreshInterval is the shortest time between two computations of the shares;
	// reports arrive at this interval.
	refreshInterval = time.Second
	// minReportedRate is one request in 100 s; Report omits lower demand.
	minReportedRate = 0.01
	// minRetryAfter is the shortest retry delay; Retry-After is in whole seconds.
	minRetryAfter = time.Second
	// maxRetryAfter limits the retry delay, because the load at a later time is
	// unknown.
	maxRetryAfter = time.Minute
	// averageDecay is the factor by which a new run reduces the weight of earlier
	// runs in the averages.
	averageDecay = 0.95
)

// Controller holds the requests that wait at one host.
type Controller struct {
	slots     int
	queueSize int
	accounts  map[string]*account
	reports   demandReports
	queued    map[uint64]*queuedRequest
	running   map[uint64]runningRequest
	// releasedCount is the number of running requests that hold no slot any more.
	releasedCount int
	byDeadline    deadlineHeap
	byReadyTime   readyHeap
	// roundRobin holds the accounts that may start a request.
	roundRobin      *list.List
	refreshed       time.Time
	events          []Event
	lastOrder       uint64
	queuedTokens    int
	waitingAccounts int
	// slotTimes averages over released slots, and runTimes over ended runs.
	slotTimes runAverage
	runTimes  runAverage
}

// Option configures a Controller.
type Option func(*Controller)

// runAverage holds decaying sums of the tokens and seconds of runs, and their
// count.
type runAverage struct {
	tokens  float64
	seconds float64
	count   float64
}

type runningRequest struct {
	account  *account
	tokens   int
	started  time.Time
	released bool
}

// New returns an empty controller.
func New(options ...Option) *Controller {
	c := &Controller{
		slots: defaultSlots, queueSize: defaultQueueSize,
		accounts: map[string]*account{}, queued: map[uint64]*queuedRequest{}, running: map[uint64]runningRequest{},
		reports:    demandReports{liveHosts: 1, byHost: map[string]Report{}, byAccount: map[string]demandSum{}},
		roundRobin: list.New(),
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// WithQueue sets how many requests may wait.
func WithQueue(n int) Option { return func(c *Controller) { c.queueSize = n } }

// WithSlots sets how many requests may hold a slot at once.
func WithSlots(n int) Option { return func(c *Controller) { c.slots = n } }

// Done ends a request, whether it runs or waits.
func (c *Controller) Done(id uint64, now time.Time) {
	if i, ok := c.queued[id]; ok {
		c.dequeue(i)
		return
	}
	r, ok := c.running[id]
	if !ok {
		return
	}
	c.Release(id, now)
	delete(c.running, id)
	c.releasedCount--
	c.runTimes.add(&r, now)
	r.account.running--
	if r.account.state == atConcurrencyLimit {
		c.reschedule(r.account, now)
	}
}

// Next starts the requests that may start and refuses those whose deadline has
// passed.
func (c *Controller) Next(now time.Time) []Event {
	c.refresh(now)
	for len(c.byDeadline) > 0 && !c.byDeadline[0].Deadline.After(now) {
		c.refuse(c.byDeadline[0], now, Overload)
	}
	for len(c.byReadyTime) > 0 && !c.byReadyTime[0].readyAt.After(now) {
		c.reschedule(c.byReadyTime[0], now)
	}
	for c.occupied() < c.slots && c.roundRobin.Len() > 0 {
		c.serveNext(now)
	}
	events := c.events
	c.events = nil
	return events
}

// Release frees a running request's slot, usually with its first token: an
// engine decodes many runs at once but prefills one after the other, so slots for
// the time before the first token keep the engines' queues short and leave the
// order of requests to the controller. The request counts for its account's
// concurrency until Done.
func (c *Controller) Release(id uint64, now time.Time) {
	r, ok := c.running[id]
	if !ok || r.released {
		return
	}
	c.slotTimes.add(&r, now)
	r.released = true
	c.running[id] = r
	c.releasedCount++
}

// SetAccounts applies the accounts of a configuration document. Waiting requests
// of a removed account are refused; its running requests continue.
func (c *Controller) SetAccounts(accounts []config.Account, now time.Time) {
	updated := make(map[string]*account, len(accounts))
	for _, g := range accounts {
		a := c.accounts[g.Name]
		if a == nil {
			a = &account{name: g.Name}
		}
		a.config, a.weight, a.refreshed = g, 1+max(0, min(g.Priority, maxWeight-1)), time.Time{}
		updated[g.Name] = a
	}
	old := c.accounts
	c.accounts = updated
	for name, a := range old {
		if updated[name] != nil {
			c.reschedule(a, now)
			continue
		}
		for len(a.queue) > 0 {
			c.refuse(a.queue[0], now, UnknownAccount)
		}
	}
}

// SetSlots changes how many requests may hold a slot at once.
func (c *Controller) SetSlots(n int) { c.slots = n }

// Submit queues a request. It returns Queued, or Refused if the request cannot
// start before its deadline or the queue is full. If the queue is full, the
// account with the most waiting tokens loses its last request, which the next
// Next reports.
func (c *Controller) Submit(r Request, now time.Time) Event {
	a := c.accounts[r.Account]
	if a == nil {
		return Refused{ID: r.ID, Reason: UnknownAccount, RetryAfter: minRetryAfter}
	}
	r.Tokens = max(1, r.Tokens)
	a.demand.add(now)
	a.refresh(&c.reports, now)
	if reason, wait := c.estimateWait(a, r.Tokens, now); wait > r.Deadline.Sub(now) {
		return Refused{ID: r.ID, Reason: reason, RetryAfter: clampRetryAfter(wait - max(0, r.Deadline.Sub(now)))}
	}
	if len(c.queued) >= c.queueSize {
		victim := c.largestAccount()
		if victim == nil || victim == a || victim.tokens <= a.tokens+r.Tokens {
			return c.refuseQueueFull(a, victim, r, now)
		}
		c.refuse(lastToStart(victim), now, QueueShare)
	}
	c.enqueue(a, r)
	if a.state == idle {
		c.reschedule(a, now)
	}
	return Queued{ID: r.ID}
}

// Wake returns the time by which to call Next if no request is submitted or ends
// before, or zero if nothing waits.
func (c *Controller) Wake() time.Time {
	if len(c.queued) == 0 {
		return time.Time{}
	}
	at := c.refreshed.Add(refreshInterval)
	if d := c.byDeadline[0].Deadline; d.Before(at) {
		at = d
	}
	if len(c.byReadyTime) > 0 && c.byReadyTime[0].readyAt.Before(at) {
		at = c.byReadyTime[0].readyAt
	}
	return at
}

// clampRetryAfter limits a retry delay to the allowed range.
func clampRetryAfter(d time.Duration) time.Duration { return max(minRetryAfter, min(d, maxRetryAfter)) }

// lastToStart returns the request of an account that would start last.
func lastToStart(a *account) *queuedRequest {
	x := a.queue[0]
	for _, i := range a.queue {
		if x.startsBefore(i) {
			x = i
		}
	}
	return x
}

// estimateWait estimates the wait of a new request of an account and returns the
// limit that causes it.
func (c *Controller) estimateWait(a *account, tokens int, now time.Time) (Reason, time.Duration) {
	reason, wait := AccountLimit, a.rateDelay(len(a.queue)+1, now)
	if a.limit == 0 {
		return AccountLimit, infiniteWait
	}
	if a.running+len(a.queue) >= a.limit && c.runTimes.count > 0 {
		turns := float64(a.running+len(a.queue)-a.limit+1) / float64(a.limit)
		wait = max(wait, seconds(turns*c.runTimes.seconds/c.runTimes.count))
	}
	if free := c.slots - c.occupied(); free <= len(c.queued) && c.slotTimes.seconds > 0 && c.slots > 0 {
		// Before this request starts, round robin lets every other account start at
		// most as many tokens as this account has waiting, this request included.
		others := c.waitingAccounts
		if len(a.queue) > 0 {
			others--
		}
		ahead := min(c.queuedTokens+tokens, (a.tokens+tokens)*(others+1))
		if d := seconds(float64(ahead) * c.slotTimes.seconds / c.slotTimes.tokens / float64(c.slots)); d > wait {
			return Overload, d
		}
	}
	return reason, wait
}

// refuseQueueFull refuses a request because the queue is full.
func (c *Controller) refuseQueueFull(a, victim *account, r Request, now time.Time) Event {
	reason := QueueFull
	if victim == a {
		reason = QueueShare
	}
	_, wait := c.estimateWait(a, r.Tokens, now)
	return Refused{ID: r.ID, Reason: reason, RetryAfter: clampRetryAfter(wait)}
}

func (c *Controller) enqueue(a *account, r Request) {
	c.lastOrder++
	i := &queuedRequest{Request: r, account: a, order: c.lastOrder}
	c.queued[r.ID] = i
	heap.Push(&c.byDeadline, i)
	heap.Push(&a.queue, i)
	if len(a.queue) == 1 {
		c.waitingAccounts++
	}
	a.tokens += r.Tokens
	c.queuedTokens += r.Tokens
}

// largestAccount returns the account with the most waiting tokens. It scans
// the whole queue and is called only when the queue is full.
func (c *Controller) largestAccount() *account {
	var x *account
	for _, i := range c.queued {
		if x == nil || i.account.tokens > x.tokens || (i.account.tokens == x.tokens && i.account.name < x.name) {
			x = i.account
		}
	}
	return x
}

func (c *Controller) refuse(i *queuedRequest, now time.Time, reason Reason) {
	a := i.account
	c.dequeue(i)
	wait := time.Duration(0)
	if reason != UnknownAccount {
		limit, d := c.estimateWait(a, i.Tokens, now)
		wait = d
		if reason == Overload && d > 0 {
			reason = limit
		}
	}
	c.events = append(c.events, Refused{ID: i.ID, Reason: reason, RetryAfter: clampRetryAfter(wait)})
}

// dequeue removes a request from the queue. An account without requests leaves
// the round robin and loses its deficit.
func (c *Controller) dequeue(i *queuedRequest) {
	a := i.account
	delete(c.queued, i.ID)
	heap.Remove(&c.byDeadline, i.deadlineIndex)
	heap.Remove(&a.queue, i.index)
	a.tokens -= i.Tokens
	c.queuedTokens -= i.Tokens
	if len(a.queue) == 0 {
		c.waitingAccounts--
		c.setState(a, idle)
		a.deficit = 0
	}
}

func (c *Controller) occupied() int { return len(c.running) - c.releasedCount }

func (p *runAverage) add(r *runningRequest, now time.Time) {
	p.tokens = p.tokens*averageDecay + float64(r.tokens)
	p.seconds = p.seconds*averageDecay + now.Sub(r.started).Seconds()
	p.count = p.count*averageDecay + 1
}

// refresh applies new shares, at most once in refreshInterval: the share of
// an account that waits for its limits may have grown.
func (c *Controller) refresh(now time.Time) {
	if now.Sub(c.refreshed) < refreshInterval {
		return
	}
	c.refreshed = now
	c.reports.expire(now)
	for _, i := range c.queued {
		if a := i.account; a.state != inRoundRobin && !a.refreshed.Equal(now) {
			a.refreshed = time.Time{}
			c.reschedule(a, now)
		}
	}
}

// reschedule sets the scheduling state of an account from its queue and limits.
func (c *Controller) reschedule(a *account, now time.Time) {
	a.refresh(&c.reports, now)
	switch wait := a.rateDelay(1, now); {
	case len(a.queue) == 0:
		c.setState(a, idle)
	case a.running >= a.limit:
		c.setState(a, atConcurrencyLimit)
	case wait > 0:
		c.setState(a, idle)
		a.readyAt = now.Add(wait)
		c.setState(a, atRateLimit)
	default:
		c.setState(a, inRoundRobin)
	}
}
