package host

import (
	"context"
	"time"

	"sesamehill.example/sesamehill/internal/index"
	"sesamehill.example/sesamehill/internal/member"
	"sesamehill.example/sesamehill/pkg/chain"
)

// lookupTimeout bounds a lookup. A reply after the timeout costs a recomputation,
// but never fails the request.
const lookupTimeout = 15 * time.Millisecond

// lookup returns the targets of the region that hold leading blocks of a chain. It
// queries both owners in each zone and uses the first reply of a zone.
func (h *Host) lookup(ctx context.Context, keys []chain.Key) []index.Holder {
	if len(keys) == 0 {
		return nil
	}
	keys = keys[:min(len(keys), member.MaxLookupKeys)]
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	owners := h.blockIndex.owners(keys[0])
	replies := make(chan []index.Holder, len(owners))
	for _, addresses := range owners {
		if addresses == nil {
			replies <- h.blockIndex.lookup(keys)
			continue
		}
		go func() { replies <- h.lookupZone(ctx, addresses, keys) }()
	}
	var holders []index.Holder
	for range owners {
		select {
		case a := <-replies:
			holders = append(holders, a...)
		case <-ctx.Done():
			counters.Add("lookups_late", 1)
			return holders
		}
	}
	return holders
}

// lookupZone queries the owners in one zone and returns the first reply.
func (h *Host) lookupZone(ctx context.Context, addresses []string, keys []chain.Key) []index.Holder {
	replies := make(chan *member.LookupReply, len(addresses))
	for _, a := range addresses {
		go func() {
			r, err := h.client.Lookup(ctx, a, &member.LookupRequest{Keys: keys})
			if err != nil {
				r = nil
			}
			replies <- r
		}()
	}
	for range addresses {
		select {
		case r := <-replies:
			if r != nil {
				return r.Holders
			}
		case <-ctx.Done():
			return nil
		}
	}
	return nil
}
