package target_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"

	"sesamehill.example/sesamehill/internal/fakes"
	"sesamehill.example/sesamehill/internal/target"
)

// BenchmarkStream measures one token of a stream over HTTP on loopback, including
// the work of the fake engine. Fake engines with a rate of 10,000 tokens per
// second or more do not wait between tokens.
func BenchmarkStream(b *testing.B) {
	e := fakes.NewEngine("engine", fakes.WithPrefill(1e9), fakes.WithDecode(1e9), fakes.WithCache(8, blockTokens, 512))
	if err := e.Serve("127.0.0.1:0"); err != nil {
		b.Fatal(err)
	}
	defer e.Close()
	c := target.NewEngine(e.Address())
	defer c.Close()
	b.ReportAllocs()
	s, err := c.Generate(context.Background(), request("a", prompt(10), b.N))
	if err != nil {
		b.Fatal(err)
	}
	b.ResetTimer()
	for {
		if _, err := s.Next(); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			b.Fatal(err)
		}
	}
	b.StopTimer()
	_ = s.Close()
}

// BenchmarkGenerate measures a whole run of one token with a prompt of 20,000
// tokens.
func BenchmarkGenerate(b *testing.B) {
	e := fakes.NewEngine("engine", fakes.WithPrefill(1e12), fakes.WithDecode(1e9), fakes.WithCache(64, 4000, 512))
	if err := e.Serve("127.0.0.1:0"); err != nil {
		b.Fatal(err)
	}
	defer e.Close()
	c := target.NewEngine(e.Address())
	defer c.Close()
	r := request("", prompt(20000), 1)
	r.Keys = nil
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		r.Attempt = fmt.Sprint(i)
		s, err := c.Generate(context.Background(), r)
		if err != nil {
			b.Fatal(err)
		}
		if _, _, err := collect(s); err != nil {
			b.Fatal(err)
		}
		_ = s.Close()
	}
}

// BenchmarkLoad measures a small call on a reused connection.
func BenchmarkLoad(b *testing.B) {
	e := fakes.NewEngine("engine")
	if err := e.Serve("127.0.0.1:0"); err != nil {
		b.Fatal(err)
	}
	defer e.Close()
	c := target.NewEngine(e.Address())
	defer c.Close()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Load(context.Background()); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkStreams measures one token of 300 concurrent streams.
func BenchmarkStreams(b *testing.B) {
	const streams = 300
	e := fakes.NewEngine("engine", fakes.WithPrefill(1e12), fakes.WithDecode(1e9), fakes.WithBatch(streams))
	if err := e.Serve("127.0.0.1:0"); err != nil {
		b.Fatal(err)
	}
	defer e.Close()
	c := target.NewEngine(e.Address())
	defer c.Close()
	var wg sync.WaitGroup
	b.ResetTimer()
	for i := range streams {
		wg.Go(func() {
			r := request(fmt.Sprint(i), prompt(10), b.N/streams+1)
			r.Keys = nil
			s, err := c.Generate(context.Background(), r)
			if err != nil {
				b.Error(err)
				return
			}
			defer s.Close()
			if _, _, err := collect(s); err != nil {
				b.Error(err)
			}
		})
	}
	wg.Wait()
}
