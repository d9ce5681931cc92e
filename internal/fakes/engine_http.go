package fakes

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	"github.com/cloudwego/hertz/pkg/common/json"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"sesamehill.example/sesamehill/internal/target"
)

// route registers the handlers of the engine's HTTP API.
func (e *Engine) route(h *server.Hertz) {
	h.POST("/v1/completions", e.serveGenerate)
	h.GET("/runs/:attempt", e.serveResume)
	h.DELETE("/runs/:attempt", func(ctx context.Context, c *app.RequestContext) {
		writeReply(c, struct{}{}, e.Cancel(ctx, c.Param("attempt")))
	})
	h.GET("/load", func(ctx context.Context, c *app.RequestContext) {
		r, err := e.Load(ctx)
		writeReply(c, r, err)
	})
	h.GET("/events", func(ctx context.Context, c *app.RequestContext) {
		after, err := strconv.ParseUint(c.Query("after"), 10, 64)
		if err != nil {
			writeError(c, &target.NotRunError{Target: e.name, Reason: "the query parameter after is not a sequence number"})
			return
		}
		b, err := e.Events(ctx, after)
		writeReply(c, b, err)
	})
	h.GET("/inventory", func(ctx context.Context, c *app.RequestContext) {
		v, err := e.Inventory(ctx)
		writeReply(c, v, err)
	})
	h.POST("/order", func(ctx context.Context, c *app.RequestContext) {
		var o target.Order
		if decodeRequest(c, &o) {
			r, err := e.Order(ctx, o)
			writeReply(c, r, err)
		}
	})
	h.POST("/export", func(ctx context.Context, c *app.RequestContext) {
		var o target.ExportOrder
		if decodeRequest(c, &o) {
			r, err := e.Export(ctx, o)
			writeReply(c, r, err)
		}
	})
	h.POST("/import", func(ctx context.Context, c *app.RequestContext) {
		var o target.ImportOrder
		if decodeRequest(c, &o) {
			writeReply(c, struct{}{}, e.Import(ctx, o))
		}
	})
}

func (e *Engine) serveGenerate(ctx context.Context, c *app.RequestContext) {
	var r target.GenerateRequest
	if !decodeRequest(c, &r) {
		return
	}
	if raw, ok := e.nextRawAnswer(r); ok {
		_, _ = c.GetConn().Write([]byte(raw))
		closeConnection(c)
		return
	}
	s, err := e.Generate(ctx, r)
	if err != nil {
		writeError(c, err)
		return
	}
	streamChunks(c, s)
}

// AnswerRaw makes the engine answer the next requests for a run with these bytes, close
// their connections and run nothing. ATTEMPT, VERSION and NEXT stand for the attempt, the
// weight version and the offset of the next token.
func (e *Engine) AnswerRaw(answers ...string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rawAnswers = append(e.rawAnswers, answers...)
}

// nextRawAnswer removes and returns the next raw answer, if there is one.
func (e *Engine) nextRawAnswer(r target.GenerateRequest) (string, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.rawAnswers) == 0 {
		return "", false
	}
	raw := e.rawAnswers[0]
	e.rawAnswers = e.rawAnswers[1:]
	fields := strings.NewReplacer("ATTEMPT", r.Attempt, "VERSION", r.Version, "NEXT", strconv.Itoa(len(r.Emitted)))
	return fields.Replace(raw), true
}

func (e *Engine) serveResume(ctx context.Context, c *app.RequestContext) {
	offset, err := strconv.Atoi(c.Query("offset"))
	if err != nil {
		writeRefusal(c, http.StatusBadRequest, target.Refusal{
			Code: target.CodeRefused, Reason: "the query parameter offset is not a number",
		})
		return
	}
	s, err := e.Resume(ctx, string(c.GetHeader(target.HeaderAccount)), c.Param("attempt"), offset)
	if err != nil {
		writeError(c, err)
		return
	}
	streamChunks(c, s)
}

// streamChunks writes a stream as server-sent events. The initial comment makes the
// server send the response header when the run is accepted, before its first token.
func streamChunks(c *app.RequestContext, s target.Stream) {
	defer func() { _ = s.Close() }()
	w := sse.NewWriter(c)
	if w.WriteComment("accepted") != nil {
		closeConnection(c)
		return
	}
	for {
		chunk, err := s.Next()
		if err != nil {
			if r, ok := s.(*runStream); ok && r.endsEarly() {
				_ = w.Close()
				return
			}
			closeConnection(c)
			return
		}
		b, err := json.Marshal(chunk)
		if err != nil || w.WriteEvent("", "", b) != nil {
			closeConnection(c)
			return
		}
		if chunk.Done {
			_ = w.Close()
			return
		}
	}
}
