package target

import "fmt"

// NotRunError means that the target certainly did not run any part of the
// request.
type NotRunError struct {
	Target string
	Reason string
}

// Error names the target, the reason and the remedy.
func (e *NotRunError) Error() string {
	return fmt.Sprintf("target %s did not run the request: %s; send the request to another target", e.Target, e.Reason)
}

// BrokenError means that the request failed and that the target may have run it.
type BrokenError struct {
	Target string
	Reason string
}

// Error names the target, the reason and the remedy.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("target %s failed during the request: %s; retry the request only if it is idempotent", e.Target, e.Reason)
}

// FencingTokenError means that the target rejected an order with an outdated
// fencing token.
type FencingTokenError struct {
	Target   string
	Sent     uint64
	Accepted uint64
}

// Error names both fencing tokens and the remedy.
func (e *FencingTokenError) Error() string {
	return fmt.Sprintf("target %s rejected fencing token %d because it has accepted %d; acquire the lease again",
		e.Target, e.Sent, e.Accepted)
}

// PinnedError means that a store rejected the request to free a pinned KV block.
type PinnedError struct {
	Target string
	Key    string
}

// Error names the KV block and the remedy.
func (e *PinnedError) Error() string {
	return fmt.Sprintf("store %s has a pin on KV block %s; free the block after the pin expires", e.Target, e.Key)
}

// MissingError means that the target does not have the requested object.
type MissingError struct {
	Target string
	What   string
}

// Error names the missing object and the remedy.
func (e *MissingError) Error() string {
	return fmt.Sprintf("target %s does not hold %s; remove the entry and recompute", e.Target, e.What)
}
