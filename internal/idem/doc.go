// Package idem runs non-idempotent requests at most once, over all hosts and
// for as long as the claim's row is retained.
//
// A claim is a row of the platform's table under a hash of (account, idempotency
// key). It is written in state dispatched before the request goes out, so that
// no other host ever dispatches the same key, and it is rewritten with the
// answer afterwards. A claim whose request certainly did not run is rewritten in
// state released instead of being deleted: the row's version then only grows,
// and a compare-and-set that arrives late cannot hit the claim of another host.
//
// Decide is the protocol without I/O and clock. Claims drives it: a batcher
// writes the claims of a few milliseconds in one transaction, at a paced rate,
// and reads rows back when a reply is lost. While the platform is down, requests
// are refused at once and the queue of answers to record is bounded.
//
// NotRun refers to the call that it answers: that call ran nothing and never
// will. While the platform cannot be reached, a host can't know whether another
// host ran an earlier call with the same key; the key itself stays protected.
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
//	case idem.Answered: // o.Answer; o.Replayed tells a recorded answer
//	case idem.NotRun:   // 503, run "no", Retry-After o.Retry
//	case idem.Unknown:  // 503, run "unknown"
//	case idem.Conflict: // 422, another body under the same key
//	}
package idem
