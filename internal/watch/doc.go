// Package watch brings each revision of the document into force on every host
// and commits changes for operators.
//
// Decide is the core: from what is in force, what the platform shows and what
// other hosts have in force it derives what to do. A revision never goes back: a
// platform that shows a lower head, as after a restore, gets the newer one
// written back.
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
//		// conflict.Other names the change that was first
//	}
package watch
