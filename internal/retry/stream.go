package retry

import (
	"fmt"

	"sesamehill.example/sesamehill/internal/target"
)

// maxDroppedChunks bounds the dropped chunks of one stream.
const maxDroppedChunks = 64

// Stream checks the chunks of one attempt. The zero value expects the chunk with
// offset 0. For a resumed attempt, set Next to the number of emitted tokens.
type Stream struct {
	Attempt string
	Version string
	// Software is the version of the software of the engine that emitted the tokens
	// before Next; empty if there are none or it stated none.
	Software string
	// Next is the expected offset of the next token.
	Next int
	// Ended reports whether the end marker has been accepted.
	Ended   bool
	dropped int
}

// Verdict is one of Deliver, Drop, End and Reject.
type Verdict interface{ verdict() }

// Deliver means that the chunk carries the next token.
type Deliver struct{}

// Drop means that the chunk belongs to another attempt or has been delivered
// before. The stream continues.
type Drop struct{ Reason string }

// End means that the response is complete.
type End struct{}

// Reject means that the attempt cannot be completed. Cancel it and resume at
// Stream.Next.
type Reject struct{ Err *StreamError }

func (Deliver) verdict() {}
func (Drop) verdict()    {}
func (End) verdict()     {}
func (Reject) verdict()  {}

// StreamError reports a stream that does not carry the response of its attempt.
type StreamError struct {
	Attempt string
	Problem string
}

// Error names the attempt, the problem and the remedy.
func (e *StreamError) Error() string {
	return fmt.Sprintf("stream of attempt %s: %s; resume the run on another target", e.Attempt, e.Problem)
}

// Accept checks the next chunk and returns the updated stream. The offset of the
// end marker must be the number of tokens, so that a response without its last
// tokens is detected.
func (s Stream) Accept(c target.Chunk) (Stream, Verdict) {
	switch {
	case c.Attempt != s.Attempt:
		return s.drop(fmt.Sprintf("chunk belongs to attempt %q", c.Attempt))
	case c.Version != s.Version:
		return s, s.reject("weight version is %q, want %q", c.Version, s.Version)
	case s.Software != "" && c.Software != s.Software:
		return s, s.reject("software version is %q, want %q", c.Software, s.Software)
	case c.Offset > s.Next:
		return s, s.reject("offset is %d, want %d", c.Offset, s.Next)
	case s.Ended || c.Offset < s.Next && !c.Done:
		return s.drop("chunk has been delivered before")
	case c.Offset < s.Next:
		return s, s.reject("end marker counts %d tokens, want %d", c.Offset, s.Next)
	case c.Done:
		s.Ended = true
		return s, End{}
	}
	s.Next++
	s.Software = c.Software
	return s, Deliver{}
}

// Close returns a *StreamError unless the response is complete.
func (s Stream) Close() error {
	if s.Ended {
		return nil
	}
	return s.reject("it ended without an end marker at offset %d", s.Next).Err
}

func (s Stream) drop(reason string) (Stream, Verdict) {
	s.dropped++
	if s.dropped > maxDroppedChunks {
		return s, s.reject("more than %d chunks were dropped, the last one because: %s", maxDroppedChunks, reason)
	}
	return s, Drop{Reason: reason}
}

func (s Stream) reject(format string, args ...any) Reject {
	return Reject{Err: &StreamError{Attempt: s.Attempt, Problem: fmt.Sprintf(format, args...)}}
}
