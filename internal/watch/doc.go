// Package watch puts each revision of the configuration document in force on every
// host and commits changes for operators.
//
// Decide is the core. It compares the revision in force on this host with the heads
// of the platform and of other hosts, and returns the next actions. A host never
// goes back to a lower revision: if the platform shows a lower head, as after a
// restore from a backup, the hosts write the newer one back.
//
// # Usage
//
//	w := watch.New(rows, objects, client, watch.WithOnChange(apply))
//	gossip, err := member.NewGossip(members, client, member.WithExtensions(w.Extension()))
//	gossip.Seed(listing.Hosts)
//	w.Follow(gossip)
//	go w.Run(ctx)
//	head, err := w.Commit(ctx, base, document, changeID, "maria")
//	var conflict *watch.ConflictError
//	if errors.As(err, &conflict) {
//		// conflict.Other is the change that was committed first
//	}
package watch
