package member

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"sesamehill.example/sesamehill/internal/slope"
)

// memberSizes are numbers of members; the last is the design size.
var memberSizes = []int{42, 83, 165, 330}

// extensionBytes is the sum of the budgets of the extensions of a host.
const extensionBytes = 1070

// capacityNetwork returns hosts whose tables hold all members, and whose heartbeats
// carry an extension of part bytes.
func capacityNetwork(size, part int) *network {
	n := newNetwork(1)
	if part > 0 {
		n.options = []Option{WithExtensions(Extension{
			Name: "p", Budget: part, Replies: true,
			Build: func(_ Member, budget int) []byte {
				b, _ := Encode(make([]byte, budget-3))
				return b
			},
			Take: func(Member, []byte) error { return nil },
		})}
	}
	for i := range size {
		n.start(fmt.Sprintf("host-%03d", i), i*19/330%19, 1_800_000_000_000)
	}
	n.mergeAll()
	return n
}

// BenchmarkCapacityMembership reports the cost of membership per host by the number
// of members, without sockets.
func BenchmarkCapacityMembership(b *testing.B) {
	RegisterTestingT(b)
	slope.Values(b, "memory", "B", memberSizes, func(n int) float64 {
		return slope.HeapBytes(func() any {
			t := NewTable(Member{Name: "host-000", Address: "10.0.0.1:7000", Region: "region-0", Zone: "zone-00"})
			for i := 1; i < n; i++ {
				t.add(&entry{Member: Member{
					Name: fmt.Sprintf("host-%03d", i), Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
					Region: fmt.Sprintf("region-%d", i%7), Zone: fmt.Sprintf("zone-%02d", i%19), Incarnation: 1_800_000_000_000,
				}})
			}
			return t
		})
	})
	slope.CPUTimePerOperation(b, "second", memberSizes, func(n int) int { return n }, func(n int) func() {
		network := capacityNetwork(n, extensionBytes)
		for range 8 {
			network.round(1e9)
		}
		return func() { network.round(1e9) }
	})
	for _, part := range []int{0, extensionBytes} {
		slope.Values(b, fmt.Sprintf("traffic/part=%d", part), "B/s a host", memberSizes, func(n int) float64 {
			network := capacityNetwork(n, part)
			network.messages, network.bytes = 0, 0
			const seconds = 5
			for range seconds {
				network.round(1e9)
			}
			fmt.Printf("members %d: %.1f messages/s a host\n", n, float64(network.messages)/float64(n*seconds))
			return float64(network.bytes) / float64(n*seconds)
		})
	}
	slope.Values(b, "sync", "B", memberSizes, func(n int) float64 {
		r, err := capacityNetwork(n, 0).hosts["host-000"].Sync(context.Background(), &SyncRequest{})
		Expect(err).NotTo(HaveOccurred())
		return float64(encodedSize(r))
	})
}

// BenchmarkCapacityCall reports the processor time of a call between hosts by the
// bytes of its request and of its reply, which have the same size. It counts both
// ends.
func BenchmarkCapacityCall(b *testing.B) {
	RegisterTestingT(b)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	c := NewClient()
	n := capacityNetwork(4, 0)
	s, err := NewServer(HandleControl(echoHandler{n.hosts["host-001"]}))
	Expect(err).NotTo(HaveOccurred())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, l) }()
	b.Cleanup(func() {
		cancel()
		<-done
		_ = c.Close()
	})
	slope.CPUTime(b, "heartbeat", []int{100, 400, 900, 1600}, func(n int) func() {
		part, _ := Encode(make([]byte, n))
		h := &Heartbeat{From: Member{Name: "a", Address: "a:1", Region: "r", Zone: "z"}, Parts: map[string]cbor.RawMessage{"p": part}}
		return func() {
			if _, err := c.Heartbeat(ctx, l.Addr().String(), h); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// echoHandler replies to a heartbeat with the same heartbeat.
type echoHandler struct{ *Gossip }

func (echoHandler) Heartbeat(_ context.Context, h *Heartbeat) (*Heartbeat, error) { return h, nil }

// BenchmarkCapacitySpread reports by the number of members after how many rounds of
// heartbeats, one per second, the extension of one host has reached all hosts.
func BenchmarkCapacitySpread(b *testing.B) {
	RegisterTestingT(b)
	slope.Values(b, "worst of 3", "rounds", memberSizes, func(size int) (worst float64) {
		for seed := range uint64(3) {
			n := newNetwork(seed)
			reached, remaining := make([]atomic.Bool, size), atomic.Int64{}
			reached[0].Store(true)
			remaining.Store(int64(size - 1))
			for i := range size {
				n.options = []Option{WithExtensions(Extension{
					Name: "p", Budget: 8, Replies: true,
					Build: func(Member, int) []byte {
						if !reached[i].Load() {
							return nil
						}
						return []byte{1}
					},
					Take: func(Member, []byte) error {
						if !reached[i].Swap(true) {
							remaining.Add(-1)
						}
						return nil
					},
				})}
				n.start(fmt.Sprintf("host-%03d", i), i*19/330%19, 1_800_000_000_000)
			}
			n.mergeAll()
			rounds := 0
			for ; remaining.Load() > 0 && rounds < 60; rounds++ {
				n.round(1e9)
			}
			worst = max(worst, float64(rounds))
		}
		return worst
	})
}
