package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"sesamehill.example/sesamehill/internal/target"
)

const (
	runHeader    = "X-Run"
	resumeHeader = "Last-Event-ID"
	// offsetBeforeFirst is the offset in the event ID of a stream on which no token
	// has been sent yet.
	offsetBeforeFirst = -1
	assistantRole     = "assistant"
)

var doneData = []byte("[DONE]")

// streamID is the ID of a server-sent event: the run and the offset of the last
// token that was sent to the caller.
type streamID struct {
	run    string
	offset int
}

func (i streamID) String() string {
	return i.run + ":" + strconv.Itoa(i.offset)
}

// parseStreamID splits an ID at its last colon, because a run's ID may contain
// colons.
func parseStreamID(s string) (streamID, error) {
	colon := strings.LastIndexByte(s, ':')
	if colon < 1 {
		return streamID{}, Invalid(resumeHeader, "header Last-Event-ID is not \"run:offset\"; send the last ID received")
	}
	offset, err := strconv.Atoi(s[colon+1:])
	if err != nil || offset < offsetBeforeFirst || strconv.Itoa(offset) != s[colon+1:] {
		return streamID{}, Invalid(resumeHeader,
			"header Last-Event-ID does not end in a token offset; send the last ID received")
	}
	return streamID{run: s[:colon], offset: offset}, nil
}

// relay writes the chunks of a run as server-sent events. It reuses one event,
// one encoder and one buffer for all tokens.
type relay struct {
	writer       *sse.Writer
	buffer       bytes.Buffer
	encoder      *json.Encoder
	event        chunkEvent
	choice       chunkChoice
	id           streamID
	includeUsage bool
}

func newRelay(writer *sse.Writer, id streamID, chat, includeUsage bool, model string) *relay {
	r := &relay{writer: writer, id: id, includeUsage: includeUsage}
	r.encoder = json.NewEncoder(&r.buffer)
	r.encoder.SetEscapeHTML(false)
	r.event = newChunkEvent(id.run, chat, model)
	if chat {
		r.choice.Delta = &delta{}
	} else {
		r.choice.Text = new(string)
	}
	r.event.Choices = []*chunkChoice{&r.choice}
	return r
}

// relayRun relays chunks until the response is complete or fails. It always
// writes the end of the stream: [DONE] or an error event.
func (r *relay) relayRun(first target.Chunk, run Run) (err error) {
	defer func() {
		p := recover()
		if p != nil {
			counters.Add("panics", 1)
		}
		if p != nil || err != nil {
			counters.Add("broken", 1)
			r.writeError(refusal(err))
		}
	}()
	for chunk := first; ; {
		if chunk.Done {
			return r.writeEnd(chunk)
		}
		// The run ID changes when the run moves to another target.
		r.id.run = run.ID()
		if err := r.writeToken(chunk); err != nil {
			return err
		}
		if chunk, err = nextChunk(run); err != nil {
			return err
		}
	}
}

// writeToken writes one token. The first token of a chat also carries the role.
func (r *relay) writeToken(c target.Chunk) error {
	r.id.offset = c.Offset
	if d := r.choice.Delta; d != nil {
		d.Role, d.Content = "", &c.Text
		if c.Offset == 0 {
			d.Role = assistantRole
		}
	} else {
		r.choice.Text = &c.Text
	}
	return r.writeEvent()
}

// writeEnd writes the finish reason, the usage if it was requested, and [DONE].
func (r *relay) writeEnd(c target.Chunk) error {
	reason := finishReason(c.Reason)
	r.choice.FinishReason = &reason
	if d := r.choice.Delta; d != nil {
		d.Role, d.Content = "", nil
	} else {
		r.choice.Text = new(string)
	}
	if err := r.writeEvent(); err != nil {
		return err
	}
	if r.includeUsage && c.Usage != nil {
		r.event.Choices = []*chunkChoice{}
		r.event.Usage = newUsage(c.Usage)
		if err := r.writeEvent(); err != nil {
			return err
		}
	}
	return r.writer.WriteEvent(r.id.String(), "", doneData)
}

// writeEvent writes the current event with the ID of the last token.
func (r *relay) writeEvent() error {
	r.buffer.Reset()
	if err := r.encoder.Encode(&r.event); err != nil {
		return err
	}
	return r.writer.WriteEvent(r.id.String(), "", r.buffer.Bytes())
}

// writeError ends the stream with an error event, which has the ID of the last
// token so that the caller can resume.
func (r *relay) writeError(e *RefusalError) {
	b, err := json.Marshal(e.body())
	if err != nil {
		return
	}
	// The write fails only if the caller has disconnected.
	_ = r.writer.Write(&sse.Event{ID: r.id.String(), Type: "error", Data: b, Retry: e.Retry})
}

// nextChunk returns the next chunk of a run. A stream that ends without a chunk
// with Done set is an error.
func nextChunk(run Run) (target.Chunk, error) {
	c, err := run.Next()
	if errors.Is(err, io.EOF) {
		return c, &target.BrokenError{Target: run.ID(), Reason: "the stream ended without an end marker"}
	}
	return c, err
}

func unixNow() int64 { return time.Now().Unix() }

// closeRun releases a run. The response or the error has already been sent to the
// caller, so a failure to release the run is only counted.
func closeRun(run Run) {
	if err := run.Close(); err != nil {
		counters.Add("close_errors", 1)
	}
}
