// Package fleet holds a host's view of the targets behind it.
//
// The platform's list says which targets exist, which of them are leaving and
// which weights they hold. The host's own requests give the number of calls in
// flight, the failed attempts and the targets that refuse connections. Replies
// carry load reports. A target that the list drops is removed at once, except
// right after an outage of the list: entries that expired during the outage get
// a short grace period in which they can be listed again. A target that leaves, or has
// left, gets no more calls in this start, even if a list that was restored from an
// earlier copy shows it as before.
//
// # Usage
//
//	f := fleet.New(fleet.WithClock(wire.BootTime))
//	f.Put(fleet.Target{ID: "t1", Service: "chat", Address: "10.0.0.1:80"})
//	for _, s := range f.Serving("chat") { ... }
//	a := f.Begin("t1", fleet.InFlight{Tokens: 1200, PrefillTokens: 400})
//	a.RecordData()
//	a.End(fleet.Served)
package fleet
