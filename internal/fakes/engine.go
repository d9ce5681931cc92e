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
// its batch at the same time, each at the decode rate.
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
	counts           EngineCounts
	violations       []string
}

// EngineCounts counts what an engine did since it was made.
type EngineCounts struct {
	// Runs counts accepted runs, Finished those that ended with a whole answer.
	Runs     int
	Finished int
	Canceled int
	// Prompt counts prompt tokens, Prefilled those that were computed.
	Prompt    int
	Prefilled int
	Imports   int
	Exports   int
	Crashes   int
	// Attempts holds the last attempts that were started, in order, 10,000 at
	// most.
	Attempts []string
}

// NewEngine returns an engine that holds version 1 of the model advisor, unless
// options say otherwise.
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

// Close stops the server and ends all runs.
func (e *Engine) Close() {
	e.mu.Lock()
	e.failRuns("the engine was closed")
	e.mu.Unlock()
	e.node.Close()
}

// Counts returns what the engine did.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.counts
	c.Attempts = append([]string(nil), c.Attempts...)
	return c
}

// Cross makes streams repeat each token later and add a chunk of another run.
func (e *Engine) Cross(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mixStreams = on
}

// CutAfter breaks each stream after n chunks, as a lost connection does; the
// runs go on. 0 ends the fault.
func (e *Engine) CutAfter(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.breakAfterChunks = n
}

// EndAfter ends each stream after n chunks in an orderly way, without a chunk
// with Done set. 0 ends the fault.
func (e *Engine) EndAfter(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endAfterChunks = n
}

// Kill ends the engine: runs, cache and loaded weights are lost, and its
// connections break.
func (e *Engine) Kill() {
	e.setDown(true)
	e.mu.Lock()
	e.failRuns("the engine died")
	e.loaded, e.desired, e.fencingToken = nil, nil, 0
	e.mu.Unlock()
	e.stop()
}

// Restart brings a killed engine back with its first models and an empty cache.
func (e *Engine) Restart() error {
	e.mu.Lock()
	e.loaded, e.desired = e.options.models, e.options.models
	e.logEvent(target.AllBlocksCleared, chain.Key{}, chain.Key{})
	e.mu.Unlock()
	return e.Up()
}

// SetRates changes the prefill and decode rates in tokens a second.
func (e *Engine) SetRates(prefill, decode float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.options.prefillRate, e.options.decodeRate = prefill, decode
}

// Violations describes each use of a block that belongs to another client
// account, another weight version or another prompt.
func (e *Engine) Violations() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.violations...)
}

// Load returns the latest load report, which lags if an option says so.
func (e *Engine) Load(ctx context.Context) (target.LoadReport, error) {
	if err := e.admit(ctx); err != nil {
		return target.LoadReport{}, err
	}
	e.mu.Lock()
	r := e.delayedReport()
	e.mu.Unlock()
	return r, e.reply("load")
}

// failRuns ends all runs and clears the state; the caller holds the lock.
func (e *Engine) failRuns(reason string) {
	e.endLifetime()
	for _, r := range e.runs {
		r.fail(reason)
	}
	e.reset()
}

// admit applies the faults before an operation.
func (e *Engine) admit(ctx context.Context) error {
	if err := e.beforeRequest(ctx); err != nil {
		return &target.NotRunError{Target: e.name, Reason: err.Error()}
	}
	return nil
}

// reply applies the faults after an operation.
func (e *Engine) reply(operation string) error {
	if e.loseReply(operation) {
		return newLostReplyError(e.name)
	}
	return nil
}

// reset clears what a process loses when it dies.
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
		panic(fmt.Sprintf("cache of %d pieces: %v", e.options.cacheBlocks, err))
	}
	e.cache = cache
}

func (e *Engine) currentReport() target.LoadReport {
	tokens := 0
	for _, r := range e.waiting {
		tokens += len(r.request.Tokens)
	}
	return target.LoadReport{
		Target: e.name, At: time.Now(), Models: e.loaded, Role: e.role,
		Running: e.running, Waiting: len(e.waiting), Tokens: tokens,
		Prefill: e.options.prefillRate, Decode: e.options.decodeRate,
		Free: e.options.cacheBlocks - e.cache.Len(), Loading: e.loading > 0, Fence: e.fencingToken,
	}
}

// delayedReport returns the newest report that is at least as old as the lag.
func (e *Engine) delayedReport() target.LoadReport {
	if e.options.reportLag <= 0 {
		return e.currentReport()
	}
	e.recordLoad()
	visible := e.reports[0]
	for _, r := range e.reports {
		if time.Since(r.At) >= e.options.reportLag {
			visible = r
		}
	}
	return visible
}

// recordLoad records the load for reports that lag.
func (e *Engine) recordLoad() {
	if e.options.reportLag <= 0 {
		return
	}
	e.reports = append(e.reports, e.currentReport())
	for len(e.reports) > 1 && time.Since(e.reports[1].At) >= e.options.reportLag {
		e.reports = e.reports[1:]
	}
}

func newLostReplyError(name string) error {
	return &target.BrokenError{Target: name, Reason: "the connection broke before the reply"}
}
