// Package feed follows the changes of platform tables.
//
// A Watch lists a table once, then waits for changes with long polls. It lists the
// table again when the platform no longer has the changes since its version. When
// calls fail it retries, and the handler keeps its last state. The watch never
// passes an older version of the table to the handler after a newer one.
//
// # Usage
//
//	w := feed.NewWatch(source, "rows", handler)
//	tree.Add("watch rows", w.Run)
package feed
