package server

import (
	"time"

	"sesamehill.example/sesamehill/internal/gossip"
	"sesamehill.example/sesamehill/internal/verlog"
	"sesamehill.example/sesamehill/internal/wire"
)

// replacedReportWindow is the age up to which versions that were desired before the newest
// ones are sent to other hosts. It exceeds the bound on requests; older ones count as old
// without a date.
const replacedReportWindow = 30 * time.Second

// OutdatedFor returns for how long weights newer than a version have been announced, and
// false if there are none.
func (h *Host) OutdatedFor(model string, version int) (time.Duration, bool) {
	age := h.versions.Superseded(model, version)
	return age.For, age.Superseded
}

// DesiredVersions returns the newest weight versions whose announcement is dated.
func (h *Host) DesiredVersions() map[string]gossip.DesiredVersion {
	out := map[string]gossip.DesiredVersion{}
	for model, v := range h.versions.Newest() {
		if v.AtMs > 0 {
			out[model] = h.desiredVersion(v)
		}
	}
	return out
}

// ReplacedVersions returns the dated weight versions that were desired recently before the
// newest ones.
func (h *Host) ReplacedVersions() map[string][]gossip.DesiredVersion {
	var out map[string][]gossip.DesiredVersion
	newest := h.versions.Newest()
	for model, versions := range h.versions.Dated(replacedReportWindow) {
		for _, v := range versions {
			if v.Number == newest[model].Number {
				continue
			}
			if out == nil {
				out = map[string][]gossip.DesiredVersion{}
			}
			out[model] = append(out[model], h.desiredVersion(v))
		}
	}
	return out
}

// desiredVersion returns the wire form of a dated version.
func (h *Host) desiredVersion(v verlog.Version) gossip.DesiredVersion {
	return gossip.DesiredVersion{
		Version: v.Number, AgeMs: h.clock.Since(v.AtMs).Milliseconds(), AtMs: v.AtMs, Previous: v.Previous,
		KnownMs: (wire.BootTime() - v.KnownAt).Milliseconds(),
	}
}

// RecordDesired records a weight version that another host has reported, and that the other
// host acknowledges it.
func (h *Host) RecordDesired(host, model string, n gossip.DesiredVersion) {
	h.RecordReplaced(host, model, n)
	h.leasedTask.recordAck(host, model, n)
}

// RecordReplaced records a weight version that another host has reported as desired before
// the newest one.
func (h *Host) RecordReplaced(host, model string, n gossip.DesiredVersion) {
	v := verlog.Version{Number: n.Version, Previous: n.Previous, AtMs: n.AtMs}
	if now, ok := h.clock.Now(); ok && v.AtMs <= 0 {
		v.AtMs = now - n.AgeMs // hosts of the previous release state the age only
	}
	h.config.record(model, v, host)
}
