package chain_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "sesamehill.example/sesamehill/internal/seeds"
	"sesamehill.example/sesamehill/pkg/chain"
)

func TestChain(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "chain")
}

// Guards against two scopes that share keys, which would mix client accounts or
// weight versions.
func TestScopesNeverShareKeys(t *testing.T) {
	field := rapid.StringMatching(`[ab|/]{0,3}`)
	rapid.Check(t, func(t *rapid.T) {
		draw := func(n string) chain.Scope {
			return chain.Scope{
				Account: field.Draw(t, n+"account"), Model: field.Draw(t, n+"model"),
				Adapter: field.Draw(t, n+"adapter"), Version: field.Draw(t, n+"version"),
			}
		}
		a, b := draw("a"), draw("b")
		tokens := []uint32{1, 2, 3, 4}
		same := chain.Keys(a, tokens, 2)[1] == chain.Keys(b, tokens, 2)[1]
		if same != (a == b) {
			t.Fatalf("scopes %+v and %+v: keys equal is %v", a, b, same)
		}
	})
}

var _ = Describe("Keys", func() {
	scope := chain.Scope{Account: "keeper", Model: "advisor", Version: "1"}

	// Guards against a grown prompt losing its kept pieces.
	It("keeps the keys of a prompt that grew", func() {
		short := chain.Keys(scope, []uint32{1, 2, 3, 4, 5}, 2)
		long := chain.Keys(scope, []uint32{1, 2, 3, 4, 5, 6, 7}, 2)
		Expect(short).To(HaveLen(2))
		Expect(long).To(HaveLen(3))
		Expect(long[:2]).To(Equal(short))
	})

	// Guards against a match after a change in an earlier piece.
	It("changes every later key when a piece changes", func() {
		a := chain.Keys(scope, []uint32{1, 2, 3, 4}, 2)
		b := chain.Keys(scope, []uint32{9, 2, 3, 4}, 2)
		Expect(a[1]).NotTo(Equal(b[1]))
	})

	It("round-trips its text form and rejects bad text", func() {
		k := chain.Keys(scope, []uint32{1, 2}, 2)[0]
		Expect(chain.ParseKey(k.String())).To(Equal(k))
		_, err := chain.ParseKey("xy")
		Expect(err).To(MatchError(ContainSubstring("64 hexadecimal digits")))
	})
})

// BenchmarkKeys hashes a prompt of 10 pieces of 4,000 tokens, which a host need
// not do again when the keys come with a handed-over request.
func BenchmarkKeys(b *testing.B) {
	tokens := make([]uint32, 40_000)
	for i := range tokens {
		tokens[i] = uint32(i)
	}
	s := chain.Scope{Account: "keeper", Model: "advisor", Version: "1"}
	for b.Loop() {
		chain.Keys(s, tokens, 4000)
	}
}
