package watch

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rogpeppe/go-internal/txtar"

	"sesamehill.example/sesamehill/internal/member"
	"sesamehill.example/sesamehill/internal/table"
	"sesamehill.example/sesamehill/pkg/config"
)

func TestWatch(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "watch")
}

// platform is an in-memory table and object store with faults.
type platform struct {
	mu                 sync.Mutex
	rows, savedRows    map[string]table.Row
	objects, savedObjs map[string][]byte
	down, downObjects  bool
	frozen             bool // rejects writes
	lose, drop         int  // replies to lose, writes to drop
	reads, puts        int
}

func newPlatform() *platform {
	return &platform{rows: map[string]table.Row{}, objects: map[string][]byte{}}
}

func (p *platform) Read(_ context.Context, keys ...string) ([]table.Row, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	if p.down {
		return nil, &table.DownError{Reason: "test"}
	}
	out := make([]table.Row, len(keys))
	for i, k := range keys {
		out[i] = p.rows[k]
		out[i].Key = k
	}
	return out, nil
}

func (p *platform) Scan(_ context.Context, prefix, after string, limit int) ([]table.Row, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []table.Row
	for k, r := range p.rows {
		if strings.HasPrefix(k, prefix) && k > after {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b table.Row) int { return strings.Compare(a.Key, b.Key) })
	return out[:min(len(out), limit)], nil
}

func (p *platform) Write(_ context.Context, ops []table.Op) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down || p.frozen {
		return &table.DownError{Reason: "test"}
	}
	if p.drop > 0 {
		p.drop--
		return &table.UnknownOutcomeError{Reason: "dropped"}
	}
	for _, o := range ops {
		if v := p.rows[o.Key].Version; v != o.Version {
			return &table.ConflictError{Key: o.Key, Version: v}
		}
	}
	for _, o := range ops {
		p.rows[o.Key] = table.Row{Key: o.Key, Version: o.Version + 1 + uint64(rand.IntN(3)), Value: o.Value}
	}
	if p.lose > 0 {
		p.lose--
		return &table.UnknownOutcomeError{Reason: "lost"}
	}
	return nil
}

func (p *platform) Get(_ context.Context, name string) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	if p.down || p.downObjects {
		return nil, &table.DownError{Reason: "test"}
	}
	if data, ok := p.objects[name]; ok {
		return data, nil
	}
	return nil, &table.MissingError{Name: name}
}

func (p *platform) Put(_ context.Context, name string, data []byte) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return &table.DownError{Reason: "test"}
	}
	p.puts++
	p.objects[name] = data
	return nil
}

func (p *platform) save() { p.savedRows, p.savedObjs = maps.Clone(p.rows), maps.Clone(p.objects) }

func (p *platform) restore() { p.rows, p.objects = maps.Clone(p.savedRows), maps.Clone(p.savedObjs) }

// node is one host: a Gossip and a Watch.
type node struct {
	gossip   *member.Gossip
	watch    *Watch
	enforced []uint64
	damaged  bool
	phase    int
}

// network connects nodes in memory.
type network struct {
	mu           sync.Mutex
	now          time.Time
	second       int
	platform     *platform
	nodes        map[string]*node
	cut          map[[2]string]bool
	random       *rand.Rand
	scenarioLine string // for failure messages
}

func newNetwork(seed uint64) *network {
	return &network{
		now: time.Unix(1_800_000_000, 0), platform: newPlatform(), nodes: map[string]*node{},
		cut: map[[2]string]bool{}, random: rand.New(rand.NewPCG(seed, 3)),
	}
}

type link struct {
	n    *network
	from string
}

func (l link) to(address string) (*node, error) {
	l.n.mu.Lock()
	defer l.n.mu.Unlock()
	to, _, _ := strings.Cut(address, ":")
	if l.n.nodes[to] == nil || l.n.cut[[2]string{l.from, to}] || l.n.cut[[2]string{to, l.from}] {
		return nil, errors.New("no answer")
	}
	return l.n.nodes[to], nil
}

func (l link) Heartbeat(ctx context.Context, a string, h *member.Heartbeat) (*member.Heartbeat, error) {
	x, err := l.to(a)
	if err != nil {
		return nil, err
	}
	return x.gossip.Heartbeat(ctx, h)
}

func (l link) Probe(ctx context.Context, a string, r *member.ProbeRequest) (*member.ProbeReply, error) {
	x, err := l.to(a)
	if err != nil {
		return nil, err
	}
	return x.gossip.Probe(ctx, r)
}

func (l link) Sync(ctx context.Context, a string, r *member.SyncRequest) (*member.SyncReply, error) {
	x, err := l.to(a)
	if err != nil {
		return nil, err
	}
	return x.gossip.Sync(ctx, r)
}

func (l link) Section(ctx context.Context, a string, r *member.SectionRequest) (*member.SectionReply, error) {
	x, err := l.to(a)
	if err != nil {
		return nil, err
	}
	reply, err := x.watch.Section(ctx, r)
	if x.damaged {
		for i := range reply.Sections {
			reply.Sections[i] = append([]byte{0}, reply.Sections[i]...)
		}
	}
	return reply, err
}

func (n *network) start(name string, zone int) {
	x := &node{phase: n.random.IntN(2)}
	clock := func() time.Time { return n.now }
	x.watch = New(n.platform, n.platform, link{n, name}, WithClock(clock),
		WithOnChange(func(r *Revision) { x.enforced = append(x.enforced, r.Head.Revision) }))
	self := member.Member{Name: name, Address: name + ":1", Region: "r", Zone: fmt.Sprint("z", zone), Incarnation: 1}
	var err error
	x.gossip, err = member.NewGossip(member.NewTable(self), link{n, name}, member.WithClock(clock),
		member.WithRandom(rand.New(rand.NewPCG(n.random.Uint64(), 1))), member.WithExtensions(x.watch.Extension()))
	Expect(err).NotTo(HaveOccurred())
	x.watch.Follow(x.gossip)
	n.nodes[name] = x
	var list []table.ListedHost
	for _, o := range n.names() {
		m := n.nodes[o].gossip.Self()
		list = append(list, table.ListedHost{Name: m.Name, Address: m.Address, Region: m.Region, Zone: m.Zone})
	}
	for _, o := range n.nodes {
		o.gossip.Seed(list)
	}
}

func (n *network) names() (out []string) {
	for name := range n.nodes {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// round advances the clock by a second and runs one round on each host.
func (n *network) round() {
	n.now = n.now.Add(time.Second)
	n.second++
	names := n.names()
	n.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	for _, name := range names {
		x := n.nodes[name]
		x.gossip.Round(context.Background())
		if n.second%2 == x.phase {
			x.watch.Poll(context.Background())
		}
		x.watch.Step(context.Background())
	}
}

// holdsLastCopy reports whether the host name is the only one with a revision that the
// platform lost.
func (n *network) holdsLastCopy(name string, revision uint64) bool {
	row := n.platform.rows[headKey]
	shown, err := decodeHead(row.Value, row.Version)
	Expect(err).NotTo(HaveOccurred())
	if shown.Revision >= revision || n.nodes[name].watch.head().Revision < revision {
		return false
	}
	for other, x := range n.nodes {
		if other != name && x.watch.head().Revision >= revision {
			return false
		}
	}
	return true
}

// document returns the demo document with the given rate of the first account.
func document(rate float64) *config.Document {
	data, err := os.ReadFile("../../examples/demo.toml")
	Expect(err).NotTo(HaveOccurred())
	d, err := config.ParseDocument("demo.toml", data)
	Expect(err).NotTo(HaveOccurred())
	d.Accounts[0].Rate = rate
	return d
}

func number(s string) uint64 {
	v, err := strconv.ParseUint(s, 10, 64)
	Expect(err).NotTo(HaveOccurred())
	return v
}

// commit commits a document and returns the outcome as the scripts write it.
func (n *network) commit(host string, base uint64, id string, rate float64) string {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	h, err := n.nodes[host].watch.Commit(ctx, base, document(rate), id, "operator-"+host)
	var conflict *ConflictError
	var reused *ReusedError
	switch {
	case err == nil:
		return fmt.Sprint(h.Revision)
	case errors.As(err, &conflict):
		Expect(err.Error()).To(And(ContainSubstring("operator-"), ContainSubstring("revision")))
		return "conflict " + conflict.Other.Change
	case errors.As(err, &reused):
		return "reused " + reused.Other.Change
	case errors.As(err, new(*NotReadyError)):
		return "notready"
	}
	return "error"
}

func (n *network) command(line string) {
	line, want, _ := strings.Cut(line, " = ")
	f := strings.Fields(line)
	verb, side, _ := strings.Cut(f[0], "@")
	p := n.platform
	switch verb {
	case "start":
		for _, h := range f[1:] {
			n.start(h, int(h[1]-'1')%3)
		}
	case "run":
		for range number(f[1]) {
			n.round()
		}
	case "commit":
		if side == "cutoff" { // the host does not know yet what others have in force
			n.nodes[f[1]].watch.peerHeads = map[string]Head{}
		}
		Expect(n.commit(f[1], number(f[2]), f[3], float64(number(f[4])))).To(Equal(want), n.scenarioLine)
	case "commit-direct": // in force at one host, with its rows but not its sections readable
		Expect(n.commit(f[1], number(f[2]), f[3], float64(number(f[4])))).To(Equal("error"), n.scenarioLine)
		p.downObjects = false
		Expect(n.commit(f[1], number(f[2]), f[3], float64(number(f[4])))).To(Equal("2"), n.scenarioLine)
		p.downObjects = true
	case "lose":
		p.lose = 1
	case "drop":
		p.drop = 2
	case "down":
		p.down = true
	case "down-objects":
		p.downObjects = true
	case "up":
		p.down, p.downObjects = false, false
	case "save":
		p.save()
	case "restore":
		p.restore()
	case "restore-frozen":
		p.restore()
		p.frozen = true
	case "forget-hosts":
		n.nodes = map[string]*node{}
	case "damage":
		n.nodes[f[1]].damaged = true
	case "cut":
		n.cut[[2]string{f[1], f[2]}] = true
	case "partition":
		for _, a := range f[1:] {
			for i := range 9 {
				if b := fmt.Sprint("h", i); !slices.Contains(f[1:], b) {
					n.cut[[2]string{a, b}] = true
				}
			}
		}
		if len(f) > 2 {
			for _, a := range f[1:] { // a partitioned zone does not reach the platform either
				n.nodes[a].watch.rows, n.nodes[a].watch.objects = &platform{down: true}, &platform{down: true}
			}
		}
	case "heal":
		clear(n.cut)
		for _, x := range n.nodes {
			x.watch.rows, x.watch.objects = p, p
		}
	case "platform":
		h, err := n.nodes["h1"].watch.readHead(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(h.Revision).To(Equal(number(f[1])), n.scenarioLine)
	case "history":
		heads, err := n.nodes["h1"].watch.History(context.Background(), 10)
		Expect(err).NotTo(HaveOccurred())
		got := []string{}
		for _, h := range heads {
			got = append(got, h.Change)
			d, err := n.nodes["h1"].watch.Load(context.Background(), h)
			Expect(err).NotTo(HaveOccurred())
			Expect(d.Accounts).To(HaveLen(2))
		}
		Expect(got).To(Equal(f[1:]), n.scenarioLine)
	case "never":
		Expect(n.nodes[f[1]].enforced).NotTo(ContainElement(number(f[2])), n.scenarioLine)
	case "none":
		Expect(n.nodes[f[1]].watch.Ready()).To(BeFalse(), n.scenarioLine)
	case "diverged":
		Expect(n.nodes[f[1]].watch.Stats().Divergence).NotTo(BeNil(), n.scenarioLine)
	case "inforce":
		for _, h := range n.names() {
			if side != "" && side != h {
				continue
			}
			r := n.nodes[h].watch.Current()
			Expect(r).NotTo(BeNil(), "%s: %s", h, n.scenarioLine)
			Expect(r.Head.Revision).To(Equal(number(f[1])), "%s: %s", h, n.scenarioLine)
			Expect(account(r.Document, "keeper").Rate).To(BeEquivalentTo(number(f[2])), "%s: %s", h, n.scenarioLine)
		}
	default:
		Fail("unknown command " + line)
	}
	for h, x := range n.nodes {
		Expect(slices.IsSorted(x.enforced)).To(BeTrue(), "%s went back to a lower revision: %v (%s)", h, x.enforced, n.scenarioLine)
	}
}

func account(d *config.Document, name string) config.Account {
	for _, a := range d.Accounts {
		if a.Name == name {
			return a
		}
	}
	return config.Account{}
}

// Guards against hosts that go back to a lower revision or do not receive one, and
// against revisions that are committed twice.
var _ = Describe("scripted configuration", func() {
	archive, err := txtar.ParseFile("testdata/watch.txtar")
	if err != nil {
		panic(err)
	}
	for _, file := range archive.Files {
		It(file.Name, func() {
			for seed := range uint64(5) {
				n := newNetwork(seed)
				for i, line := range strings.Split(strings.TrimSpace(string(file.Data)), "\n") {
					n.scenarioLine = fmt.Sprintf("seed %d, line %d: %s", seed, i+1, line)
					n.command(line)
				}
			}
		})
	}
})
