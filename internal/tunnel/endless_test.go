package tunnel

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// endlessAnswers maps parts of an answer to a request for a tunnel that can be endless to its
// start and the bytes that are repeated after it.
var endlessAnswers = map[string][2]string{
	"head":    {"HTTP/1.1 101 Switching Protocols\r\n", "X-More: more more more more\r\n"},
	"line":    {"HTTP/1.1 101 Switching Protocols\r\nX-More: ", "more more more more more "},
	"status":  {"HTTP/1.1 101 ", "more more more more more "},
	"garbage": {"", "more more more more more "},
	"refusal": {"HTTP/1.1 503 Service Unavailable\r\n\r\n", "more more more more more "},
	"chunks":  {"HTTP/1.1 404 Not Found\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nmore\r\n"},
}

// countedConn counts the bytes that are read from a connection.
type countedConn struct {
	net.Conn
	read *atomic.Int64
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Add(int64(n))
	return n, err
}

// Guards against a process at the address of a host that answers without end, and fills the
// memory of the host that asked for a tunnel or holds it until its time is over.
func TestAnswerWithoutEnd(t *testing.T) {
	for part, answer := range endlessAnswers {
		t.Run(part, func(t *testing.T) {
			g := NewWithT(t)
			address := target(t, func(c *net.TCPConn) {
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, err := c.Write([]byte(answer[0]))
				for block := []byte(strings.Repeat(answer[1], 100)); err == nil; {
					_, err = c.Write(block)
				}
			})
			var read atomic.Int64
			dial := func(ctx context.Context, network, address string) (net.Conn, error) {
				c, err := (&net.Dialer{}).DialContext(ctx, network, address)
				return countedConn{c, &read}, err
			}
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			began := time.Now()
			_, err := Dial(ctx, dial, address, "i-1")
			g.Expect(err).To(HaveOccurred())
			g.Expect(time.Since(began)).To(BeNumerically("<", testTimeout/2))
			g.Expect(read.Load()).To(BeNumerically("<=", maxHeadBytes))
		})
	}
}
