// Package evac records which availability zones the operator has evacuated, so that nothing
// more is sent to their targets.
//
// The operator writes and removes rows on the platform. A host holds a view: the
// evacuated zones as of a position in the operator's table. Hosts read the table, and send
// each other their views. The view with the newer position replaces the older one, so that an
// older row never undoes a newer one, whichever way it comes.
//
// A platform that returns from an older copy (a newer era) may have lost rows that it had
// acknowledged. A zone that a host had as evacuated in the era before therefore stays
// evacuated for lostRowHold if the new era lacks its row, in which time the operator writes
// the row again.
//
// The package reads no clock; callers pass the time of the boot clock.
//
// # Usage
//
//	l := evac.New()
//	l.ApplyList(zones, position, now)     // after a list of the operator's table
//	l.ApplyChanges(changes, position, now) // after changes of it
//	l.Merge(view, now)                    // with each message of another host
//	if l.Evacuated(zone, now) {
//		// choose another target
//	}
package evac
