package entry

import (
	"bytes"
	"context"
	"slices"
	"strings"

	"github.com/cloudwego/hertz/pkg/protocol/sse"
)

func (s *Server) completion(ctx context.Context, c *call) error {
	return s.complete(ctx, c, false)
}

func (s *Server) chatCompletion(ctx context.Context, c *call) error {
	return s.complete(ctx, c, true)
}

func (s *Server) complete(ctx context.Context, c *call, chat bool) error {
	body, err := s.readBody(c)
	if err != nil {
		return err
	}
	if id := string(c.GetHeader(resumeHeader)); id != "" {
		return s.resume(ctx, c, chat, id, body)
	}
	r, err := parseRequest(body)
	if err != nil {
		return err
	}
	p, err := s.prompt(c, r, chat)
	if err != nil {
		return err
	}
	run, err := s.runner.Complete(ctx, p)
	if err != nil {
		return err
	}
	defer closeRun(run)
	if r.Stream {
		return writeStream(c, run, r, chat, offsetBeforeFirst)
	}
	return writeWhole(c, run, r, chat)
}

// resume continues a stream after the token that the event ID identifies. The
// body may be empty. If it is not, only its model and stream options are used.
func (s *Server) resume(ctx context.Context, c *call, chat bool, id string, body []byte) error {
	last, err := parseStreamID(id)
	if err != nil {
		return err
	}
	r := &request{}
	if len(bytes.TrimSpace(body)) > 0 {
		if r, err = parseRequest(body); err != nil {
			return err
		}
	}
	run, err := s.runner.Resume(ctx, c.account.Name, last.run, last.offset+1)
	if err != nil {
		return err
	}
	defer closeRun(run)
	return writeStream(c, run, r, chat, last.offset)
}

func (s *Server) prompt(c *call, r *request, chat bool) (Prompt, error) {
	if r.Model == "" {
		return Prompt{}, Invalid("model", "option \"model\" is missing; send one of GET /v1/models")
	}
	if r.StreamOptions != nil && !r.Stream {
		return Prompt{}, Invalid("stream_options", "option \"stream_options\" needs \"stream\": true")
	}
	defaultTokens := defaultCompletionTokens
	if chat {
		defaultTokens = defaultChatTokens
	}
	maxTokens, err := r.maxOutputTokens(defaultTokens)
	if err != nil {
		return Prompt{}, err
	}
	tokens, err := r.tokens(chat, s.runner.Limits().Prompt)
	if err != nil {
		return Prompt{}, err
	}
	deadline, err := c.deadline()
	if err != nil {
		return Prompt{}, err
	}
	model, adapter, _ := strings.Cut(r.Model, ":")
	return Prompt{
		Account: c.account.Name, Model: model, Adapter: adapter, Tokens: tokens, Max: maxTokens,
		Priority: c.account.Priority, Arrived: c.arrived, Deadline: deadline,
	}, nil
}

// writeStream relays a run as server-sent events. It sends the status line only
// after the first chunk has arrived, so that a run that fails earlier gets an
// error status. lastOffset is the offset of the last token that the caller has
// received.
func writeStream(c *call, run Run, r *request, chat bool, lastOffset int) error {
	first, err := nextChunk(run)
	if err != nil {
		return err
	}
	c.Response.Header.Set(runHeader, run.ID())
	includeUsage := r.StreamOptions != nil && r.StreamOptions.IncludeUsage
	id := streamID{run: run.ID(), offset: lastOffset}
	return newRelay(sse.NewWriter(c.RequestContext), id, chat, includeUsage, r.Model).relayRun(first, run)
}

// writeWhole collects the chunks of a run and responds only after the chunk with
// Done set has arrived.
func writeWhole(c *call, run Run, r *request, chat bool) error {
	var text strings.Builder
	for {
		chunk, err := nextChunk(run)
		if err != nil {
			counters.Add("broken", 1)
			return err
		}
		if chunk.Done {
			c.Response.Header.Set(runHeader, run.ID())
			return writeJSON(c.RequestContext, newCompletionResponse(run.ID(), chat, r.Model, text.String(), chunk))
		}
		text.WriteString(chunk.Text)
	}
}

func (s *Server) models(_ context.Context, c *call) error {
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, m := range s.runner.Models(c.account.Name) {
		list.Data = append(list.Data, newModelItem(m))
	}
	return writeJSON(c.RequestContext, list)
}

func (s *Server) model(_ context.Context, c *call) error {
	name := strings.TrimPrefix(c.Param("model"), "/")
	if !slices.Contains(s.runner.Models(c.account.Name), name) {
		return NotFound("model", "model %q does not exist for this account; see GET /v1/models", name)
	}
	return writeJSON(c.RequestContext, newModelItem(name))
}
