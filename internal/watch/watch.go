package watch

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"sesamehill.example/sesamehill/internal/member"
	"sesamehill.example/sesamehill/internal/table"
	"sesamehill.example/sesamehill/pkg/config"
)

const (
	// pollInterval is the time between two reads of the head. At 330 hosts this makes 165
	// of the 2,000 reads per second that the platform serves.
	pollInterval = 2 * time.Second
	// readTimeout bounds one poll, so that a slow platform does not delay the
	// handling of heads from other hosts.
	readTimeout = 1500 * time.Millisecond
	// fetchTimeout bounds one attempt to complete a revision.
	fetchTimeout = 10 * time.Second
	// repairSpread is the time over which hosts spread a repair; the first repair
	// makes the others unnecessary.
	repairSpread = 4 * time.Second
	// headBudget is the size of the largest encoded Head in bytes.
	headBudget    = 220
	extensionName = "doc"
)

// SectionCaller requests sections from other hosts; member.Client implements it.
type SectionCaller interface {
	Section(ctx context.Context, address string, r *member.SectionRequest) (*member.SectionReply, error)
}

// Members lists the known hosts; member.Gossip implements it.
type Members interface {
	// Live returns the members that are not dead, this host included.
	Live() []member.Member
	// Others returns the number of other hosts that are live or listed.
	Others() int
}

// Revision is a revision of the configuration document that is or was in force. It
// is immutable.
type Revision struct {
	Head     Head
	Document *config.Document
	sections config.Sections
}

// Stats holds the counters of a Watch.
type Stats struct {
	Polls, PollFailures, Enforced, Repairs, Ignored, Diverged uint64
	// FromPeers and FromPlatform count fetched sections, Bytes their size.
	FromPeers, FromPlatform, Bytes uint64
	// Divergence is the last divergence, or nil.
	Divergence *Diverge
}

// Watch keeps the newest revision in force. It is safe for concurrent use.
type Watch struct {
	rows     table.Table
	objects  table.Objects
	caller   SectionCaller
	members  Members
	onChange func(*Revision)
	now      func() time.Time

	current atomic.Pointer[Revision]
	wake    chan struct{}
	// stepMu serializes Step; mu protects the fields below.
	stepMu    sync.Mutex
	mu        sync.Mutex
	started   time.Time
	platform  *PlatformHead
	peerHeads map[string]Head
	staged    *config.Sections
	repairAt  time.Time
	stats     Stats
}

// Option configures a Watch.
type Option func(*Watch)

// WithClock replaces the clock.
func WithClock(now func() time.Time) Option { return func(w *Watch) { w.now = now } }

// WithOnChange calls f, in order of revisions, after each one is put in force.
func WithOnChange(f func(*Revision)) Option { return func(w *Watch) { w.onChange = f } }

// New returns a Watch with nothing in force.
func New(rows table.Table, objects table.Objects, caller SectionCaller, options ...Option) *Watch {
	w := &Watch{
		rows: rows, objects: objects, caller: caller, members: noMembers{}, now: time.Now, onChange: func(*Revision) {},
		wake: make(chan struct{}, 1), peerHeads: map[string]Head{},
	}
	for _, option := range options {
		option(w)
	}
	w.started = w.now()
	return w
}

// Follow sets the members whose heads are compared and whose sections are fetched.
// Call it before Run and after the members were seeded with the platform's list: a
// host that knows no other host puts the platform's head in force at once.
func (w *Watch) Follow(m Members) { w.members = m }

// Current returns the revision in force, or nil.
func (w *Watch) Current() *Revision { return w.current.Load() }

// Ready reports whether a revision is in force.
func (w *Watch) Ready() bool { return w.Current() != nil }

// Stats returns the counters.
func (w *Watch) Stats() Stats {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stats
}

// Run polls the head every 2 s and acts on it and on the heads of other
// hosts, until ctx is done.
func (w *Watch) Run(ctx context.Context) error {
	w.Poll(ctx)
	next := time.NewTimer(withJitter(pollInterval))
	defer next.Stop()
	for {
		w.Step(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-w.wake:
		case <-next.C:
			w.Poll(ctx)
			next.Reset(withJitter(pollInterval))
		}
	}
}

// Poll reads the platform's head.
func (w *Watch) Poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	head, err := w.readHead(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stats.Polls++
	if w.platform = head; err != nil {
		w.platform = nil
		w.stats.PollFailures++
	}
}

// Step runs Decide and its actions until none is left or an action fails.
func (w *Watch) Step(ctx context.Context) {
	w.stepMu.Lock()
	defer w.stepMu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	for progressed := true; progressed && ctx.Err() == nil; {
		progressed = false
		for _, a := range Decide(w.view()) {
			switch a := a.(type) {
			case Wait:
			case Fetch:
				progressed = w.fetchSections(ctx, a.Head) == nil
			case Enforce:
				progressed = w.enforceStaged(a.Head) == nil
			case Repair:
				w.tryRepair(ctx, a)
			case Ignore:
				w.updateStats(func(s *Stats) { s.Ignored++ })
			case Diverge:
				w.updateStats(func(s *Stats) { s.Diverged++; s.Divergence = &a })
			}
		}
	}
}

// Extension returns the heartbeat extension that publishes the head in force on this
// host.
func (w *Watch) Extension() member.Extension {
	return member.Extension{
		Name: extensionName, Budget: headBudget, Replies: true,
		Build: func(member.Member, int) []byte {
			b, _ := member.Encode(w.head())
			return b
		},
		Take: func(from member.Member, data []byte) error {
			var h Head
			if err := member.Decode(data, &h); err != nil {
				return errors.Trace(err)
			}
			w.Hear(from.Name, h)
			return nil
		},
	}
}

// Hear records the head that another host has in force.
func (w *Watch) Hear(host string, h Head) {
	w.mu.Lock()
	_, known := w.peerHeads[host]
	w.peerHeads[host] = h
	w.mu.Unlock()
	current := w.Current()
	if current == nil && !known || h.Revision > w.head().Revision {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
}

// Section returns sections of the revision in force, or of one that is being
// fetched.
func (w *Watch) Section(_ context.Context, r *member.SectionRequest) (*member.SectionReply, error) {
	reply := &member.SectionReply{}
	w.mu.Lock()
	defer w.mu.Unlock()
	current := w.Current()
	for _, h := range r.Hashes {
		var data []byte
		if w.staged != nil {
			data = w.staged.Objects[h]
		}
		if data == nil && current != nil {
			data = current.sections.Objects[h]
		}
		if data != nil && !reply.Add(data) {
			break
		}
	}
	return reply, nil
}

func (w *Watch) head() Head {
	if r := w.Current(); r != nil {
		return r.Head
	}
	return Head{}
}

// view returns the input of Decide. It removes the heads of hosts that are no longer
// live.
func (w *Watch) view() View {
	members, others := w.members.Live(), w.members.Others()
	w.mu.Lock()
	defer w.mu.Unlock()
	v := View{
		InForce: w.head(), Platform: w.platform, Peers: map[string]Head{}, Others: others, SinceStart: w.now().Sub(w.started),
	}
	for _, m := range members {
		if h, ok := w.peerHeads[m.Name]; ok {
			v.Peers[m.Name] = h
		}
	}
	w.peerHeads = make(map[string]Head, len(v.Peers))
	for name, h := range v.Peers {
		w.peerHeads[name] = h
	}
	if w.staged != nil {
		if missing, err := w.staged.Missing(); err == nil && len(missing) == 0 {
			v.CompleteRoot = w.staged.Root
		}
	}
	return v
}

// enforceStaged puts the staged revision in force.
func (w *Watch) enforceStaged(h Head) error {
	w.mu.Lock()
	staged := w.staged
	w.mu.Unlock()
	document, err := config.Join(*staged)
	if err != nil {
		w.mu.Lock()
		w.staged = nil
		w.mu.Unlock()
		return errors.Trace(err)
	}
	w.enforce(&Revision{Head: h, Document: document, sections: staged.Reachable()})
	return nil
}

// enforce puts a revision in force unless the same or a newer one is. The caller
// holds stepMu.
func (w *Watch) enforce(r *Revision) {
	if r.Head.Revision <= w.head().Revision {
		return
	}
	w.mu.Lock()
	w.staged = nil
	w.stats.Enforced++
	w.current.Store(r)
	if w.platform != nil && w.platform.Revision < r.Head.Revision {
		// This head was read before the change; only a new read can show that the
		// platform has a lower one.
		w.platform = nil
	}
	w.mu.Unlock()
	w.onChange(r)
}

func (w *Watch) readHead(ctx context.Context) (*PlatformHead, error) {
	rows, err := w.rows.Read(ctx, headKey)
	if err != nil {
		return nil, errors.Trace(err)
	}
	h, err := decodeHead(rows[0].Value, rows[0].Version)
	return &PlatformHead{Head: h, RowVersion: rows[0].Version}, errors.Trace(err)
}

func (w *Watch) updateStats(f func(*Stats)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(&w.stats)
}

type noMembers struct{}

func (noMembers) Live() []member.Member { return nil }
func (noMembers) Others() int           { return 0 }

func withJitter(d time.Duration) time.Duration {
	return d - d/5 + rand.N(2*d/5)
}
