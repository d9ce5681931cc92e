package entry

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"sesamehill.example/sesamehill/internal/target"
)

// countedRun is a run that returns a fixed number of tokens.
type countedRun struct{ remaining, offset int }

func (*countedRun) ID() string   { return "engine-1:0198c0de" }
func (*countedRun) Close() error { return nil }

func (r *countedRun) Next() (target.Chunk, error) {
	if r.remaining == 0 {
		return target.Chunk{Done: true}, nil
	}
	r.remaining--
	r.offset++
	return target.Chunk{Offset: r.offset, Text: " word"}, nil
}

// discardWriter is a hertz response writer that discards all bytes.
type discardWriter struct{ io.Writer }

func (discardWriter) Flush() error    { return nil }
func (discardWriter) Finalize() error { return nil }

// Guards against stored prompt state that no longer matches after text is
// appended to a prompt, and against text whose token ID equals a role marker.
// Also checks that tokenize stops after the limit.
func TestTokens(t *testing.T) {
	first := tokenize(nil, "one two  three\n", 100)
	extended := tokenize(nil, "one two  three\n four", 100)
	if len(first) != 4 || !slices.Equal(extended[:3], first[:3]) {
		t.Errorf("tokens of the extended text are %d, tokens of its first part are %d", extended, first)
	}
	name := "role:system:"
	if text := tokenize(nil, name, 100); len(text) != 1 || text[0] == markerToken(name) {
		t.Errorf("text %q has tokens %d, its marker token is %d", name, text, markerToken(name))
	}
	if long := tokenize(nil, strings.Repeat("x", 1000), 8); len(long) != 9 {
		t.Errorf("a long text has %d tokens, want 9: one more than the limit", len(long))
	}
}

// BenchmarkRelayToken measures the work of the host for one streamed token,
// without the socket.
func BenchmarkRelayToken(b *testing.B) {
	for _, chat := range []bool{false, true} {
		b.Run(fmt.Sprintf("chat=%t", chat), func(b *testing.B) {
			c := app.NewContext(0)
			c.Response.HijackWriter(discardWriter{io.Discard})
			run := &countedRun{remaining: b.N}
			r := newRelay(sse.NewWriter(c), streamID{run: run.ID()}, chat, false, "advisor")
			b.ReportAllocs()
			b.ResetTimer()
			first, _ := run.Next()
			if err := r.relayRun(first, run); err != nil {
				b.Fatal(err)
			}
		})
	}
}

// BenchmarkParse measures decoding and tokenizing a prompt of 40,000 tokens,
// which is ten KV blocks.
func BenchmarkParse(b *testing.B) {
	const tokens = 40_000
	text := `{"model":"advisor","prompt":"` + strings.Repeat("word ", tokens) + `"}`
	ids := `{"model":"advisor","prompt":[` + strings.Repeat("123456,", tokens-1) + `1]}`
	chat := `{"model":"advisor","messages":[{"role":"user","content":"` + strings.Repeat("word ", tokens) + `"}]}`
	for name, body := range map[string]string{"text": text, "ids": ids, "chat": chat} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				r, err := parseRequest([]byte(body))
				if err != nil {
					b.Fatal(err)
				}
				if _, err := r.tokens(name == "chat", 2*tokens); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
