package proxy

import (
	"bytes"
	"strconv"
)

// eventDelimiter separates the events of a stream.
var eventDelimiter = []byte("\n\n")

// eventOrder checks the IDs of the events that a caller receives, over all attempts.
type eventOrder struct {
	// last is the ID of the last event; hasLast is set once there is one.
	last    int64
	hasLast bool
	// steps counts the events that followed another one, gaps those whose ID was not the
	// next one.
	steps, gaps int
	// resumed is set in an attempt that resumes the stream of another one, joined once an
	// attempt has sent a new event.
	resumed, joined bool
	// numbering is what other streams of the target's software version have shown.
	numbering *numbering
}

// eventVerdict is one of forwardEvent, dropEvent and rejectEvent.
type eventVerdict interface{ eventVerdict() }

// forwardEvent means that the event is the next one of the stream.
type forwardEvent struct{}

// dropEvent means that the caller already has the event.
type dropEvent struct{}

// rejectEvent means that the event cannot belong to the stream.
type rejectEvent struct{ reason string }

func (forwardEvent) eventVerdict() {}
func (dropEvent) eventVerdict()    {}
func (rejectEvent) eventVerdict()  {}

// startAfter sets the ID of the last event that the caller has from an earlier stream. An
// ID that is no number is ignored.
func (o *eventOrder) startAfter(id string) {
	if last, err := strconv.ParseInt(id, 10, 64); err == nil {
		o.last, o.hasLast = last, true
	}
}

// resume prepares for the events of an attempt that resumes the stream.
func (o *eventOrder) resume() { o.resumed, o.joined = true, false }

// accept decides about an event. IDs may increase by more than one. But if they never
// did so within an attempt, an attempt that resumes the stream must not skip any. If the IDs
// of the software version count events, no attempt may that goes on after an event.
func (o *eventOrder) accept(event []byte) eventVerdict {
	id, err := strconv.ParseInt(eventID(event), 10, 64)
	switch {
	case err != nil && o.resumed:
		return rejectEvent{reason: "an event of the resumed stream has no ID"}
	case err != nil:
		return forwardEvent{}
	case o.hasLast && id <= o.last:
		return dropEvent{}
	}
	consecutive := o.hasLast && id == o.last+1
	if o.hasLast && !o.joined && !consecutive && o.neverSkips() {
		return rejectEvent{reason: "the resumed stream lacks events"}
	}
	if o.hasLast && (o.joined || !o.resumed) {
		o.steps++
		if !consecutive {
			o.gaps++
		}
	}
	if o.hasLast && o.joined {
		o.numbering.record(consecutive)
	}
	o.last, o.hasLast, o.joined = id, true, true
	return forwardEvent{}
}

// neverSkips reports whether the first new event of an attempt has to be the next one.
func (o *eventOrder) neverSkips() bool {
	return o.gaps == 0 && o.last >= 0 && (o.resumed && o.steps > 0 || o.numbering.countsEvents())
}

// filter returns the events of a sequence of whole events that the caller is to receive,
// and the reason why the event after them cannot belong to the stream, if there is one.
// It overwrites the sequence.
func (o *eventOrder) filter(events []byte) (accepted []byte, rejected string) {
	accepted = events[:0]
	for len(events) > 0 {
		end := bytes.Index(events, eventDelimiter) + len(eventDelimiter)
		switch v := o.accept(events[:end]).(type) {
		case forwardEvent:
			accepted = append(accepted, events[:end]...)
		case dropEvent:
		case rejectEvent:
			return accepted, v.reason
		}
		events = events[end:]
	}
	return accepted, ""
}

// lastID returns the ID of the last event; empty if there is none.
func (o *eventOrder) lastID() string {
	if !o.hasLast {
		return ""
	}
	return strconv.FormatInt(o.last, 10)
}

// eventID returns the ID of an event; empty if it has none.
func eventID(event []byte) string {
	for len(event) > 0 {
		var line []byte
		line, event, _ = bytes.Cut(event, []byte("\n"))
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
