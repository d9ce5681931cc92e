package relay

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/feed"
	"sesamehill.example/sesamehill/internal/wire"
)

// List returns all rows of a table. It reads them from the hub if the hub has them and
// its announcement is recent, and from the platform otherwise.
func (r *Relay) List(ctx context.Context, table string) ([]feed.Row, feed.Position, error) {
	deadline := r.now() + listDelayLimit
	for {
		if s := r.hubState(table, r.position(table), deadline); s.usable {
			if a, ok := r.queryOnce(ctx, s, Query{Table: table, All: true}); ok && !a.position().Before(s.position) {
				r.recordAll(table, a.Rows, a.position(), s.announcement.currentAt)
				return a.Rows, a.position(), nil
			}
		}
		delayed, err := r.delayFallback(ctx, table, deadline)
		if err != nil {
			return nil, feed.Position{}, err
		}
		if !delayed {
			return r.listPlatform(ctx, table)
		}
	}
}

// listPlatform lists a table from the platform and records it for queries of other
// hosts.
func (r *Relay) listPlatform(ctx context.Context, table string) ([]feed.Row, feed.Position, error) {
	ctx, cancel := wire.WithStallTimeout(ctx, listTimeout, listTimeout)
	defer cancel()
	d := r.beginRead(FromPlatform, table, feed.Position{})
	rows, position, err := r.platform.List(ctx, table)
	r.endRead(d, rows, err)
	if err != nil {
		r.recordFailure(table, d.startedAt, false)
		r.delayNextFallback(table, r.knownRows(table))
		return nil, feed.Position{}, err
	}
	if position, err = r.checkEra(table, rows, position); err != nil {
		r.recordFailure(table, d.startedAt, false)
		return nil, feed.Position{}, err
	}
	r.recordAll(table, rows, position, d.startedAt)
	r.delayNextFallback(table, rows)
	return rows, position, nil
}

// position returns the position in a table up to which this host has the changes.
func (r *Relay) position(table string) feed.Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.log(table).position
}

// knownRows returns the rows of a table that this host has.
func (r *Relay) knownRows(table string) []feed.Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Values(r.log(table).rows))
}

// recordAll records all rows of a table for queries of other hosts.
func (r *Relay) recordAll(table string, rows []feed.Row, position feed.Position, currentAt time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l := r.log(table); !position.Before(l.position) {
		l.setAll(rows, position, currentAt)
		l.history.ListedAt = r.now()
	}
}

// recordFailure records that a table could not be read by a call that started at a boot
// time. cutOff says that data had been received.
func (r *Relay) recordFailure(table string, startedAt time.Duration, cutOff bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failedAt[table] = startedAt
	l := r.log(table)
	l.failing = true
	l.cutOff = l.cutOff || cutOff
}

// Changes returns the changes of a table after a position and waits if there are
// none yet. It reads them from the hub while the hub's announcements are recent, and
// from the platform otherwise. It returns a *feed.HistoryExpiredError if the present
// rows are to be read in place of the changes.
func (r *Relay) Changes(
	ctx context.Context, table string, after feed.Position, wait time.Duration,
) ([]feed.Row, feed.Position, error) {
	deadline := r.now() + wait
	for {
		s := r.hubState(table, after, deadline)
		switch {
		case !s.usable && !s.catchingUp:
			delayed, err := r.delayFallback(ctx, table, deadline)
			if err != nil {
				return nil, feed.Position{}, err
			}
			if !delayed {
				return r.pollPlatform(ctx, table, after, deadline-r.now())
			}
		case s.position.Era > after.Era:
			return nil, feed.Position{}, &feed.HistoryExpiredError{Table: table, After: after}
		case s.newer:
			if rows, position, ok := r.fetchFromHub(ctx, s, newQuery(table, after)); ok {
				return rows, position, nil
			}
			r.delayHubQueries()
		case s.maxWait <= 0:
			return nil, after, nil
		default:
			if err := waitForUpdate(ctx, s.maxWait, s.updated); err != nil {
				return nil, feed.Position{}, err
			}
		}
	}
}

// hubState is what a hub's last announcement means for a call that waits for changes
// of a table.
type hubState struct {
	hub string
	announcement
	// usable says that the announcement is recent and not behind the caller. newer
	// says that the hub has changes for the caller.
	usable, newer bool
	// catchingUp says that the announcement is recent, but older than the caller's last
	// read, which is recent as well and of the same era. A hub learns the version of a table with each of its
	// calls, so it will have that of the caller soon.
	catchingUp bool
	// maxWait is how long the state stays the same unless updated is closed.
	maxWait time.Duration
	updated <-chan struct{}
}

// hubState evaluates the hub's last announcement for a call that waits for changes
// after a position until a deadline.
func (r *Relay) hubState(table string, after feed.Position, deadline time.Duration) hubState {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, l, ttl := r.now(), r.log(table), r.currentTTL(table)
	a, ok := r.announced[table]
	s := hubState{hub: r.hubAddress, announcement: a, updated: r.updated}
	recent := ok && !r.isLeader() && now >= r.hubRetryAt && now-a.currentAt <= ttl
	s.usable = recent && !a.position.Before(after)
	s.newer = after.Before(a.position)
	s.catchingUp = recent && !s.usable && a.position.Era == after.Era && !l.failing && !l.position.Before(after) && now-l.currentAt <= ttl
	if s.usable {
		delete(r.fallbackAt, table)
	}
	validUntil := a.currentAt + ttl
	if s.catchingUp {
		validUntil = min(validUntil, l.currentAt+ttl)
	}
	s.maxWait = min(deadline, validUntil+time.Millisecond) - now
	if deadline <= now {
		s.maxWait = 0
	}
	return s
}

// pollPlatform reads the changes from the platform and records them for queries of
// other hosts.
func (r *Relay) pollPlatform(
	ctx context.Context, table string, after feed.Position, wait time.Duration,
) ([]feed.Row, feed.Position, error) {
	if r.hubsInUse() {
		wait = min(wait, r.pollWait(table))
	}
	wait = max(wait, 0)
	if r.readFailed(table) {
		// Changes that this call returns have no date, so it must not wait for those to
		// come. A platform that has returned in a newer era may have passed the known
		// version, and then has nothing to answer with until the next change.
		wait = 0
	}
	if r.needsPresentRows(table) || r.Era() > after.Era {
		return nil, feed.Position{}, &feed.HistoryExpiredError{Table: table, After: after}
	}
	ctx, cancelPoll := r.withinEra(ctx, after.Era)
	defer cancelPoll()
	ctx, cancel := wire.WithStallTimeout(ctx, wait+pollSlack, pollSlack)
	defer cancel()
	followed := r.followed(table)
	d := r.beginRead(FromPlatform, table, after)
	rows, position, err := r.platform.Changes(ctx, table, after, wait)
	r.endRead(d, rows, err)
	var expired *feed.HistoryExpiredError
	switch {
	case err != nil && r.Era() > after.Era:
		return nil, feed.Position{}, &feed.HistoryExpiredError{Table: table, After: after}
	case errors.As(err, &expired):
		// The platform has answered, so the hub that this host may be can go on
		// announcing the table until it has listed it.
		return nil, feed.Position{}, err
	case err != nil:
		r.recordFailure(table, d.startedAt, wire.Progressed(ctx))
		r.delayNextFallback(table, r.knownRows(table))
		return nil, feed.Position{}, err
	}
	if position, err = r.checkEra(table, rows, position); err != nil {
		r.recordFailure(table, d.startedAt, false)
		return nil, feed.Position{}, err
	}
	if position.Era > after.Era {
		return nil, feed.Position{}, &feed.HistoryExpiredError{Table: table, After: after}
	}
	answeredAt := r.answeredAt(d, wait, rows)
	if !followed {
		rows = undated(rows)
	}
	r.recordChanges(table, after, rows, feed.Position{Era: position.Era, Version: max(position.Version, after.Version)}, answeredAt)
	r.delayNextFallback(table, rows)
	return rows, position, nil
}

// recordChanges records changes that the platform returned at a boot time.
func (r *Relay) recordChanges(table string, after feed.Position, rows []feed.Row, position feed.Position, answeredAt time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.log(table)
	r.noteMissed(table, l, rows)
	l.add(after, rows, position, answeredAt)
	l.failing, l.cutOff = false, false
}

// noteMissed records whether changes that are added to a log show that rows were added and removed
// between two reads. The caller holds mu.
func (r *Relay) noteMissed(table string, l *changeLog, changes []feed.Row) {
	key, ok := l.missed(changes)
	if !ok {
		return
	}
	l.history.MissedAt = r.now()
	r.logger.Info("platform table: a removed row was never received", zap.String("table", table), zap.String("key", key))
}

// fetchFromHub queries the hub for the changes that it has announced and records
// them for queries of other hosts; false if the hub does not have all of them.
func (r *Relay) fetchFromHub(ctx context.Context, s hubState, q Query) ([]feed.Row, feed.Position, bool) {
	a, ok := r.queryOnce(ctx, s, q)
	if !ok || a.Era != q.Era || a.position().Before(q.after()) {
		return nil, feed.Position{}, false
	}
	currentAt := s.announcement.currentAt
	if a.position().Before(s.position) {
		currentAt = 0 // the hub has started again since, and has not caught up
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.log(q.Table)
	r.noteMissed(q.Table, l, a.Rows)
	l.add(q.after(), a.Rows, a.position(), currentAt)
	l.failing = false
	return a.Rows, a.position(), true
}

// queryOnce sends a query to the hub; false if the hub does not have what it asks for.
func (r *Relay) queryOnce(ctx context.Context, s hubState, q Query) (Reply, bool) {
	ctx, cancel := wire.WithStallTimeout(ctx, queryTimeout, queryTimeout)
	defer cancel()
	d := r.beginRead(FromHub, q.Table, q.after())
	a, err := r.queryHub(ctx, s.hub, q)
	r.endRead(d, a.Rows, err)
	return a, err == nil && !a.Incomplete && a.Version != 0
}

// hubsInUse reports whether there are hubs: this host is one, or has received an
// announcement of one. A host that has lost its hub then polls the platform as often
// as the hubs do.
func (r *Relay) hubsInUse() bool {
	if r.isHub() {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hubAddress != ""
}

// delayHubQueries delays the next query to the hub after a failed one.
func (r *Relay) delayHubQueries() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hubRetryAt = r.now() + hubRetryDelay
}

// waitForUpdate waits until updated is closed, but not longer than d.
func waitForUpdate(ctx context.Context, d time.Duration, updated <-chan struct{}) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-updated:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}
