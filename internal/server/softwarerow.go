package server

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/feed"
	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/origin"
	"sesamehill.example/sesamehill/internal/pause"
	"sesamehill.example/sesamehill/internal/table"
	"sesamehill.example/sesamehill/internal/wire"
)

const (
	// softwareKey is the key of the row with the software versions of services.
	softwareKey = "software"
	// softwareCheckInterval is the time between two comparisons of the row with the versions
	// that this host knows.
	softwareCheckInterval = 500 * time.Millisecond
	softwareWriteTimeout  = 700 * time.Millisecond
	// vanishedRemovalDelay is how long a host must have forgotten a version before it removes
	// it from the row. By then the other hosts have forgotten it as well, and none adds it
	// again.
	vanishedRemovalDelay = 10 * time.Second
	// Bounds of the row, which another writer may have left in the table.
	maxStoredServices, maxStoredVersions, maxStoredNameBytes = 1000, 64, 200
)

// unlistedStarts stands for the unknown software versions of all unlisted starts of a service
// in the row and in messages: what matters to others is that there is more than one version.
const unlistedStarts = "unlisted"

// sharedName returns the name of a software version in the row and in messages.
func sharedName(software string) string {
	if fleet.IsUnlistedSoftware(software) {
		return unlistedStarts
	}
	return software
}

// softwareRow keeps the software versions of services in a row of the platform, so that they
// outlive all hosts that have seen their targets. The lease holder writes it, or another
// contender for the lease if the holder does not.
type softwareRow struct {
	host     *Host
	table    Table
	registry *origin.Registry

	mu sync.Mutex
	// received is set once the table was listed. version is the version of the row; zero if
	// it does not exist.
	received bool
	version  uint64
	stored   map[string]origin.Versions
	// surplusSince is the boot time since which the row has had a version that this host has
	// forgotten; zero if it has none.
	surplusSince time.Duration
}

func newSoftwareRow(h *Host, r *origin.Registry) *softwareRow {
	return &softwareRow{host: h, table: h.platform.Table(taskTable), registry: r}
}

// wasReceived reports whether this host knows the versions that were stored before it
// started.
func (r *softwareRow) wasReceived() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.received
}

// listed records all rows of the table, in which the row may be missing.
func (r *softwareRow) listed(rows []feed.Row) {
	if !slices.ContainsFunc(rows, func(row feed.Row) bool { return row.Key == softwareKey }) {
		r.apply(feed.Row{Key: softwareKey, Removed: true})
	}
}

// apply records the row. The versions in it count when this host receives it for the first
// time; later it learns of versions sooner from the list of targets and from other hosts.
func (r *softwareRow) apply(row feed.Row) {
	stored, err := decodeSoftware(row.Value)
	if err != nil && !row.Removed {
		r.host.log.Warn("software versions of services cannot be decoded; writing them anew", zap.Uint64("row", row.Version), zap.String("error", shorten(err.Error())))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.received {
		for service, versions := range stored {
			r.registry.ObserveStored(service, versions, wire.BootTime())
		}
	}
	r.received, r.version, r.stored = true, row.Version, stored
	if row.Removed {
		r.version = 0
	}
}

// decodeSoftware decodes the row; it returns nil and an error for what no host writes.
func decodeSoftware(value []byte) (map[string]origin.Versions, error) {
	var stored map[string]origin.Versions
	if err := json.Unmarshal(value, &stored); err != nil {
		return nil, err
	}
	for service, versions := range stored {
		tooLong := func(name string) bool { return len(name) > maxStoredNameBytes }
		if len(stored) > maxStoredServices || len(versions.Names) > maxStoredVersions || tooLong(service) || slices.ContainsFunc(versions.Names, tooLong) {
			return nil, &InvalidRowError{Problem: "too many services or versions, or too long a name"}
		}
	}
	return stored, nil
}

// Run writes the row until ctx is cancelled.
func (r *softwareRow) Run(ctx context.Context) error {
	for pause.For(ctx, softwareCheckInterval) == nil {
		if r.missing() == nil || pause.For(ctx, r.host.sharedRowDelay()) != nil {
			continue
		}
		if next := r.missing(); next != nil {
			r.write(ctx, next)
		}
	}
	return nil
}

// missing returns the content that the row should have; nil if it has that, or if this host
// does not write it.
func (r *softwareRow) missing() map[string]origin.Versions {
	if !r.host.members.isContender() {
		return nil
	}
	known := withoutLabels(r.registry.Versions())
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.received || len(known) == 0 {
		return nil
	}
	now := wire.BootTime()
	surplus := r.hasSurplus(known)
	switch {
	case !surplus:
		r.surplusSince = 0
	case r.surplusSince == 0:
		r.surplusSince = now
	}
	if !surplus || now-r.surplusSince < vanishedRemovalDelay {
		known = union(known, r.stored)
	}
	if maps.EqualFunc(known, r.stored, origin.Versions.Equal) {
		return nil
	}
	return known
}

// withoutLabels returns versions in which unlistedStarts stands for the labels of starts.
func withoutLabels(known map[string]origin.Versions) map[string]origin.Versions {
	for service, versions := range known {
		for i, name := range versions.Names {
			versions.Names[i] = sharedName(name)
		}
		slices.Sort(versions.Names)
		versions.Names = slices.Compact(versions.Names)
		if fleet.IsUnlistedSoftware(versions.Base) {
			versions.Base = ""
		}
		known[service] = versions
	}
	return known
}

// hasSurplus reports whether the row has a version of a known service that this host has
// forgotten.
func (r *softwareRow) hasSurplus(known map[string]origin.Versions) bool {
	for service, versions := range r.stored {
		for _, name := range versions.Names {
			if k, ok := known[service]; !ok || !slices.Contains(k.Names, name) {
				return true
			}
		}
	}
	return false
}

// union returns the known versions and the stored ones.
func union(known, stored map[string]origin.Versions) map[string]origin.Versions {
	out := maps.Clone(known)
	for service, s := range stored {
		k := out[service]
		if k.Base == "" {
			k.Base = s.Base
		}
		names := slices.Concat(k.Names, s.Names)
		slices.Sort(names)
		out[service] = origin.Versions{Base: k.Base, Names: slices.Compact(names)}
	}
	return out
}

// write writes the row on the condition that no other host has written it.
func (r *softwareRow) write(ctx context.Context, next map[string]origin.Versions) {
	b, err := json.Marshal(next)
	if err != nil {
		r.host.log.Error("could not encode the software versions of services", zap.Error(err))
		return
	}
	r.mu.Lock()
	op := table.Op{Key: softwareKey, Version: r.version, Value: b}
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, softwareWriteTimeout)
	defer cancel()
	version, err := writeVersion(ctx, r.table, op)
	r.host.log.Info("software versions of services written", zap.ByteString("versions", b), zap.Error(err))
	var conflict *table.ConflictError
	switch {
	case errors.As(err, &conflict), err == nil && version == 0:
		r.read(ctx)
	case err == nil:
		r.apply(feed.Row{Key: softwareKey, Value: b, Version: version})
	}
}

func (r *softwareRow) read(ctx context.Context) {
	rows, err := r.table.Read(ctx, softwareKey)
	if err == nil && len(rows) == 1 {
		r.apply(feed.Row{Key: softwareKey, Value: rows[0].Value, Version: rows[0].Version, Removed: rows[0].Version == 0})
	}
}
