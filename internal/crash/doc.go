// Package crash stops requests that crash their targets.
//
// The cause may be a whole request, or a part of its prompt that other requests have
// in common. The target crashes when it begins to answer. A request that is in
// flight at a target when the target crashes becomes a suspect, and so does each
// shared part of its prompt, unless the target had begun to answer it.
//
// # Whole requests
//
// Requests are identified by fingerprint: account, model and prompt. A suspect gets
// one trial, which is a retry on a target that runs no other suspect. A second crash
// quarantines the fingerprint for 10 minutes. If the target survives the trial, the
// fingerprint is cleared. Crashes after the target has begun to answer interrupt all
// streams of the target, so that three of them quarantine a request.
//
// # Parts of prompts
//
// A part is cleared when a target begins to answer any request with it and lives on:
// a part crashes all targets or none. Until then one request with the part runs at a
// time, as its trial. Three crashes quarantine a part, or five if targets are known to
// have answered requests with it before. Crashes within 250 ms count once, as targets
// may be lost together. Crashes that a quarantined part explains do not count for
// requests and parts that were in flight beside it. Attempts with a quarantined part
// whose targets have not begun to answer are cancelled. The quarantine lasts for 10
// minutes after the last crash; then one host starts one trial.
//
// The first crashes may fit several parts, such as one that crashes targets and one of the
// session in which it was first sent. The part that is deepest in the prompt is then
// quarantined, and the others are tried by one request at a time. Evidence replaces that verdict
// in this order:
//
//  1. A target survives the part: its crashes until then do not count.
//  2. A trial of another part crashes that explains all crashes of the one in quarantine.
//  3. Another part has three further crashes, or five if it was answered before. The part in
//     quarantine is released if it has fewer than that which the other part does not explain.
//
// Verdicts are found from all records anew, in the order of the times of their crashes, so that
// hosts with the same records have the same verdicts.
//
// History is the state of a fingerprint. Decide decides from it whether a request
// may run, and judge which parts may not, without I/O and without a clock. Hosts
// exchange histories as records. Merging them is independent of order and
// repetition. It never prolongs a quarantine, because a record carries the ages of
// the crashes. Tracker holds a bounded number of histories.
//
// Once all hosts have received a record, a repeated request crashes no further
// target. Refusals therefore carry a retry delay that exceeds the propagation
// time, and a host should send each change to its peers at once (see WithOnChange).
//
// # Usage
//
//	switch d := tracker.Admit(fingerprint, now, parts...).(type) {
//	case crash.Run:     // run the request on any target
//	case crash.Isolate: // run it on one of tracker.WithoutSuspects(fingerprint, candidates, now)
//	case crash.Wait:    // wait for the trial of another request with the same part
//	case crash.Refuse:  // respond 503, run "no", Retry-After d.RetryAfter
//	}
//	if !tracker.Begin(fingerprint, attempt, targetName, now, parts...) {
//		// another host has started the trial meanwhile: refuse
//	}
//	tracker.CancelOnQuarantine(attempt, cancel)
//	// run the attempt; once the target has begun to answer and lives on:
//	tracker.Answered(attempt, now)
//	tracker.End(attempt, crash.Survived, now)
package crash
