// Package lease grants one host at a time the right to give orders to targets. The
// lease is a row of the platform's table that hosts write with compare-and-set.
//
// Each acquisition has a fencing token above all earlier ones. The row is never
// deleted, so that fencing tokens only grow. Wall clocks of hosts are never
// compared: a holder counts the time to live from just before it sent the write,
// and a contender takes over only after it has seen the row unchanged for that
// long by its own monotonic clock. A holder stops 1 s before its deadline.
//
// A target that ignores fencing tokens could still execute the last order of the
// previous holder. Lease.AllowsUnfenced therefore allows orders to such targets only 2 s
// after the acquisition. The new holder then reads the state of the target again
// and sends the whole desired state.
//
// The platform may be restored from an earlier copy, which loses acquisitions and gives
// their versions out again. A host that sees this, by the era that the platform states
// or by a version that went back, takes the lease over only a time to live later, as
// the holder by a lost row may act until then. That holder writes its record again, or
// goes on if its lease has just ended (WithResume).
// Fencing tokens of a later era are above all of an earlier one.
//
// With WithResume a new holder gives its first order only after a write that was confirmed
// once the delay of its acquisition had passed. The last holder goes on only if a write of
// that kind has to come after the restore: the two then write the row that both have read in
// the new era, and one of them fails. Nothing else would stop a new holder that the platform
// turns away.
//
// View, Decide and Holding.Confirm are the protocol without I/O and clock; Lease
// runs it.
//
// # Usage
//
//	l := lease.New(t, "rollout", hostName)
//	go l.Run(ctx)
//	// immediately before each order:
//	token, err := l.FencingToken()
//	if err != nil {
//		return err // *lease.LostError: give no more orders
//	}
//	if !targetChecksToken && !l.AllowsUnfenced() {
//		return nil // an order of the previous holder may be in flight; retry later
//	}
package lease
