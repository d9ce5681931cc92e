// Package zones decides to which other availability zones a host may send requests, and
// how many.
//
// A host compares the wait in its own zone with the wait in each other zone, the way
// there and its price, and what reading a prompt again costs. For each class of requests
// it keeps the share of affinity keys that may go to a zone. Shares change slowly against
// the age of the view, so that hosts with the same old view do not oscillate together, and
// quotas divide the room of a zone among the hosts.
//
// Everything is computed from arguments: the package reads no clock and draws no random
// number. Hosts exchange nothing for it.
//
// # Usage
//
//	p := zones.NewPlanner("sul-a")
//	p.Update(now, zones.View{Zones: loads, Hosts: 6, Age: age})
//	kind := zones.Kind{Bytes: 4000, KeptMs: 80}
//	if v := p.Verdict(now, kind, key, "sul-b"); v.Reason.Open() {
//		p.Sent(kind, "sul-b")
//	}
//
// # Units
//
// Waits are milliseconds, prices are milliseconds per byte; Prices converts money into
// them. Times are positions on the boot clock.
package zones
