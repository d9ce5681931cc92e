package gossip

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"sesamehill.example/sesamehill/internal/fleet"
)

// BenchmarkMessage measures encoding, decoding and recording a message by the
// number of targets with in-flight calls of the sending host.
func BenchmarkMessage(b *testing.B) {
	for _, n := range []int{4, 16, 64, 140} {
		loads := map[string]fleet.InFlight{}
		f := fleet.New()
		for i := range n {
			id := fmt.Sprintf("i-%010d", i)
			loads[id] = fleet.InFlight{Calls: 2, Tokens: 24000, PrefillTokens: 2900, FetchTokens: 9000}
			f.Put(fleet.Target{ID: id, Service: "llm", Address: "10.0.0.1:80", Zone: "z"})
		}
		m := Message{Host: "front-sul-a-1", InFlight: loads}
		b.Run(fmt.Sprint("encode-", n), func(b *testing.B) {
			size := 0
			for b.Loop() {
				out, err := cbor.Marshal(m)
				if err != nil {
					b.Fatal(err)
				}
				size = len(out)
			}
			b.ReportMetric(float64(size), "B/message")
		})
		out, err := cbor.Marshal(m)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint("record-", n), func(b *testing.B) {
			for b.Loop() {
				var in Message
				if err := cbor.Unmarshal(out, &in); err != nil {
					b.Fatal(err)
				}
				f.SetRemoteInFlight(in.Host, in.InFlight, fleet.Peer)
			}
		})
	}
}
