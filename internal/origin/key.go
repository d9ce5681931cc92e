package origin

import (
	"encoding/binary"
	"slices"
	"strconv"

	"github.com/zeebo/blake3"
)

// Key is a hash of the ID of the request that brought the first event of a stream.
type Key uint64

// String returns the key as a hexadecimal number.
func (k Key) String() string { return strconv.FormatUint(uint64(k), 16) }

// NewKey returns the key of a request.
func NewKey(request string) Key {
	sum := blake3.Sum256([]byte(request))
	return Key(binary.BigEndian.Uint64(sum[:8]))
}

// Origin is what began a stream.
type Origin struct {
	Service  string `cbor:"1,keyasint"`
	Software string `cbor:"2,keyasint"`
}

// Begun holds the streams that one software version of a service began.
type Begun struct {
	Origin Origin `cbor:"1,keyasint"`
	Keys   []Key  `cbor:"2,keyasint"`
}

// Sightings are the software versions of services that have more than one, by service and
// version, each with the time since one of its targets was last listed, in milliseconds.
type Sightings map[string]map[string]int64

// Versions are the software versions of a service that may have begun a stream that is
// resumed now, as they are stored.
type Versions struct {
	// Base is the version at which a stream without a record began; empty if unknown.
	Base  string   `json:"base,omitempty"`
	Names []string `json:"versions"`
}

// Equal reports whether two values are the same.
func (v Versions) Equal(o Versions) bool { return v.Base == o.Base && slices.Equal(v.Names, o.Names) }
