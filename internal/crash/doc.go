// Package crash stops a request that crashes its targets after two of them.
//
// A request that is in flight at a target when the target crashes becomes a
// suspect. Suspects are identified by fingerprint: account, model and prompt. A
// suspect gets one trial, which is a retry on a target that runs no other
// suspect. A second crash quarantines the fingerprint for 10 minutes. If the
// target survives the trial, the fingerprint is cleared.
//
// History is the state of a fingerprint, and Decide decides from it whether the
// request may run, without I/O and without a clock. Hosts exchange histories as
// records. Merging them is independent of order and repetition. It never prolongs
// a quarantine, because a record carries the ages of the crashes. Tracker holds a
// bounded number of histories.
//
// Once all hosts have received a record, a repeated request crashes no further
// target. Refusals therefore carry a retry delay that exceeds the propagation
// time, and a host should send each change to its peers at once (see WithOnChange).
//
// # Usage
//
//	switch d := tracker.Admit(fingerprint, now).(type) {
//	case crash.Run:     // run the request on any target
//	case crash.Isolate: // run it on one of tracker.WithoutSuspects(fingerprint, candidates, now)
//	case crash.Refuse:  // respond 503, run "no", Retry-After d.RetryAfter
//	}
//	if !tracker.Begin(fingerprint, attempt, targetName, now) {
//		// another host has started the trial meanwhile: refuse
//	}
//	// run the attempt
//	tracker.End(attempt, crash.Survived, now)
package crash
