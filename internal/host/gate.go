package host

import (
	"context"
	"net/http"
	"sync"
	"time"

	"sesamehill.example/sesamehill/internal/admit"
	"sesamehill.example/sesamehill/internal/entry"
	"sesamehill.example/sesamehill/pkg/config"
)

const (
	// slotsPerEngine is the number of requests without a first token that keep an
	// engine's prefill busy. Further requests queue at the host, which schedules
	// accounts fairly.
	slotsPerEngine = 3
	// maxIdleSleep is the longest sleep of the admission loop when no rate or
	// deadline is due.
	maxIdleSleep = time.Second
)

// admissionQueue blocks requests until the admission controller starts or refuses
// them.
type admissionQueue struct {
	mu         sync.Mutex
	controller *admit.Controller
	waiting    map[uint64]chan admit.Event
	lastID     uint64
	running    int
	wake       chan struct{}
}

func newAdmissionQueue() *admissionQueue {
	return &admissionQueue{
		controller: admit.New(admit.WithSlots(slotsPerEngine)),
		waiting:    map[uint64]chan admit.Event{},
		wake:       make(chan struct{}, 1),
	}
}

// admittedRequest lets a started request give its slot back.
type admittedRequest struct {
	// releaseSlot returns the slot at the first token.
	releaseSlot func()
	// finish removes the request from the queue and from the controller.
	finish func()
}

// waitForStart blocks until the controller starts the request. It returns an error
// if the controller refuses the request or ctx ends first.
func (g *admissionQueue) waitForStart(ctx context.Context, r admit.Request) (*admittedRequest, error) {
	done := make(chan admit.Event, 1)
	g.mu.Lock()
	g.lastID++
	r.ID = g.lastID
	g.waiting[r.ID] = done
	if e, ok := g.controller.Submit(r, time.Now()).(admit.Refused); ok {
		delete(g.waiting, r.ID)
		g.mu.Unlock()
		return nil, admissionRefusal(e)
	}
	g.advance()
	g.mu.Unlock()
	g.wakeLoop()
	select {
	case e := <-done:
		if e, ok := e.(admit.Refused); ok {
			return nil, admissionRefusal(e)
		}
		return &admittedRequest{
			releaseSlot: func() { g.releaseSlot(r.ID) },
			finish:      sync.OnceFunc(func() { g.finish(r.ID) }),
		}, nil
	case <-ctx.Done():
	}
	select {
	case e := <-done:
		if _, ok := e.(admit.Refused); ok {
			return nil, ctx.Err()
		}
	default:
	}
	g.finish(r.ID)
	return nil, ctx.Err()
}

func (g *admissionQueue) finish(id uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.waiting[id]; ok {
		delete(g.waiting, id)
	} else {
		g.running--
	}
	g.controller.Done(id, time.Now())
	g.advance()
}

func (g *admissionQueue) releaseSlot(id uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.controller.Release(id, time.Now())
	g.advance()
}

// advance passes the controller's decisions to the waiting requests. The caller
// holds the lock.
func (g *admissionQueue) advance() {
	for _, e := range g.controller.Next(time.Now()) {
		switch e := e.(type) {
		case admit.Started:
			g.running++
			g.notify(e.ID, e)
		case admit.Refused:
			g.notify(e.ID, e)
		case admit.Queued:
		}
	}
}

func (g *admissionQueue) notify(id uint64, e admit.Event) {
	if done, ok := g.waiting[id]; ok {
		delete(g.waiting, id)
		done <- e
	}
}

func (g *admissionQueue) wakeLoop() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// run advances the controller whenever a rate limit or a deadline is due.
func (g *admissionQueue) run(ctx context.Context) error {
	for {
		g.mu.Lock()
		g.advance()
		at := g.controller.Wake()
		g.mu.Unlock()
		d := maxIdleSleep
		if !at.IsZero() {
			d = min(d, max(time.Millisecond, time.Until(at)))
		}
		t := time.NewTimer(d)
		select {
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		case <-g.wake:
			t.Stop()
		case <-t.C:
		}
	}
}

func (g *admissionQueue) setAccounts(accounts []config.Account) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.controller.SetAccounts(accounts, time.Now())
}

// setSize sets the number of live hosts of the deployment and the number of slots
// of this host.
func (g *admissionQueue) setSize(hosts, slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.controller.SetHosts(hosts)
	g.controller.SetSlots(slots)
	g.advance()
}

func (g *admissionQueue) addReport(r admit.Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.controller.RecordReport(r)
}

func (g *admissionQueue) report(host string, limit int) admit.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.controller.Report(host, limit, time.Now())
}

// load returns the numbers of running and of waiting requests.
func (g *admissionQueue) load() (running, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running, len(g.waiting)
}

func admissionRefusal(e admit.Refused) *entry.RefusalError {
	r := &entry.RefusalError{Run: entry.RanNo, Retry: e.RetryAfter}
	switch e.Reason {
	case admit.AccountLimit, admit.QueueShare:
		r.Status, r.Kind = http.StatusTooManyRequests, entry.KindRateLimit
		r.Message = "the account's limit is reached (" + string(e.Reason) + "); send fewer requests or retry after the given time"
	default:
		r.Status, r.Kind = http.StatusServiceUnavailable, entry.KindOverloaded
		r.Message = "the host cannot start the request in time (" + string(e.Reason) + "); retry after the given time"
	}
	return r
}
