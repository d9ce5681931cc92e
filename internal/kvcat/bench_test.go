package kvcat_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"sesamehill.example/sesamehill/internal/kvcat"
	"sesamehill.example/sesamehill/internal/opconf"
	"sesamehill.example/sesamehill/internal/wire"
)

// BenchmarkDigest measures the update that a host gets about one store, by the
// number of parts in the store: the complete contents, and a single change. It also
// measures a listing.
func BenchmarkDigest(b *testing.B) {
	for _, n := range []int{500, 2000, 8000} {
		s, err := opconf.New(opconf.Config{Services: []opconf.Service{
			{Name: "s", Store: &opconf.Store{Address: near, Zone: "z", CapacityTokens: 1 << 30, Managed: true}},
		}})
		if err != nil {
			b.Fatal(err)
		}
		c := kvcat.NewCatalog(map[string]string{"z": "r"})
		c.SetStores(s)
		var parts []kvcat.StoredPart
		for i := range n {
			parts = append(parts, kvcat.StoredPart{Key: kvcat.Key{Namespace: "daka510000/1", Part: fmt.Sprintf("%08x", i)}, Tokens: 700})
		}
		b.Run(fmt.Sprint("list-", n), func(b *testing.B) {
			for b.Loop() {
				c.RecordListing(near, kvcat.Listing{Epoch: 1, Next: 1, Parts: parts}, wire.BootTime())
			}
		})
		b.Run(fmt.Sprint("all-", n), func(b *testing.B) {
			size := 0
			for b.Loop() {
				out, err := cbor.Marshal(c.UpdateSince(kvcat.Cursor{}))
				if err != nil {
					b.Fatal(err)
				}
				size = len(out)
			}
			b.ReportMetric(float64(size), "B/digest")
		})
		full := c.UpdateSince(kvcat.Cursor{})
		cursor := kvcat.Cursor{CatalogID: full.CatalogID, Change: full.Change, ChangedOnly: true}
		c.RecordEvents(near, kvcat.Events{Epoch: 1, Next: 2, Events: []kvcat.Event{{StoredPart: parts[0], Added: true}}}, wire.BootTime()+time.Second)
		b.Run(fmt.Sprint("change-", n), func(b *testing.B) {
			size := 0
			for b.Loop() {
				out, err := cbor.Marshal(c.UpdateSince(cursor))
				if err != nil {
					b.Fatal(err)
				}
				size = len(out)
			}
			b.ReportMetric(float64(size), "B/digest")
		})
	}
}
