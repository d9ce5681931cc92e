package front

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
	"sesamehill.example/sesamehill/internal/hail"
	"sesamehill.example/sesamehill/internal/lease"
	"sesamehill.example/sesamehill/internal/pause"
	"sesamehill.example/sesamehill/internal/roll"
	"sesamehill.example/sesamehill/internal/stash"
	"sesamehill.example/sesamehill/internal/tree"
	"sesamehill.example/sesamehill/internal/wire"
)

const (
	// dutyTable holds the progress of the host that gives orders, leaseTable its
	// lease, which changes too often for every host to follow it.
	dutyTable   = "sesame_duty"
	leaseTable  = "sesame_lease"
	leaseName   = "orders"
	progressKey = "progress"
	// leaseTTL and leasePace decide how soon another host takes over.
	leaseTTL    = 1600 * time.Millisecond
	leaseMargin = 400 * time.Millisecond
	leasePace   = 400 * time.Millisecond
	// leaseWatch is the time between two looks at a lease that another host holds.
	leaseWatch   = 700 * time.Millisecond
	leaseTimeout = 500 * time.Millisecond
	// contendPeriod is the time between two looks at who takes part in the lease.
	contendPeriod = time.Second
	// slowProgressPace is the time between two looks at the progress where many
	// hosts look.
	slowProgressPace = 5 * time.Second
	freePeriod       = 300 * time.Millisecond
	// freeAfter is how long all engines have held the named weights before state
	// of older ones is freed; it exceeds the longest fetch.
	freeAfter = 4 * time.Second
	// releaseAfter is how long a host must have known of new weights until it
	// certainly fetches no state of older ones: it stops after fetchReplaced, and a
	// fetch ends within stash.FetchLimit.
	releaseAfter = fetchReplaced + stash.FetchLimit + 500*time.Millisecond
	// tellKnown is for how long after a naming hosts tell on who knows of it.
	tellKnown = 30 * time.Second
	// freeBatch bounds the parts of one call.
	freeBatch   = 200
	freeTimeout = time.Second
)

// duty is a host's part in what one host at a time does.
type duty struct {
	host   *Host
	lease  *lease.Lease
	roller *roll.Roller
	table  Table

	mu sync.Mutex
	// busy holds the engines that the holder is about to order, until when that
	// is believed.
	busy map[string]time.Duration
	// current is since when all engines hold the named weights.
	current time.Duration
	// acks holds since when each host knows the named weights, by host and model.
	acks map[string]map[string]ack
}

// ack is a host's word that it knows a weight version.
type ack struct {
	version int
	// since is the boot time at which the host had learned of the version.
	since time.Duration
}

func newDuty(h *Host) *duty {
	d := &duty{host: h, table: h.platform.Table(dutyTable), busy: map[string]time.Duration{}, acks: map[string]map[string]ack{}}
	d.lease = lease.New(
		h.platform.Table(leaseTable), leaseName, h.settings.Name, lease.WithClock(wire.Now), lease.WithReadBack(), lease.WithSole(),
		lease.WithTerms(leaseTTL, leaseMargin, h.settings.flight()), lease.WithPace(leasePace), lease.WithWatchPace(leaseWatch),
		lease.WithTimeout(leaseTimeout),
	)
	source := roll.Source{Named: h.operator.Models, Engines: d.engines, Learn: h.fleet.Learn}
	d.roller = roll.New(h.settings.Name, d.lease, h.platform.Targets(), d, source, roll.WithLog(h.log))
	return d
}

func (d *duty) add(t *tree.Tree) {
	t.Add("lease", d.contend)
	t.Add("orders", d.roller.Run)
	t.Add("progress", feed.NewWatch(d.host.tables, dutyTable, d, feed.WithPace(d.progressPace)).Run)
	t.Add("free", d.free)
}

// progressPace is the time between two looks at the progress. Where many hosts
// follow it, they learn of it from the holder's messages first.
func (d *duty) progressPace() time.Duration {
	if d.host.members.count() > fewHosts {
		return slowProgressPace
	}
	return 0
}

// contend takes part in the lease while this host is one of the contenders. A
// host that is none any more gives the lease up.
func (d *duty) contend(ctx context.Context) error {
	for ctx.Err() == nil {
		if !d.host.members.contends() {
			if pause.For(ctx, contendPeriod) != nil {
				break
			}
			continue
		}
		turn, stop := context.WithCancel(ctx)
		go func() {
			for pause.For(turn, contendPeriod) == nil {
				if !d.host.members.contends() {
					stop()
				}
			}
		}()
		d.lease.Run(turn)
		stop()
	}
	return nil //nolint:nilerr // the end of ctx is the normal end
}

// engines returns all engines that the site describes.
func (d *duty) engines() []roll.Engine {
	s := d.host.gate.Site()
	if s == nil {
		return nil
	}
	var out []roll.Engine
	for _, v := range s.Services {
		if v.Engine == nil {
			continue
		}
		for _, t := range d.host.fleet.Serving(v.Name) {
			for _, model := range v.Engine.Models {
				out = append(out, roll.Engine{
					ID: t.ID, Address: t.Address, Service: v.Name, Model: model,
					Version: t.Versions[model], Calls: t.Flight.Calls + t.Others.Calls, Down: t.Down,
				})
			}
		}
	}
	return out
}

// loading reports whether nothing should be sent to a target.
func (d *duty) loading(target string) bool {
	if d.roller.Loading(target) {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	until, ok := d.busy[target]
	return ok && wire.Boot() < until
}

// Publish writes the progress of this host's orders.
func (d *duty) Publish(ctx context.Context, p roll.Progress) error {
	b, err := json.Marshal(p)
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(d.table.Put(ctx, progressKey, b))
}

// Listed reads the progress of the holder.
func (d *duty) Listed(rows []feed.Row) { d.Changed(rows) }

// Changed reads the progress of the holder.
func (d *duty) Changed(rows []feed.Row) {
	for _, r := range rows {
		if r.Key != progressKey || r.Removed {
			continue
		}
		var p roll.Progress
		if err := json.Unmarshal(r.Value, &p); err != nil {
			d.host.log.Warn("progress not usable", zap.Uint64("row", r.Version), zap.Error(err))
			continue
		}
		d.learn(p)
	}
}

func (d *duty) learn(p roll.Progress) {
	for id, versions := range p.Loaded {
		for model, version := range versions {
			d.host.fleet.Learn(id, model, version)
		}
	}
	until := wire.Boot() + roll.LoadingMemory
	d.mu.Lock()
	defer d.mu.Unlock()
	d.busy = make(map[string]time.Duration, len(p.Loading))
	for _, id := range p.Loading {
		d.busy[id] = until
	}
}

// Lost notes that the progress cannot be read; what is known expires.
func (d *duty) Lost(err error) {
	d.host.log.Warn("dependency lost", zap.String("table", dutyTable), zap.Error(err))
}

// Regained notes that the progress can be read again.
func (d *duty) Regained(after time.Duration) {
	d.host.log.Info("dependency regained", zap.String("table", dutyTable), zap.Duration("after", after))
}

// acknowledged notes that another host knows a weight version.
func (d *duty) acknowledged(host, model string, n hail.Named) {
	since := wire.Boot() - time.Duration(n.Age)*time.Millisecond
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.acks[host] == nil {
		d.acks[host] = map[string]ack{}
	}
	if old := d.acks[host][model]; old.version != n.Version || since > old.since {
		d.acks[host][model] = ack{version: n.Version, since: since}
	}
}

// leads reports whether this host holds the lease.
func (d *duty) leads() bool {
	_, err := d.lease.Fence()
	return err == nil
}

// known returns what the given hosts, or all if the list is nil, know of weights
// that were named lately.
func (d *duty) known(hosts []string) map[string]map[string]hail.Named {
	recent := map[string]int{}
	for model, n := range d.host.operator.Ages() {
		if time.Duration(n.Age)*time.Millisecond < tellKnown {
			recent[model] = n.Version
		}
	}
	if len(recent) == 0 {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if hosts == nil {
		hosts = slices.Collect(maps.Keys(d.acks))
	}
	now := wire.Boot()
	out := map[string]map[string]hail.Named{}
	for _, h := range hosts {
		for model, a := range d.acks[h] {
			if a.version < recent[model] || recent[model] == 0 {
				continue
			}
			if out[h] == nil {
				out[h] = map[string]hail.Named{}
			}
			out[h][model] = hail.Named{Version: a.version, Age: (now - a.since).Milliseconds()}
		}
	}
	return out
}

// unused returns the models, with their named versions, of which no host fetches
// state of older versions any more: all engines have changed, or every host has
// known of the newest version for long enough.
func (d *duty) unused() map[string]int {
	named := d.host.operator.Models()
	if d.settled() {
		return named
	}
	out := map[string]int{}
	for model, version := range named {
		age, behind := d.host.operator.Behind(model, version-1)
		// A host that started before the naming may be missing in rows read before it.
		others, ok := d.host.members.others(wire.Boot() - age)
		if ok && behind && age != undatedAge && age > releaseAfter && d.allKnow(others, model, version) {
			out[model] = version
		}
	}
	return out
}

func (d *duty) allKnow(hosts []string, model string, version int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := wire.Boot()
	for _, h := range hosts {
		a, ok := d.acks[h][model]
		if !ok || a.version < version || now-a.since < releaseAfter {
			return false
		}
	}
	return true
}

// free frees the state of replaced weights while this host holds the lease.
func (d *duty) free(ctx context.Context) error {
	for pause.For(ctx, freePeriod) == nil {
		models := d.unused()
		if len(models) == 0 {
			continue
		}
		if _, err := d.lease.Fence(); err != nil || !d.lease.Unfenced() {
			continue
		}
		d.freeOld(ctx, models)
	}
	return nil
}

// settled reports whether no engine can use state of older weights any more.
func (d *duty) settled() bool {
	named := d.host.operator.Models()
	now := wire.Boot()
	for _, e := range d.engines() {
		if e.Version < named[e.Model] {
			d.current = 0
			return false
		}
	}
	if d.current == 0 {
		d.current = now
	}
	return now-d.current > freeAfter
}

func (d *duty) freeOld(ctx context.Context, models map[string]int) {
	for _, g := range d.host.stash.Garbage(models) {
		for len(g.Keys) > 0 {
			n := min(len(g.Keys), freeBatch)
			limited, cancel := context.WithTimeout(ctx, freeTimeout)
			err := d.host.platform.Targets().Free(limited, g.Address, g.Epoch, g.Until, g.Keys[:n])
			cancel()
			d.host.log.Info("freed", zap.String("store", g.Address), zap.Int("parts", n), zap.Error(err))
			if err != nil {
				break
			}
			g.Keys = g.Keys[n:]
		}
	}
}
