// Package caller bounds what the connections of callers hold: bytes of memory, descriptors
// and time.
//
// Callers may send anything at any pace. A Guard counts what each connection holds of a
// request that has not been answered, at its cost after decoding, and closes connections
// that exceed a limit of time. When its budget is used up it closes first the connection
// with the largest product of bytes and time without progress. It never closes one that makes progress,
// nor one whose request was received as a whole and whose caller takes the answer; then it
// refuses new requests before they are decoded, so that they have certainly not run.
//
// # Usage
//
//	g := caller.NewGuard(caller.WithLimits(limits))
//	server := &http.Server{Handler: g.Handler(h), ConnState: g.Track, ConnContext: g.Context}
//	go server.Serve(g.Listener(l))
//	for range time.Tick(caller.SweepInterval) {
//		g.Sweep()
//	}
//
// # Time
//
// Times count only while the process runs: Sweep adds the time since the last one, at most
// maxTick. Data that arrived during a pause of the process is then read before its sender
// counts as slow.
package caller
