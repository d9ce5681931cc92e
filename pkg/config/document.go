package config

// Document is the configuration document of one deployment.
type Document struct {
	Deployment Deployment `toml:"deployment" cbor:"deployment" json:"deployment"`
	Weights    Weights    `toml:"weights" cbor:"weights" json:"weights"`
	Limits     Limits     `toml:"limits" cbor:"limits" json:"limits"`
	Regions    []Region   `toml:"region" cbor:"region" json:"region"`
	Links      []Link     `toml:"link,omitempty" cbor:"link" json:"link"`
	Models     []Model    `toml:"model" cbor:"model" json:"model"`
	Services   []Service  `toml:"service,omitempty" cbor:"service" json:"service"`
	Accounts   []Account  `toml:"account" cbor:"account" json:"account"`
}

// Deployment holds the name of the deployment and the size of its KV blocks.
type Deployment struct {
	Name string `toml:"name" cbor:"name" json:"name"`
	// BlockTokens is the number of prompt tokens in one KV block.
	BlockTokens int `toml:"piece" cbor:"piece" json:"piece"`
	// BlockBytes is the size of one KV block in bytes.
	BlockBytes int64 `toml:"block" cbor:"block" json:"block"`
}

// Weights are the cost weights of the placement decision.
type Weights struct {
	// FirstToken is the cost of one second of time to first token.
	FirstToken float64 `toml:"first" cbor:"first" json:"first"`
	// Recompute is the cost of 1,000 recomputed tokens.
	Recompute float64 `toml:"recompute" cbor:"recompute" json:"recompute"`
	// LinkTraffic is the cost of one MB sent over a link between regions.
	LinkTraffic float64 `toml:"bytes" cbor:"bytes" json:"bytes"`
}

// Limits bound what one host accepts.
type Limits struct {
	// Body is the largest request body in bytes.
	Body int `toml:"body" cbor:"body" json:"body"`
	// Prompt is the largest prompt in tokens.
	Prompt int `toml:"prompt" cbor:"prompt" json:"prompt"`
	// QueueLength is the number of requests that may wait at one host.
	QueueLength int `toml:"queue" cbor:"queue" json:"queue"`
	// MaxWait is the longest time that a request waits for a target.
	MaxWait Duration `toml:"wait" cbor:"wait" json:"wait"`
}

// Region is a set of availability zones.
type Region struct {
	Name  string   `toml:"name" cbor:"name" json:"name"`
	Zones []string `toml:"zones" cbor:"zones" json:"zones"`
}

// Link is a paid link between two regions. Its rate applies in each direction.
type Link struct {
	From string `toml:"from" cbor:"from" json:"from"`
	To   string `toml:"to" cbor:"to" json:"to"`
	// RateMbps is the capacity in each direction in Mbit/s.
	RateMbps float64 `toml:"rate" cbor:"rate" json:"rate"`
	// Delay is the one-way delay.
	Delay Duration `toml:"delay" cbor:"delay" json:"delay"`
}

// Model is a model, the weight version that new requests use, and its adapters.
type Model struct {
	Name     string   `toml:"name" cbor:"name" json:"name"`
	Version  string   `toml:"version" cbor:"version" json:"version"`
	Adapters []string `toml:"adapters,omitempty" cbor:"adapters" json:"adapters"`
	// MaxConcurrentLoads is the largest number of targets that load weights at the
	// same time.
	MaxConcurrentLoads int `toml:"loads" cbor:"loads" json:"loads"`
	// Targets names the engines that serve the model; an empty list means all.
	Targets []string `toml:"targets,omitempty" cbor:"targets" json:"targets"`
}

// Service is a plain service. Its calls are non-idempotent unless Idempotent is
// set; Paths lists exceptions by path prefix.
type Service struct {
	Name       string `toml:"name" cbor:"name" json:"name"`
	Idempotent bool   `toml:"idempotent" cbor:"idempotent" json:"idempotent"`
	Paths      []Path `toml:"path,omitempty" cbor:"path" json:"path"`
}

// Path overrides Service.Idempotent for calls below a path prefix.
type Path struct {
	Prefix     string `toml:"prefix" cbor:"prefix" json:"prefix"`
	Idempotent bool   `toml:"idempotent" cbor:"idempotent" json:"idempotent"`
}

// Account is one client account.
type Account struct {
	Name string `toml:"name" cbor:"name" json:"name"`
	// Keys are the hashes of the account's API keys, as HashKey returns them.
	Keys     []string `toml:"keys" cbor:"keys" json:"keys"`
	Models   []string `toml:"models" cbor:"models" json:"models"`
	Services []string `toml:"services,omitempty" cbor:"services" json:"services"`
	// Rate is the largest number of requests a second, summed over all hosts.
	Rate float64 `toml:"rate" cbor:"rate" json:"rate"`
	// Concurrency is the largest number of requests in flight, summed over all
	// hosts.
	Concurrency int `toml:"concurrency" cbor:"concurrency" json:"concurrency"`
	// Priority orders requests at the engines; higher values run first.
	Priority int `toml:"priority" cbor:"priority" json:"priority"`
	// Regions, Zones and Stores restrict where KV cache of the account may be
	// stored; an empty list means no restriction.
	Regions []string `toml:"regions,omitempty" cbor:"regions" json:"regions"`
	Zones   []string `toml:"zones,omitempty" cbor:"zones" json:"zones"`
	Stores  []string `toml:"stores,omitempty" cbor:"stores" json:"stores"`
}
