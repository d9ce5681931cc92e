package server

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/proxy"
	"sesamehill.example/sesamehill/internal/table"
	"sesamehill.example/sesamehill/internal/wire"
)

// Guards against a process that uses the fixed part of the retry budget which an earlier
// process of its host has just used, and against one that waits for it without a reason.
func TestPredecessorHasUsedTheBudget(t *testing.T) {
	const storeMs = int64(time.Hour / time.Millisecond)
	rowAge := func(age time.Duration, startedAtMs int64) memberRow {
		return memberRow{Host: "a", Zone: "z", Peer: "10.0.0.1:1", StartedAtMs: startedAtMs, AtMs: storeMs - age.Milliseconds(), LifeMillis: (12 * time.Second).Milliseconds()}
	}
	for _, c := range []struct {
		name string
		row  memberRow
		want time.Duration
	}{
		{"it has just ended", rowAge(time.Second, 1), 10 * time.Second},
		{"its row was due some time ago", rowAge(9*time.Second, 1), 5 * time.Second},
		{"it ended long ago", rowAge(time.Minute, 1), 0},
		{"it is this process", rowAge(time.Second, 2), 0},
		{"its build states no time", memberRow{Host: "a", Zone: "z", Peer: "10.0.0.1:1", StartedAtMs: 1}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			value, err := json.Marshal(c.row)
			g.Expect(err).NotTo(HaveOccurred())
			h := &Host{settings: Settings{Name: "a", Window: 10, Slack: 52, Ratio: 0.2}, log: zap.NewNop(), clock: table.NewClock()}
			h.proxy = proxy.New(nil, fleet.New())
			h.clock.Record(storeMs)
			rows := &oneRow{row: table.Row{Version: 3, Value: value}}
			m := &members{host: h, table: rows, startedAtMs: 2}
			m.readPredecessor(t.Context())
			if c.want == 0 {
				g.Expect(h.repeatsFrom).To(BeZero())
				return
			}
			g.Expect(h.repeatsFrom - wire.BootTime()).To(BeNumerically("~", c.want, 100*time.Millisecond))
		})
	}
}
