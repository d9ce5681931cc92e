package tree_test

import (
	"context"
	"errors"
	"expvar"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"sesamehill.example/sesamehill/internal/tree"
)

func TestTree(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "tree")
}

var _ = Describe("Tree", func() {
	var (
		t      *tree.Tree
		logs   *observer.ObservedLogs
		starts atomic.Int32
		ctx    context.Context
		cancel context.CancelFunc
	)
	running := func(ctx context.Context) error {
		starts.Add(1)
		<-ctx.Done()
		return ctx.Err()
	}
	run := func() <-chan error {
		done := make(chan error, 1)
		go func() { done <- t.Run(ctx) }()
		return done
	}
	BeforeEach(func() {
		core, o := observer.New(zap.InfoLevel)
		logs = o
		starts.Store(0)
		t = tree.New("host", tree.WithLog(zap.New(core)), tree.WithBackoff(5*time.Millisecond, 40*time.Millisecond))
		ctx, cancel = context.WithCancel(context.Background())
		DeferCleanup(cancel)
	})

	// Guards against a component whose failure stops the process or another component.
	DescribeTable("restarts only the component that fails", func(name string, fail func() error) {
		var attempts atomic.Int32
		t.Add("steady", running)
		t.Add(name, func(ctx context.Context) error {
			if attempts.Add(1) <= 3 {
				return fail()
			}
			<-ctx.Done()
			return nil
		})
		done := run()
		Eventually(func() []tree.Component { return t.Components() }, "3s").Should(HaveExactElements(
			And(HaveField("Name", "steady"), HaveField("State", tree.Running), HaveField("Restarts", 0)),
			And(HaveField("Name", name), HaveField("State", tree.Running), HaveField("Restarts", 3)),
		))
		Expect(starts.Load()).To(Equal(int32(1)))
		Expect(expvar.Get("restarts").(*expvar.Map).Get(name).String()).To(Equal("3"))
		Expect(logs.FilterMessage("component failed").Len()).To(Equal(3))
		Expect(logs.FilterMessage("component restarted").Len()).To(Equal(3))
		cancel()
		Eventually(done, "3s").Should(Receive(BeNil()))
		Expect(t.Components()).To(HaveEach(HaveField("State", tree.Stopped)))
	},
		Entry("a panic", "panics", func() error { panic("broken component") }),
		Entry("an error", "fails", func() error { return errors.New("broken component") }),
		Entry("an error of another context", "cancels", func() error { return context.Canceled }),
		Entry("an early return", "returns", func() error { return nil }),
	)

	// Guards against a component that restarts without a delay, or with a delay that
	// grows without a bound.
	It("delays restarts up to the longest delay", func() {
		var attempts atomic.Int32
		t.Add("broken", func(context.Context) error {
			attempts.Add(1)
			return errors.New("always")
		})
		run()
		time.Sleep(500 * time.Millisecond)
		// The delays double from 5 ms to 40 ms, each within 50% of that.
		Expect(attempts.Load()).To(And(BeNumerically(">=", 7), BeNumerically("<=", 28)))
	})

	// Guards against a host that keeps running without a component that cannot run.
	It("stops the tree after a fatal error", func() {
		broken := errors.New("address in use")
		t.Add("steady", running)
		t.Add("fatal", func(context.Context) error { return tree.Fatal(broken) })
		var err error
		Eventually(run(), "3s").Should(Receive(&err))
		Expect(err).To(MatchError(broken))
		Expect(err.Error()).To(ContainSubstring("component fatal failed with a fatal error"))
	})

	// Guards against a shutdown that one component blocks.
	It("stops waiting for a component that does not stop", func() {
		t = tree.New("host", tree.WithStopTimeout(50*time.Millisecond))
		release := make(chan struct{})
		DeferCleanup(func() { close(release) })
		t.Add("stuck", func(context.Context) error { <-release; return nil })
		done := run()
		time.Sleep(20 * time.Millisecond)
		cancel()
		Eventually(done, "3s").Should(Receive(BeNil()))
	})
})
