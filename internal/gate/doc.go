// Package gate carries requests between callers and targets.
//
// A request is matched to a route of the site in force, its key to a client
// account, and its service's targets are weighed. A request that cannot be
// repeated is sent once more only if no byte of it left or the target said that
// it did not run. Streams are relayed by whole events; where a route allows it, a
// stream that breaks goes on at another target after the last event that the
// caller got. A request that is given up gets its final answer at once: 503 with
// a time to come back if it has certainly not run, 502 or 504 otherwise.
//
// The codec knows how requests look on the platform; the gate does not.
//
// # Usage
//
//	g := gate.New(codec, targets, gate.WithLog(log))
//	g.SetSite(current)
//	http.Serve(listener, g)
package gate
