package fakes

import (
	"time"

	"sesamehill.example/sesamehill/internal/target"
)

// EngineOption configures a fake engine.
type EngineOption func(*engineOptions)

type engineOptions struct {
	models              []target.Loaded
	cacheBlocks         int
	blockTokens         int
	blockBytes          int
	prefillRate         float64
	decodeRate          float64
	maxRunning          int
	maxWaiting          int
	runRetention        time.Duration
	reportLag           time.Duration
	eventDelay          time.Duration
	dropEvent           func(target.Event) bool
	ignoreFencingTokens bool
	weights             *Weights
	crashOn             func(target.GenerateRequest) bool
	stores              []*Store
	linkTo              func(store string) *Link
	software            string
	ignoreSoftware      bool
}

func defaultEngineOptions() engineOptions {
	return engineOptions{
		models:       []target.Loaded{{Model: "advisor", Version: "1"}},
		cacheBlocks:  64,
		blockTokens:  4096,
		blockBytes:   4096,
		prefillRate:  20000,
		decodeRate:   100,
		maxRunning:   32,
		maxWaiting:   1000,
		runRetention: 5 * time.Minute,
	}
}

// WithBatch limits the number of runs that are prefilled or decoded at once.
func WithBatch(runs int) EngineOption {
	return func(o *engineOptions) { o.maxRunning = runs }
}

// WithCache sets the number of blocks that fit in the cache, the tokens of a block
// and the simulated bytes of an exported block.
func WithCache(blocks, tokens, bytes int) EngineOption {
	return func(o *engineOptions) { o.cacheBlocks, o.blockTokens, o.blockBytes = blocks, tokens, bytes }
}

// WithSoftware sets the version of the engine's software.
func WithSoftware(version string) EngineOption {
	return func(o *engineOptions) { o.software = version }
}

// WithIgnoredSoftware makes the engine go on after tokens of any software version.
func WithIgnoredSoftware() EngineOption {
	return func(o *engineOptions) { o.ignoreSoftware = true }
}

// WithDecode sets the decode rate of each run in tokens per second.
func WithDecode(rate float64) EngineOption {
	return func(o *engineOptions) { o.decodeRate = rate }
}

// WithEventDelay delays the publication of cache events by d.
func WithEventDelay(d time.Duration) EngineOption {
	return func(o *engineOptions) { o.eventDelay = d }
}

// WithEventLoss drops the cache events for which drop returns true; their
// sequence numbers are not reused.
func WithEventLoss(drop func(target.Event) bool) EngineOption {
	return func(o *engineOptions) { o.dropEvent = drop }
}

// WithIgnoredFencingTokens makes the engine accept orders with any fencing token.
func WithIgnoredFencingTokens() EngineOption {
	return func(o *engineOptions) { o.ignoreFencingTokens = true }
}

// WithRunRetention sets how long a finished run can be resumed.
func WithRunRetention(d time.Duration) EngineOption {
	return func(o *engineOptions) { o.runRetention = d }
}

// WithLinks sends the bytes to and from a store over the link that linkTo returns
// for the store's address; a nil link has no limit.
func WithLinks(linkTo func(store string) *Link) EngineOption {
	return func(o *engineOptions) { o.linkTo = linkTo }
}

// WithModels sets the model versions that the engine starts with.
func WithModels(models ...target.Loaded) EngineOption {
	return func(o *engineOptions) { o.models = models }
}

// WithCrash kills the engine when it starts the prefill of a request for which
// crash returns true.
func WithCrash(crash func(target.GenerateRequest) bool) EngineOption {
	return func(o *engineOptions) { o.crashOn = crash }
}

// WithPrefill sets the prefill rate in tokens per second.
func WithPrefill(rate float64) EngineOption {
	return func(o *engineOptions) { o.prefillRate = rate }
}

// WithQueue limits the number of waiting runs; further ones are refused.
func WithQueue(runs int) EngineOption {
	return func(o *engineOptions) { o.maxWaiting = runs }
}

// WithReportLag makes load reports show the load as of d ago.
func WithReportLag(d time.Duration) EngineOption {
	return func(o *engineOptions) { o.reportLag = d }
}

// WithStores lets the engine call stores by name, in memory.
func WithStores(stores ...*Store) EngineOption {
	return func(o *engineOptions) { o.stores = append(o.stores, stores...) }
}

// WithWeights sets the weight store that the engine loads from.
func WithWeights(w *Weights) EngineOption {
	return func(o *engineOptions) { o.weights = w }
}
