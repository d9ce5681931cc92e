package kvcat

import (
	"context"
	"slices"
	"time"
)

// Cursor is a position in the changes of a catalog that another host follows.
type Cursor struct {
	// CatalogID is the catalog whose changes are counted.
	CatalogID uint64 `cbor:"1,keyasint"`
	Change    uint64 `cbor:"2,keyasint"`
	// ChangedOnly requests updates only about stores that have changed, instead of
	// all.
	ChangedOnly bool `cbor:"3,keyasint,omitempty"`
}

// StoreUpdate is what a host sends to another one about a store.
type StoreUpdate struct {
	Address string `cbor:"1,keyasint"`
	Epoch   uint64 `cbor:"2,keyasint"`
	// AgeMs is the time since the start of the last successful poll of the store.
	AgeMs int64 `cbor:"4,keyasint"`
	// Full says that Events holds all parts of the store instead of the changes.
	Full   bool    `cbor:"5,keyasint,omitempty"`
	Events []Event `cbor:"6,keyasint,omitempty"`
}

// CatalogUpdate is what a host sends to another one about all stores.
type CatalogUpdate struct {
	// ClockMs is the clock of the targets; zero if it is not known.
	ClockMs int64         `cbor:"1,keyasint"`
	Updates []StoreUpdate `cbor:"2,keyasint"`
	// CatalogID and Change are the cursor after these updates.
	CatalogID uint64 `cbor:"3,keyasint"`
	Change    uint64 `cbor:"4,keyasint"`
}

// Cursor returns the position up to which this catalog has applied the updates of
// another one.
func (c *Catalog) Cursor() Cursor {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.followed
}

// WaitForChange waits until a store has changed since the cursor, d has passed or
// ctx ends.
func (c *Catalog) WaitForChange(ctx context.Context, known Cursor, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	for {
		c.mu.Lock()
		changed, hasChanges := c.changed, known.CatalogID != c.id || known.Change != c.changeCount
		c.mu.Unlock()
		if hasChanges {
			return
		}
		select {
		case <-changed:
		case <-t.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// UpdateSince returns the changes since the cursor of another host.
func (c *Catalog) UpdateSince(known Cursor) CatalogUpdate {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	update := CatalogUpdate{CatalogID: c.id, Change: c.changeCount}
	if c.hasOffset {
		update.ClockMs = now.Milliseconds() + c.offset
	}
	for _, s := range c.ordered {
		if s.lastPoll == 0 {
			continue
		}
		u := StoreUpdate{Address: s.Address, Epoch: s.epoch, AgeMs: (now - s.lastPoll).Milliseconds() + 1}
		if known.CatalogID == c.id && known.Change >= s.logStart {
			u.Events = s.changesAfter(known.Change)
		} else {
			u.Full = true
			u.Events = s.allParts()
		}
		if u.Full || len(u.Events) > 0 || !known.ChangedOnly {
			update.Updates = append(update.Updates, u)
		}
	}
	return update
}

// changesAfter returns the changes with numbers above the given one.
func (s *store) changesAfter(number uint64) []Event {
	var events []Event
	for i := len(s.changeLog) - 1; i >= 0 && s.changeLog[i].number > number; i-- {
		events = append(events, s.changeLog[i].Event)
	}
	slices.Reverse(events)
	return events
}

// allParts returns the contents of the store as events.
func (s *store) allParts() []Event {
	events := make([]Event, 0, len(s.parts))
	for k, tokens := range s.parts {
		events = append(events, Event{StoredPart: StoredPart{Key: k, Tokens: tokens}, Added: true})
	}
	return events
}

// ApplyUpdate applies what another host sent; began is the boot time at which it
// was polled.
func (c *Catalog) ApplyUpdate(update CatalogUpdate, began time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordClock(update.ClockMs)
	c.followed = Cursor{CatalogID: update.CatalogID, Change: update.Change}
	for _, u := range update.Updates {
		s, ok := c.stores[u.Address]
		if !ok {
			continue
		}
		if !u.Full && u.Epoch != s.epoch {
			c.followed = Cursor{} // the next poll returns the complete contents
			continue
		}
		c.applyStoreUpdate(s, u, began-time.Duration(u.AgeMs)*time.Millisecond)
	}
}

// applyStoreUpdate applies an update; polled is the boot time at which the store
// was polled for it.
func (c *Catalog) applyStoreUpdate(s *store, u StoreUpdate, polled time.Duration) {
	c.recordEpoch(s, u.Epoch)
	events := u.Events
	if u.Full {
		listed := make([]StoredPart, 0, len(u.Events))
		for _, e := range u.Events {
			listed = append(listed, e.StoredPart)
		}
		events = s.difference(listed)
	}
	c.applyEvents(s, events)
	c.recordPoll(s, polled)
}
