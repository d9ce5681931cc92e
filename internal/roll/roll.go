package roll

import (
	"context"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/pause"
	"sesamehill.example/sesamehill/internal/safego"
	"sesamehill.example/sesamehill/internal/verlog"
	"sesamehill.example/sesamehill/internal/wire"
)

const (
	// planInterval is the time between two plans of the lease holder, idleInterval
	// the time between two checks of the lease on other hosts. A new lease holder
	// waits for much longer before its first order.
	planInterval = 40 * time.Millisecond
	idleInterval = 250 * time.Millisecond
	// propagationDelay is how long the other hosts take to receive that an engine is
	// about to load.
	propagationDelay = 80 * time.Millisecond
	callTimeout      = 400 * time.Millisecond
	// reportInterval is the time between two polls of an engine that loads.
	reportInterval = 120 * time.Millisecond
	// idleTimeout bounds the wait for the runs of an engine before it is ordered.
	idleTimeout = 600 * time.Millisecond
	// loadTimeout bounds the wait for an engine that has accepted an order; the
	// engine finishes its runs before it loads.
	loadTimeout = 10 * time.Second
	// publishInterval is the time between two publications while engines load.
	publishInterval = time.Second
	// loadedTTL is how long a loaded engine is published as such; the platform's
	// list of targets may take that long to show the new weights.
	loadedTTL = 8 * time.Second
	// reportLag is how far an engine's report may lag behind an order.
	reportLag = 700 * time.Millisecond
	// retryDelay is the time after a failed order before the engine is ordered
	// again.
	retryDelay = 400 * time.Millisecond
)

// LoadingTTL is how long hosts act on a published Progress.
const LoadingTTL = 2500 * time.Millisecond

// Lease tells whether this host may issue orders right now.
type Lease interface {
	// FencingToken returns the fencing token of the lease, or an error if this host does not
	// hold the lease.
	FencingToken() (uint64, error)
	// AllowsUnfenced reports whether orders of an earlier holder can no longer be in
	// progress, so that engines which ignore fencing tokens may be ordered.
	AllowsUnfenced() bool
}

// Publisher sends to the other hosts which engines load and which have loaded.
type Publisher interface {
	Publish(ctx context.Context, p Progress) error
}

// Progress is the state of the engines that the lease holder orders.
type Progress struct {
	// Loading are the engines that should receive no requests.
	Loading []string `json:"loading" cbor:"1,keyasint,omitempty"`
	// Loaded maps engines to their weight versions by model.
	Loaded map[string]map[string]int `json:"loaded" cbor:"2,keyasint,omitempty"`
	// FencingToken is that of the holder's lease, and Number counts the states that the
	// holder has stated. Together they order the states of all holders.
	FencingToken uint64 `json:"fence,omitempty" cbor:"3,keyasint,omitempty"`
	Number       uint64 `json:"number,omitempty" cbor:"4,keyasint,omitempty"`
}

// Before reports whether the state is older than another one. States of holders that
// state no fencing token have no order.
func (p Progress) Before(o Progress) bool {
	switch {
	case p.FencingToken == 0 || o.FencingToken == 0:
		return false
	case p.FencingToken != o.FencingToken:
		return p.FencingToken < o.FencingToken
	}
	return p.Number < o.Number
}

// ProgressError reports progress that no lease holder writes.
type ProgressError struct {
	Engine  string
	Version int
}

// Error names the engine, the version and the remedy.
func (e *ProgressError) Error() string {
	return fmt.Sprintf("progress has weight version %d of engine %.40q; it is ignored, run the same version on all hosts", e.Version, e.Engine)
}

// Check returns a *ProgressError if a weight version is out of range.
func (p Progress) Check() error {
	for engine, versions := range p.Loaded {
		for _, v := range versions {
			if v < 0 || v > verlog.MaxNumber {
				return &ProgressError{Engine: engine, Version: v}
			}
		}
	}
	return nil
}

// Option changes a default of New.
type Option func(*Roller)

// WithLog sets the log of orders.
func WithLog(l *zap.Logger) Option { return func(r *Roller) { r.log = l } }

// Roller orders engines to load weights while its host holds the lease.
type Roller struct {
	host          string
	lease         Lease
	engines       Engines
	publisher     Publisher
	desired       func() map[string]int
	listEngines   func() []Engine
	recordVersion func(target, model string, version int)
	reportFailed  func(target string)
	log           *zap.Logger

	mu      sync.Mutex
	loading map[string]bool
	// notBefore holds the boot time from which an engine may be ordered again.
	notBefore map[string]time.Duration
	loaded    map[string]loadedEngine
	// unpublished is set while the progress has changes that are not published.
	unpublished bool
	publishedAt time.Duration
	// token is the last fencing token of this host's lease, and number that of the last
	// stated progress.
	token, number uint64
	// inProgress counts the goroutines that order engines.
	inProgress sync.WaitGroup
}

// loadedEngine holds the weight versions that an engine has loaded.
type loadedEngine struct {
	versions map[string]int
	loadedAt time.Duration
}

// Source supplies a roller with its view of models and engines.
type Source struct {
	// DesiredVersions returns the desired version of each model, Engines all
	// engines.
	DesiredVersions func() map[string]int
	Engines         func() []Engine
	// RecordVersion receives the version that an engine reports.
	RecordVersion func(target, model string, version int)
	// ReportFailed receives each engine that was to be ordered and sent no report.
	ReportFailed func(target string)
}

// New returns a roller of a host.
func New(host string, f Lease, e Engines, b Publisher, s Source, opts ...Option) *Roller {
	r := &Roller{
		host: host, lease: f, engines: e, publisher: b, desired: s.DesiredVersions, listEngines: s.Engines, recordVersion: s.RecordVersion,
		reportFailed: s.ReportFailed,
		log:          zap.NewNop(), loading: map[string]bool{}, notBefore: map[string]time.Duration{},
		loaded: map[string]loadedEngine{},
	}
	for _, o := range opts {
		o(r)
	}
	return r
}

// Run plans and issues orders until ctx ends.
func (r *Roller) Run(ctx context.Context) error {
	defer r.inProgress.Wait()
	wait := planInterval
	for pause.For(ctx, wait) == nil {
		if !r.mayOrder() {
			wait = idleInterval
			continue
		}
		wait = planInterval
		next := Plan(r.currentEngines(), r.desired(), wire.BootTime())
		if len(next) > 0 {
			r.startLoading(ctx, next)
		}
		r.publish(ctx)
	}
	return nil
}

func (r *Roller) mayOrder() bool {
	token, err := r.lease.FencingToken()
	if err != nil || !r.lease.AllowsUnfenced() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.token = token
	return true
}

// currentEngines returns all engines, with the state of this host's orders.
func (r *Roller) currentEngines() []Engine {
	engines := r.listEngines()
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range engines {
		engines[i].Loading = r.loading[engines[i].ID]
		engines[i].NotBefore = r.notBefore[engines[i].ID]
	}
	return engines
}

// startLoading publishes that the engines are about to load, then orders them in
// the background.
func (r *Roller) startLoading(ctx context.Context, next []Engine) {
	r.mu.Lock()
	for _, e := range next {
		r.loading[e.ID] = true
	}
	r.unpublished = true
	r.mu.Unlock()
	r.publish(ctx)
	for _, e := range next {
		r.inProgress.Go(func() { safego.Do(r.log, "load", func() { r.load(ctx, e) }) })
	}
}

// load brings one engine to the version that is desired when its order is sent.
func (r *Roller) load(ctx context.Context, e Engine) {
	version := 0
	defer func() { r.finishLoading(e, version) }() // also after a panic, or the engine would stay out of service
	if pause.For(ctx, propagationDelay) == nil && r.waitIdle(ctx, e) {
		version = r.order(ctx, e, r.desired()[e.Model])
	}
}

// finishLoading records the end of an order and the version that the engine has
// loaded; zero if the order has failed.
func (r *Roller) finishLoading(e Engine, version int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.loading, e.ID)
	r.unpublished = true
	if version == 0 {
		r.notBefore[e.ID] = wire.BootTime() + retryDelay
		return
	}
	r.loaded[e.ID] = loadedEngine{versions: map[string]int{e.Model: version}, loadedAt: wire.BootTime()}
}

// waitIdle waits until an engine that receives no new requests has finished its
// runs, but not longer than idleTimeout. It returns false if ctx has ended.
func (r *Roller) waitIdle(ctx context.Context, e Engine) bool {
	start := wire.BootTime()
	for wire.BootTime()-start < idleTimeout {
		if report, err := r.report(ctx, e); err != nil || report.Running == 0 {
			return true
		}
		if pause.For(ctx, reportInterval) != nil {
			return false
		}
	}
	return true
}

// order sends an order and waits until the engine has loaded the weights. It
// returns the version that the engine has, which is not always the one that is
// desired by then; zero if the order has failed.
func (r *Roller) order(ctx context.Context, e Engine, version int) int {
	before, err := r.report(ctx, e)
	if err != nil {
		r.log.Warn("engine sent no weight report; no order sent", zap.String("target", e.ID), zap.Error(err))
		r.reportFailed(e.ID)
		return 0
	}
	if loaded := r.loadedVersion(e, before, version); loaded > 0 {
		return loaded
	}
	if before.Busy {
		return r.waitLoaded(ctx, e, version, true, before.Sequence)
	}
	token, err := r.lease.FencingToken()
	if err != nil || !r.lease.AllowsUnfenced() {
		r.log.Warn(
			"weight order not sent: this host may no longer issue orders", zap.String("target", e.ID), zap.Error(err),
		)
		return 0
	}
	o := Order{
		Target: e.ID, Address: e.Address, Model: e.Model, Version: version,
		Holder: r.host, FencingToken: token, Sequence: before.Sequence,
	}
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	result, err := r.engines.Order(limited, o)
	r.log.Info(
		"weight order sent", zap.String("target", e.ID), zap.String("model", e.Model), zap.Int("version", version),
		zap.Uint64("fence", token), zap.Uint64("sequence", before.Sequence), zap.Int("answer", int(result)), zap.Error(err),
	)
	switch result {
	case AlreadyLoaded, Accepted:
		return r.waitLoaded(ctx, e, version, false, before.Sequence)
	case Unknown:
		return r.waitLoaded(ctx, e, version, true, before.Sequence)
	}
	return 0
}

// waitLoaded polls an engine until it has loaded a version. If it is uncertain
// whether the engine accepted the order, the order counts as rejected once the
// engine is idle and has accepted no order after sequence.
func (r *Roller) waitLoaded(ctx context.Context, e Engine, version int, uncertain bool, sequence uint64) int {
	start := wire.BootTime()
	for wire.BootTime()-start < loadTimeout {
		if pause.For(ctx, reportInterval) != nil {
			return 0
		}
		report, err := r.report(ctx, e)
		if err != nil {
			if wire.BootTime()-start > loadTimeout/4 {
				return 0
			}
			continue
		}
		if loaded := r.loadedVersion(e, report, version); loaded > 0 {
			return loaded
		}
		if uncertain && !report.Busy && wire.BootTime()-start > reportLag && report.Sequence <= sequence {
			return 0
		}
	}
	return 0
}

// loadedVersion returns the version in an engine's report, and records it, if it
// is at least minVersion; otherwise zero.
func (r *Roller) loadedVersion(e Engine, report Report, minVersion int) int {
	loaded := report.Versions[e.Model]
	if loaded < minVersion {
		return 0
	}
	r.recordVersion(e.ID, e.Model, loaded)
	return loaded
}

func (r *Roller) report(ctx context.Context, e Engine) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.engines.Report(ctx, e.Address)
}

// publish sends the progress to the other hosts if it is due. A failed call is
// retried after the next plan.
func (r *Roller) publish(ctx context.Context) {
	p, ok := r.dueProgress(wire.BootTime())
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := r.publisher.Publish(ctx, p); err != nil {
		r.log.Warn("rollout progress not published; retrying after the next plan", zap.Error(err))
		r.mu.Lock()
		r.unpublished = true
		r.mu.Unlock()
	}
}

// dueProgress returns the progress to publish now; false if none is due.
func (r *Roller) dueProgress(now time.Duration) (Progress, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.unpublished && (len(r.loading) == 0 || now-r.publishedAt < publishInterval) {
		return Progress{}, false
	}
	r.unpublished, r.publishedAt = false, now
	return r.currentProgress(now), true
}

// Progress returns the progress of this host's orders; nil if there are none.
func (r *Roller) Progress() *Progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.loading) == 0 && len(r.loaded) == 0 {
		return nil
	}
	p := r.currentProgress(wire.BootTime())
	return &p
}

// currentProgress returns which engines are loading and which have loaded within
// loadedTTL. The caller holds mu.
func (r *Roller) currentProgress(now time.Duration) Progress {
	r.number++
	p := Progress{Loaded: make(map[string]map[string]int, len(r.loaded)), FencingToken: r.token, Number: r.number}
	for id := range r.loading {
		p.Loading = append(p.Loading, id)
	}
	for id, l := range r.loaded {
		if now-l.loadedAt > loadedTTL {
			delete(r.loaded, id)
			continue
		}
		p.Loaded[id] = l.versions
	}
	return p
}

// Loading reports whether an order of this host to an engine is in progress.
func (r *Roller) Loading(target string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loading[target]
}
