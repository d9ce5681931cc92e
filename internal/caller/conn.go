package caller

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// maxWriteBytes is the largest single write, so that a slow reader of a long answer makes
// visible progress.
const maxWriteBytes = 64 << 10

// refusalTime bounds the write of a refusal to a caller that may not read.
const refusalTime = 50 * time.Millisecond

// errClosed says that the guard has closed the connection.
var errClosed = errors.New("the connection was closed to bound the memory and descriptors of callers")

// Conn is a connection of a caller.
type Conn struct {
	net.Conn
	guard *Guard
	order uint64
	phase atomic.Int32
	// bytes is what the connection holds, headBytes the size of the head so far.
	bytes     atomic.Int64
	headBytes int
	// phaseAt, progressAt and writeAt are times of the guard's clock; writeAt is -1 if no
	// write is running. unmarked is the number of bytes received since progressAt.
	phaseAt, progressAt, writeAt atomic.Int64
	unmarked                     int
	bodyTime                     atomic.Int64
	// ahead says that bytes of the next request came before the answer was sent.
	ahead atomic.Bool
}

// Read reads from the caller. It refuses the head of a request that exceeds a limit.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	switch c.currentPhase() {
	case Opened, Idle:
		if !c.begin(Head) {
			return 0, closedError()
		}
		c.headBytes = 0
		return c.readHead(b[:n], err)
	case Head:
		return c.readHead(b[:n], err)
	case Body:
		c.hold(int64(n))
		c.progress(n)
	case Closed:
		return 0, closedError()
	case Received:
		c.ahead.Store(true)
	case Hijacked:
	}
	return n, err
}

// readHead counts received bytes of a head and returns the result of the read.
func (c *Conn) readHead(b []byte, err error) (int, error) {
	limits := c.guard.limits.Load()
	c.headBytes += len(b)
	c.progress(len(b))
	// The last read of a head may contain the begin of the body.
	if limits.HeaderBytes > 0 && c.headBytes > limits.HeaderBytes+readAheadBytes {
		return c.refuse(b, err, http.StatusRequestHeaderFieldsTooLarge, "head too large")
	}
	cost := int64(headByteCost*len(b) + fieldBytes*bytes.Count(b, newline))
	if !c.guard.reserve(cost) {
		return c.refuse(b, err, http.StatusServiceUnavailable, "refused")
	}
	c.bytes.Add(cost)
	return len(b), err
}

// readAheadBytes is how much net/http reads beyond the end of a head.
const readAheadBytes = 4 << 10

var newline = []byte{'\n'}

// closedError is an error that net/http takes for the end of the connection.
func closedError() error { return &net.OpError{Op: "read", Net: "tcp", Err: errClosed} }

// hold charges bytes to the connection that were received already.
func (c *Conn) hold(n int64) {
	c.bytes.Add(n)
	c.guard.inUse.Add(n)
}

// progress records received bytes.
func (c *Conn) progress(n int) {
	c.unmarked += n
	if c.unmarked >= progressBytes {
		c.unmarked = 0
		c.progressAt.Store(c.guard.now.Load())
	}
}

// refuse answers a request whose head is being received, and closes the connection. It
// returns the result of the read. If the request has begun to run since, the received bytes
// were read ahead of the next one, and it refuses nothing.
func (c *Conn) refuse(b []byte, err error, status int, reason string) (int, error) {
	if !c.end(Head, reason) {
		if c.currentPhase() == Closed {
			return 0, closedError()
		}
		return len(b), err
	}
	retry := ""
	if status == http.StatusServiceUnavailable {
		retry = "Retry-After: 1\r\n"
	}
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTime)) // without it the write fails as well
	// The caller may have gone.
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\n%sConnection: close\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status), retry)
	_ = c.Conn.Close() // nothing else can be done
	return 0, closedError()
}

// Write writes to the caller in pieces, so that the guard sees whether it reads.
func (c *Conn) Write(b []byte) (int, error) {
	written := 0
	for {
		piece := b[written:min(len(b), written+maxWriteBytes)]
		c.writeAt.Store(c.guard.now.Load())
		n, err := c.Conn.Write(piece)
		c.writeAt.Store(notWriting)
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

const notWriting = -1

// CloseWrite ends the direction to the caller.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// SetLinger sets how a close treats data that was not sent.
func (c *Conn) SetLinger(seconds int) error {
	if l, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		return l.SetLinger(seconds)
	}
	return nil
}

func (c *Conn) currentPhase() Phase { return Phase(c.phase.Load()) }

// begin starts a phase. It returns false if the guard has closed the connection.
func (c *Conn) begin(p Phase) bool {
	for {
		old := c.currentPhase()
		if old == Closed {
			return false
		}
		if old == Idle {
			c.ahead.Store(p != Head) // the request was in a buffer before the last answer was sent
		}
		if c.phase.CompareAndSwap(int32(old), int32(p)) {
			now := c.guard.now.Load()
			c.phaseAt.Store(now)
			c.progressAt.Store(now)
			return true
		}
	}
}

// end makes a connection that is still in a phase a closed one. It does not close the
// underlying connection.
func (c *Conn) end(p Phase, reason string) bool {
	if !c.phase.CompareAndSwap(int32(p), int32(Closed)) {
		return false
	}
	c.guard.count(reason)
	c.release()
	return true
}

// closeFrom closes a connection that is still in a phase.
func (c *Conn) closeFrom(p Phase, reason string) bool {
	if !c.end(p, reason) {
		return false
	}
	_ = c.Conn.Close() // makes pending reads and writes fail
	return true
}

// release gives back what the connection holds for a request.
func (c *Conn) release() { c.guard.inUse.Add(-c.bytes.Swap(0)) }

// holding returns what the connection holds now.
func (c *Conn) holding(now int64) Holding {
	h := Holding{
		Phase: c.currentPhase(), Order: c.order, Bytes: connBytes + c.bytes.Load(),
		InPhase: time.Duration(now - c.phaseAt.Load()), Stalled: time.Duration(now - c.progressAt.Load()),
		BodyTime: time.Duration(c.bodyTime.Load()),
	}
	if at := c.writeAt.Load(); at != notWriting {
		h.Writing = time.Duration(now - at)
	}
	return h
}

// bodyReader notices the end of the body of a request.
type bodyReader struct {
	io.ReadCloser
	conn *Conn
}

// Read reads from the body. The body has no end if the guard has closed the connection, so
// that its request does not run without an answer.
func (r *bodyReader) Read(b []byte) (int, error) {
	n, err := r.ReadCloser.Read(b)
	if errors.Is(err, io.EOF) && !r.conn.begin(Received) {
		return n, closedError()
	}
	return n, err
}
