package lease

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rogpeppe/go-internal/txtar"
	"pgregory.net/rapid"

	_ "sesamehill.example/sesamehill/internal/seeds"
	"sesamehill.example/sesamehill/internal/table"
)

// modelChecks is the number of random runs of each model: TestLastHolderResumes took up to 1,493 to
// find orders of two hosts that it guards against.
const modelChecks = "3000"

func init() {
	if err := flag.Set("rapid.checks", modelChecks); err != nil {
		panic(err)
	}
}

func TestLease(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "lease")
}

// simulation is a table, a clock and the hosts; everything runs on one goroutine.
type simulation struct {
	table.Table
	now time.Time
	row table.Row
	// delayed holds writes that take effect at a later time.
	delayed map[time.Time]table.Op
	// faults are those of the next table operations.
	faults []string
	// highestToken is the highest fencing token that targets have stated, in a report
	// or when they rejected an order.
	highestToken uint64
	// duringPause runs while an operation waits, so that other hosts overtake it.
	duringPause func()
	hosts       map[string]*Lease
	// lastOrder is the last time at which a host could have sent an order.
	lastOrder map[string]time.Time
	// tokenOwner is the acquisition of each fencing token, highestUsed the highest
	// token with which a host could have sent an order.
	tokenOwner  map[uint64]string
	highestUsed uint64
	// backup is the copy of the row from which the platform is restored, and era the
	// number that the platform states about its restores; zero if it states none.
	backup table.Row
	era    uint64
	// away holds the hosts that the platform turns away.
	away map[string]bool
	// resumes is set if the hosts give all orders only after the delay for targets that
	// ignore fencing tokens; usedBy is the host that could give the last one.
	resumes bool
	usedBy  string
	fail    func(string)
}

// hostTable is the table as one host sees it: it states the era of the last reply that
// the host has received.
type hostTable struct {
	*simulation
	host    string
	seenEra uint64
}

func (h *hostTable) Read(ctx context.Context, keys ...string) ([]table.Row, error) {
	if h.away[h.host] {
		return nil, &table.DownError{Reason: "test"}
	}
	rows, err := h.simulation.Read(ctx, keys...)
	if err == nil {
		h.seenEra = h.era
	}
	return rows, err
}

func (h *hostTable) Write(ctx context.Context, ops []table.Op) error {
	if h.away[h.host] {
		return &table.DownError{Reason: "test"}
	}
	err := h.simulation.Write(ctx, ops)
	var conflict *table.ConflictError
	if err == nil || errors.As(err, &conflict) {
		h.seenEra = h.era
	}
	return err
}

func (h *hostTable) Era() uint64 { return h.seenEra }

func newSimulation(fail func(string)) *simulation {
	return &simulation{
		now: time.Now(), delayed: map[time.Time]table.Op{}, hosts: map[string]*Lease{},
		lastOrder: map[string]time.Time{}, tokenOwner: map[uint64]string{}, fail: fail, duringPause: func() {}, away: map[string]bool{},
	}
}

func (s *simulation) start(name string) {
	opts := []Option{WithClock(func() time.Time { return s.now }), WithHighestToken(func() uint64 { return s.highestToken })}
	if s.resumes {
		opts = append(opts, WithResume())
	}
	s.hosts[name] = New(&hostTable{simulation: s, host: name}, "rollout", name, opts...)
}

// restore puts the row back to the last copy, so that versions are given out again.
func (s *simulation) restore() {
	s.row = s.backup
	if s.era > 0 {
		s.era++
	}
}

func (s *simulation) advance(d time.Duration) {
	for end := s.now.Add(d); ; {
		if s.now.After(end) {
			end = s.now // a nested pause has ended later
		}
		next := end
		for at := range s.delayed {
			if at.Before(next) {
				next = at
			}
		}
		s.now = next
		s.check()
		if op, ok := s.delayed[next]; ok {
			delete(s.delayed, next)
			_ = s.apply(op)
			continue
		}
		if !next.Before(end) {
			return
		}
	}
}

// check asserts that at most one host may give orders, that each fencing token
// belongs to one host, and that no order of another host can be in flight to a target
// that ignores fencing tokens.
func (s *simulation) check() {
	if s.resumes {
		s.checkDelayed()
		return
	}
	for name, l := range s.hosts {
		h := l.currentHolding()
		if h.Record.FencingToken == 0 {
			continue
		}
		until := h.Deadline.Add(-stopMargin)
		if until.After(s.now) {
			until = s.now
		}
		if until.After(s.lastOrder[name]) && !until.Before(h.AcquiredAt) {
			s.lastOrder[name] = until
		}
	}
	for name, l := range s.hosts {
		token, err := l.FencingToken()
		if err != nil {
			continue
		}
		owner := name + l.currentHolding().Record.AcquisitionID
		if previous, ok := s.tokenOwner[token]; ok && previous != owner {
			s.fail(fmt.Sprintf("fencing token %d belongs to %s and %s", token, previous, owner))
		}
		s.tokenOwner[token] = owner
		if token < s.highestUsed {
			s.fail(fmt.Sprintf("%s may give orders with fencing token %d after orders with %d", name, token, s.highestUsed))
		}
		s.highestUsed = max(s.highestUsed, token)
		for other, at := range s.lastOrder {
			if o := s.hosts[other]; other != name && o != nil && o.currentHolding().Valid(s.now) {
				s.fail(fmt.Sprintf("%s and %s both hold the lease", name, other))
			}
			if other != name && l.AllowsUnfenced() && at.Add(2*time.Second).After(s.now) {
				s.fail(fmt.Sprintf("%s may give orders without fencing %v after %s", name, s.now.Sub(at), other))
			}
		}
	}
}

// checkDelayed asserts the same of hosts that give all orders after the delay.
func (s *simulation) checkDelayed() {
	for name, l := range s.hosts {
		h := l.currentHolding()
		start, end := h.AcquiredAt.Add(h.UnfencedDelay), h.Deadline.Add(-stopMargin)
		if h.Record.FencingToken == 0 || !h.Begun || s.now.Before(start) || !start.Before(end) {
			continue
		}
		if end.After(s.now) {
			end = s.now
		}
		token := h.Record.FencingToken
		switch at := s.lastOrder[s.usedBy]; {
		case token < s.highestUsed && l.AllowsUnfenced():
			s.fail(fmt.Sprintf("%s may give orders with fencing token %d after orders with %d", name, token, s.highestUsed))
		case name != s.usedBy && l.AllowsUnfenced() && at.Add(maxOrderTime).After(s.now):
			s.fail(fmt.Sprintf("%s may give orders %v after %s", name, s.now.Sub(at), s.usedBy))
		}
		if end.After(s.lastOrder[s.usedBy]) {
			s.lastOrder[name], s.usedBy = end, name
			s.highestUsed = max(s.highestUsed, token)
		}
	}
}

func (s *simulation) nextFault() (name string, pause time.Duration) {
	if len(s.faults) == 0 {
		return "", 0
	}
	f := s.faults[0]
	s.faults = s.faults[1:]
	name, arg, _ := strings.Cut(f, ":")
	pause, _ = time.ParseDuration(arg)
	return name, pause
}

func (s *simulation) Read(context.Context, ...string) ([]table.Row, error) {
	f, pause := s.nextFault()
	if f == "down" {
		return nil, &table.DownError{Reason: "test"}
	}
	row := s.row
	if f == "pause" { // the reply is delayed
		s.duringPause()
		s.advance(pause)
	}
	return []table.Row{row}, nil
}

func (s *simulation) Write(_ context.Context, ops []table.Op) error {
	f, pause := s.nextFault()
	unknown := &table.UnknownOutcomeError{Reason: "test"}
	switch f {
	case "down":
		return &table.DownError{Reason: "test"}
	case "nothing":
		return unknown
	case "late":
		s.delayed[s.now.Add(4*time.Second)] = ops[0]
		return unknown
	case "pause":
		s.duringPause()
		s.advance(pause)
	}
	err := s.apply(ops[0])
	if f == "after" {
		s.duringPause()
		s.advance(pause)
	}
	if f == "lost" {
		return unknown
	}
	return err
}

func (s *simulation) apply(op table.Op) error {
	if op.Version != s.row.Version {
		return &table.ConflictError{Key: op.Key, Version: s.row.Version}
	}
	s.row = table.Row{Key: op.Key, Version: op.Version + 1, Value: op.Value}
	return nil
}

// Guards against two holders, orders after the deadline, and orders to targets that
// ignore fencing tokens while an order of the previous holder is in flight.
var _ = Describe("Lease", func() {
	archive, err := txtar.ParseFile("testdata/lease.txtar")
	if err != nil {
		panic(err)
	}
	for _, f := range archive.Files {
		It(f.Name, func() {
			sim := newSimulation(func(s string) { Fail(s) })
			sim.start("a")
			sim.start("b")
			for line := range strings.Lines(string(f.Data)) {
				words := strings.Fields(line)
				l := sim.hosts[words[0]]
				switch {
				case l == nil && line[0] == '+':
					d, err := time.ParseDuration(words[0][1:])
					Expect(err).NotTo(HaveOccurred())
					sim.advance(d)
				case words[0] == "copy":
					sim.backup = sim.row
				case words[0] == "restore":
					sim.restore()
				case words[0] == "eras":
					sim.era = 1
				case words[0] == "resume":
					sim.resumes = true
					sim.start("a")
					sim.start("b")
				case words[0] == "floor":
					sim.highestToken, err = strconv.ParseUint(words[1], 10, 64)
					Expect(err).NotTo(HaveOccurred())
				case l == nil:
					sim.faults = words
				case words[1] == "step":
					_ = l.Step(context.Background())
				case words[1] == "away", words[1] == "back":
					sim.away[words[0]] = words[1] == "away"
				case words[1] == "release":
					Expect(l.Release(context.Background())).To(Succeed())
				default:
					got := "none"
					if token, err := l.FencingToken(); err == nil {
						got = fmt.Sprint(map[bool]string{true: "full ", false: "fenced "}[l.AllowsUnfenced()], token)
					}
					Expect(got).To(Equal(strings.Join(words[2:], " ")), line)
				}
				sim.check()
			}
		})
	}
})

// Guards against two holders at once under any interleaving of three hosts that step,
// release, pause inside a table operation, stop and start again, while replies are
// lost or delayed and the platform is unavailable to all or turns single hosts away.
func TestOneHolder(t *testing.T) { checkOneHolder(t, 0, false) }

// Guards against two holders at once, and a fencing token that goes down, while the
// platform is put back to a copy that lacks the newest acquisitions and renewals, and
// gives out their versions again.
func TestOneHolderRestored(t *testing.T) { checkOneHolder(t, 1, false) }

// Guards against orders of two hosts after such a restore, if the last holder goes on
// with its lease at once.
func TestLastHolderResumes(t *testing.T) { checkOneHolder(t, 1, true) }

// boundaries returns the future times, nearest first, at which a host's right to give orders begins
// or ends, now or by its last lease.
func (s *simulation) boundaries() []time.Time {
	var out []time.Time
	for _, l := range s.hosts {
		for _, h := range []Holding{l.currentHolding(), l.last} {
			if h.Record.FencingToken == 0 {
				continue
			}
			for _, at := range []time.Time{h.Deadline.Add(-stopMargin), h.Deadline, h.AcquiredAt.Add(h.UnfencedDelay), h.Deadline.Add(h.UnfencedDelay)} {
				if at.After(s.now) {
					out = append(out, at)
				}
			}
		}
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// checkOneHolder plays random interleavings. With an era above zero the platform is
// also restored from copies.
func checkOneHolder(t *testing.T, era uint64, resumes bool) {
	heldSteps := 0
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(func(s string) { t.Fatal(s) })
		sim.era, sim.resumes = era, resumes
		names, restarts, busy := []string{"a", "b", "c"}, 0, map[string]bool{}
		for _, n := range names {
			sim.start(n)
		}
		call := func(n string, f func(*Lease, context.Context) error) {
			if !busy[n] {
				busy[n] = true
				_ = f(sim.hosts[n], context.Background())
				busy[n] = false
				sim.check()
			}
		}
		index := rapid.IntRange(0, 2)
		pause := rapid.SampledFrom([]time.Duration{10 * time.Millisecond, time.Second, 3 * time.Second, 9 * time.Second, 11 * time.Second})
		sim.duringPause = func() {
			for range rapid.IntRange(0, 2).Draw(t, "overtakers") {
				sim.advance(pause.Draw(t, "before"))
				call(names[index.Draw(t, "overtaker")], (*Lease).Step)
			}
		}
		offset := rapid.SampledFrom([]time.Duration{-1500 * time.Millisecond, -500 * time.Millisecond, -time.Millisecond, 0, time.Millisecond, 500 * time.Millisecond})
		late := rapid.SampledFrom([]time.Duration{time.Millisecond, 500 * time.Millisecond, time.Second, 1900 * time.Millisecond})
		fault := rapid.SampledFrom([]string{"", "down", "nothing", "lost", "late", "pause:3s", "pause:11s", "after:3s", "after:11s"})
		actions := map[string]func(*rapid.T){
			"step": func(t *rapid.T) {
				n := names[index.Draw(t, "host")]
				call(n, (*Lease).Step)
				if _, err := sim.hosts[n].FencingToken(); err == nil {
					heldSteps++
				}
			},
			"fault":   func(t *rapid.T) { sim.faults = []string{fault.Draw(t, "first"), fault.Draw(t, "second")} },
			"advance": func(t *rapid.T) { sim.advance(pause.Draw(t, "time")) },
			"advance to a boundary": func(t *rapid.T) {
				if at := sim.boundaries(); len(at) > 0 {
					boundary := at[rapid.IntRange(0, len(at)-1).Draw(t, "boundary")]
					sim.advance(max(boundary.Add(offset.Draw(t, "offset")).Sub(sim.now), 0))
				}
			},
			"turn a host away": func(t *rapid.T) { n := names[index.Draw(t, "host")]; sim.away[n] = !sim.away[n] },
			"release":          func(t *rapid.T) { call(names[index.Draw(t, "host")], (*Lease).Release) },
			"reboot": func(t *rapid.T) {
				i := index.Draw(t, "host")
				delete(sim.hosts, names[i])
				restarts++
				names[i] = fmt.Sprint("host", restarts)
				sim.start(names[i])
			},
			"": func(*rapid.T) { sim.check() },
		}
		if era > 0 {
			actions["copy"] = func(*rapid.T) { sim.backup = sim.row }
			actions["restore"] = func(*rapid.T) { sim.restore() }
			actions["lose a takeover"] = func(t *rapid.T) { // that another host makes at the end of the lease
				next, last := names[index.Draw(t, "next")], names[index.Draw(t, "last")]
				call(next, (*Lease).Step)
				sim.backup = sim.row
				if end := sim.hosts[last].currentHolding().Deadline; end.After(sim.now) {
					sim.advance(end.Add(late.Draw(t, "late")).Sub(sim.now))
				}
				call(next, (*Lease).Step)
				sim.advance(late.Draw(t, "held"))
				sim.restore()
				call(last, (*Lease).Step)
			}
			actions["other reply"] = func(t *rapid.T) { // of another table of the platform
				sim.hosts[names[index.Draw(t, "host")]].table.(*hostTable).seenEra = sim.era
			}
		}
		t.Repeat(actions)
	})
	if heldSteps == 0 {
		t.Fatal("no host ever held the lease")
	}
}
