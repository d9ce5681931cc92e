package stash

import (
	"context"
	"time"
)

// Cursor is how far a host knows a store from another host.
type Cursor struct {
	Epoch   uint64 `cbor:"1,keyasint"`
	Changes uint64 `cbor:"2,keyasint"`
}

// Update is what a host tells another one about a store.
type Update struct {
	Address string `cbor:"1,keyasint"`
	Epoch   uint64 `cbor:"2,keyasint"`
	Changes uint64 `cbor:"3,keyasint"`
	// Age is how long ago the store was heard, in milliseconds.
	Age int64 `cbor:"4,keyasint"`
	// Full says that Events are all parts held, instead of what changed.
	Full   bool    `cbor:"5,keyasint,omitempty"`
	Events []Event `cbor:"6,keyasint,omitempty"`
}

// Digest is what a host tells another one about all stores.
type Digest struct {
	// Clock is the targets' clock in milliseconds; zero if it is not known.
	Clock   int64    `cbor:"1,keyasint"`
	Updates []Update `cbor:"2,keyasint"`
}

// Cursors returns how far this host knows each store.
func (c *Catalog) Cursors() map[string]Cursor {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]Cursor, len(c.order))
	for _, s := range c.order {
		if s.learned != (Cursor{}) {
			out[s.Address] = s.learned
		}
	}
	return out
}

// Wait waits until a store has changed since the cursors, or d has passed.
func (c *Catalog) Wait(ctx context.Context, known map[string]Cursor, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	for {
		c.mu.Lock()
		changed, news := c.changed, c.news(known)
		c.mu.Unlock()
		if news {
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

func (c *Catalog) news(known map[string]Cursor) bool {
	for _, s := range c.order {
		if s.heard != 0 && known[s.Address] != (Cursor{Epoch: s.epoch, Changes: s.changes}) {
			return true
		}
	}
	return false
}

// Digest returns what has changed since the cursors of another host. Stores that
// were not heard lately are left out.
func (c *Catalog) Digest(known map[string]Cursor) Digest {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	var d Digest
	if c.hasOffset {
		d.Clock = now.Milliseconds() + c.offset
	}
	for _, s := range c.order {
		if !s.believed(now) {
			continue
		}
		u := Update{Address: s.Address, Epoch: s.epoch, Changes: s.changes, Age: (now - s.heard).Milliseconds() + 1}
		at, ok := known[s.Address]
		if behind := s.changes - at.Changes; ok && at.Epoch == s.epoch && behind <= uint64(len(s.log)) {
			u.Events = append(u.Events, s.log[uint64(len(s.log))-behind:]...)
		} else {
			u.Full = true
			for k, tokens := range s.held {
				u.Events = append(u.Events, Event{Held: Held{Key: k, Tokens: tokens}, Added: true})
			}
		}
		d.Updates = append(d.Updates, u)
	}
	return d
}

// Import takes over what another host told; began is the boot time at which it
// was asked.
func (c *Catalog) Import(d Digest, began time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clock(d.Clock)
	for _, u := range d.Updates {
		if s, ok := c.stores[u.Address]; ok {
			c.update(s, u, began-time.Duration(u.Age)*time.Millisecond)
		}
	}
}

func (c *Catalog) update(s *store, u Update, heard time.Duration) {
	if !u.Full && u.Epoch != s.epoch {
		return
	}
	c.epoch(s, u.Epoch)
	events := u.Events
	if u.Full {
		listed := make([]Held, 0, len(u.Events))
		for _, e := range u.Events {
			listed = append(listed, e.Held)
		}
		events = s.difference(listed)
	}
	c.apply(s, events)
	s.heard = max(s.heard, heard)
	s.learned = Cursor{Epoch: u.Epoch, Changes: u.Changes}
}
