package proxy

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/opconf"
	"sesamehill.example/sesamehill/internal/place"
)

// BenchmarkChoose measures one choice of a target by the number of targets and of
// hosts that report their in-flight load.
func BenchmarkChoose(b *testing.B) {
	for _, size := range []struct{ targets, hosts int }{{18, 6}, {68, 59}, {140, 77}, {280, 77}} {
		b.Run(fmt.Sprintf("%d-%d", size.targets, size.hosts), func(b *testing.B) {
			f := fleet.New()
			reported := map[string]fleet.InFlight{}
			for i := range size.targets {
				id := fmt.Sprint("i-", i)
				f.Put(fleet.Target{ID: id, Service: "llm", Address: "10.0.0.1:80", Zone: "z", Slots: 4096, Versions: map[string]int{"m": 1}})
				reported[id] = fleet.InFlight{Calls: 1, Tokens: 900}
			}
			for i := range size.hosts {
				f.SetRemoteInFlight(fmt.Sprint("host-", i), reported, fleet.Peer)
			}
			p := New(nil, f)
			j := &job{
				Call:     &Call{Prompt: &Prompt{Model: "m", InputTokens: 3000, Parts: []Part{{"aa", 100}, {"bb", 900}, {"cc", 2000}}}},
				config:   &opconf.Config{},
				route:    &opconf.Route{LatencyTarget: time.Second},
				service:  &opconf.Service{Name: "llm", Engine: &opconf.Engine{CapacityTokens: 1 << 20}},
				deadline: time.Hour, log: zap.NewNop(), excluded: map[string]bool{},
				costs: place.DefaultCosts().For(size.hosts),
			}
			for b.Loop() {
				v, ok := p.choose(j).(granted)
				if !ok {
					b.Fatal("no target was granted")
				}
				v.attempt.End(fleet.ClientDisconnected)
			}
		})
	}
}
