package trace

import (
	"fmt"
	"slices"
	"time"

	"github.com/juju/errors"

	sample "sesamehill.example/sesamehill/examples"
	"sesamehill.example/sesamehill/pkg/config"
)

// Scenarios of a replay.
const (
	Normal    Scenario = "normal"
	StoreDead Scenario = "store-dead"
	SlowLink  Scenario = "slow-link"
	Double    Scenario = "double"
	// Flood makes one small account send ten times its share, and FloodLarge
	// one large account.
	Flood      Scenario = "flood"
	FloodLarge Scenario = "flood-large"
)

const (
	// prefillRate and decodeRate are tokens a second of an engine and of each
	// run, typical of an 8 billion parameter model on one accelerator.
	prefillRate = 10_000
	decodeRate  = 40
	// batchSize is the number of runs that an engine decodes at once.
	batchSize = 32
	// cachePieces is the engine's cache: 39 GB at 131 MB a piece.
	cachePieces = 300
	// storePieces is the capacity of a store: 5.2 TB of memory and disk.
	storePieces = 40_000
	// storeRate is the rate of a store in each direction in bytes a second:
	// 40 Gbit/s.
	storeRate = 5e9
	// hostsPerZone gives the 6 hosts of a deployment.
	hostsPerZone = 2
	// utilization is the busy share of the engines if every prompt is computed
	// in full; the number of prompts follows from it.
	utilization = 0.6
	// floodFactor is how many times its share a flooding account sends.
	floodFactor = 10
	bitsPerByte = 8
)

// Scenario names what differs from normal operation.
type Scenario string

// Setup is what a replay runs on.
type Setup struct {
	Document *config.Document
	Scenario Scenario
	// Engines is the number of engines, spread over the zones evenly.
	Engines int
	// Local is the one-way delay between zones of a region.
	Local time.Duration
	// Warm is the time before the measured part of the trace, and Measured is
	// the length of that part.
	Warm     time.Duration
	Measured time.Duration
}

// Deployments returns the names of the deployments.
func Deployments() []string { return []string{"enxame-vivo", "borough"} }

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	return []Scenario{Normal, StoreDead, SlowLink, Double, Flood, FloodLarge}
}

// NewSetup returns the setup of a deployment as docs/design.md 1.5 sizes it.
func NewSetup(deployment string, scenario Scenario) (Setup, error) {
	s := Setup{Scenario: scenario, Warm: 90 * time.Minute, Measured: time.Hour}
	var data []byte
	switch deployment {
	case "enxame-vivo":
		data, s.Engines, s.Local = sample.EnxameVivo, 18, 1500*time.Microsecond
	case "borough":
		data, s.Engines, s.Local = sample.Borough, 9, 500*time.Microsecond
	default:
		return s, fmt.Errorf("deployment %q does not exist; use one of %v", deployment, Deployments())
	}
	if !slices.Contains(Scenarios(), scenario) {
		return s, fmt.Errorf("scenario %q does not exist; use one of %v", scenario, Scenarios())
	}
	doc, err := config.ParseDocument(deployment+".toml", data)
	s.Document = doc
	return s, errors.Trace(err)
}

// Flooding returns the account that sends more than its share in a flood: a large
// one in FloodLarge, which the documents list first, and else a small one.
func (s *Setup) Flooding() int {
	if s.Scenario == FloodLarge {
		return 0
	}
	return len(s.Document.Accounts) - 2
}

// linkRate returns the bytes a second of the link between the regions.
func (s *Setup) linkRate() float64 {
	r := s.Document.Links[0].RateMbps * 1e6 / bitsPerByte
	if s.Scenario == SlowLink {
		r /= 10
	}
	return r
}
