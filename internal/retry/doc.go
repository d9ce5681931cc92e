// Package retry decides whether a failed attempt is retried, and checks that the
// chunks of a stream belong to its attempt.
//
// Each retry takes a token from two buckets, one per account and one per host.
// Each request adds a tenth of a token, so that the number of attempts stays below
// 1.1 times the requests plus the bursts, however many targets fail.
//
// Decide and Stream.Accept use no clock and no I/O. Policy holds the buckets.
//
// # Usage
//
//	policy.AddRequest(account)
//	input := retry.Input{Idempotent: true, Deadline: deadline}
//	for {
//		err := attempt()
//		if err == nil {
//			return nil
//		}
//		input = input.WithOutcome(retry.Classify(err), len(emitted))
//		switch d := policy.Next(account, input, time.Now(), random).(type) {
//		case retry.Retry:  // wait d.Delay, then restart on another target
//		case retry.Resume: // wait d.Delay, then continue after the emitted tokens
//		case retry.GiveUp: // respond 503 with d.Run and Retry-After d.RetryAfter
//		}
//	}
package retry
