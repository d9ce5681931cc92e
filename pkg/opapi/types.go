package opapi

import (
	"time"

	"sesamehill.example/sesamehill/pkg/config"
)

// DrainKind is the kind of object that a drain order applies to.
type DrainKind string

// Kinds of drain orders.
const (
	HostKind   DrainKind = "host"
	TargetKind DrainKind = "target"
)

// State is the state of a host or target.
type State string

// States of hosts and targets.
const (
	Live    State = "live"
	Suspect State = "suspect"
	Leaving State = "leaving"
	Dead    State = "dead"
)

// Change is one accepted change of the configuration document.
type Change struct {
	Revision uint64    `json:"revision"`
	Author   string    `json:"author"`
	Time     time.Time `json:"time"`
	ID       string    `json:"id"`
}

// Status is the state of the deployment as one host sees it.
type Status struct {
	// Host is the host that answered, and Revision the revision that it has applied.
	Host     string `json:"host"`
	Revision uint64 `json:"revision"`
	// Lowest and Highest are the lowest and highest revision that live hosts have
	// applied.
	Lowest  uint64 `json:"lowest"`
	Highest uint64 `json:"highest"`
	// Live is the number of live hosts.
	Live int `json:"live"`
	// Lagging lists the live hosts that have applied a lower revision than Highest.
	Lagging  []string `json:"lagging"`
	Platform Platform `json:"platform"`
}

// Platform states whether the platform's services are reachable.
type Platform struct {
	Reachable bool `json:"reachable"`
	// Since is when Reachable last changed.
	Since time.Time `json:"since"`
	// Reason is the last error if the platform is not reachable.
	Reason string `json:"reason,omitempty"`
}

// Host is one entry host.
type Host struct {
	Name     string `json:"name"`
	Region   string `json:"region"`
	Zone     string `json:"zone"`
	Address  string `json:"address"`
	State    State  `json:"state"`
	Revision uint64 `json:"revision"`
	// Running and Waiting are the numbers of requests in flight and queued.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// Target is an engine, a store or a plain service.
type Target struct {
	Name   string `json:"name"`
	Kind   string `json:"kind"`
	Region string `json:"region"`
	Zone   string `json:"zone"`
	State  State  `json:"state"`
	// Models lists the models that an engine has loaded, as "model@version".
	Models  []string `json:"models"`
	Running int      `json:"running"`
	Waiting int      `json:"waiting"`
	// Age is the age of the last load report in milliseconds, or -1 if there is
	// none.
	Age int64 `json:"age"`
}

// Link is one paid link between regions as one host sees it.
type Link struct {
	From string `json:"from"`
	To   string `json:"to"`
	// Rate is the configured capacity and Measured the measured capacity, in
	// Mbit/s.
	Rate     float64 `json:"rate"`
	Measured float64 `json:"measured"`
	// Use is the fraction of the configured rate that is in use, from 0 to 1.
	Use float64 `json:"use"`
	// Bytes is the number of bytes sent since the host started.
	Bytes uint64 `json:"bytes"`
}

// Rollout is the progress of a model towards the version that the configuration
// document states.
type Rollout struct {
	Model   string          `json:"model"`
	Version string          `json:"version"`
	Ready   int             `json:"ready"`
	Total   int             `json:"total"`
	Done    bool            `json:"done"`
	Targets []RolloutTarget `json:"targets"`
}

// RolloutTarget is one target of a rollout.
type RolloutTarget struct {
	Name string `json:"name"`
	// Loaded is the version in memory, or empty if there is none.
	Loaded string `json:"loaded"`
	// Phase is "waiting", "loading", "ready" or "failed".
	Phase string `json:"phase"`
}

// Vars are the metrics of one host since its start.
type Vars struct {
	First Percentiles `json:"first"`
	// Recomputed is the fraction of the tokens of returning prompts that were
	// prefilled again instead of served from KV cache, from 0 to 1.
	Recomputed float64 `json:"recomputed"`
	// Cross is the number of bytes sent over links between regions.
	Cross uint64 `json:"cross"`
	// Use is the largest Link.Use of all links, from 0 to 1.
	Use float64 `json:"use"`
}

// Percentiles holds percentiles of the time to first token in milliseconds.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
}

// Document is a configuration document in TOML and its revision.
type Document struct {
	Revision uint64 `json:"revision"`
	Text     string `json:"text"`
}

// Commit is the request to change the configuration document. It takes effect only
// if Base is the current revision at the platform. A request that repeats an ID is
// applied at most once.
type Commit struct {
	Base uint64 `json:"base"`
	Text string `json:"text"`
	ID   string `json:"id"`
}

// Preview holds the differences between a document and the one in force.
type Preview struct {
	Revision uint64          `json:"revision"`
	Faults   []config.Fault  `json:"faults"`
	Warnings []config.Fault  `json:"warnings"`
	Effects  []config.Effect `json:"effects"`
}

// CommitResult is the response to a Commit.
type CommitResult struct {
	Revision uint64 `json:"revision"`
	ID       string `json:"id"`
}

// DrainOrder is the request to drain a host or target.
type DrainOrder struct {
	Kind DrainKind `json:"kind"`
	Name string    `json:"name"`
}
