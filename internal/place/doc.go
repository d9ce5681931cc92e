// Package place chooses the target of a request from what a host knows about the
// targets.
//
// The choice is a pure function of plain values, so that a recorded load can be
// replayed against it. Costs are expected milliseconds. Shared prompt parts that
// would have to be prefilled again carry an extra cost, because this delays other
// requests, too. The extra cost keeps requests with the same affinity key on one
// engine, and makes a fetch from a store cheaper than recomputation.
//
// # Usage
//
//	switch c := place.ChooseEngine(work, candidates, place.DefaultCosts()).(type) {
//	case place.Selected:    // send to candidates[c.Index]
//	case place.Full:        // wait for capacity
//	case place.NoCandidate: // refuse
//	}
package place
