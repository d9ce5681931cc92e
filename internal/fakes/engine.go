package fakes

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"sesamehill.example/sesamehill/internal/target"
	"sesamehill.example/sesamehill/pkg/chain"
)

var _ target.Engine = (*Engine)(nil)

// Engine is a fake engine. It prefills one run at a time and decodes the runs of
// its batch concurrently, each at the decode rate.
type Engine struct {
	node
	options engineOptions
	stores  map[string]blockStore

	mu               sync.Mutex
	lifetime         context.Context
	endLifetime      context.CancelFunc
	runs             map[string]*run
	waiting          runQueue
	arrivals         uint64
	running          int
	prefilling       bool
	cache            *simplelru.LRU[chain.Key, block]
	events           eventLog
	reports          []target.LoadReport
	loaded           []target.Loaded
	desired          []target.Loaded
	loading          int
	role             string
	fencingToken     uint64
	breakAfterChunks int
	endAfterChunks   int
	mixStreams       bool
	rawAnswers       []string
	counts           EngineCounts
	violations       []string
}

// EngineCounts holds the counters of an engine since it was created.
type EngineCounts struct {
	// Runs counts accepted runs, Finished those that generated a complete answer.
	Runs     int
	Finished int
	Canceled int
	// Prompt counts prompt tokens, Prefilled those that were not in the cache.
	Prompt    int
	Prefilled int
	Imports   int
	Exports   int
	Crashes   int
	// Attempts holds the IDs of the latest accepted attempts, in order: the
	// last 10,000 and up to as many older ones.
	Attempts []string
}

// NewEngine returns an engine that has version 1 of the model advisor loaded,
// unless options set other models.
func NewEngine(name string, opts ...EngineOption) *Engine {
	e := &Engine{options: defaultEngineOptions(), stores: make(map[string]blockStore)}
	e.node = newNode(name, e.route)
	for _, o := range opts {
		o(&e.options)
	}
	if e.options.weights == nil {
		e.options.weights = NewWeights(0, DefaultWeightLoad)
	}
	for _, s := range e.options.stores {
		e.stores[s.Name()] = s
	}
	e.reset()
	e.loaded, e.desired = e.options.models, e.options.models
	return e
}

// Close stops the server and fails all runs.
func (e *Engine) Close() {
	e.mu.Lock()
	e.failRuns("engine closed")
	e.mu.Unlock()
	e.node.Close()
}

// Counts returns a copy of the counters.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.counts
	c.Attempts = append([]string(nil), c.Attempts...)
	return c
}

// MixStreams makes streams follow each token with a chunk of another run and a
// repetition of the token, as an engine that mixes up its streams does.
func (e *Engine) MixStreams(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mixStreams = on
}

// BreakStreamsAfter breaks each new stream after n chunks, as a lost connection
// does; the runs continue. 0 ends the fault.
func (e *Engine) BreakStreamsAfter(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.breakAfterChunks = n
}

// EndStreamsAfter ends each new stream cleanly after n chunks, but without a chunk
// that has Done set. 0 ends the fault.
func (e *Engine) EndStreamsAfter(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endAfterChunks = n
}

// Kill simulates a crash of the engine: runs, cache and loaded weights are lost,
// and its connections break.
func (e *Engine) Kill() {
	e.setDown(true)
	e.mu.Lock()
	e.failRuns("the engine died")
	e.loaded, e.desired, e.fencingToken = nil, nil, 0
	e.mu.Unlock()
	e.stop()
}

// Restart starts a killed engine with its initial models and an empty cache.
func (e *Engine) Restart() error {
	e.mu.Lock()
	e.loaded, e.desired = e.options.models, e.options.models
	e.logEvent(target.AllBlocksCleared, chain.Key{}, chain.Key{})
	e.mu.Unlock()
	return e.Up()
}

// Upgrade kills the engine and starts it again with other software. Its entry does not change.
func (e *Engine) Upgrade(software string) error {
	e.Kill()
	e.mu.Lock()
	e.options.software = software
	e.mu.Unlock()
	return e.Restart()
}

// SetRates changes the prefill and decode rates in tokens per second.
func (e *Engine) SetRates(prefill, decode float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.options.prefillRate, e.options.decodeRate = prefill, decode
}

// Violations returns a description of each use of a KV block that belongs to
// another client account, weight version or prompt.
func (e *Engine) Violations() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.violations...)
}

// Load returns the latest load report, delayed by WithReportLag.
func (e *Engine) Load(ctx context.Context) (target.LoadReport, error) {
	if err := e.admit(ctx); err != nil {
		return target.LoadReport{}, err
	}
	e.mu.Lock()
	r := e.delayedReport()
	e.mu.Unlock()
	return r, e.reply("load")
}

// failRuns fails all runs and resets the engine; the caller holds the lock.
func (e *Engine) failRuns(reason string) {
	e.endLifetime()
	for _, r := range e.runs {
		r.fail(reason)
	}
	e.reset()
}

// admit applies the faults that act before an operation.
func (e *Engine) admit(ctx context.Context) error {
	if err := e.beforeRequest(ctx); err != nil {
		return &target.NotRunError{Target: e.name, Reason: err.Error()}
	}
	return nil
}

// reply applies the faults that act after an operation.
func (e *Engine) reply(operation string) error {
	if e.loseReply(operation) {
		return newLostReplyError(e.name)
	}
	return nil
}

// reset clears the state that a process loses when it exits.
func (e *Engine) reset() {
	e.lifetime, e.endLifetime = context.WithCancel(context.Background())
	e.runs = make(map[string]*run)
	e.waiting, e.running, e.prefilling, e.loading = nil, 0, false, 0
	e.events = eventLog{}
	e.reports = nil
	cache, err := simplelru.NewLRU(max(1, e.options.cacheBlocks), func(k chain.Key, b block) {
		e.logEvent(target.BlockRemoved, k, b.ShardKey)
	})
	if err != nil {
		panic(fmt.Sprintf("creating a cache of %d blocks: %v", e.options.cacheBlocks, err))
	}
	e.cache = cache
}

// currentReport returns a report of the present load; the caller holds the lock.
func (e *Engine) currentReport() target.LoadReport {
	tokens := 0
	for _, r := range e.waiting {
		tokens += len(r.request.Tokens)
	}
	return target.LoadReport{
		Target: e.name, ReportedAt: time.Now(), Models: e.loaded, Role: e.role,
		Running: e.running, Waiting: len(e.waiting), Tokens: tokens,
		PrefillRate: e.options.prefillRate, DecodeRate: e.options.decodeRate,
		FreeBlocks: e.options.cacheBlocks - e.cache.Len(), Loading: e.loading > 0, FencingToken: e.fencingToken,
	}
}

// delayedReport returns the newest report that is at least as old as the report
// lag, or the oldest recorded one; the caller holds the lock.
func (e *Engine) delayedReport() target.LoadReport {
	if e.options.reportLag <= 0 {
		return e.currentReport()
	}
	e.recordLoad()
	visible := e.reports[0]
	for _, r := range e.reports {
		if time.Since(r.ReportedAt) >= e.options.reportLag {
			visible = r
		}
	}
	return visible
}

// recordLoad records the load if reports are delayed; the caller holds the lock.
func (e *Engine) recordLoad() {
	if e.options.reportLag <= 0 {
		return
	}
	e.reports = append(e.reports, e.currentReport())
	for len(e.reports) > 1 && time.Since(e.reports[1].ReportedAt) >= e.options.reportLag {
		e.reports = e.reports[1:]
	}
}

// newLostReplyError returns the error of a request whose reply was lost.
func newLostReplyError(name string) error {
	return &target.BrokenError{Target: name, Reason: "the connection broke before the reply"}
}
