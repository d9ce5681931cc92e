package calls_test

import (
	"context"
	"net"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sesamehill.example/sesamehill/internal/calls"
)

// brokenHeads are replies whose heads are broken off at each byte.
var brokenHeads = map[string]string{
	"a length":                  "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 12\r\n\r\n",
	"chunks":                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Last: 1\r\n\r\n",
	"a stream":                  "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Last: 1\r\n\r\n",
	"neither length nor chunks": "HTTP/1.1 200 OK\r\nX-Last: 1\r\n\r\n",
}

// listenOnce answers the first request with the given bytes and then closes the connection,
// or resets it.
func listenOnce(answer string, reset bool) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = c.Read(make([]byte, 4096)) // the request fits one read
		_, _ = c.Write([]byte(answer))
		if reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		_ = c.Close()
	}()
	return l.Addr().String()
}

// Guards against a reply that is taken for a whole one although its head was broken off:
// after the status line, within a line, within the length, or before the empty line.
var _ = Describe("a reply whose head breaks off", func() {
	for name, head := range brokenHeads {
		for _, reset := range []bool{false, true} {
			ending := map[bool]string{false: "by a close", true: "by a reset"}[reset]
			It("is an error: "+name+", "+ending, func() {
				for end := range len(head) {
					request := calls.Request{Method: http.MethodPost, Path: "/x", Body: []byte("{}"), ContentType: "application/json"}
					reply, err := calls.NewPool(listenOnce(head[:end], reset)).Do(context.Background(), request)
					Expect(err).To(HaveOccurred(), "%q: %+v", head[:end], reply)
					stream, reply, err := calls.NewPool(listenOnce(head[:end], reset)).Open(context.Background(), request)
					Expect(err).To(HaveOccurred(), "%q: %+v", head[:end], reply)
					Expect(stream).To(BeNil())
				}
			})
		}
	}

	It("is an error where the body lacks bytes of its length", func() {
		whole := brokenHeads["a length"] + "whole answer"
		for end := strings.Index(whole, "whole"); end < len(whole); end++ {
			reply, err := calls.NewPool(listenOnce(whole[:end], false)).Do(context.Background(), calls.Request{Method: http.MethodGet, Path: "/x"})
			Expect(err).To(HaveOccurred(), "%q: %+v", whole[:end], reply)
		}
	})
})
