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
	// SuspectTimeout is the time that a suspected host has to refute the suspicion. A
	// refutation reaches all of 330 members within two to three rounds of heartbeats.
	SuspectTimeout = 3 * time.Second
	// ForgetTime is the time after which a dead host's record is dropped. Hosts
	// that a partition separates for longer find each other through the platform's
	// list.
	ForgetTime = time.Hour
	// pauseThreshold is the time between two ticks above which this process is
	// assumed to have been paused. Missing answers during a pause are no evidence
	// against other hosts.
	pauseThreshold = 2 * time.Second
	// peersPerRound is the number of heartbeats in a round.
	peersPerRound = 3
	// zonePeersPerRound is the number of those that go to this host's own zone, whose
	// hosts exchange their load.
	zonePeersPerRound = 2
	// retryProbability is the probability that a round also contacts a dead host or
	// one that is only in the platform's list. It heals partitions within seconds and keeps
	// connection attempts to stopped hosts rare.
	retryProbability = 0.25
	// healDuration is the time after contact with a dead host during which each
	// round contacts several: other dead hosts have probably recovered, too.
	healDuration = 10 * time.Second
)

// Table is one host's view of the membership. It does no I/O and is not safe for
// concurrent use.
type Table struct {
	self      string
	entries   map[string]*entry
	sorted    []*entry // in order of name
	seeds     map[string]Member
	lastTick  time.Time
	healUntil time.Time // until then, each round contacts several dead hosts
}

type entry struct {
	Member
	stateSince    time.Time
	transmissions int // number of messages that carried the record
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
	out := make([]Member, 0, len(t.sorted))
	for _, e := range t.sorted {
		out = append(out, e.Member)
	}
	return out
}

// Live returns the records of all hosts that are not dead, this one included, in
// order of name.
func (t *Table) Live() []Member {
	return slices.DeleteFunc(t.Members(), func(m Member) bool { return m.State == Dead })
}

// Others returns the number of other hosts that are live or only in the platform's
// list.
func (t *Table) Others() int {
	n := len(t.Live()) - 1
	for name := range t.seeds {
		if _, known := t.entries[name]; !known {
			n++
		}
	}
	return n
}

// Digest returns a hash of the records that Live returns.
func (t *Table) Digest() uint64 {
	h := blake3.New()
	for _, m := range t.Live() {
		b, _ := Encode(m)
		_, _ = h.Write(b)
	}
	return binary.LittleEndian.Uint64(h.Sum(nil))
}

// Targets returns the hosts that receive the next round of heartbeats: random hosts,
// most of them in this host's zone, and sometimes a host that is dead or only in the
// platform's list.
func (t *Table) Targets(now time.Time, r *rand.Rand) []Member {
	var sameZone, otherZones, unreachable []Member
	self := t.Self()
	for _, e := range t.sorted {
		switch m := e.Member; {
		case m.Name == t.self:
		case m.State == Dead:
			unreachable = append(unreachable, m)
		case m.Region == self.Region && m.Zone == self.Zone:
			sameZone = append(sameZone, m)
		default:
			otherZones = append(otherZones, m)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(t.seeds)) {
		if _, known := t.entries[name]; !known {
			unreachable = append(unreachable, t.seeds[name])
		}
	}
	for _, s := range [][]Member{sameZone, otherZones, unreachable} {
		r.Shuffle(len(s), func(i, j int) { s[i], s[j] = s[j], s[i] })
	}
	n := min(len(sameZone), max(zonePeersPerRound, peersPerRound-len(otherZones)))
	out := append(slices.Clone(sameZone[:n]), otherZones[:min(len(otherZones), peersPerRound-n)]...)
	switch {
	case len(out) == 0 || now.Before(t.healUntil):
		out = append(out, unreachable[:min(len(unreachable), peersPerRound)]...)
	case len(unreachable) > 0 && r.Float64() < retryProbability:
		out = append(out, unreachable[0])
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

// Seed replaces the hosts of the platform's list. They are contacted, but become
// members only when they answer.
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
	e.Leaving, e.transmissions = true, 0
}

// SetRevision sets the revision that this host has in force.
func (t *Table) SetRevision(revision uint64) {
	if e := t.entries[t.self]; revision > e.Revision {
		e.Revision, e.transmissions = revision, 0
	}
}

// Failed records that a host did not answer, neither directly nor through other
// hosts. It ignores hosts that are not members.
func (t *Table) Failed(name string, now time.Time) []Change {
	e, ok := t.entries[name]
	if !ok || name == t.self || e.State != Alive {
		return nil
	}
	m := e.Member
	m.State = Suspect
	return t.Merge([]Member{m}, now)
}

// Merge merges records received from other hosts into the table.
func (t *Table) Merge(updates []Member, now time.Time) []Change {
	var changes []Change
	for _, m := range updates {
		if m.Name == t.self {
			changes = append(changes, t.refute(m)...)
			continue
		}
		e, ok := t.entries[m.Name]
		if !ok {
			// The record of a dead host is not added again after it was forgotten.
			if m.State != Dead {
				t.add(&entry{Member: m, stateSince: now})
				changes = append(changes, Joined{m})
				changes = append(changes, t.transition(Member{}, m, now)...)
			}
			continue
		}
		before := e.Member
		if m.State == Dead && before.State == Alive {
			// The host gets time to refute. After a partition, hosts receive the other
			// side's records, in which this side's hosts are dead.
			m.State = Suspect
		}
		after := merge(before, m)
		e.Member = after
		if after.State != before.State || after.Incarnation != before.Incarnation {
			e.stateSince = now
		}
		// A new revision alone is not sent on: at 330 members that would take 250 KB
		// per host for each change of the configuration document.
		expected := before
		expected.Revision = after.Revision
		if after != expected {
			e.transmissions = 0
		}
		if before.State == Dead && after.State == Alive {
			t.healUntil = now.Add(healDuration)
		}
		changes = append(changes, t.transition(before, after, now)...)
	}
	return changes
}

// Tick declares suspect hosts dead after SuspectTimeout, and removes the records of
// hosts that have been dead for ForgetTime.
func (t *Table) Tick(now time.Time) []Change {
	if gap := now.Sub(t.lastTick); !t.lastTick.IsZero() && gap > pauseThreshold {
		for _, e := range t.entries {
			e.stateSince = e.stateSince.Add(gap)
		}
	}
	t.lastTick = now
	var changes []Change
	remaining := t.sorted[:0]
	for _, e := range t.sorted {
		age := now.Sub(e.stateSince)
		switch {
		case e.State == Suspect && age >= SuspectTimeout:
			e.State, e.stateSince, e.transmissions = Dead, now, 0
			changes = append(changes, Died{e.Member})
		case e.State == Dead && age >= ForgetTime:
			delete(t.entries, e.Name)
			changes = append(changes, Forgotten{e.Member})
			continue
		}
		remaining = append(remaining, e)
	}
	t.sorted = remaining
	return changes
}

func (t *Table) add(e *entry) {
	i, _ := slices.BinarySearchFunc(t.sorted, e.Name, func(o *entry, name string) int { return cmp.Compare(o.Name, name) })
	t.sorted = slices.Insert(t.sorted, i, e)
	t.entries[e.Name] = e
}

// refute starts a higher incarnation if another host's record of this host differs
// from its own.
func (t *Table) refute(m Member) []Change {
	e := t.entries[t.self]
	own := e.Member
	matches := m.Incarnation == own.Incarnation && m.State == Alive &&
		(own.Leaving || !m.Leaving) && m.Address == own.Address
	if m.Incarnation < own.Incarnation || matches {
		return nil
	}
	e.Incarnation, e.transmissions = m.Incarnation+1, 0
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
			changes = append(changes, Suspected{Member: after, Until: now.Add(SuspectTimeout)})
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

// Updates returns up to MaxUpdates records to send to a host, the least transmitted
// ones first, in at most remainingBytes bytes. A record of the receiver that it
// must refute comes before all others. to is the receiver's own record or, for the
// first message, the record in this table.
func (t *Table) Updates(to Member, remainingBytes int) []Member {
	limit := maxTransmissions(len(t.entries))
	var queue []*entry
	for _, e := range t.sorted {
		if e.transmissions < limit && e.Name != t.self && e.Name != to.Name {
			queue = append(queue, e)
		}
	}
	slices.SortFunc(queue, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.transmissions, b.transmissions), -compareBool(a.Leaving, b.Leaving), cmp.Compare(a.Name, b.Name))
	})
	if e, ok := t.entries[to.Name]; ok {
		merged := merge(e.Member, to)
		merged.Revision = to.Revision
		if merged.State != Alive || merged != to {
			queue = slices.Insert(queue, 0, e)
		}
	}
	var out []Member
	for _, e := range queue {
		size := encodedSize(e.Member)
		if len(out) == MaxUpdates || size > remainingBytes {
			break
		}
		remainingBytes -= size
		e.transmissions++
		out = append(out, e.Member)
	}
	return out
}

// maxTransmissions returns the number of messages that carry a record after a
// change. It grows with the logarithm of the number of members, like the number of
// rounds in which an update reaches all of them. With half as many messages, one of
// 100 hosts sometimes received the update about a leaving host only 24 s later, by
// fetching a whole table.
func maxTransmissions(members int) int {
	n := 4
	for ; members > 1; members /= 2 {
		n += 2
	}
	return n
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
