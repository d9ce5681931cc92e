// Package route decides where a request runs.
//
// Place compares every way to serve a request: on an engine that holds the
// leading blocks of the prompt, on an engine after an import from a store, on an
// engine that computes the whole prompt, or at a host of another region. The
// cost of each is
//
//	first token (s) x Weights.FirstToken +
//	recomputed tokens / 1,000 x Weights.Recompute +
//	bytes over region links / 1,000,000 x Weights.LinkTraffic
//
// where the time to the first token is the engine's queue, the transfer behind
// what the link has queued, and the prefill of the unmatched tokens.
//
// Load reports lag and many hosts read the same report. The engine's queue
// therefore includes the caller's own dispatches since the report, and among
// engines of near-equal cost Place takes the cheaper of two random ones. If a
// report is older than StaleAfter, the load of the engine is unknown, and the
// engine ranks behind the one with the longest queue in a fresh report.
//
// The caller passes only candidates and sources that the account's entry in
// the configuration document permits; Place checks the model, adapter and weight version itself.
//
// # Usage
//
//	switch d := route.Place(request, engines, peers, doc.Weights, now, rnd).(type) {
//	case route.Resident:
//		// dispatch to d.Target, which holds d.Blocks leading blocks
//	case route.Import:
//		// import blocks d.From to d.To from d.Store into d.Target, then dispatch
//	case route.Recompute:
//		// dispatch to d.Target
//	case route.Forward:
//		// forward the request to d.Host
//	case route.Refuse:
//		// answer with Retry-After d.RetryAfter
//	}
//
// Place keeps no state and may be called from many goroutines, each with its
// own random source.
package route
