package front

import (
	"context"
	"sync"

	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/stash"
)

// pollers runs one poller for each store of the site in force.
type pollers struct {
	catalog *stash.Catalog
	reader  stash.Reader
	log     *zap.Logger

	mu      sync.Mutex
	ctx     context.Context //nolint:containedctx // pollers start whenever the site changes
	wanted  []string
	running map[string]context.CancelFunc
	group   sync.WaitGroup
}

// Run runs the pollers until ctx ends.
func (p *pollers) Run(ctx context.Context) error {
	p.mu.Lock()
	p.ctx = ctx
	p.start()
	p.mu.Unlock()
	<-ctx.Done()
	p.group.Wait()
	return nil
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
		wanted[a] = true
		if _, ok := p.running[a]; ok {
			continue
		}
		ctx, cancel := context.WithCancel(p.ctx)
		p.running[a] = cancel
		poller := stash.NewPoller(p.catalog, p.reader, a, p.log)
		p.group.Go(func() { _ = poller.Run(ctx) }) // it returns nil
	}
	for a, cancel := range p.running {
		if !wanted[a] {
			cancel()
			delete(p.running, a)
		}
	}
}
