package stash

import (
	"context"
	"slices"
	"time"
)

// Cursor is how far a host follows the catalog of another one.
type Cursor struct {
	// Source is the catalog whose changes are counted.
	Source uint64 `cbor:"1,keyasint"`
	Change uint64 `cbor:"2,keyasint"`
	// Brief asks for the stores that have changed only, instead of all.
	Brief bool `cbor:"3,keyasint,omitempty"`
}

// Update is what a host tells another one about a store.
type Update struct {
	Address string `cbor:"1,keyasint"`
	Epoch   uint64 `cbor:"2,keyasint"`
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
	// Source and Change are the cursor that the updates lead to.
	Source uint64 `cbor:"3,keyasint"`
	Change uint64 `cbor:"4,keyasint"`
}

// Cursor returns how far this catalog follows another one.
func (c *Catalog) Cursor() Cursor {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.learned
}

// Wait waits until a store has changed since the cursor, or d has passed.
func (c *Catalog) Wait(ctx context.Context, known Cursor, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	for {
		c.mu.Lock()
		changed, news := c.changed, known.Source != c.source || known.Change != c.changes
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

// Digest returns what has changed since the cursor of another host.
func (c *Catalog) Digest(known Cursor) Digest {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	d := Digest{Source: c.source, Change: c.changes}
	if c.hasOffset {
		d.Clock = now.Milliseconds() + c.offset
	}
	for _, s := range c.order {
		if s.heard == 0 {
			continue
		}
		u := Update{Address: s.Address, Epoch: s.epoch, Age: (now - s.heard).Milliseconds() + 1}
		if known.Source == c.source && known.Change >= s.since {
			u.Events = s.after(known.Change)
		} else {
			u.Full = true
			u.Events = s.all()
		}
		if u.Full || len(u.Events) > 0 || !known.Brief {
			d.Updates = append(d.Updates, u)
		}
	}
	return d
}

// after returns the changes with higher numbers.
func (s *store) after(number uint64) []Event {
	var out []Event
	for i := len(s.log) - 1; i >= 0 && s.log[i].number > number; i-- {
		out = append(out, s.log[i].Event)
	}
	slices.Reverse(out)
	return out
}

func (s *store) all() []Event {
	out := make([]Event, 0, len(s.held))
	for k, tokens := range s.held {
		out = append(out, Event{Held: Held{Key: k, Tokens: tokens}, Added: true})
	}
	return out
}

// Import takes over what another host told; began is the boot time at which it
// was asked.
func (c *Catalog) Import(d Digest, began time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clock(d.Clock)
	c.learned = Cursor{Source: d.Source, Change: d.Change}
	for _, u := range d.Updates {
		s, ok := c.stores[u.Address]
		if !ok {
			continue
		}
		if !u.Full && u.Epoch != s.epoch {
			c.learned = Cursor{} // the store is asked for as a whole
			continue
		}
		c.update(s, u, began-time.Duration(u.Age)*time.Millisecond)
	}
}

func (c *Catalog) update(s *store, u Update, heard time.Duration) {
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
	c.hear(s, heard)
}
