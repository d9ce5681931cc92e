package index

import (
	"encoding/binary"
	"slices"

	"github.com/dgryski/go-rendezvous"
	"github.com/zeebo/blake3"

	"sesamehill.example/sesamehill/pkg/chain"
)

// OwnerCount is the number of owners of a chain. Lookups query both at once, and one
// remains when a host dies.
const OwnerCount = 2

// Owners maps a chain to its owners among the live hosts of a zone.
type Owners struct {
	hosts []string
	first *rendezvous.Rendezvous
	// second maps each first owner to the hash over the other hosts.
	second map[string]*rendezvous.Rendezvous
}

// NewOwners returns the owners for the live hosts of a zone, in any order.
func NewOwners(hosts []string) *Owners {
	hosts = slices.Compact(slices.Sorted(slices.Values(hosts)))
	o := &Owners{hosts: hosts, first: rendezvous.New(hosts, hash), second: map[string]*rendezvous.Rendezvous{}}
	for i, h := range hosts {
		o.second[h] = rendezvous.New(slices.Delete(slices.Clone(hosts), i, i+1), hash)
	}
	return o
}

// hash returns the same value in every process, unlike hash/maphash.
func hash(s string) uint64 {
	h := blake3.Sum256([]byte(s))
	return binary.LittleEndian.Uint64(h[:])
}

// IsOwner reports whether the host is an owner of the chain.
func (o *Owners) IsOwner(host string, shardKey chain.Key) bool {
	return o.owns(host, rendezvousPoint(shardKey))
}

// Lookup returns the owners of the chain with the given shard key, at most OwnerCount.
func (o *Owners) Lookup(shardKey chain.Key) []string {
	a, b := o.lookup(rendezvousPoint(shardKey))
	switch {
	case a == "":
		return nil
	case b == "":
		return []string{a}
	}
	return []string{a, b}
}

func (o *Owners) lookup(point uint64) (first, second string) {
	if len(o.hosts) == 0 {
		return "", ""
	}
	key := string(binary.LittleEndian.AppendUint64(nil, point))
	first = o.first.Lookup(key)
	if len(o.hosts) > 1 {
		second = o.second[first].Lookup(key)
	}
	return first, second
}

func (o *Owners) owns(host string, point uint64) bool {
	a, b := o.lookup(point)
	return host != "" && (host == a || host == b)
}
