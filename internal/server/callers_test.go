package server

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a failure that is logged at each stop, and against a listener that is
// started again while the host drains.
var _ = Describe("a drained server", func() {
	It("returns from Serve without an error, and only after its context is cancelled", func() {
		s := newCallerServer(http.NotFoundHandler())
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		served := make(chan error, 1)
		go func() { served <- s.Serve(ctx, "127.0.0.1:0") }()
		time.Sleep(50 * time.Millisecond)
		Expect(s.drain(ctx)).To(Succeed())
		Consistently(served, "200ms", "10ms").ShouldNot(Receive())
		stop()
		Eventually(served, "2s", "10ms").Should(Receive(BeNil()))
	})
})

// Guards against requests that are cut in a planned stop although their targets were not at
// work until the last sixth of the grace time.
var _ = Describe("the drain of a host", func() {
	It("does not end before the last sixth of the users' grace time", func() {
		const usersGrace = 8 * time.Second
		Expect(drainTime(usersGrace)).To(BeNumerically(">=", usersGrace*5/6))
	})
})
