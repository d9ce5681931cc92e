package tunnel

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// maxTunnels bounds the tunnels that a host keeps open for others. Each one needs two
	// descriptors and two buffers of maxFrameBytes.
	maxTunnels = 256
	// requestBufferBytes is the size of the buffer for bytes to the target.
	requestBufferBytes = 4 << 10
	// writeTimeout bounds the time for which one end of a tunnel does not read.
	writeTimeout = 15 * time.Second
)

// ConnectFunc connects to a target for the host with an IP address. It returns a
// *ConnectError if it does not.
type ConnectFunc func(ctx context.Context, host, target string) (net.Conn, error)

// Server opens tunnels for other hosts.
type Server struct {
	connect ConnectFunc
	open    atomic.Int64
}

// NewServer returns a server that connects to targets by a function.
func NewServer(connect ConnectFunc) *Server { return &Server{connect: connect} }

// Open returns the number of open tunnels.
func (s *Server) Open() int64 { return s.open.Load() }

// ServeHTTP opens a tunnel and serves it until one end closes it.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Upgrade") != Protocol {
		http.Error(w, "the request does not ask for a tunnel; run the same version on all hosts", http.StatusUpgradeRequired)
		return
	}
	defer s.open.Add(-1)
	if s.open.Add(1) > maxTunnels {
		http.Error(w, "too many tunnels are open; ask another host", http.StatusServiceUnavailable)
		return
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		http.Error(w, "the address of the sender is invalid", http.StatusBadRequest)
		return
	}
	target, err := s.connect(r.Context(), host, r.Header.Get(TargetHeader))
	if err != nil {
		http.Error(w, err.Error(), statusOf(err))
		return
	}
	defer func() { _ = target.Close() }() // it was read to its end or is given up
	accept(w, target)
}

// statusOf returns the status with which a tunnel is refused.
func statusOf(err error) int {
	var refused *ConnectError
	if errors.As(err, &refused) {
		return refused.Status
	}
	return http.StatusBadGateway
}

// accept upgrades the connection of a request and passes bytes on in both directions.
func accept(w http.ResponseWriter, target net.Conn) {
	caller, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		http.Error(w, "the connection cannot be upgraded", http.StatusInternalServerError)
		return
	}
	defer func() { _ = caller.Close() }() // both directions have ended
	head := "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + Protocol + "\r\n\r\n"
	if _, err := io.WriteString(caller, head); err != nil {
		return
	}
	toTarget := make(chan struct{})
	go func() {
		defer close(toTarget)
		// Hides the other methods of the reader, which would allocate a larger buffer.
		reader := struct{ io.Reader }{buffered}
		_, _ = io.CopyBuffer(&timedWriter{target}, reader, make([]byte, requestBufferBytes)) // the end of the caller ends the tunnel
		_ = target.Close()
	}()
	if copyFrames(caller, target) != nil {
		reset(caller)
	}
	_ = caller.Close()
	<-toTarget
}

// timedWriter bounds the time of each write.
type timedWriter struct{ conn net.Conn }

// Write writes within writeTimeout.
func (t *timedWriter) Write(b []byte) (int, error) {
	if err := t.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return t.conn.Write(b)
}

// copyFrames passes the bytes of a target on in frames. It returns nil if the target has
// ended its connection properly and the last frame was sent.
func copyFrames(caller, target net.Conn) error {
	out := &timedWriter{caller}
	buffer := make([]byte, frameHeaderBytes+maxFrameBytes)
	for {
		n, err := target.Read(buffer[frameHeaderBytes:])
		if n > 0 {
			binary.BigEndian.PutUint32(buffer, uint32(n))
			if _, err := out.Write(buffer[:frameHeaderBytes+n]); err != nil {
				return err
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			_, err := out.Write(make([]byte, frameHeaderBytes))
			return err
		case err != nil:
			return err
		}
	}
}

// reset makes the close of a connection a reset.
func reset(c net.Conn) {
	if t, ok := c.(interface{ SetLinger(sec int) error }); ok {
		_ = t.SetLinger(0)
	}
}
