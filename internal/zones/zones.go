package zones

import "math"

const (
	// maxUse caps the use at which the wait of a zone is computed, as it has no bound
	// where use reaches one.
	maxUse = 0.98
	// noTargetMs is the wait in a zone without a usable target.
	noTargetMs = 60_000
	// FullUse is the use from which a zone takes no requests of others; few slots keep
	// the square root of their number free, as arrivals vary by so much. The callers of
	// the zone itself get the remainder.
	FullUse = 0.9
)

// Zone is what a host sees of the targets of one service in one zone.
type Zone struct {
	Name string
	// Targets is the number of targets that may get requests. The other fields are
	// sums over them.
	Targets int
	// Calls are in flight, Slots is the number that run at once; zero for no limit.
	// Waiting requests wait at hosts for a target here.
	Calls, Slots, Waiting int
	// Tokens is the engine memory that the calls need, Room all engine memory; zero for
	// no limit. Unread are the prompt tokens still to be prefilled.
	Tokens, Room, Unread int
	// PrefillMs is the time to prefill a token at a target, CallMs the delay that one
	// call adds to another one there, ServiceMs the time for which a call is in flight.
	PrefillMs, CallMs, ServiceMs float64
	// RoundTripMs is the time of a round trip from the host, ByteMs the price of a byte
	// on the way.
	RoundTripMs, ByteMs float64
}

// use returns the share of the slots or of the memory that is in use, whichever is higher.
func (z Zone) use() float64 {
	use := 0.0
	if z.Slots > 0 {
		use = float64(z.Calls) / float64(z.Slots)
	}
	if z.Room > 0 {
		use = max(use, float64(z.Tokens)/float64(z.Room))
	}
	return use
}

// WaitMs returns the expected wait of a new request in the zone. The queue for slots is
// Sakasegawa's approximation for many servers.
func (z Zone) WaitMs() float64 {
	if z.Targets == 0 {
		return noTargetMs
	}
	targets := float64(z.Targets)
	wait := float64(z.Unread)*z.PrefillMs/targets + float64(z.Calls)*z.CallMs/targets
	use := min(z.use(), maxUse)
	if use <= 0 {
		return wait
	}
	servers := max(float64(z.Calls)/z.use(), 1)
	queued := max(float64(z.Calls)-servers, 0) + float64(z.Waiting)
	wait += z.ServiceMs * queued / servers
	return wait + z.ServiceMs/servers*math.Pow(use, math.Sqrt(2*(servers+1))-1)/(1-use)
}

// freeCalls returns the number of calls that still fit below FullUse; it is negative for a
// zone with more.
func (z Zone) freeCalls() float64 {
	if z.Targets == 0 {
		return 0
	}
	free := math.Inf(1)
	if z.Slots > 0 {
		slots := float64(z.Slots)
		free = min(FullUse*slots, slots-math.Sqrt(slots)) - float64(z.Calls)
	}
	if z.Room > 0 && z.Calls > 0 && z.Tokens > 0 {
		free = min(free, (FullUse*float64(z.Room)-float64(z.Tokens))*float64(z.Calls)/float64(z.Tokens))
	}
	return free
}

// Kind holds the properties of a request that decide whether sending it to another zone pays.
type Kind struct {
	// Bytes are those of the request and of its answer.
	Bytes int
	// KeptMs is the cost of reading the shared parts of its prompt again elsewhere than at
	// the engine that has kept them for requests with the same parts.
	KeptMs float64
}

// WayMs returns the cost of the way of a request to the zone.
func (z Zone) WayMs(k Kind) float64 { return z.RoundTripMs + float64(k.Bytes)*z.ByteMs }
