package member

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"sesamehill.example/sesamehill/internal/index"
	_ "sesamehill.example/sesamehill/internal/seeds"
	"sesamehill.example/sesamehill/internal/target"
	"sesamehill.example/sesamehill/pkg/chain"
	"sesamehill.example/sesamehill/pkg/config"
)

// handlers answers all calls. Lookups of the zero key wait until blocked is closed.
type handlers struct {
	blocked chan struct{}
	entered chan struct{}
	ended   chan struct{}
}

func (h *handlers) Lookup(ctx context.Context, r *LookupRequest) (*LookupReply, error) {
	if r.Keys[0].IsZero() {
		<-h.blocked
	}
	return &LookupReply{Holders: []index.Holder{{Target: "engine-1", End: 1}}}, nil
}

func (h *handlers) Filter(context.Context, *FilterRequest) (*FilterReply, error) {
	return &FilterReply{}, nil
}

func (h *handlers) Record(context.Context, *RecordRequest) (*RecordReply, error) {
	return &RecordReply{}, nil
}

func (h *handlers) Section(_ context.Context, r *SectionRequest) (*SectionReply, error) {
	reply := &SectionReply{}
	for range r.Hashes {
		reply.Add(make([]byte, 30_000))
	}
	return reply, nil
}

func (h *handlers) Handover(r *HandoverRequest, s *HandoverStream) error {
	if r.Request.Account == "refused" {
		return s.Refuse(Refusal{Status: 503, Reason: "queue is full", Retry: time.Second})
	}
	if err := s.Accept("run-" + r.Request.Attempt); err != nil {
		return err
	}
	if err := s.Send(target.Chunk{Token: 7, Text: "a"}); err != nil {
		return err
	}
	switch r.Request.Account {
	case "slow":
		h.entered <- struct{}{}
		<-s.Context().Done()
		h.ended <- struct{}{}
		return s.Context().Err()
	case "truncated":
		return nil
	}
	return s.Send(target.Chunk{Offset: 1, Done: true})
}

// countingListener counts the bytes that its connections read and write.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingListener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	return countedConn{conn, c.bytes}, err
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

var _ = Describe("messages over drpc", func() {
	var (
		client  *Client
		address string
		h       *handlers
		gossip  *Gossip
		bytes   atomic.Int64
	)

	BeforeEach(func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address = l.Addr().String()
		client = NewClient()
		h = &handlers{blocked: make(chan struct{}), entered: make(chan struct{}, 1), ended: make(chan struct{}, 8)}
		gossip, err = NewGossip(NewTable(Member{Name: "h1", Address: address, Region: "sul", Zone: "sul-a"}), client)
		Expect(err).NotTo(HaveOccurred())
		server, err := NewServer(HandleControl(gossip), HandleLookups(h), HandleRecords(h), HandleSections(h), HandleHandovers(h))
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		served := make(chan error, 1)
		go func() { served <- server.Serve(ctx, countingListener{l, &bytes}) }()
		DeferCleanup(func() {
			close(h.blocked)
			Expect(client.Close()).To(Succeed())
			cancel()
			Eventually(served, 5).Should(Receive())
		})
	})

	request := func(account string) *HandoverRequest {
		return &HandoverRequest{
			Request: target.GenerateRequest{Attempt: "1", Account: account, Model: "advisor", Version: "1", Tokens: []uint32{1}, MaxTokens: 2},
			Left:    time.Second,
		}
	}
	heartbeat := &Heartbeat{From: Member{Name: "h2", Address: "127.0.0.1:1", Region: "sul", Zone: "sul-a", Incarnation: 1}}

	// Guards against a slow stream or lookup that delays heartbeats, and with
	// them the detection of dead hosts.
	It("answers heartbeats while forwarded requests and lookups are slow", func(ctx SpecContext) {
		for range 3 {
			call, err := client.Handover(ctx, address, request("slow"))
			Expect(err).NotTo(HaveOccurred())
			Expect(call.Next()).To(HaveField("Token", uint32(7)))
			<-h.entered
			DeferCleanup(call.Close)
		}
		for range 3 {
			go func() { _, _ = client.Lookup(ctx, address, &LookupRequest{Keys: make([]chain.Key, 1)}) }()
		}
		const calls = 200
		var slowest time.Duration
		bytes.Store(0)
		begin := time.Now()
		for range calls {
			start := time.Now()
			reply, err := client.Heartbeat(ctx, address, heartbeat)
			Expect(err).NotTo(HaveOccurred())
			Expect(reply.From.Name).To(Equal("h1"))
			slowest = max(slowest, time.Since(start))
		}
		fmt.Fprintf(GinkgoWriter, "heartbeats during 3 forwarded requests: mean %v, worst %v, %d bytes on the wire per heartbeat with reply\n",
			time.Since(begin)/calls, slowest, bytes.Load()/calls)
		Expect(slowest).To(BeNumerically("<", callTimeout/2))
	}, SpecTimeout(20*time.Second))

	// Guards against a truncated or rejected response that looks complete, and
	// against a "not run" that is not certain.
	It("distinguishes complete, rejected, truncated and failed forwarded requests", func(ctx SpecContext) {
		call, err := client.Handover(ctx, address, request("ok"))
		Expect(err).NotTo(HaveOccurred())
		Expect(call.Run).To(Equal("run-1"))
		Expect(call.Next()).To(HaveField("Text", "a"))
		Expect(call.Next()).To(HaveField("Done", true))
		_, err = call.Next()
		Expect(err).To(Equal(io.EOF))
		Expect(call.Close()).To(Succeed())

		_, err = client.Handover(ctx, address, request("refused"))
		var refused *RefusedError
		Expect(errors.As(err, &refused)).To(BeTrue())
		Expect(refused.Refusal).To(Equal(Refusal{Status: 503, Reason: "queue is full", Retry: time.Second}))

		call, err = client.Handover(ctx, address, request("truncated"))
		Expect(err).NotTo(HaveOccurred())
		_, _ = call.Next()
		_, err = call.Next()
		var broken *target.BrokenError
		Expect(errors.As(err, &broken)).To(BeTrue())

		_, err = client.Handover(ctx, "127.0.0.1:1", request("ok"))
		var notRun *target.NotRunError
		Expect(errors.As(err, &notRun)).To(BeTrue())

		_, err = client.Handover(ctx, address, &HandoverRequest{})
		Expect(errors.As(err, &broken)).To(BeTrue(), "rejected by the server when it decodes the request")

		oversized := request("ok")
		oversized.Request.Tokens = make([]uint32, 2<<20)
		_, err = client.Handover(ctx, address, oversized)
		Expect(errors.As(err, &notRun)).To(BeTrue())
	}, SpecTimeout(20*time.Second))

	// Guards against a run that continues after its caller has disconnected.
	It("ends the other host's stream when the caller closes", func(ctx SpecContext) {
		call, err := client.Handover(ctx, address, request("slow"))
		Expect(err).NotTo(HaveOccurred())
		<-h.entered
		Expect(call.Close()).To(Succeed())
		Eventually(h.ended, 5).Should(Receive())
	}, SpecTimeout(20*time.Second))

	It("carries the other calls and enforces deadlines and size limits", func(ctx SpecContext) {
		reply, err := client.Lookup(ctx, address, &LookupRequest{Keys: []chain.Key{{1}}})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Holders).To(Equal([]index.Holder{{Target: "engine-1", End: 1}}))
		short, cancel := context.WithTimeout(ctx, 15*time.Millisecond)
		defer cancel()
		start := time.Now()
		_, err = client.Lookup(short, address, &LookupRequest{Keys: []chain.Key{{}}})
		Expect(err).To(HaveOccurred())
		Expect(time.Since(start)).To(BeNumerically("<", time.Second))
		_, err = client.Record(ctx, address, &RecordRequest{Record: index.Record{Target: "engine-1", Last: 4}})
		Expect(err).NotTo(HaveOccurred())
		sections, err := client.Section(ctx, address, &SectionRequest{Hashes: make([]config.Hash, 5)})
		Expect(err).NotTo(HaveOccurred())
		Expect(sections.Sections).To(HaveLen(2), "two sections of 30 KB fit into 64 KB")
		var size *SizeError
		_, err = client.Record(ctx, address, &RecordRequest{
			Record: index.Record{Target: "t"}, Inventory: &target.Inventory{Blocks: make([]target.ResidentBlock, 20_000)},
		})
		Expect(errors.As(err, &size)).To(BeTrue())
		_, err = client.Heartbeat(ctx, address, &Heartbeat{From: Member{Name: "h2"}})
		Expect(err).To(MatchError(ContainSubstring("need 1 to 64 bytes")))
		table, err := client.Sync(ctx, address, &SyncRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(table.Members).To(HaveLen(1))
		probe, err := client.Probe(ctx, address, &ProbeRequest{Member: heartbeat.From})
		Expect(err).NotTo(HaveOccurred())
		Expect(probe.Reached).To(BeFalse())
	}, SpecTimeout(20*time.Second))
})

// Guards against a damaged message that panics or is accepted although it is
// invalid.
func TestDecodeNeverPanics(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := rapid.SampledFrom([]func() message{
			func() message { return &Heartbeat{} }, func() message { return &SyncReply{} },
			func() message { return &RecordRequest{} }, func() message { return &HandoverEvent{} },
		}).Draw(t, "type")()
		data, _ := Encode(&Heartbeat{
			From:  Member{Name: "a", Address: "b", Region: "c", Zone: "d"},
			Parts: map[string]cbor.RawMessage{"x": {0x01}},
		})
		for range rapid.IntRange(0, 5).Draw(t, "flips") {
			data[rapid.IntRange(0, len(data)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		}
		if err := (encoding{}).Unmarshal(data, m); err == nil && m.Check() != nil {
			t.Fatal("decoded a message that fails its check")
		}
	})
}

// Guards against an extension that exceeds its budget and displaces member updates.
var _ = Describe("extensions", func() {
	It("drops and counts parts above their budget and rejects budgets that do not fit", func() {
		n := newNetwork(1)
		var received []string
		var size int
		n.options = []Option{WithExtensions(
			Extension{Name: "a", Budget: 10, Replies: true, Build: func(Member, int) []byte {
				b, _ := Encode(make([]byte, size))
				return b
			}, Take: func(from Member, _ []byte) error { received = append(received, from.Name); return nil }},
			Extension{
				Name: "bad", Budget: 10, Build: func(Member, int) []byte { return []byte{1} },
				Take: func(Member, []byte) error { return errors.New("bad") },
			},
		)}
		n.start("h1", 0, 1)
		n.start("h2", 0, 1)
		for size = 2; size < 20; size += 10 {
			n.round(time.Second)
		}
		Expect(received).To(ConsistOf("h1", "h2", "h1", "h2"))
		Expect(n.hosts["h1"].Stats()).To(HaveField("Oversized", BeNumerically(">", 0)))
		Expect(n.hosts["h1"].Stats().Rejected).To(BeNumerically(">", 0))
		_, err := NewGossip(NewTable(n.hosts["h1"].Self()), nil, WithExtensions(Extension{Name: "x", Budget: 4000}))
		Expect(err).To(MatchError(ContainSubstring("reduce them")))
	})
})

var _ = Describe("encoded sizes", func() {
	// Guards against growth of the messages that determine the control traffic.
	It("grows by a fixed number of bytes per entry", func() {
		slope := func(what string, limit float64, build func(n int) any) {
			s := float64(encodedSize(build(200))-encodedSize(build(100))) / 100
			fmt.Fprintf(GinkgoWriter, "%s: %.1f bytes\n", what, s)
			Expect(s).To(BeNumerically("<", limit), what)
		}
		member := func(i int) Member {
			return Member{
				Name: fmt.Sprintf("host-%04d", i), Address: "10.20.30.40:7000", Region: "sul", Zone: "sul-a",
				Incarnation: 1_800_000_000_000, Revision: 70_000,
			}
		}
		slope("member record", 60, func(n int) any {
			var r SyncReply
			for i := range n {
				r.Members = append(r.Members, member(i))
			}
			return r
		})
		slope("lookup key", 35, func(n int) any { return LookupRequest{Keys: make([]chain.Key, n)} })
		slope("recorded block", 82, func(n int) any {
			return RecordRequest{Inventory: &target.Inventory{Blocks: make([]target.ResidentBlock, n)}}
		})
		slope("forwarded token", 5.1, func(n int) any {
			var r HandoverRequest
			for range n {
				r.Request.Tokens = append(r.Request.Tokens, 120_000)
			}
			return r
		})
		fmt.Fprintf(GinkgoWriter, "chunk of a forwarded request: %d bytes\n",
			encodedSize(HandoverEvent{Chunk: &target.Chunk{Attempt: "0190b7a2-7c1e-7b7e-9d2f-000000000000", Version: "1", Text: "word "}}))
	})
})
