// Package trace replays a seeded trace of returning prompts against the
// placement code of the hosts and compares policies.
//
// The replay is a discrete-event simulation: it drives internal/admit,
// internal/index and internal/route with simple queue models of engines, stores
// and links. There are no processes, no network and no membership protocol. The same trace and the same random choices are used for
// every policy, so a run with a given seed is reproducible.
//
// # Models
//
// An engine prefills one prompt at a time at a fixed rate, in order of priority
// and then of arrival, decodes up to a batch of runs at a fixed rate each, and
// keeps KV blocks in a cache with LRU eviction. Each direction of a store and of a
// link between regions is a FIFO pipe with a rate and a delay. Load reports and
// cache events reach the hosts after a delay. Each host adds its own dispatches
// since the last report but does not see those of other hosts.
//
// # Usage
//
//	setup, err := trace.NewSetup("enxame-vivo", trace.Normal)
//	results := trace.Run(setup, seed, trace.Policies())
package trace
