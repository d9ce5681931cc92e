package server

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/feed"
	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/gossip"
	"sesamehill.example/sesamehill/internal/opconf"
	"sesamehill.example/sesamehill/internal/table"
	"sesamehill.example/sesamehill/internal/verlog"
	"sesamehill.example/sesamehill/internal/wire"
)

// weightRows decodes every row as version 3 of model m.
type weightRows struct{ Decoder }

func (weightRows) EvacuatedZone(string) (string, bool) { return "", false }

func (weightRows) ConfigKey() string { return "config" }

func (weightRows) Weights(string, []byte) (string, int, bool) { return "m", 3, true }

func (weightRows) Config([]byte) (*opconf.Config, error) { return nil, nil }

var _ = Describe("announced weights", func() {
	var h *Host
	var failedAt time.Duration
	BeforeEach(func() {
		failedAt = 0
		h = &Host{clock: table.NewClock(), leasedTask: &leasedTask{acks: map[string]map[string]ack{}}}
		h.clock.Record(time.Hour.Milliseconds())
		h.versions = verlog.New(h.clock.Now)
		h.config = &configWatcher{
			decoder: weightRows{}, log: zap.NewNop(), versions: h.versions, clock: h.clock, onVersion: func() {},
			failedAt: func() time.Duration { return failedAt },
		}
	})
	ago := func(d time.Duration) int64 {
		now, _ := h.clock.Now()
		return now - d.Milliseconds()
	}
	announce := func(version int, age time.Duration) {
		h.RecordDesired("b", "m", gossip.DesiredVersion{Version: version, AtMs: ago(age), Previous: version - 1})
	}
	outdatedFor := func(version int) time.Duration {
		age, superseded := h.OutdatedFor("m", version)
		Expect(superseded).To(BeTrue())
		return age
	}

	// Guards against an engine two versions behind that counts as behind only since the
	// announcement of the newest version.
	It("counts from the first version that an engine lacks", func() {
		announce(1, time.Minute)
		announce(2, 9*time.Second)
		announce(3, 100*time.Millisecond)
		Expect(outdatedFor(1)).To(BeNumerically("~", 9*time.Second, time.Second))
		Expect(outdatedFor(2)).To(BeNumerically("<", time.Second))
		_, superseded := h.OutdatedFor("m", 3)
		Expect(superseded).To(BeFalse())
	})

	// Guards against a restarted host that treats old weights as just announced, also when
	// the row is delivered once more before another host has reported the date.
	It("assumes that weights announced before the start are old until another host reports their date", func() {
		for range 2 {
			h.config.Changed([]feed.Row{{Key: "version"}})
			Expect(outdatedFor(2)).To(Equal(verlog.MaxAge))
			desired := h.DesiredVersions()
			Expect(desired).To(BeEmpty())
		}
		announce(3, 4*time.Second)
		Expect(outdatedFor(2)).To(BeNumerically("~", 4*time.Second, time.Second))
		desired := h.DesiredVersions()
		Expect(desired).To(HaveKey("m"))
	})

	// Guards against weights that count as announced when a host reads them after a pause.
	It("counts weights that were read after a gap from the last read", func() {
		h.config.recordRead(wire.BootTime() - 7*time.Second)
		h.config.Changed([]feed.Row{{Key: "version"}})
		Expect(outdatedFor(2)).To(BeNumerically("~", 7*time.Second, time.Second))
		desired := h.DesiredVersions()
		Expect(desired).To(BeEmpty(), "only dates are sent to other hosts")
	})

	// Guards against hosts that refuse all requests for a model after an outage of the
	// store, as none of them can date an announcement at its end.
	It("counts weights that were read after an outage from the last failed read", func() {
		h.config.recordRead(wire.BootTime() - 7*time.Second)
		failedAt = wire.BootTime() - time.Second
		h.config.Changed([]feed.Row{{Key: "version"}})
		Expect(outdatedFor(2)).To(BeNumerically("~", time.Second, 500*time.Millisecond))
		announce(3, 6*time.Second)
		Expect(outdatedFor(2)).To(BeNumerically("~", 6*time.Second, 500*time.Millisecond), "the date of another host")
	})

	It("counts weights whose announcement was followed from the time of the answer", func() {
		h.config.Changed([]feed.Row{{Key: "version", AtMs: ago(2 * time.Second)}})
		Expect(outdatedFor(2)).To(BeNumerically("~", 2*time.Second, time.Second))
	})

	// Guards against old weights that count as just announced because the operator has
	// written their row once more, as after a restore of the store.
	It("does not date a known version by a later change of its row", func() {
		h.config.Changed([]feed.Row{{Key: "version"}})
		h.config.Changed([]feed.Row{{Key: "version", AtMs: ago(0)}})
		Expect(outdatedFor(2)).To(Equal(verlog.MaxAge))
	})

	// Guards against hosts that keep the date of another host although their own read shows
	// that the announcement was earlier.
	It("dates a version by its row if another host has reported a later date", func() {
		announce(3, time.Second)
		h.config.Changed([]feed.Row{{Key: "version", AtMs: ago(4 * time.Second)}})
		Expect(outdatedFor(2)).To(BeNumerically("~", 4*time.Second, 500*time.Millisecond))
	})

	It("keeps the older of two dates", func() {
		announce(3, time.Second)
		announce(3, 6*time.Second)
		announce(3, 2*time.Second)
		Expect(outdatedFor(2)).To(BeNumerically("~", 6*time.Second, time.Second))
	})

	// Guards against hosts of the previous release, which send ages, during an upgrade.
	It("dates a version by its age if the other host sends no date", func() {
		h.RecordDesired("b", "m", gossip.DesiredVersion{Version: 3, AgeMs: 4000})
		Expect(outdatedFor(2)).To(BeNumerically("~", 4*time.Second, time.Second))
	})

	It("ignores an announcement of an older version", func() {
		announce(3, 0)
		announce(2, 0)
		Expect(h.config.latestVersions()).To(Equal(map[string]int{"m": 3}))
	})
})

// idDecoder decodes entries of targets whose value is the weight version that they hold.
type idDecoder struct{ Decoder }

func (idDecoder) Target(id string, value []byte) (fleet.Target, error) {
	return fleet.Target{ID: id, Service: "s", StartedAtMs: 1, Versions: map[string]int{"m": int(value[0])}}, nil
}

var _ = Describe("the list of targets", func() {
	var (
		w   *targetWatcher
		era uint64
	)
	entries := func(ids ...string) []feed.Row {
		var rows []feed.Row
		for _, id := range ids {
			rows = append(rows, feed.Row{Key: id, Value: []byte{1}})
		}
		return rows
	}
	serving := func() []string {
		var ids []string
		for _, s := range w.fleet.Serving("s") {
			ids = append(ids, s.ID)
		}
		return ids
	}
	BeforeEach(func() {
		era = 1
		w = &targetWatcher{decoder: idDecoder{}, fleet: fleet.New(), log: zap.NewNop(), platformEra: func() uint64 { return era }}
		w.Listed(entries("a", "b", "c"))
	})

	// Guards against new requests to a target whose entry was removed, and against losing
	// one that registered, in the time that a restore of the platform has lost.
	It("that was restored revives no target and drops none at once", func() {
		w.Changed([]feed.Row{{Key: "a", Removed: true}})
		era = 2
		w.Listed(entries("a", "b"))
		Expect(serving()).To(Equal([]string{"b", "c"}))
		w.Changed(entries("a"))
		Expect(serving()).To(Equal([]string{"a", "b", "c"}))
	})

	// Guards against a fresh host that goes on using targets that were removed, and against
	// holding targets back that lapsed for a moment.
	It("of the same era counts as it is", func() {
		w.Changed([]feed.Row{{Key: "a", Removed: true}})
		Expect(serving()).To(Equal([]string{"b", "c"}))
		w.Listed(entries("a", "b"))
		Expect(serving()).To(Equal([]string{"a", "b"}))
	})
})
