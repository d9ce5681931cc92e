package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sesamehill.example/sesamehill/internal/fleet"
)

// Starts of a target, in Unix milliseconds.
const (
	firstStart  = 100
	secondStart = 200
	laterStart  = 300
)

// restartFleet is a fleet with one target whose new starts connections find before its entry
// shows them.
type restartFleet struct {
	*fleet.Fleet
	now time.Duration
}

// newRestartFleet returns a fleet that lists the first start of target a.
func newRestartFleet() *restartFleet {
	r := &restartFleet{now: time.Minute}
	r.Fleet = fleet.New(fleet.WithClock(func() time.Duration { return r.now }))
	r.Replace([]fleet.Target{entryOf(firstStart)})
	return r
}

// entryOf returns the entry of a start of target a.
func entryOf(startedAtMs int64) fleet.Target {
	return fleet.Target{ID: "a", Service: "s", Address: "10.0.0.1:80", Zone: "z", Slots: 4, StartedAtMs: startedAtMs, Software: "v1"}
}

// Guards against requests to a target whose entry has gone, for ever, because it was found to
// have started again within the grace period of its entry.
func TestExpiredEntryGoesAfterRestart(t *testing.T) {
	RegisterTestingT(t)
	f := newRestartFleet()
	f.ListRecovered()
	f.Remove("a")
	f.RecordStart("a", secondStart)
	Expect(f.Serving("s")).To(HaveLen(1))
	f.now += 2 * time.Second
	Expect(f.Serving("s")).To(BeEmpty())
}

// Guards against a target that is never used again, because it was told to leave and found to
// have started again before its removed entry came back: the new start counted as one that left.
func TestNewStartHasNotLeft(t *testing.T) {
	RegisterTestingT(t)
	f := newRestartFleet()
	f.RecordLeaving("a", firstStart)
	f.RecordStart("a", secondStart)
	f.Remove("a")
	f.Put(entryOf(secondStart))
	Expect(f.Serving("s")).To(HaveLen(1))
}

// Guards against a target that is never used again, because another one was found at its former
// address: the start of that one was later than that of its own next entry.
func TestEntryAfterStartOfAnotherTarget(t *testing.T) {
	RegisterTestingT(t)
	f := newRestartFleet()
	f.RecordStart("a", laterStart)
	moved := entryOf(secondStart)
	moved.Address = "10.0.0.2:80"
	f.Put(moved)
	Expect(f.Serving("s")).To(HaveLen(1))
	Expect(f.Serving("s")[0].StartedAtMs).To(BeEquivalentTo(secondStart))
	Expect(f.Serving("s")[0].Address).To(Equal(moved.Address))
}

// Guards against a target that is taken for one of its earlier starts, because an entry of that
// one comes late and a stream that it began is resumed.
func TestLabelOfEarlierStartChangesNothing(t *testing.T) {
	RegisterTestingT(t)
	f := newRestartFleet()
	f.RecordStart("a", secondStart)
	label := f.Serving("s")[0].Software
	f.Put(entryOf(laterStart))
	f.Put(entryOf(secondStart))
	f.RecordLabel(label)
	Expect(f.Serving("s")[0].StartedAtMs).To(BeEquivalentTo(laterStart))
	f.RecordStart("a", secondStart)
	Expect(f.Serving("s")[0].StartedAtMs).To(BeEquivalentTo(secondStart), "the clock of the target was set back")
}

// Guards against an entry without a start that ends what is known of its target, because a
// connection to the target finds no stated start either.
func TestUnstatedStartChangesNothing(t *testing.T) {
	RegisterTestingT(t)
	f := newRestartFleet()
	f.Put(entryOf(0))
	f.RecordStart("a", 0)
	Expect(f.Serving("s")[0].StartedAtMs).To(BeEquivalentTo(firstStart))
}
