package calls

import (
	"errors"
	"io"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
)

const (
	// maxEventBytes limits the length of one line of a stream. A chunk is shorter
	// than 1 KB.
	maxEventBytes = 1 << 20
	// drainTimeout limits the wait for the end of a body after its last event has
	// arrived. The end normally arrives in the same TCP segment.
	drainTimeout = 50 * time.Millisecond
)

var errClosed = errors.New("the stream is closed")

// Stream is a server-sent event stream.
type Stream struct {
	pool   *Pool
	client *connClient
	// endCall ends the call and reports whether the connection can be reused for
	// another call.
	endCall func() bool

	mu     sync.Mutex
	resp   *protocol.Response
	reader *sse.Reader
	event  *sse.Event
	err    error
	// complete reports whether the whole body has been read.
	complete bool
}

// Next returns the data of the next event, valid until the next call. It
// returns io.EOF when the server ended the body regularly.
func (s *Stream) Next() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return nil, s.err
	}
	if err := s.reader.Read(s.event); err != nil {
		s.err = err
		s.complete = errors.Is(err, io.EOF)
		return nil, err
	}
	return s.event.Data, nil
}

// IDAndType returns the ID and the type of the last event that Next returned.
func (s *Stream) IDAndType() (id, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.event == nil {
		return "", ""
	}
	return s.event.ID, s.event.Type
}

// AwaitEnd waits for the end of the body after the last expected event, so that
// Close can keep the connection.
func (s *Stream) AwaitEnd() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return
	}
	s.client.mu.Lock()
	c := s.client.conn
	s.client.mu.Unlock()
	if c == nil {
		return
	}
	_ = c.SetReadTimeout(drainTimeout)
	s.err = s.reader.Read(s.event)
	if s.err == nil {
		s.err = errors.New("the server sent events after the last expected one")
	}
	s.complete = errors.Is(s.err, io.EOF)
}

// Close ends the stream. It may be called while Next waits. The connection is
// reused only if the whole body has been read.
func (s *Stream) Close() error {
	// Next holds the lock while it waits; closing the connection ends the wait.
	if !s.mu.TryLock() {
		s.client.kill()
		s.mu.Lock()
	}
	defer s.mu.Unlock()
	if s.reader == nil {
		return nil
	}
	if !s.complete {
		s.client.kill()
	}
	_ = s.reader.Close()
	usable := s.endCall()
	s.event.Release()
	protocol.ReleaseResponse(s.resp)
	s.reader, s.event, s.resp, s.err = nil, nil, nil, errClosed
	s.pool.release(s.client, usable)
	return nil
}
