package wire

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"golang.org/x/sys/unix"
)

// Guards against a host that cannot reach the platform while the queue of a shared
// link delays each packet by more than the dial timeout.
func TestDialFailsOnSlowLink(t *testing.T) {
	g := gomega.NewWithT(t)
	delay := 700 * time.Millisecond
	d := newGrowingDialer(func(ctx context.Context, _, _ string) (net.Conn, error) {
		select {
		case <-time.After(delay):
			c, _ := net.Pipe()
			return c, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	})
	start := time.Now()
	failures := 0
	for {
		c, err := d.DialContext(context.Background(), "tcp", "")
		if err == nil {
			g.Expect(c.Close()).To(gomega.Succeed())
			break
		}
		failures++
		g.Expect(failures).To(gomega.BeNumerically("<", 2), "the timeout does not grow")
	}
	g.Expect(time.Since(start)).To(gomega.BeNumerically("<", 3*time.Second))
	delay = time.Hour
	start = time.Now()
	_, err := d.DialContext(context.Background(), "tcp", "")
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(time.Since(start)).To(gomega.BeNumerically("<", 2*dialTimeout), "the timeout is reset after a dial that succeeded")
}

// Guards against a connection to a sound peer that ends after its first unanswered probe:
// the time for unacknowledged data also decides when probes give up.
func TestProbesDecideWhenPeerIsSilent(t *testing.T) {
	g := gomega.NewWithT(t)
	probing := keepAlive.Idle + time.Duration(keepAlive.Count)*keepAlive.Interval
	g.Expect(unackedTimeout).To(gomega.BeNumerically(">=", probing))
	l, err := Listen(context.Background(), "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { g.Expect(l.Close()).To(gomega.Succeed()) }()
	conn, err := Dialer().Dial("tcp", l.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { g.Expect(conn.Close()).To(gomega.Succeed()) }()
	accepted, err := l.Accept()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { g.Expect(accepted.Close()).To(gomega.Succeed()) }()
	for _, c := range []net.Conn{conn, accepted} {
		raw, err := c.(*net.TCPConn).SyscallConn()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		var timeout int
		var optErr error
		g.Expect(raw.Control(func(fd uintptr) {
			timeout, optErr = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		})).To(gomega.Succeed())
		g.Expect(optErr).NotTo(gomega.HaveOccurred())
		g.Expect(time.Duration(timeout) * time.Millisecond).To(gomega.Equal(unackedTimeout))
	}
}
