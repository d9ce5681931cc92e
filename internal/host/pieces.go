package host

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/blake3"

	"sesamehill.example/sesamehill/internal/index"
	"sesamehill.example/sesamehill/internal/member"
	"sesamehill.example/sesamehill/internal/pause"
	"sesamehill.example/sesamehill/internal/table"
	"sesamehill.example/sesamehill/internal/target"
	"sesamehill.example/sesamehill/pkg/chain"
)

const (
	// eventPeriod is the shortest interval between two polls of the events of
	// observed engines. Each host of the zone adds eventPeriodPerHost to it: every
	// poll sends a record to each host, so the number of records a second stays the
	// same. The 17 hosts of a zone at the design size make the interval 1 s, and few
	// prompts return sooner; polls once a second cost 6% more recomputed tokens in
	// the demo, whose prompts return after 2 s.
	eventPeriod        = 200 * time.Millisecond
	eventPeriodPerHost = 60 * time.Millisecond
	// storePeriod is the interval at which the blocks of observed stores are listed.
	// It also bounds how long the index holds an entry of a freed block.
	storePeriod = 2 * time.Second
	// resendPeriod is the interval at which an unchanged list is sent again to
	// reach new owners.
	resendPeriod = 10 * time.Second
	// recordTimeout bounds a message to an index owner.
	recordTimeout    = time.Second
	reportStaleAfter = 5 * time.Second
)

// blockIndex is this host's shard of the block index of its zone, and its view of the
// owners of the other shards.
type blockIndex struct {
	mu     sync.Mutex
	self   string
	region string
	zone   string
	shard  *index.Shard
	// filter is the Bloom filter of the shard keys, built at filterBuilt.
	filter      index.Filter
	filterBuilt time.Time
	// zones maps the zones of the region to their live hosts.
	zones map[string]*zoneHosts
}

// zoneHosts are the live hosts of a zone.
type zoneHosts struct {
	names     []string
	addresses map[string]string
	owners    *index.Owners
}

func newBlockIndex(self, region, zone string) *blockIndex {
	return &blockIndex{self: self, region: region, zone: zone, shard: index.NewShard(), zones: map[string]*zoneHosts{}}
}

// setHosts sets the live hosts. It drops entries that this host no longer owns, and
// makes observers request inventories from the targets if owners are gone.
func (p *blockIndex) setHosts(live []member.Member) {
	zones := map[string]*zoneHosts{}
	for _, m := range live {
		if m.Region != p.region || (m.Leaving && m.Name != p.self) {
			continue
		}
		z := zones[m.Zone]
		if z == nil {
			z = &zoneHosts{addresses: map[string]string{}}
			zones[m.Zone] = z
		}
		z.names = append(z.names, m.Name)
		z.addresses[m.Name] = m.Address
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, z := range zones {
		old := p.zones[name]
		switch {
		case old != nil && slices.Equal(old.names, z.names):
			z.owners = old.owners
		case old != nil && name == p.zone:
			z.owners = index.NewOwners(z.names)
			p.shard.Rebalance(p.self, old.owners, z.owners)
		default:
			z.owners = index.NewOwners(z.names)
		}
	}
	p.zones = zones
}

// observers returns the hosts of a zone that observe a target.
func (p *blockIndex) observers(zone, name string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	z := p.zones[zone]
	if z == nil {
		return nil
	}
	return z.owners.Lookup(chain.Key(blake3.Sum256([]byte(name))))
}

// zoneSize returns the number of live hosts of this host's zone.
func (p *blockIndex) zoneSize() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if z := p.zones[p.zone]; z != nil {
		return len(z.names)
	}
	return 0
}

// owners returns the owners of a chain in each zone of the region.
func (p *blockIndex) owners(first chain.Key) map[string][]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string][]string, len(p.zones))
	for name, z := range p.zones {
		for _, o := range z.owners.Lookup(first) {
			out[name] = append(out[name], z.addresses[o])
		}
		// A nil value makes lookup read this host's own shard, unless the shard
		// still lacks events.
		if name == p.zone && z.owners.IsOwner(p.self, first) && len(p.shard.Suspects()) == 0 {
			out[name] = nil
		}
	}
	return out
}

func (p *blockIndex) lookup(keys []chain.Key) []index.Holder {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.shard.Lookup(keys)
}

func (p *blockIndex) dropTarget(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shard.RemoveTarget(name)
}

func (p *blockIndex) size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.shard.Len()
}

func (p *blockIndex) suspects() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.shard.Suspects()
}

// Filter implements member.LookupHandler.
func (p *blockIndex) Filter(_ context.Context, _ *member.FilterRequest) (*member.FilterReply, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// Building a filter takes 0.05 µs per block, and several hosts request it
	// each second.
	if now := time.Now(); now.Sub(p.filterBuilt) > minFilterAge {
		p.filter, p.filterBuilt = p.shard.Filter(), now
	}
	return &member.FilterReply{Filter: p.filter}, nil
}

// Lookup implements member.LookupHandler.
func (p *blockIndex) Lookup(_ context.Context, r *member.LookupRequest) (*member.LookupReply, error) {
	return &member.LookupReply{Holders: p.lookup(r.Keys)}, nil
}

// Record implements member.RecordHandler.
func (p *blockIndex) Record(_ context.Context, r *member.RecordRequest) (*member.RecordReply, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.Restarted {
		p.shard.RemoveTarget(r.Record.Target)
	}
	if r.Inventory != nil {
		return &member.RecordReply{Suspect: !p.shard.Replace(r.Record.Target, r.Record.Kind, *r.Inventory)}, nil
	}
	return &member.RecordReply{Suspect: p.shard.Apply(r.Record)}, nil
}

// cursor is the position up to which this host has read a target's events.
type cursor struct {
	address      string
	lastSequence uint64
	// needsInventory requests an inventory, because an index owner lacks events.
	needsInventory bool
	// restarted is true if the target restarted its sequence numbers, or an owner
	// refused an inventory. An owner refuses an inventory only if it is older than
	// its entries, as after a restart of the target, so the next inventory replaces
	// the entries unconditionally.
	restarted bool
	// listDigest is the hash of the store's list that was sent at listSent.
	listDigest [32]byte
	listSent   time.Time
}

// observer sends the events of the targets that this host observes to the index
// owners of their zone.
type observer struct {
	host    *Host
	mu      sync.Mutex
	cursors map[string]*cursor
}

// run polls events until ctx ends, at a longer interval in a zone of many hosts.
func (o *observer) run(ctx context.Context) error {
	for {
		o.pollEvents(ctx)
		if err := pause.For(ctx, max(eventPeriod, time.Duration(o.host.blockIndex.zoneSize())*eventPeriodPerHost)); err != nil {
			return err
		}
	}
}

// pollEvents polls the events of the observed engines once.
func (o *observer) pollEvents(ctx context.Context) {
	o.forEachObserved(ctx, table.Engine, pollTimeout, o.pollTargetEvents)
}

// listStores reads the blocks of the observed stores once.
func (o *observer) listStores(ctx context.Context) {
	o.forEachObserved(ctx, table.Store, storePeriod, o.sendStoreList)
}

func (o *observer) forEachObserved(ctx context.Context, k table.Kind, limit time.Duration, f func(context.Context, *targetView, *cursor)) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var g sync.WaitGroup
	for _, m := range o.host.fleet.list(k, o.host.observes) {
		c := o.cursor(m.listed.Name, m.listed.Address)
		g.Go(func() { f(ctx, &m, c) })
	}
	g.Wait()
}

// cursor returns the cursor of a target; a target at a new
// address gets a new cursor.
func (o *observer) cursor(name, address string) *cursor {
	o.mu.Lock()
	defer o.mu.Unlock()
	c := o.cursors[name]
	if c == nil || c.address != address {
		c = &cursor{address: address, needsInventory: true}
		o.cursors[name] = c
	}
	return c
}

func (o *observer) pollTargetEvents(ctx context.Context, m *targetView, c *cursor) {
	if c.needsInventory {
		o.sendInventory(ctx, m, c)
		return
	}
	b, err := m.engine.Events(ctx, c.lastSequence)
	if err != nil {
		counters.Add("event_errors", 1)
		return
	}
	if b.LastSequence < c.lastSequence {
		c.needsInventory = true // the engine restarted its sequence numbers
		return
	}
	if b.LastSequence == c.lastSequence {
		return
	}
	for i, e := range b.Events {
		if e.Sequence != c.lastSequence+uint64(i)+1 {
			counters.Add("event_gaps", 1)
			c.needsInventory = true
			return
		}
	}
	if n := len(b.Events); n == 0 || b.Events[n-1].Sequence != b.LastSequence {
		counters.Add("event_gaps", 1)
		c.needsInventory = true
		return
	}
	r := index.Record{Target: m.listed.Name, Kind: index.Engine, After: c.lastSequence, Last: b.LastSequence}
	c.lastSequence = b.LastSequence
	o.sendEvents(ctx, m, c, r, b.Events)
}

// sendEvents sends each owner the events of the keys that it owns.
func (o *observer) sendEvents(ctx context.Context, m *targetView, c *cursor, r index.Record, events []target.Event) {
	o.recordAtOwners(ctx, m, c, func(name string, owners *index.Owners) *member.RecordRequest {
		record := r
		for _, e := range events {
			if e.Kind == target.AllBlocksCleared || owners.IsOwner(name, e.ShardKey) {
				record.Events = append(record.Events, e)
			}
		}
		return &member.RecordRequest{Record: record}
	})
}

func (o *observer) sendInventory(ctx context.Context, m *targetView, c *cursor) {
	v, err := m.engine.Inventory(ctx)
	if err != nil {
		counters.Add("inventory_errors", 1)
		return
	}
	c.restarted = c.restarted || v.Sequence < c.lastSequence
	c.needsInventory, c.lastSequence = false, v.Sequence
	if o.sendBlocks(ctx, m, c, index.Engine, v); !c.needsInventory {
		c.restarted = false
	}
}

func (o *observer) sendBlocks(ctx context.Context, m *targetView, c *cursor, k index.Kind, v target.Inventory) {
	restarted := c.restarted // recordAtOwners changes it while it builds the requests
	o.recordAtOwners(ctx, m, c, func(name string, owners *index.Owners) *member.RecordRequest {
		inventory := target.Inventory{Sequence: v.Sequence}
		for _, p := range v.Blocks {
			if owners.IsOwner(name, p.ShardKey) {
				inventory.Blocks = append(inventory.Blocks, p)
			}
		}
		return &member.RecordRequest{
			Record: index.Record{Target: m.listed.Name, Kind: k}, Inventory: &inventory, Restarted: restarted,
		}
	})
}

// recordAtOwners sends each host of the target's zone its request. If a host lacks
// events, the next poll sends an inventory.
func (o *observer) recordAtOwners(
	ctx context.Context, m *targetView, c *cursor, newRequest func(string, *index.Owners) *member.RecordRequest,
) {
	p := o.host.blockIndex
	p.mu.Lock()
	z := p.zones[m.listed.Zone]
	p.mu.Unlock()
	if z == nil {
		return
	}
	var g sync.WaitGroup
	var mu sync.Mutex
	for name, address := range z.addresses {
		r := newRequest(name, z.owners)
		g.Go(func() {
			reply, err := o.sendRecord(ctx, name, address, r)
			if err != nil || reply.Suspect {
				counters.Add("records_incomplete", 1)
				mu.Lock()
				c.needsInventory = true
				c.restarted = c.restarted || err == nil && r.Inventory != nil
				mu.Unlock()
			}
		})
	}
	g.Wait()
}

func (o *observer) sendRecord(ctx context.Context, name, address string, r *member.RecordRequest) (*member.RecordReply, error) {
	if name == o.host.settings.Name {
		return o.host.blockIndex.Record(ctx, r)
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	return o.host.client.Record(ctx, address, r)
}

// sendStoreList lists the committed blocks of a store. Stores publish no events, so it
// sends the list as an inventory whose sequence number is this host's clock.
func (o *observer) sendStoreList(ctx context.Context, m *targetView, c *cursor) {
	at := uint64(time.Now().UnixMilli())
	l, err := m.store.List(ctx)
	if err != nil {
		counters.Add("store_errors", 1)
		return
	}
	v := target.Inventory{Sequence: at}
	digest := blake3.New()
	for _, p := range l {
		v.Blocks = append(v.Blocks, target.ResidentBlock{Key: p.Key, ShardKey: p.ShardKey})
		_, _ = digest.Write(p.Key[:])
	}
	sum := [32]byte(digest.Sum(nil))
	if !c.needsInventory && sum == c.listDigest && time.Since(c.listSent) < resendPeriod {
		return
	}
	c.needsInventory, c.listDigest, c.listSent = false, sum, time.Now()
	o.sendBlocks(ctx, m, c, index.Store, v)
}
