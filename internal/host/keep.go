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
	keepPeriod = time.Second
	// maxChains bounds the chains that a host remembers: 2,000 of 10 pieces take
	// about 1 MB.
	maxChains = 2000
	// maxSeen bounds the first keys that tell a returning prompt: 48 bytes each.
	maxSeen = 20_000
	// maxExports bounds the pieces of one export order, so that a store that dies
	// costs little.
	maxExports = 16
	// maxFailures is the number of incomplete export orders after which a chain is
	// left alone.
	maxFailures = 2
	// exportWorkers bounds the export orders of a host at once, so that exports
	// leave the stores' links to imports.
	exportWorkers = 4
	// A store that is filled above highFill is emptied down to lowFill.
	highFill = 0.9
	lowFill  = 0.8
	// prefetchWindow is how far ahead of a return a prefetch starts.
	prefetchWindow = 30 * time.Second
	orderTimeout   = 30 * time.Second
)

// chainUse is a prompt that this host served.
type chainUse struct {
	account string
	model   string
	version string
	keys    []chain.Key
	// last is the last key, under which the entry is filed.
	last   chain.Key
	tokens int
	target string
	used   time.Time
	// stored is the number of leading pieces that were exported.
	stored int
	// fetched tells that the chain was prefetched since its last use.
	fetched bool
	// failures counts export orders that were not carried out completely.
	failures int
	// busy tells that a worker exports the chain.
	busy bool
	// replaced tells that the chain lives on in a newer entry, or at no engine.
	replaced bool
}

// keeper decides which prompt state is exported, evicted and prefetched.
type keeper struct {
	host    *Host
	mu      sync.Mutex
	chains  *simplelru.LRU[chain.Key, *chainUse]
	seen    *simplelru.LRU[chain.Key, time.Time]
	returns *retain.Returns
	workers *ants.Pool
	// free is the room of each store in bytes.
	free map[string]int64
	// listed is when a store first listed a piece, by store and piece.
	listed map[string]map[chain.Key]time.Time
}

func newKeeper(h *Host) *keeper {
	k := &keeper{
		host: h, returns: retain.NewReturns(), free: map[string]int64{}, listed: map[string]map[chain.Key]time.Time{},
	}
	var err error
	if k.workers, err = ants.NewPool(exportWorkers, ants.WithNonblocking(true)); err != nil {
		panic(err) // the size is positive
	}
	if k.seen, err = simplelru.NewLRU[chain.Key, time.Time](maxSeen, nil); err != nil {
		panic(err) // the size is positive
	}
	if k.chains, err = simplelru.NewLRU[chain.Key, *chainUse](maxChains, k.forgotten); err != nil {
		panic(err) // the size is positive
	}
	return k
}

// forgotten counts a chain that leaves the memory as not returned.
func (k *keeper) forgotten(_ chain.Key, c *chainUse) {
	if !c.replaced {
		k.returns.Ended(c.account)
	}
}

// arrived reports whether a prompt returns, and learns its interval.
func (k *keeper) arrived(account string, keys []chain.Key, now time.Time) bool {
	if len(keys) == 0 {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	at, known := k.seen.Get(keys[0])
	k.seen.Add(keys[0], now)
	if !known {
		return false
	}
	k.returns.Returned(account, now.Sub(at))
	if !slices.ContainsFunc(keys, k.chains.Contains) {
		// The chain was forgotten, which counted as its end.
		k.returns.Revived(account)
	}
	return true
}

// served remembers a prompt whose state is now at a target.
func (k *keeper) served(q *request, target string, now time.Time) {
	if len(q.keys) == 0 {
		return
	}
	k.exportSoon(k.remember(q, target, now))
}

func (k *keeper) remember(q *request, target string, now time.Time) *chainUse {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := &chainUse{
		account: q.account.Name, model: q.scope.Model, version: q.scope.Version, keys: q.keys, last: q.keys[len(q.keys)-1],
		tokens: q.force.document.Deployment.BlockTokens, target: target, used: now,
	}
	// The entry of the prompt before it grew has the same leading keys.
	for n := len(q.keys); n > 0; n-- {
		if old, ok := k.chains.Peek(q.keys[n-1]); ok {
			c.stored = min(old.stored, n)
			old.replaced = true
			k.chains.Remove(q.keys[n-1])
			break
		}
	}
	k.chains.Add(c.last, c)
	return c
}

// keep reads the fill of the region's stores, exports what is worth keeping and
// empties full stores.
func (k *keeper) keep(ctx context.Context) {
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
			h.fleet.failed(m.listed.Name, now)
			counters.Add("store_errors", 1)
			continue
		}
		free[m.listed.Name] = u.Capacity - u.Used
		if float64(u.Used) > highFill*float64(u.Capacity) && h.evicts(m) {
			k.evict(ctx, m, u.Used-int64(lowFill*float64(u.Capacity)))
		}
	}
	k.mu.Lock()
	k.free = free
	waiting := k.chains.Values()
	k.mu.Unlock()
	for _, c := range waiting {
		k.exportSoon(c)
	}
	k.prefetch(ctx, now)
}

// exportSoon hands a chain to the export workers. If they are busy, the next
// period tries again.
func (k *keeper) exportSoon(c *chainUse) {
	k.mu.Lock()
	if c.busy || c.replaced || c.stored >= len(c.keys) {
		k.mu.Unlock()
		return
	}
	c.busy = true
	k.mu.Unlock()
	err := k.workers.Submit(func() {
		ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
		defer cancel()
		k.export(ctx, c)
		k.mu.Lock()
		defer k.mu.Unlock()
		c.busy = false
	})
	if err != nil {
		counters.Add("exports_deferred", 1)
		k.mu.Lock()
		c.busy = false
		k.mu.Unlock()
	}
}

// export orders the export of the pieces of a chain that are worth their place.
func (k *keeper) export(ctx context.Context, c *chainUse) {
	m, ok := k.storeFor(c)
	if !ok {
		return
	}
	k.mu.Lock()
	block := k.host.document.Load().document.Deployment.BlockBytes
	candidates := make([]retain.Piece, 0, len(c.keys)-c.stored)
	for i := c.stored; i < len(c.keys); i++ {
		candidates = append(candidates, retain.Piece{
			Key: c.keys[i], Account: c.account, Depth: i, Tokens: c.tokens, Bytes: block, Used: c.used, Sealed: true,
		})
	}
	plan := retain.Exports(candidates, nil, k.free[m.listed.Name], k.returns, time.Now())
	keys := make([]chain.Key, 0, len(plan.Exports))
	for _, p := range plan.Exports {
		keys = append(keys, p.Key)
	}
	k.free[m.listed.Name] -= int64(len(keys)) * block
	k.mu.Unlock()
	for len(keys) > 0 && k.order(ctx, c, keys[:min(maxExports, len(keys))], &m) {
		keys = keys[min(maxExports, len(keys)):]
	}
}

// storeFor returns the store of a chain: one in the engine's zone if there is
// one, else one of the region that the chain's first key chooses.
func (k *keeper) storeFor(c *chainUse) (targetView, bool) {
	h, now := k.host, time.Now()
	f := h.document.Load()
	engine, ok := h.fleet.member(c.target)
	if !ok {
		return targetView{}, false
	}
	stores := h.fleet.list(table.Store, func(m *targetView) bool {
		return m.listed.Region == h.settings.Region && h.fleet.open(m, now) && k.mayStore(f, c, m)
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

// mayStore reports whether the account's state may live at a store.
func (k *keeper) mayStore(f *inForce, c *chainUse, m *targetView) bool {
	a := f.accounts[c.account]
	return a != nil && allowed(&request{account: a}, m.listed)
}

// order orders the export of some pieces of a chain. It returns false if the
// engine does not hold them all any more, or the store does not take them.
func (k *keeper) order(ctx context.Context, c *chainUse, keys []chain.Key, m *targetView) bool {
	e := k.host.fleet.engine(c.target)
	if e == nil {
		return false
	}
	r, err := e.Export(ctx, target.ExportOrder{Store: m.listed.Address, Account: c.account, First: c.keys[0], Keys: keys})
	if err != nil {
		counters.Add("exports_failed", 1)
	}
	counters.Add("exports", int64(len(r.Sealed)))
	k.mu.Lock()
	defer k.mu.Unlock()
	for c.stored < len(c.keys) && slices.Contains(r.Sealed, c.keys[c.stored]) {
		c.stored++
	}
	if len(r.Sealed) < len(keys) {
		c.failures++
	}
	if c.failures >= maxFailures {
		// The engine has evicted the rest, or no store takes it; only a new run
		// brings it back.
		c.replaced = true
		k.chains.Remove(c.last)
	}
	return err == nil && len(r.Sealed) == len(keys)
}

// evicts reports whether this host frees the pieces of a store.
func (h *Host) evicts(m *targetView) bool {
	o := h.pieces.observers(m.listed.Zone, m.listed.Name)
	return len(o) == 0 || o[0] == h.settings.Name
}

// evict frees the least valuable pieces of a store.
func (k *keeper) evict(ctx context.Context, m *targetView, need int64) {
	l, err := m.store.List(ctx)
	if err != nil {
		counters.Add("store_errors", 1)
		return
	}
	now := time.Now()
	k.mu.Lock()
	listed := make(map[chain.Key]time.Time, len(l))
	generations := make(map[chain.Key]uint64, len(l))
	pieces := make([]retain.Piece, len(l))
	tokens := k.host.document.Load().document.Deployment.BlockTokens
	for i, p := range l {
		at, ok := k.listed[m.listed.Name][p.Key]
		if !ok {
			at = now
		}
		if c, ok := k.seen.Peek(p.First); ok && c.After(at) {
			at = c
		}
		listed[p.Key], generations[p.Key] = at, p.Generation
		pieces[i] = retain.Piece{
			Key: p.Key, Account: p.Account, Tokens: tokens, Bytes: p.Length, Used: at, Pinned: p.Pins > 0, Sealed: true,
		}
	}
	k.listed[m.listed.Name] = listed
	var idle time.Duration
	for i := range pieces {
		idle += now.Sub(pieces[i].Used)
	}
	// A piece in steady use is evicted at about twice the mean idle time.
	k.returns.SetWindow(2 * idle / time.Duration(max(1, len(pieces))))
	victims := retain.Evict(pieces, need, k.returns, now)
	k.mu.Unlock()
	for _, v := range victims {
		if err := m.store.Free(ctx, v.Key, generations[v.Key]); err != nil {
			counters.Add("frees_refused", 1)
			continue
		}
		counters.Add("frees", 1)
	}
}

// prefetch imports one chain that is likely to return soon, if an engine has
// room for it and nothing waits there.
func (k *keeper) prefetch(ctx context.Context, now time.Time) {
	c := k.likely(now)
	if c == nil {
		return
	}
	h := k.host
	holders := h.lookup(ctx, c.keys)
	for _, g := range holders {
		if g.Kind == index.Engine && g.End >= c.stored {
			return
		}
	}
	f := h.document.Load()
	q := &request{force: f, account: f.accounts[c.account], keys: c.keys, startBy: now.Add(prefetchWindow)}
	if q.account == nil {
		return
	}
	engine := k.idleEngine(q, c, now)
	for _, g := range holders {
		if g.Kind == index.Store && g.First == 0 && engine != "" && h.fleet.isOpen(g.Target, now) {
			counters.Add("prefetches", 1)
			h.importPieces(ctx, q, route.Import{Target: engine, Store: g.Target, From: 0, To: g.End})
			return
		}
	}
}

// likely returns the stored chain that is most likely to return within the
// window, and marks it as prefetched.
func (k *keeper) likely(now time.Time) *chainUse {
	k.mu.Lock()
	defer k.mu.Unlock()
	var stored []retain.Piece
	byPiece := map[chain.Key]*chainUse{}
	for _, c := range k.chains.Values() {
		if c.stored == 0 || c.fetched {
			continue
		}
		byPiece[c.keys[0]] = c
		stored = append(stored, retain.Piece{
			Key: c.keys[0], Account: c.account, Tokens: c.tokens, Bytes: 1, Used: c.used, Sealed: true,
		})
	}
	best := retain.Prefetch(stored, 1, prefetchWindow, k.returns, now)
	if len(best) == 0 {
		return nil
	}
	c := byPiece[best[0].Key]
	c.fetched = true
	out := *c
	return &out
}

func (k *keeper) idleEngine(q *request, c *chainUse, now time.Time) string {
	h := k.host
	for _, m := range h.fleet.list(table.Engine, func(m *targetView) bool {
		return m.listed.Region == h.settings.Region && h.fleet.open(m, now) && allowed(q, m.listed)
	}) {
		serves := slices.ContainsFunc(m.report.Models, func(l target.Loaded) bool {
			return l.Model == c.model && l.Version == c.version
		})
		if serves && m.report.Waiting == 0 && m.report.Free >= c.stored && now.Sub(m.received) < staleAfter {
			return m.listed.Name
		}
	}
	return ""
}
