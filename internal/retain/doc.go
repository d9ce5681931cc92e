// Package retain decides which prompt state to export, evict, import and prefetch.
//
// Pieces rank by value: the tokens that need not be recomputed, times the
// probability that the prompt returns within a window, divided by the piece's
// bytes. The window is Horizon, or the time after which the store evicts what is
// not used. Returns learns the probability for each account from the intervals
// after which its prompts came back and the number that were given up.
// An account with few observations is judged mostly by all accounts together.
// Of two pieces of equal value, the one deeper in its prompt is worth less,
// because it is useless without those before it. A pinned or unsealed piece is
// never evicted.
//
// Step drives one import: pin, transfer, verify. The engine may use the copy
// only if the store kept the pin for the whole transfer and what arrived has the
// pinned generation, length and checksum. Otherwise the copy is dropped and the
// piece is recomputed.
//
// # Usage
//
//	plan := retain.Exports(candidates, stored, free, returns, now)
//	victims := retain.Evict(stored, need, returns, now)
//
//	i, actions := retain.Begin(want, now)
//	// carry out the actions, then feed back what happened:
//	i, actions = retain.Step(i, retain.Pinned{Pin: pin}, now)
//
// Returns is not safe for concurrent use; the functions keep no state.
package retain
