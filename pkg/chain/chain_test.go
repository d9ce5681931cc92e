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

// Guards against two cache namespaces that share keys, which would serve KV cache
// of another client account or weight version.
func TestNamespacesNeverShareKeys(t *testing.T) {
	field := rapid.StringMatching(`[ab|/]{0,3}`)
	rapid.Check(t, func(t *rapid.T) {
		drawNamespace := func(label string) chain.Namespace {
			return chain.Namespace{
				Account: field.Draw(t, label+"account"), Model: field.Draw(t, label+"model"),
				Adapter: field.Draw(t, label+"adapter"), Version: field.Draw(t, label+"version"),
			}
		}
		a, b := drawNamespace("a"), drawNamespace("b")
		tokens := []uint32{1, 2, 3, 4}
		same := chain.Keys(a, tokens, 2)[1] == chain.Keys(b, tokens, 2)[1]
		if same != (a == b) {
			t.Fatalf("namespaces %+v and %+v: equal keys: %v", a, b, same)
		}
	})
}

var _ = Describe("Keys", func() {
	namespace := chain.Namespace{Account: "keeper", Model: "advisor", Version: "1"}

	// Guards against a prompt that no longer matches its stored blocks after it has
	// grown.
	It("keeps the block keys when the prompt grows", func() {
		short := chain.Keys(namespace, []uint32{1, 2, 3, 4, 5}, 2)
		long := chain.Keys(namespace, []uint32{1, 2, 3, 4, 5, 6, 7}, 2)
		Expect(short).To(HaveLen(2))
		Expect(long).To(HaveLen(3))
		Expect(long[:2]).To(Equal(short))
	})

	// Guards against a block that matches although an earlier block differs.
	It("changes every later key when a block changes", func() {
		a := chain.Keys(namespace, []uint32{1, 2, 3, 4}, 2)
		b := chain.Keys(namespace, []uint32{9, 2, 3, 4}, 2)
		Expect(a[1]).NotTo(Equal(b[1]))
	})

	// Guards against a key that changes when it is sent as text.
	It("round-trips the text form of a key and rejects invalid text", func() {
		k := chain.Keys(namespace, []uint32{1, 2}, 2)[0]
		Expect(chain.ParseKey(k.String())).To(Equal(k))
		_, err := chain.ParseKey("xy")
		Expect(err).To(MatchError(ContainSubstring("64 hexadecimal digits")))
	})
})

// BenchmarkKeys hashes a prompt of 10 blocks of 4,000 tokens. A host saves this
// time when a request forwarded from another region carries the keys.
func BenchmarkKeys(b *testing.B) {
	tokens := make([]uint32, 40_000)
	for i := range tokens {
		tokens[i] = uint32(i)
	}
	namespace := chain.Namespace{Account: "keeper", Model: "advisor", Version: "1"}
	for b.Loop() {
		chain.Keys(namespace, tokens, 4000)
	}
}
