package kvcat

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"
	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/opconf"
	"sesamehill.example/sesamehill/internal/wire"
)

const (
	// maxStateAge is for how long a store's state is used after the start of the
	// last successful poll.
	maxStateAge = 1600 * time.Millisecond
	// restartHold is for how long a store is sent no saves after its restart was
	// noticed. It exceeds maxStateAge and MaxFetchTime together, so that no host is
	// still fetching a part that is being written again.
	restartHold = maxStateAge + MaxFetchTime + 500*time.Millisecond
	// saveRequestTTL is the time after a save was requested before another one of
	// the same part may be requested.
	saveRequestTTL = 2 * time.Second
	// residentTTL is for how long an engine is expected to keep the parts of a
	// prompt that it was sent.
	residentTTL = 4 * time.Second
	// maxTrackedKeys limits each of the LRU caches of a catalog.
	maxTrackedKeys = 1 << 15
	// maxLogEntries limits the change log of a store that other hosts follow.
	maxLogEntries = 2048
	// maxFillShare is the share of the capacity of a store up to which parts are
	// saved.
	maxFillShare = 0.97
	// maxCopyFillShare is the same for parts that a store in another region already
	// holds. A copy is worth less than the first instance of a part, so it must
	// leave room for these.
	maxCopyFillShare = 0.6
)

// MaxFetchTime is the longest time that a fetch may take after its request was
// sent.
const MaxFetchTime = 1500 * time.Millisecond

// Key identifies a part within a cache namespace.
type Key struct {
	Namespace string `cbor:"1,keyasint"`
	Part      string `cbor:"2,keyasint"`
}

// StoredPart is a part that is complete in a store.
type StoredPart struct {
	Key
	Tokens int `cbor:"3,keyasint"`
}

// Listing is the list of all parts in a store.
type Listing struct {
	// Epoch is a number that changes with each restart of the store.
	Epoch uint64
	// Next is the event number after which polls continue.
	Next  uint64
	Parts []StoredPart
	// ClockMs is the clock of the targets; zero if the store does not state it.
	ClockMs int64
}

// Event says that a part was completed or dropped.
type Event struct {
	StoredPart
	// Added is set if the part was completed.
	Added bool `cbor:"4,keyasint"`
}

// Events holds the events of a store since an event number.
type Events struct {
	Epoch uint64
	// Next is the event number after which the next poll continues.
	Next uint64
	// EventsLost is set if the store no longer has all events since the polled number.
	EventsLost bool
	Events     []Event
	// ClockMs is the clock of the targets; zero if the store does not state it.
	ClockMs int64
}

// store is what this host knows about one store.
type store struct {
	opconf.Store
	name string
	// epoch is the last reported Epoch, as in Listing; zero before the first report.
	epoch uint64
	// pollSince is the event number after which the next poll continues.
	pollSince uint64
	// lastPoll is the boot time at which the last successful poll began; zero if
	// there was none since the last restart of the store. savesFrom is the boot
	// time from which on parts are saved.
	lastPoll, savesFrom time.Duration
	// parts holds the number of tokens of each complete part.
	parts      map[Key]int
	usedTokens int
	slowdown   slowdown
	// changeLog holds all changes with a number above logStart. The numbers are
	// those of this catalog, which counts the changes of all stores together.
	changeLog []change
	logStart  uint64
	// pendingSaves holds the parts whose save was requested, with the time of the
	// request.
	pendingSaves map[Key]time.Duration
}

// change is an event with its number in this catalog.
type change struct {
	Event
	number uint64
}

// Option changes a default of NewCatalog.
type Option func(*Catalog)

// WithClock sets the boot clock.
func WithClock(now func() time.Duration) Option { return func(c *Catalog) { c.now = now } }

// WithPermissions sets a function that returns whether KV cache entries of a weight
// version may be fetched and saved.
func WithPermissions(f func(model string, version int) (fetch, save bool)) Option {
	return func(c *Catalog) { c.permissions = f }
}

// WithLog sets the logger.
func WithLog(l *zap.Logger) Option { return func(c *Catalog) { c.log = l } }

// Catalog is what a host knows about the contents of the stores. It is safe for
// concurrent use.
type Catalog struct {
	mu          sync.Mutex
	now         func() time.Duration
	log         *zap.Logger
	permissions func(model string, version int) (fetch, save bool)
	regions     map[string]string
	stores      map[string]*store
	// ordered holds the stores by address.
	ordered []*store
	// offset is the clock of the targets minus the boot clock, in milliseconds.
	offset    int64
	hasOffset bool
	// lastSent holds when a prompt with an affinity key was last sent to a target.
	lastSent *lru.LRU[affinityTarget, time.Duration]
	// seenParts holds the shared parts of recent prompts.
	seenParts *lru.LRU[Key, struct{}]
	engine    engineTransfer
	// id distinguishes the change numbers of this catalog from those of others,
	// changeCount is the last number, and followed is the position in the changes
	// of the catalog that this one follows.
	id          uint64
	changeCount uint64
	followed    Cursor
	// changed is closed and replaced at each change of what the stores hold.
	changed chan struct{}
}

// affinityTarget is a target and the affinity key of a prompt that it was sent.
type affinityTarget struct{ target, namespace, part string }

// engineTransfer holds what determines the time to move tokens to an engine.
type engineTransfer struct {
	tokenBytes int
	linkMbps   float64
}

// NewCatalog returns a catalog without stores; regions maps availability zones to
// regions.
func NewCatalog(regions map[string]string, opts ...Option) *Catalog {
	lastSent, err := lru.NewLRU[affinityTarget, time.Duration](maxTrackedKeys, nil)
	if err != nil {
		panic(err) // the size is positive
	}
	seenParts, err := lru.NewLRU[Key, struct{}](maxTrackedKeys, nil)
	if err != nil {
		panic(err) // the size is positive
	}
	c := &Catalog{
		seenParts: seenParts,
		now:       wire.BootTime, log: zap.NewNop(), permissions: allPermitted, regions: regions, stores: map[string]*store{}, lastSent: lastSent,
		changed: make(chan struct{}), id: rand.Uint64(),
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// allPermitted permits fetches and saves for every weight version.
func allPermitted(string, int) (fetch, save bool) { return true, true }

// SetStores sets the stores of a configuration and returns their addresses.
func (c *Catalog) SetStores(s *opconf.Config) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	described := map[string]bool{}
	for _, v := range s.Services {
		if v.Engine != nil {
			c.engine = engineTransfer{tokenBytes: v.Engine.TokenBytes, linkMbps: v.Engine.LinkMbps}
		}
		if v.Store == nil || !v.Store.Managed {
			continue
		}
		described[v.Store.Address] = true
		if known, ok := c.stores[v.Store.Address]; ok {
			known.Store, known.name = *v.Store, v.Name
			continue
		}
		c.stores[v.Store.Address] = &store{
			Store: *v.Store, name: v.Name, parts: map[Key]int{}, pendingSaves: map[Key]time.Duration{},
		}
		c.followed = Cursor{} // updates about this store may have been ignored before it was known
	}
	for address := range c.stores {
		if !described[address] {
			delete(c.stores, address)
		}
	}
	return c.sorted()
}

// StoreZone returns the availability zone of a store; empty if there is no such store.
func (c *Catalog) StoreZone(address string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s, ok := c.stores[address]; ok {
		return s.Zone
	}
	return ""
}

// sorted orders the stores by address and returns their addresses.
func (c *Catalog) sorted() []string {
	addresses := make([]string, 0, len(c.stores))
	for a := range c.stores {
		addresses = append(addresses, a)
	}
	slices.Sort(addresses)
	c.ordered = c.ordered[:0]
	for _, a := range addresses {
		c.ordered = append(c.ordered, c.stores[a])
	}
	return addresses
}

// RecordListing replaces the recorded contents of a store. Began is the boot time
// at which the list call began.
func (c *Catalog) RecordListing(address string, l Listing, began time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.stores[address]
	if !ok {
		return
	}
	c.recordClock(l.ClockMs)
	c.recordEpoch(s, l.Epoch)
	c.applyEvents(s, s.difference(l.Parts))
	c.recordPoll(s, began)
	s.pollSince = l.Next
}

// recordPoll records the start of a successful poll of a store. If the state of the
// store was unknown before, hosts that follow this catalog get the complete
// contents.
func (c *Catalog) recordPoll(s *store, at time.Duration) {
	if s.lastPoll == 0 {
		c.changeCount++
		s.changeLog, s.logStart = nil, c.changeCount
	}
	s.lastPoll = max(s.lastPoll, at)
}

// difference returns the events that lead from the recorded contents to those of a
// listing.
func (s *store) difference(listed []StoredPart) []Event {
	var events []Event
	present := make(map[Key]bool, len(listed))
	for _, h := range listed {
		present[h.Key] = true
		if tokens, ok := s.parts[h.Key]; !ok || tokens != h.Tokens {
			events = append(events, Event{StoredPart: h, Added: true})
		}
	}
	for k, tokens := range s.parts {
		if !present[k] {
			events = append(events, Event{StoredPart: StoredPart{Key: k, Tokens: tokens}})
		}
	}
	return events
}

// applyEvents changes the recorded contents of a store and appends to its change
// log.
func (c *Catalog) applyEvents(s *store, events []Event) {
	if len(events) == 0 {
		return
	}
	for _, e := range events {
		s.removePart(e.Key)
		if e.Added {
			s.addPart(e.StoredPart)
		}
	}
	for _, e := range events {
		c.changeCount++
		s.changeLog = append(s.changeLog, change{Event: e, number: c.changeCount})
	}
	if excess := len(s.changeLog) - maxLogEntries; excess > 0 {
		s.logStart = s.changeLog[excess-1].number
		s.changeLog = append([]change(nil), s.changeLog[excess:]...)
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

// RecordEvents records events of a store. It returns false if events were missed,
// so that the store must be listed.
func (c *Catalog) RecordEvents(address string, e Events, began time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.stores[address]
	if !ok {
		return false
	}
	c.recordClock(e.ClockMs)
	if e.Epoch != s.epoch || e.EventsLost {
		c.recordEpoch(s, e.Epoch)
		return false
	}
	c.applyEvents(s, e.Events)
	c.recordPoll(s, began)
	s.pollSince = e.Next
	return true
}

// Since returns the event number after which the next poll of a store continues;
// false if the store must be listed first.
func (c *Catalog) Since(address string) (uint64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.stores[address]
	if !ok || s.lastPoll == 0 {
		return 0, false
	}
	return s.pollSince, true
}

// recordEpoch drops the recorded contents of a store that has restarted.
func (c *Catalog) recordEpoch(s *store, epoch uint64) {
	if s.epoch == epoch {
		return
	}
	// A host that has just started cannot know whether the store has restarted,
	// too.
	s.savesFrom = c.now() + restartHold
	if s.epoch != 0 {
		c.log.Info("store restarted", zap.String("store", s.name), zap.Uint64("epoch", epoch), zap.Uint64("before", s.epoch), zap.Int("parts", len(s.parts)))
	}
	s.epoch, s.lastPoll = epoch, 0
	s.parts, s.usedTokens, s.pendingSaves = map[Key]int{}, 0, map[Key]time.Duration{}
	c.changeCount++
	s.changeLog, s.logStart = nil, c.changeCount
}

// recordClock updates the offset of the targets' clock. The transfer of a response
// makes the measured offset too small, so larger measurements are taken at once and
// smaller ones gradually.
func (c *Catalog) recordClock(ms int64) {
	if ms == 0 {
		return
	}
	offset := ms - c.now().Milliseconds()
	if !c.hasOffset || offset > c.offset {
		c.offset, c.hasOffset = offset, true
		return
	}
	c.offset -= min((c.offset-offset)/8, 5)
}

// StoreStat describes a store for the state dump.
type StoreStat struct {
	Name  string `json:"name"`
	Epoch uint64 `json:"epoch"`
	Parts int    `json:"parts"`
	// UsedTokens is the number of tokens stored, Tokens the capacity.
	UsedTokens int `json:"used"`
	Tokens     int `json:"tokens"`
	// Slowdown is how many times longer than expected fetches take.
	Slowdown float64 `json:"pace"`
	// AgeMs is the time since the start of the last successful poll; -1 if there
	// was none.
	AgeMs int64 `json:"age"`
}

// Stats returns a description of each store.
func (c *Catalog) Stats() []StoreStat {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.snapshot()
	out := make([]StoreStat, 0, len(c.ordered))
	for _, s := range c.ordered {
		stat := StoreStat{Name: s.name, Epoch: s.epoch, Parts: len(s.parts), UsedTokens: s.usedTokens, Tokens: s.CapacityTokens, Slowdown: m.slowdown(s), AgeMs: -1}
		if s.lastPoll != 0 {
			stat.AgeMs = (m.now - s.lastPoll).Milliseconds()
		}
		out = append(out, stat)
	}
	return out
}

// fresh reports whether the state of a store is recent enough to be used.
func (s *store) fresh(now time.Duration) bool {
	return s.lastPoll != 0 && now-s.lastPoll <= maxStateAge
}

func (s *store) addPart(h StoredPart) {
	if _, ok := s.parts[h.Key]; !ok {
		s.usedTokens += h.Tokens
	}
	s.parts[h.Key] = h.Tokens
	delete(s.pendingSaves, h.Key)
}

func (s *store) removePart(k Key) {
	s.usedTokens -= s.parts[k]
	delete(s.parts, k)
}
