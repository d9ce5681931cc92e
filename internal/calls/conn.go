package calls

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"time"
)

const (
	// minReadBytes is the smallest free buffer space for a read. Most replies fit
	// in it.
	minReadBytes = 4 << 10
	// maxIdleBufferBytes is the largest buffer that a connection keeps while it is idle.
	maxIdleBufferBytes = 64 << 10
	// maxReadAheadBytes bounds what is read beyond the bytes that hertz has asked for. The
	// buffer doubles as it grows, and a whole reply would be read past the bound on bodies.
	maxReadAheadBytes = 64 << 10
	// maxUnreadBytes bounds a head, trailer or line: hertz asks for a byte more until it has
	// received the whole. It asks for a body, whose length it bounds, at once.
	maxUnreadBytes = 2 * maxEventBytes
)

var errNoReply = errors.New("the server closed the connection before replying")

// conn is a hertz connection over a net.Conn. hertz's own type hides the file
// descriptor, which is needed to detect that the server has closed a connection
// before a request is sent on it.
type conn struct {
	net.Conn
	owner *connClient
	// received holds the received bytes. The first consumed bytes of it have
	// already been read by hertz.
	received []byte
	consumed int
	toSend   []byte
}

// Close closes the connection and detaches it from its client.
func (c *conn) Close() error {
	c.owner.detach(c)
	return c.Conn.Close()
}

// Flush sends the buffered part of the request.
func (c *conn) Flush() error {
	if len(c.toSend) == 0 {
		return nil
	}
	_, err := c.Write(c.toSend)
	c.toSend = c.toSend[:0]
	if cap(c.toSend) > maxIdleBufferBytes {
		c.toSend = nil
	}
	return err
}

// Len returns the number of received bytes that have not been consumed.
func (c *conn) Len() int { return len(c.received) - c.consumed }

// Malloc extends the send buffer by n bytes and returns them.
func (c *conn) Malloc(n int) ([]byte, error) {
	start := len(c.toSend)
	c.toSend = slices.Grow(c.toSend, n)[:start+n]
	return c.toSend[start:], nil
}

// Peek returns the next n bytes without consuming them. Before the first byte of
// a reply it replaces io.EOF by another error, because hertz treats io.EOF as a
// stale connection and sends the request a second time.
func (c *conn) Peek(n int) ([]byte, error) {
	if c.Len() >= maxUnreadBytes && n > c.Len() && n-c.Len() < minReadBytes {
		c.owner.failed.Store(true)
		return nil, fmt.Errorf("a head, trailer or line of the reply exceeds %d bytes; check the server at %s", maxUnreadBytes, c.RemoteAddr())
	}
	for c.Len() < n {
		if err := c.fill(n - c.Len()); err != nil {
			if !c.owner.replied.Load() {
				if errors.Is(err, io.EOF) {
					err = errNoReply
				}
				return nil, fmt.Errorf("waiting for a reply: %w", err)
			}
			return c.received[c.consumed:], err
		}
	}
	if err := c.checkStatus(); err != nil {
		return nil, err
	}
	return c.received[c.consumed : c.consumed+n], nil
}

// Read reads and consumes received bytes.
func (c *conn) Read(b []byte) (int, error) {
	if c.Len() == 0 {
		if _, err := c.Peek(1); err != nil {
			return 0, err
		}
	}
	n := copy(b, c.received[c.consumed:])
	c.consumed += n
	return n, nil
}

// ReadBinary returns a copy of the next n bytes and consumes them.
func (c *conn) ReadBinary(n int) ([]byte, error) {
	b, err := c.Peek(n)
	if err != nil {
		return nil, err
	}
	c.consumed += n
	return bytes.Clone(b), nil
}

// ReadByte returns the next byte and consumes it.
func (c *conn) ReadByte() (byte, error) {
	b, err := c.Peek(1)
	if err != nil {
		return 0, err
	}
	c.consumed++
	return b[0], nil
}

// Release frees the space of the consumed bytes for reuse.
func (c *conn) Release() error {
	n := copy(c.received, c.received[c.consumed:])
	c.received, c.consumed = c.received[:n], 0
	if n == 0 && cap(c.received) > maxIdleBufferBytes {
		c.received = nil
	}
	return nil
}

// SetReadTimeout limits the time of the following reads. 0 means no limit.
func (c *conn) SetReadTimeout(d time.Duration) error { return c.SetReadDeadline(deadline(d)) }

// SetWriteTimeout limits the time of the following writes. 0 means no limit.
func (c *conn) SetWriteTimeout(d time.Duration) error { return c.SetWriteDeadline(deadline(d)) }

// Skip consumes n received bytes.
func (c *conn) Skip(n int) error {
	if c.Len() < n {
		return fmt.Errorf("cannot skip %d bytes: only %d bytes have been received", n, c.Len())
	}
	c.consumed += n
	return nil
}

// Write sends bytes without buffering them.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if n > 0 {
		c.owner.sent.Store(true)
	}
	return n, err
}

// WriteBinary appends bytes to the send buffer.
func (c *conn) WriteBinary(b []byte) (int, error) {
	c.toSend = append(c.toSend, b...)
	return len(b), nil
}

// fill reads from the connection once, with space for at least n bytes.
func (c *conn) fill(n int) error {
	c.received = slices.Grow(c.received, max(n, minReadBytes))
	end := min(cap(c.received), len(c.received)+max(n, maxReadAheadBytes))
	m, err := c.Conn.Read(c.received[len(c.received):end])
	c.received = c.received[:len(c.received)+m]
	if m > 0 {
		c.owner.replied.Store(true)
		return nil
	}
	if err != nil && !errors.Is(err, io.EOF) {
		c.owner.failed.Store(true)
	}
	return err
}

func deadline(d time.Duration) time.Time {
	if d <= 0 {
		return time.Time{}
	}
	return time.Now().Add(d)
}
