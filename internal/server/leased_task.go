package server

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/feed"
	"sesamehill.example/sesamehill/internal/gossip"
	"sesamehill.example/sesamehill/internal/kvcat"
	"sesamehill.example/sesamehill/internal/lease"
	"sesamehill.example/sesamehill/internal/pause"
	"sesamehill.example/sesamehill/internal/relay"
	"sesamehill.example/sesamehill/internal/roll"
	"sesamehill.example/sesamehill/internal/tree"
	"sesamehill.example/sesamehill/internal/wire"
)

const (
	// taskTable holds the progress of the host that gives orders and the dates of weight
	// versions, leaseTable the lease of that host, which changes too often for every host
	// to follow it.
	taskTable   = "sesame_duty"
	leaseTable  = "sesame_lease"
	leaseName   = "orders"
	progressKey = "progress"
	// leaseTTL and leaseRenewInterval determine how soon another host takes over.
	leaseTTL           = 1600 * time.Millisecond
	leaseMargin        = 400 * time.Millisecond
	leaseRenewInterval = 400 * time.Millisecond
	// leaseWatchInterval is the time between two reads of a lease that another host
	// holds.
	leaseWatchInterval = 700 * time.Millisecond
	leaseTimeout       = 500 * time.Millisecond
	// contendCheckInterval is the time between two checks whether this host contends
	// for the lease.
	contendCheckInterval = time.Second
	// slowProgressInterval is the time between two reads of the progress where many
	// hosts read it.
	slowProgressInterval = relay.MaxSlowInterval
	// progressMemory is how long progress that is older than the last one is ignored.
	progressMemory = time.Minute
	freeInterval   = 300 * time.Millisecond
	// freeDelay is how long all engines must have held the newest weights before
	// entries of older ones are freed; it exceeds the longest fetch.
	freeDelay = 4 * time.Second
	// fetchStopDelay is how long a host must have known of new weights until it
	// certainly fetches no entries of older ones: it stops after replacedFetchWindow,
	// and a fetch ends within the time limit for fetches.
	fetchStopDelay = replacedFetchWindow + kvcat.MaxFetchTime + 500*time.Millisecond
	// ackReportWindow is how long after an announcement hosts report which hosts have
	// acknowledged it.
	ackReportWindow = 30 * time.Second
	// maxReportedAcks bounds the acknowledgements in a message, which has to fit a
	// datagram. Those of one host may exceed it.
	maxReportedAcks = 400
	// freeBatchSize is the largest number of entries that one call frees.
	freeBatchSize = 200
	freeTimeout   = time.Second
)

// leasedTask performs the tasks of the lease holder while this host holds the lease:
// it orders engines to load announced weights and frees entries of replaced weights.
// On other hosts it follows the holder's progress.
type leasedTask struct {
	host   *Host
	lease  *lease.Lease
	roller *roll.Roller
	table  Table

	mu sync.Mutex
	// loadingUntil holds the engines that the holder is about to order to load
	// weights, with the boot time at which this information expires.
	loadingUntil map[string]time.Duration
	// lastProgress is the newest progress that was applied.
	lastProgress appliedProgress
	// settledSince is the boot time since which all engines hold the newest weights;
	// zero if some do not.
	settledSince time.Duration
	// acks holds the newest weight version that each host has acknowledged, by host
	// and model.
	acks map[string]map[string]ack
	// nextAcked is the first host whose acknowledgements the next message reports.
	nextAcked string
}

// appliedProgress is a progress with the boot time at which it was applied.
type appliedProgress struct {
	roll.Progress
	at time.Duration
}

// ack is the acknowledgement of a weight version by a host.
type ack struct {
	version int
	// since is the boot time at which the host had recorded the version, or later.
	since time.Duration
}

func newLeasedTask(h *Host) *leasedTask {
	l := &leasedTask{host: h, table: h.platform.Table(taskTable), loadingUntil: map[string]time.Duration{}, acks: map[string]map[string]ack{}}
	l.lease = lease.New(
		h.platform.Table(leaseTable), leaseName, h.settings.Name, lease.WithReadBack(), lease.WithSingleProcess(), lease.WithResume(),
		lease.WithTiming(leaseTTL, leaseMargin, h.settings.takeoverDelay()), lease.WithInterval(leaseRenewInterval), lease.WithWatchInterval(leaseWatchInterval),
		lease.WithTimeout(leaseTimeout),
	)
	source := roll.Source{DesiredVersions: h.config.latestVersions, Engines: l.engines, RecordVersion: h.fleet.RecordVersion, ReportFailed: h.fleet.ProbeSoon}
	l.roller = roll.New(h.settings.Name, l.lease, h.platform.TargetClient(), l, source, roll.WithLog(h.log))
	return l
}

// addComponents adds the components of the task to the supervisor.
func (l *leasedTask) addComponents(t *tree.Tree) {
	t.Add("lease", l.contendForLease)
	t.Add("orders", l.roller.Run)
	t.Add("progress", feed.NewWatch(l.host.tables, taskTable, l, feed.WithInterval(l.progressInterval)).Run)
	t.Add("free", l.freeReplaced)
	t.Add("versions", l.host.versionRow.Run)
	l.host.origins.addComponents(t)
}

// progressInterval returns the time between two reads of the progress. Among many
// hosts the holder's messages carry the progress sooner than the table.
func (l *leasedTask) progressInterval() time.Duration {
	if l.host.members.hostCount() > fewHosts {
		return slowProgressInterval
	}
	return 0
}

// mayHoldLease reports whether this host should hold the lease: it is one of the
// contenders, and is not cut off from engines that other hosts reach. Orders never go
// through another host, as targets take them for those of a second holder.
func (l *leasedTask) mayHoldLease(ctx context.Context) bool {
	if !l.host.members.isContender() {
		return false
	}
	config := l.host.proxy.Config()
	if config == nil {
		return true
	}
	for _, s := range config.Services {
		if s.Engine != nil && l.host.paths.cutOff(ctx, s.Name) {
			return false
		}
	}
	return true
}

// contendForLease acquires and renews the lease while this host should hold it.
// Otherwise it releases the lease.
func (l *leasedTask) contendForLease(ctx context.Context) error {
	for ctx.Err() == nil {
		if !l.mayHoldLease(ctx) {
			if pause.For(ctx, contendCheckInterval) != nil {
				break
			}
			continue
		}
		contendCtx, stop := context.WithCancel(ctx)
		go func() {
			for pause.For(contendCtx, contendCheckInterval) == nil {
				if !l.mayHoldLease(contendCtx) {
					stop()
				}
			}
		}()
		l.lease.Run(contendCtx)
		stop()
	}
	return nil //nolint:nilerr // cancellation is the normal way to stop
}

// engines returns all engines that the operator configuration describes.
func (l *leasedTask) engines() []roll.Engine {
	config := l.host.proxy.Config()
	if config == nil {
		return nil
	}
	var out []roll.Engine
	for _, v := range config.Services {
		if v.Engine == nil {
			continue
		}
		for _, t := range l.host.fleet.Serving(v.Name) {
			for _, model := range v.Engine.Models {
				out = append(out, roll.Engine{
					ID: t.ID, Address: t.Address, Service: v.Name, Model: model,
					Version: t.Versions[model], Calls: t.InFlight.Calls + t.OthersInFlight.Calls, Down: t.Down || t.Tunneled,
				})
			}
		}
	}
	return out
}

// loading reports whether a target is about to load other weights, so that no requests
// should be sent to it.
func (l *leasedTask) loading(target string) bool {
	if l.roller.Loading(target) {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	until, ok := l.loadingUntil[target]
	return ok && wire.BootTime() < until
}

// Publish writes the progress of this host's orders to the table.
func (l *leasedTask) Publish(ctx context.Context, p roll.Progress) error {
	b, err := json.Marshal(p)
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(l.table.Put(ctx, progressKey, b))
}

// Listed reads the progress of the lease holder, the dates of weight versions and the
// software versions of services.
func (l *leasedTask) Listed(rows []feed.Row) {
	l.host.versionRow.listed(rows)
	l.host.origins.versions.listed(rows)
	l.Changed(rows)
}

// Changed reads the progress of the lease holder, the dates of weight versions and the
// software versions of services.
func (l *leasedTask) Changed(rows []feed.Row) {
	applyEach(l.host.log, "progress", rows, l.applyRow)
}

// applyRow applies a row of the table.
func (l *leasedTask) applyRow(r feed.Row) {
	switch {
	case r.Key == versionsKey:
		l.host.versionRow.apply(r)
		return
	case r.Key == softwareKey:
		l.host.origins.versions.apply(r)
		return
	case r.Key != progressKey || r.Removed:
		return
	}
	var p roll.Progress
	err := json.Unmarshal(r.Value, &p)
	if err == nil {
		err = p.Check()
	}
	if err != nil {
		l.host.log.Warn("progress of the lease holder is invalid; ignoring it", zap.Uint64("row", r.Version), zap.String("error", shorten(err.Error())))
		return
	}
	l.applyProgress(p)
}

// applyProgress records which engines the lease holder has ordered and which have
// loaded weights, unless newer progress is known: messages overtake each other, and the
// platform may be restored from an earlier copy.
func (l *leasedTask) applyProgress(p roll.Progress) {
	if !l.advance(p) {
		return
	}
	for id, versions := range p.Loaded {
		for model, version := range versions {
			l.host.fleet.RecordVersion(id, model, version)
		}
	}
	until := wire.BootTime() + roll.LoadingTTL
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loadingUntil = make(map[string]time.Duration, len(p.Loading))
	for _, id := range p.Loading {
		l.loadingUntil[id] = until
	}
}

// advance reports whether progress is not older than the last one, and records it.
func (l *leasedTask) advance(p roll.Progress) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := wire.BootTime()
	if p.Before(l.lastProgress.Progress) && now-l.lastProgress.at < progressMemory {
		return false
	}
	l.lastProgress = appliedProgress{Progress: p, at: now}
	return true
}

// Unavailable logs that the progress cannot be read. The recorded progress expires.
func (l *leasedTask) Unavailable(err error) {
	l.host.log.Warn("platform table cannot be read", zap.String("table", taskTable), zap.Error(err))
}

// Recovered logs that the progress can be read again.
func (l *leasedTask) Recovered(after time.Duration) {
	l.host.log.Info("platform table can be read again", zap.String("table", taskTable), zap.Duration("after", after))
}

// recordAck records that another host knows a weight version.
func (l *leasedTask) recordAck(host, model string, n gossip.DesiredVersion) {
	since := wire.BootTime() - time.Duration(n.KnownMs)*time.Millisecond
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.acks[host] == nil {
		l.acks[host] = map[string]ack{}
	}
	if old := l.acks[host][model]; old.version != n.Version || since > old.since {
		l.acks[host][model] = ack{version: n.Version, since: since}
	}
}

// holdsLease reports whether this host holds the lease.
func (l *leasedTask) holdsLease() bool {
	_, err := l.lease.FencingToken()
	return err == nil
}

// recentVersions returns the weight versions whose acknowledgements are reported.
func (l *leasedTask) recentVersions() map[string]int {
	recent := map[string]int{}
	for model, v := range l.host.versions.Newest() {
		if v.AtMs > 0 && l.host.clock.Since(v.AtMs) < ackReportWindow {
			recent[model] = v.Number
		}
	}
	return recent
}

// recentAcks returns the recently announced weight versions that the given hosts have
// acknowledged; nil stands for all hosts. Where they are too many for a message, each call
// goes on after the hosts of the last one.
func (l *leasedTask) recentAcks(hosts []string) map[string]map[string]gossip.DesiredVersion {
	recent := l.recentVersions()
	if len(recent) == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if hosts == nil {
		hosts = slices.Collect(maps.Keys(l.acks))
	}
	hosts = slices.Sorted(slices.Values(hosts))
	next, _ := slices.BinarySearch(hosts, l.nextAcked)
	out, count := map[string]map[string]gossip.DesiredVersion{}, 0
	for i := range hosts {
		h := hosts[(next+i)%len(hosts)]
		if count >= maxReportedAcks {
			l.nextAcked = h
			break
		}
		if acks := l.acksOf(h, recent); len(acks) > 0 {
			out[h] = acks
			count += len(acks)
		}
	}
	return out
}

// acksOf returns the given versions that a host has acknowledged. The caller holds mu.
func (l *leasedTask) acksOf(host string, versions map[string]int) map[string]gossip.DesiredVersion {
	var out map[string]gossip.DesiredVersion
	now := wire.BootTime()
	for model, a := range l.acks[host] {
		if a.version < versions[model] || versions[model] == 0 {
			continue
		}
		if out == nil {
			out = map[string]gossip.DesiredVersion{}
		}
		out[model] = gossip.DesiredVersion{Version: a.version, KnownMs: (now - a.since).Milliseconds()}
	}
	return out
}

// freeableModels returns the models, with their newest versions, of which no host
// fetches entries of older versions any more. Either all engines have loaded the
// newest version, or every host has known of it for long enough.
func (l *leasedTask) freeableModels() map[string]int {
	if l.enginesUpdated() {
		return l.host.config.latestVersions()
	}
	out := map[string]int{}
	for model, v := range l.host.versions.Newest() {
		known := wire.BootTime() - v.KnownAt
		// A host that started before this one learned of the version may be missing in rows
		// that were read before.
		others, ok := l.host.members.otherHosts(v.KnownAt)
		if ok && v.AtMs > 0 && known > fetchStopDelay && l.allAcknowledged(others, model, v.Number) {
			out[model] = v.Number
		}
	}
	return out
}

// allAcknowledged reports whether all hosts acknowledged a version at least
// fetchStopDelay ago.
func (l *leasedTask) allAcknowledged(hosts []string, model string, version int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := wire.BootTime()
	for _, h := range hosts {
		a, ok := l.acks[h][model]
		if !ok || a.version < version || now-a.since < fetchStopDelay {
			return false
		}
	}
	return true
}

// freeReplaced frees the entries of replaced weights while this host holds the lease.
func (l *leasedTask) freeReplaced(ctx context.Context) error {
	for pause.For(ctx, freeInterval) == nil {
		models := l.freeableModels()
		if len(models) == 0 {
			continue
		}
		if _, err := l.lease.FencingToken(); err != nil || !l.lease.AllowsUnfenced() {
			continue
		}
		l.freeEntries(ctx, models)
	}
	return nil
}

// enginesUpdated reports whether all engines have held the newest weights for
// freeDelay, so that no engine can use entries of older ones.
func (l *leasedTask) enginesUpdated() bool {
	newest := l.host.config.latestVersions()
	now := wire.BootTime()
	for _, e := range l.engines() {
		if e.Version < newest[e.Model] {
			l.settledSince = 0
			return false
		}
	}
	if l.settledSince == 0 {
		l.settledSince = now
	}
	return now-l.settledSince > freeDelay
}

// freeEntries frees the entries of older weights of the given models, store by store.
func (l *leasedTask) freeEntries(ctx context.Context, models map[string]int) {
	for _, g := range l.host.catalog.Garbage(models) {
		for len(g.Keys) > 0 {
			n := min(len(g.Keys), freeBatchSize)
			freeCtx, cancel := context.WithTimeout(ctx, freeTimeout)
			err := l.host.platform.TargetClient().Free(freeCtx, g.Address, g.Epoch, g.DeadlineMs, g.Keys[:n])
			cancel()
			l.host.log.Info("called a store to free entries of replaced weights", zap.String("store", g.Address), zap.Int("parts", n), zap.Error(err))
			if err != nil {
				break
			}
			g.Keys = g.Keys[n:]
		}
	}
}
