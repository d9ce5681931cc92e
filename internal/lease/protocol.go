package lease

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"sesamehill.example/sesamehill/internal/table"
)

const (
	// stopMargin is the time before the deadline at which a holder stops. It covers
	// the drift between two monotonic clocks and the delay between the check of the
	// lease and the sending of an order.
	stopMargin = time.Second
	// maxOrderTime is the longest time that an order can be in flight.
	maxOrderTime = 2 * time.Second
	// maxTTL is the longest time to live that a contender accepts from a row.
	maxTTL = 5 * time.Minute
	// tokensPerEra separates the fencing tokens of two eras of the platform, so that
	// those of a later era are higher than all that a restore has lost.
	tokensPerEra = 1_000_000
	// maxFencingToken bounds the fencing token of a row. The next acquisition has a
	// greater one, which has to exist.
	maxFencingToken = 1 << 62
)

// Record is the value of the row of a lease.
type Record struct {
	Holder string `cbor:"holder" json:"holder"`
	// AcquisitionID is unique to an acquisition.
	AcquisitionID string `cbor:"token" json:"token"`
	// FencingToken grows with each acquisition.
	FencingToken uint64 `cbor:"fence" json:"fence"`
	// Renewal is the number of the renewal.
	Renewal uint64 `cbor:"round" json:"round"`
	// TTLMillis is the time to live in milliseconds; zero means released.
	TTLMillis int64 `cbor:"ttl" json:"ttl"`
	// Era is the era of the platform in which the record was written; zero if the
	// platform states none.
	Era uint64 `cbor:"era,omitempty" json:"era,omitempty"`
	// DelayMillis is how long, in milliseconds after this write, targets that ignore
	// fencing tokens still get no order.
	DelayMillis int64 `cbor:"wait,omitempty" json:"wait,omitempty"`
}

// RecordError is returned for a row that does not hold a valid lease.
type RecordError struct{ Problem string }

// Error names the problem and the remedy.
func (e *RecordError) Error() string {
	return fmt.Sprintf("lease record: %s; rewrite the row by hand with a higher fencing token", e.Problem)
}

// Check returns a *RecordError if the record is invalid.
func (r Record) Check() error {
	switch {
	case r.FencingToken == 0 || r.AcquisitionID == "":
		return &RecordError{Problem: "fencing token or acquisition ID is missing"}
	case r.FencingToken > maxFencingToken:
		return &RecordError{Problem: fmt.Sprintf("fencing token %d is above %d", r.FencingToken, uint64(maxFencingToken))}
	case r.TTLMillis < 0 || r.TTLMillis > maxTTL.Milliseconds():
		return &RecordError{Problem: fmt.Sprintf("time to live of %d ms is outside 0 to %d", r.TTLMillis, maxTTL.Milliseconds())}
	}
	return nil
}

// Encode returns the record as a row value.
func (r Record) Encode() []byte {
	b, err := cbor.Marshal(r)
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return b
}

// DecodeRecord decodes and checks a row value.
func DecodeRecord(b []byte) (Record, error) {
	var r Record
	if err := cbor.Unmarshal(b, &r); err != nil {
		return Record{}, errors.Annotate(&RecordError{Problem: err.Error()}, "decode")
	}
	return r, errors.Trace(r.Check())
}

// View is the row as a contender has last read it.
type View struct {
	Version uint64
	Record  Record
	// Era is the era of the platform at the read.
	Era uint64
	// FirstSeen is the monotonic time at which this version was first read with this
	// record and in this era.
	FirstSeen time.Time
	// RestoredAt is the time at which the row was last read in a state that an earlier
	// one has preceded, or that was written in an earlier era; zero if it never was.
	// Another host may then hold the lease by a row that is lost.
	RestoredAt time.Time
	// HighestToken is the highest fencing token of the rows that were read or written.
	HighestToken uint64
}

// Observe returns the view after a read of the row in an era of the platform; now is
// the time after the reply arrived.
func (v View) Observe(row table.Row, era uint64, now time.Time) (View, error) {
	next := View{Version: row.Version, Era: era, FirstSeen: now, RestoredAt: v.RestoredAt, HighestToken: v.HighestToken}
	if row.Version != 0 {
		var err error
		if next.Record, err = DecodeRecord(row.Value); err != nil {
			return next, err
		}
	}
	if !v.FirstSeen.IsZero() && v.Version == next.Version && v.Record == next.Record && v.Era == era {
		return v, nil
	}
	if next.Record.Era != era || v.precededBy(next) {
		next.RestoredAt = now
	}
	next.HighestToken = max(v.HighestToken, next.Record.FencingToken)
	return next, nil
}

// precededBy reports whether a later read shows a state from before the view. Rows are
// never deleted, and no version belongs to two records unless it was given out again.
func (v View) precededBy(next View) bool {
	return !v.FirstSeen.IsZero() &&
		(next.Version < v.Version || next.Version == v.Version && next.Record != v.Record || next.Era != v.Era)
}

// Decision is either Acquire or Wait.
type Decision interface{ decision() }

// Acquire asks for an acquisition that replaces the given version of the row.
type Acquire struct{ Version, FencingToken uint64 }

// Wait is the decision if another host may hold the lease until a time.
type Wait struct{ Until time.Time }

func (Acquire) decision() {}
func (Wait) decision()    {}

// Contender is a host that does not hold the lease.
type Contender struct {
	// Host is given if hosts run one process at a time: a row of that host is free, as
	// the process that wrote it has ended.
	Host string
	// OwnID is the ID of the last acquisition of this process. No process acts on a row
	// with that ID, as either the reply to the write was lost or the lease was released.
	OwnID string
	// HighestToken is the highest fencing token that targets have stated.
	HighestToken uint64
	// TTL is the time to live that the hosts write.
	TTL time.Duration
	// UnfencedDelay is the least time after an acquisition at which another host gives its
	// first order, if hosts give orders only after that delay.
	UnfencedDelay time.Duration
	// ConfirmTime is the longest time for which the write that lets another host begin to give
	// orders may have been under way.
	ConfirmTime time.Duration
	// Last is the last lease of this process that ended at its deadline, if it had begun to give
	// orders. It is given if hosts give orders only after the delay for targets that ignore fencing
	// tokens.
	Last Holding
}

// mayResume reports whether a process may go on with its last lease after a restore, as it
// has seen no later one. By a lost row another host can have acquired the lease after the
// deadline. It begins to give orders UnfencedDelay later at the earliest, by a write sent
// ConfirmTime before that at the earliest. That write has to come after the restore: it then
// fails if this process has written the row first, and else makes the acquisition fail.
func (c Contender) mayResume(v View, now time.Time) bool {
	last, r := c.Last.Record, v.Record
	isOlder := r.FencingToken < last.FencingToken || r.AcquisitionID == last.AcquisitionID
	return last.FencingToken >= max(v.HighestToken, 1) && last.Era < v.Era && r.Era < v.Era && isOlder &&
		now.Before(c.Last.Deadline.Add(min(c.Last.UnfencedDelay, c.UnfencedDelay)-c.ConfirmTime))
}

// Decide decides for a contender. After a restore of the platform no row is free at
// once, as the holder by a lost row may act until its deadline, but the last holder may
// go on.
func Decide(v View, c Contender, now time.Time) Decision {
	r := v.Record
	acquire := Acquire{
		Version:      v.Version,
		FencingToken: max(r.FencingToken, v.HighestToken, c.HighestToken, v.Era*tokensPerEra) + 1,
	}
	deadline := v.FirstSeen.Add(time.Duration(r.TTLMillis) * time.Millisecond)
	lostDeadline := v.RestoredAt.Add(c.TTL)
	switch {
	case c.mayResume(v, now):
		return acquire
	case !v.RestoredAt.IsZero() && !now.After(lostDeadline):
		return Wait{Until: lostDeadline}
	case v.Version == 0 || r.TTLMillis == 0:
		return acquire
	case c.OwnID != "" && r.AcquisitionID == c.OwnID:
		return acquire
	case c.Host != "" && r.Holder == c.Host:
		return acquire
	case now.After(deadline):
		return acquire
	}
	return Wait{Until: deadline}
}

// Holding is the state of a lease that this host holds.
type Holding struct {
	Version uint64
	Record  Record
	// Deadline is the time at which the lease expires, counted from just before the
	// last confirmed write was sent.
	Deadline time.Time
	// AcquiredAt is the time after the acquisition was confirmed.
	AcquiredAt time.Time
	// StopMargin is the time before the deadline at which the holder stops, and
	// UnfencedDelay how long an order of the previous holder may be in flight.
	StopMargin    time.Duration
	UnfencedDelay time.Duration
	// Begun is set once the holder may give orders to targets that ignore fencing tokens. Where the
	// last holder may go on after a restore, it takes a write that was confirmed after UnfencedDelay.
	Begun bool
}

// LostError is returned if the host may not give orders.
type LostError struct {
	Name   string
	Reason string
}

// Error names the lease, the reason and the remedy.
func (e *LostError) Error() string {
	return fmt.Sprintf("lease %q is not held: %s; give no orders until it is acquired again", e.Name, e.Reason)
}

// Valid reports whether an order may be sent right now.
func (h Holding) Valid(now time.Time) bool {
	return h.Record.FencingToken != 0 && now.Before(h.Deadline.Add(-h.StopMargin))
}

// Unfenced reports whether no order of a previous holder can be in flight, so that
// orders may go to targets that ignore fencing tokens.
func (h Holding) Unfenced(now time.Time) bool {
	return h.Valid(now) && h.Begun && h.delayPassed(now)
}

// delayPassed reports whether UnfencedDelay has passed since the acquisition.
func (h Holding) delayPassed(now time.Time) bool {
	return !now.Before(h.AcquiredAt.Add(h.UnfencedDelay))
}

// Begin returns the state of the lease after a write was confirmed that was sent at the given time.
func (h Holding) Begin(sent, now time.Time, confirmTime time.Duration) Holding {
	h.Begun = h.Begun || h.delayPassed(now) && now.Sub(sent) < confirmTime
	return h
}

// remainingDelay returns how long targets that ignore fencing tokens still get no order,
// in milliseconds, rounded up.
func (h Holding) remainingDelay(now time.Time) int64 {
	d := h.UnfencedDelay
	if !h.AcquiredAt.IsZero() {
		d = max(h.AcquiredAt.Add(d).Sub(now), 0)
	}
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

// Confirm returns the state of the lease after a read of the row, and whether the
// row carries the wanted record, which was sent at the given time.
func (h Holding) Confirm(wanted Record, row table.Row, sent time.Time) (Holding, bool) {
	r, err := DecodeRecord(row.Value)
	if err != nil || r != wanted {
		return h, false
	}
	h.Version, h.Record = row.Version, r
	h.Deadline = sent.Add(time.Duration(r.TTLMillis) * time.Millisecond)
	return h, true
}

// Rebase returns the state of the lease after a read of a row that does not show the
// renewal, and false if the lease is lost. An earlier renewal may have reached the
// table with delay, or be back after a restore, which changes the version but not the
// deadline. A row from an earlier era that is older than the acquisition, or a missing
// one, shows that the platform was restored: no other host acquires the lease before
// the deadline, so the holder writes its record again. A row of another acquisition
// ends the lease.
func (h Holding) Rebase(row table.Row, era uint64) (Holding, bool) {
	h.Version = row.Version
	if row.Version == 0 {
		return h, era > 0
	}
	r, err := DecodeRecord(row.Value)
	switch {
	case err != nil:
		return h, false
	case r.AcquisitionID == h.Record.AcquisitionID:
		return h, r.TTLMillis != 0
	}
	return h, r.Era < era && r.FencingToken < h.Record.FencingToken
}
