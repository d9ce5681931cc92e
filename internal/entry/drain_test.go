package entry_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sesamehill.example/sesamehill/internal/entry"
)

const streamRequest = "POST /v1/completions\n\n" +
	`{"model":"advisor","prompt":"hi","stream":true}`

var _ = Describe("a connection", func() {
	var f *fakeRunner
	BeforeEach(func() {
		f = &fakeRunner{
			script:  []string{"token Hi", "wait", "token  you", "done"},
			proceed: make(chan struct{}), closed: make(chan error, 9),
		}
	})

	// Guards against a run that continues at the engine after its caller has
	// disconnected.
	It("cancels the run when the caller disconnects", func() {
		s, address := serve(f)
		response := send(address, streamRequest)
		Expect(response.Body.Close()).To(Succeed())
		Eventually(f.closed, 3*time.Second).Should(Receive(MatchError(context.Canceled)))
		Expect(s.Drain(context.Background())).To(Succeed())
	})

	// Guards against a drain that aborts a stream, rejects a request that arrives
	// before the load balancer has noticed the drain, or keeps connections open for
	// further requests.
	It("finishes responses in progress and accepts requests during the drain delay", func() {
		s, address := serve(f, entry.WithDrain(400*time.Millisecond, 10*time.Second))
		stream := send(address, streamRequest)
		drained := make(chan error, 1)
		go func() { drained <- s.Drain(context.Background()) }()
		time.Sleep(100 * time.Millisecond)
		http.DefaultClient.CloseIdleConnections()
		duringDelay := send(address, "GET /v1/models\n\n")
		Expect(duringDelay.StatusCode).To(Equal(http.StatusOK))
		Expect(duringDelay.Close).To(BeTrue())
		Consistently(drained, "700ms").ShouldNot(Receive())
		_, err := net.Dial("tcp", address)
		Expect(err).To(HaveOccurred())
		close(f.proceed)
		Expect(readAll(stream)).To(HaveSuffix("data: [DONE]\n\n"))
		Eventually(drained, 2*time.Second).Should(Receive(Succeed()))
		Expect(f.closed).To(Receive(BeNil()))
	})

	// Guards against a connection that stays open after a response that was in
	// progress when the drain started.
	It("closes a connection after a non-streamed response", func() {
		s, address := serve(f, entry.WithDrain(time.Second, 5*time.Second))
		responses := make(chan *http.Response, 1)
		go func() {
			defer GinkgoRecover()
			responses <- send(address, strings.Replace(streamRequest, `,"stream":true`, "", 1))
		}()
		Eventually(s.State, "2s").Should(HaveField("Busy", 1))
		drained := make(chan error, 1)
		go func() { drained <- s.Drain(context.Background()) }()
		Eventually(s.State, "2s").Should(HaveField("Draining", true))
		close(f.proceed)
		var response *http.Response
		Eventually(responses, "2s").Should(Receive(&response))
		Expect(response.Close).To(BeTrue())
		Expect(readAll(response)).To(ContainSubstring("Hi you"))
		Eventually(drained, "5s").Should(Receive(Succeed()))
	})

	// Guards against a drain that waits for idle connections, and against one
	// that closes a connection whose request is still arriving.
	It("closes idle connections and waits for a request that is still arriving", func() {
		s, address := serve(f, entry.WithDrain(50*time.Millisecond, 10*time.Second))
		idle, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		head := "GET /v1/models HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer keeper-key\r\n\r\n"
		_, _ = idle.Write([]byte(head))
		reader := bufio.NewReader(idle)
		first, err := http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred())
		readAll(first)
		arriving, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		_, _ = arriving.Write([]byte(head[:20]))
		Eventually(s.State, "2s").Should(Equal(entry.State{Open: 2, Busy: 1}))
		drained := make(chan error, 1)
		go func() { drained <- s.Drain(context.Background()) }()
		_, err = reader.ReadByte()
		Expect(err).To(HaveOccurred())
		Expect(drained).NotTo(Receive())
		_, _ = arriving.Write([]byte(head[20:]))
		response, err := http.ReadResponse(bufio.NewReader(arriving), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		Expect(response.Close).To(BeTrue())
		Eventually(drained, 2*time.Second).Should(Receive(Succeed()))
	})

	// Guards against a host that keeps running without its port for callers, and
	// against a server that listens on an address other than the configured one.
	It("serves the configured address and reports an address that is in use", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := l.Addr().String()
		Expect(entry.New(f, entry.WithAddress(address)).Serve()).To(MatchError(ContainSubstring("free the address")))
		Expect(l.Close()).To(Succeed())
		s := entry.New(f, entry.WithAddress(address), entry.WithDrain(0, time.Second))
		served := make(chan error, 1)
		go func() { served <- s.Serve() }()
		Eventually(func() error { _, err := net.Dial("tcp", address); return err }, "2s").Should(Succeed())
		Expect(s.Drain(context.Background())).To(Succeed())
		Eventually(served, "2s").Should(Receive(BeNil()))
	})

	// Guards against a drain that waits for a server that was never started.
	It("drains a server that has not started", func() {
		s := entry.New(f)
		Expect(s.Drain(context.Background())).To(Succeed())
		Expect(s.Serve()).To(Succeed())
	})

	// Guards against a stream that is aborted at the drain timeout and looks
	// complete.
	It("ends a stream with an error at the drain timeout", func() {
		s, address := serve(f, entry.WithDrain(0, 1200*time.Millisecond))
		stream := send(address, streamRequest)
		drained := make(chan error, 1)
		go func() { drained <- s.Drain(context.Background()) }()
		body := readAll(stream)
		Expect(body).To(ContainSubstring("event: error"))
		Expect(body).To(ContainSubstring(`"run":"unknown"`))
		Expect(strings.Contains(body, "[DONE]")).To(BeFalse())
		Eventually(drained, 2*time.Second).Should(Receive(MatchError(ContainSubstring("raise the drain limit"))))
	})
})
