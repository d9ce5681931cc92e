package host

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"sesamehill.example/sesamehill/internal/crash"
	"sesamehill.example/sesamehill/internal/entry"
	"sesamehill.example/sesamehill/internal/links"
	"sesamehill.example/sesamehill/internal/member"
	"sesamehill.example/sesamehill/internal/retry"
	"sesamehill.example/sesamehill/internal/target"
)

// minRemaining is the least remaining time that a forwarded request states.
const minRemaining = 100 * time.Millisecond

// forward sends a request to a host of another region and returns its run. The run ID
// names the engine there, so this host resumes a broken stream directly at the
// engine.
func (h *Host) forward(ctx context.Context, q *request, name string, emitted []uint32) (*run, error) {
	peer, ok := h.livePeer(name)
	if !ok {
		return nil, &target.NotRunError{Target: name, Reason: "the host is no longer live"}
	}
	region := peer.Region
	charge := links.Charge{Account: q.account.Name, Purpose: links.Handover}
	text := int64(len(q.tokens)) * bytesPerToken
	sent, ok := h.links.tryStart(region, text, charge, time.Now())
	if !ok {
		return nil, &target.NotRunError{Target: name, Reason: "the link to region " + region + " is busy"}
	}
	c, err := h.client.Handover(ctx, peer.Address, &member.HandoverRequest{
		Request: target.GenerateRequest{
			Attempt: newAttempt(), Account: q.account.Name, Model: q.namespace.Model, Version: q.namespace.Version,
			Adapter: q.namespace.Adapter, Tokens: q.tokens, Keys: q.keys, Priority: q.priority, MaxTokens: q.max, Emitted: emitted, Software: q.software,
		},
		Revision: q.active.revision,
		Left:     max(minRemaining, time.Until(q.startBy)),
		Notes:    h.crashNotes(q),
	})
	// A slow link or region delays the reply; placement avoids both.
	h.links.finish(region, sent, text, time.Now())
	var refused *member.RefusedError
	if errors.As(err, &refused) && !refused.Refusal.Unknown {
		// The other hosts of the region see the same engines.
		q.localOnly = true
		return nil, &target.NotRunError{Target: name, Reason: refused.Refusal.Reason}
	}
	if err != nil {
		return nil, err
	}
	attempt, at, ok := splitRunID(c.Run)
	if !ok {
		_ = c.Close()
		return nil, &target.BrokenError{Target: name, Reason: "sent an invalid run ID"}
	}
	counters.Add("handovers_sent", 1)
	h.regions.recordForwarded(region, len(q.tokens), time.Now())
	return &run{
		host: h, ctx: ctx, account: q.account.Name, request: q, stream: c, target: at, attempt: attempt,
		id: c.Run, remote: true, region: region,
		streamState: retry.Stream{Attempt: attempt, Version: q.namespace.Version, Software: q.software, Next: len(emitted)},
	}, nil
}

// crashNote is the name of the note with the crash record of the request. The other
// region may not have received the crash that caused the forwarding.
const crashNote = "q"

func (h *Host) crashNotes(q *request) map[string]cbor.RawMessage {
	r, ok := h.crashes.Get(q.fingerprint, time.Now())
	if !ok {
		return nil
	}
	b, err := member.Encode(r)
	if err != nil {
		return nil
	}
	return map[string]cbor.RawMessage{crashNote: b}
}

// applyNotes imports the crash record that another host sent with a request. An
// invalid note is counted and ignored, like a missing one.
func (h *Host) applyNotes(notes map[string]cbor.RawMessage) {
	b, ok := notes[crashNote]
	if !ok {
		return
	}
	var r crash.Record
	err := member.Decode(b, &r)
	if err == nil {
		err = h.crashes.Import([]crash.Record{r}, time.Now())
	}
	if err != nil {
		counters.Add("notes_rejected", 1)
	}
}

// Handover implements member.HandoverHandler: it runs a request for a host of
// another region.
func (h *Host) Handover(r *member.HandoverRequest, s *member.HandoverStream) error {
	counters.Add("handovers_taken", 1)
	h.applyNotes(r.Notes)
	g := r.Request
	q, err := h.newRequest(entry.Prompt{
		Account: g.Account, Model: g.Model, Adapter: g.Adapter, Tokens: g.Tokens, Max: g.MaxTokens,
		Priority: g.Priority, Arrived: time.Now(), Deadline: time.Now().Add(r.Left),
	})
	if err == nil && q.namespace.Version != g.Version {
		err = &entry.RefusalError{
			Status: http.StatusServiceUnavailable, Kind: entry.KindOverloaded, Run: entry.RanNo, Retry: time.Second,
			Message: "the two hosts use different weight versions of model " + g.Model,
		}
	}
	if err != nil {
		return s.Refuse(refusalOf(err))
	}
	q.localOnly = true
	// The other host's keys save 0.2 ms of hashing for 10 blocks of 4,000 tokens
	// (docs/placement.md; Chan and Ni, SIGMOD 2007). They are valid only under the
	// same revision, which sets the block size.
	if blocks := len(g.Tokens) / q.active.document.Deployment.BlockTokens; r.Revision == q.active.revision && len(g.Keys) == blocks {
		q.keys = g.Keys
	} else {
		q.chain()
	}
	q.software = g.Software
	run, err := h.admitAndStart(s.Context(), q, g.Emitted)
	if err != nil {
		return s.Refuse(refusalOf(err))
	}
	defer func() { _ = run.Close() }() // a run that cannot be cancelled ends on its own
	if err := s.Accept(run.ID()); err != nil {
		return errors.Trace(err)
	}
	run.peerOwned = true
	id := run.ID()
	for {
		c, err := run.Next()
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return errors.Trace(err)
		case run.ID() != id:
			// The other host resumes by the run ID that it received, so this run ends
			// here after a move and the other host restarts it.
			run.peerOwned = false
			return errors.New("the run moved to another engine")
		}
		if err := s.Send(c); err != nil {
			return errors.Trace(err)
		}
	}
}

func refusalOf(err error) member.Refusal {
	var r *entry.RefusalError
	if errors.As(err, &r) {
		return member.Refusal{Status: r.Status, Reason: r.Message, Unknown: r.Run != entry.RanNo, Retry: r.Retry}
	}
	return member.Refusal{Status: http.StatusBadGateway, Reason: "the host failed to start the request", Unknown: true}
}
