package roll

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/guard"
	"sesamehill.example/sesamehill/internal/pause"
	"sesamehill.example/sesamehill/internal/wire"
)

const (
	// period is the time between two plans, idlePeriod that between two looks at
	// whether this host gives orders. A new holder of the lease waits for much longer
	// before its first order.
	period     = 40 * time.Millisecond
	idlePeriod = 250 * time.Millisecond
	// spread is how long the other hosts take to learn that an engine is about to
	// load.
	spread      = 80 * time.Millisecond
	callTimeout = 400 * time.Millisecond
	// reportPeriod is the time between two questions to an engine that loads.
	reportPeriod = 120 * time.Millisecond
	// idleLimit bounds the wait for the runs of an engine before it is ordered.
	idleLimit = 600 * time.Millisecond
	// loadLimit bounds the wait for an engine that has accepted an order; its runs
	// end first.
	loadLimit = 10 * time.Second
	// tellPeriod is the time between two publications while engines load.
	tellPeriod = time.Second
	// loadedMemory is how long the list of targets may take to show new weights.
	loadedMemory = 8 * time.Second
	// doubtLimit is how far a report may lag behind an order.
	doubtLimit = 700 * time.Millisecond
	// againAfter is how long an engine is left alone after a failed order.
	againAfter = 400 * time.Millisecond
)

// LoadingMemory is how long a publication is believed.
const LoadingMemory = 2500 * time.Millisecond

// Fence tells whether the host may give orders right now.
type Fence interface {
	Fence() (uint64, error)
	// Unfenced reports whether no order of an earlier holder is under way.
	Unfenced() bool
}

// Board tells the other hosts which engines load and which have loaded.
type Board interface {
	Publish(ctx context.Context, p Progress) error
}

// Progress is the state of the engines that the holder orders.
type Progress struct {
	// Loading are the engines to which nothing should be sent.
	Loading []string `json:"loading" cbor:"1,keyasint,omitempty"`
	// Loaded maps engines to their weights by model.
	Loaded map[string]map[string]int `json:"loaded" cbor:"2,keyasint,omitempty"`
}

// Option changes a default of New.
type Option func(*Roller)

// WithLog sets the log of orders.
func WithLog(l *zap.Logger) Option { return func(r *Roller) { r.log = l } }

// Roller gives orders while its host holds the lease.
type Roller struct {
	host    string
	fence   Fence
	engines Engines
	board   Board
	named   func() map[string]int
	list    func() []Engine
	learn   func(target, model string, version int)
	log     *zap.Logger

	mu      sync.Mutex
	loading map[string]bool
	until   map[string]time.Duration
	loaded  map[string]loaded
	dirty   bool
	// told is when the progress was published last.
	told  time.Duration
	group sync.WaitGroup
}

// loaded is an engine that has new weights, and since when.
type loaded struct {
	versions map[string]int
	at       time.Duration
}

// Source is where a roller gets its view from and whom it tells.
type Source struct {
	// Named returns the named version of each model, Engines all engines.
	Named   func() map[string]int
	Engines func() []Engine
	// Learn is told the version that an engine has.
	Learn func(target, model string, version int)
}

// New returns a roller of a host.
func New(host string, f Fence, e Engines, b Board, s Source, opts ...Option) *Roller {
	r := &Roller{
		host: host, fence: f, engines: e, board: b, named: s.Named, list: s.Engines, learn: s.Learn,
		log: zap.NewNop(), loading: map[string]bool{}, until: map[string]time.Duration{},
		loaded: map[string]loaded{},
	}
	for _, o := range opts {
		o(r)
	}
	return r
}

// Run gives orders until ctx ends.
func (r *Roller) Run(ctx context.Context) error {
	defer r.group.Wait()
	wait := period
	for pause.For(ctx, wait) == nil {
		if !r.holds() {
			wait = idlePeriod
			continue
		}
		wait = period
		next := Plan(r.view(), r.named(), wire.Boot())
		if len(next) > 0 {
			r.begin(ctx, next)
		}
		r.publish(ctx)
	}
	return nil
}

func (r *Roller) holds() bool {
	_, err := r.fence.Fence()
	return err == nil && r.fence.Unfenced()
}

// view returns the engines with the orders of this host.
func (r *Roller) view() []Engine {
	list := r.list()
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range list {
		list[i].Loading = r.loading[list[i].ID]
		list[i].Until = r.until[list[i].ID]
	}
	return list
}

// begin tells the other hosts, then orders the engines.
func (r *Roller) begin(ctx context.Context, next []Engine) {
	r.mu.Lock()
	for _, e := range next {
		r.loading[e.ID] = true
	}
	r.dirty = true
	r.mu.Unlock()
	r.publish(ctx)
	for _, e := range next {
		r.group.Go(func() { guard.Do(r.log, "load", func() { r.load(ctx, e) }) })
	}
}

// load brings one engine to the weights that are named when it begins.
func (r *Roller) load(ctx context.Context, e Engine) {
	held := 0
	defer func() { r.loadedTo(e, held) }() // also after a panic, or the engine would stay out
	if pause.For(ctx, spread) == nil && r.idle(ctx, e) {
		held = r.order(ctx, e, r.named()[e.Model])
	}
}

// loadedTo notes the end of an order; held is zero if it has failed.
func (r *Roller) loadedTo(e Engine, held int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.loading, e.ID)
	r.dirty = true
	if held == 0 {
		r.until[e.ID] = wire.Boot() + againAfter
		return
	}
	r.loaded[e.ID] = loaded{versions: map[string]int{e.Model: held}, at: wire.Boot()}
}

// idle waits for the runs of an engine to which nothing is sent any more, but
// not for the longest of them.
func (r *Roller) idle(ctx context.Context, e Engine) bool {
	begin := wire.Boot()
	for wire.Boot()-begin < idleLimit {
		if now, err := r.report(ctx, e); err != nil || now.Running == 0 {
			return true
		}
		if pause.For(ctx, reportPeriod) != nil {
			return false
		}
	}
	return true
}

// order gives an order and waits until the engine has the weights. It returns the
// version that the engine has; zero if it has not got there. Newer ones may have
// been named meanwhile.
func (r *Roller) order(ctx context.Context, e Engine, version int) int {
	before, err := r.report(ctx, e)
	if err != nil {
		r.log.Warn("engine does not report", zap.String("target", e.ID), zap.Error(err))
		return 0
	}
	if held := r.has(e, before, version); held > 0 {
		return held
	}
	if before.Busy {
		return r.await(ctx, e, version, true, before.Sequence)
	}
	fence, err := r.fence.Fence()
	if err != nil || !r.fence.Unfenced() {
		r.log.Warn("order withheld", zap.String("target", e.ID), zap.Error(err))
		return 0
	}
	o := Order{
		Target: e.ID, Address: e.Address, Model: e.Model, Version: version,
		Holder: r.host, Fence: fence, Sequence: before.Sequence,
	}
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := r.engines.Order(limited, o)
	r.log.Info(
		"order given", zap.String("target", e.ID), zap.String("model", e.Model), zap.Int("version", version),
		zap.Uint64("fence", fence), zap.Uint64("sequence", before.Sequence), zap.Int("answer", int(answer)), zap.Error(err),
	)
	switch answer {
	case Holds, Accepted:
		return r.await(ctx, e, version, false, before.Sequence)
	case Unknown:
		return r.await(ctx, e, version, true, before.Sequence)
	}
	return 0
}

// await waits until an engine has the weights. An order that is in doubt counts
// as not accepted once the engine is idle with the sequence from before.
func (r *Roller) await(ctx context.Context, e Engine, version int, doubt bool, sequence uint64) int {
	begin := wire.Boot()
	for wire.Boot()-begin < loadLimit {
		if pause.For(ctx, reportPeriod) != nil {
			return 0
		}
		now, err := r.report(ctx, e)
		if err != nil {
			if wire.Boot()-begin > loadLimit/4 {
				return 0
			}
			continue
		}
		if held := r.has(e, now, version); held > 0 {
			return held
		}
		if doubt && !now.Busy && wire.Boot()-begin > doubtLimit && now.Sequence <= sequence {
			return 0
		}
	}
	return 0
}

// has returns the version that a report shows if it is at least the one wanted.
func (r *Roller) has(e Engine, now Report, version int) int {
	held := now.Versions[e.Model]
	if held < version {
		return 0
	}
	r.learn(e.ID, e.Model, held)
	return held
}

func (r *Roller) report(ctx context.Context, e Engine) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.engines.Report(ctx, e.Address)
}

// publish tells the other hosts what has changed. A failed call is repeated with
// the next plan.
func (r *Roller) publish(ctx context.Context) {
	p, ok := r.progress(wire.Boot())
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := r.board.Publish(ctx, p); err != nil {
		r.log.Warn("progress not published", zap.Error(err))
		r.mu.Lock()
		r.dirty = true
		r.mu.Unlock()
	}
}

// progress returns what the platform should learn; false if that is nothing.
func (r *Roller) progress(now time.Duration) (Progress, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.dirty && (len(r.loading) == 0 || now-r.told < tellPeriod) {
		return Progress{}, false
	}
	r.dirty, r.told = false, now
	return r.state(now), true
}

// Progress returns the progress of this host's orders; nil if it gives none.
func (r *Roller) Progress() *Progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.loading) == 0 && len(r.loaded) == 0 {
		return nil
	}
	p := r.state(wire.Boot())
	return &p
}

// state returns which engines load and which have loaded lately.
func (r *Roller) state(now time.Duration) Progress {
	p := Progress{Loaded: make(map[string]map[string]int, len(r.loaded))}
	for id := range r.loading {
		p.Loading = append(p.Loading, id)
	}
	for id, l := range r.loaded {
		if now-l.at > loadedMemory {
			delete(r.loaded, id)
			continue
		}
		p.Loaded[id] = l.versions
	}
	return p
}

// Loading reports whether this host is about to order an engine.
func (r *Roller) Loading(target string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loading[target]
}
