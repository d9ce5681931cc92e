// Package retain decides which stored KV cache blocks to export, evict, import and prefetch.
//
// Blocks rank by value: the tokens that need not be recomputed, times the
// probability that the prompt returns within a window, divided by the block's
// bytes. The window is Horizon, or the time after which the store evicts unused
// blocks, if that is shorter. Returns estimates the probability for each account
// from the intervals after which its prompts returned and the number of abandoned
// prompts. For an account with few observations, the observations of all accounts
// dominate the estimate. Of two blocks of equal value, the one deeper in its
// prompt ranks lower, because it is useless without those before it. A pinned or
// uncommitted block is never evicted.
//
// Step drives one import: pin, transfer, verify. The engine may use the copy
// only if the store held the pin for the whole transfer and the copy has the
// pinned generation, length and checksum. Otherwise the copy is dropped and the
// block is recomputed.
//
// # Usage
//
//	plan := retain.Exports(candidates, stored, free, returns, now)
//	victims := retain.Evict(stored, need, returns, now)
//
//	i, actions := retain.Begin(request, now)
//	// carry out the actions, then pass each result to Step:
//	i, actions = retain.Step(i, retain.Pinned{Pin: pin}, now)
//
// Returns is not safe for concurrent use; the functions keep no state.
package retain
