package index

import (
	"encoding/binary"
	"slices"

	"sesamehill.example/sesamehill/internal/target"
	"sesamehill.example/sesamehill/pkg/chain"
)

const (
	// inlineHolders is the number of holders in an entry. Most blocks are held by
	// one engine and one store.
	inlineHolders = 4
	// entryKeySize is the length of an entry's key in bytes.
	entryKeySize = 16
)

// Kinds of targets that hold blocks.
const (
	Engine Kind = iota
	Store
)

// Holder is a target that holds the blocks [First, End) of a prompt. An engine's
// range starts at 0.
type Holder struct {
	Target string `json:"target" cbor:"target"`
	Kind   Kind   `json:"kind" cbor:"kind"`
	First  int    `json:"first" cbor:"first"`
	End    int    `json:"end" cbor:"end"`
	// Suspect means that events of the target are missing.
	Suspect bool `json:"suspect,omitempty" cbor:"suspect,omitempty"`
}

// Kind distinguishes engines, whose blocks are resident, from stores, whose blocks
// are committed.
type Kind uint8

// Record is the part of a target's events with sequence numbers in (After, Last]
// that concerns one owner.
type Record struct {
	Target string         `json:"target" cbor:"target"`
	Kind   Kind           `json:"kind" cbor:"kind"`
	After  uint64         `json:"after" cbor:"after"`
	Last   uint64         `json:"last" cbor:"last"`
	Events []target.Event `json:"events" cbor:"events"`
}

// Shard maps blocks to their holders.
type Shard struct {
	entries map[entryKey]entry
	// overflow holds the holders that do not fit in an entry.
	overflow map[entryKey][]uint16
	// targets is indexed by ID; ID 0 stands for no holder.
	targets []targetState
	ids     map[string]uint16
}

type entry struct {
	shardPoint uint64
	ids        [inlineHolders]uint16
}

type targetState struct {
	name         string
	kind         Kind
	lastSequence uint64
	suspect      bool
}

type entryKey [entryKeySize]byte

// NewShard returns an empty shard.
func NewShard() *Shard {
	return &Shard{
		entries: map[entryKey]entry{}, overflow: map[entryKey][]uint16{},
		targets: make([]targetState, 1), ids: map[string]uint16{},
	}
}

func toEntryKey(k chain.Key) entryKey { return entryKey(k[:entryKeySize]) }

// rendezvousPoint is the position of a chain's shard key in the rendezvous hash.
func rendezvousPoint(first chain.Key) uint64 { return binary.LittleEndian.Uint64(first[:]) }

// Apply applies a record and reports whether the target needs an inventory.
func (s *Shard) Apply(r Record) bool {
	id := s.intern(r.Target, r.Kind)
	t := &s.targets[id]
	if r.After > t.lastSequence {
		t.suspect = true
	}
	for _, e := range r.Events {
		if e.Sequence <= t.lastSequence {
			continue
		}
		switch e.Kind {
		case target.BlockStored:
			s.add(toEntryKey(e.Key), rendezvousPoint(e.ShardKey), id)
		case target.BlockRemoved:
			s.remove(toEntryKey(e.Key), id)
		case target.AllBlocksCleared:
			s.clear(id)
		}
	}
	t.lastSequence = max(t.lastSequence, r.Last)
	return t.suspect
}

// RemoveTarget removes a target that died or restarted, with its entries and its
// sequence number.
func (s *Shard) RemoveTarget(name string) {
	id, ok := s.ids[name]
	if !ok {
		return
	}
	s.clear(id)
	delete(s.ids, name)
	s.targets[id] = targetState{}
}

// Len returns the number of blocks.
func (s *Shard) Len() int { return len(s.entries) }

// Lookup returns which targets hold the prompt's blocks up to the first block
// that no target holds. Engines are listed with the leading blocks that they hold.
func (s *Shard) Lookup(keys []chain.Key) []Holder {
	var holders []Holder
	var ids []uint16
	for i := range keys {
		k := toEntryKey(keys[i])
		e, ok := s.entries[k]
		if !ok {
			break
		}
		ids = s.holders(ids[:0], k, e)
		for _, id := range ids {
			t := &s.targets[id]
			j := slices.IndexFunc(holders, func(h Holder) bool { return h.End == i && h.Target == t.name })
			switch {
			case j >= 0:
				holders[j].End++
			case i == 0 || t.kind == Store:
				holders = append(holders, Holder{Target: t.name, Kind: t.kind, First: i, End: i + 1, Suspect: t.suspect})
			}
		}
	}
	return holders
}

// Rebalance drops the entries that self no longer owns. If a host left, self
// may own chains whose events were sent to that host, so every target becomes
// suspect.
func (s *Shard) Rebalance(self string, before, after *Owners) {
	for k, e := range s.entries {
		if !after.owns(self, e.shardPoint) {
			delete(s.entries, k)
			delete(s.overflow, k)
		}
	}
	for _, h := range before.hosts {
		if !slices.Contains(after.hosts, h) {
			for i := range s.targets {
				s.targets[i].suspect = true
			}
			return
		}
	}
}

// Replace replaces a target's entries by an inventory. It returns false if the
// inventory is older than the applied events; the caller then requests a new one.
func (s *Shard) Replace(name string, kind Kind, v target.Inventory) bool {
	id := s.intern(name, kind)
	if v.Sequence < s.targets[id].lastSequence {
		return false
	}
	s.clear(id)
	for _, p := range v.Blocks {
		s.add(toEntryKey(p.Key), rendezvousPoint(p.ShardKey), id)
	}
	s.targets[id].lastSequence, s.targets[id].suspect = v.Sequence, false
	return true
}

// Suspects returns the targets that need an inventory.
func (s *Shard) Suspects() []string {
	var names []string
	for _, t := range s.targets {
		if t.suspect && t.name != "" {
			names = append(names, t.name)
		}
	}
	slices.Sort(names)
	return names
}

func (s *Shard) add(k entryKey, shardPoint uint64, id uint16) {
	e := s.entries[k]
	e.shardPoint = shardPoint
	if slices.Contains(e.ids[:], id) || slices.Contains(s.overflow[k], id) {
		return
	}
	if i := slices.Index(e.ids[:], 0); i >= 0 {
		e.ids[i] = id
	} else {
		s.overflow[k] = append(s.overflow[k], id)
	}
	s.entries[k] = e
}

// clear removes a target from all entries.
func (s *Shard) clear(id uint16) {
	for k, e := range s.entries {
		if slices.Contains(e.ids[:], id) || len(s.overflow[k]) > 0 {
			s.remove(k, id)
		}
	}
}

func (s *Shard) holders(ids []uint16, k entryKey, e entry) []uint16 {
	for _, id := range e.ids {
		if id != 0 {
			ids = append(ids, id)
		}
	}
	if e.ids[inlineHolders-1] != 0 && len(s.overflow) > 0 {
		ids = append(ids, s.overflow[k]...)
	}
	return ids
}

// intern returns the ID of a target and reuses those of dropped targets.
func (s *Shard) intern(name string, kind Kind) uint16 {
	if id, ok := s.ids[name]; ok {
		return id
	}
	t := targetState{name: name, kind: kind}
	for id := 1; id < len(s.targets); id++ {
		if s.targets[id].name == "" {
			s.targets[id] = t
			s.ids[name] = uint16(id)
			return uint16(id)
		}
	}
	s.targets = append(s.targets, t)
	s.ids[name] = uint16(len(s.targets) - 1)
	return s.ids[name]
}

func (s *Shard) remove(k entryKey, id uint16) {
	e, ok := s.entries[k]
	if !ok {
		return
	}
	overflow := s.overflow[k]
	if i := slices.Index(overflow, id); i >= 0 {
		overflow = slices.Delete(overflow, i, i+1)
	} else if i := slices.Index(e.ids[:], id); i >= 0 {
		// Empty slots stay at the end, and only full entries use overflow.
		copy(e.ids[i:], e.ids[i+1:])
		e.ids[inlineHolders-1] = 0
		if n := len(overflow); n > 0 {
			e.ids[inlineHolders-1] = overflow[n-1]
			overflow = overflow[:n-1]
		}
	}
	if len(overflow) == 0 {
		delete(s.overflow, k)
	} else {
		s.overflow[k] = overflow
	}
	if e.ids[0] == 0 {
		delete(s.entries, k)
		return
	}
	s.entries[k] = e
}
