package server

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sesamehill.example/sesamehill/internal/caller"
)

// Guards against a failure that is logged at each stop, and against a listener that is
// started again while the host drains.
var _ = Describe("a drained server", func() {
	It("returns from Serve without an error, and only after its context is cancelled", func() {
		s := newCallerServer(http.NotFoundHandler(), caller.NewGuard())
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

// hookedListener runs a function each time that a connection which it accepted has read data.
type hookedListener struct {
	net.Listener
	afterRead func()
}

type hookedConn struct {
	net.Conn
	afterRead func()
}

func (l hookedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &hookedConn{Conn: c, afterRead: l.afterRead}, nil
}

func (c *hookedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.afterRead()
	}
	return n, err
}

// Guards against a request that is run although its caller can get no answer: the connection
// was closed as idle while the request was being read.
var _ = Describe("a request on a connection that was closed while it was read", func() {
	It("is not served", func() {
		var served atomic.Int32
		var closing atomic.Bool
		s := newCallerServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served.Add(1) }), caller.NewGuard())
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go func() {
			_ = s.http.Serve(s.guard.Listener(hookedListener{Listener: l, afterRead: func() {
				if closing.Load() {
					s.guard.CloseWaiting(0)
				}
			}}))
		}()
		defer func() { _ = s.http.Close() }()
		conn, err := net.Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
		_, err = io.WriteString(conn, request)
		Expect(err).NotTo(HaveOccurred())
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		time.Sleep(20 * time.Millisecond) // the connection becomes idle
		closing.Store(true)
		_, err = io.WriteString(conn, request)
		Expect(err).NotTo(HaveOccurred())
		_, err = conn.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred())
		Consistently(served.Load, "200ms", "20ms").Should(Equal(int32(1)))
	})
})
