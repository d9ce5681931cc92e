package member

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"sesamehill.example/sesamehill/internal/table"
)

const (
	// roundTime is the time between two rounds of heartbeats.
	roundTime = time.Second
	// callLimit is above the round trip between the farthest regions and below a
	// round.
	callLimit = 500 * time.Millisecond
	// relays is the number of hosts that are asked to contact one that did not
	// answer, so that a broken path between two hosts condemns neither.
	relays = 2
	// leaveFanout is the number of hosts that are told of a leaving host at once.
	leaveFanout = 8
	// syncRounds is the number of rounds between two comparisons of the table
	// with a random peer: 23 KB a minute at 330 members if they differ.
	syncRounds = 60
	// syncPause is the time between two tables taken from hosts that came back.
	syncPause = 5 * time.Second
	// updateReserve is room for at least five member records in a heartbeat.
	updateReserve = 640
	// MaxExtensionBytes bounds the sum of all budgets of extensions.
	MaxExtensionBytes = MaxHeartbeatBytes - updateReserve - 256
)

// Caller sends membership messages; Client implements it.
type Caller interface {
	Heartbeat(ctx context.Context, address string, h *Heartbeat) (*Heartbeat, error)
	Probe(ctx context.Context, address string, r *ProbeRequest) (*ProbeReply, error)
	Sync(ctx context.Context, address string, r *SyncRequest) (*SyncReply, error)
}

// Extension is a part of heartbeats that another package attaches.
type Extension struct {
	// Name identifies the part; it is sent, so it is short.
	Name string
	// Budget is the largest size of the encoded part in bytes.
	Budget int
	// Replies tells that the part is sent in replies too.
	Replies bool
	// Build returns the part for a host as Encode encodes it, or nil to send
	// none. A larger part than the budget is dropped and counted.
	Build func(to Member, budget int) []byte
	// Take takes the part of another host; an error is counted.
	Take func(from Member, data []byte) error
}

// Stats counts what a Gossip has done.
type Stats struct {
	Sent, Failed, Suspicions, Deaths uint64
	// Oversized counts parts above their budget, Rejected those that Take
	// returned an error for.
	Oversized, Rejected uint64
}

// Gossip sends and answers heartbeats. It is safe for concurrent use.
type Gossip struct {
	caller     Caller
	extensions []Extension
	onChange   func(Change)
	now        func() time.Time

	mu     sync.Mutex
	table  *Table
	random *rand.Rand
	rounds int
	synced time.Time
	stats  Stats
}

// Option configures a Gossip.
type Option func(*Gossip)

// WithClock replaces the clock.
func WithClock(now func() time.Time) Option { return func(g *Gossip) { g.now = now } }

// WithExtensions attaches parts to heartbeats.
func WithExtensions(e ...Extension) Option {
	return func(g *Gossip) { g.extensions = append(g.extensions, e...) }
}

// WithOnChange calls f for each change of membership. f must not call the Gossip.
func WithOnChange(f func(Change)) Option { return func(g *Gossip) { g.onChange = f } }

// WithRandom replaces the source of random numbers.
func WithRandom(r *rand.Rand) Option { return func(g *Gossip) { g.random = r } }

// NewGossip returns a Gossip that owns the table.
func NewGossip(t *Table, c Caller, options ...Option) (*Gossip, error) {
	g := &Gossip{
		table: t, caller: c, now: time.Now, onChange: func(Change) {},
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	for _, o := range options {
		o(g)
	}
	if err := t.Self().Check(); err != nil {
		return nil, errors.Trace(err)
	}
	sum, seen := 0, map[string]bool{}
	for _, e := range g.extensions {
		if e.Name == "" || seen[e.Name] || e.Budget <= 0 {
			return nil, fmt.Errorf("extension %q needs a unique name and a budget", e.Name)
		}
		seen[e.Name] = true
		sum += e.Budget + len(e.Name) + 4
	}
	if sum > MaxExtensionBytes || len(g.extensions) > maxParts {
		return nil, fmt.Errorf("%d extensions have budgets of %d bytes; reduce them to %d and %d bytes",
			len(g.extensions), sum, maxParts, MaxExtensionBytes)
	}
	return g, nil
}

// Run sends a round of heartbeats each second until ctx ends.
func (g *Gossip) Run(ctx context.Context) error {
	for {
		g.Round(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(g.jitter(roundTime)):
		}
	}
}

// Round sends heartbeats to a few hosts and waits for the replies.
func (g *Gossip) Round(ctx context.Context) {
	g.mu.Lock()
	g.report(g.table.Tick(g.now()))
	targets := g.table.Targets(g.now(), g.random)
	g.rounds++
	// A new host needs the table of another one first. It repeats that with
	// growing pauses, because others may be as new as itself.
	young := g.rounds < syncRounds && g.rounds&(g.rounds-1) == 0
	resync := g.synced.IsZero() || young || g.rounds%syncRounds == 0
	g.mu.Unlock()
	if resync {
		g.resync(ctx)
	}
	g.beatAll(ctx, targets)
}

// Leave marks this host as leaving and tells several hosts at once.
func (g *Gossip) Leave(ctx context.Context) {
	g.mu.Lock()
	g.table.Leave()
	targets := g.table.Relays(g.table.self, leaveFanout, g.random)
	g.mu.Unlock()
	g.beatAll(ctx, targets)
}

// resync takes the table of a random live host, or of a listed one while no other
// is known.
func (g *Gossip) resync(ctx context.Context) {
	g.mu.Lock()
	targets := g.table.Targets(g.now(), g.random)
	g.mu.Unlock()
	for _, m := range targets {
		if g.sync(ctx, m.Address) == nil {
			g.mu.Lock()
			g.synced = g.now()
			g.mu.Unlock()
			return
		}
	}
}

// maySync bounds how often a table is taken while a partition heals.
func (g *Gossip) maySync() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now := g.now(); now.Sub(g.synced) >= syncPause {
		g.synced = now
		return true
	}
	return false
}

// Seed takes the hosts of the platform's list.
func (g *Gossip) Seed(hosts []table.ListedHost) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Seed(hosts)
}

// SetRevision states the revision that this host has in force.
func (g *Gossip) SetRevision(revision uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.SetRevision(revision)
}

// Self returns this host's record.
func (g *Gossip) Self() Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Self()
}

// Members returns all records in order of name, dead ones included.
func (g *Gossip) Members() []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Members()
}

// Live returns the records of all hosts that are not dead, in order of name.
func (g *Gossip) Live() []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Live()
}

// Others returns the number of other hosts that live or are only listed.
func (g *Gossip) Others() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Others()
}

// Stats returns the counters.
func (g *Gossip) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stats
}

// Heartbeat answers another host's heartbeat.
func (g *Gossip) Heartbeat(_ context.Context, h *Heartbeat) (*Heartbeat, error) {
	g.take(h)
	return g.build(h.From, true), nil
}

// Probe contacts a host on behalf of another one.
func (g *Gossip) Probe(ctx context.Context, r *ProbeRequest) (*ProbeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	reply, err := g.caller.Heartbeat(ctx, r.Member.Address, g.build(r.Member, false))
	if err != nil || reply.From.Name != r.Member.Name {
		return &ProbeReply{}, nil
	}
	g.take(reply)
	return &ProbeReply{Reached: true, Updates: []Member{reply.From}}, nil
}

// Sync returns this host's records of live hosts.
func (g *Gossip) Sync(_ context.Context, r *SyncRequest) (*SyncReply, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	reply := &SyncReply{}
	if r.After == "" && r.Digest == g.table.Digest() {
		return reply, nil
	}
	room := MaxMessageBytes - 64
	for _, m := range g.table.Live() {
		if m.Name <= r.After {
			continue
		}
		if room -= encodedSize(m); room < 0 {
			reply.More = true
			break
		}
		reply.Members = append(reply.Members, m)
	}
	return reply, nil
}

func (g *Gossip) beatAll(ctx context.Context, targets []Member) {
	var wg sync.WaitGroup
	for _, m := range targets {
		wg.Go(func() { g.beat(ctx, m) })
	}
	wg.Wait()
}

// beat sends one heartbeat. It asks other hosts to try if there is no answer.
func (g *Gossip) beat(ctx context.Context, m Member) {
	start := g.now()
	ctx, cancel := context.WithTimeout(ctx, 2*callLimit)
	defer cancel()
	call, stop := context.WithTimeout(ctx, callLimit)
	reply, err := g.caller.Heartbeat(call, m.Address, g.build(m, false))
	stop()
	g.count(func(s *Stats) { s.Sent++ })
	if err == nil && reply.From.Name == m.Name {
		if g.take(reply) && g.maySync() {
			// The host was dead or unknown here, so this host may lack others too.
			_ = g.sync(ctx, m.Address)
		}
		return
	}
	g.count(func(s *Stats) { s.Failed++ })
	// A host that only the list names has no incarnation. A call that took longer
	// than its limit tells that this process was paused, not that m is gone.
	if m.State != Alive || m.Incarnation == 0 || g.reachedByOthers(ctx, m) || g.now().Sub(start) > pauseLimit {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.report(g.table.Failed(m.Name, g.now()))
}

func (g *Gossip) reachedByOthers(ctx context.Context, m Member) bool {
	g.mu.Lock()
	hosts := g.table.Relays(m.Name, relays, g.random)
	g.mu.Unlock()
	reached := make(chan bool, len(hosts))
	for _, h := range hosts {
		go func() {
			reply, err := g.caller.Probe(ctx, h.Address, &ProbeRequest{Member: m})
			if err == nil && reply.Reached {
				g.mu.Lock()
				g.report(g.table.Merge(reply.Updates, g.now()))
				g.mu.Unlock()
			}
			reached <- err == nil && reply.Reached
		}()
	}
	any := false
	for range hosts {
		any = <-reached || any
	}
	return any
}

func (g *Gossip) sync(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, 2*callLimit)
	defer cancel()
	g.mu.Lock()
	r := &SyncRequest{Digest: g.table.Digest()}
	g.mu.Unlock()
	for {
		reply, err := g.caller.Sync(ctx, address, r)
		if err != nil {
			return errors.Trace(err)
		}
		g.mu.Lock()
		g.report(g.table.Merge(reply.Members, g.now()))
		g.mu.Unlock()
		if !reply.More || len(reply.Members) == 0 {
			return nil
		}
		r = &SyncRequest{After: reply.Members[len(reply.Members)-1].Name}
	}
}

// build returns a heartbeat or a reply to one.
func (g *Gossip) build(to Member, reply bool) *Heartbeat {
	h := &Heartbeat{Parts: map[string]cbor.RawMessage{}}
	var oversized uint64
	for _, e := range g.extensions {
		if reply && !e.Replies {
			continue
		}
		switch part := e.Build(to, e.Budget); {
		case len(part) > e.Budget:
			oversized++
		case len(part) > 0:
			h.Parts[e.Name] = part
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stats.Oversized += oversized
	h.From = g.table.Self()
	// Three bytes are the header of the list of updates.
	h.Updates = g.table.Updates(to, MaxHeartbeatBytes-encodedSize(h)-3)
	return h
}

// take takes a heartbeat or a reply. It reports whether the sender was unknown
// or dead before.
func (g *Gossip) take(h *Heartbeat) bool {
	g.mu.Lock()
	before, known := g.table.Member(h.From.Name)
	g.report(g.table.Merge(append([]Member{h.From}, h.Updates...), g.now()))
	g.mu.Unlock()
	for _, e := range g.extensions {
		if data, ok := h.Parts[e.Name]; ok {
			if err := e.Take(h.From, data); err != nil {
				g.count(func(s *Stats) { s.Rejected++ })
			}
		}
	}
	return !known || before.State == Dead
}

// report counts and passes on changes. The caller holds the lock.
func (g *Gossip) report(changes []Change) {
	for _, c := range changes {
		switch c.(type) {
		case Suspected:
			g.stats.Suspicions++
		case Died:
			g.stats.Deaths++
		}
		g.onChange(c)
	}
}

func (g *Gossip) count(f func(*Stats)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(&g.stats)
}

func (g *Gossip) jitter(d time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return d - d/10 + time.Duration(g.random.Int64N(int64(d/5)))
}
