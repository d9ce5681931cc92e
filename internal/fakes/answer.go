package fakes

import "strings"

const (
	// vocabulary is the number of distinct tokens that engines generate; each
	// has a unique text of two syllables.
	vocabulary = len(onsets) * len(onsets) * len(vowels) * len(vowels)
	onsets     = "bdfgklmnprstvz"
	vowels     = "aeiou"
)

// Answer returns the first n tokens of the correct answer to a prompt.
func Answer(prompt []uint32, n int) []uint32 {
	s := modelState(0, prompt)
	out := make([]uint32, n)
	for i := range out {
		out[i] = sampleToken(s)
		s = nextState(s, out[i])
	}
	return out
}

// AnswerText returns the text of the first n tokens of the correct answer.
func AnswerText(prompt []uint32, n int) string {
	var b strings.Builder
	for _, t := range Answer(prompt, n) {
		b.WriteString(Text(t))
	}
	return b.String()
}

// Text returns the text of a generated token: a space and a short word.
func Text(t uint32) string {
	n := int(t) % vocabulary
	b := make([]byte, 0, 5)
	b = append(b, ' ')
	for range 2 {
		b = append(b, onsets[n%len(onsets)])
		n /= len(onsets)
		b = append(b, vowels[n%len(vowels)])
		n /= len(vowels)
	}
	return string(b)
}

// modelState returns the simulated model state after the engine processes
// tokens, starting from the state s.
func modelState(s uint64, tokens []uint32) uint64 {
	for _, t := range tokens {
		s = nextState(s, t)
	}
	return s
}

// nextState applies one step of the splitmix64 generator to a state and a token.
func nextState(s uint64, t uint32) uint64 {
	z := s + 0x9e3779b97f4a7c15 + uint64(t)
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// sampleToken returns the token that the simulated model generates in state s.
func sampleToken(s uint64) uint32 { return uint32(s % uint64(vocabulary)) }
