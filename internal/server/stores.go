package server

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/kvcat"
	"sesamehill.example/sesamehill/internal/pause"
	"sesamehill.example/sesamehill/internal/place"
	"sesamehill.example/sesamehill/internal/safego"
	"sesamehill.example/sesamehill/internal/wire"
)

const (
	// roleCheckInterval is the time between two checks whether this host polls the
	// stores itself.
	roleCheckInterval = time.Second
	// maxRoleWait is how long a host that has just started waits for the rows of the
	// hosts, which tell whether it polls the stores, and rowsCheckInterval the time
	// between two checks for them. Many hosts may start at once, and all of them would
	// list every store.
	maxRoleWait       = 2 * time.Second
	rowsCheckInterval = 50 * time.Millisecond
	// hubPollInterval is the least time between two queries to a hub. Some store
	// changes at nearly any time, so that each reply would otherwise lead to the next
	// query at once. From manyHosts hosts on the interval is slowHubPollInterval, as
	// the replies to all of them are most of what a hub sends.
	hubPollInterval     = 100 * time.Millisecond
	slowHubPollInterval = 250 * time.Millisecond
	manyHosts           = 32
)

// storeWatcher keeps the catalog of the stores up to date. It polls the stores itself,
// or queries hubs that do. When no hub replies it polls only the stores of its own
// region, as all hosts of the region may do so at once.
type storeWatcher struct {
	host *Host
	// fullRefreshAt is the boot time of the last reply that covered all stores.
	fullRefreshAt time.Duration

	mu  sync.Mutex
	ctx context.Context //nolint:containedctx // pollers start whenever the configuration changes
	// addresses are the stores to poll.
	addresses []string
	// direct is set if this host polls the stores itself, and localOnly if it polls
	// only those of its region.
	direct, localOnly bool
	// startedAt is the boot time at which Run started.
	startedAt time.Duration
	// running holds the cancel functions of the pollers by address.
	running map[string]context.CancelFunc
	group   sync.WaitGroup
	// hubFailures counts consecutive failed queries to hubs.
	hubFailures int
}

func newStoreWatcher(h *Host) *storeWatcher {
	return &storeWatcher{
		host: h, running: map[string]context.CancelFunc{},
	}
}

// Run updates the catalog until ctx is cancelled.
func (w *storeWatcher) Run(ctx context.Context) error {
	w.mu.Lock()
	w.ctx, w.startedAt = ctx, wire.BootTime()
	w.mu.Unlock()
	for ctx.Err() == nil {
		hubs := w.chooseHubs()
		if len(hubs) == 0 {
			interval := roleCheckInterval
			if w.roleUnknown() {
				interval = rowsCheckInterval
			}
			if pause.For(ctx, interval) != nil {
				break
			}
			continue
		}
		startedAt := wire.BootTime()
		w.pollHub(ctx, hubs)
		interval := hubPollInterval
		if w.host.members.hostCount() >= manyHosts {
			interval = slowHubPollInterval
		}
		if pause.For(ctx, max(startedAt+interval-wire.BootTime(), 0)) != nil {
			break
		}
	}
	w.group.Wait()
	return nil //nolint:nilerr // cancellation is the normal way to stop
}

// chooseHubs returns the hubs to query, or none if this host polls the stores. It
// polls them for a time after queries to all hubs have failed.
func (w *storeWatcher) chooseHubs() []string {
	hubs, self := w.host.members.storeHubAddresses()
	w.mu.Lock()
	defer w.mu.Unlock()
	failed := w.hubFailures > len(hubs)
	localOnly := failed && !self
	direct := !w.roleUnknown() && (self || len(hubs) == 0 || failed)
	if direct != w.direct || localOnly != w.localOnly {
		w.direct, w.localOnly = direct, localOnly
		w.host.log.Info(
			"source of the store inventory changed", zap.Bool("direct", direct), zap.Bool("local", localOnly),
			zap.Strings("hubs", hubs), zap.Int("failed", w.hubFailures),
		)
		w.updatePollers()
	}
	if w.hubFailures > len(hubs) {
		w.hubFailures = 0
	}
	if direct {
		return nil
	}
	return hubs
}

// roleUnknown reports whether this host does not know yet whether it polls the stores.
func (w *storeWatcher) roleUnknown() bool {
	return !w.host.members.read() && wire.BootTime()-w.startedAt < maxRoleWait
}

// pollHub queries one hub. After a failure the next call queries the next hub.
func (w *storeWatcher) pollHub(ctx context.Context, hubs []string) {
	w.mu.Lock()
	hub := hubs[w.hubFailures%len(hubs)]
	w.mu.Unlock()
	startedAt := wire.BootTime()
	d, err := w.queryHub(ctx, hub)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.hubFailures++
		w.host.log.Warn("query for store changes failed; trying the next host", zap.String("peer", hub), zap.Error(err))
		return
	}
	w.hubFailures = 0
	w.host.catalog.ApplyUpdate(d, startedAt)
}

// setAddresses sets the addresses of the stores to poll.
func (w *storeWatcher) setAddresses(addresses []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.addresses = addresses
	w.updatePollers()
}

// updatePollers starts and stops pollers according to addresses, direct and localOnly.
// The caller holds mu.
func (w *storeWatcher) updatePollers() {
	if w.ctx == nil || w.ctx.Err() != nil {
		return
	}
	wanted := map[string]bool{}
	for _, a := range w.addresses {
		wanted[a] = w.direct && (!w.localOnly || w.isLocal(a))
		if _, ok := w.running[a]; ok || !wanted[a] {
			continue
		}
		ctx, cancel := context.WithCancel(w.ctx)
		w.running[a] = cancel
		poller := kvcat.NewPoller(w.host.catalog, w.host.platform.TargetClient(), a, w.host.log)
		w.group.Go(func() {
			safego.KeepRunning(ctx, w.host.log, "poller", func() { _ = poller.Run(ctx) }) // Run always returns nil
		})
	}
	for a, cancel := range w.running {
		if !wanted[a] {
			cancel()
			delete(w.running, a)
		}
	}
}

// isLocal reports whether a store is in the region of this host.
func (w *storeWatcher) isLocal(address string) bool {
	return w.host.currentSettings().distance(w.host.catalog.StoreZone(address)) != place.OtherRegion
}
