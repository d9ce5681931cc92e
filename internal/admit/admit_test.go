package admit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"sesamehill.example/sesamehill/internal/admit"
	_ "sesamehill.example/sesamehill/internal/seeds"
	"sesamehill.example/sesamehill/pkg/config"
)

var start = time.Unix(1_800_000_000, 0)

func TestAdmit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "admit")
}

func account(name string, rate float64, concurrency int) config.Account {
	return config.Account{Name: name, Rate: rate, Concurrency: concurrency}
}

func request(id uint64, account string, tokens int, deadline time.Time) admit.Request {
	return admit.Request{ID: id, Account: account, Tokens: tokens, Deadline: deadline}
}

// p95Wait runs two accounts for a minute on 4 slots and returns the 95th percentile
// of the time that account b waits to start; account a sends at its rate times load.
func p95Wait(load float64, seed uint64) time.Duration {
	c := admit.New(admit.WithSlots(4), admit.WithQueue(200))
	c.SetAccounts([]config.Account{account("a", 5, 20), account("b", 20, 20)}, start)
	r := rand.New(rand.NewPCG(seed, 1))
	var waits []time.Duration
	endTimes, submitted := map[uint64]time.Time{}, map[uint64]time.Time{}
	next := map[string]time.Time{"a": start, "b": start}
	rates := map[string]float64{"a": 5 * load, "b": 10}
	id := uint64(0)
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(time.Millisecond) {
		for k, at := range endTimes {
			if !at.After(now) {
				delete(endTimes, k)
				c.Done(k, now)
			}
		}
		for _, name := range []string{"a", "b"} {
			for !next[name].After(now) {
				id++
				if c.Submit(request(id, name, 1000, now.Add(5*time.Second)), now) == (admit.Queued{ID: id}) && name == "b" {
					submitted[id] = now
				}
				next[name] = next[name].Add(time.Duration(r.ExpFloat64() / rates[name] * 1e9))
			}
		}
		for _, e := range c.Next(now) {
			if s, ok := e.(admit.Started); ok {
				endTimes[s.ID] = now.Add(150 * time.Millisecond)
				if at, ok := submitted[s.ID]; ok {
					waits = append(waits, now.Sub(at)+150*time.Millisecond)
				}
			}
		}
	}
	slices.Sort(waits)
	return waits[len(waits)*95/100]
}

var _ = Describe("Controller", func() {
	// Guards against one account slowing down the others by sending ten times its
	// rate.
	It("keeps the p95 of an account within 10% under another's flood", func() {
		for seed := range uint64(5) {
			Expect(p95Wait(10, seed).Seconds()).To(BeNumerically("<", 1.1*p95Wait(1, seed).Seconds()))
		}
	})

	// Guards against a full queue blocking an account with few requests.
	It("evicts from the largest part of a full queue", func() {
		c := admit.New(admit.WithSlots(0), admit.WithQueue(3))
		c.SetAccounts([]config.Account{account("a", 100, 100), account("b", 100, 100)}, start)
		for id := range uint64(3) {
			Expect(c.Submit(request(id, "a", 10, start.Add(time.Minute)), start)).To(Equal(admit.Queued{ID: id}))
		}
		Expect(c.Submit(request(3, "b", 10, start.Add(time.Minute)), start)).To(Equal(admit.Queued{ID: 3}))
		Expect(c.Next(start)).To(ConsistOf(admit.Refused{ID: 2, Reason: admit.QueueShare, RetryAfter: time.Second}))
		Expect(c.Submit(request(4, "a", 10, start.Add(time.Minute)), start)).To(HaveField("Reason", admit.QueueShare))
	})

	// Guards against refusing a caller only at its deadline although the refusal is
	// certain at once.
	It("immediately refuses a request that the rate delays past its deadline, with the retry delay", func() {
		c := admit.New()
		c.SetAccounts([]config.Account{account("a", 0.5, 10)}, start)
		Expect(c.Submit(request(1, "a", 10, start.Add(time.Second)), start)).To(Equal(admit.Queued{ID: 1}))
		Expect(c.Next(start)).To(ConsistOf(admit.Started{ID: 1}))
		Expect(c.Submit(request(2, "a", 10, start.Add(500*time.Millisecond)), start)).To(
			Equal(admit.Refused{ID: 2, Reason: admit.AccountLimit, RetryAfter: 1500 * time.Millisecond}))
	})

	// Guards against requests that keep waiting after the account's share has grown.
	It("starts a waiting request when the share grows", func() {
		c := admit.New()
		c.SetAccounts([]config.Account{account("a", 100, 4)}, start)
		c.SetHosts(4)
		c.Submit(request(1, "a", 1, start.Add(time.Minute)), start)
		c.Submit(request(2, "a", 1, start.Add(time.Minute)), start)
		Expect(c.Next(start)).To(HaveLen(1))
		for _, h := range []string{"x", "y", "z"} {
			c.RecordReport(admit.Report{Host: h, At: start})
		}
		Expect(c.Next(c.Wake())).To(ConsistOf(admit.Started{ID: 2}))
	})

	It("starts a higher priority and an earlier deadline first", func() {
		c := admit.New(admit.WithSlots(0))
		c.SetAccounts([]config.Account{account("a", 100, 100)}, start)
		for id, r := range []admit.Request{{Deadline: start.Add(9e9)}, {Deadline: start.Add(8e9)}, {Deadline: start.Add(9e9), Priority: 1}} {
			r.ID, r.Account = uint64(id), "a"
			c.Submit(r, start)
		}
		c.SetSlots(9)
		Expect(c.Next(start)).To(Equal([]admit.Event{admit.Started{ID: 2}, admit.Started{ID: 1}, admit.Started{ID: 0}}))
	})
})

// Guards against a start order that differs from plain deficit round robin.
func TestOrderMatchesNaiveRoundRobin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := admit.New(admit.WithSlots(0))
		var accounts []config.Account
		for i := range 4 {
			accounts = append(accounts, config.Account{Name: fmt.Sprint(i), Rate: 1e6, Concurrency: 1e6, Priority: i % 2})
		}
		c.SetAccounts(accounts, start)
		queues, turns := map[int][]admit.Request{}, []int{}
		for id := range rapid.IntRange(0, 30).Draw(t, "requests") {
			a := rapid.IntRange(0, 3).Draw(t, "account")
			r := request(uint64(id), fmt.Sprint(a), rapid.IntRange(1, 20_000).Draw(t, "tokens"), start.Add(time.Minute))
			c.Submit(r, start)
			if queues[a] = append(queues[a], r); len(queues[a]) == 1 {
				turns = append(turns, a)
			}
		}
		var want, got []admit.Event
		for deficit := map[int]int{}; len(turns) > 0; turns = turns[1:] {
			a := turns[0]
			for len(queues[a]) > 0 && queues[a][0].Tokens <= deficit[a] {
				want = append(want, admit.Started{ID: queues[a][0].ID})
				deficit[a] -= queues[a][0].Tokens
				queues[a] = queues[a][1:]
			}
			if deficit[a] += 4000 * (1 + a%2); len(queues[a]) > 0 {
				turns = append(turns, a)
			}
		}
		for slots := 1; slots <= len(want); slots++ {
			c.SetSlots(slots)
			got = append(got, c.Next(start)...)
		}
		if !slices.Equal(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}

// Guards against lost requests, requests with two outcomes, and exceeded limits,
// over random interleavings.
func TestEveryRequestHasOneOutcomeWithinTheLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := func(n string, low, high int) int { return rapid.IntRange(low, high).Draw(t, n) }
		slots, size := count("slots", 1, 4), count("size", 1, 12)
		c := admit.New(admit.WithSlots(slots), admit.WithQueue(size))
		accounts := []config.Account{account("a", float64(count("rate", 0, 50)), count("concurrency", 0, 9)), account("b", 50, 50)}
		c.SetAccounts(accounts, start)
		const waiting, running, ended, released = 1, 2, 3, 4
		state, owner := map[uint64]int{}, map[uint64]string{}
		starts, tokens, served := map[string]int{}, map[uint64]int{}, map[string]int{}
		now := start
		apply := func(e admit.Event) {
			switch e := e.(type) {
			case admit.Started:
				if state[e.ID] != waiting {
					t.Fatalf("request %d started in state %d", e.ID, state[e.ID])
				}
				state[e.ID] = running
				starts[owner[e.ID]]++
				served[owner[e.ID]] += tokens[e.ID]
			case admit.Refused:
				if state[e.ID] != waiting || e.RetryAfter < time.Second || e.RetryAfter > time.Minute {
					t.Fatalf("%+v in state %d", e, state[e.ID])
				}
				state[e.ID] = ended
			}
		}
		for id := range uint64(count("steps", 20, 150)) {
			switch rapid.SampledFrom([]int{0, 0, 1, 2, 2, 3, 4}).Draw(t, "step") {
			case 0:
				name := accounts[count("account", 0, 1)].Name
				state[id], owner[id], tokens[id] = waiting, name, rapid.SampledFrom([]int{1, 9000, 9000}).Draw(t, "tokens")
				apply(c.Submit(request(id, name, tokens[id], now.Add(time.Duration(count("deadline", 0, 50_000))*time.Millisecond)), now))
			case 1:
				now = now.Add(time.Duration(count("ms", 0, 500)) * time.Millisecond)
			case 2:
				for k := range id {
					if state[k] == running {
						c.Done(k, now)
						state[k] = ended
						break
					}
				}
			case 3:
				if k := uint64(count("done", 0, int(id))); state[k] == running || state[k] == waiting || state[k] == released {
					c.Done(k, now)
					state[k] = ended
				}
			case 4:
				k := uint64(count("release", 0, int(id)))
				c.Release(k, now)
				if state[k] == running {
					state[k] = released
				}
			}
			for _, e := range c.Next(now) {
				apply(e)
			}
			runningCount, waitingCount, slotCount, bIdle := map[string]int{}, 0, 0, true
			for k, s := range state {
				switch s {
				case running:
					runningCount[owner[k]]++
					slotCount++
				case released:
					runningCount[owner[k]]++
				case waiting:
					waitingCount++
					bIdle = bIdle && owner[k] != "b"
				}
			}
			// While b waits, a gets at most one turn and two requests more than b.
			if bIdle {
				clear(served)
			} else if served["a"] > served["b"]+4000+2*9000 {
				t.Fatalf("served %v tokens while b waits", served)
			}
			limit := accounts[0].Rate*(now.Sub(start).Seconds()+1) + 1e-6
			if runningCount["a"] > accounts[0].Concurrency || slotCount > slots || waitingCount > size || float64(starts["a"]) > limit {
				t.Fatalf("running %v, slots %d of %d, waiting %d, started %v", runningCount, slotCount, slots, waitingCount, starts)
			}
		}
		for _, e := range c.Next(now.Add(time.Hour)) {
			apply(e)
		}
		for k, s := range state {
			if s == waiting {
				t.Fatalf("request %d waits forever", k)
			}
		}
	})
}

// Guards against shares of all hosts that add up to more than the limit, also
// when the hosts are partitioned into groups without reports of each other.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demand := rapid.SliceOfN(rapid.Float64Range(0, 100), 1, 20).Draw(t, "demand")
		cut := rapid.IntRange(0, len(demand)).Draw(t, "cut")
		total := 0.0
		for _, group := range [][]float64{demand[:cut], demand[cut:]} {
			sum := 0.0
			for _, d := range group {
				sum += d
			}
			for _, d := range group {
				total += admit.Share(d, max(0, sum-d), len(group)-1, len(demand))
			}
		}
		if total > 1+1e-9 || total < 1-1e-9 {
			t.Fatalf("shares of %v cut at %d add up to %g", demand, cut, total)
		}
	})
}

func BenchmarkController(b *testing.B) {
	for _, n := range []int{10, 1000, 10_000} {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			c := admit.New(admit.WithSlots(64), admit.WithQueue(2*n))
			var accounts []config.Account
			for i := range n {
				accounts = append(accounts, account(fmt.Sprint(i), 1e6, 1000))
			}
			c.SetAccounts(accounts, start)
			var running []uint64
			now, id := start, uint64(0)
			step := func() {
				id++
				now = now.Add(100 * time.Microsecond)
				c.Submit(request(id, accounts[id%uint64(n)].Name, 1+int(id%8000), now.Add(time.Hour)), now)
				if len(running) == 64 {
					c.Done(running[0], now)
					running = running[1:]
				}
				for _, e := range c.Next(now) {
					if s, ok := e.(admit.Started); ok {
						running = append(running, s.ID)
					}
				}
			}
			for range n {
				step()
			}
			b.ReportAllocs()
			for b.Loop() {
				step()
			}
		})
	}
}
