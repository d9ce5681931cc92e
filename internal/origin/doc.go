// Package origin remembers which software version of a service began each stream.
//
// Targets of several software versions may serve side by side, and a stream may go on
// only at the version that began it. A caller that resumes a stream names the
// request that brought its first event, mostly at another host. Each host remembers the
// streams that it has begun. While a service has more than one version, it also sends
// them to a few other hosts, its owners, which a host with an unknown stream queries.
// While there is one version, nothing is sent: it is the origin of every stream.
//
// A version that appears gets new streams only after SettleTime, in which all hosts learn
// of it, so that no host takes it for the only one. A version that has vanished counts
// for Retention, as streams that it began may still be resumed.
//
// The package does no I/O and reads no clock. Times are on the boot clock.
//
// # Usage
//
//	r := origin.New()
//	r.Observe(targets.Software(), now)
//	r.Begin(requestID, origin.Origin{Service: "llm", Software: "v2"}, now)
//	o, ok := r.Find(requestID)
package origin

import "time"

const (
	// SettleTime is the time after which a version that has appeared gets new streams.
	// It exceeds the time in which the hosts' messages reach all of them.
	SettleTime = 1500 * time.Millisecond
	// Retention is how long a stream may be resumed after it began, and how long a
	// version counts after its last target has left. It exceeds the deadlines of callers.
	Retention = time.Minute
	// maxStreams bounds the remembered streams; the oldest are forgotten first.
	maxStreams = 1 << 17
	// maxOwn bounds the streams begun at this host that are sent when a second version
	// appears.
	maxOwn = 1 << 14
)
