package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"sesamehill.example/sesamehill/internal/caller"
	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/wire"
)

const (
	// readChunkBytes is the size of one read from a stream.
	readChunkBytes = 8 << 10
	// maxEventBytes limits an incomplete event; one event carries a few tokens.
	maxEventBytes = 256 << 10
	// maxBufferedBytes limits a response that is buffered until it is complete.
	maxBufferedBytes = 16 << 20
)

// relay forwards a stream to the caller by whole events.
func (p *Proxy) relay(ctx context.Context, j *job, c reservation, r Reply, resp *http.Response) (attemptResult, fleet.Outcome) {
	var buffered []byte
	reserved := 0
	defer func() { p.pool.Release(reserved) }()
	chunk := make([]byte, readChunkBytes)
	awaitingFirst, answered := true, false
	for {
		n, err := resp.Body.Read(chunk)
		buffered = append(buffered, chunk[:n]...)
		if more := cap(buffered) - reserved; more > 0 {
			if poolErr := p.pool.Reserve(reserved, more); poolErr != nil {
				return p.responseFailed(ctx, j, poolErr)
			}
			reserved += more
		}
		if end := bytes.LastIndex(buffered, eventDelimiter); end >= 0 {
			// An incomplete event does not count as progress.
			c.attempt.RecordData()
			j.lastEventAt.Store(int64(wire.BootTime()))
			if awaitingFirst {
				awaitingFirst = false
				if p.evidenceLost(j, c) && !j.beginUnlisted() {
					return p.retryOrFail(j, "the target may have started again since the request was placed"), fleet.ClientDisconnected
				}
				j.firstEventAt.Store(int64(wire.BootTime()))
				j.firstEventAfter = wire.BootTime() - j.Arrived
				p.Metrics.Observe("first event", j.firstEventAfter)
				p.recordFirstEvent(j, c)
				if c.plan != nil {
					p.planner.RecordFetch(c.plan.Fetch, c.plan.FetchMs, wire.BootTime()-c.sent)
				}
			}
			if !answered && j.eventsSince(c.sent) >= survivalTime {
				answered = true
				p.crashes.Answered(c.id, time.Now())
			}
			events, rejected := j.order.filter(buffered[:end+len(eventDelimiter)])
			if !p.forwardEvents(ctx, j, c, r, events) {
				return aborted{cause: context.Canceled}, fleet.ClientDisconnected
			}
			if rejected != "" {
				return p.retryOrFail(j, rejected), fleet.Failed
			}
			buffered = append(buffered[:0], buffered[end+len(eventDelimiter):]...)
		}
		switch {
		case errors.Is(err, io.EOF):
			if awaitingFirst && !j.mayLackEvents(r, resp) {
				return p.retryOrFail(j, "nothing shows that the response without events is a whole stream"), fleet.Failed
			}
			if len(buffered) == 0 && !p.endConfirmed(ctx, j, c, resp) {
				return p.responseFailed(ctx, j, errEndUnconfirmed)
			}
			return p.streamEnded(j, r, buffered)
		case err != nil || len(buffered) > maxEventBytes:
			return p.responseFailed(ctx, j, err)
		}
	}
}

// streamEnded handles the end of a target's stream.
func (p *Proxy) streamEnded(j *job, r Reply, buffered []byte) (attemptResult, fleet.Outcome) {
	if len(buffered) > 0 {
		return p.retryOrFail(j, "the stream ended within an event"), fleet.Failed
	}
	if !j.headerSent {
		p.sendHeader(j, r)
	}
	j.resetOnClose(false)
	return completed{status: r.Status}, fleet.Served
}

// responseFailed handles a response that broke or was canceled.
func (p *Proxy) responseFailed(ctx context.Context, j *job, err error) (attemptResult, fleet.Outcome) {
	if ctx.Err() != nil && !leftTarget(ctx) {
		return aborted{cause: context.Cause(ctx)}, fleet.ClientDisconnected
	}
	reason := "an event exceeds the size limit"
	if err != nil {
		reason = err.Error()
	}
	return p.retryOrFail(j, reason), fleet.Failed
}

// forwardEvents writes events to the caller. It returns false if the client
// disconnected.
func (p *Proxy) forwardEvents(ctx context.Context, j *job, c reservation, r Reply, events []byte) bool {
	if len(events) == 0 {
		return true
	}
	p.recordBegin(ctx, j, c)
	if !j.headerSent {
		j.resetOnClose(true)
		p.sendHeader(j, r)
	}
	j.answerBytes += len(events)
	if _, err := j.w.Write(events); err != nil {
		return false
	}
	return http.NewResponseController(j.w).Flush() == nil
}

// resetOnClose sets whether a close of the caller's connection resets it, if only that tells
// the caller that its stream is not complete.
func (j *job) resetOnClose(reset bool) {
	if j.endsWithConn != nil {
		caller.ResetOnClose(j.endsWithConn, reset)
	}
}

// sendHeader writes the status and the headers of the first target that responds.
func (p *Proxy) sendHeader(j *job, r Reply) {
	j.headerSent = true
	h := j.w.Header()
	connection := h.Get("Connection")
	for name, values := range r.Header {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from detecting one
	}
	if connection != "" {
		h.Set("Connection", connection)
	}
	j.w.WriteHeader(r.Status)
}

// relayBuffered reads a whole response before the caller gets any of it.
func (p *Proxy) relayBuffered(ctx context.Context, j *job, c reservation, r Reply, resp *http.Response) (attemptResult, fleet.Outcome) {
	body, err := p.pool.Read(resp.Body, maxBufferedBytes)
	switch {
	case err != nil && ctx.Err() != nil:
		return aborted{cause: context.Cause(ctx)}, fleet.ClientDisconnected
	case err != nil:
		return p.retryOrFail(j, err.Error()), fleet.Failed
	}
	defer body.Release()
	if !p.endConfirmed(ctx, j, c, resp) {
		return p.responseFailed(ctx, j, errEndUnconfirmed)
	}
	p.Metrics.Observe("answer", wire.BootTime()-j.Arrived)
	p.recordPlain(j, c, r.Status)
	j.w.Header().Set("Content-Length", strconv.Itoa(len(body.Bytes)))
	p.sendHeader(j, r)
	j.answerBytes += len(body.Bytes)
	if _, err := j.w.Write(body.Bytes); err != nil {
		return aborted{cause: context.Canceled}, fleet.Served
	}
	if r.Status >= http.StatusInternalServerError {
		return completed{status: r.Status}, fleet.Failed
	}
	return completed{status: r.Status}, fleet.Served
}
