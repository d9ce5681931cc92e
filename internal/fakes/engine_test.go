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

const blockTokens = 4

var ctx = context.Background()

// tokens returns n consecutive tokens that start with first.
func tokens(first, n int) []uint32 {
	t := make([]uint32, n)
	for i := range t {
		t[i] = uint32(first + i)
	}
	return t
}

func request(attempt, account string, prompt []uint32) target.GenerateRequest {
	namespace := chain.Namespace{Account: account, Model: "advisor", Version: "1"}
	return target.GenerateRequest{
		Attempt: attempt, Account: account, Model: "advisor", Version: "1",
		Tokens: prompt, Keys: chain.Keys(namespace, prompt, blockTokens), MaxTokens: 3,
	}
}

func newEngine(opts ...fakes.EngineOption) *fakes.Engine {
	e := fakes.NewEngine("engine", append([]fakes.EngineOption{
		fakes.WithCache(4, blockTokens, 512), fakes.WithPrefill(1e6), fakes.WithDecode(1e5),
	}, opts...)...)
	DeferCleanup(e.Close)
	return e
}

// collect reads a stream to its end.
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

// runCorrectly runs a request, fails on a wrong answer and returns the usage.
func runCorrectly(e target.Engine, r target.GenerateRequest) *target.RunUsage {
	GinkgoHelper()
	s, err := e.Generate(ctx, r)
	Expect(err).NotTo(HaveOccurred())
	out, usage, err := collect(s)
	Expect(err).NotTo(HaveOccurred())
	Expect(append(r.Emitted[:len(r.Emitted):len(r.Emitted)], out...)).To(Equal(fakes.Answer(r.Tokens, r.MaxTokens)))
	return usage
}

// kinds formats the sequence numbers and kinds of events.
func kinds(b target.EventBatch) []string {
	var k []string
	for _, v := range b.Events {
		k = append(k, fmt.Sprint(v.Sequence, v.Kind))
	}
	return k
}

var _ = Describe("Engine", func() {
	// Guards against a continuation after emitted tokens that repeats, skips or changes
	// tokens.
	It("continues after emitted tokens with the same answer", func() {
		e := newEngine()
		r := request("a", "keeper", tokens(0, 10))
		r.MaxTokens, r.Emitted = 9, fakes.Answer(r.Tokens, 4)
		Expect(runCorrectly(e, r).GeneratedTokens).To(Equal(9))
		r.Attempt, r.Emitted = "b", append(fakes.Answer(r.Tokens, 3), 1)
		s, err := e.Generate(ctx, r)
		Expect(err).NotTo(HaveOccurred())
		out, _, err := collect(s)
		Expect(err).NotTo(HaveOccurred())
		Expect(out).NotTo(Equal(fakes.Answer(r.Tokens, 9)[4:]), "wrong emitted tokens must change the answer")
	})

	// Guards against a cache that never evicts, or evicts without an event: tests would
	// then miss errors of the index.
	It("evicts the least recently used blocks and publishes events", func() {
		e := newEngine()
		Expect(runCorrectly(e, request("a", "keeper", tokens(0, 2*blockTokens))).CachedTokens).To(BeZero())
		Expect(runCorrectly(e, request("b", "keeper", tokens(100, 2*blockTokens))).CachedTokens).To(BeZero())
		Expect(runCorrectly(e, request("c", "keeper", tokens(0, 2*blockTokens))).CachedTokens).To(Equal(2 * blockTokens))
		Expect(runCorrectly(e, request("d", "keeper", tokens(200, blockTokens))).CachedTokens).To(BeZero())
		b, err := e.Events(ctx, 3)
		Expect(err).NotTo(HaveOccurred())
		Expect(kinds(b)).To(Equal([]string{"4stored", "5removed", "6stored"}))
		Expect(b.LastSequence).To(Equal(uint64(6)))
		v, err := e.Inventory(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(v.Blocks).To(HaveLen(4))
		Expect(v.Sequence).To(Equal(uint64(6)))
		Expect(runCorrectly(e, request("e", "keeper", tokens(100, 2*blockTokens))).CachedTokens).To(Equal(blockTokens), "the last block of the prompt must be evicted")
		e.Clear()
		b, err = e.Events(ctx, b.LastSequence)
		Expect(err).NotTo(HaveOccurred())
		Expect(kinds(b)).To(ContainElement(HaveSuffix("cleared")))
	})

	// Guards against a repeated prompt that is longer than the cache and matches no
	// block, because its tail evicted its head.
	It("caches the head of a chain that is longer than the cache", func() {
		e := newEngine()
		Expect(runCorrectly(e, request("a", "keeper", tokens(0, 10*blockTokens))).CachedTokens).To(BeZero())
		Expect(runCorrectly(e, request("b", "keeper", tokens(0, 10*blockTokens))).CachedTokens).To(Equal(4 * blockTokens))
		Expect(runCorrectly(e, request("c", "keeper", tokens(100, blockTokens))).CachedTokens).To(BeZero())
		Expect(runCorrectly(e, request("d", "keeper", tokens(0, 10*blockTokens))).CachedTokens).To(Equal(3 * blockTokens))
	})

	// Guards against lost events that leave no gap in the sequence numbers, and against
	// events that are visible before their delay.
	It("drops and delays events but keeps their sequence numbers", func() {
		e := newEngine(
			fakes.WithEventLoss(func(v target.Event) bool { return v.Sequence == 2 }),
			fakes.WithEventDelay(60*time.Millisecond),
		)
		runCorrectly(e, request("a", "keeper", tokens(0, 3*blockTokens)))
		Expect(e.Events(ctx, 0)).To(BeZero())
		Eventually(func() []string {
			b, _ := e.Events(ctx, 0)
			return kinds(b)
		}).Should(Equal([]string{"1stored", "3stored"}))
	})

	// Guards against the undetected use of a block of another account (P2).
	It("reports the use of a block of another account", func() {
		e := newEngine()
		runCorrectly(e, request("a", "keeper", tokens(0, blockTokens)))
		foreign := request("b", "borough", tokens(0, blockTokens))
		foreign.Keys = request("", "keeper", tokens(0, blockTokens)).Keys
		runCorrectly(e, foreign)
		Expect(e.Violations()).To(HaveLen(1))
		mismatched := request("c", "keeper", tokens(50, blockTokens))
		mismatched.Keys = foreign.Keys
		s, err := e.Generate(ctx, mismatched)
		Expect(err).NotTo(HaveOccurred())
		out, _, err := collect(s)
		Expect(err).NotTo(HaveOccurred())
		Expect(out).NotTo(Equal(fakes.Answer(mismatched.Tokens, 3)), "a wrong block must change the answer")
	})

	// Guards against waiting runs that start in the wrong order, and against an
	// unbounded queue.
	It("starts waiting runs by priority and refuses runs above the queue limit", func() {
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
		Expect(e.Counts().Finished).To(Equal(2), "only the first and the high priority run must have finished")
		_, _, err = collect(streams["low"])
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against a simulated engine that ignores its rates.
	It("takes the time that the prefill and decode rates imply", func() {
		e := newEngine(fakes.WithPrefill(1000), fakes.WithDecode(100))
		start := time.Now()
		runCorrectly(e, request("a", "keeper", tokens(0, 40)))
		Expect(time.Since(start)).To(BeNumerically(">=", 70*time.Millisecond))
	})

	// Guards against a canceled run that still occupies the batch or the queue.
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

	// Guards against a run that ends when its client disconnects, and against a
	// finished run that is retained forever.
	It("retains a finished run for a limited time", func() {
		e := newEngine(fakes.WithRunRetention(80 * time.Millisecond))
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

	// Guards against a killed engine that retains runs or blocks (P1).
	It("loses runs and cache when a request crashes it", func() {
		e := newEngine(fakes.WithDecode(20), fakes.WithCrash(func(r target.GenerateRequest) bool { return r.Attempt == "bad" }))
		s, err := e.Generate(ctx, request("a", "keeper", tokens(0, blockTokens)))
		Expect(err).NotTo(HaveOccurred())
		_, err = s.Next()
		Expect(err).NotTo(HaveOccurred())
		_, err = e.Generate(ctx, request("bad", "keeper", tokens(9, blockTokens)))
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
		Expect(v.Blocks).To(BeEmpty())
		Expect(e.Counts().Crashes).To(Equal(1))
		_, err = e.Resume(ctx, "keeper", "a", 0)
		Expect(err).To(HaveOccurred())
	})

	// Guards against a paused engine that generates tokens.
	It("generates no tokens while it is paused and continues afterwards", func() {
		e := newEngine(fakes.WithDecode(20))
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
		Consistently(done, "250ms").ShouldNot(Receive())
		e.Continue()
		Eventually(done).Should(Receive(Equal(fakes.Answer(tokens(0, 5), 3)[1:])))
	})

	// Guards against load reports that ignore the report lag.
	It("reports the load as of the report lag ago", func() {
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
	version2 := target.Loaded{Model: "advisor", Version: "2"}

	// Guards against a former lease holder that reverts the models of an engine.
	It("refuses an old fencing token unless it ignores fencing tokens", func() {
		e := newEngine()
		_, err := e.Order(ctx, target.Order{FencingToken: 7, Models: []target.Loaded{version2}})
		Expect(err).NotTo(HaveOccurred())
		_, err = e.Order(ctx, target.Order{FencingToken: 6})
		Expect(err).To(MatchError(&target.FencingTokenError{Target: "engine", Sent: 6, Accepted: 7}))
		unfenced := newEngine(fakes.WithIgnoredFencingTokens())
		for _, f := range []uint64{7, 6} {
			_, err = unfenced.Order(ctx, target.Order{FencingToken: f})
			Expect(err).NotTo(HaveOccurred())
		}
	})

	// Guards against blocks of an unloaded version that stay resident (P3).
	It("takes time to load a version and evicts the blocks of the old one", func() {
		e := newEngine(fakes.WithWeights(fakes.NewWeights(0, 50*time.Millisecond)))
		runCorrectly(e, request("a", "keeper", tokens(0, blockTokens)))
		for range 2 {
			r, err := e.Order(ctx, target.Order{FencingToken: 1, Models: []target.Loaded{version2}, Role: "decode"})
			Expect(err).NotTo(HaveOccurred())
			Expect(r.Models).To(BeEmpty())
		}
		next := request("b", "keeper", tokens(0, blockTokens))
		next.Version = "2"
		_, err := e.Generate(ctx, next)
		Expect(err).To(MatchError(ContainSubstring("version 2 of model advisor is not loaded")))
		l, err := e.Load(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect([]any{l.Loading, l.Role, l.FencingToken, l.FreeBlocks}).To(Equal([]any{true, "decode", uint64(1), 4}))
		Eventually(func() []target.Loaded {
			l, _ := e.Load(ctx)
			return l.Models
		}).Should(Equal([]target.Loaded{version2}))
		Expect(runCorrectly(e, next).CachedTokens).To(BeZero())
	})

	// Guards against a version that is unloaded while the engine loads an adapter of it.
	It("serves a version while its adapters change", func() {
		e := newEngine(fakes.WithWeights(fakes.NewWeights(0, 30*time.Millisecond)))
		runCorrectly(e, request("a", "keeper", tokens(0, blockTokens)))
		withAdapter := target.Loaded{Model: "advisor", Version: "1", Adapters: []string{"ward"}}
		r, err := e.Order(ctx, target.Order{Models: []target.Loaded{withAdapter}})
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Models).To(Equal([]target.Loaded{{Model: "advisor", Version: "1"}}))
		Expect(runCorrectly(e, request("b", "keeper", tokens(0, blockTokens))).CachedTokens).To(Equal(blockTokens))
		Eventually(func() []target.Loaded {
			l, _ := e.Load(ctx)
			return l.Models
		}).Should(Equal([]target.Loaded{withAdapter}))
	})

	// Guards against weight loads that don't contend for the weight store.
	It("loads slower while more engines than the limit load at once", func() {
		w := fakes.NewWeights(1, 60*time.Millisecond)
		start := time.Now()
		var engines []*fakes.Engine
		for range 3 {
			e := newEngine(fakes.WithWeights(w))
			_, err := e.Order(ctx, target.Order{Models: []target.Loaded{version2}})
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
