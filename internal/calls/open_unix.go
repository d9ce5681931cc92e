//go:build unix

package calls

import (
	"errors"
	"syscall"
)

// open reports whether an idle connection is still open and has no pending bytes.
// Pending bytes make it unusable, because no reply is expected.
func (c *conn) open() bool {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return c.Len() == 0
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && open && c.Len() == 0
}
