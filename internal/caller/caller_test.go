package caller

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pelletier/go-toml/v2"
)

// duration is a duration in a data file.
type duration struct{ time.Duration }

// UnmarshalText decodes a duration with its unit.
func (d *duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	d.Duration = v
	return err
}

type holdingText struct {
	Phase   string   `toml:"phase"`
	KB      int64    `toml:"kb"`
	In      duration `toml:"in"`
	Stalled duration `toml:"stalled"`
	Writing duration `toml:"writing"`
	Body    duration `toml:"body"`
}

var phases = map[string]Phase{"opened": Opened, "idle": Idle, "head": Head, "body": Body, "received": Received}

func (t holdingText) holding(order int) Holding {
	return Holding{
		Phase: phases[t.Phase], Order: uint64(order), Bytes: t.KB << 10, InPhase: t.In.Duration,
		Stalled: t.Stalled.Duration, Writing: t.Writing.Duration, BodyTime: t.Body.Duration,
	}
}

type decisions struct {
	Limits []struct {
		holdingText

		Name   string `toml:"name"`
		Reason string `toml:"reason"`
	} `toml:"limit"`
	Choices []struct {
		Name     string        `toml:"name"`
		KB       int64         `toml:"bytes"`
		Conns    int           `toml:"conns"`
		Bodies   bool          `toml:"bodies"`
		ToClose  []int         `toml:"close"`
		Holdings []holdingText `toml:"holdings"`
	} `toml:"choice"`
}

var testLimits = Limits{
	HeaderBytes: 16 << 10, HeaderTime: 3 * time.Second, BodyTime: 30 * time.Second, IdleTime: 15 * time.Second, WriteTime: 30 * time.Second,
	StallTime: time.Second,
}

// Guards against a caller inside the limits that is closed, and against a choice that closes
// callers which make progress.
func TestDecisions(t *testing.T) {
	b, err := os.ReadFile("testdata/decisions.toml")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	var d decisions
	NewWithT(t).Expect(toml.Unmarshal(b, &d)).To(Succeed())
	for _, c := range d.Limits {
		t.Run(c.Name, func(t *testing.T) {
			NewWithT(t).Expect(testLimits.Exceeded(c.holding(0))).To(Equal(c.Reason))
		})
	}
	for _, c := range d.Choices {
		t.Run(c.Name, func(t *testing.T) {
			var holdings []Holding
			for i, h := range c.Holdings {
				holdings = append(holdings, h.holding(i))
			}
			indexes := testLimits.ToClose(holdings, Need{Bytes: c.KB << 10, Conns: c.Conns, Bodies: c.Bodies})
			NewWithT(t).Expect(append([]int{}, indexes...)).To(Equal(append([]int{}, c.ToClose...)))
		})
	}
}

// limitedBodyTime is the time for a body at the path /limited.
const limitedBodyTime = 40 * time.Second

// testServer is a server behind a guard.
type testServer struct {
	g       *WithT
	guard   *Guard
	address string
	served  atomic.Int32
	// release lets the handler answer.
	release chan struct{}
}

func newTestServer(t *testing.T, l Limits) *testServer {
	t.Helper()
	s := &testServer{g: NewWithT(t), guard: NewGuard(WithLimits(l)), release: make(chan struct{})}
	server := &http.Server{ConnState: s.guard.Track, ConnContext: s.guard.Context, ReadHeaderTimeout: time.Minute}
	server.Handler = s.guard.Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/unread" {
			return
		}
		if r.URL.Path == "/limited" {
			LimitBody(r.Context(), limitedBodyTime)
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			panic(http.ErrAbortHandler)
		}
		s.served.Add(1)
		if r.URL.Path == "/wait" {
			<-s.release
		}
	}))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	s.g.Expect(err).NotTo(HaveOccurred())
	s.address = listener.Addr().String()
	go func() { _ = server.Serve(s.guard.Listener(listener)) }() // ends with Close
	t.Cleanup(func() { _ = server.Close() })
	return s
}

// dial opens a connection and writes to it.
func (s *testServer) dial(t *testing.T, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.address)
	s.g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, text)
	s.g.Expect(err).NotTo(HaveOccurred())
	return c
}

// status reads an answer and returns its status; zero if the connection ends without one.
func status(c net.Conn) int {
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_ = r.Body.Close()
	return r.StatusCode
}

// inPhase returns the number of connections in a phase.
func (s *testServer) inPhase(p Phase) int {
	s.guard.mu.Lock()
	defer s.guard.mu.Unlock()
	n := 0
	for c := range s.guard.conns {
		if c.currentPhase() == p {
			n++
		}
	}
	return n
}

// Guards against a legal head that is refused and an endless one that is read on.
func TestHeadLimit(t *testing.T) {
	s := newTestServer(t, testLimits)
	start := "GET / HTTP/1.1\r\nHost: h\r\nX-Long: "
	longest := start + strings.Repeat("l", testLimits.HeaderBytes-len(start)-4) + "\r\n\r\n"
	s.g.Expect(status(s.dial(t, longest))).To(Equal(http.StatusOK))
	c := s.dial(t, start+strings.Repeat("l", 2*testLimits.HeaderBytes))
	s.g.Expect(status(c)).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
}

// Guards against a request that runs although its connection was closed for others while its
// body was received, and against bytes that stay charged.
func TestShedBody(t *testing.T) {
	s := newTestServer(t, testLimits)
	c := s.dial(t, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n123456789")
	s.g.Eventually(s.inPhase).WithArguments(Body).Should(Equal(1))
	s.g.Expect(s.guard.ShedBodies(1)).To(BeFalse(), "a body in progress was closed")
	s.guard.now.Add(int64(testLimits.StallTime))
	s.g.Expect(s.guard.ShedBodies(1)).To(BeTrue())
	_, _ = io.WriteString(c, "0") // the connection may be closed already
	s.g.Expect(status(c)).To(BeZero())
	s.g.Eventually(s.guard.InUse).Should(BeZero())
	s.g.Expect(s.served.Load()).To(BeZero())
}

// Guards against an answer that waits for a body which its caller sends only after "100 Continue".
func TestUnreadBody(t *testing.T) {
	s := newTestServer(t, testLimits)
	c := s.dial(t, "POST /unread HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	s.g.Expect(status(c)).To(Equal(http.StatusOK))
}

// Guards against a body that is cut before the time of its request has passed, and one that
// is held for longer.
func TestBodyTime(t *testing.T) {
	s := newTestServer(t, testLimits)
	const request = "POST /limited HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n1"
	inTime, late := s.dial(t, request), s.dial(t, request)
	s.g.Eventually(func() int {
		s.guard.mu.Lock()
		defer s.guard.mu.Unlock()
		limited := 0
		for c := range s.guard.conns {
			if c.bodyTime.Load() > 0 {
				limited++
			}
		}
		return limited
	}).Should(Equal(2))
	s.guard.now.Add(int64(limitedBodyTime - time.Second))
	s.guard.Sweep()
	_, err := io.WriteString(inTime, "2")
	s.g.Expect(err).NotTo(HaveOccurred())
	s.g.Expect(status(inTime)).To(Equal(http.StatusOK))
	s.guard.now.Add(int64(2 * time.Second))
	s.guard.Sweep()
	s.g.Expect(status(late)).To(BeZero())
	s.g.Expect(s.served.Load()).To(Equal(int32(1)))
}

// Guards against heads that are decoded without room, whole requests that are closed for
// others, and refusals of requests that ran.
func TestBudgetOfWholeRequests(t *testing.T) {
	limits := testLimits
	limits.Bytes = 1 << 20
	s := newTestServer(t, limits)
	var fields strings.Builder
	for i := range 2000 {
		fmt.Fprintf(&fields, "%03x:\r\n", i)
	}
	request := "GET /wait HTTP/1.1\r\nHost: h\r\n" + fields.String() + "\r\n"
	var conns []net.Conn
	for range 2 {
		conns = append(conns, s.dial(t, request))
	}
	s.g.Eventually(s.inPhase).WithArguments(Received).Should(Equal(2))
	s.guard.now.Add(int64(time.Hour))
	s.g.Expect(status(s.dial(t, request))).To(Or(Equal(http.StatusServiceUnavailable), BeZero()))
	s.g.Expect(s.served.Load()).To(Equal(int32(2)))
	close(s.release)
	for _, c := range conns {
		s.g.Expect(status(c)).To(Equal(http.StatusOK))
	}
	s.g.Expect(status(s.dial(t, request))).To(Equal(http.StatusOK))
}

// Guards against a pause of the process that makes callers look slow, and against open
// streams that count as stalled.
func TestClock(t *testing.T) {
	s := newTestServer(t, testLimits)
	head := s.dial(t, "GET / HTTP/1.1\r\nHost: h\r\n")
	waiting := s.dial(t, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	s.g.Eventually(s.inPhase).WithArguments(Head).Should(Equal(1))
	s.g.Eventually(s.inPhase).WithArguments(Received).Should(Equal(1))
	s.guard.sweptAt -= time.Minute
	s.guard.Sweep()
	_, err := io.WriteString(head, "\r\n")
	s.g.Expect(err).NotTo(HaveOccurred())
	s.g.Expect(status(head)).To(Equal(http.StatusOK))
	s.guard.now.Add(int64(time.Hour))
	s.guard.Sweep()
	close(s.release)
	s.g.Expect(status(waiting)).To(Equal(http.StatusOK))
}

// recordingConn records what is written to a caller.
type recordingConn struct {
	net.Conn
	written strings.Builder
}

func (c *recordingConn) Write(b []byte) (int, error) { return c.written.Write(b) }

func (*recordingConn) SetWriteDeadline(time.Time) error { return nil }

func (*recordingConn) Close() error { return nil }

// Guards against a refusal of a request that has begun to run: net/http reads a byte ahead
// while the handler of a request starts, and the budget may be used up by then.
func TestNoRefusalOfBegunRequest(t *testing.T) {
	g := NewWithT(t)
	guard := NewGuard(WithLimits(testLimits))
	raw := &recordingConn{}
	c, ok := guard.add(raw)
	g.Expect(ok).To(BeTrue())
	g.Expect(c.begin(Head)).To(BeTrue())
	guard.SetLimits(Limits{Bytes: 1, StallTime: time.Second}) // no further byte has room
	g.Expect(c.begin(Received)).To(BeTrue())
	n, err := c.readHead([]byte("G"), nil) // the read saw the phase before the handler began
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(n).To(Equal(1))
	g.Expect(raw.written.String()).To(BeEmpty())
	g.Expect(c.currentPhase()).To(Equal(Received))
}
