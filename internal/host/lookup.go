package host

import (
	"context"
	"time"

	"sesamehill.example/sesamehill/internal/index"
	"sesamehill.example/sesamehill/internal/member"
	"sesamehill.example/sesamehill/pkg/chain"
)

// lookupTimeout bounds a lookup. A late answer costs a recomputation, never the
// request.
const lookupTimeout = 15 * time.Millisecond

// lookup returns who holds leading pieces of a chain in the region. Both owners
// of each zone are asked; the first answer of a zone counts.
func (h *Host) lookup(ctx context.Context, keys []chain.Key) []index.Holder {
	if len(keys) == 0 {
		return nil
	}
	keys = keys[:min(len(keys), member.MaxLookupKeys)]
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	owners := h.blockIndex.owners(keys[0])
	answers := make(chan []index.Holder, len(owners))
	for _, addresses := range owners {
		if addresses == nil {
			answers <- h.blockIndex.lookup(keys)
			continue
		}
		go func() { answers <- h.lookupZone(ctx, addresses, keys) }()
	}
	var holders []index.Holder
	for range owners {
		select {
		case a := <-answers:
			holders = append(holders, a...)
		case <-ctx.Done():
			counters.Add("lookups_late", 1)
			return holders
		}
	}
	return holders
}

// lookupZone asks the owners of one zone and returns the first answer.
func (h *Host) lookupZone(ctx context.Context, addresses []string, keys []chain.Key) []index.Holder {
	answers := make(chan *member.LookupReply, len(addresses))
	for _, a := range addresses {
		go func() {
			r, err := h.client.Lookup(ctx, a, &member.LookupRequest{Keys: keys})
			if err != nil {
				r = nil
			}
			answers <- r
		}()
	}
	for range addresses {
		select {
		case r := <-answers:
			if r != nil {
				return r.Holders
			}
		case <-ctx.Done():
			return nil
		}
	}
	return nil
}
