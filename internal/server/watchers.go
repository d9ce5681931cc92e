package server

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/feed"
	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/opconf"
	"sesamehill.example/sesamehill/internal/proxy"
	"sesamehill.example/sesamehill/internal/safego"
	"sesamehill.example/sesamehill/internal/table"
	"sesamehill.example/sesamehill/internal/verlog"
	"sesamehill.example/sesamehill/internal/wire"
)

// Decoder decodes rows of the platform's tables.
type Decoder interface {
	// Config decodes an operator configuration.
	Config(value []byte) (*opconf.Config, error)
	// Target decodes an entry of the list of targets.
	Target(id string, value []byte) (fleet.Target, error)
	// Weights returns false for rows that do not announce weights.
	Weights(key string, value []byte) (model string, version int, ok bool)
	// EvacuatedZone returns the zone that a row evacuates while it exists, by the key of the
	// row; false for other rows.
	EvacuatedZone(key string) (zone string, ok bool)
	// ConfigKey returns the key of the row with the operator configuration.
	ConfigKey() string
}

// configWatcher follows the operator's table, which holds the operator configuration
// and announces weight versions.
type configWatcher struct {
	decoder Decoder
	proxy   *proxy.Proxy
	log     *zap.Logger
	// received is set once a configuration was applied.
	received atomic.Bool
	// onConfig is called with each configuration that was applied.
	onConfig func(*opconf.Config)

	applyMu sync.Mutex // serializes configurations from the platform and other hosts
	// document is the active operator configuration as the operator wrote it, and
	// documentVersion its version.
	document        []byte
	documentVersion uint64

	versions *verlog.Log
	// onVersion is called after what is known of a weight version has changed.
	onVersion func()
	clock     *table.Clock
	// unread are the evacuations in the rows received since the last call of recordEvacuations.
	unread unreadEvacuations
	// currentAt is the boot time at which the rows received so far were last known to be
	// all there are; zero before the first read.
	currentAt atomic.Int64
	// failedAt returns the boot time at which the last failed read started; zero if none
	// has failed.
	failedAt func() time.Duration
}

// Listed applies all rows of the table.
func (c *configWatcher) Listed(rows []feed.Row) {
	c.unread = unreadEvacuations{listed: true}
	c.Changed(rows)
}

// Changed applies the rows that have changed.
func (c *configWatcher) Changed(rows []feed.Row) {
	applyEach(c.log, "operator", rows, func(r feed.Row) {
		if zone, ok := c.decoder.EvacuatedZone(r.Key); ok {
			c.unread.add(zone, r)
			return
		}
		if r.Removed {
			return
		}
		if r.Key == c.decoder.ConfigKey() {
			c.applyConfig(r)
			return
		}
		if model, version, ok := c.decoder.Weights(r.Key, r.Value); ok {
			c.recordRow(model, version, r)
		}
	})
}

// recordRead records the boot time at which the rows received so far were known to be all
// there are.
func (c *configWatcher) recordRead(currentAt time.Duration) { c.currentAt.Store(int64(currentAt)) }

// applyConfig applies the operator configuration of a row.
func (c *configWatcher) applyConfig(r feed.Row) {
	source := "row " + r.Position().String()
	if err := c.applyDocument(r.Value, source); err != nil {
		c.log.Warn("operator configuration is invalid; keeping the active version", zap.String("source", source), zap.Error(err))
	}
}

// applyDocument decodes an operator configuration and applies it, unless a newer one is
// active. The platform may show an older one again after it has returned from a copy.
func (c *configWatcher) applyDocument(document []byte, source string) error {
	s, err := c.decoder.Config(document)
	if err != nil {
		return err
	}
	c.applyMu.Lock()
	defer c.applyMu.Unlock()
	if !c.proxy.SetConfig(s) {
		if s.Version < c.documentVersion {
			c.log.Warn(
				"operator configuration is older than the active one; keeping the active one", zap.Uint64("site", s.Version),
				zap.Uint64("active", c.documentVersion), zap.String("source", source),
			)
		}
		return nil
	}
	c.document, c.documentVersion = document, s.Version
	c.onConfig(s)
	c.received.Store(true)
	c.log.Info("operator configuration applied", zap.Uint64("site", s.Version), zap.String("source", source), zap.Int("routes", len(s.Routes)))
	return nil
}

// version returns the version of the active operator configuration; zero before the first.
func (c *configWatcher) version() uint64 {
	if s := c.proxy.Config(); s != nil {
		return s.Version
	}
	return 0
}

// newerDocument returns the active operator configuration as the operator wrote it; nil
// unless it is newer than a version.
func (c *configWatcher) newerDocument(version uint64) []byte {
	c.applyMu.Lock()
	defer c.applyMu.Unlock()
	if c.documentVersion <= version {
		return nil
	}
	return c.document
}

// recordRow records the weight version that a row announces. Without the time of the
// change it may have been announced at any time since the last read of the table. A read
// that failed bounds it too: if the store took the announcement before, and answered
// other hosts, they report its date. If it answered none, the engines stay in use until
// the limit after its return, as nothing else could serve requests then. The start of the
// read counts, as a read also fails when the host is paused.
func (c *configWatcher) recordRow(model string, version int, r feed.Row) {
	v := verlog.Version{Number: version}
	switch newest := c.versions.Newest()[model]; {
	case version == newest.Number && newest.AtMs > 0:
		v.AtMs = r.AtMs // counts if it is the older date
	case version <= newest.Number: // announced before this change of the row
	case r.AtMs > 0:
		v.AtMs, v.Previous = r.AtMs, newest.Number
	default:
		v.NotBeforeMs = c.lastReadMs()
	}
	c.record(model, v, "table")
}

// lastReadMs returns the time of the last read, or the start of the last failed one, on the
// platform's clock; zero if none succeeded or the clock is not known.
func (c *configWatcher) lastReadMs() int64 {
	now, ok := c.clock.Now()
	at := time.Duration(c.currentAt.Load())
	if !ok || at == 0 {
		return 0
	}
	at = max(at, c.failedAt())
	return now - (wire.BootTime() - at).Milliseconds()
}

// record records what a source, the table or another host, says of a weight version.
func (c *configWatcher) record(model string, v verlog.Version, source string) {
	if !c.versions.Record(model, v) {
		return
	}
	age := c.versions.Superseded(model, v.Number-1)
	c.log.Info(
		"weights announced", zap.String("model", model), zap.Int("version", v.Number), zap.Bool("dated", age.Dated),
		zap.Int64("age", age.For.Milliseconds()), zap.String("source", source),
	)
	c.onVersion()
}

// Unavailable logs that the table cannot be read.
func (c *configWatcher) Unavailable(err error) {
	c.log.Warn("platform table cannot be read", zap.String("table", "operator"), zap.Error(err))
}

// Recovered logs that the table can be read again.
func (c *configWatcher) Recovered(after time.Duration) {
	c.log.Info("platform table can be read again", zap.String("table", "operator"), zap.Duration("after", after))
}

// latestVersions returns the newest announced version of each model.
func (c *configWatcher) latestVersions() map[string]int {
	newest := c.versions.Newest()
	out := make(map[string]int, len(newest))
	for model, v := range newest {
		out[model] = v.Number
	}
	return out
}

// targetWatcher follows the platform's list of targets.
type targetWatcher struct {
	decoder Decoder
	fleet   *fleet.Fleet
	log     *zap.Logger
	// received is set once the list was read.
	received atomic.Bool
	// platformEra returns the era of the platform, and era is that of the last list.
	platformEra func() uint64
	era         uint64
}

// Listed replaces all targets. A list of a new era of the platform is that of a copy.
func (w *targetWatcher) Listed(rows []feed.Row) {
	if era := w.platformEra(); era != w.era {
		if w.received.Load() {
			w.fleet.ListRestored()
			w.log.Warn("list of targets was restored from an earlier copy", zap.Uint64("era", era), zap.Int("rows", len(rows)))
		}
		w.era = era
	}
	targets := make([]fleet.Target, 0, len(rows))
	var invalid []string
	for _, r := range rows {
		if t, ok := w.decodeTarget(r); ok {
			targets = append(targets, t)
		} else {
			invalid = append(invalid, r.Key)
		}
	}
	w.fleet.Replace(targets)
	for _, key := range invalid {
		w.fleet.Discard(key)
	}
	w.received.Store(true)
	w.log.Info("list of targets read", zap.Int("targets", len(targets)), zap.Int("rows", len(rows)))
}

// Changed applies the entries that have changed. An entry that has become invalid names
// no target any more.
func (w *targetWatcher) Changed(rows []feed.Row) {
	for _, r := range rows {
		if r.Removed {
			w.fleet.Remove(r.Key)
			continue
		}
		if t, ok := w.decodeTarget(r); ok {
			w.fleet.Put(t)
		} else {
			w.fleet.Discard(r.Key)
		}
	}
}

// decodeTarget decodes an entry; false if it names no target.
func (w *targetWatcher) decodeTarget(r feed.Row) (t fleet.Target, ok bool) {
	safego.Do(w.log, "targets", func() {
		var err error
		if t, err = w.decoder.Target(r.Key, r.Value); err != nil {
			w.log.Warn("entry of a target is invalid; it names no target until its writer corrects it", zap.String("target", shorten(r.Key)), zap.Error(err))
		}
		ok = err == nil
	})
	return t, ok
}

// Unavailable logs that the list cannot be read.
func (w *targetWatcher) Unavailable(err error) {
	w.log.Warn("platform table cannot be read", zap.String("table", "targets"), zap.Error(err))
}

// Recovered records that the list can be read again.
func (w *targetWatcher) Recovered(after time.Duration) {
	w.fleet.ListRecovered()
	w.log.Info("platform table can be read again", zap.String("table", "targets"), zap.Duration("after", after))
}
