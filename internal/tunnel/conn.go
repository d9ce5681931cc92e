package tunnel

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
)

// maxHeadBytes bounds the answer of a host to a request for a tunnel. Another process may have
// the address of a host that has gone.
const maxHeadBytes = 16 << 10

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// conn is the end of a tunnel at the host that opened it.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// left is the number of unread bytes of the current frame.
	left int
	// ended is set after the last frame.
	ended bool
}

// Dial opens a tunnel to a target through the host at an address. It returns a
// *RefusedError if that host answers that it opens none.
func Dial(ctx context.Context, dial DialFunc, host, target string) (net.Conn, error) {
	c, err := dial(ctx, "tcp", host)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	reader, err := upgrade(c, host, target)
	if !stop() && err == nil {
		err = context.Cause(ctx)
	}
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	return &conn{Conn: c, reader: reader}, nil
}

// upgrade turns a connection into a tunnel.
func upgrade(c net.Conn, host, target string) (*bufio.Reader, error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+host+Path, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Connection", "Upgrade")
	req.Header.Set("Upgrade", Protocol)
	req.Header.Set(TargetHeader, target)
	if err := req.Write(c); err != nil {
		return nil, err
	}
	limited := &io.LimitedReader{R: c, N: maxHeadBytes}
	reader := bufio.NewReader(limited)
	resp, err := http.ReadResponse(reader, req) //nolint:bodyclose // Close would read the body to its end; the connection is closed
	if err != nil {
		return nil, err
	}
	limited.N = math.MaxInt64
	if resp.StatusCode != http.StatusSwitchingProtocols {
		return nil, &RefusedError{Host: host, Status: resp.StatusCode}
	}
	return reader, nil
}

// Read reads bytes of the target.
func (c *conn) Read(b []byte) (int, error) {
	if c.ended {
		return 0, io.EOF
	}
	if c.left == 0 {
		if err := c.nextFrame(); err != nil {
			return 0, err
		}
	}
	n, err := c.reader.Read(b[:min(len(b), c.left)])
	c.left -= n
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// nextFrame reads the length of the next frame.
func (c *conn) nextFrame() error {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(c.reader, header[:]); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return err
	}
	length := binary.BigEndian.Uint32(header[:])
	switch {
	case length == 0:
		c.ended = true
		return io.EOF
	case length > maxFrameBytes:
		return fmt.Errorf("frame of %d bytes in a tunnel; run the same version on all hosts", length)
	}
	c.left = int(length)
	return nil
}
