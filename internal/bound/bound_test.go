package bound_test

import (
	"bytes"
	"errors"
	"io"
	"sync"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sesamehill.example/sesamehill/internal/bound"
)

func TestBound(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "bound")
}

// endless is a reader that never returns EOF.
type endless struct{ sentBytes int }

func (e *endless) Read(b []byte) (int, error) {
	e.sentBytes += len(b)
	return len(b), nil
}

var errBroken = errors.New("connection broken")

// Guards against peers that exhaust the host's memory by sending without end.
var _ = Describe("a pool", func() {
	It("reads exactly up to the limit", func() {
		p := bound.NewPool(1 << 20)
		for _, n := range []int{0, 1, 4095, 4096, 4097, 70_000} {
			want := bytes.Repeat([]byte{7}, n)
			b, err := p.Read(bytes.NewReader(want), n)
			Expect(err).NotTo(HaveOccurred())
			Expect(b.Bytes).To(HaveLen(n))
			b.Release()
			b.Release()
			_, err = p.Read(bytes.NewReader(append(want, 7)), n)
			Expect(err).To(MatchError(ContainSubstring("exceeds")))
			Expect(p.InUse()).To(BeZero())
		}
	})

	It("stops at the limit of the read and releases the memory", func() {
		p := bound.NewPool(1 << 20)
		e := &endless{}
		_, err := p.Read(e, 100_000)
		var limit *bound.LimitError
		Expect(errors.As(err, &limit)).To(BeTrue())
		Expect(limit.PoolFull).To(BeFalse())
		Expect(e.sentBytes).To(BeNumerically("<=", 400_000))
		Expect(p.InUse()).To(BeZero())
	})

	It("limits concurrent reads to the limit of the pool", func() {
		p := bound.NewPool(1 << 20)
		const reserved = 1<<20 - 64<<10
		Expect(p.Reserve(0, reserved)).To(Succeed())
		var group sync.WaitGroup
		for range 50 {
			group.Go(func() {
				defer GinkgoRecover()
				_, err := p.Read(&endless{}, 16<<20)
				var limit *bound.LimitError
				Expect(errors.As(err, &limit)).To(BeTrue())
				Expect(limit.PoolFull).To(BeTrue())
			})
		}
		group.Wait()
		Expect(p.InUse()).To(Equal(int64(reserved)))
	})

	It("allows only small reads while it is full", func() {
		p := bound.NewPool(64 << 10)
		Expect(p.Reserve(0, 64<<10)).To(Succeed())
		b, err := p.Read(bytes.NewReader(make([]byte, 3000)), 64<<10)
		Expect(err).NotTo(HaveOccurred())
		b.Release()
		_, err = p.Read(bytes.NewReader(make([]byte, 12000)), 64<<10)
		Expect(err).To(MatchError(ContainSubstring("holds")))
		p.Release(64 << 10)
		Expect(p.InUse()).To(BeZero())
	})

	It("limits a single read to a quarter of its limit", func() {
		p := bound.NewPool(64 << 10)
		_, err := p.Read(&endless{}, 64<<10)
		Expect(err).To(MatchError(ContainSubstring("exceeds 16384")))
	})

	It("releases the memory after a failed read", func() {
		p := bound.NewPool(1 << 20)
		_, err := p.Read(io.MultiReader(bytes.NewReader(make([]byte, 9000)), &broken{}), 1<<16)
		Expect(err).To(MatchError(errBroken))
		Expect(p.InUse()).To(BeZero())
	})
})

// broken is a reader that always fails.
type broken struct{}

func (*broken) Read([]byte) (int, error) { return 0, errBroken }
