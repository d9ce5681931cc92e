// Package opconf holds the operator's configuration of a host on a shared
// platform: which routes lead to which services, which client accounts may call
// them, and the capacity of their engines and KV cache stores.
//
// A Config is one version of that configuration. It is immutable after New, so
// that requests read it without a lock.
//
// # Usage
//
//	c, err := opconf.New(parsed)
//	route, ok := c.Match(host, path)
//	account, ok := c.Account(key)
package opconf
