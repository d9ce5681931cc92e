// Package stash decides how requests use stores of kept prompt state.
//
// A Catalog holds what each store's own events and lists say is complete there.
// What it says about a store is believed only for a short time after the store
// was heard, and a store that has restarted takes nothing for longer than such a
// belief and a fetch can last. So no fetch meets a part that is being written
// again after a restart, although hosts never ask each other.
//
// Shared parts are saved once, in a store of the region of the engine that reads
// them, and are fetched from there by whichever engine needs them. The last part
// of a prompt belongs to its session and is not saved.
//
// # Usage
//
//	c := stash.NewCatalog(regions)
//	c.Describe(current)                       // stores of the site in force
//	c.Listed(address, stash.Listing{...})     // after a list
//	c.Heard(address, stash.Events{...})       // after each long poll
//	state := c.Plan(prompt, scope, version, target)
package stash
