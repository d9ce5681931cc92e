package retain

import (
	"time"

	"sesamehill.example/sesamehill/internal/target"
	"sesamehill.example/sesamehill/pkg/chain"
)

// pinMargin is subtracted from a pin's time to live. It covers the drift between
// the clocks of host and store during a pin of a minute.
const pinMargin = time.Second

// Phases of an import.
const (
	Pinning Phase = iota
	Transferring
	Ready
	Dropped
)

// Action is a step that the caller must carry out: RequestPin, Transfer, Unpin, Use
// or Recompute.
type Action interface{ action() }

// RequestPin requests a pin from the store.
type RequestPin struct{ TTL time.Duration }

// Failed means that the pin or the transfer failed, or that the store died.
type Failed struct{}

// Import is the state of the import of one block.
type Import struct {
	Request Request
	Phase   Phase
	Pin     target.Pin
	// PinValidUntil is the time by the host's own clock until which the store
	// certainly holds the pin. It is counted from before the pin was requested.
	PinValidUntil time.Time
}

// Input is an event of an import: Pinned, Transferred, Failed or Tick.
type Input interface{ input() }

// Transfer orders the transfer of the pinned generation to the engine.
type Transfer struct{ Pin target.Pin }

// Transferred means that the transfer ended. The properties are computed from the
// received bytes.
type Transferred struct {
	Generation uint64
	Length     int64
	Checksum   string
}

// Phase is the progress of an import.
type Phase uint8

// Pinned means that the store granted a pin.
type Pinned struct{ Pin target.Pin }

// Recompute drops the copy; the prefill then recomputes the block.
type Recompute struct{ Reason string }

// Tick makes Step check the deadline and the pin's expiry.
type Tick struct{}

// Unpin releases the pin.
type Unpin struct{ ID string }

// Use lets the engine use the copy.
type Use struct{}

// Request describes an import.
type Request struct {
	Key chain.Key
	// TTL is the time to live of the pin.
	TTL time.Duration
	// Deadline is the time after which recomputing costs less than waiting.
	Deadline time.Time
}

func (RequestPin) action() {}
func (Transfer) action()   {}
func (Recompute) action()  {}
func (Unpin) action()      {}
func (Use) action()        {}

func (Failed) input()      {}
func (Transferred) input() {}
func (Pinned) input()      {}
func (Tick) input()        {}

// Begin starts an import.
func Begin(w Request, now time.Time) (Import, []Action) {
	return Import{Request: w, PinValidUntil: now.Add(w.TTL - pinMargin)}, []Action{RequestPin{TTL: w.TTL}}
}

// Step returns the next state and the actions to carry out. Late and duplicate
// inputs change nothing, but a pin that is granted after the import ended is
// released.
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
	case !now.Before(i.PinValidUntil):
		return i.drop("the pin may have expired")
	case !i.Request.Deadline.IsZero() && !now.Before(i.Request.Deadline):
		return i.drop("the import exceeded its deadline")
	}
	switch in := in.(type) {
	case Failed:
		return i.drop("the store or the transfer failed")
	case Pinned:
		if i.Phase != Pinning {
			return i, releaseDuplicate(i, in)
		}
		i.Phase = Transferring
		return i, []Action{Transfer{Pin: i.Pin}}
	case Transferred:
		return i.verify(in)
	default:
		return i, nil
	}
}

// releaseDuplicate releases a second pin.
func releaseDuplicate(i Import, in Pinned) []Action {
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

func (i Import) verify(m Transferred) (Import, []Action) {
	switch {
	case i.Phase != Transferring:
		return i, nil
	case m.Generation != i.Pin.Generation:
		return i.drop("the copy is of another generation than the pin")
	case m.Length != i.Pin.Length || m.Checksum != i.Pin.Checksum || m.Checksum == "":
		return i.drop("the length or checksum of the copy differs from the pin")
	}
	i.Phase = Ready
	return i, []Action{Use{}, Unpin{ID: i.Pin.ID}}
}
