package wire

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
)

// markedConn is a connection with the number of its dial.
type markedConn struct {
	net.Conn
	number int64
}

// Guards against a request that is sent on a kept connection which must not carry it, as it
// leads through another host.
func TestConnCheck(t *testing.T) {
	g := NewWithT(t)
	var addresses []string
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { addresses = append(addresses, r.RemoteAddr) }))
	defer s.Close()
	var dials atomic.Int64
	transport := NewTransport(KeepAlive, WithDialContext(func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return markedConn{c, dials.Add(1)}, err
	}))
	send := func(ctx context.Context) {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.URL, strings.NewReader("body"))
		g.Expect(err).NotTo(HaveOccurred())
		resp, err := transport.RoundTrip(req)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.Body.Close()).To(Succeed())
	}
	send(t.Context())
	send(t.Context())
	g.Expect(dials.Load()).To(Equal(int64(1)))
	send(WithConnCheck(t.Context(), func(c net.Conn) bool { return c.(markedConn).number > 1 }))
	g.Expect(dials.Load()).To(Equal(int64(2)))
	g.Expect(addresses).To(HaveLen(3), "nothing was sent on the connection that did not pass")
	g.Expect(addresses[2]).NotTo(Equal(addresses[0]))
}
