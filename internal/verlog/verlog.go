// Package verlog keeps when weight versions were announced.
//
// A request may not start on weights that were replaced longer ago than a bound, counted
// from the announcement of the first version that the engine lacks. A host that has
// started, been paused or been cut off since then has not seen the announcement, so the
// dates are times on the platform's clock, hosts exchange the latest ones, and of two
// dates for one version the older one counts. A version without a date counts as old.
//
// # Usage
//
//	l := verlog.New(clock.Now)
//	l.Record("m", verlog.Version{Number: 3, Previous: 2, AtMs: 81234})
//	age := l.Superseded("m", 2)
//
// # Units
//
// Times are milliseconds on the clock of the platform's store.
package verlog

import (
	"slices"
	"sync"
	"time"

	"sesamehill.example/sesamehill/internal/wire"
)

// MaxVersions is the largest number of versions that are kept for a model.
const MaxVersions = 16

// MaxNumber is the greatest number of a version. A greater one, in a row or a message that
// no host or operator writes, would hide all later versions.
const MaxNumber = 1<<31 - 1

// MaxAge is the age that is assumed for versions that may have been announced at any time.
const MaxAge = time.Hour

// Version is an announced weight version of a model.
type Version struct {
	Number int
	// Previous is the version that it replaced; zero if unknown. There may then have been
	// versions in between that no host has dated.
	Previous int
	// AtMs is the time of the announcement; zero if unknown.
	AtMs int64
	// NotBeforeMs bounds the time of the announcement while AtMs is zero; zero if nothing
	// is known.
	NotBeforeMs int64
	// KnownAt is the boot time at which this host recorded the version. Record sets it.
	KnownAt time.Duration
}

// Age is how long a weight version has been superseded.
type Age struct {
	// Superseded is set if a newer version is known.
	Superseded bool
	// For is the time since the announcement of the first newer version, or the longest
	// possible one if Dated is unset.
	For time.Duration
	// Dated is set if the time of that announcement is known.
	Dated bool
}

// Log holds the latest versions of each model. It is safe for concurrent use.
type Log struct {
	platformTime func() (int64, bool)
	now          func() time.Duration

	mu sync.Mutex
	// models holds the versions of each model by ascending number.
	models map[string][]Version
}

// Option changes a default of New.
type Option func(*Log)

// WithBootClock sets the boot clock.
func WithBootClock(now func() time.Duration) Option { return func(l *Log) { l.now = now } }

// New returns an empty log. It calls platformTime for the time of the platform's store,
// which returns false while that is unknown and must not call the log.
func New(platformTime func() (int64, bool), opts ...Option) *Log {
	l := &Log{platformTime: platformTime, now: wire.BootTime, models: map[string][]Version{}}
	for _, o := range opts {
		o(l)
	}
	return l
}

// Record records a version, or what is new about a known one: a date, an older date, or
// the version that it replaced. It reports whether anything was new.
func (l *Log) Record(model string, v Version) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if v.Number <= 0 {
		return false
	}
	versions := l.models[model]
	i, known := slices.BinarySearchFunc(versions, v.Number, func(have Version, number int) int { return have.Number - number })
	if known {
		return versions[i].merge(v)
	}
	v.KnownAt = l.now()
	versions = slices.Insert(versions, i, v)
	l.models[model] = versions[max(len(versions)-MaxVersions, 0):]
	return true
}

// merge adds what another record of the same version says. It reports whether anything was
// new.
func (v *Version) merge(other Version) bool {
	before := *v
	if other.AtMs > 0 && (v.AtMs == 0 || other.AtMs < v.AtMs) {
		v.AtMs = other.AtMs
	}
	v.Previous = max(v.Previous, other.Previous)
	return *v != before
}

// Newest returns the newest version of each model.
func (l *Log) Newest() map[string]Version {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]Version, len(l.models))
	for model, versions := range l.models {
		out[model] = versions[len(versions)-1]
	}
	return out
}

// Dated returns the versions with a date that is at most maxAge old, by model and
// ascending number.
func (l *Log) Dated(maxAge time.Duration) map[string][]Version {
	out := map[string][]Version{}
	now, ok := l.platformTime()
	if !ok {
		return out
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for model, versions := range l.models {
		for _, v := range versions {
			if v.AtMs > 0 && now-v.AtMs <= maxAge.Milliseconds() {
				out[model] = append(out[model], v)
			}
		}
	}
	return out
}

// Superseded returns how long a version of a model has been superseded. The first newer
// version counts, not the newest: an engine that lacks several versions has been outdated
// since the first of them.
func (l *Log) Superseded(model string, number int) Age {
	l.mu.Lock()
	defer l.mu.Unlock()
	versions := l.models[model]
	i, _ := slices.BinarySearchFunc(versions, number+1, func(have Version, number int) int { return have.Number - number })
	if i == len(versions) {
		return Age{}
	}
	// Placement calls this for each engine and request, mostly with the newest version.
	now, ok := l.platformTime()
	first := versions[i]
	notBefore := first.NotBeforeMs
	if i > 0 {
		notBefore = max(notBefore, versions[i-1].AtMs)
	}
	exact := first.AtMs > 0 && first.follows(number)
	switch {
	case !ok || !exact && notBefore == 0:
		return Age{Superseded: true, For: MaxAge}
	case exact:
		notBefore = first.AtMs
	}
	return Age{Superseded: true, For: time.Duration(max(now-notBefore, 0)) * time.Millisecond, Dated: exact}
}

// follows reports whether no version can have been announced between the given one and v.
func (v Version) follows(number int) bool {
	return v.Number == number+1 || v.Previous > 0 && v.Previous <= number
}
