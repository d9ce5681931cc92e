// Package place chooses the target of a request from what a host believes.
//
// The choice is a pure function of plain values, so that a recorded load can be
// replayed against it. Costs are expected milliseconds. Shared prompt parts that
// would have to be read again carry an extra cost, because other requests pay
// for them too; that keeps the requests of one subject on one engine and makes a
// fetch from a store better than another reading.
//
// # Usage
//
//	switch c := place.Prompt(work, candidates, place.Defaults()).(type) {
//	case place.At:   // send to candidates[c.Index]
//	case place.Full: // wait for room
//	case place.None: // refuse
//	}
package place
