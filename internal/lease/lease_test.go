package lease

import (
	"context"
	"fmt"
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

func TestLease(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "lease")
}

// world is a table, a clock and the hosts; everything runs on one goroutine.
type world struct {
	table.Table
	now    time.Time
	row    table.Row
	late   map[time.Time]table.Op
	faults []string
	floor  uint64
	// during runs while an operation waits, so that other hosts overtake it.
	during func()
	hosts  map[string]*Lease
	// last is the last moment at which a host could have sent an order.
	last map[string]time.Time
	seen map[uint64]string
	fail func(string)
}

func newWorld(fail func(string)) *world {
	return &world{
		now: time.Now(), late: map[time.Time]table.Op{}, hosts: map[string]*Lease{},
		last: map[string]time.Time{}, seen: map[uint64]string{}, fail: fail, during: func() {},
	}
}

func (w *world) boot(name string) {
	w.hosts[name] = New(w, "rollout", name, WithClock(func() time.Time { return w.now }),
		WithFloor(func() uint64 { return w.floor }))
}

func (w *world) advance(d time.Duration) {
	for end := w.now.Add(d); ; {
		if w.now.After(end) {
			end = w.now // another pause has ended later
		}
		next := end
		for at := range w.late {
			if at.Before(next) {
				next = at
			}
		}
		w.now = next
		w.check()
		if op, ok := w.late[next]; ok {
			delete(w.late, next)
			_ = w.apply(op)
			continue
		}
		if !next.Before(end) {
			return
		}
	}
}

// check asserts that one host at most may give orders, that each fence has one
// host, and that no order of another host can be in flight at an unfenced target.
func (w *world) check() {
	for name, l := range w.hosts {
		h := l.current()
		if h.Record.Fence == 0 {
			continue
		}
		until := h.Deadline.Add(-margin)
		if until.After(w.now) {
			until = w.now
		}
		if until.After(w.last[name]) && !until.Before(h.Acquired) {
			w.last[name] = until
		}
	}
	for name, l := range w.hosts {
		fence, err := l.Fence()
		if err != nil {
			continue
		}
		key := name + l.current().Record.Token
		if was, ok := w.seen[fence]; ok && was != key {
			w.fail(fmt.Sprintf("fence %d belongs to %s and %s", fence, was, key))
		}
		w.seen[fence] = key
		for other, at := range w.last {
			if o := w.hosts[other]; other != name && o != nil && o.current().Valid(w.now) {
				w.fail(fmt.Sprintf("%s and %s both hold the lease", name, other))
			}
			if other != name && l.Unfenced() && at.Add(2*time.Second).After(w.now) {
				w.fail(fmt.Sprintf("%s gives unfenced orders %v after %s", name, w.now.Sub(at), other))
			}
		}
	}
}

func (w *world) fault() (name string, pause time.Duration) {
	if len(w.faults) == 0 {
		return "", 0
	}
	f := w.faults[0]
	w.faults = w.faults[1:]
	name, arg, _ := strings.Cut(f, ":")
	pause, _ = time.ParseDuration(arg)
	return name, pause
}

func (w *world) Read(context.Context, ...string) ([]table.Row, error) {
	f, pause := w.fault()
	if f == "down" {
		return nil, &table.DownError{Reason: "test"}
	}
	row := w.row
	if f == "pause" { // the reply is late
		w.during()
		w.advance(pause)
	}
	return []table.Row{row}, nil
}

func (w *world) Write(_ context.Context, ops []table.Op) error {
	f, pause := w.fault()
	gone := &table.UnknownError{Reason: "test"}
	switch f {
	case "down":
		return &table.DownError{Reason: "test"}
	case "nothing":
		return gone
	case "late":
		w.late[w.now.Add(4*time.Second)] = ops[0]
		return gone
	case "pause":
		w.during()
		w.advance(pause)
	}
	err := w.apply(ops[0])
	if f == "after" {
		w.during()
		w.advance(pause)
	}
	if f == "lost" {
		return gone
	}
	return err
}

func (w *world) apply(op table.Op) error {
	if op.Version != w.row.Version {
		return &table.ConflictError{Key: op.Key, Version: w.row.Version}
	}
	w.row = table.Row{Key: op.Key, Version: op.Version + 1, Value: op.Value}
	return nil
}

// Guards against two holders, orders after the deadline, and orders to targets
// that ignore fences while one of the old holder is in flight.
var _ = Describe("Lease", func() {
	archive, err := txtar.ParseFile("testdata/lease.txtar")
	if err != nil {
		panic(err)
	}
	for _, f := range archive.Files {
		It(f.Name, func() {
			w := newWorld(func(s string) { Fail(s) })
			w.boot("a")
			w.boot("b")
			for line := range strings.Lines(string(f.Data)) {
				words := strings.Fields(line)
				l := w.hosts[words[0]]
				switch {
				case l == nil && line[0] == '+':
					d, err := time.ParseDuration(words[0][1:])
					Expect(err).NotTo(HaveOccurred())
					w.advance(d)
				case words[0] == "floor":
					w.floor, err = strconv.ParseUint(words[1], 10, 64)
					Expect(err).NotTo(HaveOccurred())
				case l == nil:
					w.faults = words
				case words[1] == "step":
					_ = l.Step(context.Background())
				case words[1] == "release":
					Expect(l.Release(context.Background())).To(Succeed())
				default:
					got := "none"
					if fence, err := l.Fence(); err == nil {
						got = fmt.Sprint(map[bool]string{true: "full ", false: "fenced "}[l.Unfenced()], fence)
					}
					Expect(got).To(Equal(strings.Join(words[2:], " ")), line)
				}
				w.check()
			}
		})
	}
})

// Guards against two holders at once under any interleaving of three hosts that
// step, release, pause inside a table operation, die and start again, while
// replies are lost or late and the platform is down.
func TestOneHolder(t *testing.T) {
	held := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(func(s string) { t.Fatal(s) })
		names, boots, busy := []string{"a", "b", "c"}, 0, map[string]bool{}
		for _, n := range names {
			w.boot(n)
		}
		do := func(n string, f func(*Lease, context.Context) error) {
			if !busy[n] {
				busy[n] = true
				_ = f(w.hosts[n], context.Background())
				busy[n] = false
				w.check()
			}
		}
		index := rapid.IntRange(0, 2)
		pause := rapid.SampledFrom([]time.Duration{10 * time.Millisecond, time.Second, 3 * time.Second, 9 * time.Second, 11 * time.Second})
		w.during = func() {
			for range rapid.IntRange(0, 2).Draw(t, "overtakers") {
				w.advance(pause.Draw(t, "before"))
				do(names[index.Draw(t, "overtaker")], (*Lease).Step)
			}
		}
		fault := rapid.SampledFrom([]string{"", "down", "nothing", "lost", "late", "pause:3s", "pause:11s", "after:3s", "after:11s"})
		t.Repeat(map[string]func(*rapid.T){
			"step": func(t *rapid.T) {
				n := names[index.Draw(t, "host")]
				do(n, (*Lease).Step)
				if _, err := w.hosts[n].Fence(); err == nil {
					held++
				}
			},
			"fault":   func(t *rapid.T) { w.faults = []string{fault.Draw(t, "first"), fault.Draw(t, "second")} },
			"advance": func(t *rapid.T) { w.advance(pause.Draw(t, "time")) },
			"release": func(t *rapid.T) { do(names[index.Draw(t, "host")], (*Lease).Release) },
			"reboot": func(t *rapid.T) {
				i := index.Draw(t, "host")
				delete(w.hosts, names[i])
				boots++
				names[i] = fmt.Sprint("host", boots)
				w.boot(names[i])
			},
			"": func(*rapid.T) { w.check() },
		})
	})
	if held == 0 {
		t.Fatal("no host ever held the lease")
	}
}
