package feed

import (
	"cmp"
	"fmt"
)

// Position is a position in the changes of the platform's tables.
//
// When the platform returns from an older copy of its tables, a new era begins: it
// gives versions out again, with other content. A version alone therefore says nothing
// about the changes of another era. A platform without eras is always in era zero.
type Position struct {
	Era     uint64
	Version uint64
}

// Compare compares the eras, and within an era the versions.
func (p Position) Compare(o Position) int {
	return cmp.Or(cmp.Compare(p.Era, o.Era), cmp.Compare(p.Version, o.Version))
}

// Before reports whether p is an older position than o.
func (p Position) Before(o Position) bool { return p.Compare(o) < 0 }

// String returns the era and the version.
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Era, p.Version) }
