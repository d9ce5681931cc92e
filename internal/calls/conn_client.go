package calls

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol/client"
	"github.com/cloudwego/hertz/pkg/protocol/http1"
)

const (
	// dialTimeout allows for one lost SYN packet, which is retransmitted after 1 s.
	dialTimeout = 1500 * time.Millisecond
	// idleTimeout is far below the common idle timeout of HTTP servers (60 s), so
	// that the client closes an idle connection before the server does.
	idleTimeout = 10 * time.Second
	// maxReplyBytes bounds the memory that one reply can use. An inventory of
	// 100,000 KV blocks is about 16 MB.
	maxReplyBytes = 64 << 20
)

// connClient is one connection and the hertz client that uses it. It handles one
// call at a time.
type connClient struct {
	client client.HostClient
	// sent reports whether any byte of the current request was written, replied
	// whether any byte of the reply was received, and failed whether a read ended
	// with an error other than io.EOF.
	sent    atomic.Bool
	replied atomic.Bool
	failed  atomic.Bool
	// statusChecked is set once the status line of the current call's reply was checked. Only
	// the goroutine that reads the reply uses it.
	statusChecked bool

	mu    sync.Mutex
	ctx   context.Context
	conn  *conn
	ended bool
}

func newConnClient(address string) *connClient {
	cc := &connClient{}
	cc.client = http1.NewHostClient(&http1.ClientOptions{
		Name:                   "sesamehill",
		Dialer:                 cc,
		DialTimeout:            dialTimeout,
		MaxConns:               1,
		MaxIdleConnDuration:    idleTimeout,
		MaxResponseBodySize:    maxReplyBytes,
		DisablePathNormalizing: true,
	})
	cc.client.SetDynamicConfig(&client.DynamicConfig{Addr: address})
	return cc
}

// AddTLS implements network.Dialer. Connections to targets do not use TLS.
func (cc *connClient) AddTLS(network.Conn, *tls.Config) (network.Conn, error) {
	return nil, errors.New("TLS is not supported on this connection; use an http:// address")
}

// DialConnection implements network.Dialer. It fails when the context of the
// current call is canceled.
func (cc *connClient) DialConnection(n, address string, timeout time.Duration, _ *tls.Config) (network.Conn, error) {
	cc.mu.Lock()
	ctx := cc.ctx
	cc.mu.Unlock()
	// net disables Nagle's algorithm on TCP connections.
	d := net.Dialer{Timeout: timeout}
	nc, err := d.DialContext(ctx, n, address)
	if err != nil {
		return nil, err
	}
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.ended {
		_ = nc.Close()
		return nil, context.Cause(ctx)
	}
	cc.conn = &conn{Conn: nc, owner: cc}
	return cc.conn, nil
}

// DialTimeout implements network.Dialer.
func (cc *connClient) DialTimeout(n, address string, timeout time.Duration, c *tls.Config) (net.Conn, error) {
	return cc.DialConnection(n, address, timeout, c)
}

// begin prepares the client for a call. The returned function ends the call and
// reports whether the connection can be reused for another call.
func (cc *connClient) begin(ctx context.Context) func() bool {
	cc.mu.Lock()
	cc.ctx, cc.ended = ctx, false
	cc.mu.Unlock()
	cc.sent.Store(false)
	cc.replied.Store(false)
	cc.failed.Store(false)
	cc.statusChecked = false
	stop := context.AfterFunc(ctx, cc.kill)
	return func() bool {
		stop()
		cc.mu.Lock()
		defer cc.mu.Unlock()
		usable := cc.conn != nil && !cc.ended
		cc.ended = true
		return usable
	}
}

// detach removes a connection that hertz has closed.
func (cc *connClient) detach(c *conn) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.conn == c {
		cc.conn = nil
	}
}

// drop closes the connection and makes hertz release its reference to it.
func (cc *connClient) drop() {
	cc.close()
	cc.client.CloseIdleConnections()
}

// kill closes the connection of the current call, if the call has not ended.
func (cc *connClient) kill() {
	cc.mu.Lock()
	ended := cc.ended
	cc.ended = true
	cc.mu.Unlock()
	if !ended {
		cc.close()
	}
}

func (cc *connClient) close() {
	cc.mu.Lock()
	c := cc.conn
	cc.conn = nil
	cc.mu.Unlock()
	if c != nil {
		_ = c.Conn.Close()
	}
}

// open reports whether the client has an idle connection that is still open.
func (cc *connClient) open() bool {
	cc.mu.Lock()
	c := cc.conn
	cc.mu.Unlock()
	return c != nil && c.open()
}
