package client_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	sample "sesamehill.example/sesamehill/examples"
	"sesamehill.example/sesamehill/internal/calls"
	"sesamehill.example/sesamehill/internal/dump"
	"sesamehill.example/sesamehill/internal/entry"
	"sesamehill.example/sesamehill/internal/fakes"
	"sesamehill.example/sesamehill/internal/forms"
	"sesamehill.example/sesamehill/pkg/client"
	"sesamehill.example/sesamehill/pkg/config"
	"sesamehill.example/sesamehill/pkg/opapi"
)

func TestClient(t *testing.T) {
	RegisterFailHandler(Fail)
	calls.SilenceHertz()
	RunSpecs(t, "client")
}

// serveCallers serves the callers' API and returns the address.
func serveCallers(r *fakes.Runner) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := entry.New(r, entry.WithListener(l), entry.WithDrain(0, time.Second))
	go func() { _ = s.Serve() }()
	DeferCleanup(func() { _ = s.Drain(context.Background()) })
	return l.Addr().String()
}

// unusedAddress returns an address on which no server listens.
func unusedAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	return l.Addr().String()
}

var _ = Describe("Caller", func() {
	var r *fakes.Runner
	var c *client.Caller
	ctx := context.Background()
	request := client.Completion{Model: "advisor", Tokens: []uint32{1, 2, 3}, MaxTokens: 12}
	BeforeEach(func() {
		r = fakes.NewRunner(map[string]string{"k": "keeper"})
		c = client.NewCaller([]string{serveCallers(r), serveCallers(r)}, "k")
		DeferCleanup(c.Close)
	})

	// Guards against tokens that are lost or repeated when a stream is resumed.
	It("resumes broken streams and returns the complete answer", func() {
		r.BreakStreams(3)
		a, err := c.Collect(ctx, request)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Text).To(Equal(fakes.AnswerText(request.Tokens, 12)))
		Expect(a.Resumes).To(Equal(3))
		Expect(a.Usage.Prompt).To(Equal(3))
	})

	// Guards against a truncated answer that looks complete.
	It("returns an error after its last attempt, and never reports a broken answer as complete", func() {
		r.BreakStreams(9)
		a, err := c.Collect(ctx, request)
		var broken *client.IncompleteError
		Expect(errors.As(err, &broken)).To(BeTrue())
		Expect(broken.RunID).To(Equal("run-1"))
		Expect(fakes.AnswerText(request.Tokens, 12)).To(HavePrefix(a.Text))
	})

	// Guards against a request that runs twice, and against a caller that gives up
	// although a retry is safe.
	It("retries only requests that did not run", func() {
		r.Refuse(1)
		_, err := c.Collect(ctx, request)
		Expect(err).NotTo(HaveOccurred())
		_, err = c.Collect(ctx, client.Completion{Model: "advisor", Tokens: []uint32{}})
		var refused *client.RefusalError
		Expect(errors.As(err, &refused)).To(BeTrue())
		Expect(refused.Status).To(Equal(400))
		Expect(refused.NotRun).To(BeTrue())
	})

	// Guards against a host that is down and makes requests fail.
	It("tries other hosts if one does not answer", func() {
		caller := client.NewCaller([]string{unusedAddress(), serveCallers(r)}, "k")
		defer caller.Close()
		for range 4 {
			_, err := caller.Collect(ctx, request)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(caller.Models(ctx)).To(ConsistOf("advisor"))
		unreachable := client.NewCaller([]string{unusedAddress()}, "k", client.WithMaxAttempts(2))
		_, err := unreachable.Collect(ctx, request)
		var noHost *client.UnreachableError
		Expect(errors.As(err, &noHost)).To(BeTrue())
		Expect(noHost.MaybeSent).To(BeFalse())
	})

	// Guards against a non-idempotent call that runs twice because a retry has a
	// different key.
	It("sends the same idempotency key in all retries", func() {
		var answerDropped atomic.Bool
		var keys []string
		hostAddress := serveCallers(r)
		proxy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			keys = append(keys, q.Header.Get("Idempotency-Key"))
			q.URL.Scheme, q.URL.Host, q.RequestURI = "http", hostAddress, ""
			a, err := http.DefaultClient.Do(q)
			Expect(err).NotTo(HaveOccurred())
			defer a.Body.Close()
			if answerDropped.CompareAndSwap(false, true) {
				// The call ran, but the caller does not receive the answer.
				panic(http.ErrAbortHandler)
			}
			_, _ = io.Copy(w, a.Body)
		}))
		defer proxy.Close()
		caller := client.NewCaller([]string{proxy.URL}, "k")
		defer caller.Close()
		a, err := caller.Call(ctx, client.ServiceCall{Service: "dispatch", Method: "POST", Path: "/", Body: []byte("{}")})
		Expect(err).NotTo(HaveOccurred())
		Expect(string(a.Body)).To(Equal(`{"run":1}`))
		Expect(r.Calls()).To(Equal(1))
		Expect(keys).To(Equal([]string{a.IdempotencyKey, a.IdempotencyKey}))
	})

	// Guards against an incomplete answer that is reported as complete.
	DescribeTable("returns an error for incomplete streams", func(lines string) {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			for l := bufio.NewScanner(strings.NewReader(lines)); l.Scan(); {
				id, data, _ := strings.Cut(l.Text(), " ")
				_, _ = io.WriteString(w, "id: "+id+"\ndata: "+data+"\n\n")
				w.(http.Flusher).Flush()
			}
		}))
		defer s.Close()
		c := client.NewCaller([]string{s.URL}, "k", client.WithMaxAttempts(1))
		defer c.Close()
		_, err := c.Collect(ctx, client.Completion{Model: "advisor", Prompt: "a", MaxTokens: 2})
		var broken *client.IncompleteError
		Expect(errors.As(err, &broken)).To(BeTrue(), "%v", err)
	},
		Entry("without an end marker", `r:0 {"choices":[{"text":"a","finish_reason":null}]}`),
		Entry("with a missing token", "r:0 {\"choices\":[{\"text\":\"a\",\"finish_reason\":null}]}\nr:2 {\"choices\":[{\"text\":\"c\",\"finish_reason\":null}]}"),
		Entry("without a finish reason", "r:0 {\"choices\":[{\"text\":\"a\",\"finish_reason\":null}]}\nr:0 [DONE]"),
		Entry("with fewer tokens than its length", "r:0 {\"choices\":[{\"text\":\"a\",\"finish_reason\":null}]}\nr:0 {\"choices\":[{\"text\":\"\",\"finish_reason\":\"length\"}]}\nr:0 [DONE]"),
	)
})

var _ = Describe("Operator", func() {
	// Guards against a change that is applied twice after its reply was lost, and
	// against errors from which a program cannot tell the cause.
	It("returns typed errors, and commits only once after a lost reply", func() {
		d, err := config.ParseDocument("demo.toml", sample.Demo)
		Expect(err).NotTo(HaveOccurred())
		b := fakes.NewBackend(d)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		a := dump.NewAdmin(dump.New(), dump.WithListener(l))
		a.Mount(forms.New(b, forms.WithOperators([]string{config.HashKey("op")})).Routes)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() { _ = a.Serve(ctx) }()
		o := client.NewOperator([]string{l.Addr().String()}, "op", client.WithMaxAttempts(2))
		defer o.Close()
		current, err := o.Document(ctx)
		Expect(err).NotTo(HaveOccurred())
		change := opapi.Commit{Base: current.Revision, Text: strings.Replace(current.Text, "queue = 512", "queue = 600", 1), ID: "change-001"}
		p, err := o.Preview(ctx, change.Text)
		Expect(err).NotTo(HaveOccurred())
		Expect(p.Effects).To(ConsistOf(HaveField("Field", "queue")))
		b.LoseReplies(1)
		var retries []error
		done, err := o.Commit(ctx, change, func(err error) { retries = append(retries, err) })
		Expect(err).NotTo(HaveOccurred())
		Expect(done.Revision).To(Equal(uint64(2)))
		Expect(retries).To(HaveLen(1))
		change.ID = "change-002"
		_, err = o.Commit(ctx, change, nil)
		var conflict *opapi.ConflictError
		Expect(errors.As(err, &conflict)).To(BeTrue())
		Expect(conflict.Other.ID).To(Equal("change-001"))
		b.SetDown(true)
		change.Base = 2
		_, err = o.Commit(ctx, change, nil)
		var unavailable *opapi.UnavailableError
		Expect(errors.As(err, &unavailable)).To(BeTrue())
		change.Text = "[deployment]"
		_, err = o.Commit(ctx, change, nil)
		var faults *config.FaultsError
		Expect(errors.As(err, &faults)).To(BeTrue())
		_, err = client.NewOperator([]string{l.Addr().String()}, "wrong").Status(ctx)
		var refused *client.RefusalError
		Expect(errors.As(err, &refused)).To(BeTrue())
		Expect(refused.Status).To(Equal(401))
		Expect(o.State(ctx)).To(ContainSubstring("{"))
	})
})
