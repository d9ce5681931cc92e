package config

import (
	"encoding/hex"
	"fmt"
	"strings"
	"time"

	"github.com/zeebo/blake3"
)

const keyHashPrefix = "blake3:"

// Duration is a time.Duration that is encoded as text, such as "1.5s".
type Duration time.Duration

// AsDuration returns d as a time.Duration.
func (d Duration) AsDuration() time.Duration { return time.Duration(d) }

// MarshalText encodes d as time.Duration prints it.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText decodes a duration with a unit.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("duration %q needs a number and a unit, such as \"250ms\" or \"3s\"", b)
	}
	*d = Duration(v)
	return nil
}

// HashKey returns the hash of an API key, in the form in which configuration
// documents and settings files hold it.
func HashKey(key string) string {
	h := blake3.Sum256([]byte(key))
	return keyHashPrefix + hex.EncodeToString(h[:])
}

// IsKeyHash reports whether s has the form that HashKey returns.
func IsKeyHash(s string) bool {
	h, ok := strings.CutPrefix(s, keyHashPrefix)
	if !ok || len(h) != 64 {
		return false
	}
	_, err := hex.DecodeString(h)
	return err == nil
}
