package admit

import (
	"cmp"
	"container/list"
	"math"
	"time"

	"golang.org/x/time/rate"

	"sesamehill.example/sesamehill/pkg/config"
)

// account is an account's state at this host.
type account struct {
	name    string
	weight  int
	config  config.Account
	demand  demand
	limiter *rate.Limiter
	// limit is this host's share of the concurrency.
	limit     int
	refreshed time.Time
	running   int
	queue     requestHeap
	tokens    int
	deficit   int
	// state says which list of the controller contains the account.
	state   schedulingState
	element *list.Element
	readyAt time.Time
	index   int
}

type schedulingState uint8

const (
	// idle accounts have no waiting request. Accounts at the concurrency limit wait
	// for a running request to end.
	idle schedulingState = iota
	atConcurrencyLimit
	// Accounts in the round robin may start a request; those at the rate limit wait
	// for their rate.
	inRoundRobin
	atRateLimit
)

// queuedRequest is a request that waits to start.
type queuedRequest struct {
	Request
	account       *account
	order         uint64
	index         int
	deadlineIndex int
}

// startsBefore orders the requests of an account.
func (i *queuedRequest) startsBefore(j *queuedRequest) bool {
	if d := cmp.Compare(j.Priority, i.Priority); d != 0 {
		return d < 0
	}
	if d := i.Deadline.Compare(j.Deadline); d != 0 {
		return d < 0
	}
	return i.order < j.order
}

// refresh applies the host's current share to the limits.
func (a *account) refresh(x *demandReports, now time.Time) {
	if !a.refreshed.IsZero() && now.Sub(a.refreshed) < refreshInterval {
		return
	}
	a.refreshed = now
	s := x.share(a.name, a.demand.current(now))
	a.limit = 0
	if a.config.Concurrency > 0 {
		a.limit = max(1, int(float64(a.config.Concurrency)*s))
	}
	limit := a.config.Rate * s
	burst := int(math.Ceil(limit))
	if a.limiter == nil {
		a.limiter = rate.NewLimiter(rate.Limit(limit), burst)
		return
	}
	a.limiter.SetLimitAt(now, rate.Limit(limit))
	a.limiter.SetBurstAt(now, burst)
}

// rateDelay returns the time until the rate limiter allows n requests.
func (a *account) rateDelay(n int, now time.Time) time.Duration {
	missing := float64(n) - a.limiter.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	if a.limiter.Limit() <= 0 {
		return infiniteWait
	}
	return min(infiniteWait, time.Duration(math.Ceil(missing/float64(a.limiter.Limit())*float64(time.Second))))
}

// deadlineHeap is a heap of all waiting requests by deadline.
type deadlineHeap []*queuedRequest

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].Deadline.Before(h[j].Deadline) }
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].deadlineIndex, h[j].deadlineIndex = i, j
}

func (h *deadlineHeap) Pop() any {
	n := len(*h) - 1
	x := (*h)[n]
	(*h)[n], *h = nil, (*h)[:n]
	return x
}

func (h *deadlineHeap) Push(x any) {
	x.(*queuedRequest).deadlineIndex = len(*h)
	*h = append(*h, x.(*queuedRequest))
}

// readyHeap is a heap of accounts by the time at which their rate limit allows the
// next request.
type readyHeap []*account

func (h readyHeap) Len() int           { return len(h) }
func (h readyHeap) Less(i, j int) bool { return h[i].readyAt.Before(h[j].readyAt) }
func (h readyHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *readyHeap) Pop() any {
	n := len(*h) - 1
	x := (*h)[n]
	(*h)[n], *h = nil, (*h)[:n]
	return x
}

func (h *readyHeap) Push(x any) {
	x.(*account).index = len(*h)
	*h = append(*h, x.(*account))
}

// requestHeap is a heap of an account's requests in their start order.
type requestHeap []*queuedRequest

func (h requestHeap) Len() int           { return len(h) }
func (h requestHeap) Less(i, j int) bool { return h[i].startsBefore(h[j]) }
func (h requestHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *requestHeap) Pop() any {
	n := len(*h) - 1
	x := (*h)[n]
	(*h)[n], *h = nil, (*h)[:n]
	return x
}

func (h *requestHeap) Push(x any) {
	x.(*queuedRequest).index = len(*h)
	*h = append(*h, x.(*queuedRequest))
}
