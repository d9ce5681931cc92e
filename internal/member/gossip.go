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
	// roundInterval is the time between two rounds of heartbeats.
	roundInterval = time.Second
	// callTimeout is longer than the round trip between the farthest regions and shorter
	// than a round.
	callTimeout = 500 * time.Millisecond
	// probeRelays is the number of hosts that are requested to probe a host that did not
	// answer, so that a broken path between two hosts makes neither suspect.
	probeRelays = 2
	// leaveFanout is the number of hosts that a leaving host notifies at once.
	leaveFanout = 8
	// roundsPerSync is the number of rounds between two comparisons of the table
	// with a random peer: 23 KB a minute at 330 members if they differ.
	roundsPerSync = 60
	// minSyncInterval is the minimum time between two table syncs with recovered hosts.
	minSyncInterval = 5 * time.Second
	// updateReserveBytes is reserved in a heartbeat for at least five member records.
	updateReserveBytes = 640
	// MaxExtensionBytes bounds the sum of all budgets of extensions.
	MaxExtensionBytes = MaxHeartbeatBytes - updateReserveBytes - 256
)

// Caller sends membership messages; Client implements it.
type Caller interface {
	Heartbeat(ctx context.Context, address string, h *Heartbeat) (*Heartbeat, error)
	Probe(ctx context.Context, address string, r *ProbeRequest) (*ProbeReply, error)
	Sync(ctx context.Context, address string, r *SyncRequest) (*SyncReply, error)
}

// Extension is data that another package attaches to heartbeats.
type Extension struct {
	// Name identifies the part; it is sent, so it is short.
	Name string
	// Budget is the largest size of the encoded part in bytes.
	Budget int
	// Replies is true if the part is also sent in replies.
	Replies bool
	// Build returns the part for a host as Encode encodes it, or nil to send
	// none. A larger part than the budget is dropped and counted.
	Build func(to Member, budget int) []byte
	// Take receives the part of another host; an error is counted in Stats.Rejected.
	Take func(from Member, data []byte) error
}

// Stats holds the counters of a Gossip.
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

	mu       sync.Mutex
	table    *Table
	random   *rand.Rand
	rounds   int
	lastSync time.Time
	stats    Stats
}

// Option configures a Gossip.
type Option func(*Gossip)

// WithClock replaces the clock.
func WithClock(now func() time.Time) Option { return func(g *Gossip) { g.now = now } }

// WithExtensions attaches extensions to heartbeats.
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
	budget, seen := 0, map[string]bool{}
	for _, e := range g.extensions {
		if e.Name == "" || seen[e.Name] || e.Budget <= 0 {
			return nil, fmt.Errorf("extension %q needs a unique name and a budget", e.Name)
		}
		seen[e.Name] = true
		budget += e.Budget + len(e.Name) + 4
	}
	if budget > MaxExtensionBytes || len(g.extensions) > maxExtensions {
		return nil, fmt.Errorf("%d extensions have budgets of %d bytes; reduce them to %d and %d bytes",
			len(g.extensions), budget, maxExtensions, MaxExtensionBytes)
	}
	return g, nil
}

// Run sends a round of heartbeats each second until ctx is done.
func (g *Gossip) Run(ctx context.Context) error {
	for {
		g.Round(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(g.jitter(roundInterval)):
		}
	}
}

// Round sends heartbeats to a few hosts and waits for the replies.
func (g *Gossip) Round(ctx context.Context) {
	g.mu.Lock()
	g.notify(g.table.Tick(g.now()))
	targets := g.table.Targets(g.now(), g.random)
	g.rounds++
	// A new host first fetches the table of another host. It repeats this at growing
	// intervals, because the other host may be as new as itself.
	starting := g.rounds < roundsPerSync && g.rounds&(g.rounds-1) == 0
	syncDue := g.lastSync.IsZero() || starting || g.rounds%roundsPerSync == 0
	g.mu.Unlock()
	if syncDue {
		g.syncWithPeer(ctx)
	}
	g.sendHeartbeats(ctx, targets)
}

// Leave marks this host as leaving and notifies leaveFanout hosts at once.
func (g *Gossip) Leave(ctx context.Context) {
	g.mu.Lock()
	g.table.Leave()
	targets := g.table.Relays(g.table.self, leaveFanout, g.random)
	g.mu.Unlock()
	g.sendHeartbeats(ctx, targets)
}

// syncWithPeer fetches the table of a random live host, or of a listed host while no
// other is known.
func (g *Gossip) syncWithPeer(ctx context.Context) {
	g.mu.Lock()
	targets := g.table.Targets(g.now(), g.random)
	g.mu.Unlock()
	for _, m := range targets {
		if g.sync(ctx, m.Address) == nil {
			g.mu.Lock()
			g.lastSync = g.now()
			g.mu.Unlock()
			return
		}
	}
}

// allowSync limits how often this host fetches a table while a partition heals.
func (g *Gossip) allowSync() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now := g.now(); now.Sub(g.lastSync) >= minSyncInterval {
		g.lastSync = now
		return true
	}
	return false
}

// Seed replaces the hosts of the platform's list.
func (g *Gossip) Seed(hosts []table.ListedHost) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Seed(hosts)
}

// SetRevision sets the revision that this host has in force.
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

// Others returns the number of other hosts that are live or only in the platform's
// list.
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
	g.receive(h)
	return g.buildHeartbeat(h.From, true), nil
}

// Probe contacts a host on behalf of another one.
func (g *Gossip) Probe(ctx context.Context, r *ProbeRequest) (*ProbeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := g.caller.Heartbeat(ctx, r.Member.Address, g.buildHeartbeat(r.Member, false))
	if err != nil || reply.From.Name != r.Member.Name {
		return &ProbeReply{}, nil
	}
	g.receive(reply)
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
	remainingBytes := MaxMessageBytes - 64
	for _, m := range g.table.Live() {
		if m.Name <= r.After {
			continue
		}
		if remainingBytes -= encodedSize(m); remainingBytes < 0 {
			reply.More = true
			break
		}
		reply.Members = append(reply.Members, m)
	}
	return reply, nil
}

func (g *Gossip) sendHeartbeats(ctx context.Context, targets []Member) {
	var wg sync.WaitGroup
	for _, m := range targets {
		wg.Go(func() { g.sendHeartbeat(ctx, m) })
	}
	wg.Wait()
}

// sendHeartbeat sends one heartbeat. If there is no answer, it requests probes by
// other hosts.
func (g *Gossip) sendHeartbeat(ctx context.Context, m Member) {
	start := g.now()
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	call, stop := context.WithTimeout(ctx, callTimeout)
	reply, err := g.caller.Heartbeat(call, m.Address, g.buildHeartbeat(m, false))
	stop()
	g.updateStats(func(s *Stats) { s.Sent++ })
	if err == nil && reply.From.Name == m.Name {
		if g.receive(reply) && g.allowSync() {
			// The sender was dead or unknown here, so other records may be missing, too.
			_ = g.sync(ctx, m.Address)
		}
		return
	}
	g.updateStats(func(s *Stats) { s.Failed++ })
	// A host that is only in the platform's list has no incarnation. A call that took
	// longer than its timeout means that this process was paused, not that m failed.
	if m.State != Alive || m.Incarnation == 0 || g.reachedByOthers(ctx, m) || g.now().Sub(start) > pauseThreshold {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.notify(g.table.Failed(m.Name, g.now()))
}

func (g *Gossip) reachedByOthers(ctx context.Context, m Member) bool {
	g.mu.Lock()
	hosts := g.table.Relays(m.Name, probeRelays, g.random)
	g.mu.Unlock()
	reached := make(chan bool, len(hosts))
	for _, h := range hosts {
		go func() {
			reply, err := g.caller.Probe(ctx, h.Address, &ProbeRequest{Member: m})
			if err == nil && reply.Reached {
				g.mu.Lock()
				g.notify(g.table.Merge(reply.Updates, g.now()))
				g.mu.Unlock()
			}
			reached <- err == nil && reply.Reached
		}()
	}
	anyReached := false
	for range hosts {
		anyReached = <-reached || anyReached
	}
	return anyReached
}

func (g *Gossip) sync(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
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
		g.notify(g.table.Merge(reply.Members, g.now()))
		g.mu.Unlock()
		if !reply.More || len(reply.Members) == 0 {
			return nil
		}
		r = &SyncRequest{After: reply.Members[len(reply.Members)-1].Name}
	}
}

// buildHeartbeat returns a heartbeat or a reply to one.
func (g *Gossip) buildHeartbeat(to Member, reply bool) *Heartbeat {
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

// receive processes a received heartbeat or reply. It reports whether the sender was
// unknown or dead before.
func (g *Gossip) receive(h *Heartbeat) bool {
	g.mu.Lock()
	before, known := g.table.Member(h.From.Name)
	g.notify(g.table.Merge(append([]Member{h.From}, h.Updates...), g.now()))
	g.mu.Unlock()
	for _, e := range g.extensions {
		if data, ok := h.Parts[e.Name]; ok {
			if err := e.Take(h.From, data); err != nil {
				g.updateStats(func(s *Stats) { s.Rejected++ })
			}
		}
	}
	return !known || before.State == Dead
}

// notify counts changes and calls onChange for each. The caller holds the lock.
func (g *Gossip) notify(changes []Change) {
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

func (g *Gossip) updateStats(f func(*Stats)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(&g.stats)
}

func (g *Gossip) jitter(d time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return d - d/10 + time.Duration(g.random.Int64N(int64(d/5)))
}
