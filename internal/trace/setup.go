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
	// In Flood, one small account sends ten times its share of requests, and in
	// FloodLarge one large account does.
	Flood      Scenario = "flood"
	FloodLarge Scenario = "flood-large"
)

const (
	// prefillTokensPerSecond is the rate of an engine and decodeTokensPerSecond that of
	// each run. They are typical of an 8 billion parameter model on one accelerator.
	prefillTokensPerSecond = 10_000
	decodeTokensPerSecond  = 40
	// batchSize is the number of runs that an engine decodes at once.
	batchSize = 32
	// cacheBlocks is the capacity of an engine's cache: 39 GB at 131 MB per block.
	cacheBlocks = 300
	// storeBlocks is the capacity of a store: 5.2 TB of memory and disk.
	storeBlocks = 40_000
	// storeBytesPerSecond is the rate of a store in each direction: 40 Gbit/s.
	storeBytesPerSecond = 5e9
	// hostsPerZone gives a deployment of three zones 6 hosts.
	hostsPerZone = 2
	// utilization is the share of time that engines spend on prefill if every prompt
	// is prefilled in full. It determines the number of prompts.
	utilization = 0.6
	// floodFactor is the multiple of its share that a flooding account sends.
	floodFactor = 10
	bitsPerByte = 8
)

// Scenario is the name of a fault or load condition.
type Scenario string

// Setup describes the deployment and scenario of a replay.
type Setup struct {
	Document *config.Document
	Scenario Scenario
	// Engines is the number of engines, spread over the zones evenly.
	Engines int
	// ZoneDelay is the one-way delay between zones of a region.
	ZoneDelay time.Duration
	// WarmUp is the time before the measured part of the trace, and Measured is
	// the length of that part.
	WarmUp   time.Duration
	Measured time.Duration
}

// Deployments returns the names of the deployments.
func Deployments() []string { return []string{"enxame-vivo", "borough"} }

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	return []Scenario{Normal, StoreDead, SlowLink, Double, Flood, FloodLarge}
}

// NewSetup returns the setup of a deployment with the sizes in docs/design.md 1.5.
func NewSetup(deployment string, scenario Scenario) (Setup, error) {
	s := Setup{Scenario: scenario, WarmUp: 90 * time.Minute, Measured: time.Hour}
	var data []byte
	switch deployment {
	case "enxame-vivo":
		data, s.Engines, s.ZoneDelay = sample.EnxameVivo, 18, 1500*time.Microsecond
	case "borough":
		data, s.Engines, s.ZoneDelay = sample.Borough, 9, 500*time.Microsecond
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

// FloodingAccount returns the index of the account that sends more than its share in
// a flood scenario: in FloodLarge the first account, which is a large one in all
// configuration documents, and otherwise a small one.
func (s *Setup) FloodingAccount() int {
	if s.Scenario == FloodLarge {
		return 0
	}
	return len(s.Document.Accounts) - 2
}

// linkRate returns the rate of the link between the regions in bytes per second.
func (s *Setup) linkRate() float64 {
	r := s.Document.Links[0].RateMbps * 1e6 / bitsPerByte
	if s.Scenario == SlowLink {
		r /= 10
	}
	return r
}
