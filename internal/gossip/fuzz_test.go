package gossip

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"sesamehill.example/sesamehill/internal/crash"
	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/relay"
	"sesamehill.example/sesamehill/internal/roll"
)

// Guards against datagrams that end the process, and against ages, loads and versions
// out of range.
func FuzzMessage(f *testing.F) {
	for _, m := range []Message{
		{Host: "a", InFlight: map[string]fleet.InFlight{"e": {Calls: 2, Tokens: 700}}},
		{Host: "a", Kind: Query, Desired: map[string]DesiredVersion{"m": {Version: 3, AgeMs: 40}}, Unreachable: []string{"e"}},
		{Host: "a", Kind: Reply, Tables: map[string]relay.TableVersion{"servers": {Version: 7, AgeMs: 5}}, OmitsLoad: true},
		{Host: "a", Progress: &roll.Progress{Loading: []string{"e"}, Loaded: map[string]map[string]int{"e": {"m": 2}}}},
		{Host: "a", Crashes: []crash.Record{{IDs: []uint64{1}, Ages: []int64{5}, Forgiven: []bool{false}}}},
		{Host: "a", RateLimits: map[string]fleet.Limit{"e": {PerSecond: 2.5, AgeMs: 30, StartedAtMs: 1000}}},
	} {
		b, err := cbor.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, datagram []byte) {
		m, err := decodeMessage(datagram)
		if err != nil {
			return
		}
		for _, v := range m.Tables {
			if v.AgeMs < 0 || v.AgeMs > maxAgeMs {
				t.Fatalf("age %d", v.AgeMs)
			}
		}
		e := New("", "b", fleet.New(), func() Topology { return Topology{} })
		if e.recordLoad(m, "10.0.0.1:80", len(datagram)) {
			e.recordSharedState(m, e.delay(m))
		}
	})
}
