// Package kvcat decides how requests use the stores of KV cache entries.
//
// A Catalog records which prompt parts are complete in each store, according to the
// events and listings of the store itself. The state of a store expires a short time
// after the last successful poll. After a restart, a store is sent no saves for longer
// than an old state and a fetch based on it can last. This way no fetch meets a part
// that is being written again after a restart, although the hosts don't coordinate.
//
// Shared parts are saved once, in a store in the region of the engine that prefills
// them, and any engine that needs them fetches them from there. The last part of a
// prompt belongs to one session and is not saved.
//
// # Usage
//
//	c := kvcat.NewCatalog(regions)
//	c.SetStores(current)                             // stores of the current configuration
//	c.RecordListing(address, kvcat.Listing{...}, at) // after a listing
//	c.RecordEvents(address, kvcat.Events{...}, at)   // after each long poll
//	plan := c.Plan(prompt, namespace, version, target)
package kvcat
