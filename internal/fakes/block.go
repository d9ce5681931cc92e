package fakes

import (
	"bytes"
	"encoding/hex"
	"fmt"

	"github.com/cloudwego/hertz/pkg/common/json"

	"github.com/zeebo/blake3"
)

// encodeBlock returns the simulated KV data of a block, padded to size bytes.
func encodeBlock(b block, size int) []byte {
	data, err := json.Marshal(b)
	if err != nil {
		panic(fmt.Sprintf("encoding a block: %v", err))
	}
	if n := size - len(data); n > 0 {
		data = append(data, bytes.Repeat([]byte{' '}, n)...)
	}
	return data
}

// decodeBlock decodes the data that encodeBlock returned.
func decodeBlock(data []byte) (block, error) {
	var b block
	err := json.Unmarshal(data, &b)
	return b, err
}

// checksum returns the BLAKE3 hash of data in hexadecimal.
func checksum(data []byte) string {
	sum := blake3.Sum256(data)
	return hex.EncodeToString(sum[:])
}
