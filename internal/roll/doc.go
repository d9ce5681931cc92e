// Package roll brings engines to the weight versions that the operator wants.
//
// Only the host that holds the rollout lease orders engines to load weights. Plan
// is a pure function that selects the engines to order next. Each order carries
// the number of orders that the engine had accepted before, so that a delayed
// order has no effect once the engine has accepted a newer one. The lease holder
// first publishes which engines it is about to order, so that the other hosts send
// no requests to them in the meantime. An engine that does not answer an order serves
// on: it may carry out the order at once, seconds later, or never.
//
// # Usage
//
//	r := roll.New(host, lease, engines, publisher, source, roll.WithLog(log))
//	tree.Add("roll", r.Run)
package roll
