// Package fleet holds what a host believes about the targets behind it.
//
// The platform's list says which targets exist, which leave and which weights
// they hold. The host's own requests say how many calls are in flight, which
// attempts failed, and which target refuses connections. Replies carry load
// reports. A target that the list drops is gone at once, except right after the
// list could not be read: entries that lapsed meanwhile get a short time to come
// back.
//
// # Usage
//
//	f := fleet.New(fleet.WithClock(wire.Boot))
//	f.Put(fleet.Target{ID: "t1", Service: "chat", Address: "10.0.0.1:80"})
//	for _, s := range f.Serving("chat") { ... }
//	a := f.Begin("t1", fleet.Flight{Tokens: 1200, Unread: 400})
//	a.Heard()
//	a.End(fleet.Served)
package fleet
