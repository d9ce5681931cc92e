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

// Limits of a pattern, so that a trial fits a workstation.
const (
	maxHosts   = 64
	maxEngines = 200
	maxSeconds = 600
)

// Pattern is a load with what changes during it.
type Pattern struct {
	Name string `toml:"name"`
	// Seconds is the time during which requests are sent.
	Seconds float64 `toml:"seconds"`
	Hosts   int     `toml:"hosts"`
	// Zones lists the availability zones with their regions; hosts and engines are
	// spread over them in turn.
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

// Engines describes the engines.
type Engines struct {
	Count int `toml:"count"`
	// Slots is the number of prompts that an engine runs at once, Queue that of
	// those that wait there.
	Slots int `toml:"slots"`
	Queue int `toml:"queue"`
	// Tokens is the memory for parts of prompts.
	Tokens int `toml:"tokens"`
	// Read is the number of prompt tokens that are read in a millisecond, Step the
	// milliseconds to generate a token, which Slowdown lengthens by its share for
	// each further prompt that runs.
	Read     float64 `toml:"read"`
	Step     float64 `toml:"step"`
	Slowdown float64 `toml:"slowdown"`
}

// Kind is a kind of request.
type Kind struct {
	Name string `toml:"name"`
	// Rate is the mean number of requests a second.
	Rate float64 `toml:"rate"`
	// Subjects is the number of subjects, whose shared parts have Shared tokens
	// each. Skew is the exponent of their popularity; zero makes all alike.
	Subjects int     `toml:"subjects"`
	Skew     float64 `toml:"skew"`
	Shared   []int   `toml:"shared"`
	// Own is the number of tokens of a request's own part, Out that of tokens
	// generated.
	Own int `toml:"own"`
	Out int `toml:"out"`
	// Goal is the time to the first event that counts as in time, Gap the longest
	// pause, Within the time that a caller waits.
	Goal     config.Duration `toml:"goal"`
	Gap      config.Duration `toml:"gap"`
	Within   config.Duration `toml:"within"`
	Priority int             `toml:"priority"`
}

// Kinds of changes.
const (
	// Burst multiplies the rate of a kind.
	Burst = "burst"
	// Lost ends engines; others take their places at the end of the change.
	Lost = "lost"
	// Slow multiplies the times of engines.
	Slow = "slow"
	// Hot sends a share of a kind's requests to one subject.
	Hot = "hot"
)

// Change is something that happens during a load.
type Change struct {
	Kind string          `toml:"kind"`
	At   config.Duration `toml:"at"`
	For  config.Duration `toml:"for"`
	// Of names the kind of request that a burst or a hot subject concerns.
	Of string `toml:"of"`
	// Count is the number of engines concerned.
	Count int `toml:"count"`
	// By is the factor of a burst or of slow engines, or the share of a hot subject.
	By float64 `toml:"by"`
}

// PatternError says what is wrong with a pattern.
type PatternError struct{ Field, Problem string }

// Error names the field and the remedy.
func (e *PatternError) Error() string {
	return fmt.Sprintf("pattern: %s %s; correct the file", e.Field, e.Problem)
}

// Load reads and checks the pattern in a file.
func Load(path string) (Pattern, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Pattern{}, errors.Annotate(err, "read the pattern; name an existing file")
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
		{e.Slots < 1 || e.Queue < 0 || e.Tokens < 1, "engine", "needs slots and tokens above 0 and a queue of 0 or more"},
		{e.Read <= 0 || e.Step <= 0 || e.Slowdown < 0, "engine", "needs read and step above 0 and a slowdown of 0 or more"},
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
	case k.Rate <= 0 || k.Subjects < 1 || k.Skew < 0:
		return &PatternError{Field: "kind " + k.Name, Problem: "needs a rate above 0, a subject and a skew of 0 or more"}
	case k.Own < 1 || k.Out < 1:
		return &PatternError{Field: "kind " + k.Name, Problem: "needs own and out of at least 1"}
	case k.Goal.AsDuration() <= 0 || k.Gap.AsDuration() <= 0 || k.Within.AsDuration() < k.Goal.AsDuration():
		return &PatternError{Field: "kind " + k.Name, Problem: "needs goal and gap, and within not below goal"}
	}
	return nil
}

func (p Pattern) checkChange(c Change) error {
	field := "change " + c.Kind
	switch c.Kind {
	case Burst, Hot:
		if c.By <= 0 || c.Kind == Hot && c.By > 1 {
			return &PatternError{Field: field, Problem: "needs by above 0, for a hot subject at most 1"}
		}
		if !p.hasKind(c.Of) {
			return &PatternError{Field: field, Problem: fmt.Sprintf("concerns %q, which is no kind", c.Of)}
		}
	case Lost, Slow:
		if c.Count < 1 || c.Count > p.Engine.Count || c.Kind == Slow && c.By <= 0 {
			return &PatternError{Field: field, Problem: "needs a count of existing engines, for slow ones also by above 0"}
		}
	default:
		return &PatternError{Field: "change.kind", Problem: fmt.Sprintf("%q is unknown; use burst, lost, slow or hot", c.Kind)}
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

// during reports whether a change is in force at a time of the load.
func (c Change) during(at time.Duration) bool {
	return at >= c.At.AsDuration() && at < c.At.AsDuration()+c.For.AsDuration()
}
