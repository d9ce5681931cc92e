package retain

import (
	"time"

	"sesamehill.example/sesamehill/internal/target"
	"sesamehill.example/sesamehill/pkg/chain"
)

// pinMargin is taken off a pin's time to live; it covers the drift between the
// clocks of host and store over a pin of a minute.
const pinMargin = time.Second

// Phases of an import.
const (
	Pinning Phase = iota
	Moving
	Ready
	Dropped
)

// Action is what the caller has to do: AskPin, Move, Unpin, Use or Recompute.
type Action interface{ action() }

// AskPin asks the store for a pin.
type AskPin struct{ TTL time.Duration }

// Failed means that the pin or the transfer failed, or that the store died.
type Failed struct{}

// Import is the state of the import of one piece.
type Import struct {
	Want  Want
	Phase Phase
	Pin   target.Pin
	// Valid is the time by the host's own clock until which the store certainly
	// keeps the pin: it is counted from before the pin was asked for.
	Valid time.Time
}

// Input is what happened: Pinned, Moved, Failed or Tick.
type Input interface{ input() }

// Move orders the transfer of the pinned generation to the engine.
type Move struct{ Pin target.Pin }

// Moved means that the transfer ended with a copy of these properties, taken
// from the bytes that arrived.
type Moved struct {
	Generation uint64
	Length     int64
	Checksum   string
}

// Phase is the progress of an import.
type Phase uint8

// Pinned means that the store granted a pin.
type Pinned struct{ Pin target.Pin }

// Recompute drops the copy and leaves the piece to the prefill.
type Recompute struct{ Reason string }

// Tick tells the time.
type Tick struct{}

// Unpin ends the pin.
type Unpin struct{ ID string }

// Use lets the engine use the copy.
type Use struct{}

// Want describes an import.
type Want struct {
	Key chain.Key
	// TTL is the time to live of the pin.
	TTL time.Duration
	// Deadline is when waiting costs more than recomputation.
	Deadline time.Time
}

func (AskPin) action()    {}
func (Move) action()      {}
func (Recompute) action() {}
func (Unpin) action()     {}
func (Use) action()       {}

func (Failed) input() {}
func (Moved) input()  {}
func (Pinned) input() {}
func (Tick) input()   {}

// Begin starts an import.
func Begin(w Want, now time.Time) (Import, []Action) {
	return Import{Want: w, Valid: now.Add(w.TTL - pinMargin)}, []Action{AskPin{TTL: w.TTL}}
}

// Step returns the next state and what to do. Inputs that come late or twice
// change nothing, but a pin that is granted after the end is given back.
func Step(i Import, in Input, now time.Time) (Import, []Action) {
	if i.Phase == Ready || i.Phase == Dropped {
		if p, ok := in.(Pinned); ok && p.Pin.ID != i.Pin.ID {
			return i, []Action{Unpin{ID: p.Pin.ID}}
		}
		return i, nil
	}
	if p, ok := in.(Pinned); ok && i.Phase == Pinning {
		i.Pin = p.Pin
	}
	switch {
	case !now.Before(i.Valid):
		return i.drop("the pin may have expired")
	case !i.Want.Deadline.IsZero() && !now.Before(i.Want.Deadline):
		return i.drop("the import takes too long")
	}
	switch in := in.(type) {
	case Failed:
		return i.drop("the store or the transfer failed")
	case Pinned:
		if i.Phase != Pinning {
			return i, extra(i, in)
		}
		i.Phase = Moving
		return i, []Action{Move{Pin: i.Pin}}
	case Moved:
		return i.verify(in)
	default:
		return i, nil
	}
}

// extra gives back a second pin.
func extra(i Import, in Pinned) []Action {
	if in.Pin.ID == i.Pin.ID {
		return nil
	}
	return []Action{Unpin{ID: in.Pin.ID}}
}

func (i Import) drop(reason string) (Import, []Action) {
	i.Phase = Dropped
	actions := []Action{Recompute{Reason: reason}}
	if i.Pin.ID != "" {
		actions = append(actions, Unpin{ID: i.Pin.ID})
	}
	return i, actions
}

func (i Import) verify(m Moved) (Import, []Action) {
	switch {
	case i.Phase != Moving:
		return i, nil
	case m.Generation != i.Pin.Generation:
		return i.drop("another generation arrived")
	case m.Length != i.Pin.Length || m.Checksum != i.Pin.Checksum || m.Checksum == "":
		return i.drop("length or checksum differs")
	}
	i.Phase = Ready
	return i, []Action{Use{}, Unpin{ID: i.Pin.ID}}
}
