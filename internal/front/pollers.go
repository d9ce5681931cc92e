package front

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/guard"
	"sesamehill.example/sesamehill/internal/pause"
	"sesamehill.example/sesamehill/internal/stash"
	"sesamehill.example/sesamehill/internal/wire"
)

const (
	// roleFor is the time between two looks at which hosts ask the stores.
	roleFor = time.Second
	// learnPace is the least time between two questions to a hub: some store changes
	// at nearly any time, and each answer would otherwise lead to the next question.
	// From manyLearners hosts on it is slowLearnPace, as the answers to all of them
	// are the most that a hub sends.
	learnPace     = 100 * time.Millisecond
	slowLearnPace = 250 * time.Millisecond
	manyLearners  = 32
)

// pollers learns what the stores hold: from the stores themselves, or from hosts
// that ask them.
type pollers struct {
	host *Host
	// refreshed is the boot time of the last answer about all stores.
	refreshed time.Duration

	mu      sync.Mutex
	ctx     context.Context //nolint:containedctx // pollers start whenever the site changes
	wanted  []string
	direct  bool
	running map[string]context.CancelFunc
	group   sync.WaitGroup
	// failed counts the failures of hubs in a row.
	failed int
}

func newPollers(h *Host) *pollers {
	return &pollers{
		host: h, direct: true, running: map[string]context.CancelFunc{},
	}
}

// Run learns until ctx ends.
func (p *pollers) Run(ctx context.Context) error {
	p.mu.Lock()
	p.ctx = ctx
	p.start()
	p.mu.Unlock()
	for ctx.Err() == nil {
		hubs := p.choose()
		if len(hubs) == 0 {
			if pause.For(ctx, roleFor) != nil {
				break
			}
			continue
		}
		began := wire.Boot()
		p.learn(ctx, hubs)
		pace := learnPace
		if p.host.members.count() >= manyLearners {
			pace = slowLearnPace
		}
		if pause.For(ctx, max(began+pace-wire.Boot(), 0)) != nil {
			break
		}
	}
	p.group.Wait()
	return nil //nolint:nilerr // the end of ctx is the normal end
}

// choose returns the hosts to learn from; none if this host asks the stores.
func (p *pollers) choose() []string {
	hubs, self := p.host.members.hubs()
	p.mu.Lock()
	defer p.mu.Unlock()
	direct := self || len(hubs) == 0 || p.failed > len(hubs)
	if direct != p.direct {
		p.direct = direct
		p.host.log.Info("stores asked", zap.Bool("direct", direct), zap.Strings("hubs", hubs), zap.Int("failed", p.failed))
		p.start()
	}
	if p.failed > len(hubs) {
		p.failed = 0
	}
	if direct {
		return nil
	}
	return hubs
}

// learn asks one hub after the other until one answers.
func (p *pollers) learn(ctx context.Context, hubs []string) {
	p.mu.Lock()
	hub := hubs[p.failed%len(hubs)]
	p.mu.Unlock()
	began := wire.Boot()
	d, err := p.ask(ctx, hub)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.failed++
		p.host.log.Warn("host does not tell about stores", zap.String("peer", hub), zap.Error(err))
		return
	}
	p.failed = 0
	p.host.stash.Import(d, began)
}

// set sets the addresses to poll.
func (p *pollers) set(addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wanted = addresses
	p.start()
}

func (p *pollers) start() {
	if p.ctx == nil || p.ctx.Err() != nil {
		return
	}
	wanted := map[string]bool{}
	for _, a := range p.wanted {
		wanted[a] = p.direct
		if _, ok := p.running[a]; ok || !p.direct {
			continue
		}
		ctx, cancel := context.WithCancel(p.ctx)
		p.running[a] = cancel
		poller := stash.NewPoller(p.host.stash, p.host.platform.Targets(), a, p.host.log)
		p.group.Go(func() {
			guard.Keep(ctx, p.host.log, "poller", func() { _ = poller.Run(ctx) }) // it returns nil
		})
	}
	for a, cancel := range p.running {
		if !wanted[a] {
			cancel()
			delete(p.running, a)
		}
	}
}
