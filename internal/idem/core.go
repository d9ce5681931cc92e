package idem

import (
	"fmt"
	"time"

	"sesamehill.example/sesamehill/internal/table"
	"sesamehill.example/sesamehill/internal/target"
)

const (
	// maxWrites bounds the writes of one call. A call needs a second write after a
	// lost reply or if the row is released; it needs more only if other hosts write
	// the same key concurrently.
	maxWrites = 3
	// clockSlack is the largest error of a host's wall clock that the expiry of
	// rows tolerates.
	clockSlack = time.Hour
)

// Attempt is the state of one call that tries to write its idempotency record.
type Attempt struct {
	// Fence is the fencing token, unique to the call.
	Fence       string
	Fingerprint string
	// FirstSent is the monotonic time just before the first write was sent.
	FirstSent time.Time
	// Window is the longest allowed time from FirstSent to the dispatch.
	Window time.Duration
	// Writes counts the writes sent.
	Writes int
	// MayBeWritten is true if a write may have taken effect or may still do so.
	MayBeWritten bool
	// Contended is true if the row of another call was found.
	Contended bool
}

// Event is the result of a table operation: Wrote, Found, Down or Unreadable.
type Event interface{ event() }

// Wrote reports that the record was written and that its row now has Version.
type Wrote struct{ Version uint64 }

// Found carries the row as read after a conflict or a lost reply.
type Found struct{ Row table.Row }

// Down reports that the last write certainly had no effect.
type Down struct{ Reason string }

// Unreadable reports that the row could not be read back.
type Unreadable struct{ Reason string }

func (Wrote) event()      {}
func (Found) event()      {}
func (Down) event()       {}
func (Unreadable) event() {}

// Decision is one of Write, Dispatch, Withdraw, Refuse, Replay, Uncertain and
// Mismatch.
type Decision interface{ decision() }

// Write requests that the record is written if the row still has Version.
type Write struct{ Version uint64 }

// Dispatch allows the only dispatch; the row holds the call's own fencing token.
type Dispatch struct{ Version uint64 }

// Withdraw requests that the row is released by compare-and-set. The call has run
// nothing.
type Withdraw struct {
	Version uint64
	Reason  string
}

// Refuse rejects the call: nothing ran, and no row of this call exists.
type Refuse struct{ Reason string }

// Replay carries the recorded answer.
type Replay struct{ Answer target.Answer }

// Uncertain reports that the request may have run, or that the call's own record
// may still exist.
type Uncertain struct{ Reason string }

// Mismatch reports that the key was used for a request with different content.
type Mismatch struct{}

func (Write) decision()     {}
func (Dispatch) decision()  {}
func (Withdraw) decision()  {}
func (Refuse) decision()    {}
func (Replay) decision()    {}
func (Uncertain) decision() {}
func (Mismatch) decision()  {}

// record returns the call's record in a state.
func (a Attempt) record(s State, at time.Time) Record {
	return Record{State: s, Fence: a.Fence, Fingerprint: a.Fingerprint, At: at.UnixMilli()}
}

// WindowPassed reports whether the dispatch window has passed.
func (a Attempt) WindowPassed(now time.Time) bool {
	return !a.FirstSent.IsZero() && now.Sub(a.FirstSent) > a.Window
}

// Decide returns what a call does next. It allows a dispatch only if the row
// certainly holds the call's own fencing token and the dispatch window has not
// passed.
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
	panic(fmt.Sprintf("idem: event type %T is not defined", e))
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
		return Withdraw{Version: version, Reason: "the dispatch window passed before the idempotency record was confirmed"}
	}
	return Dispatch{Version: version}
}

// retryWrite decides the next step when the row is absent or released: to write the
// record again, or to give up. If an earlier write may still take effect, the call
// writes a released row before it gives up, which blocks that write.
func retryWrite(a Attempt, version uint64, now time.Time) Decision {
	const reason = "the idempotency record could not be written in time"
	switch {
	case a.Writes < maxWrites && !a.WindowPassed(now):
		return Write{Version: version}
	case a.MayBeWritten:
		return Withdraw{Version: version, Reason: reason}
	}
	return Refuse{Reason: reason}
}

// ReleaseDecision is the next step of a release, or of the recording of an answer:
// Resolved, or Write to retry at another version.
type ReleaseDecision interface{ releaseDecision() }

// Resolved reports that nothing is left to write. KeyFree is true after a release if no
// other call holds the key.
type Resolved struct{ KeyFree bool }

func (Resolved) releaseDecision() {}
func (Write) releaseDecision()    {}

// DecideRelease decides from the row as read back whether the record with the
// fencing token is released.
func DecideRelease(fence string, row table.Row) ReleaseDecision {
	if row.Version == 0 {
		// The call's own write may still take effect, so a released row must block it.
		return Write{Version: 0}
	}
	r, err := DecodeRecord(row.Value)
	switch {
	case err != nil:
		return Resolved{}
	case r.State == Released && r.Fence == fence:
		return Resolved{KeyFree: true}
	case r.State == Released, r.State == Dispatched && r.Fence == fence:
		// The call's own write over the released row of another call may still take
		// effect.
		return Write{Version: row.Version}
	}
	return Resolved{}
}

// DecideRecord decides from the row as read back whether the record of a call that was
// dispatched must be written over it. No call replaces such a record, so a missing row
// or the released record of another call is the state before a restore of the platform.
func DecideRecord(r Record, row table.Row) ReleaseDecision {
	if row.Version == 0 {
		return Write{Version: 0}
	}
	stored, err := DecodeRecord(row.Value)
	switch {
	case err != nil:
		return Resolved{}
	case stored.Fence == r.Fence && stored.State == Dispatched && r.State == Completed:
		return Write{Version: row.Version}
	case stored.Fence != r.Fence && stored.State == Released:
		return Write{Version: row.Version}
	}
	return Resolved{}
}
