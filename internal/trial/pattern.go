package trial

import (
	"bytes"
	"fmt"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/pelletier/go-toml/v2"

	"sesamehill.example/sesamehill/pkg/config"
)

// Limits of a pattern, so that a trial can run on a workstation.
const (
	maxHosts   = 64
	maxEngines = 200
	maxSeconds = 600
)

// Pattern describes a load and the changes during it.
type Pattern struct {
	Name string `toml:"name"`
	// Seconds is the time during which requests are sent.
	Seconds float64 `toml:"seconds"`
	Hosts   int     `toml:"hosts"`
	// Zones lists the availability zones with their regions. Hosts and engines are
	// assigned to them round robin.
	Zones  []Zone   `toml:"zone"`
	Engine Engines  `toml:"engine"`
	Kinds  []Kind   `toml:"kind"`
	Change []Change `toml:"change"`
}

// Zone is an availability zone.
type Zone struct {
	Name   string `toml:"name"`
	Region string `toml:"region"`
}

// Engines describes the simulated engines, which are all alike.
type Engines struct {
	Count int `toml:"count"`
	// Slots is the number of prompts that an engine runs at once, and Queue the
	// number of prompts that wait for a slot.
	Slots int `toml:"slots"`
	Queue int `toml:"queue"`
	// CacheTokens is the capacity of an engine's cache of prompt parts.
	CacheTokens int `toml:"tokens"`
	// PrefillRate is the number of prompt tokens prefilled per millisecond.
	// StepMillis is the time to generate a token, which each further running prompt
	// increases by the share Slowdown.
	PrefillRate float64 `toml:"read"`
	StepMillis  float64 `toml:"step"`
	Slowdown    float64 `toml:"slowdown"`
}

// Kind describes requests of one kind.
type Kind struct {
	Name string `toml:"name"`
	// Rate is the mean number of requests per second.
	Rate float64 `toml:"rate"`
	// AffinityKeys is the number of affinity keys. SharedTokens lists the sizes of
	// the shared parts of their prompts. Skew is the exponent of the keys' popularity;
	// with zero, all are equally popular.
	AffinityKeys int     `toml:"subjects"`
	Skew         float64 `toml:"skew"`
	SharedTokens []int   `toml:"shared"`
	// OwnTokens is the size of the prompt part that no other request has, and
	// OutputTokens the number of generated tokens.
	OwnTokens    int `toml:"own"`
	OutputTokens int `toml:"out"`
	// An answer is in time if its first event arrives within FirstEventTarget and no
	// pause between events exceeds EventGapTarget. Timeout is how long a caller waits
	// for the whole answer.
	FirstEventTarget config.Duration `toml:"goal"`
	EventGapTarget   config.Duration `toml:"gap"`
	Timeout          config.Duration `toml:"within"`
	Priority         int             `toml:"priority"`
}

// Kinds of changes.
const (
	// Burst multiplies the rate of a kind.
	Burst = "burst"
	// Lost kills engines; new ones replace them at the end of the change.
	Lost = "lost"
	// Slow multiplies the prefill and decode times of engines.
	Slow = "slow"
	// Hot gives a share of a kind's requests the same affinity key.
	Hot = "hot"
)

// Change is a change of the load or of the engines for a limited time.
type Change struct {
	Kind string          `toml:"kind"`
	At   config.Duration `toml:"at"`
	For  config.Duration `toml:"for"`
	// RequestKind names the kind of request that a burst or a hot affinity key concerns.
	RequestKind string `toml:"of"`
	// Count is the number of engines that are lost or slow.
	Count int `toml:"count"`
	// Factor is the multiplier of a burst or of slow engines, or the share of requests
	// with a hot affinity key.
	Factor float64 `toml:"by"`
}

// PatternError reports an invalid field of a pattern.
type PatternError struct{ Field, Problem string }

// Error names the field and the remedy.
func (e *PatternError) Error() string {
	return fmt.Sprintf("pattern: %s %s; correct the file", e.Field, e.Problem)
}

// Load reads and checks the pattern in a file.
func Load(path string) (Pattern, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Pattern{}, errors.Annotate(err, "read the pattern; give the path of an existing file")
	}
	var p Pattern
	if err := toml.NewDecoder(bytes.NewReader(b)).DisallowUnknownFields().Decode(&p); err != nil {
		return Pattern{}, &PatternError{Field: path, Problem: "cannot be decoded: " + err.Error()}
	}
	return p, p.Check()
}

// Check returns a *PatternError if a field is missing or out of range.
func (p Pattern) Check() error {
	e := p.Engine
	for _, c := range []struct {
		bad            bool
		field, problem string
	}{
		{p.Name == "", "name", "is empty"},
		{p.Seconds <= 0 || p.Seconds > maxSeconds, "seconds", fmt.Sprintf("must be above 0 and at most %d", maxSeconds)},
		{p.Hosts < 1 || p.Hosts > maxHosts, "hosts", fmt.Sprintf("must be 1 to %d", maxHosts)},
		{len(p.Zones) == 0, "zone", "is missing"},
		{e.Count < 1 || e.Count > maxEngines, "engine.count", fmt.Sprintf("must be 1 to %d", maxEngines)},
		{e.Slots < 1 || e.Queue < 0 || e.CacheTokens < 1, "engine", "needs slots and tokens above 0 and a queue of 0 or more"},
		{e.PrefillRate <= 0 || e.StepMillis <= 0 || e.Slowdown < 0, "engine", "needs read and step above 0 and a slowdown of 0 or more"},
		{len(p.Kinds) == 0, "kind", "is missing"},
	} {
		if c.bad {
			return &PatternError{Field: c.field, Problem: c.problem}
		}
	}
	for _, k := range p.Kinds {
		if err := k.check(); err != nil {
			return err
		}
	}
	for _, c := range p.Change {
		if err := p.checkChange(c); err != nil {
			return err
		}
	}
	return nil
}

func (k Kind) check() error {
	switch {
	case k.Name == "":
		return &PatternError{Field: "kind.name", Problem: "is empty"}
	case k.Rate <= 0 || k.AffinityKeys < 1 || k.Skew < 0:
		return &PatternError{Field: "kind " + k.Name, Problem: "needs a rate above 0, subjects of at least 1 and a skew of 0 or more"}
	case k.OwnTokens < 1 || k.OutputTokens < 1:
		return &PatternError{Field: "kind " + k.Name, Problem: "needs own and out of at least 1"}
	case k.FirstEventTarget.AsDuration() <= 0 || k.EventGapTarget.AsDuration() <= 0 || k.Timeout.AsDuration() < k.FirstEventTarget.AsDuration():
		return &PatternError{Field: "kind " + k.Name, Problem: "needs goal and gap above 0, and within not below goal"}
	}
	return nil
}

func (p Pattern) checkChange(c Change) error {
	field := "change " + c.Kind
	switch c.Kind {
	case Burst, Hot:
		if c.Factor <= 0 || c.Kind == Hot && c.Factor > 1 {
			return &PatternError{Field: field, Problem: "needs by above 0, and at most 1 for a hot affinity key"}
		}
		if !p.hasKind(c.RequestKind) {
			return &PatternError{Field: field, Problem: fmt.Sprintf("names kind %q in of, which does not exist", c.RequestKind)}
		}
	case Lost, Slow:
		if c.Count < 1 || c.Count > p.Engine.Count || c.Kind == Slow && c.Factor <= 0 {
			return &PatternError{Field: field, Problem: "needs a count from 1 to engine.count, and by above 0 for slow engines"}
		}
	default:
		return &PatternError{Field: "change.kind", Problem: fmt.Sprintf("%q does not exist; use burst, lost, slow or hot", c.Kind)}
	}
	if c.For.AsDuration() <= 0 {
		return &PatternError{Field: field, Problem: "needs for above 0"}
	}
	return nil
}

func (p Pattern) hasKind(name string) bool {
	for _, k := range p.Kinds {
		if k.Name == name {
			return true
		}
	}
	return false
}

// activeAt reports whether the change is in effect at a time since the start of the
// load.
func (c Change) activeAt(at time.Duration) bool {
	return at >= c.At.AsDuration() && at < c.At.AsDuration()+c.For.AsDuration()
}
