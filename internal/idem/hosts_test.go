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

// model records which requests ran under each key, over all hosts.
type model struct {
	mu           sync.Mutex
	runs         map[string]int
	fingerprints map[string]map[string]bool
	mayBlock     map[string]bool // a call of the key failed midway or its host crashed
	faults       []fault
	table        *memoryTable
}

// testHost is one host of the model.
type testHost struct {
	*Claims
	crashed  bool
	resumeAt time.Time
}

func (w *model) newHost() *testHost {
	h := &testHost{}
	h.Claims = New(&faultyTable{memoryTable: w.table, pick: func(string) fault {
		w.mu.Lock()
		defer w.mu.Unlock()
		if h.crashed {
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
		d := time.Until(h.resumeAt)
		w.mu.Unlock()
		time.Sleep(d)
		return time.Now()
	}))
	return h
}

func (w *model) crash(h *testHost) {
	w.mu.Lock()
	h.crashed = true
	for k := range w.fingerprints {
		w.mayBlock[k] = true
	}
	w.mu.Unlock()
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	_ = h.Close(canceled)
}

// call sends one request and checks its outcome against the model.
func (w *model) call(h *testHost, key, fingerprint, behaviour string, fail func(string, ...any)) {
	w.mu.Lock()
	before, ran := w.runs[key], false
	if w.fingerprints[key] == nil {
		w.fingerprints[key] = map[string]bool{}
	}
	w.fingerprints[key][fingerprint] = true
	w.mu.Unlock()
	called := false
	out, err := h.Do(context.Background(), Request{Account: "a", Key: key, Fingerprint: fingerprint},
		func(context.Context) (target.Answer, error) {
			if behaviour == "long" {
				time.Sleep(3 * time.Second)
			}
			w.mu.Lock()
			defer w.mu.Unlock()
			called = true
			if h.crashed {
				return target.Answer{}, errors.New("host has crashed")
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
				w.mayBlock[key] = true
				return target.Answer{}, errors.New("connection lost")
			}
			return target.Answer{Status: 200, Body: []byte(key + fingerprint)}, nil
		})
	w.mu.Lock()
	defer w.mu.Unlock()
	if h.crashed || err != nil {
		return
	}
	switch o := out.(type) {
	case Answered:
		if w.runs[key] != 1 || string(o.Answer.Body) != key+fingerprint {
			fail("key %s: answer %q after %d runs", key, o.Answer.Body, w.runs[key])
		}
	case NotRun:
		if ran || called && before > 0 {
			fail("key %s: NotRun(%s) is false", key, o.Reason)
		}
	case Conflict:
		if len(w.fingerprints[key]) < 2 {
			fail("key %s: conflict without a second fingerprint", key)
		}
	}
}

// Guards against a second run, a false "not run", the answer of another request
// and a key that stays blocked without a cause. Three hosts use the same keys
// concurrently while replies are lost, hosts crash and pause, and the platform
// fails.
func TestHostsNeverRunTwice(t *testing.T) {
	faults := rapid.SliceOfN(rapid.SampledFrom([]fault{
		fine, fine, fine, refused, lost, lost, nothing, late, slow, hang,
	}), 0, 8)
	rapid.Check(t, func(t *rapid.T) {
		rapid.SyncTest(t, func(t *rapid.T) {
			w := &model{
				runs: map[string]int{}, fingerprints: map[string]map[string]bool{},
				mayBlock: map[string]bool{}, table: newMemoryTable(),
			}
			var failures []string
			fail := func(f string, a ...any) { failures = append(failures, fmt.Sprintf(f, a...)) }
			hosts := []*testHost{w.newHost(), w.newHost(), w.newHost()}
			var calls sync.WaitGroup
			for range rapid.IntRange(1, 25).Draw(t, "steps") {
				i := rapid.IntRange(0, 2).Draw(t, "host")
				h := hosts[i]
				switch rapid.SampledFrom([]string{"call", "call", "call", "call", "fault", "crash", "pause", "wait"}).Draw(t, "step") {
				case "call":
					key := rapid.SampledFrom([]string{"k", "l"}).Draw(t, "key")
					fingerprint := rapid.SampledFrom([]string{"f", "f", "f", "f", "f", "g"}).Draw(t, "print")
					how := rapid.SampledFrom([]string{"run", "run", "refuse", "refuse", "long", "break", "vanish"}).Draw(t, "how")
					calls.Go(func() { w.call(h, key, fingerprint, how, fail) })
				case "fault":
					f := faults.Draw(t, "faults")
					w.mu.Lock()
					w.faults = f
					w.mu.Unlock()
				case "crash":
					w.crash(h)
					hosts[i] = w.newHost()
				case "pause":
					d := rapid.SampledFrom([]int{100, 4000, 6000}).Draw(t, "pause")
					w.mu.Lock()
					h.resumeAt = time.Now().Add(time.Duration(d) * time.Millisecond)
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
			h := w.newHost()
			for key, fingerprints := range w.fingerprints {
				for fingerprint := range fingerprints {
					w.call(h, key, fingerprint, "run", fail)
				}
				if w.runs[key] == 0 && !w.mayBlock[key] {
					fail("key %s is blocked although no call failed midway", key)
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
