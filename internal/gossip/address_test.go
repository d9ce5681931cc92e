package gossip

import (
	"fmt"
	"net"
	"os"

	. "github.com/onsi/gomega"
)

// freeAddress returns a free UDP address. Its IP address depends on the process, as
// another process may take a port of 127.0.0.1 before the test listens on it.
func freeAddress() string {
	pid := os.Getpid()
	c, err := net.ListenPacket("udp", fmt.Sprintf("127.%d.%d.%d:0", 1+pid>>15&0x7f, pid>>7&0xff, 1+pid&0x7f))
	Expect(err).NotTo(HaveOccurred())
	Expect(c.Close()).To(Succeed())
	return c.LocalAddr().String()
}
