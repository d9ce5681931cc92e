package wire

import (
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against writes to a slow reader that take as long as it needs for a third of a send
// buffer of megabytes, so that it seems to take nothing for seconds.
func TestUnsentLimit(t *testing.T) {
	const (
		piece    = 64 << 10
		playTime = 8 * time.Second
		readStep = 50 * time.Millisecond
		readSize = 512 << 10 / 20 // 512 KB a second
	)
	g := NewWithT(t)
	l, err := Listen(t.Context(), "127.0.0.1:0", WithUnsentLimit(piece))
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = l.Close() }()
	reader, err := net.Dial("tcp", l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	go func() {
		defer func() { _ = reader.Close() }() // ends the writes
		b := make([]byte, readSize)
		for end := time.Now().Add(playTime); time.Now().Before(end); time.Sleep(readStep) {
			if _, err := io.ReadFull(reader, b); err != nil {
				return
			}
		}
	}()
	c, err := l.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = c.Close() }()
	longest, total := time.Duration(0), 0
	for b := make([]byte, piece); ; {
		started := time.Now()
		n, err := c.Write(b)
		total += n
		if err != nil {
			break
		}
		longest = max(longest, time.Since(started))
	}
	t.Logf("%d bytes written, longest write of 64 KB %s", total, longest)
	g.Expect(longest).To(BeNumerically("<", 1500*time.Millisecond))
}
