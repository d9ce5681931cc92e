package fakes_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sesamehill.example/sesamehill/internal/fakes"
	"sesamehill.example/sesamehill/internal/target"
	"sesamehill.example/sesamehill/pkg/chain"
)

func TestFakes(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fakes")
}

const size = 4

var ctx = context.Background()

func tokens(from, n int) []uint32 {
	t := make([]uint32, n)
	for i := range t {
		t[i] = uint32(from + i)
	}
	return t
}

func request(attempt, account string, prompt []uint32) target.GenerateRequest {
	scope := chain.Namespace{Account: account, Model: "advisor", Version: "1"}
	return target.GenerateRequest{
		Attempt: attempt, Account: account, Model: "advisor", Version: "1",
		Tokens: prompt, Keys: chain.Keys(scope, prompt, size), Max: 3,
	}
}

func newEngine(opts ...fakes.EngineOption) *fakes.Engine {
	e := fakes.NewEngine("engine", append([]fakes.EngineOption{
		fakes.WithCache(4, size, 512), fakes.WithPrefill(1e6), fakes.WithDecode(1e5),
	}, opts...)...)
	DeferCleanup(e.Close)
	return e
}

func collect(s target.Stream) ([]uint32, *target.RunUsage, error) {
	var out []uint32
	var usage *target.RunUsage
	for {
		c, err := s.Next()
		switch {
		case errors.Is(err, io.EOF):
			return out, usage, nil
		case err != nil:
			return out, usage, err
		case c.Done:
			usage = c.Usage
		default:
			out = append(out, c.Token)
		}
	}
}

// answer runs a request and returns its usage; it fails on a wrong answer.
func answer(e target.Engine, r target.GenerateRequest) *target.RunUsage {
	GinkgoHelper()
	s, err := e.Generate(ctx, r)
	Expect(err).NotTo(HaveOccurred())
	out, usage, err := collect(s)
	Expect(err).NotTo(HaveOccurred())
	Expect(append(r.Emitted[:len(r.Emitted):len(r.Emitted)], out...)).To(Equal(fakes.Answer(r.Tokens, r.Max)))
	return usage
}

func kinds(b target.EventBatch) []string {
	var k []string
	for _, v := range b.Events {
		k = append(k, fmt.Sprint(v.Sequence, v.Kind))
	}
	return k
}

var _ = Describe("Engine", func() {
	// Guards against a continuation that repeats, skips or changes tokens.
	It("continues after emitted tokens with the same answer", func() {
		e := newEngine()
		r := request("a", "keeper", tokens(0, 10))
		r.Max, r.Emitted = 9, fakes.Answer(r.Tokens, 4)
		Expect(answer(e, r).Generated).To(Equal(9))
		r.Attempt, r.Emitted = "b", append(fakes.Answer(r.Tokens, 3), 1)
		s, err := e.Generate(ctx, r)
		Expect(err).NotTo(HaveOccurred())
		out, _, err := collect(s)
		Expect(err).NotTo(HaveOccurred())
		Expect(out).NotTo(Equal(fakes.Answer(r.Tokens, 9)[4:]), "wrong emitted tokens must show in the answer")
	})

	// Guards against a cache that never evicts, or evicts without an event, which
	// would hide errors of the index.
	It("evicts the least recently used pieces and publishes events", func() {
		e := newEngine()
		Expect(answer(e, request("a", "keeper", tokens(0, 2*size))).Cached).To(BeZero())
		Expect(answer(e, request("b", "keeper", tokens(100, 2*size))).Cached).To(BeZero())
		Expect(answer(e, request("c", "keeper", tokens(0, 2*size))).Cached).To(Equal(2 * size))
		Expect(answer(e, request("d", "keeper", tokens(200, size))).Cached).To(BeZero())
		b, err := e.Events(ctx, 3)
		Expect(err).NotTo(HaveOccurred())
		Expect(kinds(b)).To(Equal([]string{"4stored", "5removed", "6stored"}))
		Expect(b.Last).To(Equal(uint64(6)))
		v, err := e.Inventory(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(v.Pieces).To(HaveLen(4))
		Expect(v.Sequence).To(Equal(uint64(6)))
		Expect(answer(e, request("e", "keeper", tokens(100, 2*size))).Cached).To(Equal(size), "its last piece is gone")
		e.Clear()
		b, err = e.Events(ctx, b.Last)
		Expect(err).NotTo(HaveOccurred())
		Expect(kinds(b)).To(ContainElement(HaveSuffix("cleared")))
	})

	// Guards against a prompt longer than the cache that returns and finds nothing,
	// because its head was evicted for its tail.
	It("keeps the head of a chain that is longer than the cache", func() {
		e := newEngine()
		Expect(answer(e, request("a", "keeper", tokens(0, 10*size))).Cached).To(BeZero())
		Expect(answer(e, request("b", "keeper", tokens(0, 10*size))).Cached).To(Equal(4 * size))
		Expect(answer(e, request("c", "keeper", tokens(100, size))).Cached).To(BeZero())
		Expect(answer(e, request("d", "keeper", tokens(0, 10*size))).Cached).To(Equal(3 * size))
	})

	It("drops and delays events but keeps their sequence numbers", func() {
		e := newEngine(
			fakes.WithEventLoss(func(v target.Event) bool { return v.Sequence == 2 }),
			fakes.WithEventDelay(60*time.Millisecond),
		)
		answer(e, request("a", "keeper", tokens(0, 3*size)))
		Expect(e.Events(ctx, 0)).To(BeZero())
		Eventually(func() []string {
			b, _ := e.Events(ctx, 0)
			return kinds(b)
		}).Should(Equal([]string{"1stored", "3stored"}))
	})

	// Guards against a block of another account that goes unnoticed (P2).
	It("reports the use of a block of another account", func() {
		e := newEngine()
		answer(e, request("a", "keeper", tokens(0, size)))
		stolen := request("b", "borough", tokens(0, size))
		stolen.Keys = request("", "keeper", tokens(0, size)).Keys
		answer(e, stolen)
		Expect(e.Violations()).To(HaveLen(1))
		wrong := request("c", "keeper", tokens(50, size))
		wrong.Keys = stolen.Keys
		s, err := e.Generate(ctx, wrong)
		Expect(err).NotTo(HaveOccurred())
		out, _, err := collect(s)
		Expect(err).NotTo(HaveOccurred())
		Expect(out).NotTo(Equal(fakes.Answer(wrong.Tokens, 3)), "a wrong block must show in the answer")
	})

	It("serves waiting runs by priority and refuses those above the queue", func() {
		e := newEngine(fakes.WithBatch(1), fakes.WithQueue(2), fakes.WithDecode(100))
		streams := make(map[string]target.Stream)
		for i, name := range []string{"first", "low", "high", "over"} {
			r := request(name, "keeper", tokens(0, 2))
			r.Priority = []int{0, 1, 5, 9}[i]
			s, err := e.Generate(ctx, r)
			if name == "over" {
				var notRun *target.NotRunError
				Expect(errors.As(err, &notRun)).To(BeTrue(), "%v", err)
				continue
			}
			Expect(err).NotTo(HaveOccurred())
			streams[name] = s
			Eventually(func() int {
				l, _ := e.Load(ctx)
				return l.Running
			}).Should(Equal(1))
		}
		l, err := e.Load(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect([]int{l.Running, l.Waiting, l.Tokens}).To(Equal([]int{1, 2, 4}))
		_, _, err = collect(streams["high"])
		Expect(err).NotTo(HaveOccurred())
		Expect(e.Counts().Finished).To(Equal(2), "the run of low priority came after the one of high")
		_, _, err = collect(streams["low"])
		Expect(err).NotTo(HaveOccurred())
	})

	It("takes the time of prefill and decode", func() {
		e := newEngine(fakes.WithPrefill(1000), fakes.WithDecode(100))
		start := time.Now()
		answer(e, request("a", "keeper", tokens(0, 40)))
		Expect(time.Since(start)).To(BeNumerically(">=", 70*time.Millisecond))
	})

	// Guards against a canceled run that keeps its place in the batch.
	It("cancels running and waiting runs", func() {
		e := newEngine(fakes.WithBatch(1), fakes.WithDecode(10))
		var streams []target.Stream
		for _, a := range []string{"running", "waiting"} {
			s, err := e.Generate(ctx, request(a, "keeper", tokens(0, 2)))
			Expect(err).NotTo(HaveOccurred())
			streams = append(streams, s)
		}
		for i, a := range []string{"running", "waiting"} {
			Expect(e.Cancel(ctx, a)).To(Succeed())
			_, _, err := collect(streams[i])
			Expect(err).To(HaveOccurred())
		}
		Eventually(func() int {
			l, _ := e.Load(ctx)
			return l.Running + l.Waiting
		}).Should(BeZero())
		var missing *target.MissingError
		Expect(errors.As(e.Cancel(ctx, "running"), &missing)).To(BeTrue())
	})

	// Guards against a run that ends with the process of its caller, and against
	// one that is kept for ever.
	It("keeps a run for resume for a time", func() {
		e := newEngine(fakes.WithKeep(80 * time.Millisecond))
		s, err := e.Generate(ctx, request("a", "keeper", tokens(0, 5)))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Close()).To(Succeed())
		s, err = e.Resume(ctx, "keeper", "a", 1)
		Expect(err).NotTo(HaveOccurred())
		out, _, err := collect(s)
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(Equal(fakes.Answer(tokens(0, 5), 3)[1:]))
		Eventually(func() error {
			_, err := e.Resume(ctx, "keeper", "a", 1)
			return err
		}).Should(MatchError(ContainSubstring("does not hold run a")))
	})

	// Guards against a killed engine that keeps runs or blocks (P1).
	It("loses runs and cache when it is killed by a request", func() {
		e := newEngine(fakes.WithDecode(20), fakes.WithPoison(func(r target.GenerateRequest) bool { return r.Attempt == "bad" }))
		s, err := e.Generate(ctx, request("a", "keeper", tokens(0, size)))
		Expect(err).NotTo(HaveOccurred())
		_, err = s.Next()
		Expect(err).NotTo(HaveOccurred())
		_, err = e.Generate(ctx, request("bad", "keeper", tokens(9, size)))
		Expect(err).NotTo(HaveOccurred())
		_, _, err = collect(s)
		var broken *target.BrokenError
		Expect(errors.As(err, &broken)).To(BeTrue(), "%v", err)
		_, err = e.Load(ctx)
		var notRun *target.NotRunError
		Expect(errors.As(err, &notRun)).To(BeTrue(), "%v", err)
		Expect(e.Restart()).To(Succeed())
		v, err := e.Inventory(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(v.Pieces).To(BeEmpty())
		Expect(e.Counts().Crashes).To(Equal(1))
		_, err = e.Resume(ctx, "keeper", "a", 0)
		Expect(err).To(HaveOccurred())
	})

	It("stands still while it is paused and goes on after", func() {
		e := newEngine(fakes.WithDecode(200))
		s, err := e.Generate(ctx, request("a", "keeper", tokens(0, 5)))
		Expect(err).NotTo(HaveOccurred())
		_, err = s.Next()
		Expect(err).NotTo(HaveOccurred())
		e.Pause()
		done := make(chan []uint32, 1)
		go func() {
			out, _, _ := collect(s)
			done <- out
		}()
		Consistently(done, "40ms").ShouldNot(Receive())
		e.Continue()
		Eventually(done).Should(Receive(Equal(fakes.Answer(tokens(0, 5), 3)[1:])))
	})

	It("reports the load of some time ago", func() {
		e := newEngine(fakes.WithReportLag(80*time.Millisecond), fakes.WithDecode(5))
		_, err := e.Load(ctx)
		Expect(err).NotTo(HaveOccurred())
		_, err = e.Generate(ctx, request("a", "keeper", tokens(0, 5)))
		Expect(err).NotTo(HaveOccurred())
		running := func() int {
			l, _ := e.Load(ctx)
			return l.Running
		}
		Expect(running()).To(BeZero())
		Eventually(running).Should(Equal(1))
	})
})

var _ = Describe("Order", func() {
	two := target.Loaded{Model: "advisor", Version: "2"}

	// Guards against a stale holder of a lease that moves an engine back.
	It("refuses an old fence unless it ignores fences", func() {
		e := newEngine()
		_, err := e.Order(ctx, target.Order{Fence: 7, Models: []target.Loaded{two}})
		Expect(err).NotTo(HaveOccurred())
		_, err = e.Order(ctx, target.Order{Fence: 6})
		Expect(err).To(MatchError(&target.FenceError{Target: "engine", Sent: 6, Accepted: 7}))
		lax := newEngine(fakes.WithIgnoredFences())
		for _, f := range []uint64{7, 6} {
			_, err = lax.Order(ctx, target.Order{Fence: f})
			Expect(err).NotTo(HaveOccurred())
		}
	})

	// Guards against blocks of an unloaded version that stay resident (P3).
	It("loads a version after a time and drops the pieces of the old one", func() {
		e := newEngine(fakes.WithWeights(fakes.NewWeights(0, 50*time.Millisecond)))
		answer(e, request("a", "keeper", tokens(0, size)))
		for range 2 {
			r, err := e.Order(ctx, target.Order{Fence: 1, Models: []target.Loaded{two}, Role: "decode"})
			Expect(err).NotTo(HaveOccurred())
			Expect(r.Models).To(BeEmpty())
		}
		next := request("b", "keeper", tokens(0, size))
		next.Version = "2"
		_, err := e.Generate(ctx, next)
		Expect(err).To(MatchError(ContainSubstring("version 2 of model advisor is not loaded")))
		l, err := e.Load(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect([]any{l.Loading, l.Role, l.Fence, l.Free}).To(Equal([]any{true, "decode", uint64(1), 4}))
		Eventually(func() []target.Loaded {
			l, _ := e.Load(ctx)
			return l.Models
		}).Should(Equal([]target.Loaded{two}))
		Expect(answer(e, next).Cached).To(BeZero())
	})

	// Guards against a version that stops serving while an adapter is added.
	It("keeps a version loaded while its adapters change", func() {
		e := newEngine(fakes.WithWeights(fakes.NewWeights(0, 30*time.Millisecond)))
		answer(e, request("a", "keeper", tokens(0, size)))
		with := target.Loaded{Model: "advisor", Version: "1", Adapters: []string{"ward"}}
		r, err := e.Order(ctx, target.Order{Models: []target.Loaded{with}})
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Models).To(Equal([]target.Loaded{{Model: "advisor", Version: "1"}}))
		Expect(answer(e, request("b", "keeper", tokens(0, size))).Cached).To(Equal(size))
		Eventually(func() []target.Loaded {
			l, _ := e.Load(ctx)
			return l.Models
		}).Should(Equal([]target.Loaded{with}))
	})

	It("loads slower while too many engines load at once", func() {
		w := fakes.NewWeights(1, 60*time.Millisecond)
		start := time.Now()
		var engines []*fakes.Engine
		for range 3 {
			e := newEngine(fakes.WithWeights(w))
			_, err := e.Order(ctx, target.Order{Models: []target.Loaded{two}})
			Expect(err).NotTo(HaveOccurred())
			engines = append(engines, e)
		}
		for _, e := range engines {
			Eventually(func() []target.Loaded {
				l, _ := e.Load(ctx)
				return l.Models
			}).Should(HaveLen(1))
		}
		Expect(time.Since(start)).To(BeNumerically(">", 120*time.Millisecond))
		peak, total := w.Peak()
		Expect([]int{peak, total}).To(Equal([]int{3, 3}))
	})
})
