// Package admit decides when a request may start and refuses early those that
// cannot start before their deadline.
//
// A Controller holds the requests that wait at one host. Every client account
// has a rate and a concurrency limit over all hosts, of which this host enforces
// its share. Requests that may start take turns between accounts by deficit
// round robin over prompt tokens, so an account that floods the host delays
// only itself. Within an account, a higher priority goes first, then an earlier
// deadline, then an earlier arrival. Between accounts, a priority of p earns 1+p
// times the tokens of priority 0 in each round; no account starves.
//
// # Shares
//
// A host's share of an account's limits follows its share of the account's
// demand, which hosts exchange with heartbeats. A host whose last
// report is older than ReportTTL is assumed to use an equal split, so a host that
// receives no reports falls back to an equal split among the last known live hosts. Given the same
// reports at every host, the shares add up to 1. A host reports at most the
// accounts with the largest demand, since a heartbeat carries 2 KB; an account
// that a report leaves out has no demand at that host, and a tenth of
// each limit is split equally to let new demand start. A host always lets one
// request of an account run, so concurrency over all hosts exceeds the limit by
// at most one for each host.
//
// # Usage
//
//	c := admit.New(admit.WithSlots(64), admit.WithQueue(1000))
//	c.SetAccounts(doc.Accounts, now)
//	if r, ok := c.Submit(request, now).(admit.Refused); ok {
//		// answer with Retry-After r.RetryAfter
//	}
//	for _, e := range c.Next(now) {
//		// admit.Started: dispatch; admit.Refused: answer
//	}
//	c.Release(id, later) // at the first token; then Next again
//	c.Done(id, later) // when it ends or its caller disconnects; then Next again
//
// A Controller is not safe for concurrent use.
package admit
