package wire

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpClose is the state of a TCP connection that was reset or timed out, TCP_CLOSE in Linux.
// The peer's end of its stream alone leads to TCP_CLOSE_WAIT.
const tcpClose = 7

// ResetError says that a connection broke before the peer had ended its stream.
type ResetError struct{ Cause error }

// Error names the cause and the remedy.
func (e *ResetError) Error() string {
	return fmt.Sprintf("the connection broke before the response ended: %v; what was received is not complete", e.Cause)
}

// Unwrap returns the cause.
func (e *ResetError) Unwrap() error { return e.Cause }

// TCPDialer opens TCP connections that report a reset to their reader also if a write has failed
// with it.
type TCPDialer struct{ net.Dialer }

// DialContext opens a connection.
func (d *TCPDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	t, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	return &tcpConn{Conn: c, socket: t}, nil
}

// tcpConn is a TCP connection on which both directions end with the same error. The kernel
// reports a reset to one call only: a read that follows a write which failed with it returns
// io.EOF, like the end of the peer's stream.
type tcpConn struct {
	net.Conn
	socket syscall.Conn

	writeMu sync.Mutex
	// writeErr is the error of the kernel that ended the writes; nil if the peer had ended its
	// stream before. writeMu guards it.
	writeErr error
}

// Write writes to the connection.
func (c *tcpConn) Write(b []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	n, err := c.Conn.Write(b)
	var errno syscall.Errno
	// The kernel reports EPIPE where the reset came after the end of the peer's stream.
	if errors.As(err, &errno) && errno != syscall.EPIPE && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read reads from the connection. It returns a *ResetError in place of io.EOF if the peer has not
// ended its stream.
func (c *tcpConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 && errors.Is(err, io.EOF) && c.broken() {
		// A write that has got the reset fails at once, but may not have returned yet.
		c.writeMu.Lock()
		defer c.writeMu.Unlock()
		if c.writeErr != nil {
			return 0, &ResetError{Cause: c.writeErr}
		}
	}
	return n, err
}

// broken reports whether the connection was reset or timed out. After the end of the peer's
// stream it may still be written to.
func (c *tcpConn) broken() bool {
	raw, err := c.socket.SyscallConn()
	if err != nil {
		return true
	}
	broken := true
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		broken = err != nil || info.State == tcpClose
	})
	return err != nil || broken
}
