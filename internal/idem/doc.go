// Package idem runs each non-idempotent request at most once, over all hosts and
// for as long as its idempotency record is retained.
//
// An idempotency record is a row of the platform's table under a hash of (account,
// idempotency key). A host writes it in state dispatched before it sends the
// request, so that no other host dispatches the same key, and adds the answer
// afterwards. If the request certainly did not run, the host sets the record to
// state released instead of deleting it: the row's version then only grows, and a
// delayed compare-and-set cannot overwrite the record of another host.
//
// Decide implements the protocol without I/O and without reading the clock. Claims
// runs it: a batcher collects records for a few milliseconds, writes them in one
// transaction at a limited rate, and reads rows back when a reply is lost. While
// the platform is down, Claims rejects requests at once and limits the number of
// answers that wait to be recorded.
//
// The platform may be restored from an earlier copy. A host keeps the records of its
// calls for two minutes, reads the newest one every second, and writes all of them
// again if it is gone, or when it records an answer. Until then another host can run a
// lost call once more.
//
// NotRun refers to the call that returns it: that call ran nothing and never will.
// While the platform is unreachable, a host can't know whether another host ran an
// earlier call with the same key; the key still cannot run twice.
//
// # Usage
//
//	claims := idem.New(t, idem.WithWriteRate(40))
//	defer claims.Close(ctx)
//	outcome, err := claims.Do(ctx, idem.Request{
//		Account: "keeper", Key: idempotencyKey, Fingerprint: idem.Fingerprint(call),
//	}, func(ctx context.Context) (target.Answer, error) {
//		return service.Call(ctx, call)
//	})
//	switch o := outcome.(type) {
//	case idem.Answered: // o.Answer; o.Replayed is set for a recorded answer
//	case idem.NotRun:   // 503, run "no", Retry-After o.Retry
//	case idem.Unknown:  // 503, run "unknown"
//	case idem.Conflict: // 422, the key was used with a different body
//	}
package idem
