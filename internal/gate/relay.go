package gate

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/wire"
)

const (
	readBytes = 8 << 10
	// maxEvent bounds an event that has not ended; one carries a few tokens.
	maxEvent = 256 << 10
	// maxAnswer bounds an answer that is held until it is complete.
	maxAnswer = 16 << 20
)

// eventEnd ends an event of a stream.
var eventEnd = []byte("\n\n")

// relay passes a stream on by whole events.
func (g *Gate) relay(ctx context.Context, j *job, c choice, r Reply, resp *http.Response) (ending, fleet.Outcome) {
	var held []byte
	taken := 0
	defer func() { g.pool.Give(taken) }()
	chunk := make([]byte, readBytes)
	first := true
	for {
		n, err := resp.Body.Read(chunk)
		held = append(held, chunk[:n]...)
		if more := cap(held) - taken; more > 0 {
			if full := g.pool.Take(taken, more); full != nil {
				return g.streamBroke(ctx, j, full)
			}
			taken += more
		}
		if cut := bytes.LastIndex(held, eventEnd); cut >= 0 {
			// Bytes without the end of an event are no sign of progress.
			c.attempt.Heard()
			j.heard.Store(int64(wire.Boot()))
			if first {
				first = false
				j.first = wire.Boot() - j.Arrived
				g.Metrics.Time("first event", j.first)
				if c.state != nil {
					g.keeper.Fetched(c.state.Fetch, c.state.FetchMs, wire.Boot()-c.sent)
				}
			}
			if !g.forward(j, r, held[:cut+len(eventEnd)]) {
				return over{cause: context.Canceled}, fleet.Left
			}
			held = append(held[:0], held[cut+len(eventEnd):]...)
		}
		switch {
		case errors.Is(err, io.EOF):
			return g.streamEnd(j, r, held)
		case err != nil || len(held) > maxEvent:
			return g.streamBroke(ctx, j, err)
		}
	}
}

// streamEnd handles the end of a target's stream.
func (g *Gate) streamEnd(j *job, r Reply, held []byte) (ending, fleet.Outcome) {
	if len(held) > 0 {
		return g.repeat(j, "the stream ended inside an event"), fleet.Failed
	}
	if !j.begun {
		g.head(j, r)
	}
	return done{status: r.Status}, fleet.Served
}

func (g *Gate) streamBroke(ctx context.Context, j *job, err error) (ending, fleet.Outcome) {
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errSlow) {
		return over{cause: context.Cause(ctx)}, fleet.Left
	}
	reason := "an event is too long"
	if err != nil {
		reason = err.Error()
	}
	return g.repeat(j, reason), fleet.Failed
}

// forward writes whole events that the caller does not have yet.
func (g *Gate) forward(j *job, r Reply, events []byte) bool {
	fresh := unseen(events, j.last)
	if len(fresh) == 0 {
		return true
	}
	if !j.begun {
		g.head(j, r)
	}
	if _, err := j.w.Write(fresh); err != nil {
		return false
	}
	if err := http.NewResponseController(j.w).Flush(); err != nil {
		return false
	}
	if id := lastID(fresh); id != "" {
		j.last = id
	}
	return true
}

// head writes the status and headers of the first target that answers.
func (g *Gate) head(j *job, r Reply) {
	j.begun = true
	h := j.w.Header()
	closing := h.Get("Connection")
	for name, values := range r.Header {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
	if closing != "" {
		h.Set("Connection", closing)
	}
	j.w.WriteHeader(r.Status)
}

// unseen drops the events up to and including the one with the ID last.
func unseen(events []byte, last string) []byte {
	seen, err := strconv.ParseInt(last, 10, 64)
	if last == "" || err != nil {
		return events
	}
	rest := events
	for len(rest) > 0 {
		end := bytes.Index(rest, eventEnd)
		if end < 0 {
			return rest
		}
		id, err := strconv.ParseInt(eventID(rest[:end]), 10, 64)
		if err != nil || id > seen {
			return rest
		}
		rest = rest[end+len(eventEnd):]
	}
	return nil
}

// lastID returns the ID of the last event that has one.
func lastID(events []byte) string {
	events = bytes.TrimSuffix(events, eventEnd)
	for len(events) > 0 {
		start := bytes.LastIndex(events, eventEnd)
		if start < 0 {
			return eventID(events)
		}
		if id := eventID(events[start+len(eventEnd):]); id != "" {
			return id
		}
		events = events[:start]
	}
	return ""
}

func eventID(event []byte) string {
	for _, line := range bytes.Split(event, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// buffer reads a whole answer before the caller gets any of it.
func (g *Gate) buffer(ctx context.Context, j *job, r Reply, resp *http.Response) (ending, fleet.Outcome) {
	held, err := g.pool.Read(resp.Body, maxAnswer)
	switch {
	case err != nil && ctx.Err() != nil:
		return over{cause: context.Cause(ctx)}, fleet.Left
	case err != nil:
		return g.repeat(j, err.Error()), fleet.Failed
	}
	defer held.Release()
	g.Metrics.Time("answer", wire.Boot()-j.Arrived)
	j.w.Header().Set("Content-Length", strconv.Itoa(len(held.Bytes)))
	g.head(j, r)
	if _, err := j.w.Write(held.Bytes); err != nil {
		return over{cause: context.Canceled}, fleet.Served
	}
	if r.Status >= http.StatusInternalServerError {
		return done{status: r.Status}, fleet.Failed
	}
	return done{status: r.Status}, fleet.Served
}
