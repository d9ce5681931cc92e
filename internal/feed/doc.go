// Package feed follows the changes of platform tables.
//
// A Watch lists a table once, then waits for changes with long polls. It lists the
// table again when the platform no longer has the changes since its version. When
// calls fail it retries, and the handler keeps its last state. The watch never
// passes an older position of the table to the handler after a newer one.
//
// A platform that returns from an older copy begins a new era, in which it gives
// versions out again. A Position is therefore the pair of era and version. A watch that
// sees a newer era lists the table at once, whatever its versions, and ignores responses
// of older eras. Rows may then be older than those that the handler had: a handler for
// content that must not go back compares the content, not the position.
//
// # Usage
//
//	w := feed.NewWatch(source, "rows", handler)
//	tree.Add("watch rows", w.Run)
package feed
