package fleet_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/tools/txtar"

	"sesamehill.example/sesamehill/internal/fleet"
)

// Guards against a target that gets more than it takes while it is cold, and one that is held
// back when it is not. The cases are in testdata/cold.txtar.
func TestCold(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/cold.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, script := range archive.Files {
		t.Run(script.Name, func(t *testing.T) {
			c := newColdScript(t)
			for line := range strings.Lines(string(script.Data)) {
				c.run(strings.Fields(line))
			}
		})
	}
}

// coldScript plays commands about cold targets.
type coldScript struct {
	*testing.T
	now   time.Duration
	fleet *fleet.Fleet
	// attempt is the one that "begin" began.
	attempt *fleet.Attempt
}

var outcomes = map[string]fleet.Outcome{"unreachable": fleet.Unreachable, "served": fleet.Served}

func newColdScript(t *testing.T) *coldScript {
	c := &coldScript{T: t}
	c.fleet = fleet.New(
		fleet.WithClock(func() time.Duration { return c.now }),
		fleet.WithColdness(func(string) fleet.Coldness { return fleet.Coldness{Time: 3 * time.Second, PerSecond: 10} }),
	)
	return c
}

func (c *coldScript) run(words []string) {
	c.now = time.Minute + c.duration(words[0])
	id, start, _ := strings.Cut(words[2], ",start=")
	switch words[1] {
	case "list":
		var targets []fleet.Target
		for _, text := range words[2:] {
			targets = append(targets, c.target(text))
		}
		c.fleet.Replace(targets)
	case "put":
		c.fleet.Put(c.target(words[2]))
	case "says":
		c.fleet.RecordCold(id, c.number(start), c.duration(words[3]))
	case "assume":
		c.fleet.AssumeCold(id)
	case "end":
		c.fleet.Begin(id, fleet.InFlight{}).End(outcomes[words[3]])
	case "begin":
		c.attempt = c.fleet.Begin(id, fleet.InFlight{})
	case "finish":
		c.attempt.End(outcomes[words[3]])
	case "probe":
		for _, t := range c.fleet.DueProbes() {
			if t.ID == id {
				c.fleet.RecordProbe(t, true)
			}
		}
	case "names":
		s, _ := c.fleet.Get(id)
		c.fleet.RecordRateLimit(id, s.StartedAtMs, float64(c.number(words[3])))
	case "limit":
		s, _ := c.fleet.Get(id)
		got := "none"
		if s.RateLimit != fleet.Unlimited {
			got = fmt.Sprint(s.RateLimit)
		}
		if want := words[4]; got != want {
			c.Errorf("%s: limit of %s is %s, want %s", words[0], id, got, want)
		}
	default:
		c.Fatalf("unknown command %q", words[1])
	}
}

// target reads ID,start=MS,warmup=TIME.
func (c *coldScript) target(text string) fleet.Target {
	fields := strings.Split(text, ",")
	return fleet.Target{
		ID: fields[0], Service: "s", Address: "10.0.0.1:80", Zone: "z", Slots: 4,
		StartedAtMs: c.number(strings.TrimPrefix(fields[1], "start=")),
		WarmupLeft:  c.duration(strings.TrimPrefix(fields[2], "warmup=")),
	}
}

func (c *coldScript) duration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		c.Fatal(err)
	}
	return d
}

func (c *coldScript) number(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		c.Fatal(err)
	}
	return n
}
