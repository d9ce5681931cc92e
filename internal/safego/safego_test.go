package safego_test

import (
	"context"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"sesamehill.example/sesamehill/internal/safego"
)

func TestSafego(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "safego")
}

// Guards against a single panic that ends the whole host process.
var _ = Describe("a guarded function", func() {
	It("logs its panic with the stack, and the process continues", func() {
		core, lines := observer.New(zap.InfoLevel)
		Expect(safego.Do(zap.New(core), "part", func() { panic("unexpected") })).To(BeFalse())
		Expect(lines.All()).To(HaveLen(1))
		fields := lines.All()[0].ContextMap()
		Expect(fields["value"]).To(Equal("unexpected"))
		Expect(fields["stack"]).To(ContainSubstring("safego_test.go"))
	})

	It("runs again after each panic until it returns", func() {
		runs := 0
		safego.KeepRunning(context.Background(), zap.NewNop(), "part", func() {
			if runs++; runs < 3 {
				panic(runs)
			}
		})
		Expect(runs).To(Equal(3))
	})

	It("does not run again after the context ends", func() {
		ctx, stop := context.WithCancel(context.Background())
		runs := 0
		safego.KeepRunning(ctx, zap.NewNop(), "part", func() {
			runs++
			stop()
			panic(runs)
		})
		Expect(runs).To(Equal(1))
	})
})
