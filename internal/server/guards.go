package server

import (
	"context"
	"encoding/json"
	"syscall"
	"time"

	"sesamehill.example/sesamehill/internal/caller"
	"sesamehill.example/sesamehill/internal/opconf"
	"sesamehill.example/sesamehill/internal/pause"
)

const (
	// headerTimeout, maxHeaderBytes and defaultIdleTimeout are the limits of callers until an
	// operator configuration sets them.
	headerTimeout      = 10 * time.Second
	maxHeaderBytes     = 64 << 10
	defaultIdleTimeout = 30 * time.Second
	// defaultBodyTime bounds the receipt of a body that no route bounds, and answerReadTime
	// that in which a caller takes 64 KB of an answer: 2 KB a second.
	defaultBodyTime = 30 * time.Second
	answerReadTime  = 30 * time.Second
	// callerStallTime is the time without progress after which a connection may be closed
	// for others. It is longer than a lost packet takes to be sent again.
	callerStallTime = time.Second
	// callerReceiveBytes is what the kernel holds of a connection that is not read. It counts
	// as memory of the machine.
	callerReceiveBytes = 16 << 10
	// callerUnsentBytes is what the kernel takes of an answer ahead of the network. With more,
	// a caller that reads slowly seems to take nothing for as long as it reads megabytes.
	callerUnsentBytes = 64 << 10
	// The admin limits are those of the ready and the admin address. Their calls are short,
	// so that a new connection may displace the oldest one at once.
	maxAdminHeaderBytes = 16 << 10
	adminHeaderTime     = 2 * time.Second
	adminBytes          = 2 << 20
	adminConns          = 32
	// peerStallTime is the time without progress after which a connection of another host may
	// be closed for others.
	peerStallTime = 250 * time.Millisecond
	// fileDescriptors is the number of descriptors that the platform keeps for files.
	fileDescriptors = 200
	// callerConnDivisor and peerConnDivisor give the shares of callers and of other hosts in
	// the other descriptors. The remaining ones are for targets and the store.
	callerConnDivisor = 2
	peerConnDivisor   = 8
	minConns          = 32
	// callerMemoryDivisor and peerMemoryDivisor are the divisors of the memory limit that
	// give the budget of callers and of other hosts.
	callerMemoryDivisor = 4
	peerMemoryDivisor   = 32
	// defaultMemory is the memory in megabytes that is assumed if no limit is set.
	defaultMemory = 256
)

// guards bound the connections that others open to the host.
type guards struct {
	callers, ready, admin, peers *caller.Guard
}

func newGuards(s Settings) *guards {
	admin := caller.Limits{
		HeaderBytes: maxAdminHeaderBytes, HeaderTime: adminHeaderTime, BodyTime: adminHeaderTime, IdleTime: defaultIdleTimeout,
		WriteTime: answerReadTime, Bytes: adminBytes, Conns: adminConns,
	}
	peers := admin
	peers.Bytes, peers.Conns, peers.StallTime = s.memoryBytes()/peerMemoryDivisor, s.connShare(peerConnDivisor), peerStallTime
	return &guards{
		callers: caller.NewGuard(caller.WithLimits(s.callerLimits(opconf.Limits{}))),
		ready:   caller.NewGuard(caller.WithLimits(admin)),
		admin:   caller.NewGuard(caller.WithLimits(admin)),
		peers:   caller.NewGuard(caller.WithLimits(peers)),
	}
}

// callerLimits returns the limits of callers under those of an operator configuration, zero
// standing for the default.
func (s Settings) callerLimits(l opconf.Limits) caller.Limits {
	limits := caller.Limits{
		HeaderBytes: maxHeaderBytes, HeaderTime: headerTimeout, BodyTime: defaultBodyTime, IdleTime: defaultIdleTimeout,
		WriteTime: answerReadTime, Bytes: s.memoryBytes() / callerMemoryDivisor, Conns: s.connShare(callerConnDivisor),
		StallTime: callerStallTime,
	}
	if l.HeaderBytes > 0 {
		limits.HeaderBytes = l.HeaderBytes
	}
	if l.HeaderTimeout > 0 {
		limits.HeaderTime = l.HeaderTimeout
	}
	if l.IdleTimeout > 0 {
		limits.IdleTime = l.IdleTimeout
	}
	return limits
}

func (s Settings) memoryBytes() int64 {
	if s.Memory == 0 {
		return defaultMemory << 20
	}
	return s.Memory << 20
}

// connShare returns a share of the descriptors that are not kept for files.
func (s Settings) connShare(divisor int) int {
	descriptors := s.Descriptors
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && (descriptors == 0 || limit.Cur < uint64(descriptors)) {
		descriptors = int(min(limit.Cur, maxDescriptors))
	}
	return max((descriptors-fileDescriptors)/divisor, minConns)
}

// maxDescriptors is the number of descriptors that a host uses at most.
const maxDescriptors = 1 << 20

// stats returns what the connections hold and how many were closed, by address.
func (g *guards) stats() map[string]any {
	stats := map[string]any{}
	for name, guard := range map[string]*caller.Guard{"front": g.callers, "ready": g.ready, "admin": g.admin, "peer": g.peers} {
		stats[name] = map[string]any{"held": guard.InUse(), "closed": json.RawMessage(guard.Closed().String())}
	}
	return stats
}

// sweepCallers closes connections that exceed a limit of time, and applies the limits of the
// operator configuration.
func (h *Host) sweepCallers(ctx context.Context) error {
	for {
		if err := pause.For(ctx, caller.SweepInterval); err != nil {
			return nil //nolint:nilerr // cancellation is the normal way to stop
		}
		if config := h.proxy.Config(); config != nil {
			h.guards.callers.SetLimits(h.currentSettings().callerLimits(config.Limits))
		}
		for _, g := range []*caller.Guard{h.guards.callers, h.guards.ready, h.guards.admin, h.guards.peers} {
			g.Sweep()
		}
	}
}
