package idem

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "sesamehill.example/sesamehill/internal/seeds"
	"sesamehill.example/sesamehill/internal/target"
)

// world is the naive model: what really ran under each key, over all hosts.
type world struct {
	mu     sync.Mutex
	runs   map[string]int
	prints map[string]map[string]bool
	excuse map[string]bool // a call broke off or its host died
	faults []fault
	table  *memory
}

// machine is one host of the world.
type machine struct {
	*Claims
	dead  bool
	awake time.Time
}

func (w *world) boot() *machine {
	h := &machine{}
	h.Claims = New(&faulty{memory: w.table, pick: func(string) fault {
		w.mu.Lock()
		defer w.mu.Unlock()
		if h.dead {
			return hang
		}
		if len(w.faults) == 0 {
			return fine
		}
		f := w.faults[0]
		w.faults = w.faults[1:]
		return f
	}}, WithClock(func() time.Time {
		w.mu.Lock()
		d := time.Until(h.awake)
		w.mu.Unlock()
		time.Sleep(d)
		return time.Now()
	}))
	return h
}

func (w *world) crash(h *machine) {
	w.mu.Lock()
	h.dead = true
	for k := range w.prints {
		w.excuse[k] = true
	}
	w.mu.Unlock()
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_ = h.Close(ended)
}

// call sends one request and checks its outcome against the model.
func (w *world) call(h *machine, key, print, behaviour string, fail func(string, ...any)) {
	w.mu.Lock()
	before, ran := w.runs[key], false
	if w.prints[key] == nil {
		w.prints[key] = map[string]bool{}
	}
	w.prints[key][print] = true
	w.mu.Unlock()
	called := false
	out, err := h.Do(context.Background(), Request{Account: "a", Key: key, Fingerprint: print},
		func(context.Context) (target.Answer, error) {
			if behaviour == "long" {
				time.Sleep(3 * time.Second)
			}
			w.mu.Lock()
			defer w.mu.Unlock()
			called = true
			if h.dead {
				return target.Answer{}, errors.New("host is dead")
			}
			if behaviour == "refuse" {
				return target.Answer{}, &target.NotRunError{Target: "t", Reason: "refused"}
			}
			if behaviour != "vanish" {
				ran = true
				w.runs[key]++
				if w.runs[key] > 1 {
					fail("key %s ran %d times", key, w.runs[key])
				}
			}
			if behaviour == "vanish" || behaviour == "break" {
				w.excuse[key] = true
				return target.Answer{}, errors.New("broke off")
			}
			return target.Answer{Status: 200, Body: []byte(key + print)}, nil
		})
	w.mu.Lock()
	defer w.mu.Unlock()
	if h.dead || err != nil {
		return
	}
	switch o := out.(type) {
	case Answered:
		if w.runs[key] != 1 || string(o.Answer.Body) != key+print {
			fail("key %s: answer %q after %d runs", key, o.Answer.Body, w.runs[key])
		}
	case NotRun:
		if ran || called && before > 0 {
			fail("key %s: NotRun(%s) is false", key, o.Reason)
		}
	case Conflict:
		if len(w.prints[key]) < 2 {
			fail("key %s: conflict without another body", key)
		}
	}
}

// Guards against a second run, a false "not run", a crossed answer and a key
// that stays blocked without a cause, when up to three hosts race with the same
// keys while replies are lost, hosts die and pause, and the platform fails.
func TestHostsNeverRunTwice(t *testing.T) {
	faults := rapid.SliceOfN(rapid.SampledFrom([]fault{
		fine, fine, fine, refused, lost, lost, nothing, late, slow, hang,
	}), 0, 8)
	rapid.Check(t, func(t *rapid.T) {
		rapid.SyncTest(t, func(t *rapid.T) {
			w := &world{
				runs: map[string]int{}, prints: map[string]map[string]bool{},
				excuse: map[string]bool{}, table: newMemory(),
			}
			var failures []string
			fail := func(f string, a ...any) { failures = append(failures, fmt.Sprintf(f, a...)) }
			hosts := []*machine{w.boot(), w.boot(), w.boot()}
			var calls sync.WaitGroup
			for range rapid.IntRange(1, 25).Draw(t, "steps") {
				i := rapid.IntRange(0, 2).Draw(t, "host")
				h := hosts[i]
				switch rapid.SampledFrom([]string{"call", "call", "call", "call", "fault", "crash", "pause", "wait"}).Draw(t, "step") {
				case "call":
					key := rapid.SampledFrom([]string{"k", "l"}).Draw(t, "key")
					print := rapid.SampledFrom([]string{"f", "f", "f", "f", "f", "g"}).Draw(t, "print")
					how := rapid.SampledFrom([]string{"run", "run", "refuse", "refuse", "long", "break", "vanish"}).Draw(t, "how")
					calls.Go(func() { w.call(h, key, print, how, fail) })
				case "fault":
					f := faults.Draw(t, "faults")
					w.mu.Lock()
					w.faults = f
					w.mu.Unlock()
				case "crash":
					w.crash(h)
					hosts[i] = w.boot()
				case "pause":
					d := rapid.SampledFrom([]int{100, 4000, 6000}).Draw(t, "pause")
					w.mu.Lock()
					h.awake = time.Now().Add(time.Duration(d) * time.Millisecond)
					w.mu.Unlock()
				case "wait":
					time.Sleep(time.Duration(rapid.SampledFrom([]int{1, 30, 600, 5000}).Draw(t, "wait")) * time.Millisecond)
				}
			}
			calls.Wait()
			w.mu.Lock()
			w.faults = nil
			w.mu.Unlock()
			time.Sleep(3 * time.Minute)
			h := w.boot()
			for key, prints := range w.prints {
				for print := range prints {
					w.call(h, key, print, "run", fail)
				}
				if w.runs[key] == 0 && !w.excuse[key] {
					fail("key %s is blocked although nothing broke off", key)
				}
			}
			for _, h := range append(hosts, h) {
				w.crash(h)
			}
			time.Sleep(3 * time.Minute)
			if len(failures) > 0 {
				t.Fatal(failures)
			}
		})
	})
}
