package host

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/panjf2000/ants/v2"

	"sesamehill.example/sesamehill/internal/index"
	"sesamehill.example/sesamehill/internal/retain"
	"sesamehill.example/sesamehill/internal/route"
	"sesamehill.example/sesamehill/internal/table"
	"sesamehill.example/sesamehill/internal/target"
	"sesamehill.example/sesamehill/pkg/chain"
)

const (
	cachePeriod = time.Second
	// maxChains bounds the served chains that a host keeps: 2,000 chains of 10
	// blocks take about 1 MB.
	maxChains = 2000
	// maxShardKeys bounds the shard keys that identify returning prompts, 48 bytes each.
	maxShardKeys = 20_000
	// maxExports bounds the blocks of one export order, so that little work is lost
	// if the store dies.
	maxExports = 16
	// maxFailures is the number of incomplete export orders after which a chain is
	// no longer exported.
	maxFailures = 2
	// exportWorkers bounds the concurrent export orders of a host, so that the
	// stores' links stay free for imports.
	exportWorkers = 4
	// A store that is filled above highFill is evicted down to lowFill.
	highFill = 0.9
	lowFill  = 0.8
	// prefetchWindow is how long before the predicted return of a prompt its
	// prefetch starts.
	prefetchWindow = 30 * time.Second
	orderTimeout   = 30 * time.Second
)

// servedChain is the key chain of a prompt that this host served.
type servedChain struct {
	account string
	model   string
	version string
	keys    []chain.Key
	// lastKey is the last key of the chain and the key of its LRU entry.
	lastKey     chain.Key
	blockTokens int
	target      string
	lastUse     time.Time
	// storedBlocks is the number of leading blocks that were exported.
	storedBlocks int
	// prefetched is true if the chain was prefetched since its last use.
	prefetched bool
	// failures counts incomplete export orders.
	failures int
	// exporting is true while a worker exports the chain.
	exporting bool
	// replaced is true if a newer entry extends the chain, or no engine holds it.
	replaced bool
}

// cacheManager decides which KV cache blocks are exported, evicted and prefetched.
type cacheManager struct {
	host        *Host
	mu          sync.Mutex
	chains      *simplelru.LRU[chain.Key, *servedChain]
	lastSeen    *simplelru.LRU[chain.Key, time.Time]
	returnStats *retain.Returns
	workers     *ants.Pool
	// freeBytes is the free space of each store in bytes.
	freeBytes map[string]int64
	// firstListed is the time at which a store first listed a block, by store and block
	// key.
	firstListed map[string]map[chain.Key]time.Time
}

func newCacheManager(h *Host) *cacheManager {
	k := &cacheManager{
		host: h, returnStats: retain.NewReturns(), freeBytes: map[string]int64{}, firstListed: map[string]map[chain.Key]time.Time{},
	}
	var err error
	if k.workers, err = ants.NewPool(exportWorkers, ants.WithNonblocking(true)); err != nil {
		panic(err) // the size is positive
	}
	if k.lastSeen, err = simplelru.NewLRU[chain.Key, time.Time](maxShardKeys, nil); err != nil {
		panic(err) // the size is positive
	}
	if k.chains, err = simplelru.NewLRU[chain.Key, *servedChain](maxChains, k.chainEvicted); err != nil {
		panic(err) // the size is positive
	}
	return k
}

// chainEvicted counts a chain that the LRU evicts as not returned.
func (k *cacheManager) chainEvicted(_ chain.Key, c *servedChain) {
	if !c.replaced {
		k.returnStats.RecordAbandoned(c.account)
	}
}

// recordArrival reports whether a prompt returns, and records its return interval.
func (k *cacheManager) recordArrival(account string, keys []chain.Key, now time.Time) bool {
	if len(keys) == 0 {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	at, known := k.lastSeen.Get(keys[0])
	k.lastSeen.Add(keys[0], now)
	if !known {
		return false
	}
	k.returnStats.RecordReturn(account, now.Sub(at))
	if !slices.ContainsFunc(keys, k.chains.Contains) {
		// The LRU evicted the chain, which counted as not returned.
		k.returnStats.UndoAbandoned(account)
	}
	return true
}

// recordServed records a prompt whose KV cache is now at a target, and exports it.
func (k *cacheManager) recordServed(q *request, target string, now time.Time) {
	if len(q.keys) == 0 {
		return
	}
	k.submitExport(k.addChain(q, target, now))
}

func (k *cacheManager) addChain(q *request, target string, now time.Time) *servedChain {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := &servedChain{
		account: q.account.Name, model: q.namespace.Model, version: q.namespace.Version, keys: q.keys, lastKey: q.keys[len(q.keys)-1],
		blockTokens: q.active.document.Deployment.BlockTokens, target: target, lastUse: now,
	}
	// The entry of the shorter, earlier prompt has the same leading keys.
	for n := len(q.keys); n > 0; n-- {
		if shorter, ok := k.chains.Peek(q.keys[n-1]); ok {
			c.storedBlocks = min(shorter.storedBlocks, n)
			shorter.replaced = true
			k.chains.Remove(q.keys[n-1])
			break
		}
	}
	k.chains.Add(c.lastKey, c)
	return c
}

// manage reads the usage of the region's stores, exports valuable chains, evicts from
// full stores and prefetches one chain.
func (k *cacheManager) manage(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	now := time.Now()
	h := k.host
	stores := h.fleet.list(table.Store, func(m *targetView) bool {
		return m.listed.Region == h.settings.Region && h.fleet.open(m, now)
	})
	free := make(map[string]int64, len(stores))
	for i := range stores {
		m := &stores[i]
		u, err := m.store.Usage(ctx)
		if err != nil {
			h.fleet.markFailed(m.listed.Name, now)
			counters.Add("store_errors", 1)
			continue
		}
		free[m.listed.Name] = u.Capacity - u.Used
		if float64(u.Used) > highFill*float64(u.Capacity) && h.isEvictor(m) {
			k.evict(ctx, m, u.Used-int64(lowFill*float64(u.Capacity)))
		}
	}
	k.mu.Lock()
	k.freeBytes = free
	waiting := k.chains.Values()
	k.mu.Unlock()
	for _, c := range waiting {
		k.submitExport(c)
	}
	k.prefetch(ctx, now)
}

// submitExport submits a chain to the export workers. If they are busy, the next call of
// manage retries.
func (k *cacheManager) submitExport(c *servedChain) {
	k.mu.Lock()
	if c.exporting || c.replaced || c.storedBlocks >= len(c.keys) {
		k.mu.Unlock()
		return
	}
	c.exporting = true
	k.mu.Unlock()
	err := k.workers.Submit(func() {
		ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
		defer cancel()
		k.export(ctx, c)
		k.mu.Lock()
		defer k.mu.Unlock()
		c.exporting = false
	})
	if err != nil {
		counters.Add("exports_deferred", 1)
		k.mu.Lock()
		c.exporting = false
		k.mu.Unlock()
	}
}

// export orders the export of the blocks of a chain whose value justifies their
// space in the store.
func (k *cacheManager) export(ctx context.Context, c *servedChain) {
	m, ok := k.storeFor(c)
	if !ok {
		return
	}
	k.mu.Lock()
	block := k.host.document.Load().document.Deployment.BlockBytes
	candidates := make([]retain.Block, 0, len(c.keys)-c.storedBlocks)
	for i := c.storedBlocks; i < len(c.keys); i++ {
		candidates = append(candidates, retain.Block{
			Key: c.keys[i], Account: c.account, Depth: i, Tokens: c.blockTokens, Bytes: block, LastUsed: c.lastUse, Committed: true,
		})
	}
	plan := retain.Exports(candidates, nil, k.freeBytes[m.listed.Name], k.returnStats, time.Now())
	keys := make([]chain.Key, 0, len(plan.Exports))
	for _, p := range plan.Exports {
		keys = append(keys, p.Key)
	}
	k.freeBytes[m.listed.Name] -= int64(len(keys)) * block
	k.mu.Unlock()
	for len(keys) > 0 && k.orderExport(ctx, c, keys[:min(maxExports, len(keys))], &m) {
		keys = keys[min(maxExports, len(keys)):]
	}
}

// storeFor returns the store of a chain. The shard key selects it among the stores
// of the engine's zone or, if the zone has none, of the region.
func (k *cacheManager) storeFor(c *servedChain) (targetView, bool) {
	h, now := k.host, time.Now()
	f := h.document.Load()
	engine, ok := h.fleet.get(c.target)
	if !ok {
		return targetView{}, false
	}
	stores := h.fleet.list(table.Store, func(m *targetView) bool {
		return m.listed.Region == h.settings.Region && h.fleet.open(m, now) && k.mayUseStore(f, c, m)
	})
	near := slices.DeleteFunc(slices.Clone(stores), func(m targetView) bool { return m.listed.Zone != engine.listed.Zone })
	if len(near) > 0 {
		stores = near
	}
	if len(stores) == 0 {
		return targetView{}, false
	}
	return stores[int(c.keys[0][0])%len(stores)], true
}

// mayUseStore reports whether the account's KV cache may be kept in a store.
func (k *cacheManager) mayUseStore(f *activeDocument, c *servedChain, m *targetView) bool {
	a := f.accounts[c.account]
	return a != nil && stateAllowedAt(&request{account: a}, m.listed)
}

// orderExport orders the export of some blocks of a chain. It returns false if the
// engine no longer holds all of them, or the store rejects some.
func (k *cacheManager) orderExport(ctx context.Context, c *servedChain, keys []chain.Key, m *targetView) bool {
	e := k.host.fleet.engine(c.target)
	if e == nil {
		return false
	}
	r, err := e.Export(ctx, target.ExportOrder{Store: m.listed.Address, Account: c.account, ShardKey: c.keys[0], Keys: keys})
	if err != nil {
		counters.Add("exports_failed", 1)
	}
	counters.Add("exports", int64(len(r.Committed)))
	k.mu.Lock()
	defer k.mu.Unlock()
	for c.storedBlocks < len(c.keys) && slices.Contains(r.Committed, c.keys[c.storedBlocks]) {
		c.storedBlocks++
	}
	if len(r.Committed) < len(keys) {
		c.failures++
	}
	if c.failures >= maxFailures {
		// The engine evicted the remaining blocks, or no store accepts them; only a
		// new run recomputes them.
		c.replaced = true
		k.chains.Remove(c.lastKey)
	}
	return err == nil && len(r.Committed) == len(keys)
}

// isEvictor reports whether this host evicts blocks of a store.
func (h *Host) isEvictor(m *targetView) bool {
	o := h.blockIndex.observers(m.listed.Zone, m.listed.Name)
	return len(o) == 0 || o[0] == h.settings.Name
}

// evict frees the least valuable blocks of a store.
func (k *cacheManager) evict(ctx context.Context, m *targetView, need int64) {
	l, err := m.store.List(ctx)
	if err != nil {
		counters.Add("store_errors", 1)
		return
	}
	now := time.Now()
	k.mu.Lock()
	listed := make(map[chain.Key]time.Time, len(l))
	generations := make(map[chain.Key]uint64, len(l))
	blocks := make([]retain.Block, len(l))
	tokens := k.host.document.Load().document.Deployment.BlockTokens
	for i, p := range l {
		at, ok := k.firstListed[m.listed.Name][p.Key]
		if !ok {
			at = now
		}
		if c, ok := k.lastSeen.Peek(p.ShardKey); ok && c.After(at) {
			at = c
		}
		listed[p.Key], generations[p.Key] = at, p.Generation
		blocks[i] = retain.Block{
			Key: p.Key, Account: p.Account, Tokens: tokens, Bytes: p.Length, LastUsed: at, Pinned: p.Pins > 0, Committed: true,
		}
	}
	k.firstListed[m.listed.Name] = listed
	var idle time.Duration
	for i := range blocks {
		idle += now.Sub(blocks[i].LastUsed)
	}
	// A regularly used block is evicted at about twice the mean idle time.
	k.returnStats.SetWindow(2 * idle / time.Duration(max(1, len(blocks))))
	victims := retain.Evict(blocks, need, k.returnStats, now)
	k.mu.Unlock()
	for _, v := range victims {
		if err := m.store.Free(ctx, v.Key, generations[v.Key]); err != nil {
			counters.Add("frees_refused", 1)
			continue
		}
		counters.Add("frees", 1)
	}
}

// prefetch imports one chain that is likely to return soon, if an engine has free
// blocks for it and an empty queue.
func (k *cacheManager) prefetch(ctx context.Context, now time.Time) {
	c := k.nextPrefetch(now)
	if c == nil {
		return
	}
	h := k.host
	holders := h.lookup(ctx, c.keys)
	for _, g := range holders {
		if g.Kind == index.Engine && g.End >= c.storedBlocks {
			return
		}
	}
	f := h.document.Load()
	q := &request{active: f, account: f.accounts[c.account], keys: c.keys, startBy: now.Add(prefetchWindow)}
	if q.account == nil {
		return
	}
	engine := k.idleEngine(q, c, now)
	for _, g := range holders {
		if g.Kind == index.Store && g.First == 0 && engine != "" && h.fleet.isOpen(g.Target, now) {
			counters.Add("prefetches", 1)
			h.importBlocks(ctx, q, route.Import{Target: engine, Store: g.Target, From: 0, To: g.End})
			return
		}
	}
}

// nextPrefetch returns the exported chain that is most likely to return within
// prefetchWindow, and marks it as prefetched.
func (k *cacheManager) nextPrefetch(now time.Time) *servedChain {
	k.mu.Lock()
	defer k.mu.Unlock()
	var candidates []retain.Block
	byShardKey := map[chain.Key]*servedChain{}
	for _, c := range k.chains.Values() {
		if c.storedBlocks == 0 || c.prefetched {
			continue
		}
		byShardKey[c.keys[0]] = c
		candidates = append(candidates, retain.Block{
			Key: c.keys[0], Account: c.account, Tokens: c.blockTokens, Bytes: 1, LastUsed: c.lastUse, Committed: true,
		})
	}
	best := retain.Prefetch(candidates, 1, prefetchWindow, k.returnStats, now)
	if len(best) == 0 {
		return nil
	}
	c := byShardKey[best[0].Key]
	c.prefetched = true
	snapshot := *c
	return &snapshot
}

func (k *cacheManager) idleEngine(q *request, c *servedChain, now time.Time) string {
	h := k.host
	for _, m := range h.fleet.list(table.Engine, func(m *targetView) bool {
		return m.listed.Region == h.settings.Region && h.fleet.open(m, now) && stateAllowedAt(q, m.listed)
	}) {
		serves := slices.ContainsFunc(m.report.Models, func(l target.Loaded) bool {
			return l.Model == c.model && l.Version == c.version
		})
		if serves && m.report.Waiting == 0 && m.report.FreeBlocks >= c.storedBlocks && now.Sub(m.reportReceived) < reportStaleAfter {
			return m.listed.Name
		}
	}
	return ""
}
