package config

import (
	"encoding/hex"
	"fmt"

	"github.com/zeebo/blake3"
)

// HashSize is the length of a Hash in bytes.
const HashSize = 32

// Hash is the BLAKE3 hash of a section, by which the section is addressed.
type Hash [HashSize]byte

// HashOf returns the hash of a section.
func HashOf(data []byte) Hash { return blake3.Sum256(data) }

// ParseHash decodes the hexadecimal form of a hash.
func ParseHash(s string) (Hash, error) {
	var h Hash
	err := h.UnmarshalText([]byte(s))
	return h, err
}

// IsZero reports whether h is the zero hash, which refers to no section.
func (h Hash) IsZero() bool { return h == Hash{} }

// MarshalBinary encodes h. The zero hash is encoded as no bytes.
func (h Hash) MarshalBinary() ([]byte, error) {
	if h.IsZero() {
		return nil, nil
	}
	return h[:], nil
}

// MarshalText encodes h in hexadecimal.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// String returns h in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// UnmarshalBinary decodes the form that MarshalBinary returns.
func (h *Hash) UnmarshalBinary(b []byte) error {
	if len(b) != 0 && len(b) != HashSize {
		return fmt.Errorf("section hash has %d bytes; give %d or none", len(b), HashSize)
	}
	*h = Hash{}
	copy(h[:], b)
	return nil
}

// UnmarshalText decodes the hexadecimal form of a hash.
func (h *Hash) UnmarshalText(b []byte) error {
	if len(b) != 2*HashSize {
		return fmt.Errorf("section hash has %d characters; give %d hexadecimal digits", len(b), 2*HashSize)
	}
	if _, err := hex.Decode(h[:], b); err != nil {
		return fmt.Errorf("section hash %q is not hexadecimal: %w", b, err)
	}
	return nil
}
