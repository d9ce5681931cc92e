package server

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/pause"
	"sesamehill.example/sesamehill/internal/wire"
)

const (
	// configPath is the path at which a host serves the operator configuration that it
	// has in force.
	configPath = "/config"
	// configCheckInterval is the time between two checks whether other hosts have a newer
	// configuration.
	configCheckInterval = 100 * time.Millisecond
	// configFetchDelay is how long a ready host waits for a newer configuration from the
	// platform or its hub before it fetches it from another host. It exceeds the time in
	// which a change reaches all hosts of a region.
	configFetchDelay = 500 * time.Millisecond
	// maxConfigWait is how long a host that has a configuration waits at most until it
	// has received the versions of other hosts and counts as ready.
	maxConfigWait = 600 * time.Millisecond
)

// configQuery requests a host's operator configuration if it is newer than a version.
type configQuery struct {
	Newer uint64 `cbor:"1,keyasint"`
}

// configReply holds the operator configuration as the operator wrote it; nothing if the
// host has none that is newer.
type configReply struct {
	Document []byte `cbor:"1,keyasint,omitempty"`
}

// configExchange keeps the operator configuration of this host as new as those of other
// hosts. The platform's store may return from an older copy, and hosts that start before
// the operator has written again would read an older configuration there.
type configExchange struct {
	host *Host
	now  func() time.Duration

	mu sync.Mutex
	// newest is the newest version that another host has announced, and peer the address
	// of the last host that announced it. behindSince is the boot time since which other
	// hosts have had a newer version than this one.
	newest      uint64
	peer        string
	behindSince time.Duration
	// announced says that another host has announced its version, possibly none.
	announced bool
	// rejected is the version of the last document of another host that could not be
	// used. It is not fetched again.
	rejected uint64
	// configuredAt is the boot time since which this host has a configuration, and
	// confirmed says that it was as new as those of other hosts at least once.
	configuredAt time.Duration
	confirmed    bool
}

func newConfigExchange(h *Host) *configExchange {
	return &configExchange{host: h, now: wire.BootTime}
}

// Run fetches newer configurations from other hosts until ctx ends.
func (c *configExchange) Run(ctx context.Context) error {
	var retryAt time.Duration
	for pause.For(ctx, configCheckInterval) == nil {
		c.upToDate()
		peer, version, ok := c.behind()
		if !ok || c.now() < retryAt {
			continue
		}
		retryAt = c.now() + pause.Jitter(configFetchDelay)
		if err := c.fetch(ctx, peer, version); err != nil {
			c.host.log.Warn(
				"operator configuration of another host could not be fetched", zap.String("peer", peer), zap.Uint64("site", version), zap.Error(err),
			)
		}
	}
	return nil
}

// record records the version in force at another host; zero if it has none.
func (c *configExchange) record(peer string, version uint64) {
	own := c.host.config.version()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.announced = true
	if version == 0 || version < c.newest {
		return
	}
	if version > own && c.newest <= own {
		c.behindSince = c.now()
	}
	c.newest, c.peer = version, peer
}

// behind returns the newest version of other hosts and the address of one that has it;
// false if this host has it too, or may still receive it from the platform or its hub.
func (c *configExchange) behind() (peer string, version uint64, ok bool) {
	own := c.host.config.version()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.newest <= own || c.newest == c.rejected || c.confirmed && c.now()-c.behindSince < configFetchDelay {
		return "", 0, false
	}
	return c.peer, c.newest, true
}

// fetch fetches the configuration of another host and applies it.
func (c *configExchange) fetch(ctx context.Context, peer string, version uint64) error {
	ctx, cancel := wire.WithStallTimeout(ctx, peerTimeout, peerTimeout)
	defer cancel()
	var reply configReply
	if err := c.host.peerClient.call(ctx, peer, configPath, configQuery{Newer: c.host.config.version()}, &reply); err != nil {
		return errors.Trace(err)
	}
	if len(reply.Document) == 0 {
		return fmt.Errorf("host at %s has no newer configuration; fetch it from another host", peer)
	}
	if err := c.host.config.applyDocument(reply.Document, "host "+peer); err != nil {
		c.reject(version)
		return errors.Trace(err)
	}
	return nil
}

func (c *configExchange) reject(version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rejected = version
}

// upToDate reports whether this host has, or once had, a configuration that was as new
// as those of the other hosts. Where no other host answers, it is true maxConfigWait after
// the first configuration.
func (c *configExchange) upToDate() bool {
	if c.isConfirmed() {
		return true
	}
	own, alone := c.host.config.version(), c.host.members.alone()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch now := c.now(); {
	case own == 0:
	case c.configuredAt == 0:
		c.configuredAt = now
		c.confirmed = (c.announced || alone) && c.newest <= own
	default:
		c.confirmed = (c.announced || alone) && c.newest <= own || now-c.configuredAt >= maxConfigWait
	}
	return c.confirmed
}

func (c *configExchange) isConfirmed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.confirmed
}

// serveConfig answers hosts that request a newer operator configuration.
func (h *Host) serveConfig(w http.ResponseWriter, r *http.Request) {
	var q configQuery
	if readQuery(w, r, &q) {
		writeReply(w, configReply{Document: h.config.newerDocument(q.Newer)})
	}
}

// ConfigVersion returns the version of the operator configuration in force; zero before
// the first.
func (h *Host) ConfigVersion() uint64 { return h.config.version() }

// RecordConfigVersion records the version of the operator configuration in force at the
// host with a peer address.
func (h *Host) RecordConfigVersion(peer string, version uint64) { h.configs.record(peer, version) }
