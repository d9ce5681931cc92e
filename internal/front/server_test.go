package front

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a failure that is logged at each stop, and against a front that
// is started again while the host drains.
var _ = Describe("a drained server", func() {
	It("is no failure, and goes on until its context ends", func() {
		s := newServer(http.NotFoundHandler())
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		ended := make(chan error, 1)
		go func() { ended <- s.Serve(ctx, "127.0.0.1:0") }()
		time.Sleep(50 * time.Millisecond)
		Expect(s.drain(ctx)).To(Succeed())
		Consistently(ended, "200ms", "10ms").ShouldNot(Receive())
		stop()
		Eventually(ended, "2s", "10ms").Should(Receive(BeNil()))
	})
})
