package server

import (
	"context"
	"errors"
	"net"
	"os"
	"time"

	"golang.org/x/sync/errgroup"

	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/pause"
	"sesamehill.example/sesamehill/internal/safego"
	"sesamehill.example/sesamehill/internal/wire"
)

const (
	// linkInterval is the time between two checks of the idle connections to targets.
	linkInterval = 250 * time.Millisecond
	// linkRenewal is the age from which an idle connection gets a successor, as targets close
	// those that stay idle for some seconds, and linkLifetime the age at which it is closed.
	linkRenewal  = 3 * time.Second
	linkLifetime = 2 * linkRenewal
	// linkTimeout bounds a new connection.
	linkTimeout = time.Second
	// maxLinkDials is the largest number of concurrent new connections.
	maxLinkDials = 16
)

// linkKeeper keeps one idle connection open to each target that does not state its start and
// whose service has streams that may be resumed. Its end shows that the target may have started
// again.
type linkKeeper struct {
	host *Host
	// dialedAt holds the boot time of the last connection to each target.
	dialedAt map[string]time.Duration
	dials    errgroup.Group
}

// Run keeps the connections until ctx is cancelled.
func (k *linkKeeper) Run(ctx context.Context) error {
	k.dials.SetLimit(maxLinkDials)
	for pause.For(ctx, linkInterval) == nil {
		dialedAt := make(map[string]time.Duration, len(k.dialedAt))
		for _, service := range k.host.proxy.LinkedServices() {
			for _, s := range k.host.fleet.Serving(service) {
				if at, ok := k.dialedAt[s.ID]; ok && !k.due(s, at) {
					dialedAt[s.ID] = at
					continue
				}
				if s.Down || s.Tunneled {
					continue
				}
				dialedAt[s.ID] = wire.BootTime()
				k.dials.Go(func() error {
					safego.Do(k.host.log, "link", func() { k.open(ctx, *s.Target) })
					return nil
				})
			}
		}
		k.dialedAt = dialedAt
	}
	return k.dials.Wait()
}

// due reports whether a target needs a new connection: the last one is old, or it has broken.
func (k *linkKeeper) due(s fleet.Status, dialedAt time.Duration) bool {
	age := wire.BootTime() - dialedAt
	return age >= linkRenewal || age >= linkTimeout && k.host.fleet.StartEvidence(s.ID) == fleet.StartDoubted && !k.host.fleet.Linked(s.ID)
}

// open opens an idle connection to a target.
func (k *linkKeeper) open(ctx context.Context, t fleet.Target) {
	dialCtx, cancel := context.WithTimeout(ctx, linkTimeout)
	defer cancel()
	dialedAt := wire.BootTime()
	conn, err := k.host.paths.dialDirect(dialCtx, "tcp", t.Address)
	if err != nil {
		return // the next request or probe finds out whether the target is reachable
	}
	k.host.proxy.Metrics.Count("link")
	end := k.host.fleet.OpenLink(t.ID, dialedAt)
	go safego.Do(k.host.log, "link", func() {
		defer func() { _ = conn.Close() }()
		end(awaitEnd(ctx, conn))
	})
}

// awaitEnd waits until an idle connection ends or is old, and reports whether this host closes it.
func awaitEnd(ctx context.Context, conn net.Conn) (closed bool) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	_ = conn.SetReadDeadline(time.Now().Add(linkLifetime)) // without it the target closes it later
	_, err := conn.Read(make([]byte, 1))                   // a target sends nothing without a request
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed)
}
