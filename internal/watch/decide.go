package watch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sesamehill.example/sesamehill/pkg/config"
)

const (
	// requiredPeers is the number of hosts whose heads a new host must receive before
	// it puts its first revision in force: the platform may have been restored to an
	// older one.
	requiredPeers = 3
	// MaxPeerWait is the time after which a new host no longer waits for those heads,
	// for example in a zone that a partition separates from all others.
	MaxPeerWait = 8 * time.Second
)

// View is the input of Decide.
type View struct {
	// InForce is the zero Head on a new host.
	InForce Head
	// Platform is nil while the platform does not answer.
	Platform *PlatformHead
	// Peers holds the heads in force on other live hosts, by host name; a host that
	// has nothing in force has the zero Head.
	Peers map[string]Head
	// Others is the number of other hosts, live or listed.
	Others int
	// SinceStart is the time since the start of the host.
	SinceStart time.Duration
	// CompleteRoot is the root of the staged tree if all its sections are present.
	CompleteRoot config.Hash
}

// PlatformHead is the head read from the platform, with its row's version.
type PlatformHead struct {
	Head
	RowVersion uint64
}

// Action is one of Wait, Fetch, Enforce, Repair, Ignore and Diverge.
type Action interface{ action() }

// Wait means that a new host must first receive the heads of other hosts.
type Wait struct{}

// Fetch means that sections of a newer revision are missing.
type Fetch struct{ Head Head }

// Enforce means that a newer revision is complete and must be put in force.
type Enforce struct{ Head Head }

// Repair means that the platform shows a lower revision than the one in force,
// which must be written back.
type Repair struct {
	Head Head
	// RowVersion is the version of the row that is replaced.
	RowVersion uint64
}

// Ignore means that a source has a lower revision; Source is empty for the
// platform.
type Ignore struct {
	Source string
	Head   Head
}

// Diverge means that a source has the revision that is in force here with different
// content. The next commit resolves the divergence.
type Diverge struct {
	Source  string
	InForce Head
	Other   Head
}

func (Wait) action()    {}
func (Fetch) action()   {}
func (Enforce) action() {}
func (Repair) action()  {}
func (Ignore) action()  {}
func (Diverge) action() {}

// Decide returns the actions that the host must take, in order.
func Decide(v View) []Action {
	if v.InForce.Revision == 0 && len(v.Peers) < min(requiredPeers, v.Others) && v.SinceStart < MaxPeerWait {
		return []Action{Wait{}}
	}
	var actions []Action
	newest := v.InForce
	compare := func(source string, h Head) {
		switch {
		case h.Revision > newest.Revision:
			newest = h
		case h.Revision < v.InForce.Revision:
			actions = append(actions, Ignore{Source: source, Head: h})
		case h.Revision == v.InForce.Revision && h.Root != v.InForce.Root:
			actions = append(actions, Diverge{Source: source, InForce: v.InForce, Other: h})
		}
	}
	if v.Platform != nil {
		compare("", v.Platform.Head)
		if v.Platform.Revision < v.InForce.Revision {
			actions = append(actions, Repair{Head: v.InForce, RowVersion: v.Platform.RowVersion})
		}
	}
	for _, name := range slices.SortedFunc(maps.Keys(v.Peers), cmp.Compare) {
		compare(name, v.Peers[name])
	}
	switch {
	case newest.Revision <= v.InForce.Revision:
	case newest.Root == v.CompleteRoot:
		actions = append(actions, Enforce{Head: newest})
	default:
		actions = append(actions, Fetch{Head: newest})
	}
	return actions
}
