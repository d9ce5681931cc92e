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

// endless never stops sending.
type endless struct{ sent int }

func (e *endless) Read(b []byte) (int, error) {
	e.sent += len(b)
	return len(b), nil
}

var errBroke = errors.New("the connection broke")

// Guards against peers that send without end and take the host's memory.
var _ = Describe("a pool", func() {
	It("reads what is within the limit, to the byte", func() {
		p := bound.NewPool(1 << 20)
		for _, n := range []int{0, 1, 4095, 4096, 4097, 70_000} {
			want := bytes.Repeat([]byte{7}, n)
			h, err := p.Read(bytes.NewReader(want), n)
			Expect(err).NotTo(HaveOccurred())
			Expect(h.Bytes).To(HaveLen(n))
			h.Release()
			h.Release()
			_, err = p.Read(bytes.NewReader(append(want, 7)), n)
			Expect(err).To(MatchError(ContainSubstring("exceeds")))
			Expect(p.Held()).To(BeZero())
		}
	})

	It("stops at the limit of the call and gives the memory back", func() {
		p := bound.NewPool(1 << 20)
		e := &endless{}
		_, err := p.Read(e, 100_000)
		var limit *bound.LimitError
		Expect(errors.As(err, &limit)).To(BeTrue())
		Expect(limit.Total).To(BeFalse())
		Expect(e.sent).To(BeNumerically("<=", 400_000))
		Expect(p.Held()).To(BeZero())
	})

	It("bounds many reads together", func() {
		p := bound.NewPool(1 << 20)
		const others = 1<<20 - 64<<10
		Expect(p.Take(0, others)).To(Succeed())
		var group sync.WaitGroup
		for range 50 {
			group.Go(func() {
				defer GinkgoRecover()
				_, err := p.Read(&endless{}, 16<<20)
				var limit *bound.LimitError
				Expect(errors.As(err, &limit)).To(BeTrue())
				Expect(limit.Total).To(BeTrue())
			})
		}
		group.Wait()
		Expect(p.Held()).To(Equal(int64(others)))
	})

	It("reads small answers while others fill it, and no large ones", func() {
		p := bound.NewPool(64 << 10)
		Expect(p.Take(0, 64<<10)).To(Succeed())
		h, err := p.Read(bytes.NewReader(make([]byte, 3000)), 64<<10)
		Expect(err).NotTo(HaveOccurred())
		h.Release()
		_, err = p.Read(bytes.NewReader(make([]byte, 12000)), 64<<10)
		Expect(err).To(MatchError(ContainSubstring("holds")))
		p.Give(64 << 10)
		Expect(p.Held()).To(BeZero())
	})

	It("gives no read more than a quarter", func() {
		p := bound.NewPool(64 << 10)
		_, err := p.Read(&endless{}, 64<<10)
		Expect(err).To(MatchError(ContainSubstring("exceeds 16384")))
	})

	It("gives the memory back after a broken read", func() {
		p := bound.NewPool(1 << 20)
		_, err := p.Read(io.MultiReader(bytes.NewReader(make([]byte, 9000)), &broken{}), 1<<16)
		Expect(err).To(MatchError(errBroke))
		Expect(p.Held()).To(BeZero())
	})
})

type broken struct{}

func (*broken) Read([]byte) (int, error) { return 0, errBroke }
