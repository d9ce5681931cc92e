// Package feed follows tables of the platform.
//
// A Watch lists a table once, then waits for changes with long polls. It lists
// the table anew when the platform has dropped the history, and when calls fail
// it tries again and keeps what it knew. What a table said is never undone by an
// older version.
//
// # Usage
//
//	w := feed.NewWatch(source, "rows", handler)
//	tree.Add("watch rows", w.Run)
package feed
