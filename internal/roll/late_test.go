package roll_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"sesamehill.example/sesamehill/internal/roll"
	_ "sesamehill.example/sesamehill/internal/seeds"
)

const (
	// standInLoadTime is the time that an engine takes to load weights.
	standInLoadTime = 430 * time.Millisecond
	// settleTime is the time after the last announcement within which all engines have to
	// have the newest weights; orders are carried out up to 12 s late.
	settleTime = 30 * time.Second
)

var oneModel = []string{"m"}

// answerKind is how an engine treats an order.
type answerKind int

const (
	answered answerKind = iota
	// late orders get no answer and are carried out later.
	late
	// lost orders are not carried out and get no answer.
	lost
	// unheard orders are carried out at once, and the answer is lost.
	unheard
	// rejected orders are not carried out, as the answer says.
	rejected
)

// standIns are the engines of a test, with the lease and the publisher of the host. They
// follow the rule of the platform: an order has no effect once the engine has accepted
// another one since the order was made.
type standIns struct {
	mu sync.Mutex
	// start is the time at which the test began.
	start   time.Time
	engines []*standIn
	models  []string
	// desired is the desired version of each model.
	desired int
	// treat says how an engine treats its next order, and how late it carries out a late one.
	treat func(engine int) (answerKind, time.Duration)
	// problems are the broken rules that were seen.
	problems []string
	roller   *roll.Roller
}

type standIn struct {
	id            string
	versions      map[string]int
	starts        int
	sequence      uint64
	busy          bool
	orders, loads int
	// calls counts the orders that are being sent.
	calls         int
	firstOrder    time.Duration
	withheld      bool
	withheldSince time.Duration
	withheldFor   time.Duration
	loadingFor    time.Duration
}

func newStandIns(count int, models []string, treat func(int) (answerKind, time.Duration)) *standIns {
	s := &standIns{start: time.Now(), models: models, desired: 1, treat: treat}
	for i := range count {
		e := &standIn{id: fmt.Sprintf("e%02d", i), versions: map[string]int{}}
		for _, m := range models {
			e.versions[m] = 1
		}
		s.engines = append(s.engines, e)
	}
	return s
}

func (s *standIns) now() time.Duration { return time.Since(s.start) }

func (s *standIns) FencingToken() (uint64, error) { return 1, nil }
func (s *standIns) AllowsUnfenced() bool          { return true }

// Publish records which engines the hosts send no requests.
func (s *standIns) Publish(_ context.Context, p roll.Progress) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.engines {
		withheld := slices.Contains(p.Loading, e.id)
		switch {
		case withheld && !e.withheld:
			e.withheldSince = s.now()
		case !withheld && e.withheld:
			e.withheldFor += s.now() - e.withheldSince
		}
		e.withheld = withheld
	}
	return nil
}

func (s *standIns) Report(_ context.Context, address string) (roll.Report, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.find(address)
	return roll.Report{Versions: maps.Clone(e.versions), Sequence: e.sequence, Busy: e.busy, Running: 3}, nil
}

func (s *standIns) find(id string) *standIn {
	return s.engines[slices.IndexFunc(s.engines, func(e *standIn) bool { return e.id == id })]
}

func (s *standIns) Order(ctx context.Context, o roll.Order) (roll.OrderResult, error) {
	s.mu.Lock()
	i := slices.IndexFunc(s.engines, func(e *standIn) bool { return e.id == o.Target })
	e := s.engines[i]
	e.orders++
	if e.calls++; e.calls > 1 {
		s.problems = append(s.problems, e.id+" is ordered twice at once")
	}
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		e.calls--
	}()
	if e.firstOrder == 0 {
		e.firstOrder = s.now()
	}
	kind, delay := s.treat(i)
	starts := e.starts
	s.mu.Unlock()
	switch kind {
	case late:
		time.AfterFunc(delay, func() { s.carryOut(e, o, starts) })
	case unheard:
		s.carryOut(e, o, starts)
	case answered:
		return s.carryOut(e, o, starts), nil
	case rejected:
		return roll.Rejected, nil
	}
	<-ctx.Done()
	return roll.Unknown, ctx.Err()
}

// carryOut applies an order to an engine, unless that has restarted since, and starts to load
// the weights.
func (s *standIns) carryOut(e *standIn, o roll.Order, starts int) roll.OrderResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case e.starts != starts:
		return roll.WrongEngine
	case e.versions[o.Model] == o.Version && !e.busy:
		return roll.AlreadyLoaded
	case e.busy || e.sequence != o.Sequence:
		return roll.Conflict
	case o.Version < e.versions[o.Model]:
		s.problems = append(s.problems, fmt.Sprintf("%s is set back from version %d to %d", e.id, e.versions[o.Model], o.Version))
	}
	e.busy = true
	e.sequence++
	e.loads++
	e.loadingFor += standInLoadTime
	time.AfterFunc(standInLoadTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if e.starts == starts {
			e.versions[o.Model], e.busy = o.Version, false
		}
	})
	return roll.Accepted
}

// restart restarts an engine: it keeps its weights and has accepted no orders.
func (s *standIns) restart(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.engines[i]
	e.starts++
	e.sequence, e.busy = 0, false
}

func (s *standIns) name(version int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.desired = version
}

func (s *standIns) source() roll.Source {
	return roll.Source{
		DesiredVersions: func() map[string]int {
			s.mu.Lock()
			defer s.mu.Unlock()
			desired := map[string]int{}
			for _, m := range s.models {
				desired[m] = s.desired
			}
			return desired
		},
		Engines: func() []roll.Engine {
			s.mu.Lock()
			defer s.mu.Unlock()
			var out []roll.Engine
			for _, e := range s.engines {
				for m, version := range e.versions {
					out = append(out, roll.Engine{ID: e.id, Address: e.id, Service: "llm", Model: m, Version: version})
				}
			}
			return out
		},
		RecordVersion: func(string, string, int) {},
		ReportFailed:  func(string) {},
	}
}

// run runs a rollout while script runs, and until settleTime after.
func (s *standIns) run(script func()) {
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	s.roller = roll.New("a", s, s, s, s.source(), roll.WithClock(s.now))
	go func() {
		defer close(done)
		_ = s.roller.Run(ctx)
	}()
	script()
	time.Sleep(settleTime)
	stop()
	<-done
}

// outdated returns the engines that lack the desired weights.
func (s *standIns) outdated() (ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.engines {
		if slices.ContainsFunc(s.models, func(m string) bool { return e.versions[m] != s.desired }) {
			ids = append(ids, e.id)
		}
	}
	return ids
}

func (s *standIns) sum(value func(*standIn) int) (n int) {
	for _, e := range s.engines {
		n += value(e)
	}
	return n
}

// lateOrders makes engines carry out orders 2 to 12 s late, without an answer.
func lateOrders(seed uint64) func(int) (answerKind, time.Duration) {
	random := rand.New(rand.NewPCG(seed, 0))
	return func(int) (answerKind, time.Duration) {
		return late, 2*time.Second + time.Duration(random.Int64N(int64(10*time.Second)))
	}
}

// Guards against a rollout that waits for answers: engines that are ordered only after
// others have failed to answer, and engines that get no requests while an order which may
// come much later is out.
func TestLateOrders(t *testing.T) {
	for _, count := range []int{9, 18, 60} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			RegisterTestingT(t)
			var s *standIns
			synctest.Test(t, func(*testing.T) {
				s = newStandIns(count, oneModel, lateOrders(uint64(count)))
				s.run(func() {
					s.name(2)
					time.Sleep(4200 * time.Millisecond)
					s.name(3)
				})
			})
			Expect(s.problems).To(BeEmpty())
			Expect(s.outdated()).To(BeEmpty())
			var lastFirst time.Duration
			var withheld time.Duration
			for _, e := range s.engines {
				lastFirst = max(lastFirst, e.firstOrder)
				withheld += e.withheldFor - e.loadingFor
			}
			loads, orders := s.sum(func(e *standIn) int { return e.loads }), s.sum(func(e *standIn) int { return e.orders })
			t.Logf("last first order after %s, withheld without a load for %s an engine, %d loads and %d orders of %d engines",
				lastFirst, withheld/time.Duration(count), loads, orders, count)
			Expect(lastFirst).To(BeNumerically("<", 3*time.Second))
			Expect(withheld / time.Duration(count)).To(BeNumerically("<", 1500*time.Millisecond))
			Expect(loads).To(BeNumerically("<=", 2*count))
		})
	}
}

// Guards against a rollout that takes most engines out of service at once, or orders an
// engine twice, where orders are answered.
func TestAnsweredOrders(t *testing.T) {
	RegisterTestingT(t)
	const count = 18
	var s *standIns
	most := 0
	synctest.Test(t, func(*testing.T) {
		s = newStandIns(count, oneModel, func(int) (answerKind, time.Duration) { return answered, 0 })
		s.run(func() {
			s.name(2)
			for range 200 {
				time.Sleep(50 * time.Millisecond)
				s.mu.Lock()
				most = max(most, s.sum(func(e *standIn) int {
					if e.withheld {
						return 1
					}
					return 0
				}))
				s.mu.Unlock()
			}
		})
	})
	Expect(s.problems).To(BeEmpty())
	Expect(s.outdated()).To(BeEmpty())
	Expect(most).To(BeNumerically("<=", 6))
	Expect(s.sum(func(e *standIn) int { return e.orders })).To(Equal(count))
	Expect(s.sum(func(e *standIn) int { return e.loads })).To(Equal(count))
}

// Guards against engines with older weights of which an operator cannot see why.
func TestReasons(t *testing.T) {
	for kind, want := range map[answerKind]roll.Reason{lost: roll.NoAnswer, rejected: roll.OrderFailed, answered: roll.NotOrdered} {
		t.Run(string(want), func(t *testing.T) {
			RegisterTestingT(t)
			seen := 0
			synctest.Test(t, func(*testing.T) {
				s := newStandIns(9, oneModel, func(int) (answerKind, time.Duration) { return kind, 0 })
				s.run(func() {
					s.name(2)
					for range 30 {
						time.Sleep(100 * time.Millisecond)
						seen = max(seen, s.roller.Outdated()[want])
					}
				})
				if kind == answered {
					Expect(s.roller.Outdated()).To(BeEmpty())
				}
			})
			Expect(seen).To(BeNumerically(">=", 4))
		})
	}
}

// Guards against sequences of announcements, treatments of orders and restarts of engines
// that set weights back, load a version twice or leave engines without the newest.
func TestRandomOrders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		count := rapid.IntRange(1, 12).Draw(rt, "engines")
		models := []string{"m", "n", "o"}[:rapid.IntRange(1, 3).Draw(rt, "models")]
		kinds := rapid.SliceOfN(rapid.SampledFrom([]answerKind{answered, late, lost, unheard}), 1, 30).Draw(rt, "treatments")
		delays := rapid.SliceOfN(rapid.IntRange(2000, 12000), 1, 30).Draw(rt, "delays in ms")
		pauses := rapid.SliceOfN(rapid.IntRange(10, 9000), 1, 5).Draw(rt, "pauses in ms")
		restarts := rapid.SliceOfN(rapid.IntRange(-3, count-1), len(pauses), len(pauses)).Draw(rt, "restarts")
		var s *standIns
		synctest.Test(t, func(*testing.T) {
			n, ended := 0, false
			s = newStandIns(count, models, func(int) (answerKind, time.Duration) {
				n++
				if ended {
					return answered, 0
				}
				return kinds[n%len(kinds)], time.Duration(delays[n%len(delays)]) * time.Millisecond
			})
			s.run(func() {
				for i, p := range pauses {
					s.name(i + 2)
					time.Sleep(time.Duration(p) * time.Millisecond)
					if restarts[i] >= 0 {
						s.restart(restarts[i])
					}
				}
				s.mu.Lock()
				ended = true
				s.mu.Unlock()
			})
		})
		for _, p := range s.problems {
			rt.Error(p)
		}
		if o := s.outdated(); len(o) > 0 {
			rt.Errorf("outdated engines: %v", o)
		}
		for _, e := range s.engines {
			if e.loads > len(pauses)*len(models)+e.starts {
				rt.Errorf("%s loaded %d times for %d versions and %d restarts", e.id, e.loads, len(pauses)*len(models), e.starts)
			}
		}
	})
}
