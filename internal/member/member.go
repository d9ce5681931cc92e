package member

import (
	"fmt"
	"time"
)

// State is the state of a member.
type State uint8

// States, in order of precedence within one incarnation.
const (
	Alive State = iota
	Suspect
	Dead
)

// String returns the state in lower case.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	}
	return fmt.Sprintf("state(%d)", uint8(s))
}

// MarshalText encodes the state for status output.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Member is the record of one host. Only the host itself starts a new incarnation.
type Member struct {
	_           struct{} `cbor:",toarray"`
	Name        string   `json:"name"`
	Address     string   `json:"address"`
	Region      string   `json:"region"`
	Zone        string   `json:"zone"`
	Incarnation uint64   `json:"incarnation"`
	State       State    `json:"state"`
	// Leaving stays set for the rest of the incarnation.
	Leaving bool `json:"leaving"`
	// Revision is the revision of the configuration document in force on the host.
	Revision uint64 `json:"revision"`
}

// maxNameBytes bounds each text of a record, so that a heartbeat always has room
// for several records.
const maxNameBytes = 64

// maxCount bounds incarnations and revisions. A host refutes a record of itself with the
// next incarnation, which has to exist.
const maxCount = 1 << 62

// Check returns an error for a record that no host sends.
func (m Member) Check() error {
	for _, s := range []string{m.Name, m.Address, m.Region, m.Zone} {
		if s == "" || len(s) > maxNameBytes {
			return fmt.Errorf("member %q: name, address, region and zone need 1 to %d bytes each", m.Name, maxNameBytes)
		}
	}
	if m.State > Dead {
		return fmt.Errorf("member %q: unknown state %d; update this host", m.Name, m.State)
	}
	if m.Incarnation > maxCount || m.Revision > maxCount {
		return fmt.Errorf("member %q: incarnation %d or revision %d is above %d; restart the host with a correct clock", m.Name, m.Incarnation, m.Revision, uint64(maxCount))
	}
	return nil
}

// Usable reports whether m accepts new work.
func (m Member) Usable() bool { return m.State == Alive && !m.Leaving }

// merge returns the least record that is at least as new as a and b in every
// respect. It is commutative, associative and idempotent, so that all hosts
// reach the same record whatever the order of updates.
func merge(a, b Member) Member {
	if a.Incarnation != b.Incarnation {
		if a.Incarnation > b.Incarnation {
			return a
		}
		return b
	}
	out := a
	// Two processes that share a name and an incarnation.
	if b.Address > a.Address {
		out.Address, out.Region, out.Zone = b.Address, b.Region, b.Zone
	} else if b.Address == a.Address {
		out.Region, out.Zone = max(a.Region, b.Region), max(a.Zone, b.Zone)
	}
	out.State = max(a.State, b.State)
	out.Leaving = a.Leaving || b.Leaving
	out.Revision = max(a.Revision, b.Revision)
	return out
}

// Change is a change of a Table: Joined, Suspected, Refuted, Left, Died, Forgotten or
// Shared.
type Change interface{ change() }

// Joined reports that a host is a member now, for the first time or again after it
// was leaving or declared dead.
type Joined struct{ Member Member }

// Suspected reports that a host did not answer and will be declared dead at Until
// unless it answers.
type Suspected struct {
	Member Member
	Until  time.Time
}

// Refuted reports that a suspected host has answered.
type Refuted struct{ Member Member }

// Left reports that a host accepts no new work.
type Left struct{ Member Member }

// Died reports that a host was declared dead.
type Died struct{ Member Member }

// Forgotten reports that the record of a long-dead host was dropped.
type Forgotten struct{ Member Member }

// Shared reports that another process uses, or used until recently, this host's name
// at another address.
type Shared struct{ Other Member }

func (Joined) change()    {}
func (Suspected) change() {}
func (Refuted) change()   {}
func (Left) change()      {}
func (Died) change()      {}
func (Forgotten) change() {}
func (Shared) change()    {}
