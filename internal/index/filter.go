package index

import (
	"encoding/binary"
	"fmt"
	"math"

	"sesamehill.example/sesamehill/pkg/chain"
)

const (
	// filterBitsPerKey is the size of a filter. With filterHashes, its false
	// positive rate is 0.8%.
	filterBitsPerKey = 10
	filterHashes     = 7
)

// Filter is a Bloom filter of the shard keys of chains.
type Filter struct {
	Keys int    `json:"keys" cbor:"keys"`
	Bits []byte `json:"bits" cbor:"bits"`
}

// Validate reports whether a decoded filter is usable.
func (f *Filter) Validate() error {
	if f.Keys < 0 || (f.Keys > 0 && len(f.Bits) == 0) {
		return fmt.Errorf("filter has %d keys in %d bytes; ask its region for another", f.Keys, len(f.Bits))
	}
	return nil
}

// Filter returns the filter of the shard keys in the shard.
func (s *Shard) Filter() Filter {
	var f Filter
	for k, e := range s.entries {
		if k.rendezvousPoint() == e.shardPoint {
			f.Keys++
		}
	}
	f.Bits = make([]byte, (f.Keys*filterBitsPerKey+7)/8)
	for k, e := range s.entries {
		if k.rendezvousPoint() == e.shardPoint {
			f.eachBit(k, func(bit uint64) bool {
				f.Bits[bit/8] |= 1 << (bit % 8)
				return true
			})
		}
	}
	return f
}

// MayContain reports whether a chain with the given shard key may be present.
func (f *Filter) MayContain(shardKey chain.Key) bool {
	if len(f.Bits) == 0 {
		return false
	}
	return f.eachBit(toEntryKey(shardKey), func(bit uint64) bool { return f.Bits[bit/8]&(1<<(bit%8)) != 0 })
}

// FalsePositiveRate returns the expected part of absent keys for which MayContain
// returns true.
func (f *Filter) FalsePositiveRate() float64 {
	if len(f.Bits) == 0 {
		return 0
	}
	return math.Pow(1-math.Exp(-filterHashes*float64(f.Keys)/float64(8*len(f.Bits))), filterHashes)
}

// eachBit calls visit with the key's bit positions until it returns false. The key
// is already a hash, so all positions derive from its two halves.
func (f *Filter) eachBit(k entryKey, visit func(uint64) bool) bool {
	a, b := k.rendezvousPoint(), binary.LittleEndian.Uint64(k[8:])|1
	for range filterHashes {
		if !visit(a % uint64(8*len(f.Bits))) {
			return false
		}
		a += b
	}
	return true
}

// rendezvousPoint is the position of the key in the rendezvous hash if it is a
// shard key.
func (k entryKey) rendezvousPoint() uint64 { return binary.LittleEndian.Uint64(k[:]) }
