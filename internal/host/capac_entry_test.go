package host_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"sesamehill.example/sesamehill/internal/fakes"
	"sesamehill.example/sesamehill/internal/slope"
	"sesamehill.example/sesamehill/internal/target"
)

// BenchmarkCapacityEntry measures the processor time of a request by the number of
// streamed tokens, directly at the engine and through a host. The difference is the
// host's share; both include the client and the engine.
func BenchmarkCapacityEntry(b *testing.B) {
	s := newBenchSetup(b)
	for name, call := range map[string]func(int) error{
		"direct": func(n int) error { _, _, err := s.direct(n); return err },
		"host":   func(n int) error { _, _, err := s.viaHost(n); return err },
	} {
		slope.CPUTime(b, name, []int{1, 50, 100, 200, 400}, func(n int) func() {
			return func() {
				if err := call(n); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
	slope.CPUTime(b, "prompt", []int{1000, 4000, 16_000, 40_000}, func(n int) func() {
		body := fmt.Sprintf(`{"model":"advisor","prompt":"%s","max_tokens":1,"stream":true}`, strings.Repeat("word ", n))
		return func() {
			if _, _, err := s.stream(s.host+"/v1/completions", body); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// countingListener is a listener that counts the bytes of its connections.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingListener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{conn, c.bytes}, nil
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkCapacityPoll measures one poll of an engine's load by the number of
// loaded models: the processor time of both ends, and the bytes on the connection
// without TCP overhead.
func BenchmarkCapacityPoll(b *testing.B) {
	sizes := []int{1, 2, 4, 8}
	models := func(n int) []target.Loaded {
		ls := make([]target.Loaded, n)
		for i := range ls {
			ls[i] = target.Loaded{Model: fmt.Sprintf("model-%02d", i), Version: "7"}
		}
		return ls
	}
	slope.CPUTime(b, "load", sizes, func(n int) func() {
		e := fakes.NewEngine("engine-0-001", fakes.WithModels(models(n)...))
		if err := e.Serve("127.0.0.1:0"); err != nil {
			b.Fatal(err)
		}
		b.Cleanup(e.Close)
		c := target.NewEngine(e.Address())
		b.Cleanup(c.Close)
		return func() {
			if _, err := c.Load(b.Context()); err != nil {
				b.Fatal(err)
			}
		}
	})
	slope.Values(b, "load", "B", sizes, func(n int) float64 {
		e := fakes.NewEngine("engine-0-001", fakes.WithModels(models(n)...))
		if err := e.Serve("127.0.0.1:0"); err != nil {
			b.Fatal(err)
		}
		defer e.Close()
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		count := &atomic.Int64{}
		relay := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			a, err := http.Get("http://" + e.Address() + r.URL.String())
			if err != nil {
				w.WriteHeader(http.StatusBadGateway)
				return
			}
			defer a.Body.Close()
			for k, v := range a.Header {
				w.Header()[k] = v
			}
			w.WriteHeader(a.StatusCode)
			buffer := make([]byte, 64<<10)
			for {
				n, err := a.Body.Read(buffer)
				_, _ = w.Write(buffer[:n])
				if err != nil {
					return
				}
			}
		})}
		go func() { _ = relay.Serve(countingListener{l, count}) }()
		defer relay.Close()
		c := target.NewEngine(l.Addr().String())
		defer c.Close()
		const polls = 10
		for range polls {
			if _, err := c.Load(b.Context()); err != nil {
				b.Fatal(err)
			}
		}
		return float64(count.Load()) / polls
	})
}
