package calls_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sesamehill.example/sesamehill/internal/calls"
)

const (
	// endlessTime is the deadline of a call to a server whose reply does not end. It is no
	// bound: with the race detector, beside much load, 64 MiB take more than 10 s.
	endlessTime = 60 * time.Second
	// maxHeldBytes is what a client may hold of a reply, 64 MiB, with what its socket and that
	// of the server may hold besides: 32 MiB and 4 MiB by the defaults of Linux.
	maxHeldBytes = 100 << 20
	mebibyte     = 1 << 20
)

// endlessReplies maps each part of a reply that can be endless to its start and the bytes that
// are repeated after it, and to the bytes that the client may take of it.
var endlessReplies = map[string]struct {
	start, repeated string
	most            int64
}{
	"head":      {"HTTP/1.1 200 OK\r\n", "X-More: more more more more more more\r\n", 8 * mebibyte},
	"line":      {"HTTP/1.1 200 OK\r\nX-More: ", "more more more more more more more ", 8 * mebibyte},
	"status":    {"HTTP/1.1 200 ", "more more more more more more more ", 8 * mebibyte},
	"info":      {"", "HTTP/1.1 103 Early Hints\r\nX-More: more\r\n\r\n", 8 * mebibyte},
	"continue":  {"", "HTTP/1.1 100 Continue\r\n\r\n", 8 * mebibyte},
	"body":      {"HTTP/1.1 200 OK\r\n\r\n", "more more more more more more more ", maxHeldBytes},
	"length":    {"HTTP/1.1 200 OK\r\nContent-Length: 1099511627776\r\n\r\n", "more more more more", maxHeldBytes},
	"chunk":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffffff\r\n", "more more more more", maxHeldBytes},
	"chunks":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("more", 256) + "\r\n", maxHeldBytes},
	"extension": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", "more=more;", 8 * mebibyte},
	"trailer":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: more more more\r\n", 8 * mebibyte},
}

// listenEndless answers each request with a reply that does not end until the client closes
// the connection. It returns its address and the number of bytes that were sent.
func listenEndless(start, repeated string) (string, *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	var sent atomic.Int64
	block := []byte{}
	for len(block) < 32<<10 {
		block = append(block, repeated...)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				_, _ = c.Read(make([]byte, 4096)) // the request fits one read
				_, err := c.Write([]byte(start))
				for n := 0; err == nil; sent.Add(int64(n)) {
					n, err = c.Write(block)
				}
			}()
		}
	}()
	return l.Addr().String(), &sent
}

// Guards against a bound on heads and lines that ends long replies.
var _ = Describe("a long reply", func() {
	const size = 16 << 20
	body := strings.Repeat("x", size)
	for framing, whole := range map[string]string{
		"with a length":      fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, body),
		"in one chunk":       fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", size, body),
		"up to a connection": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body,
	} {
		It("is read to its end: "+framing, func() {
			reply, err := calls.NewPool(listenOnce(whole, false)).Do(context.Background(), calls.Request{Method: http.MethodGet, Path: "/x"})
			Expect(err).NotTo(HaveOccurred())
			Expect(reply.Body).To(HaveLen(size))
		})
	}
})

// Guards against a server whose reply does not end and fills the memory of the host that has
// called it.
var _ = Describe("a reply without end", func() {
	for part, reply := range endlessReplies {
		It("ends the call before it fills the memory: "+part, func() {
			address, sent := listenEndless(reply.start, reply.repeated)
			ctx, cancel := context.WithTimeout(context.Background(), endlessTime)
			defer cancel()
			_, err := calls.NewPool(address).Do(ctx, calls.Request{Method: http.MethodGet, Path: "/x"})
			Expect(err).To(HaveOccurred())
			Expect(ctx.Err()).NotTo(HaveOccurred(), "the call lasted until its deadline")
			Expect(sent.Load()).To(BeNumerically("<=", reply.most))
		})
	}
})
