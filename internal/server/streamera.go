package server

import (
	"context"
	"strconv"
	"strings"
	"time"

	"sesamehill.example/sesamehill/internal/origin"
	"sesamehill.example/sesamehill/internal/pause"
	"sesamehill.example/sesamehill/internal/table"
	"sesamehill.example/sesamehill/internal/wire"
)

// eraPrefix begins the key of the row that states the era of the platform since which no stored
// stream has been lost. An era that is older than that of the platform shows that it was restored
// from a copy, also to processes that have started since.
const eraPrefix = "era/"

func eraKey(era uint64) string { return eraPrefix + strconv.FormatUint(era, 10) }

// parseEra returns the era that the row with a key states; false if the row states none.
func parseEra(key string) (uint64, bool) {
	digits, ok := strings.CutPrefix(key, eraPrefix)
	era, err := strconv.ParseUint(digits, 10, 64)
	return era, ok && err == nil
}

// eraKeeper stores the era of the platform. After a restore it does so once the streams whose
// records may have been lost cannot be resumed any more.
type eraKeeper struct {
	store *streamStore
	// era is the newest known era, and since the boot time from which it was known.
	era   uint64
	since time.Duration
	// lookAt is the boot time of the next look at the stored era, stored set if it is the newest.
	lookAt time.Duration
	stored bool
}

// isDue reports whether the stored era may have to be written.
func (k *eraKeeper) isDue(now time.Duration) bool {
	if newest := k.store.tableEra(); k.since == 0 || newest != k.era {
		*k = eraKeeper{store: k.store, era: newest, since: now, lookAt: now}
	}
	return !k.stored && now >= k.lookAt
}

// write reads the stored era and writes the newest one if it may.
func (k *eraKeeper) write(ctx context.Context, now time.Duration) {
	last, known, err := k.store.storedEra(ctx)
	switch {
	case err != nil: // tried again
	case known && last >= k.era:
		k.stored = true
	case known && now-k.since < origin.Retention:
		k.lookAt = k.since + origin.Retention
	default:
		k.stored = k.store.putKey(ctx, eraKey(k.era), emptyRow) == nil
	}
}

// KeepEra stores the era of the platform until ctx is cancelled. Only the lease holder does.
func (s *streamStore) KeepEra(ctx context.Context) error {
	k := eraKeeper{store: s}
	for pause.For(ctx, streamCheckInterval) == nil {
		if now := wire.BootTime(); k.isDue(now) && s.host.IssuesOrders() {
			k.write(ctx, now)
		}
	}
	return nil
}

// storedEra returns the newest era that is stored; false if there is none.
func (s *streamStore) storedEra(ctx context.Context) (newest uint64, known bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, streamCallTimeout)
	defer cancel()
	rows, err := s.scan(ctx, eraPrefix)
	newest, known = newestEra(rows)
	return newest, known, err
}

// newestEra returns the newest era that one of the rows states; false if none states any.
func newestEra(rows []table.Row) (newest uint64, known bool) {
	for _, row := range rows {
		if era, ok := parseEra(row.Key); ok {
			newest, known = max(newest, era), true
		}
	}
	return newest, known
}
