// Package roll brings engines to the weights that the operator names.
//
// One host at a time, the holder of a lease, gives orders. Plan chooses which
// engines to order next; it is pure. Each order names the number of orders that
// the engine had accepted, so that an order which is carried out late changes
// nothing once a newer one was accepted. The holder publishes which engines it is
// about to order, so that the other hosts send them nothing meanwhile.
//
// # Usage
//
//	r := roll.New(lease, engines, board, named, targets, roll.WithLog(log))
//	tree.Add("roll", r.Run)
package roll
