package entry

import (
	"hash/crc32"
	"slices"
)

const (
	// maxTokenBytes bounds the length of a token, so that the token count of a text
	// without white space grows with its length and the prompt limit applies to it.
	maxTokenBytes = 16
	// markerBit is set in the IDs of marker tokens and clear in the IDs of text
	// tokens, so that no text can produce the ID of a marker.
	markerBit = 1 << 31
	// meanTokenBytes is the assumed mean length of a token. With it the token list
	// of a text is allocated once.
	meanTokenBytes = 4
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// tokenize appends the tokens of text to tokens. It stops after the first token
// that exceeds limit.
func tokenize(tokens []uint32, text string, limit int) []uint32 {
	rest := []byte(text)
	tokens = slices.Grow(tokens, min(limit+1, len(rest)/meanTokenBytes))
	for len(rest) > 0 && len(tokens) <= limit {
		n := tokenLength(rest)
		tokens = append(tokens, hashToken(rest[:n])&^markerBit)
		rest = rest[n:]
	}
	return tokens
}

// markerToken returns the token that starts or ends a message of a chat.
func markerToken(name string) uint32 {
	return hashToken([]byte(name)) | markerBit
}

// hashToken returns the CRC-32C of a token, which is stable across processes and
// has hardware support.
func hashToken(b []byte) uint32 { return crc32.Checksum(b, castagnoli) }

// tokenLength returns the length of the first token of b in bytes. A token is
// white space followed by a word.
func tokenLength(b []byte) int {
	inWord := false
	for i, c := range b {
		space := c == ' ' || c == '\n' || c == '\t' || c == '\r'
		if i == maxTokenBytes || space && inWord {
			return i
		}
		inWord = inWord || !space
	}
	return len(b)
}
