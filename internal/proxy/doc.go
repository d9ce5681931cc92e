// Package proxy forwards requests from callers to targets.
//
// The proxy matches a request to a route of the current operator configuration and
// its API key to a client account, and then chooses a target of the route's service.
// It repeats a request that is not idempotent only if no byte of it was sent or the
// target states that it did not run the request. It relays streams by whole events;
// where the route allows it, a stream that breaks is resumed at another target after
// the last event that the caller has received. A request without a target or without
// time left gets its final answer at once: 503 with a Retry-After header if it has
// certainly not run, 502 or 504 otherwise.
//
// A Codec translates requests to and from the format of the platform, so that the
// proxy does not depend on it.
//
// # Usage
//
//	p := proxy.New(codec, targets, proxy.WithLog(log))
//	p.SetConfig(current)
//	http.Serve(listener, p)
package proxy
