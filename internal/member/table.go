package member

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zeebo/blake3"

	"sesamehill.example/sesamehill/internal/table"
)

const (
	// SuspectTime is the time that a suspected host has to refute. A refutation
	// reaches all of 330 members within two to three rounds of heartbeats.
	SuspectTime = 3 * time.Second
	// ForgetTime is the time after which a dead host's record is dropped. Hosts
	// that a partition separates for longer find each other by the platform's
	// list.
	ForgetTime = time.Hour
	// pauseLimit is the time between two ticks above which this process counts
	// as paused: what it did not hear in between says nothing about others.
	pauseLimit = 2 * time.Second
	// peersPerRound is the number of heartbeats in a round.
	peersPerRound = 3
	// zonePeersPerRound of them go to the own zone, whose hosts exchange load.
	zonePeersPerRound = 2
	// retryShare is the chance that a round also contacts a dead host or one
	// that only the list names. It heals partitions within seconds and keeps
	// connection attempts to hosts that are gone rare.
	retryShare = 0.25
	// healTime is the time after contact with a dead host during which each
	// round contacts several: others are likely to be back too.
	healTime = 10 * time.Second
)

// Table is the membership as one host knows it. It does no I/O and is not safe
// for concurrent use.
type Table struct {
	self    string
	entries map[string]*entry
	order   []*entry // in order of name
	seeds   map[string]Member
	ticked  time.Time
	healing time.Time // end of the time in which dead hosts are contacted often
}

type entry struct {
	Member
	since time.Time // of the state
	sent  int       // number of messages that carried the record
}

// NewTable returns the table of the host self. An incarnation of 0 is replaced
// by 1; hosts pass their start time in milliseconds, so that a restarted host
// usually starts above its own earlier records.
func NewTable(self Member) *Table {
	self.Incarnation = max(self.Incarnation, 1)
	self.State, self.Leaving = Alive, false
	t := &Table{self: self.Name, entries: map[string]*entry{}, seeds: map[string]Member{}}
	t.add(&entry{Member: self})
	return t
}

// Self returns this host's record.
func (t *Table) Self() Member { return t.entries[t.self].Member }

// Member returns the record of a host.
func (t *Table) Member(name string) (Member, bool) {
	e, ok := t.entries[name]
	if !ok {
		return Member{}, false
	}
	return e.Member, true
}

// Members returns all records in order of name, dead ones included.
func (t *Table) Members() []Member {
	out := make([]Member, 0, len(t.order))
	for _, e := range t.order {
		out = append(out, e.Member)
	}
	return out
}

// Live returns the records of all hosts that are not dead, this one included, in
// order of name.
func (t *Table) Live() []Member {
	return slices.DeleteFunc(t.Members(), func(m Member) bool { return m.State == Dead })
}

// Others returns the number of other hosts that live or are only listed.
func (t *Table) Others() int {
	n := len(t.Live()) - 1
	for name := range t.seeds {
		if _, known := t.entries[name]; !known {
			n++
		}
	}
	return n
}

// Digest identifies what Live returns.
func (t *Table) Digest() uint64 {
	h := blake3.New()
	for _, m := range t.Live() {
		b, _ := Encode(m)
		_, _ = h.Write(b)
	}
	return binary.LittleEndian.Uint64(h.Sum(nil))
}

// Targets returns the hosts that the next round of heartbeats goes to: random
// ones, most of them in the own zone, and now and then one that is dead or only
// listed.
func (t *Table) Targets(now time.Time, r *rand.Rand) []Member {
	var near, far, lost []Member
	self := t.Self()
	for _, e := range t.order {
		switch m := e.Member; {
		case m.Name == t.self:
		case m.State == Dead:
			lost = append(lost, m)
		case m.Region == self.Region && m.Zone == self.Zone:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(t.seeds)) {
		if _, known := t.entries[name]; !known {
			lost = append(lost, t.seeds[name])
		}
	}
	for _, s := range [][]Member{near, far, lost} {
		r.Shuffle(len(s), func(i, j int) { s[i], s[j] = s[j], s[i] })
	}
	n := min(len(near), max(zonePeersPerRound, peersPerRound-len(far)))
	out := append(slices.Clone(near[:n]), far[:min(len(far), peersPerRound-n)]...)
	switch {
	case len(out) == 0 || now.Before(t.healing):
		out = append(out, lost[:min(len(lost), peersPerRound)]...)
	case len(lost) > 0 && r.Float64() < retryShare:
		out = append(out, lost[0])
	}
	return out
}

// Relays returns up to n random live hosts other than this one and the target.
func (t *Table) Relays(target string, n int, r *rand.Rand) []Member {
	out := slices.DeleteFunc(t.Live(), func(m Member) bool {
		return m.Name == t.self || m.Name == target || m.State != Alive
	})
	r.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), n)]
}

// Seed replaces the hosts that the platform's list names. They are contacted,
// but are members only once they have answered.
func (t *Table) Seed(hosts []table.ListedHost) {
	clear(t.seeds)
	for _, h := range hosts {
		if h.Name != t.self {
			t.seeds[h.Name] = Member{Name: h.Name, Address: h.Address, Region: h.Region, Zone: h.Zone}
		}
	}
}

// Leave marks this host as leaving for the rest of its incarnation.
func (t *Table) Leave() {
	e := t.entries[t.self]
	e.Leaving, e.sent = true, 0
}

// SetRevision states the revision that this host has in force.
func (t *Table) SetRevision(revision uint64) {
	if e := t.entries[t.self]; revision > e.Revision {
		e.Revision, e.sent = revision, 0
	}
}

// Failed records that a host did not answer, neither directly nor through other
// hosts. Failures of hosts that are not members change nothing.
func (t *Table) Failed(name string, now time.Time) []Change {
	e, ok := t.entries[name]
	if !ok || name == t.self || e.State != Alive {
		return nil
	}
	m := e.Member
	m.State = Suspect
	return t.Merge([]Member{m}, now)
}

// Merge takes records from other hosts.
func (t *Table) Merge(updates []Member, now time.Time) []Change {
	var changes []Change
	for _, m := range updates {
		if m.Name == t.self {
			changes = append(changes, t.refute(m)...)
			continue
		}
		e, ok := t.entries[m.Name]
		if !ok {
			// A dead host's record is not taken back after it was forgotten.
			if m.State != Dead {
				t.add(&entry{Member: m, since: now})
				changes = append(changes, Joined{m})
				changes = append(changes, t.transition(Member{}, m, now)...)
			}
			continue
		}
		before := e.Member
		if m.State == Dead && before.State == Alive {
			// The host gets time to refute: after a partition, the other side's
			// records of this side's hosts arrive.
			m.State = Suspect
		}
		after := merge(before, m)
		e.Member = after
		if after.State != before.State || after.Incarnation != before.Incarnation {
			e.since = now
		}
		// A revision alone is not passed on: at 330 members that would take
		// 250 KB a host for each change of the document.
		rest := before
		rest.Revision = after.Revision
		if after != rest {
			e.sent = 0
		}
		if before.State == Dead && after.State == Alive {
			t.healing = now.Add(healTime)
		}
		changes = append(changes, t.transition(before, after, now)...)
	}
	return changes
}

// Tick declares suspects dead whose time is over, and forgets long-dead hosts.
func (t *Table) Tick(now time.Time) []Change {
	if gap := now.Sub(t.ticked); !t.ticked.IsZero() && gap > pauseLimit {
		for _, e := range t.entries {
			e.since = e.since.Add(gap)
		}
	}
	t.ticked = now
	var changes []Change
	kept := t.order[:0]
	for _, e := range t.order {
		age := now.Sub(e.since)
		switch {
		case e.State == Suspect && age >= SuspectTime:
			e.State, e.since, e.sent = Dead, now, 0
			changes = append(changes, Died{e.Member})
		case e.State == Dead && age >= ForgetTime:
			delete(t.entries, e.Name)
			changes = append(changes, Forgotten{e.Member})
			continue
		}
		kept = append(kept, e)
	}
	t.order = kept
	return changes
}

func (t *Table) add(e *entry) {
	i, _ := slices.BinarySearchFunc(t.order, e.Name, func(o *entry, name string) int { return cmp.Compare(o.Name, name) })
	t.order = slices.Insert(t.order, i, e)
	t.entries[e.Name] = e
}

// refute answers a record of this host that says something else than it does
// itself, by a higher incarnation.
func (t *Table) refute(m Member) []Change {
	e := t.entries[t.self]
	own := e.Member
	agrees := m.Incarnation == own.Incarnation && m.State == Alive &&
		(own.Leaving || !m.Leaving) && m.Address == own.Address
	if m.Incarnation < own.Incarnation || agrees {
		return nil
	}
	e.Incarnation, e.sent = m.Incarnation+1, 0
	if m.Address != own.Address && m.State == Alive {
		return []Change{Shared{m}}
	}
	return nil
}

func (t *Table) transition(before, after Member, now time.Time) []Change {
	var changes []Change
	if after.State != before.State {
		switch {
		case after.State == Dead:
			changes = append(changes, Died{after})
		case after.State == Suspect:
			changes = append(changes, Suspected{Member: after, Until: now.Add(SuspectTime)})
		case before.State == Dead || before.Leaving && !after.Leaving:
			changes = append(changes, Joined{after})
		default:
			changes = append(changes, Refuted{after})
		}
	}
	switch {
	case after.Leaving && !before.Leaving:
		changes = append(changes, Left{after})
	case before.Leaving && !after.Leaving && before.State == Alive:
		changes = append(changes, Joined{after})
	}
	return changes
}

// Updates returns records to send to a host, the most recent ones first, up to
// MaxUpdates and room bytes. A record of the receiver that it must refute comes
// before all others; to is the receiver's record as it states it itself or, for
// the first message, as it is known here.
func (t *Table) Updates(to Member, room int) []Member {
	limit := spreadLimit(len(t.entries))
	var queue []*entry
	for _, e := range t.order {
		if e.sent < limit && e.Name != t.self && e.Name != to.Name {
			queue = append(queue, e)
		}
	}
	slices.SortFunc(queue, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), -cmpBool(a.Leaving, b.Leaving), cmp.Compare(a.Name, b.Name))
	})
	if e, ok := t.entries[to.Name]; ok {
		held := merge(e.Member, to)
		held.Revision = to.Revision
		if held.State != Alive || held != to {
			queue = slices.Insert(queue, 0, e)
		}
	}
	var out []Member
	for _, e := range queue {
		size := encodedSize(e.Member)
		if len(out) == MaxUpdates || size > room {
			break
		}
		room -= size
		e.sent++
		out = append(out, e.Member)
	}
	return out
}

// spreadLimit is the number of messages that carry a record after a change. It
// grows with the logarithm of the members, as the number of rounds does that an
// update needs to reach all of them. With half as many messages, one of 100 hosts
// sometimes learned of a leaving host only 24 s later, by taking a whole table.
func spreadLimit(members int) int {
	n := 4
	for ; members > 1; members /= 2 {
		n += 2
	}
	return n
}

func cmpBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
