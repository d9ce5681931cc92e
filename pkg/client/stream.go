package client

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"sesamehill.example/sesamehill/internal/calls"
)

// offsetBeforeFirst is the last offset of a stream that has no token yet.
const offsetBeforeFirst = -1

// Token is one generated token.
type Token struct {
	Text string
	// Offset is the number of tokens before this one.
	Offset int
}

// Usage holds the token counts of an answer.
type Usage struct {
	Prompt          int
	GeneratedTokens int
	// CachedTokens is the number of prompt tokens whose KV cache was reused.
	CachedTokens int
}

// Stream is an answer that is received token by token. It is not safe for
// concurrent use.
type Stream struct {
	caller  *Caller
	ctx     context.Context
	path    string
	body    []byte
	max     int
	retrier *retrier

	stream       *calls.Stream
	runID        string
	lastOffset   int
	finishReason string
	usage        Usage
	resumes      int
	err          error
}

type event struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		Details          struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// Next returns the next token. It returns io.EOF only if the answer is complete,
// and an *IncompleteError, which may wrap a *RefusalError, if it cannot be
// completed.
func (s *Stream) Next() (Token, error) {
	for s.err == nil {
		data, err := s.stream.Next()
		if errors.Is(err, io.EOF) {
			// To callers of Next, io.EOF means that the answer is complete.
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			s.err = s.resume(&IncompleteError{RunID: s.runID, Reason: "the connection was closed", Err: err})
			continue
		}
		t, ok, err := s.handleEvent(data)
		if err != nil {
			s.err = err
			continue
		}
		if ok {
			return t, nil
		}
	}
	return Token{}, s.err
}

// handleEvent handles the data of one event; ok is false if it carries no token.
func (s *Stream) handleEvent(data []byte) (t Token, ok bool, err error) {
	id, kind := s.stream.IDAndType()
	if kind == "error" {
		return t, false, s.handleErrorEvent(data)
	}
	if string(data) == "[DONE]" {
		return t, false, s.finish()
	}
	var e event
	if err := json.Unmarshal(data, &e); err != nil {
		return t, false, &IncompleteError{RunID: s.runID, Reason: "an event is not valid JSON", Err: err}
	}
	if u := e.Usage; u != nil {
		s.usage = Usage{Prompt: u.PromptTokens, GeneratedTokens: u.CompletionTokens, CachedTokens: u.Details.CachedTokens}
	}
	if len(e.Choices) == 0 {
		return t, false, nil
	}
	if e.Choices[0].FinishReason != nil {
		s.finishReason = *e.Choices[0].FinishReason
		return t, false, nil
	}
	runID, offset, err := parseEventID(id)
	if err != nil || offset != s.lastOffset+1 {
		return t, false, &IncompleteError{RunID: s.runID, Reason: "event " + id + " does not follow token " + strconv.Itoa(s.lastOffset)}
	}
	s.runID, s.lastOffset = runID, offset
	return Token{Text: e.Choices[0].Text + e.Choices[0].Delta.Content, Offset: offset}, true, nil
}

// handleErrorEvent handles an error event by resuming the stream. Resuming only
// attaches to the existing run at the engine and starts no new one, so it is safe
// even if the request crashes the targets on which it runs.
func (s *Stream) handleErrorEvent(data []byte) error {
	refusal := newRefusalError(calls.Reply{Status: http.StatusOK, Body: data})
	return s.resume(&IncompleteError{RunID: s.runID, Reason: refusal.Message, Err: refusal})
}

// finish returns io.EOF if the answer is complete when the end marker arrives.
func (s *Stream) finish() error {
	switch {
	case s.finishReason == "":
		return &IncompleteError{RunID: s.runID, Reason: "the stream ended without a finish reason"}
	case s.finishReason == "length" && s.max > 0 && s.lastOffset+1 != s.max:
		return &IncompleteError{RunID: s.runID, Reason: strconv.Itoa(s.lastOffset+1) + " of " + strconv.Itoa(s.max) + " tokens were received"}
	}
	s.stream.AwaitEnd()
	return io.EOF
}

// open starts the stream. It tries one host after another.
func (s *Stream) open() error {
	mayHaveRun := false
	for {
		err := s.connect(nil)
		if err == nil {
			return nil
		}
		r, refused := asRefusal(err)
		mayHaveRun = mayHaveRun || !refused && maybeSent(err)
		minDelay := r.retryDelay()
		if s.ctx.Err() == nil && (!refused || r.retryable()) && s.retrier.wait(s.ctx, minDelay) {
			continue
		}
		if refused {
			r.NotRun = r.NotRun && !mayHaveRun
			return r
		}
		return &UnreachableError{MaybeSent: mayHaveRun, Err: err}
	}
}

// resume continues the stream after the last token at another host. If that fails,
// it returns the reason why the answer stays incomplete; cause is the error that
// interrupted the stream.
func (s *Stream) resume(cause *IncompleteError) error {
	s.Close()
	if s.runID == "" {
		return cause
	}
	lastEventID := s.runID + ":" + strconv.Itoa(s.lastOffset)
	for s.ctx.Err() == nil && s.retrier.wait(s.ctx, 0) {
		err := s.connect(map[string]string{"Last-Event-ID": lastEventID})
		if err == nil {
			s.resumes++
			return nil
		}
		if r, refused := asRefusal(err); refused && !r.retryable() && r.Status < http.StatusInternalServerError {
			return &IncompleteError{RunID: s.runID, Reason: cause.Reason + "; the resume failed: " + r.Message, Err: err}
		}
	}
	return cause
}

func (s *Stream) connect(header map[string]string) error {
	pool, err := s.caller.nextPool()
	if err != nil {
		return err
	}
	stream, reply, err := pool.Open(s.ctx, calls.Request{
		Method: http.MethodPost, Path: s.path, ContentType: jsonContentType, Body: s.body, Header: s.caller.header(header),
	})
	if err != nil {
		return err
	}
	if stream == nil && reply.Status == http.StatusOK {
		return &IncompleteError{Reason: "the response is not an event stream"}
	}
	if stream == nil {
		return newRefusalError(reply)
	}
	s.stream = stream
	return nil
}

// Collect reads the remaining answer. It returns an error unless the answer is
// complete.
func (s *Stream) Collect() (Answer, error) {
	var text strings.Builder
	for {
		t, err := s.Next()
		if errors.Is(err, io.EOF) {
			return Answer{RunID: s.runID, Text: text.String(), FinishReason: s.finishReason, Usage: s.usage, Resumes: s.resumes}, nil
		}
		if err != nil {
			return Answer{RunID: s.runID, Text: text.String(), Resumes: s.resumes}, err
		}
		text.WriteString(t.Text)
	}
}

// Usage returns the token counts of a complete answer.
func (s *Stream) Usage() Usage { return s.usage }

// Resumes returns the number of times that the stream was resumed.
func (s *Stream) Resumes() int { return s.resumes }

// RunID returns the ID of the run, or an empty string before the first token.
func (s *Stream) RunID() string { return s.runID }

// Close closes the stream. The host cancels a run that is not finished.
func (s *Stream) Close() {
	if s.stream != nil {
		_ = s.stream.Close()
		s.stream = nil
	}
}

// parseEventID splits an event ID, "run:offset", at its last colon.
func parseEventID(id string) (runID string, offset int, err error) {
	colon := strings.LastIndexByte(id, ':')
	if colon < 1 {
		return "", 0, errors.New("the event ID has no run")
	}
	offset, err = strconv.Atoi(id[colon+1:])
	return id[:colon], offset, err
}
