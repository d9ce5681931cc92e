package member

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rogpeppe/go-internal/txtar"

	"sesamehill.example/sesamehill/internal/table"
)

func TestMember(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "member")
}

// network connects Gossips in memory, and encodes and counts every message.
type network struct {
	mu             sync.Mutex
	now            time.Time
	hosts          map[string]*Gossip
	paused         map[string]bool
	cut            map[[2]string]bool
	died           map[string]int
	options        []Option
	messages       int
	bytes, largest int
	random         *rand.Rand
	scenarioLine   string // for failure messages
}

func newNetwork(seed uint64) *network {
	return &network{
		now: time.Unix(1_800_000_000, 0), hosts: map[string]*Gossip{}, paused: map[string]bool{},
		cut: map[[2]string]bool{}, died: map[string]int{}, random: rand.New(rand.NewPCG(seed, 2)),
	}
}

// link is one host's Caller.
type link struct {
	n    *network
	from string
}

func (l link) deliver(address string, m message) (*Gossip, error) {
	to, _, _ := strings.Cut(address, ":")
	l.n.mu.Lock()
	g := l.n.hosts[to]
	lost := g == nil || l.n.paused[to] || l.n.cut[[2]string{l.from, to}] || l.n.cut[[2]string{to, l.from}]
	l.n.mu.Unlock()
	if lost {
		return nil, errors.New("no answer")
	}
	return g, l.n.countMessage(m)
}

func (n *network) countMessage(m message) error {
	b, err := encoding{}.Marshal(m)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.messages++
	n.bytes += len(b)
	n.largest = max(n.largest, len(b))
	return errors.Join(err, m.Check())
}

func (l link) Heartbeat(ctx context.Context, a string, h *Heartbeat) (*Heartbeat, error) {
	g, err := l.deliver(a, h)
	if err != nil {
		return nil, err
	}
	out, _ := g.Heartbeat(ctx, h)
	return out, l.n.countMessage(out)
}

func (l link) Probe(ctx context.Context, a string, r *ProbeRequest) (*ProbeReply, error) {
	g, err := l.deliver(a, r)
	if err != nil {
		return nil, err
	}
	out, _ := g.Probe(ctx, r)
	return out, l.n.countMessage(out)
}

func (l link) Sync(ctx context.Context, a string, r *SyncRequest) (*SyncReply, error) {
	g, err := l.deliver(a, r)
	if err != nil {
		return nil, err
	}
	out, _ := g.Sync(ctx, r)
	return out, l.n.countMessage(out)
}

func (n *network) start(name string, zone int, incarnation uint64) {
	self := Member{
		Name: name, Address: name + ":7000", Region: fmt.Sprintf("region-%d", zone/3), Zone: fmt.Sprintf("zone-%02d", zone),
		Incarnation: incarnation,
	}
	options := append([]Option{
		WithClock(func() time.Time { return n.now }), WithRandom(rand.New(rand.NewPCG(n.random.Uint64(), 1))),
		WithOnChange(func(c Change) {
			if _, ok := c.(Died); ok {
				n.mu.Lock()
				n.died[name]++
				n.mu.Unlock()
			}
		}),
	}, n.options...)
	g, err := NewGossip(NewTable(self), link{n, name}, options...)
	Expect(err).NotTo(HaveOccurred())
	n.mu.Lock()
	n.hosts[name] = g
	n.mu.Unlock()
	var list []table.ListedHost
	for _, h := range n.names() {
		m := n.hosts[h].Self()
		list = append(list, table.ListedHost{Name: m.Name, Address: m.Address, Region: m.Region, Zone: m.Zone})
	}
	for _, h := range n.names() {
		n.hosts[h].Seed(list)
	}
}

func (n *network) names() []string {
	var out []string
	for name := range n.hosts {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

func (n *network) round(step time.Duration) {
	n.now = n.now.Add(step)
	names := n.names()
	n.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	for _, name := range names {
		if !n.paused[name] {
			n.hosts[name].Round(context.Background())
		}
	}
}

func (n *network) command(f []string) {
	number := func(i, defaultValue int) int {
		if len(f) <= i {
			return defaultValue
		}
		v, err := strconv.Atoi(f[i])
		Expect(err).NotTo(HaveOccurred())
		return v
	}
	verb, side, _ := strings.Cut(f[0], "@")
	switch verb {
	case "start":
		for _, h := range f[1:] {
			n.start(h, int(h[1]-'1')%3, 100)
		}
	case "restart":
		n.start(f[1], int(f[1][1]-'1')%3, uint64(100+number(2, 1)))
		delete(n.paused, f[1])
	case "kill":
		delete(n.hosts, f[1])
	case "leave":
		n.hosts[f[1]].Leave(context.Background())
	case "pause":
		n.paused[f[1]] = true
	case "resume":
		delete(n.paused, f[1])
	case "cut":
		n.cut[[2]string{f[1], f[2]}] = true
	case "partition":
		for _, a := range f[1:] {
			for i := range 9 {
				if b := fmt.Sprintf("h%d", i); !slices.Contains(f[1:], b) {
					n.cut[[2]string{a, b}] = true
				}
			}
		}
	case "heal":
		clear(n.cut)
	case "run":
		step := number(2, 1)
		for range number(1, 1) / step {
			n.round(time.Duration(step) * time.Second)
		}
	case "skip": // time without heartbeats
		for range number(1, 1) / 2 {
			n.now = n.now.Add(2 * time.Second)
			for _, g := range n.hosts {
				g.notify(g.table.Tick(n.now))
			}
		}
	case "nodeaths":
		Expect(n.died).To(BeEmpty(), n.scenarioLine)
	case "diedat":
		Expect(n.died[f[1]]).To(Equal(number(2, 0)))
	case "live", "dead", "leaving":
		for _, h := range n.names() {
			if side == "" || side == h {
				n.expect(verb, h, f[1:])
			}
		}
	default:
		Fail("unknown command " + f[0])
	}
}

func (n *network) expect(verb, host string, want []string) {
	got := []string{}
	for _, m := range n.hosts[host].Members() {
		if verb == "live" && m.State == Alive || verb == "dead" && m.State == Dead || verb == "leaving" && m.Leaving && m.State != Dead {
			got = append(got, m.Name)
		}
	}
	Expect(got).To(Equal(append([]string{}, want...)), "%s hosts at %s (%s): %v", verb, host, n.scenarioLine, n.hosts[host].Members())
}

// Guards against hosts that are wrongly dead or alive in a table after crashes,
// restarts, pauses, broken paths and partitions.
var _ = Describe("scripted membership", func() {
	archive, err := txtar.ParseFile("testdata/members.txtar")
	if err != nil {
		panic(err)
	}
	for _, file := range archive.Files {
		It(file.Name, func() {
			for seed := range uint64(10) {
				n := newNetwork(seed)
				for i, line := range strings.Split(strings.TrimSpace(string(file.Data)), "\n") {
					n.scenarioLine = fmt.Sprintf("seed %d, line %d: %s", seed, i+1, line)
					n.command(strings.Fields(line))
				}
			}
		})
	}
})

// Guards against control traffic above 11 KB/s per host, and prints the traffic by
// the number of members.
var _ = Describe("control traffic", func() {
	for _, size := range []int{3, 7, 30, 100, 330} {
		for _, full := range []bool{false, true} {
			if size > 100 && !full {
				continue // the bytes without extensions do not depend on the size
			}
			It(fmt.Sprintf("stays bounded at %d members, extensions %v", size, full), func() {
				n := newNetwork(1)
				if full {
					n.options = []Option{WithExtensions(Extension{
						Name: "load", Budget: MaxExtensionBytes - 8,
						Build: func(_ Member, budget int) []byte {
							b, _ := Encode(make([]byte, budget-3))
							return b
						},
						Take: func(Member, []byte) error { return nil },
					})}
				}
				zones := min(19, max(3, size/17))
				for i := range size {
					n.start(fmt.Sprintf("host-%03d", i), i%zones, 1_800_000_000_000)
				}
				if size > 100 {
					n.mergeAll()
				}
				joined := n.roundsUntil(func(g *Gossip) bool { return len(g.Live()) == size })
				seconds := 15
				if size > 100 {
					seconds = 5 // a round of 330 hosts takes most of a second under the race detector
				}
				for range seconds {
					n.round(time.Second)
				}
				n.messages, n.bytes, n.largest = 0, 0, 0
				for range seconds {
					n.round(time.Second)
				}
				perHost := func(v int) float64 { return float64(v) / float64(size*seconds) }
				messages, bytes, largest := perHost(n.messages), perHost(n.bytes), n.largest
				Expect(n.died).To(BeEmpty(), n.scenarioLine)
				n.hosts["host-000"].Leave(context.Background())
				left := n.roundsUntil(func(g *Gossip) bool { m, _ := g.tableMember("host-000"); return m.Leaving })
				delete(n.hosts, "host-001")
				dead := n.roundsUntil(func(g *Gossip) bool { m, _ := g.tableMember("host-001"); return m.State == Dead })
				fmt.Fprintf(GinkgoWriter, "members %d, extensions %v: %.1f messages/s and %.0f bytes/s a host, largest message %d; "+
					"all joined after %d s, leaving host known to all after %d s, dead host after %d s\n",
					size, full, messages, bytes, largest, joined, left, dead)
				Expect(bytes).To(BeNumerically("<", 11_000))
				Expect(left).To(BeNumerically("<=", 5))
				Expect(dead).To(BeNumerically("<=", 12))
			})
		}
	}
})

// Guards against a healed partition after which hosts stay dead in the tables of the
// other side, or after which one side declares its own hosts dead because the other
// side did.
var _ = Describe("a third of the hosts in a partition", func() {
	for _, size := range []int{7, 30} {
		It(fmt.Sprintf("is merged within seconds at %d members", size), func() {
			n := newNetwork(1)
			host := func(i int) string { return fmt.Sprintf("host-%03d", i) }
			for i := range size {
				n.start(host(i), i%3, 1_800_000_000_000)
			}
			n.roundsUntil(func(g *Gossip) bool { return len(g.Live()) == size })
			for i := range size * size {
				if a, b := i/size, i%size; a%3 == 0 && b%3 != 0 {
					n.cut[[2]string{host(a), host(b)}] = true
				}
			}
			for range 20 {
				n.round(time.Second)
			}
			clear(n.cut)
			clear(n.died)
			healed := n.roundsUntil(func(g *Gossip) bool {
				return !slices.ContainsFunc(g.Members(), func(m Member) bool { return m.State != Alive })
			})
			fmt.Fprintf(GinkgoWriter, "%d members agree %d s after healing\n", size, healed)
			Expect(healed).To(BeNumerically("<=", 8))
			Expect(n.died).To(BeEmpty())
		})
	}
})

// mergeAll merges the records of all hosts into all tables; simulating the start of 330
// hosts is slow.
func (n *network) mergeAll() {
	var all []Member
	for _, g := range n.hosts {
		all = append(all, g.Self())
	}
	for _, g := range n.hosts {
		g.table.Merge(all, n.now)
		for _, e := range g.table.sorted {
			e.transmissions = 100
		}
		g.lastSync = n.now
	}
}

// roundsUntil runs rounds until done returns true for all hosts, and returns their
// number.
func (n *network) roundsUntil(done func(*Gossip) bool) int {
	for rounds := range 60 {
		missing := false
		for _, g := range n.hosts {
			missing = missing || !done(g)
		}
		if !missing {
			return rounds
		}
		n.round(time.Second)
	}
	Fail("the condition did not hold on all hosts within 60 s")
	return 0
}

func (g *Gossip) tableMember(name string) (Member, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Member(name)
}
