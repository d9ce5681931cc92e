package calls_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sesamehill.example/sesamehill/internal/calls"
)

func TestCalls(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "calls")
}

const (
	okReply      = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	streamHeader = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	streamEvent  = "9\r\ndata: 1\n\n\r\n"
	lastChunk    = "0\r\n\r\n"
	// closeConnection makes the peer close the connection before the next request.
	closeConnection = "close connection"
)

// peer is a server that answers each request on a connection with the next
// reply. An empty reply closes the connection after the request.
type peer struct {
	net.Listener
	requests atomic.Int32
	accepted atomic.Int32
	closed   chan time.Time
}

func listen(replies ...string) *peer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	p := &peer{Listener: ln, closed: make(chan time.Time, 100)}
	DeferCleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			p.accepted.Add(1)
			go p.serve(c, replies)
		}
	}()
	return p
}

func (p *peer) serve(c net.Conn, replies []string) {
	defer func() {
		_ = c.Close()
		p.closed <- time.Now()
	}()
	r := bufio.NewReader(c)
	for _, reply := range replies {
		if reply == closeConnection {
			return
		}
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		p.requests.Add(1)
		if reply == "" {
			return
		}
		_, _ = io.WriteString(c, reply)
	}
	_, _ = r.ReadByte()
}

var _ = Describe("Pool", func() {
	ctx := context.Background()
	get := calls.Request{Method: http.MethodGet, Path: "/x"}

	open := func(p *peer) *calls.Pool {
		pool := calls.NewPool("http://" + p.Addr().String())
		DeferCleanup(pool.Close)
		return pool
	}
	sent := func(err error) bool {
		var failed *calls.Error
		Expect(errors.As(err, &failed)).To(BeTrue(), "%v", err)
		return failed.MaybeSent
	}

	// Guards against a second request when the first one may have run: hertz
	// repeats idempotent methods if a pooled connection is closed.
	DescribeTable("sends a request at most once", func(method string) {
		p := listen(okReply, "")
		pool := open(p)
		r := calls.Request{Method: method, Path: "/x", Body: []byte("b")}
		_, err := pool.Do(ctx, r)
		Expect(err).NotTo(HaveOccurred())
		_, err = pool.Do(ctx, r)
		Expect(sent(err)).To(BeTrue(), "%v", err)
		Expect(p.requests.Load()).To(Equal(int32(2)))
	}, Entry(nil, "GET"), Entry(nil, "PUT"), Entry(nil, "DELETE"), Entry(nil, "POST"))

	// Guards against reporting "may have run" for a request that was lost on a
	// connection that the server had already closed.
	It("does not use a connection that the server closed", func() {
		p := listen(okReply, okReply, closeConnection)
		pool := open(p)
		for i := range 6 {
			_, err := pool.Do(ctx, get)
			Expect(err).NotTo(HaveOccurred())
			if i%2 == 1 {
				Eventually(p.closed).Should(Receive())
			}
		}
		Expect(p.accepted.Load()).To(Equal(int32(3)))
	})

	// Guards against reporting "may have run" for a request that was never sent.
	It("reports that nothing was sent", func() {
		p := listen(okReply)
		pool := open(p)
		canceled, cancel := context.WithCancel(ctx)
		cancel()
		_, err := pool.Do(canceled, get)
		Expect(sent(err)).To(BeFalse())
		Expect(p.Close()).To(Succeed())
		_, err = pool.Do(ctx, get)
		Expect(sent(err)).To(BeFalse())
	})

	// Guards against a call that continues after its context has been canceled, and
	// against its connection staying open.
	DescribeTable("closes the connection immediately when the context is canceled", func(reply string, streams bool) {
		p := listen(reply)
		pool := open(p)
		canceled, cancel := context.WithCancel(ctx)
		start := time.Now()
		time.AfterFunc(30*time.Millisecond, cancel)
		s, _, err := pool.Open(canceled, get)
		if streams {
			Expect(err).NotTo(HaveOccurred())
			Expect(s.Next()).To(Equal([]byte("1")))
			_, err = s.Next()
			Expect(err).To(HaveOccurred())
			Expect(s.Close()).To(Succeed())
		} else {
			Expect(sent(err)).To(BeTrue())
			Expect(errors.Is(err, context.Canceled)).To(BeTrue())
		}
		var at time.Time
		Eventually(p.closed).Should(Receive(&at))
		Expect(at.Sub(start)).To(BeNumerically("<", 100*time.Millisecond))
	},
		Entry("before the reply", "HTTP/1.1 200", false),
		Entry("within a stream", streamHeader+streamEvent, true),
	)

	// Guards against the unread part of one stream appearing in the reply to the
	// next request.
	It("reuses the connection of a stream only if it was read completely", func() {
		p := listen(streamHeader+streamEvent+lastChunk, streamHeader+streamEvent+streamEvent+lastChunk, streamHeader+streamEvent+lastChunk)
		pool := open(p)
		for i, reads := range []int{2, 1, 2} {
			s, _, err := pool.Open(ctx, get)
			Expect(err).NotTo(HaveOccurred())
			for range reads {
				_, err = s.Next()
			}
			Expect(err == nil).To(Equal(reads == 1))
			Expect(s.Close()).To(Succeed())
			Expect(p.accepted.Load()).To(Equal(int32([]int{1, 1, 2}[i])))
		}
	})

	// Guards against a reply without a length that looks complete although the call
	// was canceled in the middle of it.
	It("reports an incomplete reply when the context ends", func() {
		pool := open(listen("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf"))
		limited, cancel := context.WithTimeout(ctx, 30*time.Millisecond)
		defer cancel()
		_, err := pool.Do(limited, get)
		Expect(sent(err)).To(BeTrue())
	})

	// Guards against rejecting a complete event stream as the reply to Do.
	It("returns an event stream as the body of a reply", func() {
		reply, err := open(listen(streamHeader+streamEvent+lastChunk)).Do(ctx, get)
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Body).To(Equal([]byte("data: 1\n\n")))
	})

	// Guards against a Close that waits for a server that sends nothing.
	It("closes a stream while Next waits", func() {
		pool := open(listen(streamHeader + streamEvent))
		s, _, err := pool.Open(ctx, get)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Next()).To(Equal([]byte("1")))
		done := make(chan error, 1)
		go func() {
			_, err := s.Next()
			done <- err
		}()
		Consistently(done, "30ms").ShouldNot(Receive())
		Expect(s.Close()).To(Succeed())
		Eventually(done).Should(Receive(HaveOccurred()))
		Expect(s.Close()).To(Succeed())
	})
})
