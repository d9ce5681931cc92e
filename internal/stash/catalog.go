package stash

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"
	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/site"
	"sesamehill.example/sesamehill/internal/wire"
)

const (
	// belief is how long a store's state is believed after a poll began.
	belief = 1600 * time.Millisecond
	// settle is how long a store takes nothing after a restart was noticed. It
	// exceeds belief and FetchLimit together, so that no host still fetches what
	// is being written again.
	settle = belief + FetchLimit + 500*time.Millisecond
	// saveMemory is how long a save that was asked for is not asked for again.
	saveMemory = 2 * time.Second
	// residentMemory is how long an engine is expected to keep what it was sent.
	residentMemory = 4 * time.Second
	maxSends       = 1 << 15
	// maxLog bounds the events of a store that are kept for other hosts.
	maxLog = 2048
	// fullShare is the share of a store's capacity up to which parts are saved.
	fullShare = 0.97
	// copyShare is the same for parts that a store of another region holds. A copy
	// saves less than the first one, which needs the room more.
	copyShare = 0.6
)

// FetchLimit is how long a fetch may take from the time at which it is sent.
const FetchLimit = 1500 * time.Millisecond

// Key names a part within a scope.
type Key struct {
	Scope string `cbor:"1,keyasint"`
	Part  string `cbor:"2,keyasint"`
}

// Held is a complete part.
type Held struct {
	Key
	Tokens int `cbor:"3,keyasint"`
}

// Listing is everything that a store holds.
type Listing struct {
	Epoch uint64
	Next  uint64
	Held  []Held
	// Clock is the targets' clock in milliseconds; zero if it is not stated.
	Clock int64
}

// Event says that a part became complete or was dropped.
type Event struct {
	Held
	Added bool `cbor:"4,keyasint"`
}

// Events are what happened at a store since a number.
type Events struct {
	Epoch  uint64
	Next   uint64
	Lost   bool
	Events []Event
	Clock  int64
}

// store is what is known about one store.
type store struct {
	site.Store
	name  string
	epoch uint64
	next  uint64
	// heard is the boot time at which the last answered poll began; open is the
	// boot time from which parts are saved.
	heard, open time.Duration
	held        map[Key]int
	used        int
	pace        pace
	// log holds all changes with a number above since. The numbers are this
	// catalog's own and count the changes of all stores.
	log   []change
	since uint64
	// saving holds parts whose save was asked for, with the time.
	saving map[Key]time.Duration
}

// change is an event with its number.
type change struct {
	Event
	number uint64
}

// Option changes a default of NewCatalog.
type Option func(*Catalog)

// WithClock sets the boot clock.
func WithClock(now func() time.Duration) Option { return func(c *Catalog) { c.now = now } }

// WithUse sets a function that says whether state of a weight version may be
// fetched and saved.
func WithUse(f func(model string, version int) (fetch, save bool)) Option {
	return func(c *Catalog) { c.use = f }
}

// WithLog sets the log of changes of belief.
func WithLog(l *zap.Logger) Option { return func(c *Catalog) { c.log = l } }

// Catalog is what a host knows about the stores. It is safe for concurrent use.
type Catalog struct {
	mu      sync.Mutex
	now     func() time.Duration
	log     *zap.Logger
	use     func(model string, version int) (fetch, save bool)
	regions map[string]string
	stores  map[string]*store
	order   []*store
	// offset is the targets' clock less the boot clock, in milliseconds.
	offset    int64
	hasOffset bool
	// sends holds when a subject was last sent to a target.
	sends *lru.LRU[sendKey, time.Duration]
	// asked holds the parts that prompts had lately.
	asked  *lru.LRU[Key, struct{}]
	engine engineRates
	// source tells the numbers of this catalog from those of another one, changes is
	// the last number, and learned is how far this catalog follows another.
	source  uint64
	changes uint64
	learned Cursor
	// changed is closed at the next change of what the stores hold.
	changed chan struct{}
}

type sendKey struct{ target, scope, part string }

type engineRates struct {
	tokenBytes int
	linkMbps   float64
}

// NewCatalog returns a catalog without stores; regions maps zones to regions.
func NewCatalog(regions map[string]string, opts ...Option) *Catalog {
	sends, err := lru.NewLRU[sendKey, time.Duration](maxSends, nil)
	if err != nil {
		panic(err) // the size is positive
	}
	asked, err := lru.NewLRU[Key, struct{}](maxSends, nil)
	if err != nil {
		panic(err) // the size is positive
	}
	c := &Catalog{
		asked: asked,
		now:   wire.Boot, log: zap.NewNop(), use: always, regions: regions, stores: map[string]*store{}, sends: sends,
		changed: make(chan struct{}), source: rand.Uint64(),
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

func always(string, int) (fetch, save bool) { return true, true }

// Describe sets the stores of a site and returns their addresses.
func (c *Catalog) Describe(s *site.Site) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := map[string]bool{}
	for _, v := range s.Services {
		if v.Engine != nil {
			c.engine = engineRates{tokenBytes: v.Engine.TokenBytes, linkMbps: v.Engine.LinkMbps}
		}
		if v.Store == nil || !v.Store.Managed {
			continue
		}
		known[v.Store.Address] = true
		if old, ok := c.stores[v.Store.Address]; ok {
			old.Store, old.name = *v.Store, v.Name
			continue
		}
		c.stores[v.Store.Address] = &store{
			Store: *v.Store, name: v.Name, held: map[Key]int{}, saving: map[Key]time.Duration{},
		}
		c.learned = Cursor{} // what another host knows of the store came too early
	}
	for address := range c.stores {
		if !known[address] {
			delete(c.stores, address)
		}
	}
	return c.sorted()
}

func (c *Catalog) sorted() []string {
	addresses := make([]string, 0, len(c.stores))
	for a := range c.stores {
		addresses = append(addresses, a)
	}
	slices.Sort(addresses)
	c.order = c.order[:0]
	for _, a := range addresses {
		c.order = append(c.order, c.stores[a])
	}
	return addresses
}

// Listed replaces what is known about a store. Began is the boot time at which
// the call began.
func (c *Catalog) Listed(address string, l Listing, began time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.stores[address]
	if !ok {
		return
	}
	c.clock(l.Clock)
	c.epoch(s, l.Epoch)
	c.apply(s, s.difference(l.Held))
	c.hear(s, began)
	s.next = l.Next
}

// hear notes when a store was heard. Hosts that follow this catalog get a store
// whole that was not known for a time.
func (c *Catalog) hear(s *store, at time.Duration) {
	if s.heard == 0 {
		c.changes++
		s.log, s.since = nil, c.changes
	}
	s.heard = max(s.heard, at)
}

// difference returns the changes from what is known to what a list says.
func (s *store) difference(listed []Held) []Event {
	var events []Event
	present := make(map[Key]bool, len(listed))
	for _, h := range listed {
		present[h.Key] = true
		if tokens, ok := s.held[h.Key]; !ok || tokens != h.Tokens {
			events = append(events, Event{Held: h, Added: true})
		}
	}
	for k, tokens := range s.held {
		if !present[k] {
			events = append(events, Event{Held: Held{Key: k, Tokens: tokens}})
		}
	}
	return events
}

// apply changes what a store is known to hold.
func (c *Catalog) apply(s *store, events []Event) {
	if len(events) == 0 {
		return
	}
	for _, e := range events {
		s.remove(e.Key)
		if e.Added {
			s.add(e.Held)
		}
	}
	for _, e := range events {
		c.changes++
		s.log = append(s.log, change{Event: e, number: c.changes})
	}
	if over := len(s.log) - maxLog; over > 0 {
		s.since = s.log[over-1].number
		s.log = append([]change(nil), s.log[over:]...)
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

// Heard adds events of a store. It returns false if the store must be listed.
func (c *Catalog) Heard(address string, e Events, began time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.stores[address]
	if !ok {
		return false
	}
	c.clock(e.Clock)
	if e.Epoch != s.epoch || e.Lost {
		c.epoch(s, e.Epoch)
		return false
	}
	c.apply(s, e.Events)
	c.hear(s, began)
	s.next = e.Next
	return true
}

// Since returns the number of the next event of a store; false if the store must
// be listed first.
func (c *Catalog) Since(address string) (uint64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.stores[address]
	if !ok || s.heard == 0 {
		return 0, false
	}
	return s.next, true
}

// epoch notes a restart of a store.
func (c *Catalog) epoch(s *store, epoch uint64) {
	if s.epoch == epoch {
		return
	}
	// A host that has just started does not know whether the store has, too.
	s.open = c.now() + settle
	if s.epoch != 0 {
		c.log.Info("store restarted", zap.String("store", s.name), zap.Uint64("epoch", epoch), zap.Uint64("before", s.epoch), zap.Int("parts", len(s.held)))
	}
	s.epoch, s.heard = epoch, 0
	s.held, s.used, s.saving = map[Key]int{}, 0, map[Key]time.Duration{}
	c.changes++
	s.log, s.since = nil, c.changes
}

// clock notes the targets' clock. An answer takes time, so that the offset is
// never too large.
func (c *Catalog) clock(ms int64) {
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

// Stat describes a store for the state dump.
type Stat struct {
	Name   string `json:"name"`
	Epoch  uint64 `json:"epoch"`
	Parts  int    `json:"parts"`
	Used   int    `json:"used"`
	Tokens int    `json:"tokens"`
	// Pace is how many times longer than expected fetches take.
	Pace float64 `json:"pace"`
	// Age is how long ago the store was heard, in milliseconds; -1 for never.
	Age int64 `json:"age"`
}

// Stats returns a description of each store.
func (c *Catalog) Stats() []Stat {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.moment()
	out := make([]Stat, 0, len(c.order))
	for _, s := range c.order {
		st := Stat{Name: s.name, Epoch: s.epoch, Parts: len(s.held), Used: s.used, Tokens: s.Tokens, Pace: m.pace(s), Age: -1}
		if s.heard != 0 {
			st.Age = (m.now - s.heard).Milliseconds()
		}
		out = append(out, st)
	}
	return out
}

// believed reports whether what is known about a store still counts.
func (s *store) believed(now time.Duration) bool { return s.heard != 0 && now-s.heard <= belief }

func (s *store) add(h Held) {
	if _, ok := s.held[h.Key]; !ok {
		s.used += h.Tokens
	}
	s.held[h.Key] = h.Tokens
	delete(s.saving, h.Key)
}

func (s *store) remove(k Key) {
	s.used -= s.held[k]
	delete(s.held, k)
}
