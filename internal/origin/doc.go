// Package origin remembers which software version of a service began each stream.
//
// Targets of several software versions may serve side by side, and a stream may go on
// only at the version that began it. A caller that resumes a stream names the
// request that brought its first event, mostly at another host. Each host remembers the
// streams that it has begun. While a service has more than one version, it also sends
// them to a few other hosts, its owners, which a host with an unknown stream queries, and
// stores them on the platform, which outlives the hosts.
// While there is one version, nothing is sent: it is the origin of every stream.
//
// The version that was the only one before others appeared is the base. The record of a
// stream that begins at another version is stored before its caller gets events of it, so
// that a stream without a record began at the base. The versions and the base are stored
// as well: a host that has just started does not know which versions have vanished. Where the
// platform cannot be read, a host that has received all records shows that there is none, which
// one that has missed messages of another host does not.
//
// A version that appears gets new streams only after SettleTime, in which all hosts learn
// of it. A host that has not, as it stood still or was cut off, has no list of targets that was
// current within EvidenceTTL, which is shorter: it does not take the version that it has observed
// for the only one. Where no settled version serves, streams begin at the others, and their records are
// stored and sent before their callers get events. A version that has vanished counts
// for Retention, as streams that it began may still be resumed. So does an unknown
// version of a target that was added and removed between two reads of the list: only the removal is
// received.
//
// A start that no entry shows yet has a label in place of a version, which all hosts know to be
// another one. Once its entry is received, the label stands for the version in it.
//
// The package does no I/O and reads no clock. Times are on the boot clock.
//
// # Usage
//
//	r := origin.New(origin.WithResolver(targets.ListedSoftware))
//	r.Observe(targets.Software(), origin.Evidence{CurrentAt: listedAt}, now)
//	receipt := r.Begin(requestID, origin.Origin{Service: "llm", Software: "v2"}, now)
//	o, ok := r.Find(requestID)
package origin

import "time"

const (
	// SettleTime is the time after which a version that has appeared gets new streams. It exceeds
	// the time in which the hosts' messages reach all of them that are not out of step.
	SettleTime = 1500 * time.Millisecond
	// Retention is how long a stream may be resumed after it began, and how long a
	// version counts after its last target has left. It exceeds the deadlines of callers.
	Retention = time.Minute
	// witnessTime is how long a host must have known one version only when the second one
	// appears, to be sure that it has received the records of all streams at that one.
	witnessTime = 3 * time.Second
	// maxStreams bounds the remembered streams; the oldest are forgotten first.
	maxStreams = 1 << 17
	// maxOwn bounds the streams begun at this host that are sent when a second version
	// appears.
	maxOwn = 1 << 14
)
