package proxy

// RecomputeCause is why an engine has to prefill a shared part of a prompt instead
// of fetching it from a store. The values are part of metric names.
type RecomputeCause string

// Causes of recomputation.
const (
	// CauseFirstUse means that this host has seen the part in no earlier prompt.
	CauseFirstUse RecomputeCause = "first"
	// CauseNotStored means that no store holds the part and no save of it is
	// pending: the stores were full or accepted nothing after a restart, or the
	// save was lost.
	CauseNotStored RecomputeCause = "unsaved"
	// CauseSavePending means that the part is being saved, or that no event has
	// reported its completion yet.
	CauseSavePending RecomputeCause = "untold"
	// CauseStoreStale means that the last update from some store is too old to rely
	// on.
	CauseStoreStale RecomputeCause = "blind"
	// CauseFetchSlower means that prefill is expected to take less time than the
	// fetch, CauseFetchDistant the same for a store in another region.
	CauseFetchSlower  RecomputeCause = "slower"
	CauseFetchDistant RecomputeCause = "distant"
	// CauseWeightsReplaced means that the KV cache entry belongs to weights that
	// have been replaced.
	CauseWeightsReplaced RecomputeCause = "replaced"
)

// RecomputeCounts holds the number of recomputed tokens of shared parts by cause.
type RecomputeCounts map[RecomputeCause]int

// Add returns the counts with some more tokens for a cause. It allocates the map if
// necessary.
func (a RecomputeCounts) Add(c RecomputeCause, tokens int) RecomputeCounts {
	if a == nil {
		a = RecomputeCounts{}
	}
	a[c] += tokens
	return a
}
