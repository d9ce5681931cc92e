package trace

import (
	"container/heap"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"sesamehill.example/sesamehill/internal/target"
	"sesamehill.example/sesamehill/pkg/chain"
)

// engine models continuous batching with one prefill at a time.
type engine struct {
	name   string
	zone   int
	region int
	clock  *clock
	cache  *simplelru.LRU[chain.Key, chain.Key]
	// waiting holds the jobs in order of priority and arrival; tokens counts
	// their unmatched prompt tokens.
	waiting  jobs
	tokens   int
	current  *job
	ends     time.Duration
	decoding int
	order    int
	// busy is the time spent on prefill in the measured part.
	busy  time.Duration
	since time.Duration
	// changed receives cache events.
	changed  func(target.Event)
	sequence uint64
}

// job is a request at an engine.
type job struct {
	keys     []chain.Key
	prompt   int
	output   int
	priority int
	order    int
	tokens   int
	// matched is the number of tokens that needed no prefill.
	matched int
	// first is called with the first token and done at the end.
	first func(j *job)
	done  func()
}

type jobs []*job

func newEngine(c *clock, name string, zone, region int, since time.Duration) *engine {
	e := &engine{name: name, zone: zone, region: region, clock: c, since: since}
	// The size is positive, so there is no error.
	e.cache, _ = simplelru.NewLRU(cachePieces, func(k, first chain.Key) {
		e.emit(target.BlockRemoved, k, first)
	})
	return e
}

func (e *engine) emit(kind target.EventKind, k, first chain.Key) {
	e.sequence++
	if e.changed != nil {
		e.changed(target.Event{Sequence: e.sequence, Kind: kind, Key: k, ShardKey: first})
	}
}

// resident returns the number of leading pieces in the cache.
func (e *engine) resident(keys []chain.Key) int {
	for i, k := range keys {
		if !e.cache.Contains(k) {
			return i
		}
	}
	return len(keys)
}

// insert makes pieces resident. The leading ones are touched last, so that LRU
// evicts a prompt from its end.
func (e *engine) insert(keys []chain.Key) {
	for i := len(keys) - 1; i >= 0; i-- {
		if _, ok := e.cache.Get(keys[i]); !ok {
			e.cache.Add(keys[i], keys[0])
			e.emit(target.BlockStored, keys[i], keys[0])
		}
	}
}

func (e *engine) submit(j *job, piece int) {
	e.order++
	j.order = e.order
	j.tokens = j.prompt - e.resident(j.keys)*piece
	e.tokens += j.tokens
	heap.Push(&e.waiting, j)
	e.next(piece)
}

// next starts the next prefill.
func (e *engine) next(piece int) {
	if e.current != nil || len(e.waiting) == 0 || e.decoding >= batchSize {
		return
	}
	j := heap.Pop(&e.waiting).(*job)
	e.tokens -= j.tokens
	j.matched = e.resident(j.keys) * piece
	took := seconds(float64(j.prompt-j.matched) / prefillRate)
	e.current, e.ends = j, e.clock.now+took
	if e.ends > e.since {
		e.busy += e.ends - max(e.since, e.clock.now)
	}
	e.clock.at(e.ends, func() {
		e.current = nil
		e.decoding++
		e.insert(j.keys)
		j.first(j)
		e.clock.after(seconds(float64(j.output)/decodeRate), func() {
			e.decoding--
			j.done()
			e.next(piece)
		})
		e.next(piece)
	})
}

// ahead returns the prompt tokens that a new job waits for.
func (e *engine) ahead() int {
	n := e.tokens
	if e.current != nil {
		n += int((e.ends - e.clock.now).Seconds() * prefillRate)
	}
	return n
}

// running returns the number of runs that have left the queue.
func (e *engine) running() int {
	if e.current != nil {
		return e.decoding + 1
	}
	return e.decoding
}

func (e *engine) report(loaded []target.Loaded) target.LoadReport {
	return target.LoadReport{
		Target: e.name, ReportedAt: e.clock.time(), Models: loaded, Running: e.running(), Waiting: len(e.waiting),
		Tokens: e.ahead(), PrefillRate: prefillRate, DecodeRate: decodeRate,
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
