package lease

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"sesamehill.example/sesamehill/internal/table"
)

const (
	// margin is the time before the deadline at which a holder stops; it covers
	// the drift of two monotonic clocks and the way from the check to the send.
	margin = time.Second
	// flight is the bound on an order in flight.
	flight = 2 * time.Second
	// maxTTL bounds the time to live that a contender accepts from a row.
	maxTTL = 5 * time.Minute
)

// Record is the value of a lease's row.
type Record struct {
	Holder string `cbor:"holder" json:"holder"`
	// Token is unique to an acquisition.
	Token string `cbor:"token" json:"token"`
	Fence uint64 `cbor:"fence" json:"fence"`
	// Round counts the renewals.
	Round uint64 `cbor:"round" json:"round"`
	// TTL is the time to live in milliseconds; zero means released.
	TTL int64 `cbor:"ttl" json:"ttl"`
}

// RecordError says that a row does not hold a valid lease.
type RecordError struct{ Problem string }

// Error names the problem and the remedy.
func (e *RecordError) Error() string {
	return fmt.Sprintf("lease record: %s; write the row again by hand with a higher fence", e.Problem)
}

// Check returns a *RecordError if the record is invalid.
func (r Record) Check() error {
	switch {
	case r.Fence == 0 || r.Token == "":
		return &RecordError{Problem: "fence or token is missing"}
	case r.TTL < 0 || r.TTL > maxTTL.Milliseconds():
		return &RecordError{Problem: fmt.Sprintf("time to live of %d ms is outside 0 to %d", r.TTL, maxTTL.Milliseconds())}
	}
	return nil
}

// Encode returns the row value of the record.
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

// View is what a contender knows of the row.
type View struct {
	Version uint64
	Record  Record
	// Since is the monotonic time at which this version was first seen.
	Since time.Time
}

// Observe returns the view after the row was read; now is the time after the
// reply arrived.
func (v View) Observe(row table.Row, now time.Time) (View, error) {
	if row.Version == v.Version && !v.Since.IsZero() {
		return v, nil
	}
	next := View{Version: row.Version, Since: now}
	if row.Version == 0 {
		return next, nil
	}
	var err error
	next.Record, err = DecodeRecord(row.Value)
	return next, err
}

// Decision is one of Take and Wait.
type Decision interface{ decision() }

// Take asks for an acquisition over the given version.
type Take struct{ Version, Fence uint64 }

// Wait says that another host may hold the lease until the time.
type Wait struct{ Until time.Time }

func (Take) decision() {}
func (Wait) decision() {}

// Next decides for a host that does not hold the lease. A row that an earlier
// process of the same host wrote is free, as that process has ended. Token is that of its own
// last acquisition; a row that carries it was written by a lost reply or given
// up, so nobody acts on it. Floor is the highest fence known from targets, which
// is above the row's after a restore of the platform.
func Next(v View, host, token string, floor uint64, now time.Time) Decision {
	r := v.Record
	take := Take{Version: v.Version, Fence: max(r.Fence, floor) + 1}
	end := v.Since.Add(time.Duration(r.TTL) * time.Millisecond)
	switch {
	case v.Version == 0 || r.TTL == 0:
		return take
	case token != "" && r.Token == token:
		return take
	case host != "" && r.Holder == host:
		return take
	case now.After(end):
		return take
	}
	return Wait{Until: end}
}

// Held is what a holder knows of its lease.
type Held struct {
	Version uint64
	Record  Record
	// Deadline is counted from before the last confirmed write was sent.
	Deadline time.Time
	// Acquired is the time after the acquisition was confirmed.
	Acquired time.Time
	// Margin is the time before the deadline at which the holder stops, and Flight
	// how long an order of an earlier holder may be in flight.
	Margin time.Duration
	Flight time.Duration
}

// LostError says that the host may not give orders.
type LostError struct {
	Name   string
	Reason string
}

// Error names the lease, the reason and the remedy.
func (e *LostError) Error() string {
	return fmt.Sprintf("lease %q is not held: %s; give no orders until it is acquired again", e.Name, e.Reason)
}

// Valid reports whether an order may be sent right now.
func (h Held) Valid(now time.Time) bool {
	return h.Record.Fence != 0 && now.Before(h.Deadline.Add(-h.Margin))
}

// Unfenced reports whether no order of an earlier holder can be in flight.
func (h Held) Unfenced(now time.Time) bool {
	return h.Valid(now) && !now.Before(h.Acquired.Add(h.Flight))
}

// Confirm returns the lease after a row was found that carries the write
// wanted, sent at the given time.
func (h Held) Confirm(wanted Record, row table.Row, sent time.Time) (Held, bool) {
	r, err := DecodeRecord(row.Value)
	if err != nil || r != wanted {
		return h, false
	}
	h.Version, h.Record = row.Version, r
	h.Deadline = sent.Add(time.Duration(r.TTL) * time.Millisecond)
	return h, true
}
