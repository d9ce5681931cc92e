package fleet

import (
	"flag"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Guards against a start that is taken for that of an entry because a host answers by connections
// that ended, or by a list that lacks later starts.
func TestConfirmStart(t *testing.T) {
	const start = 7
	asked := LinkedStart{Target: "a", Since: time.Minute}
	sound := ConfirmedStart{Target: "a", StartedAtMs: start, OpenMs: 4000, LastMs: 100}
	for _, c := range []struct {
		name   string
		change func(*ConfirmedStart)
		want   bool
	}{
		{"connections that overlapped", func(*ConfirmedStart) {}, true},
		{"another start", func(s *ConfirmedStart) { s.StartedAtMs++ }, false},
		{"no start", func(s *ConfirmedStart) { s.StartedAtMs = 0 }, false},
		{"another target", func(s *ConfirmedStart) { s.Target = "b" }, false},
		{"a newest connection from before those of this host", func(s *ConfirmedStart) { s.LastMs = 600 }, false},
		{"one connection, dialed before it was open", func(s *ConfirmedStart) { s.OpenMs = 90 }, false},
		{"connections that have just been opened", func(s *ConfirmedStart) { s.OpenMs = 550 }, false},
		{"a connection of the future", func(s *ConfirmedStart) { s.LastMs = -1 }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			f := New()
			f.now = func() time.Duration { return asked.Since }
			f.Replace([]Target{{ID: "a", Service: "llm", StartedAtMs: start}})
			f.OpenLink("a", asked.Since)
			g.Expect(f.UnconfirmedStarts(1)).To(Equal([]LinkedStart{asked}))
			answer := sound
			c.change(&answer)
			g.Expect(f.ConfirmStart(asked, answer, asked.Since+time.Second)).To(Equal(c.want))
			g.Expect(f.StartEvidence("a") == StartConfirmed).To(Equal(c.want))
			g.Expect(f.UnconfirmedStarts(1)).To(HaveLen(map[bool]int{true: 0, false: 1}[c.want]))
			g.Expect(f.ConfirmedStarts([]string{"a"})).To(BeEmpty(), "what another host has confirmed")
		})
	}
}

// newListedFleet returns a fleet with a clock and the entry of one target.
func newListedFleet(now *time.Duration) *Fleet {
	f := New()
	f.now = func() time.Duration { return *now }
	f.Replace([]Target{{ID: "a", Service: "llm", StartedAtMs: 7}})
	return f
}

// Guards against an answer that counts for connections which were opened after the query.
func TestConfirmStartOfNewConnections(t *testing.T) {
	g := NewWithT(t)
	now := time.Minute
	f := newListedFleet(&now)
	end := f.OpenLink("a", now)
	asked := f.UnconfirmedStarts(1)
	now += time.Second
	end(false)
	f.OpenLink("a", now)
	answer := ConfirmedStart{Target: "a", StartedAtMs: 7, OpenMs: 4000}
	g.Expect(f.ConfirmStart(asked[0], answer, now)).To(BeFalse())
}

// Guards against an answer that counts from when a connection was recorded: a host that stands still
// records it late.
func TestConfirmedStarts(t *testing.T) {
	g := NewWithT(t)
	now := time.Minute
	f := newListedFleet(&now)
	f.OpenLink("a", now)
	dialedAt := now + time.Second
	now += LateEntryTime
	f.OpenLink("a", dialedAt)
	g.Expect(f.ConfirmedStarts([]string{"a"})).To(BeEmpty(), "the list may lack a later start")
	f.RecordListRead(now)
	now += time.Second
	g.Expect(f.ConfirmedStarts([]string{"a", "b"})).To(Equal([]ConfirmedStart{{Target: "a", StartedAtMs: 7, OpenMs: 3000, LastMs: 2001}}))
}

// modelChecks is the number of random runs of the model. It took 1,044, of 80 steps, to find that
// answers need connections which overlapped.
const modelChecks = "3000"

func init() {
	if err := flag.Set("rapid.checks", modelChecks); err != nil {
		panic(err)
	}
}

// maxLateNotice is how late a host notices at most that a connection has ended. Time passes in steps
// of a millisecond.
const maxLateNotice = linkOverlap - 2*time.Millisecond

// modelSteps are times that pass in the model, some near the bounds of the evidence.
var modelSteps = []time.Duration{
	time.Millisecond, 100 * time.Millisecond, maxLateNotice, linkOverlap, linkOverlap + 100*time.Millisecond, LateEntryTime - linkOverlap, LateEntryTime,
}

// modelConn is a connection of a host to a start of the target.
type modelConn struct {
	startMs  int64
	dialedAt time.Duration
	end      func(closed bool)
	// noticeAt is when the host notices that the start has ended; zero while it serves.
	noticeAt time.Duration
}

// modelHost is a host with a list of targets of its own.
type modelHost struct {
	fleet *Fleet
	// dialing holds connections that were accepted, but that the host does not know yet.
	dialing, open []modelConn
}

// startModel is a target that restarts, and hosts that confirm its starts to each other.
type startModel struct {
	now     time.Duration
	hosts   [2]modelHost
	startMs int64 // zero while the target does not run
	// listedMs is the start in the entry, and entryAt when that of the present start is written.
	listedMs int64
	entryAt  time.Duration
	// asked and sentAt are the query of a host, and answer the answer of the other one.
	asker  int
	asked  []LinkedStart
	sentAt time.Duration
	answer []ConfirmedStart
}

// newStartModel returns a target that has served for a while, and two hosts that know it.
func newStartModel() *startModel {
	m := &startModel{now: time.Minute, startMs: 1, listedMs: 1}
	for i := range m.hosts {
		f := New()
		f.now = func() time.Duration { return m.now }
		m.hosts[i].fleet = f
		m.read(&m.hosts[i])
	}
	return m
}

func (m *startModel) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"":         m.check,
		"advance":  m.advance,
		"restart":  func(t *rapid.T) { m.crash(t); m.advance(t); m.start(t) },
		"crash":    m.crash,
		"start":    m.start,
		"read":     func(t *rapid.T) { m.read(m.drawHost(t)) },
		"dial":     func(t *rapid.T) { m.dial(m.drawHost(t)) },
		"open":     func(t *rapid.T) { m.openNext(t, m.drawHost(t)) },
		"connect":  m.connect,
		"confirm":  m.confirm,
		"close":    func(t *rapid.T) { m.close(m.drawHost(t)) },
		"ask":      m.ask,
		"answer":   func(*rapid.T) { m.reply() },
		"receive":  func(*rapid.T) { m.receive() },
		"exchange": func(t *rapid.T) { m.ask(t); m.reply(); m.receive() },
	}
}

// connect connects a host at once.
func (m *startModel) connect(t *rapid.T) {
	if h := m.drawHost(t); len(h.dialing) == 0 {
		m.dial(h)
		m.openNext(t, h)
	}
}

// confirm lets the second host have connections for long enough to confirm a start, and dial again.
func (m *startModel) confirm(t *rapid.T) {
	h := &m.hosts[1]
	h.dialing = nil
	for range 2 {
		m.dial(h)
		if len(h.dialing) > 0 {
			m.openNext(t, h)
		}
		m.advance(t)
	}
	m.read(h)
}

// drawHost draws the second host more often. The other one is the one that needs its answers, as it
// seldom reads the list.
func (m *startModel) drawHost(t *rapid.T) *modelHost {
	return &m.hosts[min(rapid.IntRange(0, 3).Draw(t, "host"), 1)]
}

// advance lets time pass. Hosts notice ends of connections, and the entry is written, in order.
func (m *startModel) advance(t *rapid.T) {
	until := m.now + rapid.SampledFrom(modelSteps).Draw(t, "step")
	for m.now < until {
		m.now += time.Millisecond
		if m.startMs != 0 && m.now >= m.entryAt {
			m.listedMs = m.startMs
		}
		for i := range m.hosts {
			h := &m.hosts[i]
			h.open = slices.DeleteFunc(h.open, func(c modelConn) bool {
				ended := c.noticeAt != 0 && m.now >= c.noticeAt
				if ended {
					c.end(false)
				}
				return ended
			})
		}
	}
}

func (m *startModel) drawNotice(t *rapid.T) time.Duration {
	return m.now + 1 + time.Duration(rapid.Int64Range(0, int64(maxLateNotice)).Draw(t, "notice"))
}

func (m *startModel) crash(t *rapid.T) {
	if m.startMs == 0 {
		return
	}
	m.startMs = 0
	for i := range m.hosts {
		for j := range m.hosts[i].open {
			if c := &m.hosts[i].open[j]; c.noticeAt == 0 {
				c.noticeAt = m.drawNotice(t)
			}
		}
	}
}

func (m *startModel) start(t *rapid.T) {
	if m.startMs != 0 {
		return
	}
	m.startMs = m.now.Milliseconds()
	m.entryAt = m.now + time.Duration(rapid.Int64Range(0, int64(LateEntryTime)).Draw(t, "entry"))
}

func (m *startModel) read(h *modelHost) {
	if m.listedMs != 0 {
		h.fleet.Put(Target{ID: "a", Service: "llm", StartedAtMs: m.listedMs})
	}
	h.fleet.RecordListRead(m.now)
}

func (m *startModel) dial(h *modelHost) {
	if m.startMs != 0 && len(h.dialing) < 2 {
		h.dialing = append(h.dialing, modelConn{startMs: m.startMs, dialedAt: m.now})
	}
}

func (m *startModel) openNext(t *rapid.T, h *modelHost) {
	if len(h.dialing) == 0 {
		return
	}
	c := h.dialing[0]
	h.dialing = h.dialing[1:]
	c.end = h.fleet.OpenLink("a", c.dialedAt)
	if c.startMs != m.startMs {
		c.noticeAt = m.drawNotice(t)
	}
	h.open = append(h.open, c)
}

func (m *startModel) close(h *modelHost) {
	if len(h.open) > 0 {
		h.open[0].end(true)
		h.open = h.open[1:]
	}
}

func (m *startModel) ask(t *rapid.T) {
	host := min(rapid.IntRange(0, 3).Draw(t, "asked"), 1)
	m.asker, m.asked, m.sentAt, m.answer = 1-host, m.hosts[1-host].fleet.UnconfirmedStarts(1), m.now, nil
}

func (m *startModel) reply() {
	if len(m.asked) > 0 {
		m.answer = m.hosts[1-m.asker].fleet.ConfirmedStarts([]string{"a"})
	}
}

func (m *startModel) receive() {
	for _, c := range m.answer {
		m.hosts[m.asker].fleet.ConfirmStart(m.asked[0], c, m.sentAt)
	}
}

// check compares what hosts confirm with the start that serves, where all connections lead to it.
func (m *startModel) check(t *rapid.T) {
	for i, h := range m.hosts {
		serves := len(h.open) > 0 && !slices.ContainsFunc(h.open, func(c modelConn) bool { return c.noticeAt != 0 })
		target, ok := h.fleet.Get("a")
		if serves && ok && h.fleet.StartEvidence("a") == StartConfirmed && target.StartedAtMs != m.startMs {
			t.Fatalf("host %d confirms start %d, start %d serves", i, target.StartedAtMs, m.startMs)
		}
	}
}

// Guards against the same over random restarts, late entries, connections whose ends are noticed
// late, and answers that are under way meanwhile.
func TestConfirmedStartsServe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newStartModel()
		t.Repeat(m.actions())
	})
}
