package stash_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"sesamehill.example/sesamehill/internal/site"
	"sesamehill.example/sesamehill/internal/stash"
	"sesamehill.example/sesamehill/internal/wire"
)

// BenchmarkDigest measures what a host is told about one store by the number of
// parts that the store holds: everything, and one change.
func BenchmarkDigest(b *testing.B) {
	for _, n := range []int{500, 2000, 8000} {
		s, err := site.New(site.Site{Services: []site.Service{
			{Name: "s", Store: &site.Store{Address: near, Zone: "z", Tokens: 1 << 30, Managed: true}},
		}})
		if err != nil {
			b.Fatal(err)
		}
		c := stash.NewCatalog(map[string]string{"z": "r"})
		c.Describe(s)
		var held []stash.Held
		for i := range n {
			held = append(held, stash.Held{Key: stash.Key{Scope: "daka510000/1", Part: fmt.Sprintf("%08x", i)}, Tokens: 700})
		}
		b.Run(fmt.Sprint("list-", n), func(b *testing.B) {
			for b.Loop() {
				c.Listed(near, stash.Listing{Epoch: 1, Next: 1, Held: held}, wire.Boot())
			}
		})
		b.Run(fmt.Sprint("all-", n), func(b *testing.B) {
			size := 0
			for b.Loop() {
				out, err := cbor.Marshal(c.Digest(stash.Cursor{}))
				if err != nil {
					b.Fatal(err)
				}
				size = len(out)
			}
			b.ReportMetric(float64(size), "B/digest")
		})
		at := c.Digest(stash.Cursor{})
		known := stash.Cursor{Source: at.Source, Change: at.Change, Brief: true}
		c.Heard(near, stash.Events{Epoch: 1, Next: 2, Events: []stash.Event{{Held: held[0], Added: true}}}, wire.Boot()+time.Second)
		b.Run(fmt.Sprint("change-", n), func(b *testing.B) {
			size := 0
			for b.Loop() {
				out, err := cbor.Marshal(c.Digest(known))
				if err != nil {
					b.Fatal(err)
				}
				size = len(out)
			}
			b.ReportMetric(float64(size), "B/digest")
		})
	}
}
