// Package room decides which engines have room for a request, beyond what each of them could
// hold at most.
//
// An engine has several resources: slots and memory in tokens, which a request holds until
// it ends. Hosts see the calls of each other late, so that an engine holds more than a
// host has data on. Three rules follow from the measured demand:
//
//   - A less urgent request leaves free what more urgent ones are expected to take before the
//     host receives their loads. The reserve follows the demand, so that others use it while there
//     is none, and it never ends a run.
//
//   - Any request prefers engines that leave free what all others are expected to take, as an
//     engine whose memory is full makes every request wait for the end of a run.
//
//   - While room is short, a host sends no more than its share of the room that it sees, as
//     all hosts see the same room and would fill it many times over.
//
// All are pure functions of plain values.
//
// # Usage
//
//	demand.Arrived(kind, request, now)
//	free := room.Admit(engines, request, demand.Reserve(kind, hosts, len(engines), now))
//	preferred := room.Admit(engines, request, demand.Unseen(hosts, len(engines), now))
//	wait := pace.Wait(request, room.Free(engines), share, now)
package room
