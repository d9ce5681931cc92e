package relay

import (
	"context"
	"fmt"

	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/feed"
)

// OlderEraError says that the platform answered in an older era than the one that this
// host has seen.
type OlderEraError struct {
	Table string
	// Era is the era of the response, Newest the newest era.
	Era, Newest uint64
}

// Error names the table and the remedy.
func (e *OlderEraError) Error() string {
	return fmt.Sprintf("table %q was read in era %d of the platform, but era %d has begun; retry the call", e.Table, e.Era, e.Newest)
}

// Era returns the newest era of the platform that this host has seen.
func (r *Relay) Era() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.era
}

// withinEra returns a context that also ends when a newer era than the given one is seen.
func (r *Relay) withinEra(ctx context.Context, era uint64) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.era > era {
		cancel()
	}
	stop := context.AfterFunc(r.eraContext, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// checkEra records the era of a response of the platform. It returns the position of the
// response, in which a missing era is the newest one; rows get the same era. It returns an
// *OlderEraError if the era is older than the newest one.
func (r *Relay) checkEra(table string, rows []feed.Row, p feed.Position) (feed.Position, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.Era == 0 {
		p.Era = r.era
		for i := range rows {
			rows[i].Era = p.Era
		}
	}
	if p.Era < r.era {
		return p, &OlderEraError{Table: table, Era: p.Era, Newest: r.era}
	}
	r.recordEra(FromPlatform, table, p)
	return p, nil
}

// recordEra records the era of a position in a table. It logs a new one with the versions
// of the tables that this host had read before. The caller holds mu.
func (r *Relay) recordEra(s Source, table string, p feed.Position) {
	if p.Era <= r.era {
		return
	}
	previous := r.era
	r.era = p.Era
	r.endEra()
	r.eraContext, r.endEra = context.WithCancel(context.Background())
	before := make(map[string]uint64, len(r.logs))
	for name, l := range r.logs {
		if l.rows != nil {
			before[name] = l.position.Version
		}
	}
	if len(before) == 0 {
		return // the first response that this host has read
	}
	r.logger.Warn(
		"platform store has returned from an older copy", zap.Uint64("era", p.Era), zap.Uint64("previous", previous),
		zap.String("source", string(s)), zap.String("table", table), zap.Uint64("version", p.Version), zap.Any("before", before),
	)
}
