package front

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/feed"
	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/gate"
	"sesamehill.example/sesamehill/internal/hail"
	"sesamehill.example/sesamehill/internal/site"
	"sesamehill.example/sesamehill/internal/wire"
)

// Decoder reads rows of the platform's tables.
type Decoder interface {
	Site(value []byte) (*site.Site, error)
	Target(id string, value []byte) (fleet.Target, error)
	// Weights returns false for rows that name no weights.
	Weights(key string, value []byte) (model string, version int, ok bool)
	// SiteKey is the key of the operator's document.
	SiteKey() string
}

// operator follows the operator's table: the document and named weights.
type operator struct {
	decode Decoder
	gate   *gate.Gate
	log    *zap.Logger
	known  atomic.Bool
	onSite func(*site.Site)

	mu sync.Mutex
	// named holds the newest versions of each model, the newest last.
	named map[string][]named
}

// named is a weight version and when this host learned of it.
type named struct {
	version int
	// at is the boot time.
	at time.Duration
	// dated is unset if the weights were named before this host could know.
	dated bool
}

// maxNamed bounds the versions of a model that are remembered.
const maxNamed = 16

// undatedAge is the age of weights that were named before the host started, as
// long as no other host tells it: they may be long overdue.
const undatedAge = time.Hour

func (o *operator) Listed(rows []feed.Row) {
	o.read(rows, o.known.Load())
}

func (o *operator) Changed(rows []feed.Row) { o.read(rows, true) }

// read reads rows; weights named in them have just been named if dated is set.
func (o *operator) read(rows []feed.Row, dated bool) {
	for _, r := range rows {
		if r.Removed {
			continue
		}
		if r.Key == o.decode.SiteKey() {
			o.site(r)
			continue
		}
		if model, version, ok := o.decode.Weights(r.Key, r.Value); ok {
			o.name(model, named{version: version, at: wire.Boot(), dated: dated})
		}
	}
}

func (o *operator) site(r feed.Row) {
	s, err := o.decode.Site(r.Value)
	if err != nil {
		o.log.Warn("site not usable", zap.Uint64("row", r.Version), zap.Error(err))
		return
	}
	if !o.gate.SetSite(s) {
		return
	}
	o.onSite(s)
	o.known.Store(true)
	o.log.Info("site in force", zap.Uint64("site", s.Version), zap.Uint64("row", r.Version), zap.Int("routes", len(s.Routes)))
}

func (o *operator) name(model string, n named) {
	o.mu.Lock()
	defer o.mu.Unlock()
	history := o.named[model]
	if len(history) > 0 {
		newest := history[len(history)-1]
		switch {
		case newest.version > n.version, newest.version == n.version && (newest.dated || !n.dated):
			return
		case newest.version == n.version:
			history = history[:len(history)-1]
		}
	}
	history = append(history, n)
	o.named[model] = history[max(len(history)-maxNamed, 0):]
	o.log.Info(
		"weights named", zap.String("model", model), zap.Int("version", n.version), zap.Bool("dated", n.dated),
		zap.Int64("age", (wire.Boot()-n.at).Milliseconds()),
	)
}

// Ages returns the versions whose age this host knows.
func (o *operator) Ages() map[string]hail.Named {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := wire.Boot()
	out := make(map[string]hail.Named, len(o.named))
	for model, history := range o.named {
		if n := history[len(history)-1]; n.dated {
			out[model] = hail.Named{Version: n.version, Age: (now - n.at).Milliseconds()}
		}
	}
	return out
}

// Heard takes over what another host knows about named weights.
func (o *operator) Heard(model string, n hail.Named) {
	o.name(model, named{version: n.Version, at: wire.Boot() - time.Duration(n.Age)*time.Millisecond, dated: true})
}

func (o *operator) Lost(err error) {
	o.log.Warn("dependency lost", zap.String("table", "operator"), zap.Error(err))
}

func (o *operator) Regained(after time.Duration) {
	o.log.Info("dependency regained", zap.String("table", "operator"), zap.Duration("after", after))
}

// Behind returns how long weights newer than a version have been named; false if
// none have. What counts is the first newer version, not the newest.
func (o *operator) Behind(model string, version int) (time.Duration, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, n := range o.named[model] {
		switch {
		case n.version <= version:
			continue
		case !n.dated:
			return undatedAge, true
		}
		return wire.Boot() - n.at, true
	}
	return 0, false
}

// Models returns the named versions.
func (o *operator) Models() map[string]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make(map[string]int, len(o.named))
	for m, history := range o.named {
		out[m] = history[len(history)-1].version
	}
	return out
}

// lister follows the list of targets.
type lister struct {
	decode Decoder
	fleet  *fleet.Fleet
	log    *zap.Logger
	known  atomic.Bool
}

func (l *lister) Listed(rows []feed.Row) {
	targets := make([]fleet.Target, 0, len(rows))
	for _, r := range rows {
		if t, ok := l.target(r); ok {
			targets = append(targets, t)
		}
	}
	l.fleet.Replace(targets)
	l.known.Store(true)
	l.log.Info("targets listed", zap.Int("targets", len(targets)), zap.Int("rows", len(rows)))
}

func (l *lister) Changed(rows []feed.Row) {
	for _, r := range rows {
		if r.Removed {
			l.fleet.Remove(r.Key)
			continue
		}
		if t, ok := l.target(r); ok {
			l.fleet.Put(t)
		}
	}
}

func (l *lister) target(r feed.Row) (fleet.Target, bool) {
	t, err := l.decode.Target(r.Key, r.Value)
	if err != nil {
		l.log.Warn("target entry not usable", zap.String("target", r.Key), zap.Error(err))
		return t, false
	}
	return t, true
}

func (l *lister) Lost(err error) {
	l.log.Warn("dependency lost", zap.String("table", "targets"), zap.Error(err))
}

func (l *lister) Regained(after time.Duration) {
	l.fleet.Regained()
	l.log.Info("dependency regained", zap.String("table", "targets"), zap.Duration("after", after))
}
