package relay

import (
	"context"

	"sesamehill.example/sesamehill/internal/feed"
)

// Confirm queries the platform whether a table has changes after a position, without waiting for
// any. If it has none, the table counts as current since the start of the call. Callers that
// confirm the same table at the same time share a call that starts after theirs.
func (r *Relay) Confirm(ctx context.Context, table string, after feed.Position) {
	calledAt := r.now()
	select {
	case r.confirming <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-r.confirming }()
	if r.CurrentAt(table, after) >= calledAt || r.Era() > after.Era {
		return
	}
	d := r.beginRead(FromPlatform, table, after)
	rows, position, err := r.platform.Changes(ctx, table, after, 0)
	r.endRead(d, rows, err)
	if err != nil || len(rows) > 0 || position.Era != after.Era {
		return // the watch of the table receives the changes, or the failure
	}
	r.recordChanges(table, after, nil, after, d.startedAt)
}
