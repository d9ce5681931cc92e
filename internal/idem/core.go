package idem

import (
	"fmt"
	"time"

	"sesamehill.example/sesamehill/internal/table"
	"sesamehill.example/sesamehill/internal/target"
)

const (
	// maxWrites bounds the writes for one claim. A second write is needed after
	// a lost reply or over a released row; more mean that other hosts race for
	// the key.
	maxWrites = 3
	// clockSlack bounds the error of a host's wall clock that the expiry of rows
	// tolerates.
	clockSlack = time.Hour
)

// Attempt is what one call knows about its claim.
type Attempt struct {
	// Fence is unique to the call.
	Fence       string
	Fingerprint string
	// FirstSent is the monotonic time immediately before the first write was sent.
	FirstSent time.Time
	// Window is the longest time from Sent to the dispatch.
	Window time.Duration
	// Writes counts the writes sent.
	Writes int
	// MayBeWritten tells that a write may have taken effect or may still do so.
	MayBeWritten bool
	// Contended tells that a row of another call was in the way.
	Contended bool
}

// Event is what the platform said: Wrote, Found, Down or Unreadable.
type Event interface{ event() }

// Wrote says that the claim was written and the row now has the version.
type Wrote struct{ Version uint64 }

// Found says that the row was read, after a conflict or a lost reply.
type Found struct{ Row table.Row }

// Down says that the last write certainly did nothing.
type Down struct{ Reason string }

// Unreadable says that the row could not be read back.
type Unreadable struct{ Reason string }

func (Wrote) event()      {}
func (Found) event()      {}
func (Down) event()       {}
func (Unreadable) event() {}

// Decision is one of Write, Dispatch, Withdraw, Refuse, Replay, Uncertain and
// Mismatch.
type Decision interface{ decision() }

// Write asks for the claim to be written over the given version.
type Write struct{ Version uint64 }

// Dispatch allows the one dispatch; the row carries the call's own fence.
type Dispatch struct{ Version uint64 }

// Withdraw asks for the row to be released by compare-and-set. The call has run
// nothing.
type Withdraw struct {
	Version uint64
	Reason  string
}

// Refuse says that nothing ran and that no row of this call exists.
type Refuse struct{ Reason string }

// Replay carries the recorded answer.
type Replay struct{ Answer target.Answer }

// Uncertain says that the request may have run, or that the call's own row may
// remain.
type Uncertain struct{ Reason string }

// Mismatch says that the key belongs to a request with another content.
type Mismatch struct{}

func (Write) decision()     {}
func (Dispatch) decision()  {}
func (Withdraw) decision()  {}
func (Refuse) decision()    {}
func (Replay) decision()    {}
func (Uncertain) decision() {}
func (Mismatch) decision()  {}

// WindowPassed reports whether the dispatch window has passed.
func (a Attempt) WindowPassed(now time.Time) bool {
	return !a.FirstSent.IsZero() && now.Sub(a.FirstSent) > a.Window
}

// Decide returns what a call does next. It allows a dispatch only if the row
// certainly carries the call's own fence and the window has not passed.
func Decide(a Attempt, e Event, now time.Time) Decision {
	switch e := e.(type) {
	case Wrote:
		return decideDispatch(a, e.Version, now)
	case Down:
		if a.MayBeWritten || a.Contended {
			return Uncertain(e)
		}
		return Refuse(e)
	case Unreadable:
		return Uncertain(e)
	case Found:
		return decideFound(a, e.Row, now)
	}
	panic(fmt.Sprintf("claim: event %T is not defined", e))
}

func decideFound(a Attempt, row table.Row, now time.Time) Decision {
	if row.Version == 0 {
		return retryWrite(a, 0, now)
	}
	r, err := DecodeRecord(row.Value)
	switch {
	case err != nil:
		return Uncertain{Reason: err.Error()}
	case r.State == Released:
		return retryWrite(a, row.Version, now)
	case r.Fingerprint != a.Fingerprint:
		return Mismatch{}
	case r.State == Dispatched && r.Fence == a.Fence:
		return decideDispatch(a, row.Version, now)
	case r.State == Dispatched:
		return Uncertain{Reason: "an earlier call with this key was dispatched and has no recorded answer"}
	case r.Large:
		return Uncertain{Reason: "an earlier call with this key ran and its answer was too large to record"}
	}
	return Replay{Answer: r.Answer}
}

func decideDispatch(a Attempt, version uint64, now time.Time) Decision {
	if a.WindowPassed(now) {
		return Withdraw{Version: version, Reason: "the dispatch window passed before the claim was confirmed"}
	}
	return Dispatch{Version: version}
}

// retryWrite writes the claim over a row that holds none. A write that may still
// arrive is blocked by a released row before the call gives up.
func retryWrite(a Attempt, version uint64, now time.Time) Decision {
	const reason = "the claim could not be written in time"
	switch {
	case a.Writes < maxWrites && !a.WindowPassed(now):
		return Write{Version: version}
	case a.MayBeWritten:
		return Withdraw{Version: version, Reason: reason}
	}
	return Refuse{Reason: reason}
}

// ReleaseDecision is the result of releasing a claim: Resolved, or Write to try again at
// another version.
type ReleaseDecision interface{ withdrawn() }

// Resolved says that the row no longer holds the claim. Clear tells that no other
// call holds the key.
type Resolved struct{ KeyFree bool }

func (Resolved) withdrawn() {}
func (Write) withdrawn()    {}

// DecideRelease tells from the row as read back whether the claim with the
// fence is released.
func DecideRelease(fence string, row table.Row) ReleaseDecision {
	if row.Version == 0 {
		// The claim's own write may still arrive, so a released row must block it.
		return Write{Version: 0}
	}
	r, err := DecodeRecord(row.Value)
	switch {
	case err != nil:
		return Resolved{}
	case r.State == Released && r.Fence == fence:
		return Resolved{KeyFree: true}
	case r.State == Released, r.State == Dispatched && r.Fence == fence:
		// A claim over a row that another call released may still arrive, too.
		return Write{Version: row.Version}
	}
	return Resolved{}
}
