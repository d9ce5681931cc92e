package wire

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"
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
