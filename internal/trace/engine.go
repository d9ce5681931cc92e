package trace

import (
	"container/heap"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"sesamehill.example/sesamehill/internal/target"
	"sesamehill.example/sesamehill/pkg/chain"
)

// engine is a model of continuous batching with one prefill at a time.
type engine struct {
	name   string
	zone   int
	region int
	clock  *clock
	cache  *simplelru.LRU[chain.Key, chain.Key]
	// waiting holds the queued jobs in order of priority and arrival, and
	// waitingTokens is the sum of their unmatchedTokens.
	waiting       jobs
	waitingTokens int
	prefilling    *job
	prefillEnd    time.Duration
	decoding      int
	order         int
	// busy is the time spent on prefill in the measured part of the trace, which
	// begins at measuredFrom.
	busy         time.Duration
	measuredFrom time.Duration
	// onEvent receives cache events.
	onEvent  func(target.Event)
	sequence uint64
}

// job is a request that was submitted to an engine.
type job struct {
	keys            []chain.Key
	prompt          int
	output          int
	priority        int
	order           int
	unmatchedTokens int
	// matched is the number of tokens whose blocks were resident at the start of the
	// prefill.
	matched int
	// onFirstToken is called at the first token and onDone at the last one.
	onFirstToken func(j *job)
	onDone       func()
}

type jobs []*job

func newEngine(c *clock, name string, zone, region int, since time.Duration) *engine {
	e := &engine{name: name, zone: zone, region: region, clock: c, measuredFrom: since}
	// NewLRU fails only if the size is not positive.
	e.cache, _ = simplelru.NewLRU(cacheBlocks, func(k, first chain.Key) {
		e.emit(target.BlockRemoved, k, first)
	})
	return e
}

func (e *engine) emit(kind target.EventKind, k, first chain.Key) {
	e.sequence++
	if e.onEvent != nil {
		e.onEvent(target.Event{Sequence: e.sequence, Kind: kind, Key: k, ShardKey: first})
	}
}

// resident returns the number of leading blocks that are in the cache.
func (e *engine) resident(keys []chain.Key) int {
	for i, k := range keys {
		if !e.cache.Contains(k) {
			return i
		}
	}
	return len(keys)
}

// insert adds blocks to the cache. It touches the leading ones last, so that LRU
// eviction removes a prompt from its end.
func (e *engine) insert(keys []chain.Key) {
	for i := len(keys) - 1; i >= 0; i-- {
		if _, ok := e.cache.Get(keys[i]); !ok {
			e.cache.Add(keys[i], keys[0])
			e.emit(target.BlockStored, keys[i], keys[0])
		}
	}
}

func (e *engine) submit(j *job, blockTokens int) {
	e.order++
	j.order = e.order
	j.unmatchedTokens = j.prompt - e.resident(j.keys)*blockTokens
	e.waitingTokens += j.unmatchedTokens
	heap.Push(&e.waiting, j)
	e.startPrefill(blockTokens)
}

// startPrefill starts the next prefill if none is in progress and the batch has room.
func (e *engine) startPrefill(blockTokens int) {
	if e.prefilling != nil || len(e.waiting) == 0 || e.decoding >= batchSize {
		return
	}
	j := heap.Pop(&e.waiting).(*job)
	e.waitingTokens -= j.unmatchedTokens
	j.matched = e.resident(j.keys) * blockTokens
	duration := seconds(float64(j.prompt-j.matched) / prefillTokensPerSecond)
	e.prefilling, e.prefillEnd = j, e.clock.now+duration
	if e.prefillEnd > e.measuredFrom {
		e.busy += e.prefillEnd - max(e.measuredFrom, e.clock.now)
	}
	e.clock.at(e.prefillEnd, func() {
		e.prefilling = nil
		e.decoding++
		e.insert(j.keys)
		j.onFirstToken(j)
		e.clock.after(seconds(float64(j.output)/decodeTokensPerSecond), func() {
			e.decoding--
			j.onDone()
			e.startPrefill(blockTokens)
		})
		e.startPrefill(blockTokens)
	})
}

// queuedTokens returns the number of prompt tokens to prefill before a new job.
func (e *engine) queuedTokens() int {
	n := e.waitingTokens
	if e.prefilling != nil {
		n += int((e.prefillEnd - e.clock.now).Seconds() * prefillTokensPerSecond)
	}
	return n
}

// running returns the number of jobs in prefill or decode.
func (e *engine) running() int {
	if e.prefilling != nil {
		return e.decoding + 1
	}
	return e.decoding
}

func (e *engine) report(loaded []target.Loaded) target.LoadReport {
	return target.LoadReport{
		Target: e.name, ReportedAt: e.clock.time(), Models: loaded, Running: e.running(), Waiting: len(e.waiting),
		Tokens: e.queuedTokens(), PrefillRate: prefillTokensPerSecond, DecodeRate: decodeTokensPerSecond,
	}
}

func (q jobs) Len() int { return len(q) }

func (q jobs) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority > q[j].priority
	}
	return q[i].order < q[j].order
}

func (q jobs) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *jobs) Pop() any {
	n := len(*q) - 1
	x := (*q)[n]
	(*q)[n], *q = nil, (*q)[:n]
	return x
}

func (q *jobs) Push(x any) { *q = append(*q, x.(*job)) }
