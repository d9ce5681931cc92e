package chain

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"

	"github.com/zeebo/blake3"
)

// KeySize is the length of a Key in bytes.
const KeySize = 32

// Key identifies one block of a prompt within its cache namespace.
type Key [KeySize]byte

// ParseKey decodes the hexadecimal form of a key.
func ParseKey(s string) (Key, error) {
	var k Key
	if err := k.UnmarshalText([]byte(s)); err != nil {
		return Key{}, err
	}
	return k, nil
}

// IsZero reports whether k is the zero key, which is the parent key of the first
// block of a prompt.
func (k Key) IsZero() bool { return k == Key{} }

// MarshalText encodes k in hexadecimal.
func (k Key) MarshalText() ([]byte, error) {
	return []byte(k.String()), nil
}

// String returns k in hexadecimal.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// UnmarshalText decodes the hexadecimal form of a key.
func (k *Key) UnmarshalText(b []byte) error {
	if len(b) != 2*KeySize {
		return fmt.Errorf("block key has %d characters; give %d hexadecimal digits", len(b), 2*KeySize)
	}
	if _, err := hex.Decode(k[:], b); err != nil {
		return fmt.Errorf("block key %q is not hexadecimal: %w", b, err)
	}
	return nil
}

// Namespace is the cache namespace of a request. It separates the keys of client
// accounts, models, adapters and weight versions.
type Namespace struct {
	Account string `json:"account" cbor:"account"`
	Model   string `json:"model" cbor:"model"`
	Adapter string `json:"adapter,omitempty" cbor:"adapter,omitempty"`
	Version string `json:"version" cbor:"version"`
}

// Keys returns the keys of the complete blocks of tokens, in order. It returns nil
// if blockTokens is not positive.
func Keys(s Namespace, tokens []uint32, blockTokens int) []Key {
	if blockTokens <= 0 || len(tokens) < blockTokens {
		return nil
	}
	keys := make([]Key, 0, len(tokens)/blockTokens)
	namespace := s.encode()
	blockBytes := make([]byte, 0, 4*blockTokens)
	var parent Key
	for i := 0; i+blockTokens <= len(tokens); i += blockTokens {
		blockBytes = blockBytes[:0]
		for _, t := range tokens[i : i+blockTokens] {
			blockBytes = binary.LittleEndian.AppendUint32(blockBytes, t)
		}
		parent = childKey(namespace, parent, blockBytes)
		keys = append(keys, parent)
	}
	return keys
}

func (s Namespace) encode() []byte {
	var b []byte
	for _, f := range []string{s.Account, s.Model, s.Adapter, s.Version} {
		b = binary.LittleEndian.AppendUint32(b, uint32(len(f)))
		b = append(b, f...)
	}
	return b
}

func childKey(namespace []byte, parent Key, block []byte) Key {
	h := blake3.New()
	_, _ = h.Write(namespace)
	_, _ = h.Write(parent[:])
	_, _ = h.Write(block)
	var k Key
	copy(k[:], h.Sum(nil))
	return k
}
